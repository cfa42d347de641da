package controller

import (
	"fmt"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// attemptKey identifies an attempt: the job, the index of the task in it, and the attempt's
// number.
type attemptKey struct {
	job     string
	index   int
	attempt uint64
}

// An attempt's number holds the epoch of the shard's owner that started it above
// attemptCounterBits bits of a counter, so that no two owners give the same number.
const (
	attemptCounterBits = 32
	attemptCounterMask = 1<<attemptCounterBits - 1
)

// attemptNumber returns the number of an attempt that is started under an owner's epoch.
func attemptNumber(ownerEpoch, counter uint64) uint64 {
	return ownerEpoch<<attemptCounterBits | counter&attemptCounterMask
}

// epochOfAttempt returns the epoch of the owner that started the attempt of a number.
func epochOfAttempt(attempt uint64) uint64 { return attempt >> attemptCounterBits }

// attemptState is how far an attempt has come. Up to attemptInDoubt the worker may not know of
// the attempt.
type attemptState int

const (
	attemptAssigned  attemptState = iota // not sent
	attemptSent                          // in the reply to a heartbeat: the next heartbeat shows it
	attemptCommanded                     // in a direct command whose answer is awaited
	attemptInDoubt                       // in a direct command that was not answered
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

// stopMode is how a task is to be stopped; a later mode overrides an earlier one.
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

// attempt is one attempt at a task on one machine. From its creation until it is dropped it
// counts against capacity, limits and placement.
type attempt struct {
	key             attemptKey
	job             *job // nil: not known (yet)
	index           int
	machine         *machine
	state           attemptState
	sentSequence    uint64
	lastSeenRound   uint64 // the round of applyTaskList that saw it last
	tracked         bool   // it stands in job.run.active
	since           micros.Micros
	runAt           micros.Micros // when it was first seen running; 0: not yet
	stopMode        stopMode
	stopRequestedAt micros.Micros // when it was first to be stopped in this way
	stopSentAt      micros.Micros // when the stop was last sent
	prefetch        bool          // a done task run again for its image only; see prefetch.go
	exitReason      wire.ExitReason
	outcomeHandled  bool // exited, and its end is on record or needs nothing more
	// startToken is the fencing token of the direct command that carried the start; 0: none.
	startToken uint64
}

// clearable reports whether the worker may forget an attempt. One that was started by a direct
// command and did not complete must stay known until a higher token was seen: a repeat of
// that command, which can follow the end of the process that sent it, has no effect only
// as long as the attempt is known.
func (att *attempt) clearable() bool {
	if att.state != attemptExited || !att.outcomeHandled {
		return false
	}
	completed := att.exitReason == wire.ExitDone || att.prefetch
	return att.startToken == 0 || completed || att.machine.view.fencingToken > att.startToken
}

// onMachine reports whether the machine has shown the attempt, and not its end.
func (att *attempt) onMachine() bool {
	return att.state >= attemptFetching && att.state != attemptExited
}

// ran returns for how long an attempt has been seen running.
func (att *attempt) ran(now micros.Micros) micros.Micros {
	if att.runAt == 0 {
		return 0
	}
	return now - att.runAt
}

// saveAll stops a machine's tasks so that they continue elsewhere, if all of them may.
func (c *Controller) saveAll(m *machine) {
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
