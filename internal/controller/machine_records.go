package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/wire"
)

// applyMachineRecordSet updates the machines of a record set from its value at a revision. It
// ignores a value that is not newer than the one that this node has.
func (c *Controller) applyMachineRecordSet(key string, rec wire.MachineRecordSet, modRevision uint64) {
	shardID, name, ok := wire.ParseMachineRecordSetKey(key)
	if !ok || shardID >= len(c.ownership.shards) {
		return
	}
	set := c.machineRecords.sets[key]
	created := set == nil
	if created {
		set = &machineRecordSet{key: key, shard: shardID}
		c.machineRecords.sets[key] = set
	} else if modRevision <= set.modRevision {
		return
	}
	set.modRevision = modRevision
	s := c.ownership.shards[shardID]
	// A node commands only machines on record. So no other node can have commanded a machine that
	// was first recorded after this node's claim and did not come from another shard.
	neverCommanded := created && isCreation(name) && modRevision > s.ownerEpoch
	before := set.machines
	set.machines = make([]*machine, 0, len(rec.Machines))
	for _, entry := range rec.Machines {
		if entry.Kind < 0 || entry.Kind >= len(rec.Kinds) {
			continue
		}
		m := c.applyMachineRecord(set, rec.Kinds[entry.Kind], entry)
		if m == nil {
			continue
		}
		set.machines = append(set.machines, m)
		c.updateView(s, m, neverCommanded)
	}
	c.machineRecords.collectRemoved(set, before)
	c.schedulingDue = true
}

// applyMachineRecord updates one machine from its entry in a record set, and returns it. It
// returns nil if the machine has since moved to another record set.
func (c *Controller) applyMachineRecord(set *machineRecordSet, kind wire.MachineKind, entry wire.MachineRecord) *machine {
	m := c.machines[entry.ID]
	switch {
	case m == nil:
		m = &machine{id: entry.ID, recordSet: set}
		c.machines[entry.ID] = m
		m.updateFromRecord(set.shard, kind, entry)
		c.ownership.addToShard(m)
	case m.recordSet == set:
		m.updateFromRecord(set.shard, kind, entry)
		if m.view != nil {
			// The record set was rewritten, by this node or another. A move of the machine
			// that is conditional on the former revision can't be applied any more.
			m.view.releasing = false
		}
	case m.recordSet.modRevision > set.modRevision:
		return nil
	default:
		c.moveToRecordSet(m, set, kind, entry)
	}
	return m
}

// moveToRecordSet moves a machine from its present record set to another. If both belong to the
// same shard, the former was split: the machine keeps its view and its attempts, under a higher
// fencing token. If the shards differ, the view ends; only idle machines move between shards.
func (c *Controller) moveToRecordSet(m *machine, set *machineRecordSet, kind wire.MachineKind, entry wire.MachineRecord) {
	from := m.recordSet
	from.machines = slices.DeleteFunc(from.machines, func(other *machine) bool { return other == m })
	changesShard := m.rec.Shard != set.shard
	if changesShard {
		if m.view != nil && !m.view.empty() {
			c.log(Error, "machine moved with tasks on it", "machine", m.id, "attempts", len(m.view.attemptList))
		}
		c.removeFromShard(m)
	}
	m.recordSet = set
	m.updateFromRecord(set.shard, kind, entry)
	if changesShard {
		c.ownership.addToShard(m)
	}
}

// updateView drops the view of a machine that is cordoned, and creates one for a machine that has
// come to a shard of this node.
func (c *Controller) updateView(s *shard, m *machine, neverCommanded bool) {
	if m.rec.Cordoned {
		if m.view != nil {
			c.ownership.setView(m, nil)
		}
		return
	}
	if !s.owned() || m.view != nil {
		return
	}
	c.ownership.setView(m, c.newMachineView())
	if neverCommanded {
		m.view.reconciled = true
		m.view.neverCommanded = true
		return
	}
	c.reconcileMachine(s, m)
}

// dropMachinesWithoutRecordSet drops the machines that are in no record set any more. It is
// called once all changes of a transaction have been applied: a machine that left one record set
// may have been added to another, and the two changes arrive in any order.
func (c *Controller) dropMachinesWithoutRecordSet() {
	for _, m := range c.machineRecords.takeRemoved() {
		if c.machines[m.id] == m && !slices.Contains(m.recordSet.machines, m) {
			c.dropMachine(m)
		}
	}
}

// updateFromRecord sets the attributes of a machine from its entry in a record set. A known
// address stays if the entry has none.
func (m *machine) updateFromRecord(shard int, kind wire.MachineKind, entry wire.MachineRecord) {
	m.rec.Shard = shard
	m.rec.Cordoned = entry.Cordoned
	m.rec.Type = kind.Type
	m.rec.Zone = kind.Zone
	m.rec.Spot = kind.Spot
	if entry.Addr != "" {
		m.rec.Addr = entry.Addr
	}
}

// addToShard adds a machine to its shard's list, which is sorted by ID.
func (o *ownershipState) addToShard(m *machine) {
	s := o.shards[m.rec.Shard]
	i, _ := slices.BinarySearchFunc(s.machines, m.id, compareMachineID)
	s.machines = slices.Insert(s.machines, i, m)
}

// removeFromShard removes a machine from its shard's list and drops its view.
func (c *Controller) removeFromShard(m *machine) {
	c.ownership.setView(m, nil)
	s := c.ownership.shards[m.rec.Shard]
	if i, ok := slices.BinarySearchFunc(s.machines, m.id, compareMachineID); ok {
		s.machines = slices.Delete(s.machines, i, i+1)
	}
}

// compareMachineID compares a machine's ID with id, for a binary search.
func compareMachineID(m *machine, id string) int { return cmp.Compare(m.id, id) }

// dropMachine removes a machine that is off the record, with all attempts on it.
func (c *Controller) dropMachine(m *machine) {
	if m.view != nil {
		c.freeAllAttempts(m, "machine gone", true)
	}
	c.removeFromShard(m)
	delete(c.machines, m.id)
	c.schedulingDue = true
}
