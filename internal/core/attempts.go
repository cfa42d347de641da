package core

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Attempts at tasks on machines: what a report says of them, and what follows from it.

type attemptKey struct {
	job     string
	idx     int
	attempt uint64
}

// attemptClaimShift: an attempt's number holds the mark of its owner's claim above so many
// bits of a counter.
const attemptClaimShift = 32

type attemptState int

// An attempt's life. Up to attemptUnclear the worker may not know of the attempt.
const (
	attemptAssigned attemptState = iota // not sent
	attemptSent                         // in a report's answer: the next report shows it
	attemptOrdered                      // in a direct order whose answer is awaited
	attemptUnclear                      // in a direct order that was not answered
	attemptFetching
	attemptRunning
	attemptSaving
	attemptExited
)

// How a task is to be stopped.
const (
	haltNone = iota
	haltSave // with time to save
	haltHard
)

// attempt is one attempt at a task on one machine. From its making until it is
// gone it counts against room, limits and placement.
type attempt struct {
	key      attemptKey
	job      *job // nil: not known (yet)
	idx      int
	m        *machine
	state    attemptState
	sentSeq  uint64
	listed   uint64 // the round of observe that saw it last
	owned    bool   // it stands in job.run.active
	since    micros.Micros
	runAt    micros.Micros // when it was first seen running; 0: not yet
	halt     int
	haltFrom micros.Micros // when it was first to be stopped in this way
	haltAt   micros.Micros // when the stop was last sent
	prefetch bool          // a done task run again for its image only; see prefetch.go
	why      string
	acted    bool // exited, and its end is on record or dealt with
	// ordered is the token of the direct order that carried the start; 0: none.
	ordered uint64
}

// clearable: the worker may forget an attempt that is dealt with. One that was
// started by a direct order and did not complete must stay known until a higher
// token was seen: a repeat of that order, which can follow the end of the
// process that sent it, has no effect only as long as the attempt is known.
func (att *attempt) clearable() bool {
	return att.state == attemptExited && att.acted &&
		(att.ordered == 0 || att.why == wire.WhyDone || att.prefetch || att.m.v.token > att.ordered)
}

// onMachine: the machine has shown the attempt, and not its end.
func (att *attempt) onMachine() bool {
	return att.state >= attemptFetching && att.state != attemptExited
}

// addAttempt puts an attempt on a machine's list.
func (c *Core) addAttempt(att *attempt) {
	att.m.v.put(att)
	c.touch(att.m)
}

func (v *view) put(att *attempt) {
	v.attempts[att.key] = att
	v.list = append(v.list, att)
}

// dropAttempt takes it off again.
func (c *Core) dropAttempt(att *attempt) {
	v := att.m.v
	if v == nil || v.attempts[att.key] != att {
		return
	}
	delete(v.attempts, att.key)
	if i := slices.Index(v.list, att); i >= 0 {
		v.list = slices.Delete(v.list, i, i+1)
	}
	c.touch(att.m)
}

// each gives a machine's attempts; they may be dropped meanwhile.
func (v *view) each() []*attempt { return slices.Clone(v.list) }

// takeList takes the tasks that a machine lists.
func (c *Core) takeList(m *machine, rep *wire.Report, checkin bool) {
	v := m.v
	c.round++
	v.shown, v.listed = rep.Tasks, c.round
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		id, idx, err := wire.ParseTask(t.Task)
		if err != nil {
			continue
		}
		key := attemptKey{job: id, idx: idx, attempt: t.Attempt}
		att := v.attempts[key]
		if att == nil {
			if len(v.list) > 4000 {
				continue
			}
			att = &attempt{key: key, idx: idx, m: m, since: c.now, haltAt: -micros.Never}
			c.addAttempt(att)
		}
		att.listed = c.round
		c.update(att, t)
	}
	for _, att := range v.each() {
		c.looks++
		if att.listed == c.round {
			continue
		}
		switch att.state {
		case attemptAssigned, attemptOrdered, attemptUnclear:
			// Not sent, or its message may still be under way.
		case attemptSent:
			if checkin && rep.Seq > att.sentSeq {
				c.freeAttempt(att, false) // the answer that carried it was dropped
			}
		case attemptExited:
			c.dropAttempt(att)
		default:
			c.log(Info, "task vanished from its machine", "task", wire.TaskName(att.key.job, att.idx), "machine", m.id)
			c.freeAttempt(att, true)
		}
	}
}

// update takes one task's state from a report.
func (c *Core) update(att *attempt, t *wire.TaskReport) {
	was := att.state
	defer func() {
		if att.state != was {
			c.touch(att.m)
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
			att.m.v.images[att.job.sub.Image] = true
		}
	case wire.TaskSaving:
		att.state = attemptSaving
	case wire.TaskExited:
		if was == attemptExited {
			return
		}
		att.state, att.why = attemptExited, t.Why
		att.since = c.now
		c.log(Debug, "task exited", "task", t.Task, "machine", att.m.id, "why", t.Why, "saved", t.Saved, "ran_s", att.ran(c.now).Seconds())
		if att.owned {
			c.exited(att)
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

// adopt matches tasks found on a machine with their jobs, or stops what should not
// be there.
func (c *Core) adopt(m *machine) {
	for _, att := range m.v.each() {
		if att.owned || att.state < attemptFetching {
			continue
		}
		if att.prefetch {
			c.notePrefetched(att)
			continue
		}
		if _, over := c.jobs.final(att.key.job); over {
			if att.state == attemptExited {
				att.acted = true
			} else {
				c.stop(att, haltHard)
			}
			continue
		}
		j := c.jobs.open[att.key.job]
		if j == nil {
			c.stopIfEnded(c.own.shares[m.rec.Share], att)
			continue
		}
		if j.share != m.rec.Share || att.idx >= j.sub.Tasks {
			att.job = j
			c.stop(att, haltHard)
			att.acted = att.state == attemptExited
			continue
		}
		if att.job != j {
			att.job = j
			c.touch(m)
		}
		r := j.run
		if r == nil || !r.ready {
			continue
		}
		if att.state == attemptExited {
			if att.acted {
				continue
			}
			if att.why == wire.WhyDone {
				c.taskDone(j, att.idx, att)
				c.awaitSave(j, att)
			} else {
				att.acted = true
			}
			continue
		}
		if other := r.active[att.idx]; other != nil || r.done.has(att.idx) {
			if other != att && att.halt != haltHard {
				c.log(Info, "surplus attempt stopped", "task", wire.TaskName(j.id, att.idx), "machine", m.id)
				c.stop(att, haltHard)
			}
			continue
		}
		att.owned = true
		r.active[att.idx] = att
		if att.state == attemptRunning {
			m.v.images[j.sub.Image] = true
		}
		if r.want == wire.StateCancelled {
			c.stop(att, haltHard)
		}
	}
}

// readopt looks at a share's machines again once Versions are known.
func (c *Core) readopt(s *share) {
	for _, m := range s.machines {
		if m.v != nil && m.v.settled {
			c.adopt(m)
		}
	}
}

// freeAttempt forgets an attempt that is on no machine (any more); its task waits
// again unless it is done. lost says that work was under way.
func (c *Core) freeAttempt(att *attempt, lost bool) {
	c.dropAttempt(att)
	c.requeue(att, lost)
}

// requeue lets an attempt's task wait again, unless it is done or not ours.
func (c *Core) requeue(att *attempt, lost bool) {
	if !att.owned {
		return
	}
	att.owned = false
	j := att.job
	if j == nil || j.run == nil || j.run.active[att.idx] != att {
		return
	}
	delete(j.run.active, att.idx)
	if !j.run.done.has(att.idx) {
		j.requeue(att.idx)
		s := c.own.shares[j.share]
		s.firstWait = min(s.firstWait, j.place)
		if lost {
			c.noteRecovery(j)
			c.log(Debug, "task lost, restarting from the newest Version", "task", wire.TaskName(j.id, att.idx), "machine", att.m.id)
		}
	}
	c.placementDue = true
}

// freeAll forgets what was on a machine. Unless ordersVoid, starts in direct
// orders that were not answered are kept: a machine that hung may yet find them.
func (c *Core) freeAll(m *machine, reason string, ordersVoid bool) {
	n := 0
	for _, att := range m.v.list {
		if att.state != attemptExited {
			n++
		}
	}
	if n > 0 {
		c.log(Info, "machine holds no tasks any more, what ran there restarts from the newest Version", "machine", m.id, "reason", reason, "tasks", n)
	}
	for _, att := range m.v.each() {
		if !ordersVoid && (att.state == attemptOrdered || att.state == attemptUnclear) {
			continue
		}
		if att.state == attemptExited {
			c.dropAttempt(att) // dealt with when it was seen
			continue
		}
		c.freeAttempt(att, att.state >= attemptFetching)
	}
}

// exited deals with the end of an attempt of ours.
func (c *Core) exited(att *attempt) {
	j, m := att.job, att.m
	c.placementDue = true
	switch att.why {
	case wire.WhyDone:
		if att.runAt > max(c.behindAt, 0) { // else its end may have been seen late, for lack of time here
			took := c.now - att.runAt
			c.noteSpeed(m, j, took)
			c.runs.learn(j.sub, took)
		}
		clear(m.v.failJobs)
		att.owned = false
		if j.run != nil && j.run.active[att.idx] == att {
			delete(j.run.active, att.idx)
			c.taskDone(j, att.idx, att)
			c.awaitSave(j, att)
		} else {
			att.acted = true
		}
		return
	case wire.WhyError:
		c.noteFailure(att)
	case wire.WhyNoRoom, wire.WhyInUse, wire.WhyUnknown:
		// Disagreements about state, not failures: look again a little later.
		m.v.restUntil = c.now + 2*micros.Second
		c.log(Info, "start refused", "task", wire.TaskName(j.id, att.idx), "machine", m.id, "why", att.why)
	}
	att.acted = true
	c.requeue(att, false)
}

// saveAll stops a machine's tasks so that they go on elsewhere, if all of them
// may.
func (c *Core) saveAll(m *machine) {
	attempts := m.v.each()
	for _, att := range attempts {
		if att.state != attemptExited && att.state != attemptSaving && !c.movable(att) {
			return
		}
	}
	for _, att := range attempts {
		switch {
		case att.state != attemptRunning:
		case att.job.sub.CheckpointS > 0:
			c.stop(att, haltSave)
		default:
			att.job.run.stopped[att.idx]++
			c.stop(att, haltHard)
		}
	}
}
