package wire

import (
	"strconv"
	"strings"
)

// Keys and prefixes of keys in the state service.
const (
	PrefixControl    = "ctl/"
	PrefixOwner      = "ctl/owner/"
	KeyLeader        = "ctl/leader"
	KeyMachineTypes  = "ctl/types"
	PrefixFleet      = "ctl/fleet/"
	PrefixJob        = "job/"
	PrefixCheckpoint = "version/"
	PrefixQuota      = "quota/"
)

// OwnerRecord is the value of a lock: which controller holds a shard, or is the leader.
type OwnerRecord struct {
	Label       string `cbor:"label"`
	Incarnation uint64 `cbor:"inc"` // the lease that the key is attached to, new with every process
}

// MachineRecordSet is a set of machines recorded together, under a key that names their
// shard.
type MachineRecordSet struct {
	Kinds    []MachineKind   `cbor:"kinds"`
	Machines []MachineRecord `cbor:"machines"`
}

// MachineKind is what machines have in common.
type MachineKind struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Zone string
	Spot bool
}

// MachineRecord is a machine of a record set.
type MachineRecord struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Addr     string // empty until it is known
	Kind     int    // index into the set's Kinds
	Cordoned bool   // no task may start on it, and it is to be returned
}

// JobRecord is an accepted job. The record of one that is over keeps only what users may
// still ask for. The submission of a job with dependencies is in a field of its own: a
// version that does not know of dependencies then takes the record for one without a usable
// submission, answers that the job is pending, and starts nothing.
type JobRecord struct {
	Submission       *Submission `cbor:"sub,omitempty"`
	WithDependencies *Submission `cbor:"chain,omitempty"`
	AcceptedMS       int64       `cbor:"at"` // time of day
	State            JobState    `cbor:"state"`
	Tasks            int         `cbor:"tasks"`
	// EndMS is when the job ended, by the time of day of its owner: the waiting time of
	// dependent jobs counts from then on, at any owner. 0: unknown.
	EndMS int64 `cbor:"end,omitempty"`
}

// NewJobRecord returns the record of a job that is being accepted.
func NewJobRecord(s *Submission, acceptedMS int64) JobRecord {
	r := JobRecord{AcceptedMS: acceptedMS, State: StatePending, Tasks: s.Tasks}
	if len(s.DependsOn) > 0 {
		r.WithDependencies = s
	} else {
		r.Submission = s
	}
	return r
}

// Job returns the submission of an unfinished job; nil if the record holds none.
func (r JobRecord) Job() *Submission {
	if r.WithDependencies != nil {
		return r.WithDependencies
	}
	return r.Submission
}

// Final reports whether the job is over.
func (r JobRecord) Final() bool { return r.State.Final() }

// FinishedTask is a finished task in a checkpoint: where it ran, and when, by the time of day of the
// controller that saw it.
type FinishedTask struct {
	Task    int    `cbor:"t"`
	Machine string `cbor:"m"`
	StartMS int64  `cbor:"s"`
	EndMS   int64  `cbor:"e"`
}

// CheckpointRecord is a state of a job to restart from, a Version of the paper ("Survivor").
// The tasks that are done are in Ranges or, where that is shorter, in Set.
type CheckpointRecord struct {
	DoneRanges    []int          `cbor:"done"`            // [first, last, first, last, ...]
	DoneBitmap    []uint64       `cbor:"set,omitempty"`   // a bit for each task
	DoneCount     int            `cbor:"count"`           // of tasks that are done
	FinishedTasks []FinishedTask `cbor:"steps,omitempty"` // the latest ones
	RecoveriesMS  []int64        `cbor:"re,omitempty"`    // times of day in ms of the latest recoveries
}

// JobKey returns the key of a job's record.
func JobKey(id string) string { return PrefixJob + id }

// CheckpointKey returns the key of a job's newest checkpoint.
func CheckpointKey(id string) string { return PrefixCheckpoint + id }

// QuotaKey returns the key of the quota record of a group of teams.
func QuotaKey(group string) string { return PrefixQuota + group }

// MachineRecordSetKey returns the key of a record set of a shard's machines.
func MachineRecordSetKey(shard int, name string) string {
	return PrefixFleet + strconv.Itoa(shard) + "/" + name
}

// ParseMachineRecordSetKey returns the shard and the name that a record set's key holds.
func ParseMachineRecordSetKey(key string) (shard int, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, PrefixFleet)
	if !ok {
		return 0, "", false
	}
	digits, name, ok := strings.Cut(rest, "/")
	shard, err := strconv.Atoi(digits)
	return shard, name, ok && err == nil && shard >= 0 && name != ""
}

// maxKeyBytes is the longest key in bytes (protocol: "Controller nodes -> state service").
const maxKeyBytes = 200

// ValidKey reports whether the state service takes a key, and a path can hold it unescaped.
func ValidKey(key string) bool {
	return key != "" && len(key) <= maxKeyBytes && !strings.ContainsAny(key, " ?#%\r\n\t")
}
