package controller

import (
	"net/http"
	"strconv"

	"garnethitch/internal/controller/estimate"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// lock is a lock that one node holds by a key in the state service.
type lock struct {
	owner       wire.OwnerRecord
	ownerEpoch  uint64 // 0: nobody
	absentSince micros.Micros
	claiming    bool
	// releasingEpoch is the mark of our key whose deletion is under way or done; 0: none. One that
	// failed is tried again from releaseRetryAt on.
	releasingEpoch uint64
	releaseRetryAt micros.Micros
}

// shard is a set of teams (or of jobs) with the machines recorded to it.
type shard struct {
	lock
	id            int
	machines      []*machine // on record, in order of name
	dirtyMachines []*machine // their tallies are to be counted again
	recountAll    bool       // all of them are
	usage         []usage    // what could be on them at most, by team
	queue         []*job     // unfinished jobs in the order in which they are served
	// firstWaiting: no job before this place in the queue has a task that waits, so
	// that a heartbeat need not pass hundreds of them.
	firstWaiting int
	// queueStale: a job has come or gone since.
	queueStale    bool
	nextReorderAt micros.Micros // when it is put in order again
	// resumeAt is the place in the queue at which the next round of placement goes on,
	// where the last one looked at too much.
	resumeAt   int
	reconciled bool // no task of a former owner can be at an unknown place
	// active: this node saw its own claim in the watch, so that its view of
	// machines is at least as new as the claim.
	active         bool
	claimedAt      micros.Micros
	machinesFreeAt micros.Micros // when unheard machines are free, see Bounds
	quiescedPeers  map[string]micros.Micros
	// highestSeenEpoch is the highest mark of another owner that this node heard of; it
	// never acts below it.
	highestSeenEpoch uint64
	// jobsViewCurrent: this node's view of jobs is at least as new as its claim. Until
	// then a job that it believes open may long be over.
	jobsViewCurrent        bool
	refreshingJobsView     bool
	loadingCheckpoints     bool
	checkpointsLoaded      bool // the checkpoints that stood at the claim are known
	checkpoints            map[string]wire.CheckpointRecord
	checkpointModRevisions map[string]uint64
	releasing              bool
	arrivals               estimate.RateMeter
}

type ownership struct {
	lease                  uint64
	acquiringLease         bool
	renewalsInFlight       int           // under way
	renewedAt              micros.Micros // when the last successful renewal was sent
	nextRenewalAt          micros.Micros
	lastStateReplyAt       micros.Micros // when the state service last answered anything
	shards                 []*shard
	leader                 lock
	steppedDownEpoch       uint64 // mark of the leader key that we are letting go
	controlWatch, jobWatch watched
	releasedAt             micros.Micros
}

func (o *ownership) init(shards int) {
	for i := range shards {
		o.shards = append(o.shards, &shard{id: i})
	}
	o.controlWatch = watched{prefix: wire.PrefixControl, interval: controlWatchInterval, blockTimeout: watchTimeout, openedAt: -micros.Never, completeAsOf: -micros.Never}
	o.jobWatch = watched{prefix: wire.PrefixJob, interval: jobWatchInterval, blockTimeout: watchTimeout, openedAt: -micros.Never, completeAsOf: -micros.Never}
	o.lastStateReplyAt = -micros.Never
}

func (c *Controller) isMine(l *lock) bool {
	return l.ownerEpoch != 0 && c.ownership.lease != 0 && l.owner.Label == c.cfg.Label && l.owner.Incarnation == c.ownership.lease
}

// Owns tells whether this node owns an unfinished job and may command its machines.
func (c *Controller) Owns(id string) bool {
	j := c.jobs.open[id]
	return j != nil && j.run != nil && c.activeShard(j.shard) != nil
}

// Leads tells whether this node rents and returns machines for all.
func (c *Controller) Leads() bool { return c.leading() }

// Commanded counts the machines of this node's shards that it may give tasks.
func (c *Controller) Commanded() (n int) {
	for _, s := range c.ownership.shards {
		if c.activeShard(s.id) == nil {
			continue
		}
		for _, m := range s.machines {
			if m.view != nil && m.view.reconciled && m.view.sequenceKnown && !m.view.leaseExpired {
				n++
			}
		}
	}
	return n
}

func (c *Controller) maintainOwnership() {
	o := &c.ownership
	switch {
	case o.lease == 0 && !o.acquiringLease:
		c.newLease()
	case o.lease != 0 && o.renewalsInFlight < maxRenewalsInFlight && c.now >= o.nextRenewalAt:
		c.renewLease()
	}
	c.follow(&o.controlWatch)
	c.follow(&o.jobWatch)
	c.followQuota()
	c.releaseLocks()
	if !o.controlWatch.ready || !c.leaseValid() {
		return
	}
	for _, s := range o.shards {
		c.claimIfDue(&s.lock, ownerKey(s.id), s.id)
	}
	c.claimIfDue(&o.leader, wire.KeyLeader, len(o.shards))
	c.releaseShards()
}

func ownerKey(id int) string { return wire.PrefixOwner + strconv.Itoa(id) }

func (c *Controller) setOwner(s *shard, rec wire.OwnerRecord, modRevision uint64) {
	s.owner, s.ownerEpoch, s.claiming = rec, modRevision, false
	if s.active {
		c.deactivate(s)
	}
	if c.isMine(&s.lock) {
		c.activate(s)
	} else {
		c.log(Debug, "shard has an owner", "shard", s.id, "owner", rec.Label, "epoch", modRevision)
	}
}

// activate starts recovery of a shard that this node has just come to own.
func (c *Controller) activate(s *shard) {
	s.active, s.releasing = true, false
	s.claimedAt = c.now
	s.machinesFreeAt = c.now + c.bounds.SuccessorWait
	s.quiescedPeers = map[string]micros.Micros{}
	s.loadingCheckpoints, s.checkpointsLoaded, s.checkpoints, s.checkpointModRevisions = false, false, nil, nil
	s.jobsViewCurrent, s.refreshingJobsView = false, false
	s.reconciled, s.recountAll, s.queueStale = false, true, true
	machines := 0
	for _, m := range s.machines {
		if !m.rec.Cordoned {
			v := c.newView()
			v.unreconciledFromPredecessor, v.leaseExpired = !m.returned, m.returned
			c.setView(m, v)
			machines++
		}
	}
	jobs := 0
	for _, j := range c.jobs.open {
		if j.shard == s.id {
			c.startRun(s, j)
			jobs++
		}
	}
	if len(c.cfg.Peers) == 0 {
		s.machinesFreeAt = c.now + c.bounds.WorkerExpiry
	}
	c.log(Info, "shard acquired", "shard", s.id, "epoch", s.ownerEpoch, "machines", machines, "jobs", jobs)
	for _, p := range c.cfg.Peers {
		c.sendStatus(c.peers[p])
	}
	c.refreshJobsView(s)
	c.holdQuota(s)
	c.loadCheckpoints(s)
	c.maintainMachines()
	c.schedulingDue = true
}

// refreshJobsView brings the view of jobs up to a claim, by one look that does not
// wait: the long poll may have hung on a cut connection for long.
func (c *Controller) refreshJobsView(s *shard) {
	ownerEpoch, w := s.ownerEpoch, &c.ownership.jobWatch
	if !w.ready || s.refreshingJobsView {
		return // the listing under way comes first; maintainMachines asks again
	}
	s.refreshingJobsView = true
	asked := c.now
	// Where the state service is slow, what lets renewals through lets this through.
	c.askState(classLease, Watch{Prefix: w.prefix, Since: w.since}, c.cfg.Lease, func(r Result) {
		if !s.active || s.ownerEpoch != ownerEpoch {
			return
		}
		s.refreshingJobsView = false
		body, ok := r.Body.(*wire.Events)
		if mustListAgain(r.Status) {
			w.ready = false
		}
		if !ok || r.Status != http.StatusOK || body.Revision < ownerEpoch {
			return
		}
		c.applyEvents(body.Events)
		w.completeAsOf = max(w.completeAsOf, asked)
		s.jobsViewCurrent = true
		c.schedulingDue = true
	})
}

// deactivate lets a shard go: nothing is remembered of it that a later claim
// could mistake for knowledge.
func (c *Controller) deactivate(s *shard) {
	c.log(Info, "shard given up", "shard", s.id)
	s.active, s.releasing = false, false
	s.checkpoints, s.checkpointModRevisions = nil, nil
	c.dropQuota(s)
	c.cascade.forgetTransactions()
	for _, m := range s.machines {
		c.setView(m, nil)
	}
	for _, j := range c.jobs.open {
		if j.shard == s.id {
			c.stopRun(j)
		}
	}
}

// recordQuiescedPeer records that a peer gives no commands for a shard below the mark.
// Once all have said so, unheard machines need to be waited for no longer than
// their own lease.
func (c *Controller) recordQuiescedPeer(s *shard, label string) {
	if !s.active {
		return
	}
	if _, ok := s.quiescedPeers[label]; ok {
		return
	}
	s.quiescedPeers[label] = c.now
	if len(s.quiescedPeers) == len(c.cfg.Peers) {
		s.machinesFreeAt = min(s.machinesFreeAt, c.now+c.bounds.WorkerExpiry)
	}
}

// preferredOwner is the node that a shard belongs to when all are well.
func (c *Controller) preferredOwner(id int) string {
	all := c.nodes
	return all[id%len(all)]
}

// claimIfDue claims a lock that nobody holds, or that a former process of this
// node held.
func (c *Controller) claimIfDue(lock *lock, key string, id int) {
	if lock.claiming {
		return
	}
	if lock.ownerEpoch != 0 {
		// The former process of this node is gone: its key may be replaced at once.
		if lock.owner.Label == c.cfg.Label && lock.owner.Incarnation != c.ownership.lease {
			c.claim(lock, key)
		}
		return
	}
	if c.now < lock.absentSince+c.claimDelay(id) {
		return
	}
	c.claim(lock, key)
}

// claimDelay lets the best candidate go first: the node at home, then whoever
// is alive and holds the least.
func (c *Controller) claimDelay(id int) micros.Micros {
	home := c.preferredOwner(id)
	const step = 400 * micros.Millisecond
	delay := micros.Micros(0)
	if c.contact.lost {
		delay = 8 * step // anybody else, please
	} else if home == c.cfg.Label {
		return 0
	}
	if c.now < c.startedAt+3*micros.Second {
		delay = 2 * step // the others may be starting as well
	}
	if p := c.peers[home]; p != nil && c.alive(p) && !p.withoutWorkers {
		delay += step
	}
	holds := map[string]int{}
	for _, s := range c.ownership.shards {
		holds[s.owner.Label]++
	}
	rank := 0
	for _, label := range c.nodes {
		if p := c.peers[label]; p != nil && c.alive(p) && !p.withoutWorkers {
			mine, theirs := holds[c.cfg.Label], holds[label]
			if theirs < mine || (theirs == mine && label < c.cfg.Label) {
				rank++
			}
		}
	}
	return delay + micros.Micros(rank)*step
}

func (c *Controller) claim(lock *lock, key string) {
	rec := wire.OwnerRecord{Label: c.cfg.Label, Incarnation: c.ownership.lease}
	value, err := wire.Encode(rec)
	if err != nil {
		c.log(Error, "claim not encoded", "error", err)
		return
	}
	lock.claiming = true
	txn := wire.Txn{
		If:   []wire.Condition{{Key: key, ModRevision: lock.ownerEpoch}},
		Then: []wire.Change{{Put: key, Value: value, Lease: c.ownership.lease}},
	}
	lease := c.ownership.lease
	c.askState(classLease, txn, micros.Second, func(res Result) {
		// Whether it took effect is for the watch to show, which also shows late
		// copies and, with it, all machines recorded before.
		switch outcome := txnOutcomeOf(res); {
		case outcome == txnRejected && c.ownership.lease == lease:
			c.loseLease()
			lock.claiming = false
		case outcome == txnApplied || outcome == txnConditionFailed:
			c.ownership.lastStateReplyAt = c.now
			c.later(func() { lock.claiming = false })
			lock.absentSince = c.now // give the watch time before another try
		default:
			lock.claiming = false
			lock.absentSince = c.now
		}
	})
}

// releaseShards gives a shard to its home node once that has been up for a while.
// Orders under way do not hold it up: to its taker they are what they are to the
// successor of a node that has ended. (On a small share of a core some order was
// nearly always under way, and a node went on with three shards for 50 s, short of
// time for each, beside two that had nothing to do.)
func (c *Controller) releaseShards() {
	const stableFor = 8 * micros.Second
	if c.now < c.ownership.releasedAt+5*micros.Second {
		return
	}
	for _, s := range c.ownership.shards {
		home := c.peers[c.preferredOwner(s.id)]
		if !s.active || s.releasing || home == nil || !c.alive(home) || !home.stateOK || home.withoutWorkers || home.uptime < stableFor ||
			c.now < s.claimedAt+stableFor || !c.allReconciled(s) {
			continue
		}
		c.ownership.releasedAt = c.now
		c.log(Info, "releasing shard to its preferred owner", "shard", s.id, "to", home.label)
		c.releaseShard(s)
		return
	}
}

// releaseShard stops all acting for a shard and deletes its owner key. It need not speak for
// the shard until the deletion is sent: that goes with leases, before all else.
func (c *Controller) releaseShard(s *shard) {
	s.releasing = true
	c.dropQuota(s)
	c.releaseLocks()
}

// releaseLocks deletes the keys of the locks that this node is letting go.
func (c *Controller) releaseLocks() {
	for _, s := range c.ownership.shards {
		if s.releasing {
			c.releaseLock(&s.lock, ownerKey(s.id))
		}
	}
	if l := &c.ownership.leader; l.ownerEpoch != 0 && l.ownerEpoch == c.ownership.steppedDownEpoch {
		c.releaseLock(l, wire.KeyLeader)
	}
}

// releaseRetryDelay is how long a deletion that failed is put off.
const releaseRetryDelay = 200 * micros.Millisecond

// releaseLock deletes our key of a lock. Once that has been sent, this node never
// acts under its mark again: a late copy could delete the key while our lease
// lives, and a successor counts on our silence from then on.
func (c *Controller) releaseLock(lock *lock, key string) {
	ownerEpoch := lock.ownerEpoch
	if lock.releasingEpoch == ownerEpoch || c.now < lock.releaseRetryAt {
		return
	}
	lock.releasingEpoch = ownerEpoch
	txn := wire.Txn{If: []wire.Condition{{Key: key, ModRevision: ownerEpoch}}, Then: []wire.Change{{Delete: key}}}
	c.askState(classLease, txn, micros.Second, func(res Result) {
		if lock.ownerEpoch != ownerEpoch || txnOutcomeOf(res) == txnApplied {
			return // the watch shows the rest
		}
		lock.releasingEpoch = 0
		lock.releaseRetryAt = c.now + c.jitter(releaseRetryDelay)
	})
}

// recordPeerClaims tells peers' claims apart from ours: a higher mark elsewhere
// silences this node for the shard.
func (c *Controller) recordPeerClaims(owned []peer.ShardClaim) (quiesced []int) {
	for _, o := range owned {
		if o.Shard < 0 || o.Shard >= len(c.ownership.shards) {
			continue
		}
		s := c.ownership.shards[o.Shard]
		s.highestSeenEpoch = max(s.highestSeenEpoch, o.OwnerEpoch)
		if s.active && s.ownerEpoch < o.OwnerEpoch {
			c.deactivate(s)
		}
		if !s.active {
			quiesced = append(quiesced, o.Shard)
		}
	}
	return quiesced
}
