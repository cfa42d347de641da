package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// What a node does as it comes to own a shard, and as it ceases to.

// shardRecovery is what an owner has learned since its claim; a new claim begins with nothing.
type shardRecovery struct {
	claimedAt micros.Micros
	// machinesFreeAt is when machines without a heartbeat since the claim hold no task any
	// more, see authority.Bounds.
	machinesFreeAt micros.Micros
	// quiescedPeers are the peers that issue no commands for the shard below this claim, with
	// when they said so.
	quiescedPeers map[string]micros.Micros
	reconciled    bool // no task of a former owner can be at an unknown place
	// jobsViewCurrent is set if this node's view of jobs is at least as new as its claim. Until
	// then a job that it believes open may long have ended.
	jobsViewCurrent        bool
	refreshingJobsView     bool
	loadingCheckpoints     bool
	checkpointsLoaded      bool // the checkpoints that stood at the claim are known
	checkpoints            map[string]wire.CheckpointRecord
	checkpointModRevisions map[string]uint64
}

// setShardOwner takes a claim of a shard that the records show.
func (c *Controller) setShardOwner(s *shard, rec wire.OwnerRecord, modRevision uint64) {
	s.owner = rec
	s.ownerEpoch = modRevision
	s.claiming = false
	if s.owned() {
		c.deactivateShard(s)
	}
	if c.ownership.isMine(&s.lock) {
		c.activateShard(s)
	} else {
		c.log(Debug, "shard has an owner", "shard", s.id, "owner", rec.Label, "epoch", modRevision)
	}
}

// activateShard starts recovery of a shard that this node has just come to own.
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

// machineFreeDelay returns how long after a claim a machine without a heartbeat may hold tasks. A
// node without peers has no predecessor that could have answered the machine since.
func (sc *stepContext) machineFreeDelay() micros.Micros {
	if len(sc.cfg.Peers) == 0 {
		return sc.bounds.WorkerExpiry
	}
	return sc.bounds.SuccessorWait
}

// startMachineViews begins a view of each machine of a shard that is not cordoned, and returns their
// number.
func (c *Controller) startMachineViews(s *shard) int {
	machines := 0
	for _, m := range s.machines {
		if m.rec.Cordoned {
			continue
		}
		v := c.newView()
		v.unreconciledFromPredecessor = !m.returned
		v.leaseExpired = m.returned
		c.ownership.setView(m, v)
		machines++
	}
	return machines
}

// startShardRuns begins to run the open jobs of a shard, and returns their number.
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

// refreshJobsView brings the view of jobs up to a claim, by one watch that does not wait: the
// long poll may have hung on a broken connection for long.
func (c *Controller) refreshJobsView(s *shard) {
	w := &c.ownership.jobWatch
	if !w.Ready() || s.refreshingJobsView {
		return // the listing in progress comes first; maintainMachines asks again
	}
	s.refreshingJobsView = true
	ownerEpoch := s.ownerEpoch
	sentAt := c.now
	// Where the state service is slow, what lets renewals through lets this through.
	c.queueStateRequest(statestore.ClassLease, statestore.WatchKeys{Prefix: w.Prefix, Since: w.Since}, c.cfg.Lease, func(r statestore.Reply) {
		if s.owned() && s.ownerEpoch == ownerEpoch {
			c.applyJobsRefresh(s, r, sentAt)
		}
	})
}

// applyJobsRefresh takes the response to a watch that was sent to bring the view of jobs up to
// the claim.
func (c *Controller) applyJobsRefresh(s *shard, r statestore.Reply, sentAt micros.Micros) {
	s.refreshingJobsView = false
	w := &c.ownership.jobWatch
	if statestore.MustListAgain(r.Status) {
		w.ListAgain()
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

// deactivateShard ends this node's work for a shard: nothing is kept that a later claim could mistake
// for knowledge.
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

// recordQuiescedPeer records that a peer issues no commands for a shard below this node's claim.
// Once all have said so, machines without a heartbeat need to be waited for no longer than
// their own lease.
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

// recordPeerClaims records the claims of a peer: a higher epoch than this node's ends its work
// for the shard. It returns the shards of them that this node does not command.
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
