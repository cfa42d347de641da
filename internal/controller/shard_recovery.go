package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// This file starts a node's work for a shard when it becomes the owner, and ends it when it loses
// ownership.

// shardRecovery is what an owner has learned since its claim. Each new claim starts with an empty
// one.
type shardRecovery struct {
	claimedAt micros.Micros
	// machinesFreeAt is when machines that have sent no heartbeat since the claim hold no tasks any
	// more; see authority.Bounds.
	machinesFreeAt micros.Micros
	// quiescedPeers maps each peer that issues no commands for the shard under an earlier claim to
	// the time at which it confirmed that.
	quiescedPeers map[string]micros.Micros
	reconciled    bool // no task of a former owner can be in an unknown place
	// jobsViewCurrent is set if this node's view of jobs is at least as new as its claim. Until
	// then, a job that it considers open may have ended long ago.
	jobsViewCurrent        bool
	refreshingJobsView     bool
	loadingCheckpoints     bool
	checkpointsLoaded      bool // the checkpoints that existed at the claim are known
	checkpoints            map[string]wire.CheckpointRecord
	checkpointModRevisions map[string]uint64
}

// setShardOwner applies a claim of a shard found in the records.
func (c *Controller) setShardOwner(s *shard, rec wire.OwnerRecord, modRevision uint64) {
	s.owner = rec
	s.ownerEpoch = modRevision
	s.claiming = false
	if s.owned() {
		c.deactivateShard(s)
	}
	if c.ownership.holdsLock(&s.lock) {
		c.activateShard(s)
	} else {
		c.log(Debug, "shard has an owner", "shard", s.id, "owner", rec.Label, "epoch", modRevision)
	}
}

// activateShard starts the recovery of a shard that this node has just come to own.
func (c *Controller) activateShard(s *shard) {
	s.ownership = shardOwned
	s.shardRecovery = shardRecovery{
		claimedAt:      c.now,
		machinesFreeAt: c.now + c.machineFreeDelay(),
		quiescedPeers:  map[string]micros.Micros{},
	}
	s.recountAll = true
	s.queueStale = true
	machines := c.startMachineViews(s)
	jobs := c.startShardRuns(s)
	c.log(Info, "shard acquired", "shard", s.id, "epoch", s.ownerEpoch, "machines", machines, "jobs", jobs)
	for _, label := range c.cfg.Peers {
		c.sendStatus(c.peers[label])
	}
	c.refreshJobsView(s)
	c.holdQuota(s)
	c.loadCheckpoints(s)
	c.maintainMachines()
	c.schedulingDue = true
}

// machineFreeDelay returns how long after a claim a machine without a heartbeat may still hold
// tasks. A node without peers has no predecessor that could have answered the machine since, so the
// machine's own lease is the bound.
func (sc *stepContext) machineFreeDelay() micros.Micros {
	if len(sc.cfg.Peers) == 0 {
		return sc.bounds.WorkerExpiry
	}
	return sc.bounds.SuccessorWait
}

// startMachineViews starts a view of each machine of a shard that is not cordoned, and returns the
// number of views.
func (c *Controller) startMachineViews(s *shard) int {
	machines := 0
	for _, m := range s.machines {
		if m.rec.Cordoned {
			continue
		}
		v := c.newMachineView()
		v.unreconciledFromPredecessor = !m.returned
		v.leaseExpired = m.returned
		c.ownership.setView(m, v)
		machines++
	}
	return machines
}

// startShardRuns starts a run of each open job of a shard, and returns the number of runs.
func (c *Controller) startShardRuns(s *shard) int {
	jobs := 0
	for _, j := range c.jobs.open {
		if j.shard == s.id {
			c.startRun(s, j)
			jobs++
		}
	}
	return jobs
}

// refreshJobsView brings the view of jobs up to a claim by a watch request that returns at once.
// The long poll in flight may have been stuck on a broken connection for a long time.
func (c *Controller) refreshJobsView(s *shard) {
	w := &c.ownership.jobWatch
	if !w.Ready() || s.refreshingJobsView {
		return // the listing in progress comes first; maintainMachines tries again
	}
	s.refreshingJobsView = true
	ownerEpoch := s.ownerEpoch
	sentAt := c.now
	// The lease class has precedence where the state service is slow.
	c.queueStateRequest(statestore.ClassLease, statestore.WatchKeys{Prefix: w.Prefix, Since: w.Since}, c.cfg.Lease, func(r statestore.Reply) {
		if s.owned() && s.ownerEpoch == ownerEpoch {
			c.applyJobsRefresh(s, r, sentAt)
		}
	})
}

// applyJobsRefresh handles the response to the request of refreshJobsView that was sent at sentAt.
func (c *Controller) applyJobsRefresh(s *shard, r statestore.Reply, sentAt micros.Micros) {
	s.refreshingJobsView = false
	w := &c.ownership.jobWatch
	if statestore.MustRelist(r.Status) {
		w.Relist()
	}
	events, ok := r.Body.(*wire.Events)
	if !ok || r.Status != http.StatusOK || events.Revision < s.ownerEpoch {
		return
	}
	c.applyEvents(events.Events)
	w.CompleteAsOf = max(w.CompleteAsOf, sentAt)
	s.jobsViewCurrent = true
	c.schedulingDue = true
}

// deactivateShard ends this node's work for a shard. It clears all state that a later claim could
// mistake for current knowledge.
func (c *Controller) deactivateShard(s *shard) {
	c.log(Info, "shard given up", "shard", s.id)
	s.ownership = shardNotOwned
	s.checkpoints = nil
	s.checkpointModRevisions = nil
	c.dropQuota(s)
	c.cascade.forgetTransactions()
	for _, m := range s.machines {
		c.ownership.setView(m, nil)
	}
	for _, j := range c.jobs.open {
		if j.shard == s.id {
			c.stopRun(j)
		}
	}
}

// recordQuiescedPeer records that a peer issues no commands for a shard under an earlier claim than
// this node's. Once all peers have confirmed that, a machine without a heartbeat is free after
// WorkerExpiry at the latest, since no other node renews its lease any more.
func (o *ownershipState) recordQuiescedPeer(s *shard, label string) {
	if !s.owned() {
		return
	}
	if _, ok := s.quiescedPeers[label]; ok {
		return
	}
	s.quiescedPeers[label] = o.now
	if len(s.quiescedPeers) == len(o.cfg.Peers) {
		s.machinesFreeAt = min(s.machinesFreeAt, o.now+o.bounds.WorkerExpiry)
	}
}

// recordPeerClaims records the shard claims of a peer. A higher epoch than this node's ends this
// node's work for the shard. It returns the claimed shards that this node does not own.
func (c *Controller) recordPeerClaims(claims []peer.ShardClaim) (quiesced []int) {
	for _, claim := range claims {
		if claim.Shard < 0 || claim.Shard >= len(c.ownership.shards) {
			continue
		}
		s := c.ownership.shards[claim.Shard]
		s.highestSeenEpoch = max(s.highestSeenEpoch, claim.OwnerEpoch)
		if s.owned() && s.ownerEpoch < claim.OwnerEpoch {
			c.deactivateShard(s)
		}
		if !s.owned() {
			quiesced = append(quiesced, claim.Shard)
		}
	}
	return quiesced
}
