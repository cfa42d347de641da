package controller

import (
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// machineRecordSet is one record that holds several machines: a write for each machine would use
// up the write limit of the state service at the start of a large deployment. A machine is in
// one record set at a time. A transaction that moves it removes it from one record set and adds it
// to another. Rewriting a record set raises the fencing token of all machines in it, which is
// harmless: workers accept a higher token at any time.
type machineRecordSet struct {
	key           string
	shard         int
	modRevision   uint64
	machines      []*machine
	writeInFlight bool // a write by this node is not answered yet
	nextWriteAt   micros.Micros
}

// machineRecords holds the record sets of all shards.
type machineRecords struct {
	sets         map[string]*machineRecordSet // by key
	nameSequence uint64                       // number of the last name that newName returned
	// removed holds the machines that have left a record set and may be in another by now;
	// see dropMachinesWithoutRecordSet.
	removed     []*machine
	nextSplitAt micros.Micros // when the next record set may be split
}

// drop removes a record set whose key was deleted.
func (r *machineRecords) drop(set *machineRecordSet) {
	delete(r.sets, set.key)
	r.removed = append(r.removed, set.machines...)
	set.machines = nil
}

// collectRemoved adds to removed the machines that a record set held before and does not hold any
// more.
func (r *machineRecords) collectRemoved(set *machineRecordSet, before []*machine) {
	for _, m := range before {
		if m.recordSet == set && !slices.Contains(set.machines, m) {
			r.removed = append(r.removed, m)
		}
	}
}

// takeRemoved returns and clears the machines that have left a record set since the last call.
func (r *machineRecords) takeRemoved() []*machine {
	removed := r.removed
	r.removed = nil
	return removed
}

// Bounds on the size of a record set.
const (
	// maxRecordSetMachines is the largest number of machines in a record set. One write raises
	// the fencing token of all of them, and each then sends an additional heartbeat.
	maxRecordSetMachines = 50
	// recordSetOverheadBytes is the space reserved in a record set for everything but the
	// machines' entries.
	recordSetOverheadBytes = 600
	// machineRecordBytes is the largest size of a machine's entry.
	machineRecordBytes = 60
)

// recordSetLimit returns how many machines a record set may hold: at least one.
func (sc *stepContext) recordSetLimit() int {
	fitting := (sc.cfg.ValueBytes - recordSetOverheadBytes) / machineRecordBytes
	return max(1, min(maxRecordSetMachines, fitting))
}

// overRecordLimit reports whether a record set holds more machines than the limit, because it was
// written under larger limits. Such a record set can be read, but must be split to be rewritten.
func (sc *stepContext) overRecordLimit(set *machineRecordSet) bool {
	return len(set.machines) > sc.recordSetLimit()
}

// The prefix of a record set's name says how the record set was created. The name also holds the
// modification revision of the lock under which it was written, and a counter, so that no name is
// used twice.
const (
	recordSetRegistered = "h" // the machines had no record and sent a heartbeat
	recordSetListed     = "l" // the machines had no record and were in the cloud's list
	recordSetMoved      = "m" // the machines came from another record set
)

// isCreation reports whether a record set with this name was created for machines that were on no
// record before.
func isCreation(name string) bool {
	return strings.HasPrefix(name, recordSetRegistered) || strings.HasPrefix(name, recordSetListed)
}

// newName returns a name that no record set has had. origin is one of the prefixes above.
func (r *machineRecords) newName(origin string, ownerEpoch uint64) string {
	r.nameSequence++
	return fmt.Sprintf("%s-%d-%d", origin, ownerEpoch, r.nameSequence)
}

// deletable reports whether an empty record set may be deleted: a late copy of the write that
// created it must not be applicable any more. That holds once the leader's key under which the
// write was sent has changed. Until then the empty record set stays, because a late copy would
// record machines again that are gone or that another shard uses (TestRepeatedWrites).
// The write that created a record set of moved machines also changed other record sets, on
// condition of their revisions, so that it can't be applied twice.
func (c *Controller) deletable(set *machineRecordSet) bool {
	_, name, ok := wire.ParseMachineRecordSetKey(set.key)
	if !ok {
		return false
	}
	createdByThisLeader := isCreation(name) && strings.HasPrefix(name[1:], fmt.Sprintf("-%d-", c.ownership.leader.ownerEpoch))
	return !createdByThisLeader
}

// recordSetOf returns the record of the machines in list. Those that omit selects are left out,
// and those that cordon selects are marked as cordoned. A nil function selects none.
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

// kindIndex returns the index of a kind in a record. It adds the kind if the record lacks it.
func kindIndex(rec *wire.MachineRecordSet, kind fleet.Kind) int {
	wanted := wire.MachineKind{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot}
	i := slices.Index(rec.Kinds, wanted)
	if i < 0 {
		i = len(rec.Kinds)
		rec.Kinds = append(rec.Kinds, wanted)
	}
	return i
}
