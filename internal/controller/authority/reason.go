// Package authority decides what a controller is entitled to do: whether it may command the
// machines of a shard, accept a heartbeat, renew a machine's lease, free a machine or hand it
// to another shard. It holds the time bounds of leases and fencing, the decisions as pure
// functions from what a controller knows to a Decision with its Reason, and the invariants
// that are checked at run time. Nothing here sends, waits or remembers.
//
// docs/incidents/2026-12-cancelled-task-ran-on.md lists which knowledge each decision relies
// on, and how old that may be.
package authority

// Reason says why an action is allowed or refused.
type Reason int

// Reasons why an action is allowed.
const (
	// ReasonNone is the zero value: nothing has been decided.
	ReasonNone Reason = iota
	// ReasonCurrentView allows commands for a shard: the view of jobs is at least as new as
	// the claim.
	ReasonCurrentView
	// ReasonStaleViewWithinGrace allows commands for a shard: the view of jobs is older than
	// the claim, but within Bounds.StaleViewGrace.
	ReasonStaleViewWithinGrace
	// ReasonHeartbeatAccepted allows the reply to a heartbeat.
	ReasonHeartbeatAccepted

	// ReasonNotOwner refuses: this node does not own the shard.
	ReasonNotOwner
	// ReasonReleasing refuses: this node is releasing the shard.
	ReasonReleasing
	// ReasonNewerClaim refuses: another node has claimed the shard since.
	ReasonNewerClaim
	// ReasonLeaseTooOld refuses: this node has no lease, or renewed it too long ago.
	ReasonLeaseTooOld
	// ReasonStaleViewBeyondGrace refuses: the view of jobs is older than the claim, and older
	// than Bounds.StaleViewGrace.
	ReasonStaleViewBeyondGrace

	// ReasonCordoned refuses a heartbeat: the machine is cordoned.
	ReasonCordoned
	// ReasonReturned refuses a heartbeat: the machine has been returned to the cloud.
	ReasonReturned
	// ReasonStaleHeartbeat refuses a heartbeat that is no newer than the last one accepted.
	ReasonStaleHeartbeat
	// ReasonHigherFencingToken refuses a heartbeat: the machine has seen a higher fencing
	// token than this node's.
	ReasonHigherFencingToken
	// ReasonUnreachable refuses a renewal: replies do not arrive at the machine.
	ReasonUnreachable
	// ReasonUnknownJob refuses a renewal: the machine holds a task of a job that may have ended.
	ReasonUnknownJob
	// ReasonLateStart refuses a renewal: a command in doubt may yet start a task that is to
	// be stopped.
	ReasonLateStart

	// ReasonCount is the number of reasons.
	ReasonCount
)

// reasonNames are the words of the log.
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

// String returns the word that the log has for the reason.
func (r Reason) String() string { return reasonNames[r] }

// RefusesShard reports whether the reason refuses commands for a whole shard, so that another
// controller may be the one to ask.
func (r Reason) RefusesShard() bool {
	switch r {
	case ReasonNotOwner, ReasonReleasing, ReasonNewerClaim, ReasonLeaseTooOld, ReasonStaleViewBeyondGrace:
		return true
	}
	return false
}

// Decision says whether an action is allowed, and why.
type Decision struct {
	Allowed bool
	Reason  Reason
}

// Allow returns the decision that allows an action.
func Allow(r Reason) Decision { return Decision{Allowed: true, Reason: r} }

// Refuse returns the decision that refuses an action.
func Refuse(r Reason) Decision { return Decision{Allowed: false, Reason: r} }
