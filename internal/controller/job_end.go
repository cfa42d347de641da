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

// A job ends when its final record, done or cancelled, is written. Users are answered with a final
// state only once that record is in the state service.

const (
	// maxCancelWaiters bounds the requests that wait for the cancellation of one job.
	maxCancelWaiters = 64
	// rejectedWriteBackoff is the time before the retry of a write that the state service refused
	// as malformed or too large.
	rejectedWriteBackoff = 15 * micros.Second

	endTimeout = 1500 * micros.Millisecond
	// endRetryInterval is the mean time before the retry of an end whose transaction was not
	// executed.
	endRetryInterval = 400 * micros.Millisecond
	// endReadRetryInterval is the mean time before the retry of a read that resolves an end in
	// doubt.
	endReadRetryInterval = 500 * micros.Millisecond
)

// unavailable returns the answer for a job whose state this node can't determine: 503.
func unavailable() peer.JobResponse { return peer.JobResponse{Status: http.StatusServiceUnavailable} }

// cancelJob cancels a job that this node owns. It calls done with the recorded final state, which is
// done if the job was done first, or with unavailable if the record fails or too many requests wait
// for it.
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

// requestCancellation starts a cancellation that a user requested. The job's tasks are stopped
// before the record is written and even if writing it fails: nobody needs their work any more, and
// another controller may answer "cancelled" before this one knows that its record was written. The
// tasks count against limits until they are known to be gone from their machines, and the owner
// retries the record until it is written.
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

// stopAllTasks stops all tasks of a job immediately.
func (c *Controller) stopAllTasks(j *job) {
	for _, idx := range slices.Sorted(maps.Keys(j.run.active)) {
		c.stop(j.run.active[idx], stopImmediate)
	}
}

// cancelled reports whether a user may have been told, or may be told at any moment, that a job is
// cancelled.
func (t *jobTable) cancelled(id string) bool {
	if f, ended := t.final(id); ended {
		return f.state == wire.StateCancelled
	}
	j := t.open[id]
	return j != nil && j.run != nil && j.run.end.state == wire.StateCancelled
}

// needsImmediateStop reports whether an attempt of a cancelled job is on its machine and no immediate
// stop was requested for it.
func (t *jobTable) needsImmediateStop(att *attempt) bool {
	return att.stopMode != stopImmediate && att.onMachine() && t.cancelled(att.key.job)
}

// stopsForCancelledTasks ensures that the reply to a heartbeat stops each cancelled task that the
// heartbeat lists. Every reply renews the machine's lease, so every reply must contain the stops,
// including the first one after a claim: the owner of the shard may change again before the machine
// receives the next reply. For a reconciled machine the stops are requested through c.stop; for any
// other machine the function returns them. An old task list does no harm here, since no attempt
// number is used twice.
func (c *Controller) stopsForCancelledTasks(s *shard, m *machine, heartbeat *wire.Heartbeat) (stops []wire.Command) {
	if m.view.reconciled {
		for _, att := range m.view.attemptList {
			if c.jobs.needsImmediateStop(att) {
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

// mayBeCancelled reports whether a listed task belongs to a job that is cancelled, or that has ended
// and was evicted from memory, so that it may have been cancelled.
func (c *Controller) mayBeCancelled(s *shard, m *machine, t *wire.TaskStatus) bool {
	id, _, err := wire.ParseTaskName(t.Task)
	if err != nil || t.State == wire.TaskExited {
		return false
	}
	if !c.jobs.contains(id) && c.jobStatusOf(s, id, t.Attempt, c.now) == authority.JobEnded {
		c.logEndedTask(s, m, t.Task, id, t.Attempt)
		return true
	}
	return c.jobs.cancelled(id)
}

// finalRecord returns the record of a job that ended in the given state. endMS is a time of day in
// milliseconds.
func (j *job) finalRecord(state wire.JobState, endMS int64) wire.JobRecord {
	return wire.JobRecord{AcceptedMS: j.rec.AcceptedMS, State: state, Tasks: j.sub.Tasks, EndMS: endMS}
}

// endJob writes the record that a job is done or cancelled. If a write is in flight or the lease is
// not valid, it only requests the end, and maintainJob retries it.
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
	r.end.markSent(state)
	txn := c.endTxn(j, value)
	c.queueStateRequest(statestore.ClassEnd, txn, endTimeout, func(res statestore.Reply) {
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
		c.handleUnrecordedEnd(j, r, outcome)
	})
}

// endTxn returns the transaction that writes the final record of a job and deletes its checkpoint.
// It is conditional on the job's revision and on this node's claim of the shard.
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

// handleUnrecordedEnd handles an end whose transaction failed or whose outcome is unknown.
func (c *Controller) handleUnrecordedEnd(j *job, r *run, outcome statestore.Outcome) {
	switch outcome {
	case statestore.NotExecuted:
		r.end.retryAt(c.now + c.jitter(endRetryInterval))
		c.failWaiters(j)
	case statestore.Rejected:
		// The state service accepts less than the settings say. The long backoff keeps the retries
		// from delaying other writes.
		r.end.retryAt(c.now + c.jitter(rejectedWriteBackoff))
		c.failWaiters(j)
	default:
		// The outcome is in doubt or a condition failed. A read resolves it.
		r.end.inDoubt = true
		c.resolveEnd(j, r)
	}
}

// resolveEnd reads the record of a job whose end is in doubt.
func (c *Controller) resolveEnd(j *job, r *run) {
	c.readJob(statestore.ClassEnd, j.id, func(found statestore.Lookup) {
		if j.run != r {
			return // the job has ended or this node no longer owns it
		}
		if found == statestore.LookupFound {
			// The job has not ended, and j.modRevision is the revision that was read. A late copy
			// of the transaction can still end the job, so the end stays in doubt.
			r.end.retryAt(c.now)
		} else {
			r.end.nextAttemptAt = c.now + c.jitter(endReadRetryInterval)
		}
		c.failWaiters(j)
	})
}

// failWaiters answers unavailable to all requests that wait for a job's end.
func (c *Controller) failWaiters(j *job) { c.answerWaiters(j.run, unavailable()) }

// answerWaiters answers all requests that wait for a job's end.
func (c *Controller) answerWaiters(r *run, answer peer.JobResponse) {
	for _, waiter := range r.end.takeWaiters() {
		c.deferToStepEnd(func() { waiter(answer) })
	}
}

// finishJob stores how a job ended, handles its dependents and removes it from the open jobs. It
// does nothing if the end was known already.
func (c *Controller) finishJob(id string, f finalJob) {
	delete(c.jobs.unusable, id)
	if !c.jobs.recordFinal(id, f) {
		return
	}
	c.handleDependencyEnd(id, f)
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
		c.recordPrefetchImage(j)
	}
	if j.run != nil {
		c.finishRun(j, f)
	}
}

// finishRun ends this node's work on a job that it owns and that has ended.
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
