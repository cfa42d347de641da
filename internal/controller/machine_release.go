package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// releaseView is the state of a machine's release: its move to another shard, or its retirement. A
// planned release waits until the machine is empty.
type releaseView struct {
	releasing      bool // a transaction that releases the machine may still be applied
	plannedRelease peer.Release
	plannedUntil   micros.Micros // when the plan expires, unless the leader requests it again
}

// releasePlanSpan is how long a planned release is valid after the leader's request.
const releasePlanSpan = 4 * micros.Second

// release releases machines at the leader's request. Those that may be released now are released
// at once. Others are released when they are empty, if the request allows to drain them. It reports
// whether it has sent a transaction.
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

// planRelease plans to release a machine once it is empty, and has its tasks saved if the request
// says so.
func (c *Controller) planRelease(m *machine, r peer.Release) {
	plan := r
	plan.Machines = nil
	plan.Drain = false // a plan that drains would extend itself
	m.view.plannedRelease = plan
	m.view.plannedUntil = c.now + releasePlanSpan
	if r.Save {
		c.evictAllTasks(m)
	}
}

// releaseTxn holds the machines that one transaction releases.
type releaseTxn struct {
	writes   []recordSetWrite // of the record sets that the machines leave
	machines []*machine
}

// releaseMachines sends the transactions that move machines to another shard or cordon them, with
// as many machines in each as fit. It reports whether it has sent one.
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

// releaseTxns distributes machines of one shard over transactions. Machines of one record set are
// released by the same transaction.
func (c *Controller) releaseTxns(machines []*machine, r peer.Release) []releaseTxn {
	maxRecordSets := max(c.cfg.TxnOps-1, 1) // one change creates the record set of the moved machines
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
		released := chosenMachines(set, chosen)
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

// chosenMachines returns the machines of a record set that are chosen.
func chosenMachines(set *machineRecordSet, chosen map[*machine]bool) []*machine {
	var out []*machine
	for _, m := range set.machines {
		if chosen[m] {
			out = append(out, m)
		}
	}
	return out
}

// releaseWrite returns the write of a record set from which machines are released. They are marked
// as cordoned if they retire, and removed from the record set if they move.
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
	views := make([]*machineView, len(txn.machines))
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

// applyReleaseOutcome updates a machine that this node still owns after its release was sent.
func (c *Controller) applyReleaseOutcome(s *shard, m *machine, outcome writeOutcome) {
	switch outcome {
	case writeApplied:
	case writeNotApplied:
		m.view.releasing = false
	case writeInDoubt:
		// The watch shows the release if it was applied. Since the write may still be applied,
		// releasing stays set and the machine is given no tasks until its record set has been
		// rewritten.
		m.view.inDoubtToken = max(m.view.inDoubtToken, c.fencingToken(s, m))
	}
}
