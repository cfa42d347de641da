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

// OwnerRecord is the value of a lock in the state service. It names the controller that owns a
// shard or is the leader.
type OwnerRecord struct {
	Label       string `cbor:"label"`
	Incarnation uint64 `cbor:"inc"` // ID of the lease that the key is attached to; differs for every process
}

// MachineRecordSet is a set of machines that are recorded under one key, which names their
// shard.
type MachineRecordSet struct {
	Kinds    []MachineKind   `cbor:"kinds"`
	Machines []MachineRecord `cbor:"machines"`
}

// MachineKind holds the properties that several machines of a record set share.
type MachineKind struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Zone string
	Spot bool
}

// MachineRecord describes one machine of a record set.
type MachineRecord struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Addr     string // empty if not known yet
	Kind     int    // index into MachineRecordSet.Kinds
	Cordoned bool   // no task may start on the machine, and it is to be returned to the cloud
}

// JobRecord describes an accepted job. The record of a finished or cancelled job keeps only
// what users may still ask for. The submission of a job with dependencies is stored in a
// separate field, WithDependencies. A release that does not support dependencies then finds no
// usable submission in the record, reports the job as pending, and starts none of its tasks.
type JobRecord struct {
	Submission       *Submission `cbor:"sub,omitempty"`
	WithDependencies *Submission `cbor:"chain,omitempty"`
	AcceptedMS       int64       `cbor:"at"` // Unix time in milliseconds
	State            JobState    `cbor:"state"`
	Tasks            int         `cbor:"tasks"`
	// EndMS is the Unix time in milliseconds at which the job ended, by the clock of its
	// owner. Every owner counts the waiting time of dependent jobs from then on. 0: unknown.
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

// JobSubmission returns the submission of an unfinished job, or nil if the record holds none.
func (r JobRecord) JobSubmission() *Submission {
	if r.WithDependencies != nil {
		return r.WithDependencies
	}
	return r.Submission
}

// Final reports whether the job is done or cancelled.
func (r JobRecord) Final() bool { return r.State.Final() }

// FinishedTask records where and when a finished task ran. Times are Unix times in milliseconds, by
// the clock of the controller that observed them.
type FinishedTask struct {
	Task    int    `cbor:"t"`
	Machine string `cbor:"m"`
	StartMS int64  `cbor:"s"`
	EndMS   int64  `cbor:"e"`
}

// CheckpointRecord is a checkpoint of a job: the progress from which the job is restarted. The
// paper "Survivor" calls it a Version. The tasks that are done are in DoneRanges or, if that is
// shorter, in DoneBitmap.
type CheckpointRecord struct {
	DoneRanges    []int          `cbor:"done"`            // task indexes: [first, last, first, last, ...]
	DoneBitmap    []uint64       `cbor:"set,omitempty"`   // one bit for each task
	DoneCount     int            `cbor:"count"`           // number of tasks that are done
	FinishedTasks []FinishedTask `cbor:"steps,omitempty"` // the tasks that finished most recently
	RecoveriesMS  []int64        `cbor:"re,omitempty"`    // Unix times in milliseconds of the latest recoveries
}

// JobKey returns the key of a job's record.
func JobKey(id string) string { return PrefixJob + id }

// CheckpointKey returns the key of a job's newest checkpoint.
func CheckpointKey(id string) string { return PrefixCheckpoint + id }

// QuotaKey returns the key of the quota record of a group of teams.
func QuotaKey(group string) string { return PrefixQuota + group }

// MachineRecordSetKey returns the key of a set of records of a shard's machines.
func MachineRecordSetKey(shard int, name string) string {
	return PrefixFleet + strconv.Itoa(shard) + "/" + name
}

// ParseMachineRecordSetKey is the inverse of MachineRecordSetKey. It returns false for ok if key
// is not the key of a record set.
func ParseMachineRecordSetKey(key string) (shard int, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, PrefixFleet)
	if !ok {
		return 0, "", false
	}
	digits, name, ok := strings.Cut(rest, "/")
	shard, err := strconv.Atoi(digits)
	return shard, name, ok && err == nil && shard >= 0 && name != ""
}

// maxKeyBytes is the largest length of a key (protocol: "Controller nodes -> state service").
const maxKeyBytes = 200

// ValidKey reports whether the state service accepts a key and a path can contain the key without
// escaping.
func ValidKey(key string) bool {
	return key != "" && len(key) <= maxKeyBytes && !strings.ContainsAny(key, " ?#%\r\n\t")
}
