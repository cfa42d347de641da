package controller

import (
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// machineRecordSet is one record of several machines: a write for each machine would use up the
// write limit of the state service at the start of a large deployment. A machine stands in one
// record set at a time. Moving it drops it from one and adds it to another in one transaction.
// Rewriting a record set raises the fencing token of all in it, which is harmless: workers take a
// higher one at any time.
type machineRecordSet struct {
	key           string
	shard         int
	modRevision   uint64
	machines      []*machine
	writeInFlight bool // a write by this node is under way or in doubt
	nextWriteAt   micros.Micros
}

// machineRecords are the record sets of all shards.
type machineRecords struct {
	sets         map[string]*machineRecordSet // by key
	nameSequence uint64                       // of the names that this node has given
	// removed are machines that have left a record set, and may be in another; see
	// dropMachinesWithoutRecordSet.
	removed     []*machine
	nextSplitAt micros.Micros // when the next record set may be split
}

// drop removes a record set whose key was deleted.
func (r *machineRecords) drop(set *machineRecordSet) {
	delete(r.sets, set.key)
	r.removed = append(r.removed, set.machines...)
	set.machines = nil
}

// collectRemoved notes which machines a record set held before and does not hold any more.
func (r *machineRecords) collectRemoved(set *machineRecordSet, before []*machine) {
	for _, m := range before {
		if m.recordSet == set && !slices.Contains(set.machines, m) {
			r.removed = append(r.removed, m)
		}
	}
}

// takeRemoved returns the machines that were removed since it was last called.
func (r *machineRecords) takeRemoved() []*machine {
	removed := r.removed
	r.removed = nil
	return removed
}

// Bounds on the size of a record set.
const (
	// maxRecordSetMachines bounds how many fencing tokens one write raises: each such machine
	// sends one more heartbeat.
	maxRecordSetMachines = 50
	// recordSetOverheadBytes is kept for what is not a machine's entry.
	recordSetOverheadBytes = 600
	// machineRecordBytes is what a machine's entry takes at most.
	machineRecordBytes = 60
)

// recordSetLimit is how many machines fit into one record.
func (sc *stepContext) recordSetLimit() int {
	fitting := (sc.cfg.ValueBytes - recordSetOverheadBytes) / machineRecordBytes
	return max(1, min(maxRecordSetMachines, fitting))
}

// overRecordLimit reports whether a record set was written under larger limits. It is read as
// it stands; to be rewritten it must be split.
func (sc *stepContext) overRecordLimit(set *machineRecordSet) bool {
	return len(set.machines) > sc.recordSetLimit()
}

// Names of record sets say how they were created; each holds the modification revision of the
// key that entitled its writer, and a counter, so that none recurs.
const (
	recordSetRegistered = "h" // a heartbeat came, and the machine was on no record
	recordSetListed     = "l" // found in the cloud's list
	recordSetMoved      = "m" // from another record set
)

// isCreation reports whether a record set of this name held machines that were on no record
// before.
func isCreation(name string) bool {
	return strings.HasPrefix(name, recordSetRegistered) || strings.HasPrefix(name, recordSetListed)
}

// newName returns a name that no record set has had.
func (r *machineRecords) newName(origin string, ownerEpoch uint64) string {
	r.nameSequence++
	return fmt.Sprintf("%s-%d-%d", origin, ownerEpoch, r.nameSequence)
}

// deletable reports whether a repeat of the write that created the record set, however late,
// can't be applied any more: the leader's key under which it was sent is gone. Until then
// a record set that holds nothing stays, or a repeat would bring machines back to the
// record that are gone, or that are in use by another shard (TestRepeatedWrites).
// A record set of moved machines was created in one write with changes of others, and
// so never again.
func (c *Controller) deletable(set *machineRecordSet) bool {
	_, name, ok := wire.ParseMachineRecordSetKey(set.key)
	if !ok {
		return false
	}
	createdByThisLeader := isCreation(name) && strings.HasPrefix(name[1:], fmt.Sprintf("-%d-", c.ownership.leader.ownerEpoch))
	return !createdByThisLeader
}

// recordSetOf returns the record of some machines without those to skip, and with those to
// retire cordoned; nil selects none.
func recordSetOf(list []*machine, omit, cordon func(*machine) bool) wire.MachineRecordSet {
	rec := wire.MachineRecordSet{}
	for _, m := range list {
		if omit != nil && omit(m) {
			continue
		}
		rec.Machines = append(rec.Machines, wire.MachineRecord{
			ID:       m.id,
			Addr:     m.rec.Addr,
			Kind:     kindIndex(&rec, m.kind()),
			Cordoned: m.rec.Cordoned || cordon != nil && cordon(m),
		})
	}
	return rec
}

// kindIndex returns the index of a kind in a record, to which it is added if need be.
func kindIndex(rec *wire.MachineRecordSet, kind fleet.Kind) int {
	wanted := wire.MachineKind{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot}
	i := slices.Index(rec.Kinds, wanted)
	if i < 0 {
		i = len(rec.Kinds)
		rec.Kinds = append(rec.Kinds, wanted)
	}
	return i
}
