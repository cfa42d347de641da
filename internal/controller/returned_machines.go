package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// What follows once the cloud has confirmed that a machine was returned.

const (
	// A record set is rewritten without its returned machines once one in rewriteFraction of its
	// machines was, or one was rewriteDelay ago.
	rewriteFraction = 4
	rewriteDelay    = 20 * micros.Second
)

// machineReturns are the machines that go back to the cloud.
type machineReturns struct {
	returning map[string]bool          // the cloud is asked to take them
	returned  map[string]micros.Micros // when the cloud confirmed it
}

// reset forgets all returns.
func (r *machineReturns) reset() {
	r.returning = map[string]bool{}
	r.returned = map[string]micros.Micros{}
}

// notifyReturned lets the owner of a returned machine know at once: its tasks need not wait for
// the record, or for the end of a lease.
func (c *Controller) notifyReturned(id string) {
	m := c.machines[id]
	if m == nil {
		return
	}
	c.machineReturned(id)
	p := c.peers[c.ownership.shards[m.rec.Shard].owner.Label]
	if p == nil || slices.Contains(p.pendingReturnedMachines, id) {
		return
	}
	// Past the bound it is notified later: its owner goes on naming the machine as silent.
	if len(p.pendingReturnedMachines) < c.cfg.MaxMachines {
		p.pendingReturnedMachines = append(p.pendingReturnedMachines, id)
	}
}

// machineReturned records that the cloud has confirmed a machine's return: everything on it
// is gone, and it never comes back.
func (c *Controller) machineReturned(id string) {
	m := c.machines[id]
	if m == nil || m.returned {
		return
	}
	m.returned = true
	v := m.view
	if v == nil {
		return
	}
	c.freeAll(m, "returned to the cloud", true)
	v.inDoubtToken = 0
	v.leaseExpired = true
	v.reconciled = false
	v.unreconciledFromPredecessor = false
	c.ownership.markDirty(m)
	c.schedulingDue = true
}

// dropReturned takes returned machines off the record, a record set at a time and not for each of
// them: all others in it send another heartbeat when it is rewritten.
func (c *Controller) dropReturned() {
	var writes []recordSetWrite
	for _, key := range sortedKeys(c.machineRecords.sets) {
		write, due := c.dropFromRecordSet(key, c.machineRecords.sets[key])
		if !due {
			continue
		}
		writes = append(writes, write)
		if len(writes) >= max(c.cfg.TxnOps, 1) {
			break // the rest with the next plan
		}
	}
	if len(writes) > 0 {
		c.writeRecordSets(wire.KeyLeader, c.ownership.leader.ownerEpoch, writes, func(writeOutcome) {})
	}
}

// dropFromRecordSet returns the write that takes the returned machines off a record set, and
// whether it is due.
func (c *Controller) dropFromRecordSet(key string, set *machineRecordSet) (recordSetWrite, bool) {
	if set.writeInFlight || c.now < set.nextWriteAt {
		return recordSetWrite{}, false
	}
	returned, oldest := c.fleet.countReturned(set)
	if !c.rewriteDue(set, returned, oldest) {
		return recordSetWrite{}, false
	}
	rec := recordSetOf(set.machines, func(m *machine) bool { return c.fleet.returned[m.id] != 0 }, nil)
	if len(rec.Machines) > c.recordSetLimit() {
		return recordSetWrite{}, false // its owner splits it first
	}
	deleteKey := returned == len(set.machines) && c.deletable(set)
	return recordSetWrite{key: key, recordSet: set, record: rec, deleteKey: deleteKey}, true
}

// countReturned returns how many machines of a record set were returned, and when the first one
// was.
func (f *fleetState) countReturned(set *machineRecordSet) (returned int, oldest micros.Micros) {
	oldest = f.now
	for _, m := range set.machines {
		if at := f.returned[m.id]; at != 0 {
			returned++
			oldest = min(oldest, at)
		}
	}
	return returned, oldest
}

// rewriteDue reports whether a record set is to be rewritten without its returned machines, or
// deleted.
func (c *Controller) rewriteDue(set *machineRecordSet, returned int, oldest micros.Micros) bool {
	machines := len(set.machines)
	switch {
	case machines == 0:
		return c.deletable(set)
	case returned == 0:
		return false
	case returned == machines:
		return true
	}
	return rewriteFraction*returned >= machines || c.now-oldest >= rewriteDelay
}
