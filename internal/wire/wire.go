// Package wire holds the CBOR bodies that garnethitch exchanges with users,
// workers, the cloud and the state service. Go names are the field's terms; the
// wire's own words stand only in the tags here.
package wire

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// Raw is an encoded value whose meaning depends on where it stands.
type Raw = cbor.RawMessage

var (
	enc cbor.EncMode
	dec cbor.DecMode
)

func init() {
	var err error
	// Floats keep their full width: not every reader knows the half-wide form.
	options := cbor.EncOptions{Sort: cbor.SortBytewiseLexical, ShortestFloat: cbor.ShortestFloatNone}
	if enc, err = options.EncMode(); err != nil {
		panic(fmt.Sprintf("wire: encoder options: %v", err))
	}
	dec, err = cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 131072,
		MaxMapPairs:      65536,
		IndefLength:      cbor.IndefLengthAllowed,
		DefaultMapType:   reflect.TypeFor[map[string]any](),
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("wire: decoder options: %v", err))
	}
}

// Encode gives the CBOR form of a body made by this program.
func Encode(v any) ([]byte, error) {
	b, err := enc.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("wire: encode %T: %w", v, err)
	}
	return b, nil
}

// StoredSize is how large a value counts in the state service, whose limits count the
// textual form, but no less than what is sent. Bounds far from most give no exact
// figure: it is at most limit if and only if the value fits.
func StoredSize(value Raw, limit int) int {
	const widest = 6 // a boolean takes one byte here, and six there
	if len(value) > limit || widest*len(value) <= limit {
		return len(value)
	}
	var v any
	if err := dec.Unmarshal(value, &v); err != nil {
		return limit + 1
	}
	text, err := json.Marshal(v)
	if err != nil {
		return limit + 1
	}
	const decimals = 2 * 16 // amounts are written with a decimal point even where they are whole
	return max(len(text)+decimals, len(value))
}

// Decode reads a whole CBOR body into v; anything left over is an error.
func Decode(b []byte, v any) error {
	if err := dec.Unmarshal(b, v); err != nil {
		return fmt.Errorf("wire: decode %T: %w", v, err)
	}
	return nil
}

// Priorities, low to high.
const (
	PriorityLow = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

// PriorityOf gives the rank of a priority's wire word.
func PriorityOf(word string) (int, bool) {
	switch word {
	case "best_effort":
		return PriorityLow, true
	case "standard":
		return PriorityNormal, true
	case "high":
		return PriorityHigh, true
	case "prod":
		return PriorityProduction, true
	}
	return 0, false
}

// Job states as users see them.
const (
	StatePending   = "pending"
	StateRunning   = "running"
	StateDone      = "done"
	StateCancelled = "cancelled"
)

// JobAnswer tells a user of a job.
type JobAnswer struct {
	ID      string `cbor:"nameId"`
	State   string `cbor:"stance"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}

// Task states as workers report them.
const (
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskExited   = "exited"
)

// Reasons for a task's end.
const (
	ExitDone       = "done"
	ExitStopped    = "halted"
	ExitError      = "error"
	ExitNoCapacity = "no_room"
	ExitInUse      = "in_use"
	ExitUnknown    = "unknown"
)

// TaskStatus is one task on a machine.
type TaskStatus struct {
	Task       string `cbor:"load"`
	Attempt    uint64 `cbor:"mount"`
	State      string `cbor:"stance"`
	ExitReason string `cbor:"cause,omitempty"`
	Saved      bool   `cbor:"kept,omitempty"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine      string       `cbor:"post"`
	Addr         string       `cbor:"address"`
	Type         string       `cbor:"breed"`
	Zone         string       `cbor:"paddock"`
	Spot         bool         `cbor:"strays"`
	AgentEpoch   uint64       `cbor:"tether"`
	Sequence     uint64       `cbor:"tally"`
	FencingToken uint64       `cbor:"rein"`
	NoticeS      *float64     `cbor:"warningS"`
	Tasks        []TaskStatus `cbor:"loads"`
}

// Commands to a worker.
const (
	OpStart  = "run"
	OpStop   = "halt"
	OpForget = "clear"
)

// Command is one order to a worker.
type Command struct {
	Op      string   `cbor:"call"`
	Task    string   `cbor:"load"`
	Attempt uint64   `cbor:"mount"`
	GraceS  *float64 `cbor:"slackS,omitempty"`
}

// HeartbeatReply is the 200 answer to a heartbeat.
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"rein"`
	Commands     []Command `cbor:"calls"`
}

// Redirect is the 421 answer to a heartbeat.
type Redirect struct {
	ReportTo string `cbor:"drover,omitempty"`
}

// DirectCommand is a direct command to a worker.
type DirectCommand struct {
	FencingToken uint64    `cbor:"rein"`
	AgentEpoch   uint64    `cbor:"tether"`
	Commands     []Command `cbor:"calls"`
}

// MachineType is what the cloud offers.
type MachineType struct {
	Name        string   `cbor:"sku"`
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"gpus"`
	MemGB       float64  `cbor:"memGb"`
	CacheGB     float64  `cbor:"cacheGb"`
	FetchGBPerS float64  `cbor:"fetchGbPerS"`
	Price       float64  `cbor:"hourly"`
	SpotPrice   float64  `cbor:"marketPrice"`
	BootS       float64  `cbor:"readyS"`
	Zones       []string `cbor:"paddocks"`
}

// MachineTypes is the cloud's offer.
type MachineTypes struct {
	Types []MachineType `cbor:"breeds"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Request string `cbor:"hire"`
	Type    string `cbor:"breed"`
	Zone    string `cbor:"paddock"`
	Spot    bool   `cbor:"strays"`
	Count   int    `cbor:"count"`
}

// Refusal is the body of a 503 from the cloud.
type Refusal struct {
	Error string `cbor:"error"`
}

// MachineNames is a list of machines, rented or to be returned.
type MachineNames struct {
	Machines []string `cbor:"posts"`
}

// Machine states in the cloud's list.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// ListedMachine is a row of the cloud's list.
type ListedMachine struct {
	ID    string  `cbor:"nameId"`
	Addr  string  `cbor:"address"`
	Type  string  `cbor:"breed"`
	Zone  string  `cbor:"paddock"`
	Spot  bool    `cbor:"strays"`
	State string  `cbor:"stance"`
	AgeS  float64 `cbor:"ageS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `cbor:"posts"`
	More     bool            `cbor:"truncated"`
}

// KeyValue is a key of the state service.
type KeyValue struct {
	Key         string `cbor:"path"`
	Value       Raw    `cbor:"v"`
	ModRevision uint64 `cbor:"mark"`
}

// KeyList is a page of keys.
type KeyList struct {
	Items    []KeyValue `cbor:"rows"`
	More     bool       `cbor:"truncated"`
	Revision uint64     `cbor:"ledger"`
}

// Condition of a transaction: the key has this version, 0 for none.
type Condition struct {
	Key         string `cbor:"path"`
	ModRevision uint64 `cbor:"mark"`
}

// Change is a put or a delete in a transaction.
type Change struct {
	Put    string `cbor:"put,omitempty"`
	Value  Raw    `cbor:"v,omitempty"`
	Lease  uint64 `cbor:"halter,omitempty"`
	Delete string `cbor:"drop,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Condition `cbor:"when"`
	Then []Change    `cbor:"then"`
}

// Writes counts the puts and deletes of a transaction.
func (t Txn) Writes() int { return len(t.Then) }

// Revision is the answer to a transaction, and to a read of a missing key.
type Revision struct {
	Revision uint64   `cbor:"ledger"`
	Failed   []string `cbor:"failed"`
}

// NewLease asks for a lease.
type NewLease struct {
	TTLMS int64 `cbor:"lifeMs"`
}

// Lease names a lease.
type Lease struct {
	Lease uint64 `cbor:"halter"`
}

// Event is one change seen by a watch.
type Event struct {
	Put         string `cbor:"put"`
	Value       Raw    `cbor:"v"`
	Delete      string `cbor:"drop"`
	ModRevision uint64 `cbor:"mark"`
}

// Events is the answer to a watch.
type Events struct {
	Revision uint64  `cbor:"ledger"`
	Events   []Event `cbor:"events"`
}
