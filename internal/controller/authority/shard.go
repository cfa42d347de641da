package authority

import "garnethitch/internal/micros"

// LeaseKnowledge is what a controller knows of its lease in the state service.
type LeaseKnowledge struct {
	Held bool
	// RenewedAt is when the last successful renewal was sent.
	RenewedAt micros.Micros
	Now       micros.Micros
}

// LeaseValid reports whether a node may answer for its shards from memory, and write records.
func LeaseValid(known LeaseKnowledge, bounds Bounds) bool {
	return known.Held && known.Now < known.RenewedAt+bounds.LeaseValidity
}

// MayIssueCommands reports whether a node may answer heartbeats and command machines at all.
func MayIssueCommands(known LeaseKnowledge, bounds Bounds) bool {
	return known.Held && known.Now < known.RenewedAt+bounds.CommandValidity
}

// ShardKnowledge is what a controller knows of a shard.
type ShardKnowledge struct {
	Lease LeaseKnowledge
	// Owned is whether the node has seen its own claim of the shard in the watch.
	Owned bool
	// Releasing is whether the node is releasing the shard.
	Releasing bool
	// OwnerEpoch is the revision of the claim that the node has seen last.
	OwnerEpoch uint64
	// HighestSeenEpoch is the highest revision of another node's claim that it has seen.
	HighestSeenEpoch uint64
	// JobsViewCurrent is whether its view of jobs is at least as new as the claim.
	JobsViewCurrent bool
	// JobsCompleteAsOf is when its view of jobs was last complete.
	JobsCompleteAsOf micros.Micros
}

// MayCommandShard decides whether a node may answer the heartbeats of a shard's machines and
// send them commands. An owner that can't learn which jobs a former owner ended lets the
// leases of its machines run out: tasks of a cancelled job may be on them.
func MayCommandShard(known ShardKnowledge, bounds Bounds) Decision {
	switch {
	case !known.Owned:
		return Refuse(ReasonNotOwner)
	case known.Releasing:
		return Refuse(ReasonReleasing)
	case known.OwnerEpoch < known.HighestSeenEpoch:
		return Refuse(ReasonNewerClaim)
	case !MayIssueCommands(known.Lease, bounds):
		return Refuse(ReasonLeaseTooOld)
	case known.JobsViewCurrent:
		return Allow(ReasonCurrentView)
	case known.Lease.Now < known.JobsCompleteAsOf+bounds.StaleViewGrace:
		return Allow(ReasonStaleViewWithinGrace)
	}
	return Refuse(ReasonStaleViewBeyondGrace)
}

// OpenJobKnowledge is what a controller knows of an open job of a shard.
type OpenJobKnowledge struct {
	// Shard is the decision about the job's shard.
	Shard Decision
	Lease LeaseKnowledge
	// JobsViewCurrent is whether the view of jobs is at least as new as the claim of the shard.
	JobsViewCurrent bool
	// AcceptedUnderClaim is whether the node has accepted the job itself under that claim, so
	// that no former owner can have ended it.
	AcceptedUnderClaim bool
}

// MayAnswerFromMemory reports whether a node may answer users' requests about an open job without
// a read.
func MayAnswerFromMemory(known OpenJobKnowledge, bounds Bounds) bool {
	knowsEnds := known.JobsViewCurrent || known.AcceptedUnderClaim
	return known.Shard.Allowed && LeaseValid(known.Lease, bounds) && knowsEnds
}

// LeaderKnowledge is what a controller knows of the leader lock.
type LeaderKnowledge struct {
	Lease LeaseKnowledge
	// Owned is whether the node holds the lock.
	Owned bool
	// SteppingDown is whether the node is releasing it.
	SteppingDown bool
}

// MayLead reports whether a node may rent, return and assign machines for all shards.
func MayLead(known LeaderKnowledge, bounds Bounds) bool {
	return known.Owned && !known.SteppingDown && LeaseValid(known.Lease, bounds)
}
