package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// A cancellation reaches every job that needs the cancelled one, directly or through
// others. Such a dependent has no tasks, so that its record is all there is to write,
// but there may be more of them than one controller's part of the state service's
// write limit takes within the time that a cancellation has. Their owner therefore
// records several in a transaction, behind acceptances and other ends, and asks the other
// controllers to record some of them too.
//
// Another controller writes only what the owner asked it to: the owner then knows of
// the cancellation, and calls the job pending no more, whatever the other one tells a
// user. The record is conditional on the job's mark and on the claim under which the
// owner asked, so that a late copy, a second writer or a former owner changes nothing.

const (
	// maxCascadeTransactions bounds the transactions of dependents under way: one waits
	// for the write limit while another waits for its answer.
	maxCascadeTransactions = 2
	// cascadeTimeout is how long such a transaction may wait for both.
	cascadeTimeout = 3 * micros.Second
	// cascadeWritesPart is the part of a second's writes that one transaction
	// takes at most: what is more urgent waits no longer behind it.
	cascadeWritesPart = 4
	// dependentsPart is the part of this node's writes that dependents take at most:
	// they come before the records of machines, which need the rest. (Behind them a single
	// dependent waited for 80 s while a fleet was returned.)
	dependentsPart = 0.75
	// helpFrom is how long an owner would need alone before it asks for help.
	helpFrom = 3 * micros.Second
	// maxAskedToRecord bounds the jobs named in one message; it is repeated each second.
	maxAskedToRecord = 200
)

// cancellationCascade is the work on open jobs that need a cancelled one.
type cancellationCascade struct {
	// jobs are all of them that this node knows of, whoever owns them.
	jobs map[string]*job
	// asked are those that their owners want recorded here, with the mark of the claim
	// under which each owner asked.
	asked map[string]uint64
	// recording are those in transactions under way.
	recording map[string]bool
	underWay  int
	retryAt   micros.Micros
	nextAt    micros.Micros // when the writes of before have taken their part
	// generation rises when this node lets a shard go: transactions of before are
	// waited for no more.
	generation int
}

func (w *cancellationCascade) init() {
	w.jobs = map[string]*job{}
	w.asked = map[string]uint64{}
	w.recording = map[string]bool{}
}

// forgetTransactions lets those under way go: their conditions name a claim that is
// over.
func (w *cancellationCascade) forgetTransactions() {
	w.generation++
	w.underWay, w.retryAt = 0, 0
	clear(w.recording)
}

// add takes a job whose dependency is cancelled.
func (w *cancellationCascade) add(j *job) { w.jobs[j.id] = j }

// remove forgets a job that is over.
func (w *cancellationCascade) remove(id string) {
	delete(w.jobs, id)
	delete(w.asked, id)
}

// CancellableDependents is how many dependents of a cancelled job are recorded within
// the time that a cancellation has, with some of the controllers away and the state
// service down for a while of it. Each takes one write; acceptances and ends of jobs
// go first and take from that. It is worked out here and nowhere else.
func CancellableDependents(cfg Config, away int, outage micros.Micros) int {
	nodes := len(cfg.Peers) + 1
	// The others learn of the cancellation and are asked within some two statuses; the
	// shards of a controller that is away wait for its lease and for a claim.
	available := cfg.Cancel - outage - 3*statusInterval
	if away > 0 {
		available -= 2 * cfg.Lease
	}
	if available <= 0 || away >= nodes {
		return 0
	}
	rate := cfg.WriteRPS * usableFraction * dependentsPart * float64(nodes-away) / float64(nodes)
	return int(rate * available.Seconds())
}

// recorderOf is the controller that is to record a dependent, where all take part. It
// does not follow the shard of the job, which comes of the same hash.
func (c *Controller) recorderOf(id string) string {
	return c.nodes[hashOf(id)/uint64(c.cfg.Shards)%uint64(len(c.nodes))]
}

// recordDependents records the next dependents, as far as the limits allow.
func (c *Controller) recordDependents() {
	w := &c.cascade
	if len(w.jobs) == 0 || w.underWay >= maxCascadeTransactions || !c.leaseValid() {
		return
	}
	if at := max(w.nextAt, w.retryAt); c.now < at {
		c.wakeIn(at - c.now)
		return
	}
	todo := c.dependentsToRecord()
	if len(todo) == 0 {
		w.nextAt = c.now + busyInterval
		return
	}
	first := todo[0]
	ownerEpoch := c.claimFor(first)
	most := min(c.cfg.TxnOps, int(c.stateQueue.writes.rate)/cascadeWritesPart+1)
	n := 1
	for n < len(todo) && n < most && todo[n].shard == first.shard && c.claimFor(todo[n]) == ownerEpoch {
		n++
	}
	// What was missed since the last one, up to some transactions' worth, is made up for.
	w.nextAt = max(w.nextAt, c.now-micros.Second/2) + micros.FromSeconds(float64(n)/(c.stateQueue.writes.rate*dependentsPart))
	c.recordCancelled(first.shard, ownerEpoch, todo[:n])
}

// claimFor is the mark of the claim under which this node records a dependent.
func (c *Controller) claimFor(j *job) uint64 {
	if c.Owns(j.id) {
		return c.ownership.shards[j.shard].ownerEpoch
	}
	return c.cascade.asked[j.id]
}

// dependentsToRecord lists the dependents that this node is to record: its part of its
// own, then what others ask of it, then the rest of its own. The rest comes in reverse
// order, so that it meets the controllers that were asked for it only at the end.
func (c *Controller) dependentsToRecord() []*job {
	var own, asked, rest []*job
	w := &c.cascade
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		switch {
		case w.recording[id]:
		case !c.Owns(j.id):
			if _, ok := w.asked[id]; ok && j.run == nil {
				asked = append(asked, j)
			}
		case j.run.end.inFlight() || c.now < j.run.end.nextAttemptAt:
		case c.recorderOf(id) == c.cfg.Label:
			own = append(own, j)
		default:
			rest = append(rest, j)
		}
	}
	slices.Reverse(rest)
	return slices.Concat(own, asked, rest)
}

// recordCancelled records dependents of one shard as cancelled, in one transaction.
func (c *Controller) recordCancelled(shard int, ownerEpoch uint64, jobs []*job) {
	txn := wire.Txn{If: []wire.Condition{{Key: ownerKey(shard), ModRevision: ownerEpoch}}}
	endMS := c.wall.Millis()
	for _, j := range jobs {
		value, err := wire.Encode(wire.JobRecord{AcceptedMS: j.rec.AcceptedMS, State: wire.StateCancelled, Tasks: j.sub.Tasks, EndMS: endMS})
		if err != nil {
			c.log(Error, "job record not encoded", "job", j.id, "error", err)
			return
		}
		txn.If = append(txn.If, wire.Condition{Key: wire.JobKey(j.id), ModRevision: j.modRevision})
		txn.Then = append(txn.Then, wire.Change{Put: wire.JobKey(j.id), Value: value})
	}
	w := &c.cascade
	w.underWay++
	jobs = slices.Clone(jobs)
	runs := make([]*run, len(jobs))
	for i, j := range jobs {
		runs[i] = j.run
		w.recording[j.id] = true
		if j.run != nil {
			j.run.end.sent(j.run.end.state)
		}
	}
	generation := w.generation
	c.askState(classDependents, txn, cascadeTimeout, func(res Result) {
		current := w.generation == generation
		if current {
			w.underWay--
		}
		outcome, failed := txnOutcomeOf(res), failedKeys(res)
		if current && outcome != txnApplied && len(failed) == 0 {
			w.retryAt = c.now + c.jitter(400*micros.Millisecond)
		}
		if current && outcome == txnRejected {
			c.log(Error, "ends of dependents refused by the state service", "first", jobs[0].id, "changes", txn.Writes())
			w.retryAt = c.now + c.jitter(refusedPause)
		}
		for i, j := range jobs {
			if current {
				delete(w.recording, j.id)
			}
			if c.jobs.open[j.id] != j || j.run != runs[i] {
				continue // over, or in other hands
			}
			if outcome == txnApplied {
				c.finishJob(j.id, finalJob{state: wire.StateCancelled, tasks: j.sub.Tasks, recorded: true, endMS: endMS})
				continue
			}
			c.dependentNotRecorded(j, outcome, slices.Contains(failed, wire.JobKey(j.id)), slices.Contains(failed, ownerKey(shard)))
		}
		c.recordDependents()
	})
}

// dependentNotRecorded deals with a dependent whose transaction did not succeed, or
// may not have: jobChanged and claimLost say which conditions were not met.
func (c *Controller) dependentNotRecorded(j *job, outcome txnOutcome, jobChanged, claimLost bool) {
	w := &c.cascade
	r := j.run
	if r == nil {
		if jobChanged || claimLost {
			delete(w.asked, j.id) // its owner asks again if that is still wanted
		}
		return
	}
	r.end.retryAt(c.now)
	c.failWaiters(j)
	switch {
	case jobChanged:
		r.end.phase, r.end.inDoubt = endInFlight, true
		c.resolveEnd(j, r)
	case claimLost:
		r.end.nextAttemptAt = c.now + c.jitter(micros.Second) // the watch tells the rest
	case outcome == txnInDoubt:
		r.end.inDoubt = true // a late copy may yet be carried out
	}
}

// askedOf are the dependents that another controller is asked to record. None where
// this one is done with all of them soon.
func (c *Controller) askedOf(p *peerView) (ids []string) {
	if len(c.cascade.jobs) == 0 || !c.leaseValid() {
		return nil
	}
	own := 0
	for _, id := range sortedKeys(c.cascade.jobs) {
		j := c.cascade.jobs[id]
		if !c.Owns(j.id) {
			continue
		}
		own++
		if !c.cascade.recording[id] && len(ids) < maxAskedToRecord && c.recorderOf(id) == p.label {
			ids = append(ids, id)
		}
	}
	if float64(own) < c.stateQueue.writes.rate*dependentsPart*helpFrom.Seconds() {
		return nil
	}
	return ids
}

// askedToRecord takes the dependents that an owner wants recorded, with the shards
// that it owns. What this node does not know to need a cancelled job is left alone.
func (c *Controller) askedToRecord(ids []string, owns []peer.ShardClaim) {
	for _, id := range ids {
		j := c.cascade.jobs[id]
		if j == nil || j.run != nil {
			continue
		}
		for _, o := range owns {
			if o.Shard == j.shard {
				c.cascade.asked[id] = o.OwnerEpoch
			}
		}
	}
}
