package quota

import "fmt"

// Input is one of the input types of Ledger.Step.
type Input any

// Inputs of Ledger.Step.
type (
	// Tick only lets the ledger act on the time that has passed.
	Tick struct{}
	// Learned is a group's record as a read or a watch returned it. A record that is older than
	// the known one is ignored.
	Learned struct {
		Group       string
		Record      Record
		ModRevision uint64
	}
	// ShardAcquired reports that this controller has become the owner of a shard.
	ShardAcquired struct{ Shard int }
	// RecordsRead reports that all records have been read since the shard was acquired.
	RecordsRead struct{ Shard int }
	// ShardReleased reports that this controller no longer owns a shard, for whatever reason.
	ShardReleased struct{ Shard int }
	// UsageReport reports what a shard uses and wants, by group. Ledger.Claims computes it. The
	// ledger keeps the map and changes it.
	UsageReport struct {
		Shard  int
		Groups map[string]Usage
	}
	// WriteResult reports the outcome of a Write.
	WriteResult struct {
		ID      uint64
		Outcome Outcome
		// ModRevision is the new revision of the record if the outcome is Applied.
		ModRevision uint64
	}
	// Announce brings the records into agreement with the options. Only the leader may send it.
	Announce struct{ Definitions []Definition }
	// SetLimit overrides a group's limit at an operator's request. A nil Limit clears the
	// override. SetDone answers it.
	SetLimit struct {
		Token uint64
		Group string
		Limit *Limit
	}
)

// Outcome is the outcome of a Write.
type Outcome int

// Outcomes of a Write.
const (
	// Unknown means that the write may have been carried out, or may still be.
	Unknown Outcome = iota
	// Applied means that the write was carried out.
	Applied
	// Refused means that the conditions of the write were not met.
	Refused
	// NotSent means that the write was not carried out and never will be.
	NotSent
)

func (o Outcome) String() string {
	switch o {
	case Unknown:
		return "unknown"
	case Applied:
		return "applied"
	case Refused:
		return "refused"
	case NotSent:
		return "not sent"
	}
	return fmt.Sprintf("Outcome(%d)", int(o))
}

// Effect is one of the effect types of Ledger.Step.
type Effect any

// Effects of Ledger.Step.
type (
	// Write asks for a conditional write of a group's record. The caller must return its outcome
	// exactly once, as a WriteResult.
	Write struct {
		ID    uint64
		Group string
		// ModRevision is the revision that the record must have when the write is carried
		// out. It is 0 if there must be no record.
		ModRevision uint64
		// Shards are the shards that this controller must own when the write is carried out.
		Shards []int
		// Leader is set if this controller must be the leader when the write is carried out.
		Leader bool
		Record Record
	}
	// Read asks for a group's record to be read again.
	Read struct{ Group string }
	// Reclaim asks for tasks of a shard to be stopped, since a guaranteed claim has waited and
	// the shard uses more of the group than its fair share. Excess is how much more.
	Reclaim struct {
		Shard  int
		Group  string
		Excess Amount
	}
	// Changed reports a change of a group, for logs and traces.
	Changed struct {
		Kind     ChangeKind
		Group    string
		Shard    int    // of ClaimChanged, Grown and Shrunk
		From, To Amount // the shard's allowance before and after the change
		Epoch    uint64
		Limit    Limit
		Source   Source
	}
	// SetDone answers a SetLimit.
	SetDone struct {
		Token  uint64
		Status SetStatus
		Epoch  uint64
	}
)

// ChangeKind is the kind of a Changed.
type ChangeKind string

// Kinds of changes.
const (
	// ClaimChanged means that the claim of an owned shard has changed, but not its allowance.
	ClaimChanged ChangeKind = "asking"
	// Grown means that an allowance has grown.
	Grown ChangeKind = "growing"
	// Shrunk means that an allowance has been reduced.
	Shrunk ChangeKind = "shrinking"
	// Announced means that a new limit or definition is stored in the record.
	Announced ChangeKind = "announcing"
	// InForce means that a different limit is now in force.
	InForce ChangeKind = "in force"
)

// SetStatus is the outcome of a SetLimit.
type SetStatus int

// Outcomes of a SetLimit.
const (
	// SetAnnounced means that the limit is stored in the record.
	SetAnnounced SetStatus = iota
	// SetNoGroup means that there is no such group.
	SetNoGroup
	// SetConflict means that the leader or another operator changed the group after the request
	// came.
	SetConflict
	// SetBusy means that the limit was not written in time, because the store did not answer or
	// other writes kept coming first.
	SetBusy
)

func (s SetStatus) String() string {
	switch s {
	case SetAnnounced:
		return "announced"
	case SetNoGroup:
		return "no such group"
	case SetConflict:
		return "conflict"
	case SetBusy:
		return "busy"
	}
	return fmt.Sprintf("SetStatus(%d)", int(s))
}
