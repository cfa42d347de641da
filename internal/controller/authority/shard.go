package authority

import "garnethitch/internal/micros"

// LeaseKnowledge is what a controller knows about its lease in the state service.
type LeaseKnowledge struct {
	Held bool
	// RenewedAt is when the last successful renewal was sent.
	RenewedAt micros.Micros
	Now       micros.Micros
}

// LeaseValid reports whether a node may answer requests about its shards from memory and write
// records.
func LeaseValid(known LeaseKnowledge, bounds Bounds) bool {
	return known.Held && known.Now < known.RenewedAt+bounds.LeaseValidity
}

// MayIssueCommands reports whether a node's lease allows it to answer heartbeats and command
// machines.
func MayIssueCommands(known LeaseKnowledge, bounds Bounds) bool {
	return known.Held && known.Now < known.RenewedAt+bounds.CommandValidity
}

// ShardKnowledge is what a controller knows about a shard.
type ShardKnowledge struct {
	Lease LeaseKnowledge
	// Owned is true if the node has seen its own claim of the shard in the watch.
	Owned bool
	// Releasing is true if the node is releasing the shard.
	Releasing bool
	// OwnerEpoch is the revision of the last claim of the shard that the node has seen.
	OwnerEpoch uint64
	// HighestSeenEpoch is the highest revision of another node's claim that this node has seen.
	HighestSeenEpoch uint64
	// JobsViewCurrent is true if the node's view of jobs is at least as new as the claim.
	JobsViewCurrent bool
	// JobsCompleteAsOf is when the node's view of jobs was last complete.
	JobsCompleteAsOf micros.Micros
}

// MayCommandShard decides whether a node may answer the heartbeats of a shard's machines and send
// them commands. An owner that cannot learn which jobs a former owner has ended must let the
// leases of its machines expire, because the machines may hold tasks of cancelled jobs.
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

// OpenJobKnowledge is what a controller knows about an open job of a shard.
type OpenJobKnowledge struct {
	// Shard is the decision about the job's shard.
	Shard Decision
	Lease LeaseKnowledge
	// JobsViewCurrent is true if the view of jobs is at least as new as the claim of the shard.
	JobsViewCurrent bool
	// AcceptedUnderClaim is true if the node itself has accepted the job under the current claim,
	// so that no former owner can have ended the job.
	AcceptedUnderClaim bool
}

// MayAnswerFromMemory reports whether a node may answer users' requests about an open job without
// reading the job's record.
func MayAnswerFromMemory(known OpenJobKnowledge, bounds Bounds) bool {
	knowsEnds := known.JobsViewCurrent || known.AcceptedUnderClaim
	return known.Shard.Allowed && LeaseValid(known.Lease, bounds) && knowsEnds
}

// LeaderKnowledge is what a controller knows about the leader lock.
type LeaderKnowledge struct {
	Lease LeaseKnowledge
	// Owned is true if the node holds the lock.
	Owned bool
	// SteppingDown is true if the node is releasing the lock.
	SteppingDown bool
}

// MayLead reports whether a node may act as leader: rent, return and assign machines for all
// shards.
func MayLead(known LeaderKnowledge, bounds Bounds) bool {
	return known.Owned && !known.SteppingDown && LeaseValid(known.Lease, bounds)
}
