package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// Machines are recorded in record sets: a write for each would take the whole
// budget of the state service for a minute at the start of a large deployment.
// A machine stands in one record set at a time. Moving it drops it from one and adds
// it to another in one transaction. Rewriting a record set raises the fencing token of all
// in it, which is harmless: workers take a higher one at any time.

// record set is one record of machines.
type machineRecordSet struct {
	key           string
	shard         int
	modRevision   uint64
	machines      []*machine
	writeInFlight bool // a write of ours is under way or its outcome unclear
	nextWriteAt   micros.Micros
}

// maxRecordSetMachines bounds a record set: all in it report once more when it is rewritten.
const maxRecordSetMachines = 50

// recordSetLimit is how many machines fit into one record.
func (c *Controller) recordSetLimit() int {
	return max(1, min(maxRecordSetMachines, (c.cfg.ValueBytes-600)/60))
}

// applyMachineRecordSet takes a record set's record.
func (c *Controller) applyMachineRecordSet(key string, rec wire.MachineRecordSet, modRevision uint64) {
	id, name, ok := wire.ParseMachineRecordSetKey(key)
	if !ok || id >= len(c.ownership.shards) {
		return
	}
	b := c.recordSets[key]
	created := b == nil
	if created {
		b = &machineRecordSet{key: key, shard: id}
		c.recordSets[key] = b
	} else if modRevision <= b.modRevision {
		return
	}
	b.modRevision = modRevision
	s := c.ownership.shards[id]
	old := b.machines
	b.machines = make([]*machine, 0, len(rec.Machines))
	for _, e := range rec.Machines {
		if e.Kind < 0 || e.Kind >= len(rec.Kinds) {
			continue
		}
		m := c.machines[e.ID]
		switch {
		case m == nil:
			m = &machine{id: e.ID}
			c.machines[e.ID] = m
			m.recordSet = b
			c.fillMachine(m, id, rec.Kinds[e.Kind], e)
			c.attach(m)
		case m.recordSet == b:
			c.fillMachine(m, id, rec.Kinds[e.Kind], e)
			if m.view != nil {
				// It stays, and a move of it under the former mark can't be applied any more,
				// whoever has rewritten the record set (a machine stood aside for ever after the
				// leader had, found by the simulation).
				m.view.releasing = false
			}
		case m.recordSet.modRevision > modRevision:
			continue // moved on since
		default:
			// In from another record set: one of its own shard that had grown too large for the
			// limits and was split, so that it stays where it is, with what is on it, under a
			// higher fencing token; or of another shard. Then it was idle, or it would not have moved.
			from, moved := m.recordSet, m.rec.Shard != id
			from.machines = slices.DeleteFunc(from.machines, func(o *machine) bool { return o == m })
			if moved {
				if m.view != nil && !m.view.empty() {
					c.log(Error, "machine moved with tasks on it", "machine", m.id, "attempts", len(m.view.list))
				}
				c.detach(m)
			}
			m.recordSet = b
			c.fillMachine(m, id, rec.Kinds[e.Kind], e)
			if moved {
				c.attach(m)
			}
		}
		b.machines = append(b.machines, m)
		if e.Cordoned && m.view != nil {
			c.setView(m, nil)
		}
		if s.active && m.view == nil && !m.rec.Cordoned {
			c.setView(m, c.newView())
			// A machine that came to the record after our claim, and not from another
			// shard, can't have been commanded by anybody else: a record is needed
			// for that.
			if created && isCreation(name) && modRevision > s.ownerEpoch {
				m.view.reconciled, m.view.neverCommanded = true, true
			} else {
				c.reconcileMachine(s, m)
			}
		}
	}
	for _, m := range old {
		if m.recordSet == b && !slices.Contains(b.machines, m) {
			c.withoutRecordSet = append(c.withoutRecordSet, m)
		}
	}
	c.schedulingDue = true
}

// dropMachinesWithoutRecordSet takes notice of machines that stand in no record set any more, once
// all that one transaction changed is known: what left one record set may have come into
// another, in whatever order that is told.
func (c *Controller) dropMachinesWithoutRecordSet() {
	list := c.withoutRecordSet
	c.withoutRecordSet = nil
	for _, m := range list {
		if c.machines[m.id] == m && !slices.Contains(m.recordSet.machines, m) {
			c.dropMachine(m)
		}
	}
}

// fillMachine takes what a record says of a machine.
func (c *Controller) fillMachine(m *machine, shard int, k wire.MachineKind, e wire.MachineRecord) {
	m.rec.Shard, m.rec.Cordoned = shard, e.Cordoned
	m.rec.Type, m.rec.Zone, m.rec.Spot = k.Type, k.Zone, k.Spot
	if e.Addr != "" {
		m.rec.Addr = e.Addr
	}
}

// attach puts a machine into its shard's list, which is in order of name.
func (c *Controller) attach(m *machine) {
	s := c.ownership.shards[m.rec.Shard]
	i, _ := slices.BinarySearchFunc(s.machines, m.id, byName)
	s.machines = slices.Insert(s.machines, i, m)
}

func byName(m *machine, id string) int { return cmp.Compare(m.id, id) }

// detach takes a machine out of its shard, and what is known of it there.
func (c *Controller) detach(m *machine) {
	c.setView(m, nil)
	s := c.ownership.shards[m.rec.Shard]
	if i, ok := slices.BinarySearchFunc(s.machines, m.id, byName); ok {
		s.machines = slices.Delete(s.machines, i, i+1)
	}
}

// dropMachine takes notice that a machine is gone, and all on it.
func (c *Controller) dropMachine(m *machine) {
	if m.view != nil {
		c.freeAll(m, "machine gone", true)
	}
	c.detach(m)
	delete(c.machines, m.id)
	c.schedulingDue = true
}

// dropRecordSet takes notice that a record set's record was deleted.
func (c *Controller) dropRecordSet(b *machineRecordSet) {
	delete(c.recordSets, b.key)
	c.withoutRecordSet = append(c.withoutRecordSet, b.machines...)
	b.machines = nil
}

// Names of record sets say how they came about; each holds the mark of the key that
// entitled its writer, and a counter, so that none recurs.
const (
	recordSetRegistered = "h" // reported, and on no record
	recordSetListed     = "l" // found in the cloud's list
	recordSetMoved      = "m" // from another shard
)

func isCreation(name string) bool {
	return strings.HasPrefix(name, recordSetRegistered) || strings.HasPrefix(name, recordSetListed)
}

// deletable: a repeat of the write that created the record set, however late, can't be
// applied any more: the leader's key under which it was sent is gone. Until then
// a record set that holds nothing stays, or a repeat would bring machines back to the
// record that are gone, or that are in use by another shard (TestRepeatedWrites).
// A record set of moved machines came about in one write with changes of others, and
// so never again.
func (c *Controller) deletable(b *machineRecordSet) bool {
	_, name, ok := wire.ParseMachineRecordSetKey(b.key)
	return ok && !(isCreation(name) && strings.HasPrefix(name[1:], fmt.Sprintf("-%d-", c.ownership.leader.ownerEpoch)))
}

func (c *Controller) recordSetName(origin string, ownerEpoch uint64) string {
	c.recordSetSequence++
	return fmt.Sprintf("%s-%d-%d", origin, ownerEpoch, c.recordSetSequence)
}

// recordSetOf gives a record set's record as it stands, leaving out and marking
// machines as asked.
func recordSetOf(list []*machine, skip, retire func(*machine) bool) wire.MachineRecordSet {
	rec := wire.MachineRecordSet{}
	for _, m := range list {
		if skip != nil && skip(m) {
			continue
		}
		rec.Machines = append(rec.Machines, wire.MachineRecord{ID: m.id, Addr: m.rec.Addr, Kind: kindIn(&rec, m.kind()),
			Cordoned: m.rec.Cordoned || retire != nil && retire(m)})
	}
	return rec
}

// kindIn gives the place of a kind in a record, which is made if need be.
func kindIn(rec *wire.MachineRecordSet, k kind) int {
	w := wire.MachineKind{Type: k.Type, Zone: k.Zone, Spot: k.Spot}
	i := slices.Index(rec.Kinds, w)
	if i < 0 {
		i = len(rec.Kinds)
		rec.Kinds = append(rec.Kinds, w)
	}
	return i
}

// recordSetWrite is one record set's part of a transaction.
type recordSetWrite struct {
	key       string
	recordSet *machineRecordSet // nil: a new one
	record    wire.MachineRecordSet
	deleteKey bool // no machine is left
}

// writeRecordSets writes several record sets in one transaction, under a key of ours
// with its mark. done hears whether the writes stand, and if not, whether they
// may yet be applied.
func (c *Controller) writeRecordSets(under string, ownerEpoch uint64, writes []recordSetWrite, done func(ok, inDoubt bool)) {
	txn := wire.Txn{If: []wire.Condition{{Key: under, ModRevision: ownerEpoch}}}
	for _, p := range writes {
		cond := wire.Condition{Key: p.key}
		if p.recordSet != nil {
			cond.ModRevision = p.recordSet.modRevision
			p.recordSet.writeInFlight = true
		}
		txn.If = append(txn.If, cond)
		if p.deleteKey {
			txn.Then = append(txn.Then, wire.Change{Delete: p.key})
			continue
		}
		value, err := wire.Encode(p.record)
		if err != nil || !c.storable(value) {
			c.log(Error, "machine record set not encoded", "batch", p.key, "bytes", len(value), "error", err)
			for _, q := range writes {
				if q.recordSet != nil {
					q.recordSet.writeInFlight = false
				}
			}
			done(false, false)
			return
		}
		txn.Then = append(txn.Then, wire.Change{Put: p.key, Value: value})
	}
	c.askState(statestore.ClassFleet, txn, 1500*micros.Millisecond, func(r statestore.Reply) {
		for _, p := range writes {
			if p.recordSet != nil {
				p.recordSet.writeInFlight = false
				p.recordSet.nextWriteAt = c.now + c.jitter(micros.Second)
			}
		}
		revision, ok := r.Revision()
		if !ok {
			outcome := r.Outcome()
			inDoubt := outcome != statestore.NotExecuted && outcome != statestore.ConditionFailed
			done(false, inDoubt) // if it was applied after all, the watch shows it
			return
		}
		for _, p := range writes {
			if b := c.recordSets[p.key]; p.deleteKey {
				if b != nil && b.modRevision <= revision {
					c.dropRecordSet(b)
				}
			} else {
				c.applyMachineRecordSet(p.key, p.record, revision)
			}
		}
		c.dropMachinesWithoutRecordSet()
		done(true, false)
	})
}

// raiseFencingToken rewrites a machine's record set, so that the fencing token of all in it rises above
// unanswered commands, and unanswered releases of them can't be applied any more.
func (c *Controller) raiseFencingToken(s *shard, m *machine) {
	b := m.recordSet
	if b.writeInFlight || c.now < b.nextWriteAt {
		return
	}
	if c.overRecordLimit(b) {
		c.splitRecordSet(s, b) // which raises as well
		return
	}
	c.writeRecordSets(ownerKey(s.id), s.ownerEpoch, []recordSetWrite{{key: b.key, recordSet: b, record: recordSetOf(b.machines, nil, nil)}}, func(ok, _ bool) {
		if !ok {
			return
		}
		for _, o := range b.machines {
			if o.view != nil {
				o.view.releasing = false
			}
		}
	})
}

// overRecordLimit: the record set was written by a version that kept to larger limits. As it
// stands it is read; to be rewritten it must be split.
func (c *Controller) overRecordLimit(b *machineRecordSet) bool {
	return len(b.machines) > c.recordSetLimit()
}

// splitRecordSet parts a record set of a shard of this node, of which no write is under way, into
// several, in one transaction.
func (c *Controller) splitRecordSet(s *shard, b *machineRecordSet) {
	b.nextWriteAt = c.now + 5*micros.Second // also where it can't be done
	var writes []recordSetWrite
	for chunk := range slices.Chunk(slices.Clone(b.machines), c.recordSetLimit()) {
		part := recordSetWrite{key: b.key, recordSet: b, record: recordSetOf(chunk, nil, nil)}
		if len(writes) > 0 {
			part.key, part.recordSet = wire.MachineRecordSetKey(s.id, c.recordSetName(recordSetMoved, s.ownerEpoch)), nil
		}
		writes = append(writes, part)
	}
	if len(writes) > c.cfg.TxnOps {
		c.log(Error, "machine record set can't be split in one transaction, it stays as it is", "batch", b.key, "machines", len(b.machines), "parts", len(writes))
		return
	}
	c.log(Info, "machine record set split for smaller limits", "batch", b.key, "machines", len(b.machines), "parts", len(writes))
	c.writeRecordSets(ownerKey(s.id), s.ownerEpoch, writes, func(bool, bool) {}) // the watch shows it if it was applied
}

// splitOneRecordSet splits a record set that is too large, one at a time: all in it report anew.
func (c *Controller) splitOneRecordSet(s *shard) {
	if c.now < c.nextSplitAt || !c.leaseValid() {
		return
	}
	c.nextSplitAt = c.now + 2*micros.Second
	for _, m := range s.machines {
		if b := m.recordSet; c.overRecordLimit(b) && !b.writeInFlight && c.now >= b.nextWriteAt {
			c.splitRecordSet(s, b)
			return
		}
	}
}

// releaseView is a machine's way out of its shard: releasing while a transaction that
// takes it out may be carried out, planned while it is emptied for that.
type releaseView struct {
	releasing      bool
	plannedRelease peer.Release
	plannedUntil   micros.Micros // the plan is void then, unless it is asked for again
}

// release lets machines go, at the leader's request: at once those that are
// idle, others when they are empty, if they may be drained.
func (c *Controller) release(r peer.Release) bool {
	if r.Shard < 0 || r.Shard >= len(c.ownership.shards) {
		return false
	}
	var ready []*machine
	for _, id := range r.Machines {
		m := c.machines[id]
		if m == nil || m.view == nil || m.view.releasing {
			continue
		}
		s := c.activeShard(m.rec.Shard)
		if s == nil || !r.Retire && r.Shard == s.id {
			continue
		}
		if r.Drain {
			one := r
			one.Machines, one.Drain = nil, false // or it would prolong itself
			m.view.plannedRelease, m.view.plannedUntil = one, c.now+4*micros.Second
			if r.Save {
				c.saveAll(m)
			}
		}
		if c.mayReleaseMachine(m, r.Retire) {
			ready = append(ready, m)
		}
	}
	return c.releaseMachines(ready, r)
}

// releaseMachines writes the records by which machines move or retire, as many in
// one transaction as it takes.
func (c *Controller) releaseMachines(ms []*machine, r peer.Release) bool {
	if !c.leaseValid() {
		return false
	}
	byShard := map[int][]*machine{}
	for _, m := range ms {
		byShard[m.rec.Shard] = append(byShard[m.rec.Shard], m)
	}
	went := false
	for _, s := range c.ownership.shards {
		var writes []recordSetWrite
		var released []*machine
		chosen := map[*machine]bool{}
		maxRecordSets := max(c.cfg.TxnOps-1, 1)
		flush := func() {
			if len(released) == 0 {
				return
			}
			c.sendRelease(s, writes, released, r)
			went = true
			writes, released = nil, nil
		}
		list := byShard[s.id]
		for _, m := range list {
			chosen[m] = true
		}
		seen := map[*machineRecordSet]bool{}
		for _, m := range list {
			b := m.recordSet
			if seen[b] {
				continue
			}
			seen[b] = true
			var out []*machine
			for _, o := range b.machines {
				if chosen[o] {
					out = append(out, o)
				}
			}
			if len(writes) >= maxRecordSets || len(released)+len(out) > c.recordSetLimit() && len(released) > 0 {
				flush()
			}
			pick := func(o *machine) bool { return slices.Contains(out, o) }
			part := recordSetWrite{key: b.key, recordSet: b}
			if r.Retire {
				part.record = recordSetOf(b.machines, nil, pick)
			} else {
				part.record = recordSetOf(b.machines, pick, nil)
				part.deleteKey = len(part.record.Machines) == 0 && c.deletable(b)
			}
			writes, released = append(writes, part), append(released, out...)
		}
		flush()
	}
	return went
}

// sendRelease sends one transaction of releaseMachines.
func (c *Controller) sendRelease(s *shard, writes []recordSetWrite, released []*machine, r peer.Release) {
	if !r.Retire {
		writes = append(writes, recordSetWrite{
			key:    wire.MachineRecordSetKey(r.Shard, c.recordSetName(recordSetMoved, s.ownerEpoch)),
			record: recordSetOf(released, nil, nil),
		})
	}
	views := make([]*view, len(released))
	for i, m := range released {
		views[i] = m.view
		m.view.releasing = true
	}
	c.writeRecordSets(ownerKey(s.id), s.ownerEpoch, writes, func(ok, inDoubt bool) {
		if ok {
			return
		}
		for i, m := range released {
			if m.view != views[i] || m.view == nil {
				continue
			}
			if !inDoubt {
				m.view.releasing = false
				continue
			}
			// The watch shows it if it was applied. A late copy may still come, so
			// nothing is placed here until the record has been rewritten.
			m.view.inDoubtToken = max(m.view.inDoubtToken, c.fencingToken(s, m))
		}
	})
}
