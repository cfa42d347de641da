package controller

import (
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file writes the records of dependents of cancelled jobs, several in one transaction; see
// cancellationCascade.

const (
	// cascadeTimeout is how long such a transaction may take in all, for the write limit and the
	// answer.
	cascadeTimeout = 3 * micros.Second
	// cascadeRetryInterval is the mean time before the next transaction after one that was not
	// applied.
	cascadeRetryInterval = 400 * micros.Millisecond
	// lostClaimBackoff is the time before a dependent is retried after its transaction found that
	// the owner's claim is no longer valid. By then the watch should have shown the new owner.
	lostClaimBackoff = micros.Second
)

// dependentBatch is a set of dependents of one shard that one transaction records as cancelled.
type dependentBatch struct {
	shard      int
	ownerEpoch uint64
	jobs       []*job
	// runs holds job.run of each job when the transaction was sent; nil where another controller
	// owns the job.
	runs  []*run
	endMS int64 // time of day in milliseconds
	// generation is the cascade's generation when the transaction was sent.
	generation int
}

// nextDependentBatch returns a batch of the first jobs that share a shard and a claim, at most limit.
func (c *Controller) nextDependentBatch(jobs []*job, limit int) *dependentBatch {
	shard := jobs[0].shard
	ownerEpoch := c.recordingEpoch(jobs[0])
	n := 1
	for n < len(jobs) && n < limit && jobs[n].shard == shard && c.recordingEpoch(jobs[n]) == ownerEpoch {
		n++
	}
	return &dependentBatch{
		shard:      shard,
		ownerEpoch: ownerEpoch,
		jobs:       jobs[:n],
		endMS:      c.wall.Millis(),
		generation: c.cascade.generation,
	}
}

// cancellationTxn returns the transaction that records the jobs of a batch as cancelled; ok
// is false if a record can't be encoded.
func (c *Controller) cancellationTxn(b *dependentBatch) (txn wire.Txn, ok bool) {
	txn = wire.Txn{Conditions: []wire.Condition{{Key: ownerKey(b.shard), ModRevision: b.ownerEpoch}}}
	for _, j := range b.jobs {
		value, err := wire.Encode(j.finalRecord(wire.StateCancelled, b.endMS))
		if err != nil {
			c.log(Error, "job record not encoded", "job", j.id, "error", err)
			return wire.Txn{}, false
		}
		key := wire.JobKey(j.id)
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, ModRevision: j.modRevision})
		txn.Changes = append(txn.Changes, wire.Change{Put: key, Value: value})
	}
	return txn, true
}

// recordCancelled records a batch of dependents as cancelled, in one transaction.
func (c *Controller) recordCancelled(b *dependentBatch) {
	txn, ok := c.cancellationTxn(b)
	if !ok {
		return
	}
	cascade := &c.cascade
	cascade.txnsInFlight++
	b.runs = make([]*run, len(b.jobs))
	for i, j := range b.jobs {
		cascade.recording[j.id] = true
		b.runs[i] = j.run
		if j.run != nil {
			j.run.end.markSent(j.run.end.state)
		}
	}
	c.queueStateRequest(statestore.ClassDependents, txn, cascadeTimeout, func(res statestore.Reply) {
		c.handleDependentBatch(b, txn, res)
		c.recordDependents()
	})
}

// handleDependentBatch handles the result of the transaction of a batch.
func (c *Controller) handleDependentBatch(b *dependentBatch, txn wire.Txn, res statestore.Reply) {
	outcome := res.Outcome()
	failed := res.FailedKeys()
	current := c.cascade.generation == b.generation
	if current {
		c.handleDependentTxnEnd(b, txn, outcome, failed)
	}
	claimLost := slices.Contains(failed, ownerKey(b.shard))
	for i, j := range b.jobs {
		if current {
			delete(c.cascade.recording, j.id)
		}
		if c.jobs.open[j.id] != j || j.run != b.runs[i] {
			continue // ended, or its owner has changed
		}
		if outcome == statestore.Applied {
			c.finishJob(j.id, finalJob{state: wire.StateCancelled, tasks: j.sub.Tasks, recorded: true, endMS: b.endMS})
			continue
		}
		jobChanged := slices.Contains(failed, wire.JobKey(j.id))
		c.handleUnrecordedDependent(j, outcome, jobChanged, claimLost)
	}
}

// handleDependentTxnEnd removes a transaction from those in flight and delays the next one if it was
// not applied.
func (c *Controller) handleDependentTxnEnd(b *dependentBatch, txn wire.Txn, outcome statestore.Outcome, failed []string) {
	cascade := &c.cascade
	cascade.txnsInFlight--
	if outcome != statestore.Applied && len(failed) == 0 {
		cascade.retryAt = c.now + c.jitter(cascadeRetryInterval)
	}
	if outcome == statestore.Rejected {
		c.log(Error, "ends of dependents refused by the state service", "first", b.jobs[0].id, "changes", txn.Writes())
		cascade.retryAt = c.now + c.jitter(rejectedWriteBackoff)
	}
}

// handleUnrecordedDependent handles a dependent whose transaction failed or whose outcome is unknown.
// jobChanged and claimLost say which of its conditions were not met.
func (c *Controller) handleUnrecordedDependent(j *job, outcome statestore.Outcome, jobChanged, claimLost bool) {
	r := j.run
	if r == nil {
		if jobChanged || claimLost {
			delete(c.cascade.requested, j.id) // its owner repeats the request if it is still needed
		}
		return
	}
	r.end.retryAt(c.now)
	c.failWaiters(j)
	switch {
	case jobChanged:
		r.end.markResolving()
		c.resolveEnd(j, r)
	case claimLost:
		r.end.retryAt(c.now + c.jitter(lostClaimBackoff))
	case outcome == statestore.InDoubt:
		r.end.inDoubt = true // a late copy may yet be executed
	}
}
