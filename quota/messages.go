package quota

import "fmt"

// Input is one of the input types of Ledger.Step.
type Input any

// Inputs of Ledger.Step.
type (
	// Tick passes the time only.
	Tick struct{}
	// Learned is a group's record as a read or a watch returned it. A record that is older
	// than the known one is ignored.
	Learned struct {
		Group       string
		Record      Record
		ModRevision uint64
	}
	// ShardAcquired says that this controller has become the owner of a shard.
	ShardAcquired struct{ Shard int }
	// RecordsRead says that all records have been read since the shard was claimed.
	RecordsRead struct{ Shard int }
	// ShardReleased says that this controller no longer owns a shard.
	ShardReleased struct{ Shard int }
	// UsageReport is what a shard uses and wants, by group; see Ledger.Claims. The ledger keeps
	// the map.
	UsageReport struct {
		Shard  int
		Groups map[string]Usage
	}
	// WriteResult is the outcome of a Write.
	WriteResult struct {
		ID      uint64
		Outcome Outcome
		// ModRevision is the record's new one if the outcome is Applied.
		ModRevision uint64
	}
	// Announce makes the records agree with the options. Only the leader may send it.
	Announce struct{ Definitions []Definition }
	// SetLimit sets a group's limit by hand; a nil Limit clears it. SetDone answers it.
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
	// Unknown means that it may have been carried out, or may be yet.
	Unknown Outcome = iota
	// Applied means that it was carried out.
	Applied
	// Refused means that its conditions were not met.
	Refused
	// NotSent means that it was not carried out and never will be.
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
	// Write asks for a conditional write of a group's record. Its outcome must be returned
	// exactly once, as Wrote.
	Write struct {
		ID    uint64
		Group string
		// ModRevision is the revision that the record must have when the write is carried
		// out; 0: there must be no record.
		ModRevision uint64
		// Shards are the shards whose owner this controller must be when the write is
		// carried out.
		Shards []int
		// Leader is set if this controller must be the leader when the write is carried out.
		Leader bool
		Record Record
	}
	// Read asks for a group's record to be read again.
	Read struct{ Group string }
	// Reclaim asks for tasks of a shard to be stopped, since a guaranteed claim has waited
	// and the shard uses more of the group than its part. Over is by how much.
	Reclaim struct {
		Shard  int
		Group  string
		Excess Amount
	}
	// Changed reports a change of a group, for logs and traces.
	Changed struct {
		Kind     ChangeKind
		Group    string
		Shard    int // of Asked, Grown and Shrunk
		From, To Amount
		Epoch    uint64
		Limit    Limit
		Source   Source
	}
	// SetDone answers a Set.
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
	// ClaimChanged means that the claim of an own shard has changed, but not its allowance.
	ClaimChanged ChangeKind = "asking"
	// Grown means that an allowance has grown.
	Grown ChangeKind = "growing"
	// Shrunk means that an allowance has been reduced.
	Shrunk ChangeKind = "shrinking"
	// Announced means that a limit or a definition stands in the record.
	Announced ChangeKind = "announcing"
	// InForce means that another limit is in force.
	InForce ChangeKind = "in force"
)

// SetStatus is the outcome of a Set.
type SetStatus int

// Outcomes of a Set.
const (
	// SetAnnounced means that the limit stands in the record.
	SetAnnounced SetStatus = iota
	// SetNoGroup means that there is no such group.
	SetNoGroup
	// SetConflict means that the group was changed meanwhile, by the leader or another operator.
	SetConflict
	// SetBusy means that the limit was not written, since the store did not answer in time or other
	// writes came first again and again.
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
