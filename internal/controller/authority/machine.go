package authority

import "garnethitch/internal/micros"

// HeartbeatPosition orders the heartbeats of a machine: by agent epoch, and by sequence within one.
type HeartbeatPosition struct {
	AgentEpoch uint64
	Sequence   uint64
}

// After reports whether p is newer than other.
func (p HeartbeatPosition) After(other HeartbeatPosition) bool {
	if p.AgentEpoch != other.AgentEpoch {
		return p.AgentEpoch > other.AgentEpoch
	}
	return p.Sequence > other.Sequence
}

// MachineKnowledge is what a controller knows of a machine on record that sends a heartbeat.
type MachineKnowledge struct {
	// Shard is the decision about the machine's shard.
	Shard Decision
	// Cordoned is whether its record says that nothing new may start on it.
	Cordoned bool
	// Returned is whether the cloud has confirmed its return.
	Returned bool
	// Tracked is whether this node keeps a view of it, as the owner of its shard does.
	Tracked bool
	// PositionKnown is whether a heartbeat has been accepted; LastPosition is that of the last.
	PositionKnown bool
	LastPosition  HeartbeatPosition
	// FencingToken is the token under which this node commands it.
	FencingToken uint64
}

// HeartbeatKnowledge is what a heartbeat says of itself.
type HeartbeatKnowledge struct {
	Position HeartbeatPosition
	// FencingToken is the highest that the machine has seen.
	FencingToken uint64
}

// MayAcceptHeartbeat decides whether a node may use what a heartbeat says of a machine.
func MayAcceptHeartbeat(machine MachineKnowledge, heartbeat HeartbeatKnowledge) Decision {
	switch {
	case machine.Cordoned:
		return Refuse(ReasonCordoned)
	case !machine.Shard.Allowed:
		return machine.Shard
	case !machine.Tracked:
		return Refuse(ReasonNotOwner)
	case machine.Returned:
		return Refuse(ReasonReturned)
	case machine.PositionKnown && !heartbeat.Position.After(machine.LastPosition):
		return Refuse(ReasonStaleHeartbeat)
	case heartbeat.FencingToken > machine.FencingToken:
		return Refuse(ReasonHigherFencingToken)
	}
	return machine.Shard
}

// RenewalKnowledge is what a controller knows of a machine whose heartbeat it has accepted.
type RenewalKnowledge struct {
	// UnknownJob is whether the machine holds a task of a job that may have ended at any time.
	UnknownJob bool
	// LateStart is whether a command in doubt may yet start a task there that was to be
	// stopped longer ago than Bounds.LateStartGrace.
	LateStart bool
	// Unreachable is whether replies do not arrive at the machine.
	Unreachable bool
}

// MayRenewMachineLease decides whether an accepted heartbeat may be answered, which renews the
// machine's lease.
func MayRenewMachineLease(known RenewalKnowledge) Decision {
	switch {
	case known.UnknownJob:
		// The job's user may have been notified long ago that it is cancelled. The view of
		// jobs decides it soon; if it can't, the lease runs out.
		return Refuse(ReasonUnknownJob)
	case known.LateStart:
		return Refuse(ReasonLateStart)
	case known.Unreachable:
		// What the machine says counts, but it receives nothing. No reply may renew its lease
		// by chance while this node relies on the end of that lease.
		return Refuse(ReasonUnreachable)
	}
	return Allow(ReasonHeartbeatAccepted)
}

// MachineTasksKnowledge is what a controller knows of the tasks that may be on a machine of its.
type MachineTasksKnowledge struct {
	// LeaseValid is whether the node's own lease is valid.
	LeaseValid bool
	// LeaseExpired is whether the machine's lease is known to have ended already.
	LeaseExpired bool
	// Reconciled is whether the machine's task list is complete; ReconciledAt is when it
	// was last.
	Reconciled   bool
	ReconciledAt micros.Micros
	// HeartbeatSeen is whether a heartbeat of the machine has been accepted.
	HeartbeatSeen bool
	// UnreconciledFromPredecessor is whether a former owner's tasks may be on it.
	UnreconciledFromPredecessor bool
	// LastReplyAt is when a heartbeat of the machine was last answered.
	LastReplyAt micros.Micros
	// MachinesFreeAt is when machines without a heartbeat since the claim of the shard are
	// free of a former owner's tasks.
	MachinesFreeAt micros.Micros
	Now            micros.Micros
}

// MayFreeMachine reports whether a machine has provably no task any more, because its lease
// has run out. A node whose own lease is not valid can't tell: another node may own the shard,
// and may have renewed the machine's lease.
func MayFreeMachine(known MachineTasksKnowledge, bounds Bounds) bool {
	mayHoldTasks := known.HeartbeatSeen || known.UnreconciledFromPredecessor
	if known.LeaseExpired || !mayHoldTasks || !known.LeaseValid {
		return false
	}
	freeAt := max(known.ReconciledAt, known.LastReplyAt) + bounds.WorkerExpiry
	if !known.Reconciled {
		freeAt = max(known.MachinesFreeAt, freeAt)
	}
	return known.Now >= freeAt
}

// ReleaseKnowledge is what a controller knows of a machine that is to leave its shard.
type ReleaseKnowledge struct {
	// Releasing is whether it is being released already.
	Releasing bool
	// CommandPending is whether a command to it is in flight or in doubt.
	CommandPending bool
	// Reconciled is whether its task list is complete, LeaseExpired whether its lease is known
	// to have ended.
	Reconciled, LeaseExpired bool
	// HeartbeatSeen is whether a heartbeat of it has been accepted.
	HeartbeatSeen bool
	// Empty is whether no task on it matters any more.
	Empty bool
	// ReturnToCloud is whether it is to be returned to the cloud rather than moved to another shard.
	ReturnToCloud bool
}

// MayReleaseMachine reports whether a machine may leave its shard: nothing is on it, and nothing
// can come. One that is moved to another shard must be in contact as well.
func MayReleaseMachine(known ReleaseKnowledge) bool {
	contentsKnown := known.Reconciled || known.LeaseExpired
	inContact := known.HeartbeatSeen && !known.LeaseExpired
	if known.Releasing || known.CommandPending || !contentsKnown || !known.Empty {
		return false
	}
	return known.ReturnToCloud || inContact
}
