// Package peer holds the messages between controllers, in msgpack. Each is the
// body of one POST on the internal address; the answer is the response body.
package peer

import (
	"bytes"
	"fmt"

	"garnethitch/quota"

	"github.com/vmihailenco/msgpack/v5"
)

// Path is where a controller takes a Request, at its internal address.
const Path = "/peer"

// ContentType is the media type of every message in this package.
const ContentType = "application/msgpack"

// MaxMessage is the most that a controller takes as one message, in bytes. What grows
// with the fleet, the rows of Demand above all, is bounded so that it fits.
const MaxMessage = 1 << 20

// Request is one message to another controller. Exactly one part is set
// beside From.
type Request struct {
	From          string         `msgpack:"f"`
	Status        *Status        `msgpack:"s,omitempty"`
	Ask           *Ask           `msgpack:"a,omitempty"`
	JobRecordHint *JobRecordHint `msgpack:"h,omitempty"`
	Release       *Release       `msgpack:"r,omitempty"`
	// Quota is asked by the command line, whose From is empty.
	Quota *QuotaRequest `msgpack:"q,omitempty"`
}

// Response answers a Request.
type Response struct {
	From   string         `msgpack:"f"`
	Status *StatusAck     `msgpack:"s,omitempty"`
	Answer *Answer        `msgpack:"a,omitempty"`
	OK     bool           `msgpack:"o,omitempty"`
	Quota  *QuotaResponse `msgpack:"q,omitempty"`
}

// QuotaRequest asks how the groups stand, or, with Set, sets a limit by hand.
type QuotaRequest struct {
	Set *SetLimit `msgpack:"s,omitempty"`
}

// SetLimit sets a group's limit by hand, or clears what was set.
type SetLimit struct {
	Group string      `msgpack:"g"`
	Limit quota.Limit `msgpack:"l"`
	Clear bool        `msgpack:"c,omitempty"`
}

// QuotaResponse answers a QuotaRequest. Problem says why it was not done.
type QuotaResponse struct {
	Problem string              `msgpack:"p,omitempty"`
	Epoch   uint64              `msgpack:"e,omitempty"`
	Groups  []quota.GroupStatus `msgpack:"g,omitempty"`
	// Without are controllers that do not keep groups: limits do not bind them.
	Without []string `msgpack:"w,omitempty"`
}

// About is what two controllers tell each other in a Status and in its answer.
type About struct {
	UptimeUS       int64        `msgpack:"u"`
	StateOK        bool         `msgpack:"k"`           // the state service answered it of late
	WithoutWorkers bool         `msgpack:"e,omitempty"` // it does not hear the workers
	Quota          bool         `msgpack:"y,omitempty"` // it keeps groups of teams
	Claims         []ShardClaim `msgpack:"o,omitempty"`
	// MisdirectedMachines are machines of the other node's shards that tried this one of late.
	MisdirectedMachines []string `msgpack:"h,omitempty"`
}

// Status is what a controller tells the others about itself, regularly and
// after it has taken a shard.
type Status struct {
	About  `msgpack:",inline"`
	Demand []Demand `msgpack:"d,omitempty"`
	// ReturnedMachines are machines whose return the cloud has confirmed to the sender.
	ReturnedMachines []string `msgpack:"g,omitempty"`
	// Cancelled are jobs that the sender knows, by their record, to be cancelled.
	Cancelled []string `msgpack:"x,omitempty"`
	// Record are jobs of the sender's shards that need a cancelled one, which it wants
	// the receiver to record as cancelled. A version that does not know the field
	// records none, and the sender records them by itself.
	Record []string `msgpack:"r,omitempty"`
	// Traces are contexts of work on groups' quota that goes on, for controllers that
	// have shown that they keep groups.
	Traces []TraceContext `msgpack:"t,omitempty"`
}

// TraceContext names the span that others' work belongs under. Shard -1: a limit was
// announced; else that shard asks for more.
type TraceContext struct {
	Group   string `msgpack:"g"`
	Shard   int    `msgpack:"s"`
	Trace   []byte `msgpack:"t"`
	Span    []byte `msgpack:"p"`
	BeganUS int64  `msgpack:"b"`
}

// StatusAck answers a Status. Quiet lists the shards of the Status for which
// the answering node gives no commands and will give none.
type StatusAck struct {
	About          `msgpack:",inline"`
	QuiescedShards []int `msgpack:"q,omitempty"`
}

// ShardClaim names a shard and the mark of its owner key.
type ShardClaim struct {
	Shard      int    `msgpack:"s"`
	OwnerEpoch uint64 `msgpack:"m"`
}

// Demand is what a shard wants of the fleet.
type Demand struct {
	Shard int `msgpack:"s"`
	// Groups are the tasks that wait, alike ones together.
	Groups []Group `msgpack:"g,omitempty"`
	// CPUs are all CPUs of the shard's usable machines, Busy those in use.
	CPUs float64 `msgpack:"c"`
	Busy float64 `msgpack:"b"`
	// Booting are the CPUs of machines that have not reported yet.
	Booting float64 `msgpack:"o,omitempty"`
	// All counts the shard's machines on record, Silent and Doubt those in these
	// states: the rows of Machines are bounded.
	All          int `msgpack:"l,omitempty"`
	Silent       int `msgpack:"k,omitempty"`
	Unreconciled int `msgpack:"q,omitempty"`
	// BlockedUS is for how long machines in doubt will hold up older jobs yet, if
	// nothing is heard of them.
	BlockedUS int64  `msgpack:"h,omitempty"`
	Zones     []Zone `msgpack:"z,omitempty"`
	// RunLeftUS is the work left in running tasks, in CPU microseconds.
	RunLeftUS int64 `msgpack:"w"`
	// Guarantee is what its unfinished jobs within their team's guarantee can use.
	Guarantee float64 `msgpack:"u"`
	// ArrivalCPUs is the work that came in of late, in CPUs kept busy.
	ArrivalCPUs float64   `msgpack:"n"`
	Machines    []Machine `msgpack:"m,omitempty"`
}

// Zone counts a shard's machines in one zone: all that have been up, and those
// that are not heard (any more).
type Zone struct {
	Name   string `msgpack:"n"`
	All    int    `msgpack:"a"`
	Silent int    `msgpack:"s,omitempty"`
}

// Group is a set of waiting tasks that the same machines could run.
type Group struct {
	Types    []string `msgpack:"t,omitempty"`
	Any      bool     `msgpack:"a,omitempty"`
	Zone     string   `msgpack:"z,omitempty"`
	Spot     bool     `msgpack:"s,omitempty"`
	CPUs     float64  `msgpack:"c"`
	GPUs     float64  `msgpack:"g,omitempty"`
	MemGB    float64  `msgpack:"m"`
	Waiting  int      `msgpack:"w"`
	WorkUS   int64    `msgpack:"u"` // sum of estimated run times
	Priority int      `msgpack:"p"`
}

// Machine states that an owner reports to the leader.
const (
	MachineIdle         = 1 // nothing on it
	MachineSilent       = 2 // not heard of for a while
	MachineUnhealthy    = 3 // to be replaced: it fails or slows tasks, or is being taken away
	MachineBusy         = 4
	MachineDraining     = 5 // it takes no more tasks and leaves once it is empty
	MachineBooting      = 6 // rented, and has not reported yet
	MachineUnreconciled = 7 // on record at a failover and not settled yet: others' tasks wait for it
)

// Machine is one machine of a shard that the leader should know about.
type Machine struct {
	ID      string `msgpack:"i"`
	State   int    `msgpack:"s"`
	SinceUS int64  `msgpack:"t"` // for how long
	// LeftUS is how long its tasks will probably take yet.
	LeftUS int64 `msgpack:"l,omitempty"`
	// Busy are the CPUs in use. Movable tells that its tasks may go on elsewhere:
	// each can save, or starts anew without a promise being broken by that; LostUS
	// is the work, in CPU microseconds, that would be done again.
	Busy    float64 `msgpack:"b,omitempty"`
	Movable bool    `msgpack:"v,omitempty"`
	LostUS  int64   `msgpack:"x,omitempty"`
}

// Ask asks the owner about a job, or to cancel it.
type Ask struct {
	ID     string `msgpack:"i"`
	Cancel bool   `msgpack:"c,omitempty"`
}

// Answer is the owner's answer; Status is as for users, 503 when it can't say.
type Answer struct {
	Status  int    `msgpack:"s"`
	State   string `msgpack:"t"`
	Done    int    `msgpack:"d,omitempty"`
	Running int    `msgpack:"r,omitempty"`
}

// JobRecordHint tells the owner of a job that was just accepted.
type JobRecordHint struct {
	ID          string `msgpack:"i"`
	ModRevision uint64 `msgpack:"m"`
	Record      []byte `msgpack:"r"` // the record as stored
}

// Release asks an owner to let machines go: to another shard, or for good. One
// that is not idle is let go only if Drain is set, once it is empty; until then
// it takes no more tasks, as long as the leader goes on asking.
type Release struct {
	Machines []string `msgpack:"m"`
	Retire   bool     `msgpack:"r,omitempty"`
	Drain    bool     `msgpack:"d,omitempty"`
	Save     bool     `msgpack:"v,omitempty"` // with Drain: stop tasks that can save
	Shard    int      `msgpack:"s"`
}

// Encode gives the msgpack form.
func Encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("peer: encode %T: %w", v, err)
	}
	return b, nil
}

// Decode reads a message; anything malformed is an error, never a panic.
func Decode(b []byte, v any) error {
	d := msgpack.NewDecoder(bytes.NewReader(b))
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("peer: decode %T: %w", v, err)
	}
	return nil
}
