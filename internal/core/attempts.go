package core

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Attempts at tasks on machines: what a report says of them, and what follows from it.

type slotKey struct {
	job     string
	idx     int
	attempt uint64
}

type slotState int

// A slot's life. Up to slotUnclear the worker may not know of the attempt.
const (
	slotAssigned slotState = iota // not sent
	slotSent                      // in a report's answer: the next report shows it
	slotOrdered                   // in a direct order whose answer is awaited
	slotUnclear                   // in a direct order that was not answered
	slotFetching
	slotRunning
	slotSaving
	slotExited
)

// How a task is to be stopped.
const (
	haltNone = iota
	haltSave // with time to save
	haltHard
)

// slot is one attempt at a task on one machine. From its making until it is
// gone it counts against room, limits and placement.
type slot struct {
	key      slotKey
	job      *job // nil: not known (yet)
	idx      int
	m        *machine
	state    slotState
	sentSeq  uint64
	listed   uint64 // the round of observe that saw it last
	owned    bool   // it stands in job.run.active
	since    micros.Micros
	runAt    micros.Micros // when it was first seen running; 0: not yet
	halt     int
	haltAt   micros.Micros
	prefetch bool // a done task run again for its image only; see prefetch.go
	why      string
	acted    bool // exited, and its end is on record or dealt with
	// ordered is the token of the direct order that carried the start; 0: none.
	ordered uint64
}

// clearable: the worker may forget an attempt that is dealt with. One that was
// started by a direct order and did not complete must stay known until a higher
// token was seen: a repeat of that order, which can follow the end of the
// process that sent it, has no effect only as long as the attempt is known.
func (sl *slot) clearable() bool {
	return sl.state == slotExited && sl.acted &&
		(sl.ordered == 0 || sl.why == wire.WhyDone || sl.prefetch || sl.m.v.token > sl.ordered)
}

// addSlot puts an attempt on a machine's list.
func (c *Core) addSlot(sl *slot) {
	sl.m.v.put(sl)
	c.touch(sl.m)
}

func (v *view) put(sl *slot) {
	v.slots[sl.key] = sl
	v.list = append(v.list, sl)
}

// dropSlot takes it off again.
func (c *Core) dropSlot(sl *slot) {
	v := sl.m.v
	if v == nil || v.slots[sl.key] != sl {
		return
	}
	delete(v.slots, sl.key)
	if i := slices.Index(v.list, sl); i >= 0 {
		v.list = slices.Delete(v.list, i, i+1)
	}
	c.touch(sl.m)
}

// each gives a machine's attempts; they may be dropped meanwhile.
func (v *view) each() []*slot { return slices.Clone(v.list) }

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
		key := slotKey{job: id, idx: idx, attempt: t.Attempt}
		sl := v.slots[key]
		if sl == nil {
			if len(v.list) > 4000 {
				continue
			}
			sl = &slot{key: key, idx: idx, m: m, since: c.now, haltAt: -micros.Never}
			c.addSlot(sl)
		}
		sl.listed = c.round
		c.update(sl, t)
	}
	for _, sl := range v.each() {
		c.looks++
		if sl.listed == c.round {
			continue
		}
		switch sl.state {
		case slotAssigned, slotOrdered, slotUnclear:
			// Not sent, or its message may still be under way.
		case slotSent:
			if checkin && rep.Seq > sl.sentSeq {
				c.freeSlot(sl, false) // the answer that carried it was dropped
			}
		case slotExited:
			c.dropSlot(sl)
		default:
			c.log(Info, "task vanished from its machine", "task", wire.TaskName(sl.key.job, sl.idx), "machine", m.id)
			c.freeSlot(sl, true)
		}
	}
}

// update takes one task's state from a report.
func (c *Core) update(sl *slot, t *wire.TaskReport) {
	was := sl.state
	defer func() {
		if sl.state != was {
			c.touch(sl.m)
		}
	}()
	switch t.State {
	case wire.TaskFetching:
		sl.state = slotFetching
	case wire.TaskRunning:
		sl.state = slotRunning
		if sl.runAt == 0 {
			sl.runAt = c.now
		}
		if sl.job != nil {
			sl.m.v.images[sl.job.sub.Image] = true
		}
	case wire.TaskSaving:
		sl.state = slotSaving
	case wire.TaskExited:
		if was == slotExited {
			return
		}
		sl.state, sl.why = slotExited, t.Why
		sl.since = c.now
		c.log(Debug, "task exited", "task", t.Task, "machine", sl.m.id, "why", t.Why, "saved", t.Saved, "ran_s", sl.ran(c.now).Seconds())
		if sl.owned {
			c.exited(sl)
		}
		return
	}
	if was != sl.state {
		sl.since = c.now
	}
}

// ran is how long an attempt has been seen running.
func (sl *slot) ran(now micros.Micros) micros.Micros {
	if sl.runAt == 0 {
		return 0
	}
	return now - sl.runAt
}

// adopt matches tasks found on a machine with their jobs, or stops what should not
// be there.
func (c *Core) adopt(m *machine) {
	for _, sl := range m.v.each() {
		if sl.owned || sl.state < slotFetching {
			continue
		}
		if sl.prefetch {
			c.notePrefetched(sl)
			continue
		}
		if _, over := c.jobs.final(sl.key.job); over {
			if sl.state == slotExited {
				sl.acted = true
			} else {
				c.stop(sl, haltHard)
			}
			continue
		}
		j := c.jobs.open[sl.key.job]
		if j == nil {
			c.lookUp(sl) // the watch may yet bring it
			continue
		}
		if j.share != m.rec.Share || sl.idx >= j.sub.Tasks {
			sl.job = j
			c.stop(sl, haltHard)
			sl.acted = sl.state == slotExited
			continue
		}
		if sl.job != j {
			sl.job = j
			c.touch(m)
		}
		r := j.run
		if r == nil || !r.ready {
			continue
		}
		if sl.state == slotExited {
			if sl.acted {
				continue
			}
			if sl.why == wire.WhyDone {
				c.taskDone(j, sl.idx, sl)
				c.awaitSave(j, sl)
			} else {
				sl.acted = true
			}
			continue
		}
		if other := r.active[sl.idx]; other != nil || r.done.has(sl.idx) {
			if other != sl && sl.halt != haltHard {
				c.log(Info, "surplus attempt stopped", "task", wire.TaskName(j.id, sl.idx), "machine", m.id)
				c.stop(sl, haltHard)
			}
			continue
		}
		sl.owned = true
		r.active[sl.idx] = sl
		if sl.state == slotRunning {
			m.v.images[j.sub.Image] = true
		}
		if r.want == wire.StateCancelled {
			c.stop(sl, haltHard)
		}
	}
}

// strayFor is how long a machine may hold a task of a job that this node does not know
// before the job's record is read: a job that is long over may have left memory.
const strayFor = 5 * micros.Second

// lookUp reads the job of a stray attempt, one at a time; the next report of the
// machine finds it. What nobody submitted is stopped.
func (c *Core) lookUp(sl *slot) {
	if c.lookingUp || sl.state == slotExited || c.now < sl.since+strayFor {
		return
	}
	c.lookingUp = true
	c.readJob(sl.key.job, func(status int) {
		c.lookingUp = false
		if v := sl.m.v; status == 404 && v != nil && v.slots[sl.key] == sl {
			c.stop(sl, haltHard)
		}
	})
}

// readopt looks at a share's machines again once Versions are known.
func (c *Core) readopt(s *share) {
	for _, m := range s.machines {
		if m.v != nil && m.v.settled {
			c.adopt(m)
		}
	}
}

// freeSlot forgets an attempt that is on no machine (any more); its task waits
// again unless it is done. lost says that work was under way.
func (c *Core) freeSlot(sl *slot, lost bool) {
	c.dropSlot(sl)
	c.requeue(sl, lost)
}

// requeue lets an attempt's task wait again, unless it is done or not ours.
func (c *Core) requeue(sl *slot, lost bool) {
	if !sl.owned {
		return
	}
	sl.owned = false
	j := sl.job
	if j == nil || j.run == nil || j.run.active[sl.idx] != sl {
		return
	}
	delete(j.run.active, sl.idx)
	if !j.run.done.has(sl.idx) {
		j.requeue(sl.idx)
		s := c.own.shares[j.share]
		s.firstWait = min(s.firstWait, j.place)
		if lost {
			c.noteRecovery(j)
			c.log(Debug, "task lost, restarting from the newest Version", "task", wire.TaskName(j.id, sl.idx), "machine", sl.m.id)
		}
	}
	c.placementDue = true
}

// freeAll forgets what was on a machine. Unless ordersVoid, starts in direct
// orders that were not answered are kept: a machine that hung may yet find them.
func (c *Core) freeAll(m *machine, reason string, ordersVoid bool) {
	n := 0
	for _, sl := range m.v.list {
		if sl.state != slotExited {
			n++
		}
	}
	if n > 0 {
		c.log(Info, "machine holds no tasks any more, what ran there restarts from the newest Version", "machine", m.id, "reason", reason, "tasks", n)
	}
	for _, sl := range m.v.each() {
		if !ordersVoid && (sl.state == slotOrdered || sl.state == slotUnclear) {
			continue
		}
		if sl.state == slotExited {
			c.dropSlot(sl) // dealt with when it was seen
			continue
		}
		c.freeSlot(sl, sl.state >= slotFetching)
	}
}

// exited deals with the end of an attempt of ours.
func (c *Core) exited(sl *slot) {
	j, m := sl.job, sl.m
	c.placementDue = true
	switch sl.why {
	case wire.WhyDone:
		if sl.runAt > max(c.behindAt, 0) { // else its end may have been seen late, for lack of time here
			took := c.now - sl.runAt
			c.noteSpeed(m, j, took)
			c.runs.learn(j.sub, took)
		}
		clear(m.v.failJobs)
		sl.owned = false
		if j.run != nil && j.run.active[sl.idx] == sl {
			delete(j.run.active, sl.idx)
			c.taskDone(j, sl.idx, sl)
			c.awaitSave(j, sl)
		} else {
			sl.acted = true
		}
		return
	case wire.WhyError:
		c.noteFailure(sl)
	case wire.WhyNoRoom, wire.WhyInUse, wire.WhyUnknown:
		// Disagreements about state, not failures: look again a little later.
		m.v.restUntil = c.now + 2*micros.Second
		c.log(Info, "start refused", "task", wire.TaskName(j.id, sl.idx), "machine", m.id, "why", sl.why)
	}
	sl.acted = true
	c.requeue(sl, false)
}

// saveAll stops a machine's tasks so that they go on elsewhere, if all of them
// may.
func (c *Core) saveAll(m *machine) {
	slots := m.v.each()
	for _, sl := range slots {
		if sl.state != slotExited && sl.state != slotSaving && !c.movable(sl) {
			return
		}
	}
	for _, sl := range slots {
		switch {
		case sl.state != slotRunning:
		case sl.job.sub.CheckpointS > 0:
			c.stop(sl, haltSave)
		default:
			sl.job.run.stopped[sl.idx]++
			c.stop(sl, haltHard)
		}
	}
}
