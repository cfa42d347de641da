package controller

import (
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// A cancellation reaches every job that needs the cancelled one, directly or through
// others. Such a dependent has no tasks, so that its record is all there is to write, but
// there may be more dependents than one controller's part of the state service's write
// limit takes within the time that a cancellation has. Their owner therefore records
// several in a transaction, behind acceptances and other ends, and requests the other
// controllers to record some of them too.
//
// Another controller writes only what the owner requested: the owner then knows of the
// cancellation, and calls the job pending no more, whatever the other one answers a user.
// The record is conditional on the job's revision and on the claim under which the owner
// requested it, so that a late copy, a second writer or a former owner changes nothing.

const (
	// maxCascadeTransactions bounds the transactions of dependents in flight: one waits
	// for the write limit while another waits for its answer.
	maxCascadeTransactions = 2
	// cascadeTimeout is how long such a transaction may wait for both.
	cascadeTimeout = 3 * micros.Second
	// cascadeRetryInterval is the mean time to the next transaction after one that was
	// not applied.
	cascadeRetryInterval = 400 * micros.Millisecond
	// cascadeTxnsPerSecond is the least number of transactions into which the writes of a second
	// are split: a more urgent request waits no longer than one of them takes.
	cascadeTxnsPerSecond = 4
	// cascadeCatchUp bounds the time of which unused writes may still be used.
	cascadeCatchUp = micros.Second / 2
	// dependentsWritesFraction is the part of this node's writes that dependents take at
	// most: they come before the records of machines, which need the rest.
	dependentsWritesFraction = 0.75
	// helpThreshold is how long an owner would need alone before it requests help.
	helpThreshold = 3 * micros.Second
	// maxRecordRequests bounds the jobs named in one message; it is repeated each second.
	maxRecordRequests = 200
	// claimLostPause is how long a dependent is put off whose owner's claim is over by its
	// record; the watch brings the rest.
	claimLostPause = micros.Second
	// helpDelay is the time until the other controllers know of a cancellation and of what
	// they are to record.
	helpDelay = 3 * statusInterval
	// failoverLeases is how many lease times the shards of a controller that is away take
	// at most to get another owner.
	failoverLeases = 2
)

// cancellationCascade is the work on open jobs that need a cancelled one.
type cancellationCascade struct {
	// jobs are all of them that this node knows of, whoever owns them.
	jobs map[string]*job
	// requested are those whose owners want them recorded here, with the epoch under
	// which each owner requested it.
	requested map[string]uint64
	// recording are those in transactions in flight.
	recording    map[string]bool
	txnsInFlight int
	retryAt      micros.Micros
	// nextTxnAt is when the writes of earlier transactions have taken their part.
	nextTxnAt micros.Micros
	// generation rises when this node loses a shard: earlier transactions are waited for
	// no more.
	generation int
}

// init makes the cascade's maps.
func (cascade *cancellationCascade) init() {
	cascade.jobs = map[string]*job{}
	cascade.requested = map[string]uint64{}
	cascade.recording = map[string]bool{}
}

// forgetTransactions forgets the transactions in flight: their conditions name a claim
// that is over.
func (cascade *cancellationCascade) forgetTransactions() {
	cascade.generation++
	cascade.txnsInFlight = 0
	cascade.retryAt = 0
	clear(cascade.recording)
}

// add takes a job whose dependency is cancelled.
func (cascade *cancellationCascade) add(j *job) { cascade.jobs[j.id] = j }

// remove forgets a job that is over.
func (cascade *cancellationCascade) remove(id string) {
	delete(cascade.jobs, id)
	delete(cascade.requested, id)
}

// CancellableDependents returns how many dependents of a cancelled job are recorded within
// the time that a cancellation has, with some of the controllers away and the state
// service down for a while of it. Each takes one write; acceptances and ends of jobs
// go first and take from that.
func CancellableDependents(cfg Config, away int, outage micros.Micros) int {
	nodes := len(cfg.Peers) + 1
	available := cfg.CancelWithin - outage - helpDelay
	if away > 0 {
		available -= failoverLeases * cfg.Lease
	}
	if available <= 0 || away >= nodes {
		return 0
	}
	rate := cfg.WriteRPS * statestore.UsableFraction * dependentsWritesFraction * float64(nodes-away) / float64(nodes)
	return int(rate * available.Seconds())
}

// recorderOf returns the controller that is to record a dependent, where all take part. It
// is independent of the job's shard, which comes of the same hash.
func (c *Controller) recorderOf(id string) string {
	return c.nodes[hashOf(id)/uint64(c.cfg.Shards)%uint64(len(c.nodes))]
}

// recordDependents records the next dependents, as far as the limits allow.
func (c *Controller) recordDependents() {
	cascade := &c.cascade
	if len(cascade.jobs) == 0 || cascade.txnsInFlight >= maxCascadeTransactions || !c.ownership.leaseValid() {
		return
	}
	if at := max(cascade.nextTxnAt, cascade.retryAt); c.now < at {
		c.wakeIn(at - c.now)
		return
	}
	jobs := c.dependentsToRecord()
	if len(jobs) == 0 {
		cascade.nextTxnAt = c.now + busyInterval
		return
	}
	batch := c.nextDependentBatch(jobs)
	writesPerSecond := c.stateQueue.WriteRate() * dependentsWritesFraction
	took := micros.FromSeconds(float64(len(batch.jobs)) / writesPerSecond)
	cascade.nextTxnAt = max(cascade.nextTxnAt, c.now-cascadeCatchUp) + took
	c.recordCancelled(batch)
}

// recordingEpoch returns the epoch of the claim under which this node records a dependent.
func (c *Controller) recordingEpoch(j *job) uint64 {
	if c.OwnsJob(j.id) {
		return c.ownership.shards[j.shard].ownerEpoch
	}
	return c.cascade.requested[j.id]
}

// dependentsToRecord lists the dependents that this node is to record: its part of its
// own, then what others request of it, then the rest of its own. The rest comes in reverse
// order, so that it meets the controllers that were requested to record it only at the end.
func (c *Controller) dependentsToRecord() []*job {
	var own, requested, rest []*job
	cascade := &c.cascade
	for _, id := range sortedKeys(cascade.jobs) {
		j := cascade.jobs[id]
		switch {
		case cascade.recording[id]:
		case !c.OwnsJob(id):
			if _, ok := cascade.requested[id]; ok && j.run == nil {
				requested = append(requested, j)
			}
		case j.run.end.inFlight() || c.now < j.run.end.nextAttemptAt:
		case c.recorderOf(id) == c.cfg.Label:
			own = append(own, j)
		default:
			rest = append(rest, j)
		}
	}
	slices.Reverse(rest)
	return slices.Concat(own, requested, rest)
}

// dependentBatch is dependents of one shard that one transaction records as cancelled.
type dependentBatch struct {
	shard      int
	ownerEpoch uint64
	jobs       []*job
	// runs are those of the jobs when the transaction was sent; nil where another owns
	// the job.
	runs  []*run
	endMS int64 // by the time of day
	// generation is the cascade's when the transaction was sent.
	generation int
}

// nextDependentBatch takes the first of the jobs, of one shard and claim, that fit into a
// transaction.
func (c *Controller) nextDependentBatch(jobs []*job) *dependentBatch {
	shard := jobs[0].shard
	ownerEpoch := c.recordingEpoch(jobs[0])
	limit := min(c.cfg.TxnOps, int(c.stateQueue.WriteRate())/cascadeTxnsPerSecond+1)
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
			j.run.end.sent(j.run.end.state)
		}
	}
	c.queueStateRequest(statestore.ClassDependents, txn, cascadeTimeout, func(res statestore.Reply) {
		c.handleDependentBatch(b, txn, res)
		c.recordDependents()
	})
}

// handleDependentBatch takes the result of the transaction of a batch.
func (c *Controller) handleDependentBatch(b *dependentBatch, txn wire.Txn, res statestore.Reply) {
	outcome := res.Outcome()
	failed := res.FailedKeys()
	current := c.cascade.generation == b.generation
	if current {
		c.dependentTxnEnded(b, txn, outcome, failed)
	}
	claimLost := slices.Contains(failed, ownerKey(b.shard))
	for i, j := range b.jobs {
		if current {
			delete(c.cascade.recording, j.id)
		}
		if c.jobs.open[j.id] != j || j.run != b.runs[i] {
			continue // over, or owned by another
		}
		if outcome == statestore.Applied {
			c.finishJob(j.id, finalJob{state: wire.StateCancelled, tasks: j.sub.Tasks, recorded: true, endMS: b.endMS})
			continue
		}
		jobChanged := slices.Contains(failed, wire.JobKey(j.id))
		c.dependentNotRecorded(j, outcome, jobChanged, claimLost)
	}
}

// dependentTxnEnded takes a transaction off those in flight, and puts the next one off if
// it was not applied.
func (c *Controller) dependentTxnEnded(b *dependentBatch, txn wire.Txn, outcome statestore.Outcome, failed []string) {
	cascade := &c.cascade
	cascade.txnsInFlight--
	if outcome != statestore.Applied && len(failed) == 0 {
		cascade.retryAt = c.now + c.jitter(cascadeRetryInterval)
	}
	if outcome == statestore.Rejected {
		c.log(Error, "ends of dependents refused by the state service", "first", b.jobs[0].id, "changes", txn.Writes())
		cascade.retryAt = c.now + c.jitter(refusedPause)
	}
}

// dependentNotRecorded handles a dependent whose transaction did not succeed, or may not
// have: jobChanged and claimLost say which conditions were not met.
func (c *Controller) dependentNotRecorded(j *job, outcome statestore.Outcome, jobChanged, claimLost bool) {
	r := j.run
	if r == nil {
		if jobChanged || claimLost {
			delete(c.cascade.requested, j.id) // its owner requests it again if it still wants it
		}
		return
	}
	r.end.retryAt(c.now)
	c.failWaiters(j)
	switch {
	case jobChanged:
		r.end.resolving()
		c.resolveEnd(j, r)
	case claimLost:
		r.end.retryAt(c.now + c.jitter(claimLostPause))
	case outcome == statestore.InDoubt:
		r.end.inDoubt = true // a late copy may yet be executed
	}
}

// recordRequestsFor lists the dependents that another controller is to record, none where
// this one has recorded all of them soon.
func (c *Controller) recordRequestsFor(p *peerView) (ids []string) {
	if len(c.cascade.jobs) == 0 || !c.ownership.leaseValid() {
		return nil
	}
	own := 0
	for _, id := range sortedKeys(c.cascade.jobs) {
		if !c.OwnsJob(id) {
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

// takeRecordRequests takes the dependents that an owner wants recorded, with the shards that
// it claims. A job that this node does not know to need a cancelled one is ignored.
func (c *Controller) takeRecordRequests(ids []string, claims []peer.ShardClaim) {
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
