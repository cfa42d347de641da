package core

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// Machines are recorded in batches: a write for each would take the whole
// budget of the state service for a minute at the start of a large deployment.
// A machine stands in one batch at a time. Moving it drops it from one and adds
// it to another in one transaction. Rewriting a batch raises the token of all
// in it, which is harmless: workers take a higher one at any time.

// batch is one record of machines.
type batch struct {
	key   string
	share int
	mark  uint64
	list  []*machine
	busy  bool // a write of ours is under way or its outcome unclear
	next  micros.Micros
}

// maxBatch bounds a batch: all in it report once more when it is rewritten.
const maxBatch = 50

// batchLimit is how many machines fit into one record.
func (c *Core) batchLimit() int { return max(1, min(maxBatch, (c.cfg.ValueBytes-600)/60)) }

// setBatch takes a batch's record.
func (c *Core) setBatch(key string, rec wire.BatchRecord, mark uint64) {
	id, name, ok := wire.ParseBatchKey(key)
	if !ok || id >= len(c.own.shares) {
		return
	}
	b := c.batches[key]
	created := b == nil
	if created {
		b = &batch{key: key, share: id}
		c.batches[key] = b
	} else if mark <= b.mark {
		return
	}
	b.mark = mark
	s := c.own.shares[id]
	old := b.list
	b.list = make([]*machine, 0, len(rec.Machines))
	for _, e := range rec.Machines {
		if e.Kind < 0 || e.Kind >= len(rec.Kinds) {
			continue
		}
		m := c.mach[e.ID]
		switch {
		case m == nil:
			m = &machine{id: e.ID}
			c.mach[e.ID] = m
			m.batch = b
			c.fillMachine(m, id, rec.Kinds[e.Kind], e)
			c.attach(m)
		case m.batch == b:
			c.fillMachine(m, id, rec.Kinds[e.Kind], e)
			if m.v != nil {
				// It stays, and a move of it under the former mark can't be applied any more,
				// whoever has rewritten the batch (a machine stood aside for ever after the
				// leader had, found by the simulation).
				m.v.releasing = false
			}
		case m.batch.mark > mark:
			continue // moved on since
		default:
			// In from another batch: one of its own share that had grown too large for the
			// limits and was split, so that it stays where it is, with what is on it, under a
			// higher token; or of another share. Then it was idle, or it would not have moved.
			from, moved := m.batch, m.rec.Share != id
			from.list = slices.DeleteFunc(from.list, func(o *machine) bool { return o == m })
			if moved {
				if m.v != nil && !m.v.empty() {
					c.log(Error, "machine moved with tasks on it", "machine", m.id, "attempts", len(m.v.list))
				}
				c.detach(m)
			}
			m.batch = b
			c.fillMachine(m, id, rec.Kinds[e.Kind], e)
			if moved {
				c.attach(m)
			}
		}
		b.list = append(b.list, m)
		if e.Retiring && m.v != nil {
			c.setView(m, nil)
		}
		if s.active && m.v == nil && !m.rec.Retiring {
			c.setView(m, c.newView())
			// A machine that came to the record after our claim, and not from another
			// share, can't have been commanded by anybody else: a record is needed
			// for that.
			if created && isCreation(name) && mark > s.mark {
				m.v.settled, m.v.fresh = true, true
			} else {
				c.settleMachine(s, m)
			}
		}
	}
	for _, m := range old {
		if m.batch == b && !slices.Contains(b.list, m) {
			c.unlisted = append(c.unlisted, m)
		}
	}
	c.placementDue = true
}

// dropUnlistedMachines takes notice of machines that stand in no batch any more, once
// all that one transaction changed is known: what left one batch may have come into
// another, in whatever order that is told.
func (c *Core) dropUnlistedMachines() {
	list := c.unlisted
	c.unlisted = nil
	for _, m := range list {
		if c.mach[m.id] == m && !slices.Contains(m.batch.list, m) {
			c.dropMachine(m)
		}
	}
}

// fillMachine takes what a record says of a machine.
func (c *Core) fillMachine(m *machine, share int, k wire.MachineKind, e wire.BatchMachine) {
	m.rec.Share, m.rec.Retiring = share, e.Retiring
	m.rec.Type, m.rec.Zone, m.rec.Spot = k.Type, k.Zone, k.Spot
	if e.Addr != "" {
		m.rec.Addr = e.Addr
	}
}

// attach puts a machine into its share's list, which is in order of name.
func (c *Core) attach(m *machine) {
	s := c.own.shares[m.rec.Share]
	i, _ := slices.BinarySearchFunc(s.machines, m.id, byName)
	s.machines = slices.Insert(s.machines, i, m)
}

func byName(m *machine, id string) int { return cmp.Compare(m.id, id) }

// detach takes a machine out of its share, and what is known of it there.
func (c *Core) detach(m *machine) {
	c.setView(m, nil)
	s := c.own.shares[m.rec.Share]
	if i, ok := slices.BinarySearchFunc(s.machines, m.id, byName); ok {
		s.machines = slices.Delete(s.machines, i, i+1)
	}
}

// dropMachine takes notice that a machine is gone, and all on it.
func (c *Core) dropMachine(m *machine) {
	if m.v != nil {
		c.freeAll(m, "machine gone", true)
	}
	c.detach(m)
	delete(c.mach, m.id)
	c.placementDue = true
}

// dropBatch takes notice that a batch's record was deleted.
func (c *Core) dropBatch(b *batch) {
	delete(c.batches, b.key)
	c.unlisted = append(c.unlisted, b.list...)
	b.list = nil
}

// Names of batches say how they came about; each holds the mark of the key that
// entitled its writer, and a counter, so that none recurs.
const (
	batchHired  = "h" // reported, and on no record
	batchListed = "l" // found in the cloud's list
	batchMoved  = "m" // from another share
)

func isCreation(name string) bool {
	return strings.HasPrefix(name, batchHired) || strings.HasPrefix(name, batchListed)
}

// deletable: a repeat of the write that created the batch, however late, can't be
// applied any more: the leader's key under which it was sent is gone. Until then
// a batch that holds nothing stays, or a repeat would bring machines back to the
// record that are gone, or that are in use by another share (TestRepeatedWrites).
// A batch of moved machines came about in one write with changes of others, and
// so never again.
func (c *Core) deletable(b *batch) bool {
	_, name, ok := wire.ParseBatchKey(b.key)
	return ok && !(isCreation(name) && strings.HasPrefix(name[1:], fmt.Sprintf("-%d-", c.own.leader.mark)))
}

func (c *Core) batchName(why string, mark uint64) string {
	c.batchSeq++
	return fmt.Sprintf("%s-%d-%d", why, mark, c.batchSeq)
}

// recordOf gives a batch's record as it stands, leaving out and marking
// machines as asked.
func recordOf(list []*machine, skip, retire func(*machine) bool) wire.BatchRecord {
	rec := wire.BatchRecord{}
	for _, m := range list {
		if skip != nil && skip(m) {
			continue
		}
		rec.Machines = append(rec.Machines, wire.BatchMachine{ID: m.id, Addr: m.rec.Addr, Kind: kindIn(&rec, m.kind()),
			Retiring: m.rec.Retiring || retire != nil && retire(m)})
	}
	return rec
}

// kindIn gives the place of a kind in a record, which is made if need be.
func kindIn(rec *wire.BatchRecord, k kind) int {
	w := wire.MachineKind{Type: k.typ, Zone: k.zone, Spot: k.spot}
	i := slices.Index(rec.Kinds, w)
	if i < 0 {
		i = len(rec.Kinds)
		rec.Kinds = append(rec.Kinds, w)
	}
	return i
}

// rewrite is one batch's part of a transaction.
type rewrite struct {
	key  string
	b    *batch // nil: a new one
	rec  wire.BatchRecord
	drop bool // no machine is left
}

// writeBatches writes several batches in one transaction, under a key of ours
// with its mark. done hears whether the writes stand, and if not, whether they
// may yet be applied.
func (c *Core) writeBatches(under string, mark uint64, parts []rewrite, done func(ok, unclear bool)) {
	txn := wire.Txn{If: []wire.Condition{{Key: under, Version: mark}}}
	for _, p := range parts {
		cond := wire.Condition{Key: p.key}
		if p.b != nil {
			cond.Version = p.b.mark
			p.b.busy = true
		}
		txn.If = append(txn.If, cond)
		if p.drop {
			txn.Then = append(txn.Then, wire.Change{Delete: p.key})
			continue
		}
		value, err := wire.Encode(p.rec)
		if err != nil || !c.storable(value) {
			c.log(Error, "batch of machines not encoded", "batch", p.key, "bytes", len(value), "error", err)
			for _, q := range parts {
				if q.b != nil {
					q.b.busy = false
				}
			}
			done(false, false)
			return
		}
		txn.Then = append(txn.Then, wire.Change{Put: p.key, Value: value})
	}
	c.askState(classFleet, txn, 1500*micros.Millisecond, func(r Result) {
		for _, p := range parts {
			if p.b != nil {
				p.b.busy = false
				p.b.next = c.now + c.jitter(micros.Second)
			}
		}
		body, ok := r.Body.(*wire.Revision)
		if !ok || r.Status != 200 {
			unclear := !r.NotSent && r.Status != 503 && r.Status != 429 && r.Status != 409
			done(false, unclear) // if it was applied after all, the watch shows it
			return
		}
		for _, p := range parts {
			if b := c.batches[p.key]; p.drop {
				if b != nil && b.mark <= body.Revision {
					c.dropBatch(b)
				}
			} else {
				c.setBatch(p.key, p.rec, body.Revision)
			}
		}
		c.dropUnlistedMachines()
		done(true, false)
	})
}

// raise rewrites a machine's batch, so that the token of all in it rises above
// unanswered orders, and unanswered releases of them can't be applied any more.
func (c *Core) raise(s *share, m *machine) {
	b := m.batch
	if b.busy || c.now < b.next {
		return
	}
	if c.oversize(b) {
		c.split(s, b) // which raises as well
		return
	}
	c.writeBatches(ownerKey(s.id), s.mark, []rewrite{{key: b.key, b: b, rec: recordOf(b.list, nil, nil)}}, func(ok, _ bool) {
		if !ok {
			return
		}
		for _, o := range b.list {
			if o.v != nil {
				o.v.releasing = false
			}
		}
	})
}

// oversize: the batch was written by a version that kept to larger limits. As it
// stands it is read; to be rewritten it must be split.
func (c *Core) oversize(b *batch) bool { return len(b.list) > c.batchLimit() }

// split parts a batch of a share of this node, of which no write is under way, into
// several, in one transaction.
func (c *Core) split(s *share, b *batch) {
	b.next = c.now + 5*micros.Second // also where it can't be done
	var parts []rewrite
	for chunk := range slices.Chunk(slices.Clone(b.list), c.batchLimit()) {
		part := rewrite{key: b.key, b: b, rec: recordOf(chunk, nil, nil)}
		if len(parts) > 0 {
			part.key, part.b = wire.BatchKey(s.id, c.batchName(batchMoved, s.mark)), nil
		}
		parts = append(parts, part)
	}
	if len(parts) > c.cfg.TxnOps {
		c.log(Error, "batch of machines can't be split in one transaction, it stays as it is", "batch", b.key, "machines", len(b.list), "parts", len(parts))
		return
	}
	c.log(Info, "batch of machines split for smaller limits", "batch", b.key, "machines", len(b.list), "parts", len(parts))
	c.writeBatches(ownerKey(s.id), s.mark, parts, func(bool, bool) {}) // the watch shows it if it was applied
}

// splitOne splits a batch that is too large, one at a time: all in it report anew.
func (c *Core) splitOne(s *share) {
	if c.now < c.splitAt || !c.canAnswer() {
		return
	}
	c.splitAt = c.now + 2*micros.Second
	for _, m := range s.machines {
		if b := m.batch; c.oversize(b) && !b.busy && c.now >= b.next {
			c.split(s, b)
			return
		}
	}
}

// releaseView is a machine's way out of its share: releasing while a transaction that
// takes it out may be carried out, planned while it is emptied for that.
type releaseView struct {
	releasing      bool
	plannedRelease peer.Release
	plannedUntil   micros.Micros // the plan is void then, unless it is asked for again
}

// release lets machines go, at the leader's request: at once those that are
// idle, others when they are empty, if they may be drained.
func (c *Core) release(r peer.Release) bool {
	if r.Share < 0 || r.Share >= len(c.own.shares) {
		return false
	}
	var ready []*machine
	for _, id := range r.Machines {
		m := c.mach[id]
		if m == nil || m.v == nil || m.v.releasing {
			continue
		}
		s := c.acting(m.rec.Share)
		if s == nil || !r.Retire && r.Share == s.id {
			continue
		}
		if r.Drain {
			one := r
			one.Machines, one.Drain = nil, false // or it would prolong itself
			m.v.plannedRelease, m.v.plannedUntil = one, c.now+4*micros.Second
			if r.Save {
				c.saveAll(m)
			}
		}
		if c.releasable(m, r.Retire) {
			ready = append(ready, m)
		}
	}
	return c.letMachinesGo(ready, r)
}

// letMachinesGo writes the records by which machines move or retire, as many in
// one transaction as it takes.
func (c *Core) letMachinesGo(ms []*machine, r peer.Release) bool {
	if !c.canAnswer() {
		return false
	}
	byShare := map[int][]*machine{}
	for _, m := range ms {
		byShare[m.rec.Share] = append(byShare[m.rec.Share], m)
	}
	went := false
	for _, s := range c.own.shares {
		var parts []rewrite
		var going []*machine
		chosen := map[*machine]bool{}
		room := max(c.cfg.TxnOps-1, 1)
		flush := func() {
			if len(going) == 0 {
				return
			}
			c.sendMove(s, parts, going, r)
			went = true
			parts, going = nil, nil
		}
		list := byShare[s.id]
		for _, m := range list {
			chosen[m] = true
		}
		seen := map[*batch]bool{}
		for _, m := range list {
			b := m.batch
			if seen[b] {
				continue
			}
			seen[b] = true
			var out []*machine
			for _, o := range b.list {
				if chosen[o] {
					out = append(out, o)
				}
			}
			if len(parts) >= room || len(going)+len(out) > c.batchLimit() && len(going) > 0 {
				flush()
			}
			pick := func(o *machine) bool { return slices.Contains(out, o) }
			part := rewrite{key: b.key, b: b}
			if r.Retire {
				part.rec = recordOf(b.list, nil, pick)
			} else {
				part.rec = recordOf(b.list, pick, nil)
				part.drop = len(part.rec.Machines) == 0 && c.deletable(b)
			}
			parts, going = append(parts, part), append(going, out...)
		}
		flush()
	}
	return went
}

// sendMove sends one transaction of letMachinesGo.
func (c *Core) sendMove(s *share, parts []rewrite, going []*machine, r peer.Release) {
	if !r.Retire {
		parts = append(parts, rewrite{
			key: wire.BatchKey(r.Share, c.batchName(batchMoved, s.mark)),
			rec: recordOf(going, nil, nil),
		})
	}
	views := make([]*view, len(going))
	for i, m := range going {
		views[i] = m.v
		m.v.releasing = true
	}
	c.writeBatches(ownerKey(s.id), s.mark, parts, func(ok, unclear bool) {
		if ok {
			return
		}
		for i, m := range going {
			if m.v != views[i] || m.v == nil {
				continue
			}
			if !unclear {
				m.v.releasing = false
				continue
			}
			// The watch shows it if it was applied. A late copy may still come, so
			// nothing is placed here until the record has been rewritten.
			m.v.unclear = max(m.v.unclear, c.token(s, m))
		}
	})
}
