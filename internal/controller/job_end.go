package controller

import (
	"maps"
	"net/http"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// How jobs end: done or cancelled, by one record, of which users hear only after it stands.

// cancelJob records a cancellation and answers once it stands.
func (c *Controller) cancelJob(j *job, done func(peer.Answer)) {
	if len(j.run.waiters) >= 64 {
		done(peer.Answer{Status: http.StatusServiceUnavailable})
		return
	}
	j.run.waiters = append(j.run.waiters, done)
	c.requestCancellation(j)
	if !j.run.endInFlight && j.run.endState == wire.StateCancelled {
		c.endJob(j, wire.StateCancelled)
	}
}

// requestCancellation takes up a user's request to cancel a job. It is enough to stop the job's
// tasks, before and whether or not the record stands: nobody has any use for what
// they do from now on, and another node may tell "cancelled" before this one knows
// that its record was carried out. The tasks count until they are seen gone, and the
// owner goes on trying to record.
func (c *Controller) requestCancellation(j *job) {
	if j.run.endState != "" {
		return
	}
	s := c.ownership.shards[j.shard]
	c.log(Info, "job cancellation requested", "job", j.id, "shard", s.id, "epoch", s.ownerEpoch, "tasks", len(j.run.active))
	j.run.endState = wire.StateCancelled
	c.stopAllTasks(j)
	c.ownership.shards[j.shard].queueStale = true
	c.schedulingDue = true
}

// stopAllTasks stops all of a job's tasks.
func (c *Controller) stopAllTasks(j *job) {
	for _, idx := range slices.Sorted(maps.Keys(j.run.active)) {
		c.stop(j.run.active[idx], stopImmediate)
	}
}

// cancelled: a user has been told, or may be at any moment, that a job is cancelled.
func (c *Controller) cancelled(id string) bool {
	if f, over := c.jobs.final(id); over {
		return f.state == wire.StateCancelled
	}
	j := c.jobs.open[id]
	return j != nil && j.run != nil && j.run.endState == wire.StateCancelled
}

// stopPending: a cancelled task is on its machine, and is not to be stopped at once yet.
func (c *Controller) stopPending(att *attempt) bool {
	return att.stopMode != stopImmediate && att.onMachine() && c.cancelled(att.key.job)
}

// stopsForCancelledTasks sees to it that the answer to a heartbeat stops each cancelled task that the
// report lists. An answer renews the machine's lease, so the stop goes with every one, the
// first after a claim too: the machine may not hear the next before it changes hands again.
// It gives the stops for a machine whose list is not believed yet; its age does not matter
// to them, since no attempt comes twice. A job that has ended and left memory may have been
// cancelled.
func (c *Controller) stopsForCancelledTasks(s *shard, m *machine, heartbeat *wire.Heartbeat) (stops []wire.Command) {
	if m.view.reconciled {
		for _, att := range m.view.list {
			if c.stopPending(att) {
				c.stop(att, stopImmediate)
			}
		}
		return nil
	}
	for i := range heartbeat.Tasks {
		t := &heartbeat.Tasks[i]
		id, _, err := wire.ParseTask(t.Task)
		if err != nil || t.State == wire.TaskExited {
			continue
		}
		forgotten := !c.knows(id) && c.jobStatusOf(s, id, t.Attempt, c.now) == jobEnded
		if forgotten {
			c.logEndedTask(s, m, t.Task, id, t.Attempt)
		}
		if forgotten || c.cancelled(id) {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: new(0.0)})
		}
	}
	return stops
}

// refusedPause is how long a write that the state service refused as malformed or too
// large is put off.
const refusedPause = 15 * micros.Second

// endJob records a job as done or cancelled. Users hear of it only after.
func (c *Controller) endJob(j *job, state string) {
	r := j.run
	if r.endInFlight || !c.leaseValid() {
		if r.endState == "" {
			r.endState = state
		}
		return
	}
	s := c.ownership.shards[j.shard]
	rec := wire.JobRecord{AcceptedMS: j.rec.AcceptedMS, State: state, Tasks: j.sub.Tasks, EndMS: c.wall.Millis()}
	value, err := wire.Encode(rec)
	if err != nil {
		c.log(Error, "job record not encoded", "job", j.id, "error", err)
		return
	}
	r.endState, r.endInFlight = state, true
	r.nextEndAttemptAt = micros.Never
	txn := wire.Txn{
		If:   []wire.Condition{{Key: wire.JobKey(j.id), ModRevision: j.modRevision}, {Key: ownerKey(s.id), ModRevision: s.ownerEpoch}},
		Then: []wire.Change{{Put: wire.JobKey(j.id), Value: value}},
	}
	if r.checkpoint.mayExist() {
		txn.Then = append(txn.Then, wire.Change{Delete: wire.CheckpointKey(j.id)})
	}
	c.askState(classEnd, txn, 1500*micros.Millisecond, func(res Result) {
		if j.run != r {
			return
		}
		switch txnOutcomeOf(res) {
		case txnApplied:
			c.finishJob(j.id, finalJob{state: state, tasks: j.sub.Tasks, recorded: true, endMS: rec.EndMS})
		case txnNotExecuted:
			r.endInFlight = false
			r.nextEndAttemptAt = c.now + c.jitter(400*micros.Millisecond)
			c.failWaiters(j)
		case txnRejected:
			// Not executed, and not to be had soon: the state service takes less than the
			// settings say. Tried again seldom, so that no other write waits behind it.
			c.log(Error, "end of a job refused by the state service", "job", j.id, "bytes", len(value), "changes", txn.Writes())
			r.endInFlight = false
			r.nextEndAttemptAt = c.now + c.jitter(refusedPause)
			c.failWaiters(j)
		default:
			// In doubt, or something has changed: a read resolves it. Until then
			// nothing is told from memory.
			r.endInDoubt = true
			c.resolveEnd(j, r)
		}
	})
}

// resolveEnd reads a job whose end is in doubt.
func (c *Controller) resolveEnd(j *job, r *run) {
	c.readJob(classEnd, j.id, func(status int) {
		if j.run != r {
			return // final, or no longer ours
		}
		if status == http.StatusOK {
			// Not ended; a late copy can still end it, so that it stays unsure. j.mark
			// is as read.
			r.endInFlight = false
			r.nextEndAttemptAt = c.now
			c.failWaiters(j)
			return
		}
		r.nextEndAttemptAt = c.now + c.jitter(500*micros.Millisecond)
		c.failWaiters(j)
	})
}

func (c *Controller) failWaiters(j *job) {
	waiters := j.run.waiters
	j.run.waiters = nil
	for _, w := range waiters {
		c.later(func() { w(peer.Answer{Status: http.StatusServiceUnavailable}) })
	}
}

// finishJob takes notice that a job is over.
func (c *Controller) finishJob(id string, f finalJob) {
	delete(c.jobs.unusable, id)
	if old, ok := c.jobs.final(id); ok {
		if old.recorded || !f.recorded {
			return
		}
		f.broadcast = old.broadcast
		c.jobs.finals[id] = f // what a controller told now stands on record
	} else {
		c.jobs.addFinal(id, f)
	}
	c.dependencyEnded(id, f)
	j := c.jobs.open[id]
	if j == nil {
		return
	}
	delete(c.jobs.open, id)
	c.cascade.remove(id)
	c.unlinkDependencies(j)
	if f.state == wire.StateCancelled {
		c.logCancelled(j, f)
		c.broadcastCancellation(id)
	}
	if f.state == wire.StateDone {
		c.notePrefetchImage(j)
	}
	r := j.run
	if r == nil {
		return
	}
	waiters := r.waiters
	r.waiters = nil
	for _, w := range waiters {
		c.later(func() { w(finalAnswer(f)) })
	}
	if f.state == wire.StateDone {
		c.log(Info, "job done", "job", id, "class", j.sub.Class, "team", j.sub.Team, "tasks", f.tasks, "waited_s", max(r.firstRunAt-r.arrivedAt, 0).Seconds(), "seconds", (c.now - r.arrivedAt).Seconds())
	}
	c.stopAllTasks(j)
	j.run = nil
	c.ownership.shards[j.shard].queueStale = true
	c.schedulingDue = true
}
