package wire

import (
	"strconv"
	"strings"
)

// Keys of the state service.
const (
	PrefixControl    = "ctl/"
	PrefixOwner      = "ctl/owner/"
	KeyLeader        = "ctl/leader"
	KeyTypes         = "ctl/types"
	PrefixFleet      = "ctl/fleet/"
	PrefixJob        = "job/"
	PrefixCheckpoint = "version/"
	PrefixQuota      = "quota/"
)

// OwnerRecord says which node holds a shard, or the leader's lock. Incarnation
// is the lease that the key hangs on, new with every process.
type OwnerRecord struct {
	Label       string `cbor:"label"`
	Incarnation uint64 `cbor:"inc"`
}

// MachineRecordSet is a set of machines recorded together, with the shard that its
// key names. Machines that differ in nothing but their name shard a kind.
type MachineRecordSet struct {
	Kinds    []MachineKind   `cbor:"kinds"`
	Machines []MachineRecord `cbor:"machines"`
}

// MachineKind is what many machines have in common.
type MachineKind struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Zone string
	Spot bool
}

// MachineRecord is a machine of a record set. The address may be missing until it is
// known; a retiring machine takes no more tasks and is to be returned.
type MachineRecord struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Addr     string
	Kind     int
	Cordoned bool
}

// JobRecord is an accepted job. A finished one keeps only what users may still
// ask for. The submission of a job with dependencies stands in a field of its own:
// a version that does not know of dependencies then takes the record for one without
// a usable submission, answers that the job is pending, and starts nothing.
type JobRecord struct {
	Submission       *Submission `cbor:"sub,omitempty"`
	WithDependencies *Submission `cbor:"chain,omitempty"`
	AcceptedMS       int64       `cbor:"at"` // time of day
	State            string      `cbor:"state"`
	Tasks            int         `cbor:"tasks"`
	// EndMS is when the job ended, by the time of day of its owner: what waited for it
	// counts from then on, at any owner. 0: not told.
	EndMS int64 `cbor:"end,omitempty"`
}

// NewJobRecord is the record of a job that is being accepted.
func NewJobRecord(s *Submission, acceptedMS int64) JobRecord {
	r := JobRecord{AcceptedMS: acceptedMS, State: StatePending, Tasks: s.Tasks}
	if len(s.DependsOn) > 0 {
		r.WithDependencies = s
	} else {
		r.Submission = s
	}
	return r
}

// Job is the submission of an unfinished job; nil if the record holds none.
func (r JobRecord) Job() *Submission {
	if r.WithDependencies != nil {
		return r.WithDependencies
	}
	return r.Submission
}

// Final tells whether the job is over.
func (r JobRecord) Final() bool { return r.State == StateDone || r.State == StateCancelled }

// Step is a finished task in a checkpoint: where it ran, and when by the time of
// day of the node that saw it.
type Step struct {
	Task    int    `cbor:"t"`
	Machine string `cbor:"m"`
	StartMS int64  `cbor:"s"`
	EndMS   int64  `cbor:"e"`
}

// CheckpointRecord names a state of a job to restart from: the done tasks as
// ranges [first, last, first, last, ...] or, where that is shorter, as a set of
// 64-bit words, and a count, the latest steps, and a mark for each recovery that
// preceded it.
type CheckpointRecord struct {
	Ranges     []int    `cbor:"done"`
	Set        []uint64 `cbor:"set,omitempty"`
	Count      int      `cbor:"count"`
	Steps      []Step   `cbor:"steps,omitempty"`
	Recoveries []int64  `cbor:"re,omitempty"`
}

// JobKey is where a job's record stands.
func JobKey(id string) string { return PrefixJob + id }

// CheckpointKey is where a job's newest checkpoint stands.
func CheckpointKey(id string) string { return PrefixCheckpoint + id }

// QuotaKey is where a group's record stands.
func QuotaKey(group string) string { return PrefixQuota + group }

// MachineRecordSetKey is where a record set of a shard's machines stands.
func MachineRecordSetKey(shard int, name string) string {
	return PrefixFleet + strconv.Itoa(shard) + "/" + name
}

// ParseMachineRecordSetKey gives the shard and the name of a record set.
func ParseMachineRecordSetKey(key string) (shard int, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, PrefixFleet)
	if !ok {
		return 0, "", false
	}
	num, name, ok := strings.Cut(rest, "/")
	shard, err := strconv.Atoi(num)
	return shard, name, ok && err == nil && shard >= 0 && name != ""
}

// UsableKey tells whether the state service takes a key.
func UsableKey(key string) bool {
	return len(key) >= 1 && len(key) <= 200 && !strings.ContainsAny(key, " ?#%\r\n\t")
}
