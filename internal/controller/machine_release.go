package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// releaseView is how a machine leaves its shard: releasing while a transaction that
// takes it out may be carried out, planned while it is emptied for that.
type releaseView struct {
	releasing      bool
	plannedRelease peer.Release
	plannedUntil   micros.Micros // the plan is void then, unless it is requested again
}

// releasePlanSpan is how long a plan to release a machine holds after the leader's request.
const releasePlanSpan = 4 * micros.Second

// release releases machines at the leader's request: at once those that are idle, others when
// they are empty, if they may be drained. It reports whether it has begun with any.
func (c *Controller) release(r peer.Release) bool {
	if r.ToShard < 0 || r.ToShard >= len(c.ownership.shards) {
		return false
	}
	var ready []*machine
	for _, id := range r.Machines {
		m := c.machines[id]
		if !c.releasable(m, r) {
			continue
		}
		if r.Drain {
			c.planRelease(m, r)
		}
		if c.mayReleaseMachine(m, r.Cordon) {
			ready = append(ready, m)
		}
	}
	return c.releaseMachines(ready, r)
}

// releasable reports whether this node may plan a machine's release.
func (c *Controller) releasable(m *machine, r peer.Release) bool {
	if m == nil || m.view == nil || m.view.releasing {
		return false
	}
	s := c.ownership.activeShard(m.rec.Shard)
	return s != nil && (r.Cordon || r.ToShard != s.id)
}

// planRelease has a machine emptied and released then.
func (c *Controller) planRelease(m *machine, r peer.Release) {
	plan := r
	plan.Machines = nil
	plan.Drain = false // or it would prolong itself
	m.view.plannedRelease = plan
	m.view.plannedUntil = c.now + releasePlanSpan
	if r.Save {
		c.saveAll(m)
	}
}

// releaseTxn is what one transaction releases.
type releaseTxn struct {
	writes   []recordSetWrite // of the record sets that the machines leave
	machines []*machine
}

// releaseMachines writes the records by which machines move or retire, as many in
// one transaction as fit. It reports whether it has sent any.
func (c *Controller) releaseMachines(machines []*machine, r peer.Release) bool {
	if !c.ownership.leaseValid() {
		return false
	}
	byShard := map[int][]*machine{}
	for _, m := range machines {
		byShard[m.rec.Shard] = append(byShard[m.rec.Shard], m)
	}
	sent := false
	for _, s := range c.ownership.shards {
		for _, txn := range c.releaseTxns(byShard[s.id], r) {
			c.sendRelease(s, txn, r)
			sent = true
		}
	}
	return sent
}

// releaseTxns distributes machines of one shard over transactions; those of one record set go
// together.
func (c *Controller) releaseTxns(machines []*machine, r peer.Release) []releaseTxn {
	maxRecordSets := max(c.cfg.TxnOps-1, 1) // one change adds them elsewhere
	chosen := map[*machine]bool{}
	for _, m := range machines {
		chosen[m] = true
	}
	var txns []releaseTxn
	var txn releaseTxn
	seen := map[*machineRecordSet]bool{}
	for _, m := range machines {
		set := m.recordSet
		if seen[set] {
			continue
		}
		seen[set] = true
		released := chosenOf(set, chosen)
		full := len(txn.writes) >= maxRecordSets || len(txn.machines)+len(released) > c.recordSetLimit()
		if full && len(txn.machines) > 0 {
			txns = append(txns, txn)
			txn = releaseTxn{}
		}
		txn.writes = append(txn.writes, c.releaseWrite(set, released, r))
		txn.machines = append(txn.machines, released...)
	}
	if len(txn.machines) > 0 {
		txns = append(txns, txn)
	}
	return txns
}

// chosenOf returns the machines of a record set that are chosen.
func chosenOf(set *machineRecordSet, chosen map[*machine]bool) []*machine {
	var out []*machine
	for _, m := range set.machines {
		if chosen[m] {
			out = append(out, m)
		}
	}
	return out
}

// releaseWrite returns the write of a record set some machines of which are released: they are
// cordoned in it if they retire, and leave it otherwise.
func (c *Controller) releaseWrite(set *machineRecordSet, released []*machine, r peer.Release) recordSetWrite {
	isReleased := func(m *machine) bool { return slices.Contains(released, m) }
	write := recordSetWrite{key: set.key, recordSet: set}
	if r.Cordon {
		write.record = recordSetOf(set.machines, nil, isReleased)
		return write
	}
	write.record = recordSetOf(set.machines, isReleased, nil)
	write.deleteKey = len(write.record.Machines) == 0 && c.deletable(set)
	return write
}

// sendRelease sends one transaction of releaseMachines.
func (c *Controller) sendRelease(s *shard, txn releaseTxn, r peer.Release) {
	writes := txn.writes
	if !r.Cordon {
		writes = append(writes, recordSetWrite{
			key:    wire.MachineRecordSetKey(r.ToShard, c.machineRecords.newName(recordSetMoved, s.ownerEpoch)),
			record: recordSetOf(txn.machines, nil, nil),
		})
	}
	views := make([]*view, len(txn.machines))
	for i, m := range txn.machines {
		views[i] = m.view
		m.view.releasing = true
	}
	c.writeRecordSets(ownerKey(s.id), s.ownerEpoch, writes, func(outcome writeOutcome) {
		for i, m := range txn.machines {
			if m.view != nil && m.view == views[i] {
				c.applyReleaseOutcome(s, m, outcome)
			}
		}
	})
}

// applyReleaseOutcome deals with a machine whose release was sent and that is still here.
func (c *Controller) applyReleaseOutcome(s *shard, m *machine, outcome writeOutcome) {
	switch outcome {
	case writeApplied:
	case writeNotApplied:
		m.view.releasing = false
	case writeInDoubt:
		// The watch shows it if it was applied. A late copy may still come, so
		// nothing is placed here until the record has been rewritten.
		m.view.inDoubtToken = max(m.view.inDoubtToken, c.fencingToken(s, m))
	}
}
