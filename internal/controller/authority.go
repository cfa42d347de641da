package controller

import (
	"garnethitch/internal/controller/authority"
	"garnethitch/internal/wire"
)

// This file decides what this node may do. Its methods gather the node's current knowledge and pass
// it to package authority, which holds the rules.

// leaseKnowledge returns the state of this node's lease.
func (o *ownershipState) leaseKnowledge() authority.LeaseKnowledge {
	return authority.LeaseKnowledge{Held: o.lease.Held(), RenewedAt: o.lease.RenewedAt(), Now: o.now}
}

// leaseValid reports whether this node may answer for its shards from memory and write records.
func (o *ownershipState) leaseValid() bool {
	return authority.LeaseValid(o.leaseKnowledge(), o.bounds)
}

// mayStartTasks reports whether tasks may be started. That requires that no other node can have
// confirmed to a user a cancellation that this node does not know of. A valid lease ensures this.
// Without a valid lease it is ensured only while every other controller reports that it has lost
// the state service too: otherwise a successor may have confirmed a cancellation, and its broadcast
// to this node may still be in flight.
func (c *Controller) mayStartTasks() bool {
	return c.ownership.leaseValid() || c.allPeersLostState()
}

// allPeersLostState reports whether every other controller is alive and reports that it cannot
// reach the state service.
func (c *Controller) allPeersLostState() bool {
	for _, p := range c.peers {
		if !c.alive(p) || p.stateReachable {
			return false
		}
	}
	return true
}

// mayCommandShard decides whether this node may answer heartbeats of a shard's machines and send
// them commands.
func (o *ownershipState) mayCommandShard(s *shard) authority.Decision {
	return authority.MayCommandShard(authority.ShardKnowledge{
		Lease:            o.leaseKnowledge(),
		Owned:            s.owned(),
		Releasing:        s.releasing(),
		OwnerEpoch:       s.ownerEpoch,
		HighestSeenEpoch: s.highestSeenEpoch,
		JobsViewCurrent:  s.jobsViewCurrent,
		JobsCompleteAsOf: o.jobWatch.CompleteAsOf,
	}, o.bounds)
}

// activeShard returns the shard with the given id if this node owns it and may command its machines,
// and nil otherwise.
func (o *ownershipState) activeShard(id int) *shard {
	if s := o.shards[id]; o.mayCommandShard(s).Allowed {
		return s
	}
	return nil
}

// mayAcceptHeartbeat decides whether this node may use the contents of a heartbeat of a machine
// that has a record.
func (c *Controller) mayAcceptHeartbeat(m *machine, heartbeat *wire.Heartbeat) authority.Decision {
	s := c.ownership.shards[m.rec.Shard]
	known := authority.MachineKnowledge{
		Shard:        c.ownership.mayCommandShard(s),
		Cordoned:     m.rec.Cordoned,
		Returned:     m.returned,
		Tracked:      m.view != nil,
		FencingToken: c.fencingToken(s, m),
	}
	if m.view != nil {
		known.PositionKnown = m.view.sequenceKnown
		known.LastPosition = m.view.lastPosition()
	}
	return authority.MayAcceptHeartbeat(known, authority.HeartbeatKnowledge{
		Position:     positionOf(heartbeat),
		FencingToken: heartbeat.FencingToken,
	})
}

// positionOf returns the position of a heartbeat in the sequence of its machine's heartbeats.
func positionOf(heartbeat *wire.Heartbeat) authority.HeartbeatPosition {
	return authority.HeartbeatPosition{AgentEpoch: heartbeat.AgentEpoch, Sequence: heartbeat.Sequence}
}

// lastPosition returns the position of the last accepted heartbeat.
func (v *machineView) lastPosition() authority.HeartbeatPosition {
	return authority.HeartbeatPosition{AgentEpoch: v.agentEpoch, Sequence: v.sequence}
}

// mayRenewMachineLease decides whether an accepted heartbeat may be answered. The answer renews the
// machine's lease.
func (c *Controller) mayRenewMachineLease(s *shard, m *machine, heartbeat *wire.Heartbeat) authority.Decision {
	return authority.MayRenewMachineLease(authority.RenewalKnowledge{
		UnknownJob:  c.hasTaskOfUnknownJob(s, m, heartbeat),
		LateStart:   c.mayReceiveLateStart(m),
		Unreachable: c.unreachable(m),
	})
}

// hasTaskOfUnknownJob reports whether a machine holds a task of an unknown job, which may have
// ended at any time. It checks the reconciled task list of the machine, or the heartbeat while
// there is no such list.
func (c *Controller) hasTaskOfUnknownJob(s *shard, m *machine, heartbeat *wire.Heartbeat) bool {
	if m.view.reconciled {
		return c.holdsTaskOfUnknownJob(s, m)
	}
	return c.listsTaskOfUnknownJob(s, heartbeat)
}

// mayReceiveLateStart reports whether a command whose delivery is in doubt could still start a task
// whose immediate stop was requested at least LateStartGrace ago. The command names the machine's
// agent epoch and is void once that epoch ends, so the machine's lease must not be renewed.
func (c *Controller) mayReceiveLateStart(m *machine) bool {
	if m.view.inDoubtToken == 0 {
		return false
	}
	for _, att := range m.view.attemptList {
		stoppedInDoubt := att.state == attemptInDoubt && att.stopMode == stopImmediate
		if stoppedInDoubt && c.now >= att.stopRequestedAt+c.bounds.LateStartGrace {
			return true
		}
	}
	return false
}

// mayAnswerFromMemory reports whether this node may answer users' requests about an open job
// without reading the job's record.
func (o *ownershipState) mayAnswerFromMemory(j *job) bool {
	if j.run == nil {
		return false
	}
	s := o.shards[j.shard]
	return authority.MayAnswerFromMemory(authority.OpenJobKnowledge{
		Shard:              o.mayCommandShard(s),
		Lease:              o.leaseKnowledge(),
		JobsViewCurrent:    s.jobsViewCurrent,
		AcceptedUnderClaim: j.run.acceptedUnderClaim,
	}, o.bounds)
}

// mayLead reports whether this node may act as the leader, which rents, returns and assigns
// machines for all shards.
func (o *ownershipState) mayLead() bool {
	leader := &o.leader
	return authority.MayLead(authority.LeaderKnowledge{
		Lease:        o.leaseKnowledge(),
		Owned:        o.holdsLock(leader),
		SteppingDown: leader.ownerEpoch == o.steppedDownEpoch,
	}, o.bounds)
}

// mayFreeMachine reports whether a machine certainly has no tasks any more because its lease has
// expired.
func (o *ownershipState) mayFreeMachine(s *shard, m *machine) bool {
	v := m.view
	return authority.MayFreeMachine(authority.MachineTasksKnowledge{
		LeaseValid:                  o.leaseValid(),
		LeaseExpired:                v.leaseExpired,
		Reconciled:                  v.reconciled,
		ReconciledAt:                v.reconciledAt,
		HeartbeatSeen:               v.sequenceKnown,
		UnreconciledFromPredecessor: v.unreconciledFromPredecessor,
		LastReplyAt:                 v.lastReplyAt,
		MachinesFreeAt:              s.machinesFreeAt,
		Now:                         o.now,
	}, o.bounds)
}

// mayReleaseMachine reports whether a machine may leave its shard now: the rules allow it, and its
// record set can be written. retire is set if the machine is to be returned to the cloud.
func (c *Controller) mayReleaseMachine(m *machine, retire bool) bool {
	v := m.view
	return authority.MayReleaseMachine(authority.ReleaseKnowledge{
		Releasing:      v.releasing,
		CommandPending: v.commandInFlight || v.inDoubtToken != 0,
		Reconciled:     v.reconciled,
		LeaseExpired:   v.leaseExpired,
		HeartbeatSeen:  v.sequenceKnown,
		Empty:          v.empty(),
		ReturnToCloud:  retire,
	}) && c.mayWriteRecordSet(m.recordSet)
}

// mayWriteRecordSet reports whether a change of a record set may be sent now.
func (c *Controller) mayWriteRecordSet(set *machineRecordSet) bool {
	return !c.overRecordLimit(set) && !set.writeInFlight && c.now >= set.nextWriteAt
}

// InvariantBroken is the text of the log line that reports a broken invariant.
const InvariantBroken = "invariant broken"

// reportBrokenInvariant counts and logs a broken invariant with its evidence. The controller
// continues to serve.
func (c *Controller) reportBrokenInvariant(invariant authority.Invariant, evidence ...any) {
	c.decisionLog.brokenInvariants++
	args := []any{"invariant", string(invariant), "count", c.decisionLog.brokenInvariants}
	c.log(Error, InvariantBroken, append(args, evidence...)...)
}

// checkRenewalInvariants checks the invariants of a reply that renews a machine's lease.
func (c *Controller) checkRenewalInvariants(s *shard, m *machine) {
	if !m.view.reconciled {
		return
	}
	for _, att := range m.view.attemptList {
		for _, invariant := range authority.BrokenByRenewal(c.jobs.needsImmediateStop(att), c.jobStatusForRenewal(s, att)) {
			c.reportBrokenInvariant(invariant, "task", wire.TaskName(att.key.job, att.index), "machine", m.id, "epoch", s.ownerEpoch)
		}
	}
}

// checkStartInvariants checks the invariants of a task's start.
func (c *Controller) checkStartInvariants(att *attempt) {
	if att.prefetch {
		return // prefetches only an image; the job it names has ended
	}
	_, ended := c.jobs.final(att.key.job)
	for _, invariant := range authority.BrokenByStart(ended, c.jobs.cancelled(att.key.job)) {
		c.reportBrokenInvariant(invariant, "task", wire.TaskName(att.key.job, att.index), "machine", att.machine.id)
	}
}
