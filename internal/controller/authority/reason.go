// Package authority decides which actions a controller may take: command the machines of a shard,
// accept a heartbeat, renew a machine's lease, free a machine, or hand a machine over to another
// shard. It defines the time bounds of leases and fencing, and the invariants that are checked at
// run time. Each decision is a pure function that takes what a controller knows and returns a
// Decision with a Reason. The package keeps no state and performs no I/O.
//
// docs/incidents/2026-12-cancelled-task-ran-on.md lists the knowledge on which each decision
// relies, and how old that knowledge may be.
package authority

// Reason says why an action is allowed or refused.
type Reason int

// Reasons why an action is allowed.
const (
	// ReasonNone is the zero value: no decision has been made.
	ReasonNone Reason = iota
	// ReasonCurrentView allows commands for a shard: the view of jobs is at least as new as the
	// claim.
	ReasonCurrentView
	// ReasonStaleViewWithinGrace allows commands for a shard: the view of jobs is older than the
	// claim, but was complete less than Bounds.StaleViewGrace ago.
	ReasonStaleViewWithinGrace
	// ReasonHeartbeatAccepted allows the reply to a heartbeat.
	ReasonHeartbeatAccepted

	// ReasonNotOwner refuses: this node does not own the shard.
	ReasonNotOwner
	// ReasonReleasing refuses: this node is releasing the shard.
	ReasonReleasing
	// ReasonNewerClaim refuses: another node has claimed the shard since this node's claim.
	ReasonNewerClaim
	// ReasonLeaseTooOld refuses: this node has no lease, or last renewed it too long ago.
	ReasonLeaseTooOld
	// ReasonStaleViewBeyondGrace refuses: the view of jobs is older than the claim, and was last
	// complete Bounds.StaleViewGrace ago or earlier.
	ReasonStaleViewBeyondGrace

	// ReasonCordoned refuses a heartbeat: the machine is cordoned.
	ReasonCordoned
	// ReasonReturned refuses a heartbeat: the machine has been returned to the cloud.
	ReasonReturned
	// ReasonStaleHeartbeat refuses a heartbeat that is no newer than the last one accepted.
	ReasonStaleHeartbeat
	// ReasonHigherFencingToken refuses a heartbeat: the machine has seen a fencing token that is
	// higher than this node's.
	ReasonHigherFencingToken
	// ReasonUnreachable refuses a renewal: replies do not arrive at the machine.
	ReasonUnreachable
	// ReasonUnknownJob refuses a renewal: the machine holds a task of a job that may have ended.
	ReasonUnknownJob
	// ReasonLateStart refuses a renewal: a command in doubt may still start a task that is to be
	// stopped.
	ReasonLateStart

	// ReasonCount is the number of reasons.
	ReasonCount
)

// reasonNames holds the names of the reasons in logs.
var reasonNames = [ReasonCount]string{
	ReasonNone:                 "none",
	ReasonCurrentView:          "current_view",
	ReasonStaleViewWithinGrace: "stale_view_within_grace",
	ReasonHeartbeatAccepted:    "accepted",
	ReasonNotOwner:             "not_owner",
	ReasonReleasing:            "releasing",
	ReasonNewerClaim:           "newer_claim",
	ReasonLeaseTooOld:          "lease_too_old",
	ReasonStaleViewBeyondGrace: "stale_view_beyond_grace",
	ReasonCordoned:             "cordoned",
	ReasonReturned:             "returned",
	ReasonStaleHeartbeat:       "stale_heartbeat",
	ReasonHigherFencingToken:   "higher_fencing_token",
	ReasonUnreachable:          "unreachable",
	ReasonUnknownJob:           "unknown_job",
	ReasonLateStart:            "late_start",
}

// String returns the name of the reason in logs.
func (r Reason) String() string { return reasonNames[r] }

// RefusesShard reports whether the reason refuses commands for a whole shard. The caller may then
// try another controller.
func (r Reason) RefusesShard() bool {
	switch r {
	case ReasonNotOwner, ReasonReleasing, ReasonNewerClaim, ReasonLeaseTooOld, ReasonStaleViewBeyondGrace:
		return true
	}
	return false
}

// Decision states whether an action is allowed, and why.
type Decision struct {
	Allowed bool
	Reason  Reason
}

// Allow returns a decision that allows an action for the given reason.
func Allow(r Reason) Decision { return Decision{Allowed: true, Reason: r} }

// Refuse returns a decision that refuses an action for the given reason.
func Refuse(r Reason) Decision { return Decision{Allowed: false, Reason: r} }
