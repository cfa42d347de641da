package controller

import (
	"strconv"

	"garnethitch/internal/controller/estimate"
	"garnethitch/internal/controller/ownership"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// startingPeriod is how long after its start a controller lets others claim first.
	startingPeriod = 3 * micros.Second
	// stableOwnerPeriod is how long the preferred owner must have been up, and the shard owned,
	// before the shard is released to it.
	stableOwnerPeriod = 8 * micros.Second
	// shardReleaseInterval is the least time between two such releases.
	shardReleaseInterval = 5 * micros.Second
)

// shardOwnership is how far this node owns a shard.
type shardOwnership int

const (
	// shardNotOwned means that another node owns it, or none.
	shardNotOwned shardOwnership = iota
	// shardOwned means that this node saw its own claim in the watch, so that its view of machines
	// is at least as new as the claim.
	shardOwned
	// shardReleasing means that this node still holds the lock, but does nothing more for the
	// shard, and deletes its key.
	shardReleasing
)

var shardOwnershipNames = [...]string{
	shardNotOwned:  "not_owned",
	shardOwned:     "owned",
	shardReleasing: "releasing",
}

// String returns the name of the state.
func (o shardOwnership) String() string { return shardOwnershipNames[o] }

// shard is a set of teams (or of jobs) with the machines recorded to it.
type shard struct {
	lock
	shardRecovery
	id            int
	machines      []*machine // on record, in order of name
	dirtyMachines []*machine // whose usage is to be counted again
	recountAll    bool       // the usage of all machines is
	usage         []usage    // what could be on them at most, by team
	queue         []*job     // unfinished jobs in the order in which they are served
	// firstWaiting means that no job before this place in the queue has a task that waits, so that
	// a heartbeat need not pass hundreds of them.
	firstWaiting  int
	queueStale    bool          // a job has been added or removed since the queue was ordered
	nextReorderAt micros.Micros // when the queue is ordered again
	// resumeAt is the place in the queue at which the next scheduling round continues where the
	// last one reached its limit.
	resumeAt  int
	ownership shardOwnership
	// highestSeenEpoch is the highest epoch of another owner that this node has seen; it never
	// acts under a lower one.
	highestSeenEpoch uint64
	arrivals         estimate.RateMeter
}

// owned reports whether this node holds the shard's lock and has seen its claim.
func (s *shard) owned() bool { return s.ownership != shardNotOwned }

// releasing reports whether this node is giving the shard up.
func (s *shard) releasing() bool { return s.ownership == shardReleasing }

// ownershipState is what a node knows of the locks in the state service, and of its own lease.
type ownershipState struct {
	*stepContext
	lease            ownership.Lease
	lastStateReplyAt micros.Micros // when the state service last answered any request
	shards           []*shard
	leader           lock
	steppedDownEpoch uint64 // epoch of this node's leader key that is being released
	controlWatch     statestore.Watch
	jobWatch         statestore.Watch
	lastReleaseAt    micros.Micros // when a shard was last released to its preferred owner
}

// init prepares the state of a node that holds no lease and no lock.
func (o *ownershipState) init(shards int, lease micros.Micros) {
	o.lease = ownership.NewLease(lease)
	for id := range shards {
		o.shards = append(o.shards, &shard{id: id, lock: lock{key: ownerKey(id)}})
	}
	o.leader.key = wire.KeyLeader
	o.controlWatch = statestore.NewWatch(wire.PrefixControl, controlWatchInterval)
	o.jobWatch = statestore.NewWatch(wire.PrefixJob, jobWatchInterval)
	o.lastStateReplyAt = -micros.Never
}

// ownerKey returns the key of a shard's lock.
func ownerKey(id int) string { return wire.PrefixOwner + strconv.Itoa(id) }

// OwnsJob reports whether this node owns an unfinished job and may command its machines.
func (c *Controller) OwnsJob(id string) bool {
	j := c.jobs.open[id]
	return j != nil && j.run != nil && c.ownership.activeShard(j.shard) != nil
}

// IsLeader reports whether this node rents and returns machines for all shards.
func (c *Controller) IsLeader() bool { return c.ownership.mayLead() }

// CommandedMachines returns the number of machines of this node's shards that it may give tasks.
func (c *Controller) CommandedMachines() int {
	n := 0
	for _, s := range c.ownership.shards {
		if c.ownership.activeShard(s.id) == nil {
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

// maintainOwnership keeps the lease, follows the records, and claims and releases locks.
func (c *Controller) maintainOwnership() {
	o := &c.ownership
	c.maintainLease()
	c.followAll()
	c.ownership.releaseLocks()
	if !o.controlWatch.Ready() || !c.ownership.leaseValid() {
		return
	}
	for _, s := range o.shards {
		c.claimLockIfDue(&s.lock, s.id)
	}
	c.claimLockIfDue(&o.leader, len(o.shards))
	c.releaseToPreferredOwner()
}

// preferredOwner returns the node that a shard belongs to when all are well.
func (c *Controller) preferredOwner(id int) string { return ownership.PreferredOwner(c.nodes, id) }

// claimDelay returns how long after a lock became free this node claims it.
func (c *Controller) claimDelay(index int) micros.Micros {
	shardsByOwner := map[string]int{}
	for _, s := range c.ownership.shards {
		shardsByOwner[s.owner.Label]++
	}
	known := ownership.ClaimKnowledge{
		Label:          c.cfg.Label,
		Shards:         shardsByOwner[c.cfg.Label],
		PreferredOwner: c.preferredOwner(index),
		Starting:       c.now < c.startedAt+startingPeriod,
		WithoutWorkers: c.workerContact.lost(),
	}
	for _, label := range c.nodes {
		if p := c.peers[label]; p != nil && c.hasWorkers(p) {
			known.Candidates = append(known.Candidates, ownership.Candidate{Label: label, Shards: shardsByOwner[label]})
		}
	}
	return ownership.ClaimDelay(known)
}

// releaseToPreferredOwner releases one shard whose preferred owner has been ready for a while.
// Commands in flight do not delay it: to the next owner they are what they are to the successor
// of a node that has ended.
func (c *Controller) releaseToPreferredOwner() {
	if c.now < c.ownership.lastReleaseAt+shardReleaseInterval {
		return
	}
	for _, s := range c.ownership.shards {
		preferred := c.peers[c.preferredOwner(s.id)]
		if preferred == nil || !c.readyToOwnShard(preferred) || !c.ownership.mayReleaseShard(s) {
			continue
		}
		c.ownership.lastReleaseAt = c.now
		c.log(Info, "releasing shard to its preferred owner", "shard", s.id, "to", preferred.label)
		c.releaseShard(s)
		return
	}
}

// readyToOwnShard reports whether another controller can own a shard, and has been up for a while.
func (c *Controller) readyToOwnShard(p *peerView) bool {
	return c.hasWorkers(p) && p.stateReachable && p.uptime >= stableOwnerPeriod
}

// mayReleaseShard reports whether this node owns a shard, has done so for a while, and has no
// machine left whose reconciliation the next owner would have to begin anew.
func (o *ownershipState) mayReleaseShard(s *shard) bool {
	return s.ownership == shardOwned && o.now >= s.claimedAt+stableOwnerPeriod && o.allReconciled(s)
}

// releaseShard ends all actions for a shard and deletes its owner key. No node owns the shard until
// the deletion is applied, so it is sent in the class of leases, before all other requests.
func (c *Controller) releaseShard(s *shard) {
	s.ownership = shardReleasing
	c.dropQuota(s)
	c.ownership.releaseLocks()
}

// stepDownAsLeader releases the leader lock, if this node holds it.
func (o *ownershipState) stepDownAsLeader() {
	leader := &o.leader
	if !o.isMine(leader) {
		return
	}
	o.steppedDownEpoch = leader.ownerEpoch
	o.releaseLock(leader)
}

// releaseLocks deletes the keys of the locks that this node is releasing.
func (o *ownershipState) releaseLocks() {
	for _, s := range o.shards {
		if s.releasing() {
			o.releaseLock(&s.lock)
		}
	}
	leader := &o.leader
	if !leader.free() && leader.ownerEpoch == o.steppedDownEpoch {
		o.releaseLock(leader)
	}
}
