package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Attempts at tasks on machines: what a heartbeat says of them, and what follows from it.

type attemptKey struct {
	job     string
	index   int
	attempt uint64
}

// attemptEpochShift: an attempt's number holds the mark of its owner's claim above so many
// bits of a counter.
const attemptEpochShift = 32

type attemptState int

// An attempt's life. Up to attemptInDoubt the worker may not know of the attempt.
const (
	attemptAssigned  attemptState = iota // not sent
	attemptSent                          // in a heartbeat's answer: the next heartbeat shows it
	attemptCommanded                     // in a direct command whose answer is awaited
	attemptInDoubt                       // in a direct command that was not answered
	attemptFetching
	attemptRunning
	attemptSaving
	attemptExited
)

// How a task is to be stopped.
const (
	stopNone     = iota
	stopGraceful // with time to save
	stopImmediate
)

// attempt is one attempt at a task on one machine. From its making until it is
// gone it counts against room, limits and placement.
type attempt struct {
	key             attemptKey
	job             *job // nil: not known (yet)
	index           int
	machine         *machine
	state           attemptState
	sentSequence    uint64
	lastSeenRound   uint64 // the round of observe that saw it last
	tracked         bool   // it stands in job.run.active
	since           micros.Micros
	runAt           micros.Micros // when it was first seen running; 0: not yet
	stopMode        int
	stopRequestedAt micros.Micros // when it was first to be stopped in this way
	stopSentAt      micros.Micros // when the stop was last sent
	prefetch        bool          // a done task run again for its image only; see prefetch.go
	exitReason      string
	outcomeHandled  bool // exited, and its end is on record or dealt with
	// startToken is the fencing token of the direct command that carried the start; 0: none.
	startToken uint64
}

// clearable: the worker may forget an attempt that is dealt with. One that was
// started by a direct command and did not complete must stay known until a higher
// token was seen: a repeat of that order, which can follow the end of the
// process that sent it, has no effect only as long as the attempt is known.
func (att *attempt) clearable() bool {
	return att.state == attemptExited && att.outcomeHandled &&
		(att.startToken == 0 || att.exitReason == wire.ExitDone || att.prefetch || att.machine.view.fencingToken > att.startToken)
}

// onMachine: the machine has shown the attempt, and not its end.
func (att *attempt) onMachine() bool {
	return att.state >= attemptFetching && att.state != attemptExited
}

// addAttempt puts an attempt on a machine's list.
func (c *Controller) addAttempt(att *attempt) {
	att.machine.view.put(att)
	c.markDirty(att.machine)
}

func (v *view) put(att *attempt) {
	v.attempts[att.key] = att
	v.list = append(v.list, att)
}

// dropAttempt takes it off again.
func (c *Controller) dropAttempt(att *attempt) {
	v := att.machine.view
	if v == nil || v.attempts[att.key] != att {
		return
	}
	delete(v.attempts, att.key)
	if i := slices.Index(v.list, att); i >= 0 {
		v.list = slices.Delete(v.list, i, i+1)
	}
	c.markDirty(att.machine)
}

// each gives a machine's attempts; they may be dropped meanwhile.
func (v *view) each() []*attempt { return slices.Clone(v.list) }

// applyTaskList takes the tasks that a machine lists.
func (c *Controller) applyTaskList(m *machine, heartbeat *wire.Heartbeat, inHeartbeat bool) {
	v := m.view
	c.listRound++
	v.lastTaskList, v.lastSeenRound = heartbeat.Tasks, c.listRound
	for i := range heartbeat.Tasks {
		t := &heartbeat.Tasks[i]
		id, idx, err := wire.ParseTask(t.Task)
		if err != nil {
			continue
		}
		key := attemptKey{job: id, index: idx, attempt: t.Attempt}
		att := v.attempts[key]
		if att == nil {
			if len(v.list) > 4000 {
				continue
			}
			att = &attempt{key: key, index: idx, machine: m, since: c.now, stopSentAt: -micros.Never}
			c.addAttempt(att)
		}
		att.lastSeenRound = c.listRound
		c.updateAttempt(att, t)
	}
	for _, att := range v.each() {
		c.visited++
		if att.lastSeenRound == c.listRound {
			continue
		}
		switch att.state {
		case attemptAssigned, attemptCommanded, attemptInDoubt:
			// Not sent, or its message may still be under way.
		case attemptSent:
			if inHeartbeat && heartbeat.Sequence > att.sentSequence {
				c.freeAttempt(att, false) // the answer that carried it was dropped
			}
		case attemptExited:
			c.dropAttempt(att)
		default:
			c.log(Info, "task vanished from its machine", "task", wire.TaskName(att.key.job, att.index), "machine", m.id)
			c.freeAttempt(att, true)
		}
	}
}

// updateAttempt takes one task's state from a heartbeat.
func (c *Controller) updateAttempt(att *attempt, t *wire.TaskStatus) {
	was := att.state
	defer func() {
		if att.state != was {
			c.markDirty(att.machine)
		}
	}()
	switch t.State {
	case wire.TaskFetching:
		att.state = attemptFetching
	case wire.TaskRunning:
		att.state = attemptRunning
		if att.runAt == 0 {
			att.runAt = c.now
		}
		if att.job != nil {
			att.machine.view.images[att.job.sub.Image] = true
		}
	case wire.TaskSaving:
		att.state = attemptSaving
	case wire.TaskExited:
		if was == attemptExited {
			return
		}
		att.state, att.exitReason = attemptExited, t.ExitReason
		att.since = c.now
		c.log(Debug, "task exited", "task", t.Task, "machine", att.machine.id, "reason", t.ExitReason, "saved", t.Saved, "ran_s", att.ran(c.now).Seconds())
		if att.tracked {
			c.handleExit(att)
		}
		return
	}
	if was != att.state {
		att.since = c.now
	}
}

// ran is how long an attempt has been seen running.
func (att *attempt) ran(now micros.Micros) micros.Micros {
	if att.runAt == 0 {
		return 0
	}
	return now - att.runAt
}

// adoptTasks matches tasks found on a machine with their jobs, or stops what should not
// be there.
func (c *Controller) adoptTasks(m *machine) {
	for _, att := range m.view.each() {
		if att.tracked || att.state < attemptFetching {
			continue
		}
		if att.prefetch {
			c.notePrefetched(att)
			continue
		}
		if _, over := c.jobs.final(att.key.job); over {
			if att.state == attemptExited {
				att.outcomeHandled = true
			} else {
				c.stop(att, stopImmediate)
			}
			continue
		}
		j := c.jobs.open[att.key.job]
		if j == nil {
			c.stopIfEnded(c.ownership.shards[m.rec.Shard], att)
			continue
		}
		if j.shard != m.rec.Shard || att.index >= j.sub.Tasks {
			att.job = j
			c.stop(att, stopImmediate)
			att.outcomeHandled = att.state == attemptExited
			continue
		}
		if att.job != j {
			att.job = j
			c.markDirty(m)
		}
		r := j.run
		if r == nil || !r.checkpointApplied {
			continue
		}
		if att.state == attemptExited {
			if att.outcomeHandled {
				continue
			}
			if att.exitReason == wire.ExitDone {
				c.taskDone(j, att.index, att)
				c.awaitCheckpoint(j, att)
			} else {
				att.outcomeHandled = true
			}
			continue
		}
		if other := r.active[att.index]; other != nil || r.done.Has(att.index) {
			if other != att && att.stopMode != stopImmediate {
				c.log(Info, "surplus attempt stopped", "task", wire.TaskName(j.id, att.index), "machine", m.id)
				c.stop(att, stopImmediate)
			}
			continue
		}
		att.tracked = true
		r.active[att.index] = att
		if att.state == attemptRunning {
			m.view.images[j.sub.Image] = true
		}
		if r.end.state == wire.StateCancelled {
			c.stop(att, stopImmediate)
		}
	}
}

// reconcileAfterCheckpointLoad looks at a shard's machines again once checkpoints are known.
func (c *Controller) reconcileAfterCheckpointLoad(s *shard) {
	for _, m := range s.machines {
		if m.view != nil && m.view.reconciled {
			c.adoptTasks(m)
		}
	}
}

// freeAttempt forgets an attempt that is on no machine (any more); its task waits
// again unless it is done. lost says that work was under way.
func (c *Controller) freeAttempt(att *attempt, lost bool) {
	c.dropAttempt(att)
	c.requeue(att, lost)
}

// requeue lets an attempt's task wait again, unless it is done or not ours.
func (c *Controller) requeue(att *attempt, lost bool) {
	if !att.tracked {
		return
	}
	att.tracked = false
	j := att.job
	if j == nil || j.run == nil || j.run.active[att.index] != att {
		return
	}
	delete(j.run.active, att.index)
	if !j.run.done.Has(att.index) {
		j.requeue(att.index)
		s := c.ownership.shards[j.shard]
		s.firstWaiting = min(s.firstWaiting, j.queuePosition)
		if lost {
			j.run.checkpoint.addRecovery(c.wall)
			c.log(Debug, "task lost, restarting from the newest checkpoint", "task", wire.TaskName(j.id, att.index), "machine", att.machine.id)
		}
	}
	c.schedulingDue = true
}

// freeAll forgets what was on a machine. Unless ordersVoid, starts in direct
// orders that were not answered are kept: a machine that hung may yet find them.
func (c *Controller) freeAll(m *machine, reason string, ordersVoid bool) {
	n := 0
	for _, att := range m.view.list {
		if att.state != attemptExited {
			n++
		}
	}
	if n > 0 {
		c.log(Info, "machine holds no tasks any more, what ran there restarts from the newest checkpoint", "machine", m.id, "reason", reason, "tasks", n)
	}
	for _, att := range m.view.each() {
		if !ordersVoid && (att.state == attemptCommanded || att.state == attemptInDoubt) {
			continue
		}
		if att.state == attemptExited {
			c.dropAttempt(att) // dealt with when it was seen
			continue
		}
		c.freeAttempt(att, att.state >= attemptFetching)
	}
}

// handleExit deals with the end of an attempt of ours.
func (c *Controller) handleExit(att *attempt) {
	j, m := att.job, att.machine
	c.schedulingDue = true
	switch att.exitReason {
	case wire.ExitDone:
		if att.runAt > max(c.lastStalledAt, 0) { // else its end may have been seen late, for lack of time here
			took := c.now - att.runAt
			c.noteSpeed(m, j, took)
			c.estimates.Learn(j.sub, took)
		}
		clear(m.view.failuresByJob)
		att.tracked = false
		if j.run != nil && j.run.active[att.index] == att {
			delete(j.run.active, att.index)
			c.taskDone(j, att.index, att)
			c.awaitCheckpoint(j, att)
		} else {
			att.outcomeHandled = true
		}
		return
	case wire.ExitError:
		c.noteFailure(att)
	case wire.ExitNoCapacity, wire.ExitInUse, wire.ExitUnknown:
		// Disagreements about state, not failures: look again a little later.
		m.view.backoffUntil = c.now + 2*micros.Second
		c.log(Info, "start refused", "task", wire.TaskName(j.id, att.index), "machine", m.id, "reason", att.exitReason)
	}
	att.outcomeHandled = true
	c.requeue(att, false)
}

// saveAll stops a machine's tasks so that they go on elsewhere, if all of them
// may.
func (c *Controller) saveAll(m *machine) {
	attempts := m.view.each()
	for _, att := range attempts {
		if att.state != attemptExited && att.state != attemptSaving && !c.movable(att) {
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
