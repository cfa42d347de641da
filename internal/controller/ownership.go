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
	// startingPeriod is how long after its start a controller gives others precedence in claims.
	startingPeriod = 3 * micros.Second
	// stableOwnerPeriod is how long the preferred owner must have been up, and this node have owned
	// the shard, before the shard is released to the preferred owner.
	stableOwnerPeriod = 8 * micros.Second
	// shardReleaseInterval is the minimum time between two releases to a preferred owner.
	shardReleaseInterval = 5 * micros.Second
)

// shardOwnership is the state of this node's ownership of a shard.
type shardOwnership int

const (
	// shardNotOwned means that another node owns the shard, or that no node does.
	shardNotOwned shardOwnership = iota
	// shardOwned means that this node has seen its claim in the watch. Its view of machines is
	// therefore at least as new as the claim.
	shardOwned
	// shardReleasing means that this node still holds the lock but no longer acts for the shard,
	// and is deleting the owner key.
	shardReleasing
)

var shardOwnershipNames = [...]string{
	shardNotOwned:  "not_owned",
	shardOwned:     "owned",
	shardReleasing: "releasing",
}

// String returns the name of the state.
func (o shardOwnership) String() string { return shardOwnershipNames[o] }

// shard is a set of teams, or of jobs, and the machines assigned to it.
type shard struct {
	lock
	shardRecovery
	id            int
	machines      []*machine // with a record in this shard, sorted by name
	dirtyMachines []*machine // machines whose usage must be counted again
	recountAll    bool       // the usage of all machines must be counted again
	usage         []usage    // upper bound of the resources in use on the machines, by team number
	queue         []*job     // unfinished jobs in scheduling order
	// firstWaiting is a position in the queue: no job before it has a waiting task. It saves a
	// heartbeat from scanning hundreds of jobs.
	firstWaiting  int
	queueStale    bool          // a job was added or removed since the queue was sorted
	nextReorderAt micros.Micros // when the queue is next sorted
	// resumeAt is the position in the queue at which the next scheduling round continues after the
	// last one reached its limit.
	resumeAt  int
	ownership shardOwnership
	// highestSeenEpoch is the highest owner epoch of another node that this node has seen. This
	// node never acts under a lower epoch.
	highestSeenEpoch uint64
	arrivals         estimate.RateMeter
}

// owned reports whether this node holds the shard's lock and has seen its claim in the watch.
func (s *shard) owned() bool { return s.ownership != shardNotOwned }

// releasing reports whether this node is giving up the shard.
func (s *shard) releasing() bool { return s.ownership == shardReleasing }

// ownershipState is what this node knows of its lease and of the locks in the state service.
type ownershipState struct {
	*stepContext
	lease            ownership.Lease
	lastStateReplyAt micros.Micros // when the state service last answered any request
	shards           []*shard
	leader           lock
	steppedDownEpoch uint64 // epoch of this node's claim of the leader lock that it is releasing
	controlWatch     statestore.Watch
	jobWatch         statestore.Watch
	lastReleaseAt    micros.Micros // when a shard was last released to its preferred owner
}

// init prepares the state of a node that holds neither a lease nor a lock.
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

// OwnsJob reports whether this node owns an unfinished job's shard and may command its machines.
func (c *Controller) OwnsJob(id string) bool {
	j := c.jobs.open[id]
	return j != nil && j.run != nil && c.ownership.activeShard(j.shard) != nil
}

// IsLeader reports whether this node may rent and return machines for all shards.
func (c *Controller) IsLeader() bool { return c.ownership.mayLead() }

// CommandedMachines returns the number of machines of this node's shards to which it may assign
// tasks.
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

// maintainOwnership maintains the lease, continues the watches, and claims and releases locks.
func (c *Controller) maintainOwnership() {
	o := &c.ownership
	c.maintainLease()
	c.followWatches()
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

// preferredOwner returns the label of the node that should own a shard while all nodes are up.
func (c *Controller) preferredOwner(id int) string { return ownership.PreferredOwner(c.nodes, id) }

// claimDelay returns how long this node waits after a lock became free before it claims the lock.
func (c *Controller) claimDelay(index int) micros.Micros {
	shardsByOwner := map[string]int{}
	for _, s := range c.ownership.shards {
		shardsByOwner[s.owner.Label]++
	}
	known := ownership.ClaimKnowledge{
		Label:              c.cfg.Label,
		Shards:             shardsByOwner[c.cfg.Label],
		PreferredOwner:     c.preferredOwner(index),
		Starting:           c.now < c.startedAt+startingPeriod,
		WorkersUnreachable: c.workerContact.lost(),
	}
	for _, label := range c.nodes {
		if p := c.peers[label]; p != nil && c.reachesWorkers(p) {
			known.Candidates = append(known.Candidates, ownership.Candidate{Label: label, Shards: shardsByOwner[label]})
		}
	}
	return ownership.ClaimDelay(known)
}

// releaseToPreferredOwner releases one shard whose preferred owner has been ready for
// stableOwnerPeriod. Commands in flight do not delay it: the next owner treats them like the
// commands of an owner that has crashed.
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

// readyToOwnShard reports whether another controller can own a shard and has been up for
// stableOwnerPeriod.
func (c *Controller) readyToOwnShard(p *peerView) bool {
	return c.reachesWorkers(p) && p.stateReachable && p.uptime >= stableOwnerPeriod
}

// mayReleaseShard reports whether this node has owned a shard for stableOwnerPeriod and all its
// machines are reconciled. The next owner would have to start the reconciliation of any other
// machine again.
func (o *ownershipState) mayReleaseShard(s *shard) bool {
	return s.ownership == shardOwned && o.now >= s.claimedAt+stableOwnerPeriod && o.allReconciled(s)
}

// releaseShard ends all actions for a shard and deletes its owner key. No node owns the shard until
// the deletion is applied, so it is sent in the lease class, ahead of all other requests.
func (c *Controller) releaseShard(s *shard) {
	s.ownership = shardReleasing
	c.dropQuota(s)
	c.ownership.releaseLocks()
}

// stepDownAsLeader releases the leader lock if this node holds it.
func (o *ownershipState) stepDownAsLeader() {
	leader := &o.leader
	if !o.holdsLock(leader) {
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
