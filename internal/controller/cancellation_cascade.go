package controller

import (
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// A cancellation extends to all direct and transitive dependents of the cancelled job. Dependents
// have no tasks on machines, so only their records must be written. There may be more of them than
// one controller's share of the state service's write limit can record within the time allowed for
// a cancellation. The owner therefore records several dependents in one transaction, with a lower
// urgency than acceptances and other ends, and requests the other controllers to record some too.
//
// Another controller records only the dependents that the owner requested. The owner then knows of
// the cancellation and no longer answers that the job is pending, whatever the other controller
// answers a user. The transaction is conditional on the job's revision and on the claim under which
// the owner requested it, so that a late copy, a second writer or a former owner changes nothing.

const (
	// maxCascadeTransactions bounds the transactions of dependents in flight. With two, one waits
	// for the write limit while the other waits for its answer.
	maxCascadeTransactions = 2
	// cascadeTimeout is how long such a transaction may take in all, for the write limit and the
	// answer.
	cascadeTimeout = 3 * micros.Second
	// cascadeRetryInterval is the mean time before the next transaction after one that was not
	// applied.
	cascadeRetryInterval = 400 * micros.Millisecond
	// cascadeTxnsPerSecond is the least number of transactions into which the writes of one second
	// are split. A more urgent request waits no longer than one of them takes.
	cascadeTxnsPerSecond = 4
	// maxCascadeBurst bounds the burst of writes after a pause: writes that were not used in the
	// pause may be made up for at most this time.
	maxCascadeBurst = micros.Second / 2
	// dependentsWritesFraction is the greatest fraction of this node's writes that dependents may
	// take. They are written before the records of machines, which need the remaining
	// writes.
	dependentsWritesFraction = 0.75
	// helpThreshold bounds the time in which an owner records dependents without help. If it would
	// need longer, it requests the other controllers to record some.
	helpThreshold = 3 * micros.Second
	// maxRecordRequests bounds the jobs that one status message requests another controller to
	// record. The message is repeated each second.
	maxRecordRequests = 200
	// lostClaimBackoff is the time before a dependent is retried after its transaction found that
	// the owner's claim is no longer valid. By then the watch should have shown the new owner.
	lostClaimBackoff = micros.Second
	// helpDelay is the time until the other controllers know of a cancellation and of the
	// dependents that they are requested to record.
	helpDelay = 3 * statusInterval
	// failoverLeases is the longest time, in lease durations, until the shards of a failed
	// controller have another owner.
	failoverLeases = 2
)

// cancellationCascade is the state of recording the dependents of cancelled jobs as cancelled.
type cancellationCascade struct {
	// jobs holds all open jobs with a cancelled dependency, by id, whoever owns them.
	jobs map[string]*job
	// ids holds the ids of these jobs, and of some that have ended, in order unless idsUnsorted is
	// set; see sortedIDs.
	ids         []string
	idsUnsorted bool
	// requested holds the jobs that their owners requested this node to record, with the epoch of
	// the claim under which each owner did.
	requested map[string]uint64
	// recording holds the jobs in transactions in flight.
	recording    map[string]bool
	txnsInFlight int
	retryAt      micros.Micros
	// nextTxnAt is when dependentsWritesFraction allows the next transaction.
	nextTxnAt micros.Micros
	// generation is incremented when this node loses a shard. Transactions of earlier generations
	// no longer count as in flight.
	generation int
}

// init makes the maps of an empty cascade.
func (cascade *cancellationCascade) init() {
	cascade.jobs = map[string]*job{}
	cascade.requested = map[string]uint64{}
	cascade.recording = map[string]bool{}
}

// forgetTransactions stops counting the transactions in flight. It is called when this node loses a
// shard: the conditions of its transactions then name a claim that is no longer valid.
func (cascade *cancellationCascade) forgetTransactions() {
	cascade.generation++
	cascade.txnsInFlight = 0
	cascade.retryAt = 0
	clear(cascade.recording)
}

// add adds a job with a cancelled dependency that was not added before.
func (cascade *cancellationCascade) add(j *job) {
	cascade.jobs[j.id] = j
	cascade.ids = append(cascade.ids, j.id)
	cascade.idsUnsorted = true
}

// sortedIDs returns the ids of the jobs in order, and ids of jobs that have ended between them. It
// sorts only after jobs were added, and drops the ended ones once they are the greater part, so that
// the cost of a transaction does not grow with the jobs that are left.
func (cascade *cancellationCascade) sortedIDs() []string {
	if len(cascade.ids) > 2*len(cascade.jobs) {
		cascade.ids = slices.DeleteFunc(cascade.ids, func(id string) bool { return cascade.jobs[id] == nil })
	}
	if cascade.idsUnsorted {
		slices.Sort(cascade.ids)
		cascade.ids = slices.Compact(cascade.ids)
		cascade.idsUnsorted = false
	}
	return cascade.ids
}

// remove removes a job that has ended.
func (cascade *cancellationCascade) remove(id string) {
	delete(cascade.jobs, id)
	delete(cascade.requested, id)
	if len(cascade.jobs) == 0 {
		cascade.ids = nil
	}
}

// CancellableDependents returns how many dependents of a cancelled job can be recorded within
// cfg.CancelWithin if controllersDown controllers are down and the state service is unavailable for
// a part of that time of length outage. Each dependent takes one write. Acceptances and ends of jobs
// go first and reduce the number.
func CancellableDependents(cfg Config, controllersDown int, outage micros.Micros) int {
	nodes := len(cfg.Peers) + 1
	available := cfg.CancelWithin - outage - helpDelay
	if controllersDown > 0 {
		available -= failoverLeases * cfg.Lease
	}
	if available <= 0 || controllersDown >= nodes {
		return 0
	}
	rate := cfg.WriteRPS * statestore.UsableFraction * dependentsWritesFraction * float64(nodes-controllersDown) / float64(nodes)
	return int(rate * available.Seconds())
}

// recorderOf returns the label of the controller that records a dependent when all controllers take
// part. The choice is independent of the job's shard, although both derive from the same hash.
func (c *Controller) recorderOf(id string) string {
	return c.nodes[hashOf(id)/uint64(c.cfg.Shards)%uint64(len(c.nodes))]
}

// recordDependents sends the transaction for the next batch of dependents if the limits allow it.
func (c *Controller) recordDependents() {
	cascade := &c.cascade
	if len(cascade.jobs) == 0 || cascade.txnsInFlight >= maxCascadeTransactions || !c.ownership.leaseValid() {
		return
	}
	if at := max(cascade.nextTxnAt, cascade.retryAt); c.now < at {
		c.wakeIn(at - c.now)
		return
	}
	limit := min(c.cfg.TxnOps, int(c.stateQueue.WriteRate())/cascadeTxnsPerSecond+1)
	jobs := c.dependentsToRecord(limit)
	if len(jobs) == 0 {
		cascade.nextTxnAt = c.now + activeMaintenanceInterval
		return
	}
	batch := c.nextDependentBatch(jobs, limit)
	writesPerSecond := c.stateQueue.WriteRate() * dependentsWritesFraction
	took := micros.FromSeconds(float64(len(batch.jobs)) / writesPerSecond)
	cascade.nextTxnAt = max(cascade.nextTxnAt, c.now-maxCascadeBurst) + took
	c.recordCancelled(batch)
}

// recordingEpoch returns the epoch of the claim under which this node records a dependent: the
// claim of this node if it owns the job, otherwise the claim of the owner that requested the record.
func (c *Controller) recordingEpoch(j *job) uint64 {
	if c.OwnsJob(j.id) {
		return c.ownership.shards[j.shard].ownerEpoch
	}
	return c.cascade.requested[j.id]
}

// dependentsToRecord lists the dependents that this node should record, in order: those of its own
// that recorderOf assigns to it, those that other owners requested, then the rest of its own. The
// rest is in reverse order, because the controllers that were requested to record these jobs begin
// at the other end. It ends the list once it has limit jobs of the first kind.
func (c *Controller) dependentsToRecord(limit int) []*job {
	var own, requested, rest []*job
	cascade := &c.cascade
	for _, id := range cascade.sortedIDs() {
		c.visited++
		j := cascade.jobs[id]
		switch {
		case j == nil || cascade.recording[id]:
		case !c.OwnsJob(id):
			if _, ok := cascade.requested[id]; ok && j.run == nil {
				requested = append(requested, j)
			}
		case j.run.end.inFlight() || c.now < j.run.end.nextAttemptAt:
		case c.recorderOf(id) == c.cfg.Label:
			if own = append(own, j); len(own) >= limit {
				return own
			}
		default:
			rest = append(rest, j)
		}
	}
	slices.Reverse(rest)
	return slices.Concat(own, requested, rest)
}

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

// recordRequestsFor lists the dependents that another controller is requested to record. It returns
// none if this node can record all of its dependents within helpThreshold.
func (c *Controller) recordRequestsFor(p *peerView) (ids []string) {
	if len(c.cascade.jobs) == 0 || !c.ownership.leaseValid() {
		return nil
	}
	own := 0
	for _, id := range c.cascade.sortedIDs() {
		if c.cascade.jobs[id] == nil || !c.OwnsJob(id) {
			continue
		}
		own++
		if !c.cascade.recording[id] && len(ids) < maxRecordRequests && c.recorderOf(id) == p.label {
			ids = append(ids, id)
		}
	}
	recordedSoon := c.stateQueue.WriteRate() * dependentsWritesFraction * helpThreshold.Seconds()
	if float64(own) < recordedSoon {
		return nil
	}
	return ids
}

// applyRecordRequests stores an owner's requests to record dependents, with the epochs of its claims.
// It ignores jobs that this node does not know to have a cancelled dependency.
func (c *Controller) applyRecordRequests(ids []string, claims []peer.ShardClaim) {
	for _, id := range ids {
		j := c.cascade.jobs[id]
		if j == nil || j.run != nil {
			continue
		}
		for _, claim := range claims {
			if claim.Shard == j.shard {
				c.cascade.requested[id] = claim.OwnerEpoch
			}
		}
	}
}
