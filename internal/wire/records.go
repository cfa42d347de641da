package wire

import "strings"

// Keys of the state service.
const (
	PrefixControl = "ctl/"
	PrefixOwner   = "ctl/owner/"
	KeyLeader     = "ctl/leader"
	KeyTypes      = "ctl/types"
	PrefixMachine = "ctl/machine/"
	PrefixJob     = "job/"
	PrefixVersion = "version/"
)

// OwnerRecord says which node holds a share, or the leader's duty. Incarnation
// is the lease that the key hangs on, new with every process.
type OwnerRecord struct {
	Label       string `cbor:"label"`
	Incarnation uint64 `cbor:"inc"`
}

// MachineRecord says which share a machine belongs to.
type MachineRecord struct {
	Share    int    `cbor:"share"`
	Retiring bool   `cbor:"retiring,omitempty"`
	Addr     string `cbor:"addr"`
	Type     string `cbor:"type"`
	Zone     string `cbor:"zone"`
	Spot     bool   `cbor:"spot"`
}

// JobRecord is an accepted job. A finished one keeps only what users may still
// ask for.
type JobRecord struct {
	Submission *Submission `cbor:"sub,omitempty"`
	AcceptedMS int64       `cbor:"at"` // time of day
	State      string      `cbor:"state"`
	Tasks      int         `cbor:"tasks"`
}

// Final tells whether the job is over.
func (r JobRecord) Final() bool { return r.State == StateDone || r.State == StateCancelled }

// Step is a finished task in a Version: where it ran, and when by the time of
// day of the node that saw it.
type Step struct {
	Task    int    `cbor:"t"`
	Machine string `cbor:"m"`
	StartMS int64  `cbor:"s"`
	EndMS   int64  `cbor:"e"`
}

// VersionRecord names a state of a job to restart from: the done tasks as
// ranges [first, last, first, last, ...] and a count, the latest steps, and a
// mark for each recovery that preceded it.
type VersionRecord struct {
	Ranges     []int   `cbor:"done"`
	Count      int     `cbor:"count"`
	Steps      []Step  `cbor:"steps,omitempty"`
	Recoveries []int64 `cbor:"re,omitempty"`
}

// JobKey is where a job's record stands.
func JobKey(id string) string { return PrefixJob + id }

// VersionKey is where a job's newest Version stands.
func VersionKey(id string) string { return PrefixVersion + id }

// MachineKey is where a machine's record stands.
func MachineKey(id string) string { return PrefixMachine + id }

// UsableKey tells whether the state service takes a key.
func UsableKey(key string) bool {
	return len(key) >= 1 && len(key) <= 200 && !strings.ContainsAny(key, " ?#%\r\n\t")
}
