package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/wire"
)

// applyMachineRecordSet takes a record set as it stands at a revision.
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
	// A machine that came to the record after this node's claim, and not from another shard,
	// can't have been commanded by another node: a record is needed for that.
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

// applyMachineRecord takes one machine of a record set. It returns nil if the machine has
// moved to another record set since.
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
			// A move of it under the former revision can't be applied any more, whoever
			// has rewritten the record set.
			m.view.releasing = false
		}
	case m.recordSet.modRevision > set.modRevision:
		return nil
	default:
		c.moveToRecordSet(m, set, kind, entry)
	}
	return m
}

// moveToRecordSet takes a machine that comes from another record set: one of its own shard
// that was split, so that it stays where it is, with what is on it, under a higher fencing
// token; or of another shard. Then it was idle, or it would not have moved.
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

// updateView ends what is known of a machine that is cordoned, and begins it for one that has
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

// dropMachinesWithoutRecordSet drops the machines that stand in no record set any more, once
// all that one transaction changed is known: what left one record set may have come into
// another, in whatever order the changes arrive.
func (c *Controller) dropMachinesWithoutRecordSet() {
	for _, m := range c.machineRecords.takeRemoved() {
		if c.machines[m.id] == m && !slices.Contains(m.recordSet.machines, m) {
			c.dropMachine(m)
		}
	}
}

// updateFromRecord takes what a record says of a machine.
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

// addToShard puts a machine into its shard's list, which is in order of name.
func (o *ownershipState) addToShard(m *machine) {
	s := o.shards[m.rec.Shard]
	i, _ := slices.BinarySearchFunc(s.machines, m.id, compareMachineID)
	s.machines = slices.Insert(s.machines, i, m)
}

// removeFromShard takes a machine out of its shard, and drops what is known of it there.
func (c *Controller) removeFromShard(m *machine) {
	c.ownership.setView(m, nil)
	s := c.ownership.shards[m.rec.Shard]
	if i, ok := slices.BinarySearchFunc(s.machines, m.id, compareMachineID); ok {
		s.machines = slices.Delete(s.machines, i, i+1)
	}
}

// compareMachineID compares a machine with a name, for a binary search.
func compareMachineID(m *machine, id string) int { return cmp.Compare(m.id, id) }

// dropMachine removes a machine that is gone, and all on it.
func (c *Controller) dropMachine(m *machine) {
	if m.view != nil {
		c.freeAll(m, "machine gone", true)
	}
	c.removeFromShard(m)
	delete(c.machines, m.id)
	c.schedulingDue = true
}
