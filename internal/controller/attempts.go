package controller

import (
	"fmt"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// attemptKey identifies an attempt by its job's id, the task's index in the job and the attempt
// number.
type attemptKey struct {
	job     string
	index   int
	attempt uint64
}

// An attempt number has the epoch of the shard owner that started the attempt in its high bits and
// a counter in its low attemptCounterBits bits, so that no two owners assign the same number.
const (
	attemptCounterBits = 32
	attemptCounterMask = 1<<attemptCounterBits - 1
)

// attemptNumber returns the attempt number for an owner's epoch and counter. Only the low bits of
// the counter are used.
func attemptNumber(ownerEpoch, counter uint64) uint64 {
	return ownerEpoch<<attemptCounterBits | counter&attemptCounterMask
}

// epochOfAttempt returns the epoch of the owner that started the attempt, from the attempt number.
func epochOfAttempt(attempt uint64) uint64 { return attempt >> attemptCounterBits }

// attemptState is the progress of an attempt. In the states up to attemptInDoubt the worker may not
// know of the attempt.
type attemptState int

const (
	attemptAssigned  attemptState = iota // not sent yet
	attemptSent                          // sent in a heartbeat reply; the next heartbeat must list it
	attemptCommanded                     // sent in a direct command whose answer is awaited
	attemptInDoubt                       // sent in a direct command that was not answered
	attemptFetching
	attemptRunning
	attemptSaving
	attemptExited
)

// String returns the name of the state.
func (s attemptState) String() string {
	switch s {
	case attemptAssigned:
		return "assigned"
	case attemptSent:
		return "sent"
	case attemptCommanded:
		return "commanded"
	case attemptInDoubt:
		return "in_doubt"
	case attemptFetching:
		return "fetching"
	case attemptRunning:
		return "running"
	case attemptSaving:
		return "saving"
	case attemptExited:
		return "exited"
	}
	return fmt.Sprintf("attemptState(%d)", int(s))
}

// stopMode is how a task is to be stopped. A mode overrides those listed before it.
type stopMode int

const (
	stopNone      stopMode = iota
	stopGraceful           // the task is given time to save
	stopImmediate          // the task is killed at once
)

// String returns the name of the mode.
func (m stopMode) String() string {
	switch m {
	case stopNone:
		return "none"
	case stopGraceful:
		return "graceful"
	case stopImmediate:
		return "immediate"
	}
	return fmt.Sprintf("stopMode(%d)", int(m))
}

// attempt is one attempt to run a task on one machine. It counts against the machine's capacity,
// the team's limits and the placement rules from its creation until it is dropped.
type attempt struct {
	key             attemptKey
	job             *job // nil if the job is not in the job table (yet)
	index           int
	machine         *machine
	state           attemptState
	sentSequence    uint64
	lastSeenRound   uint64 // the latest round of applyTaskList that saw it
	tracked         bool   // whether job.run.active contains it
	stateSince      micros.Micros
	runAt           micros.Micros // when it was first seen running; 0 if it was not
	stopMode        stopMode
	stopRequestedAt micros.Micros // when a stop with stopMode was first requested
	stopSentAt      micros.Micros // when the stop was last sent
	prefetch        bool          // runs a done task again only to fetch its image; see prefetch.go
	exitReason      wire.ExitReason
	outcomeHandled  bool // exited, and its result is recorded or not needed
	// startToken is the fencing token of the direct command that carried the start, or a higher one
	// if it is not known; 0 if no direct command did that could still act. See startTokenOfListed.
	startToken uint64
}

// copyMayStart reports whether a late copy of the direct command that carried the start could start
// the attempt once its worker has forgotten it. A copy can arrive at any time after the command was
// carried out and answered, also after the process that sent it has ended. The worker refuses it once
// it has seen a higher fencing token.
func (att *attempt) copyMayStart() bool {
	return att.startToken != 0 && att.machine.view.fencingToken <= att.startToken
}

// forgettable reports whether the worker of an attempt may forget it: the attempt has exited, its
// outcome was handled, and no late copy can start it, or its whole job is recorded as done. The
// results of all tasks of such a job are kept, so that a copy starts none of them. A done task of any
// other job must stay known: its job may be cancelled, or go on in another zone.
func (t *jobTable) forgettable(att *attempt) bool {
	if att.state != attemptExited || !att.outcomeHandled {
		return false
	}
	return !att.copyMayStart() || t.recordedDone(att.key.job)
}

// onMachine reports whether the machine has listed the attempt and has not yet listed it as exited.
func (att *attempt) onMachine() bool {
	return att.state >= attemptFetching && att.state != attemptExited
}

// runTime returns how long the attempt has been running, counted from when it was first seen
// running; 0 if it was not.
func (att *attempt) runTime(now micros.Micros) micros.Micros {
	if att.runAt == 0 {
		return 0
	}
	return now - att.runAt
}

// evictAllTasks stops all running tasks of a machine so that they continue on other machines. Tasks
// of jobs with checkpoints are given time to save. It stops none if any task may not be moved.
func (c *Controller) evictAllTasks(m *machine) {
	attempts := m.view.attemptsCopy()
	for _, att := range attempts {
		leaving := att.state == attemptExited || att.state == attemptSaving
		if !leaving && !c.movable(att) {
			return
		}
	}
	for _, att := range attempts {
		switch {
		case att.state != attemptRunning:
		case att.job.sub.CheckpointS > 0:
			c.stop(att, stopGraceful)
		default:
			att.job.run.stopsByTask[att.index]++
			c.stop(att, stopImmediate)
		}
	}
}
