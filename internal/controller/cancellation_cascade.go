package controller

import (
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
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
