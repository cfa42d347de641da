package controller

import (
	"maps"
	"net/http"
	"slices"

	"garnethitch/internal/controller/authority"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// The end of a job, done or cancelled, is one record. Users are answered with a final state
// only after that record stands.

const (
	// maxCancelWaiters bounds the requests that wait for one job's cancellation.
	maxCancelWaiters = 64
	// refusedPause is how long a write is put off that the state service refused as
	// malformed or too large.
	refusedPause = 15 * micros.Second

	endTimeout = 1500 * micros.Millisecond
	// endRetryInterval is the mean time to the next try of an end that was not executed.
	endRetryInterval = 400 * micros.Millisecond
	// endReadRetryInterval is the same for a read that resolves an end in doubt.
	endReadRetryInterval = 500 * micros.Millisecond
)

// unavailable is the answer where this node can't say in what state a job is.
func unavailable() peer.JobResponse { return peer.JobResponse{Status: http.StatusServiceUnavailable} }

// cancelJob records a cancellation and answers once it stands.
func (c *Controller) cancelJob(j *job, done func(peer.JobResponse)) {
	end := &j.run.end
	if len(end.waiters) >= maxCancelWaiters {
		done(unavailable())
		return
	}
	end.waiters = append(end.waiters, done)
	c.requestCancellation(j)
	if !end.inFlight() && end.state == wire.StateCancelled {
		c.endJob(j, wire.StateCancelled)
	}
}

// requestCancellation takes a user's request to cancel a job. The job's tasks are stopped
// before and whether or not the record stands: nobody has any use for what they do from
// now on, and another controller may answer "cancelled" before this one knows that its
// record was written. The tasks count until they are seen gone, and the owner keeps trying
// to record.
func (c *Controller) requestCancellation(j *job) {
	if j.run.end.requested() {
		return
	}
	s := c.ownership.shards[j.shard]
	c.log(Info, "job cancellation requested", "job", j.id, "shard", s.id, "epoch", s.ownerEpoch, "tasks", len(j.run.active))
	j.run.end.request(wire.StateCancelled)
	c.stopAllTasks(j)
	s.queueStale = true
	c.schedulingDue = true
}

// stopAllTasks stops all of a job's tasks.
func (c *Controller) stopAllTasks(j *job) {
	for _, idx := range slices.Sorted(maps.Keys(j.run.active)) {
		c.stop(j.run.active[idx], stopImmediate)
	}
}

// cancelled reports whether a user was answered, or may be at any moment, that a job is
// cancelled.
func (t *jobTable) cancelled(id string) bool {
	if f, over := t.final(id); over {
		return f.state == wire.StateCancelled
	}
	j := t.open[id]
	return j != nil && j.run != nil && j.run.end.state == wire.StateCancelled
}

// stopPending reports whether a cancelled task is on its machine without an immediate stop.
func (t *jobTable) stopPending(att *attempt) bool {
	return att.stopMode != stopImmediate && att.onMachine() && t.cancelled(att.key.job)
}

// stopsForCancelledTasks ensures that the answer to a heartbeat stops each cancelled task that the
// heartbeat lists. An answer renews the machine's lease, so every answer has the stops, the
// first after a claim too: the machine may not receive the next before its shard changes
// hands again. It returns the stops for a machine that is not reconciled; the age of its
// list does not matter to them, since no attempt number is used twice.
func (c *Controller) stopsForCancelledTasks(s *shard, m *machine, heartbeat *wire.Heartbeat) (stops []wire.Command) {
	if m.view.reconciled {
		for _, att := range m.view.list {
			if c.jobs.stopPending(att) {
				c.stop(att, stopImmediate)
			}
		}
		return nil
	}
	for i := range heartbeat.Tasks {
		t := &heartbeat.Tasks[i]
		if c.mayBeCancelled(s, m, t) {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: new(0.0)})
		}
	}
	return stops
}

// mayBeCancelled reports whether a task that a machine lists is of a job that is cancelled,
// or that has ended and left memory, so that it may have been cancelled.
func (c *Controller) mayBeCancelled(s *shard, m *machine, t *wire.TaskStatus) bool {
	id, _, err := wire.ParseTaskName(t.Task)
	if err != nil || t.State == wire.TaskExited {
		return false
	}
	if !c.jobs.knows(id) && c.jobStatusOf(s, id, t.Attempt, c.now) == authority.JobEnded {
		c.logEndedTask(s, m, t.Task, id, t.Attempt)
		return true
	}
	return c.jobs.cancelled(id)
}

// finalRecord is the record of a job that ended in a state at a time of day in milliseconds.
func (j *job) finalRecord(state wire.JobState, endMS int64) wire.JobRecord {
	return wire.JobRecord{AcceptedMS: j.rec.AcceptedMS, State: state, Tasks: j.sub.Tasks, EndMS: endMS}
}

// endJob records a job as done or cancelled.
func (c *Controller) endJob(j *job, state wire.JobState) {
	r := j.run
	if r.end.inFlight() || !c.ownership.leaseValid() {
		r.end.request(state)
		return
	}
	rec := j.finalRecord(state, c.wall.Millis())
	value, err := wire.Encode(rec)
	if err != nil {
		c.log(Error, "job record not encoded", "job", j.id, "error", err)
		return
	}
	r.end.sent(state)
	txn := c.endTxn(j, value)
	c.askState(statestore.ClassEnd, txn, endTimeout, func(res statestore.Reply) {
		if j.run != r {
			return
		}
		outcome := res.Outcome()
		if outcome == statestore.Applied {
			c.finishJob(j.id, finalJob{state: state, tasks: j.sub.Tasks, recorded: true, endMS: rec.EndMS})
			return
		}
		if outcome == statestore.Rejected {
			c.log(Error, "end of a job refused by the state service", "job", j.id, "bytes", len(value), "changes", txn.Writes())
		}
		c.endNotRecorded(j, r, outcome)
	})
}

// endTxn is the transaction that writes the final record of a job and deletes its
// checkpoint.
func (c *Controller) endTxn(j *job, value wire.Raw) wire.Txn {
	s := c.ownership.shards[j.shard]
	txn := wire.Txn{
		Conditions: []wire.Condition{
			{Key: wire.JobKey(j.id), ModRevision: j.modRevision},
			{Key: ownerKey(s.id), ModRevision: s.ownerEpoch},
		},
		Changes: []wire.Change{{Put: wire.JobKey(j.id), Value: value}},
	}
	if j.run.checkpoint.mayExist() {
		txn.Changes = append(txn.Changes, wire.Change{Delete: wire.CheckpointKey(j.id)})
	}
	return txn
}

// endNotRecorded handles an end whose transaction did not succeed, or may not have.
func (c *Controller) endNotRecorded(j *job, r *run, outcome statestore.Outcome) {
	switch outcome {
	case statestore.NotExecuted:
		r.end.retryAt(c.now + c.jitter(endRetryInterval))
		c.failWaiters(j)
	case statestore.Rejected:
		// Retried after a long pause, so that no other write waits behind it: the state service
		// takes less than the settings say.
		r.end.retryAt(c.now + c.jitter(refusedPause))
		c.failWaiters(j)
	default:
		// In doubt, or a condition failed: a read resolves it.
		r.end.inDoubt = true
		c.resolveEnd(j, r)
	}
}

// resolveEnd reads the record of a job whose end is in doubt.
func (c *Controller) resolveEnd(j *job, r *run) {
	c.readJob(statestore.ClassEnd, j.id, func(found statestore.Lookup) {
		if j.run != r {
			return // ended, or no longer owned here
		}
		if found == statestore.LookupFound {
			// Not ended, and j.modRevision is as read. A late copy of the transaction can
			// still end it, so that it stays in doubt.
			r.end.retryAt(c.now)
		} else {
			r.end.nextAttemptAt = c.now + c.jitter(endReadRetryInterval)
		}
		c.failWaiters(j)
	})
}

// failWaiters answers those who wait for a job's end that it is not known.
func (c *Controller) failWaiters(j *job) { c.answerWaiters(j.run, unavailable()) }

// answerWaiters answers those who wait for a job's end.
func (c *Controller) answerWaiters(r *run, answer peer.JobResponse) {
	for _, waiter := range r.end.takeWaiters() {
		c.later(func() { waiter(answer) })
	}
}

// finishJob takes note that a job is over.
func (c *Controller) finishJob(id string, f finalJob) {
	delete(c.jobs.unusable, id)
	if !c.jobs.recordFinal(id, f) {
		return
	}
	c.dependencyEnded(id, f)
	j := c.jobs.open[id]
	if j == nil {
		return
	}
	delete(c.jobs.open, id)
	c.cascade.remove(id)
	c.unlinkDependencies(j)
	switch f.state {
	case wire.StateCancelled:
		c.logCancelled(j, f)
		c.broadcastCancellation(id)
	case wire.StateDone:
		c.notePrefetchImage(j)
	}
	if j.run != nil {
		c.finishRun(j, f)
	}
}

// finishRun ends an owner's work on a job that is over.
func (c *Controller) finishRun(j *job, f finalJob) {
	r := j.run
	c.answerWaiters(r, f.answer())
	if f.state == wire.StateDone {
		waited := max(r.firstRunAt-r.arrivedAt, 0)
		took := c.now - r.arrivedAt
		c.log(Info, "job done", "job", j.id, "class", j.sub.Class, "team", j.sub.Team, "tasks", f.tasks, "waited_s", waited.Seconds(), "seconds", took.Seconds())
	}
	c.stopAllTasks(j)
	j.run = nil
	c.ownership.shards[j.shard].queueStale = true
	c.schedulingDue = true
}
