package authority

import "garnethitch/internal/micros"

// HeartbeatPosition orders the heartbeats of a machine, first by agent epoch and then by sequence
// number.
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

// MachineKnowledge is what a controller knows about a recorded machine that sends a heartbeat.
type MachineKnowledge struct {
	// Shard is the decision about the machine's shard.
	Shard Decision
	// Cordoned is true if the machine's record says that no new task may start on it.
	Cordoned bool
	// Returned is true if the cloud has confirmed the return of the machine.
	Returned bool
	// Tracked is true if this node keeps state for the machine, as the owner of a shard does for
	// the shard's machines.
	Tracked bool
	// PositionKnown is true if a heartbeat has been accepted. LastPosition is the position of the
	// last accepted heartbeat.
	PositionKnown bool
	LastPosition  HeartbeatPosition
	// FencingToken is the fencing token with which this node sends commands to the machine.
	FencingToken uint64
}

// HeartbeatKnowledge holds the position and the fencing token that a heartbeat states.
type HeartbeatKnowledge struct {
	Position HeartbeatPosition
	// FencingToken is the highest fencing token that the machine has seen.
	FencingToken uint64
}

// MayAcceptHeartbeat decides whether a node may use the contents of a machine's heartbeat.
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

// RenewalKnowledge is what a controller knows about a machine whose heartbeat it has accepted.
type RenewalKnowledge struct {
	// UnknownJob is true if the machine holds a task of a job that may have ended at any time.
	UnknownJob bool
	// LateStart is true if a command in doubt may still start a task on the machine although the
	// task was to be stopped more than Bounds.LateStartGrace ago.
	LateStart bool
	// Unreachable is true if replies do not arrive at the machine.
	Unreachable bool
}

// MayRenewMachineLease decides whether a node may answer an accepted heartbeat. The answer renews
// the machine's lease.
func MayRenewMachineLease(known RenewalKnowledge) Decision {
	switch {
	case known.UnknownJob:
		// The job's user may have been told long ago that the job is cancelled. The view of jobs
		// usually catches up soon and settles the question; otherwise the machine's lease expires.
		return Refuse(ReasonUnknownJob)
	case known.LateStart:
		return Refuse(ReasonLateStart)
	case known.Unreachable:
		// Heartbeats of the machine are used, but replies do not reach it. No reply is sent, because
		// one that arrived by chance would renew the lease while this node relies on its expiry.
		return Refuse(ReasonUnreachable)
	}
	return Allow(ReasonHeartbeatAccepted)
}

// MachineTasksKnowledge is what a controller knows about the tasks that may be on one of its
// machines.
type MachineTasksKnowledge struct {
	// LeaseValid is true if the node's own lease in the state service is valid.
	LeaseValid bool
	// LeaseExpired is true if the machine's lease is already known to have expired.
	LeaseExpired bool
	// Reconciled is true if the node has the complete task list of the machine. ReconciledAt is
	// when the list was last complete.
	Reconciled   bool
	ReconciledAt micros.Micros
	// HeartbeatSeen is true if a heartbeat of the machine has been accepted.
	HeartbeatSeen bool
	// UnreconciledFromPredecessor is true if tasks of a former owner may be on the machine.
	UnreconciledFromPredecessor bool
	// LastReplyAt is when a heartbeat of the machine was last answered.
	LastReplyAt micros.Micros
	// MachinesFreeAt is when machines that have sent no heartbeat since the shard was claimed are
	// free of a former owner's tasks.
	MachinesFreeAt micros.Micros
	Now            micros.Micros
}

// MayFreeMachine reports whether the lease of a machine that may hold tasks has now expired, so that
// the machine provably holds none any more. It returns false if the expiry is already known. A node
// whose own lease is not valid cannot tell, because another node may own the shard and may have
// renewed the machine's lease.
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

// ReleaseKnowledge is what a controller knows about a machine that is to leave its shard.
type ReleaseKnowledge struct {
	// Releasing is true if the machine is already being released.
	Releasing bool
	// CommandPending is true if a command to the machine is in flight or in doubt.
	CommandPending bool
	// Reconciled is true if the machine's task list is complete. LeaseExpired is true if the
	// machine's lease is known to have expired.
	Reconciled, LeaseExpired bool
	// HeartbeatSeen is true if a heartbeat of the machine has been accepted.
	HeartbeatSeen bool
	// Empty is true if every task on the machine has exited and its outcome has been handled.
	Empty bool
	// ReturnToCloud is true if the machine is to be returned to the cloud rather than moved to
	// another shard.
	ReturnToCloud bool
}

// MayReleaseMachine reports whether a machine may leave its shard: it is known to be empty, and no
// pending command can start a task on it. A machine that moves to another shard must also be in
// contact: it has sent a heartbeat, and its lease is not known to have expired.
func MayReleaseMachine(known ReleaseKnowledge) bool {
	contentsKnown := known.Reconciled || known.LeaseExpired
	inContact := known.HeartbeatSeen && !known.LeaseExpired
	if known.Releasing || known.CommandPending || !contentsKnown || !known.Empty {
		return false
	}
	return known.ReturnToCloud || inContact
}
