package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// Handling of machines whose return the cloud has confirmed.

const (
	// A record set is rewritten without its returned machines once at least one in rewriteDivisor
	// of its machines was returned, or once rewriteDelay has passed since the first return.
	rewriteDivisor = 4
	rewriteDelay   = 20 * micros.Second
	// returnedRecordTimeout is the time after which the record of a returned machine should have
	// been dropped. The leader that returned the machine has ended if it still exists.
	returnedRecordTimeout = micros.Minute
)

// machineReturns holds the machines that are returned to the cloud, by ID.
type machineReturns struct {
	returning map[string]bool          // the return is requested
	returned  map[string]micros.Micros // when the cloud confirmed the return
}

// reset clears all returns.
func (r *machineReturns) reset() {
	r.returning = map[string]bool{}
	r.returned = map[string]micros.Micros{}
}

// notifyReturned notifies the owner of a returned machine's shard: the machine's tasks can start
// elsewhere without waiting for the change of the record or for the end of the lease.
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
	// Beyond this bound the owner is notified later by repeatReturnNotices, since its demand still
	// names the machine as silent.
	if len(p.pendingReturnedMachines) < c.cfg.MaxMachines {
		p.pendingReturnedMachines = append(p.pendingReturnedMachines, id)
	}
}

// machineReturned marks a machine as returned after the cloud has confirmed it: all tasks on it are
// gone, and it never comes back.
func (c *Controller) machineReturned(id string) {
	m := c.machines[id]
	if m == nil || m.returned {
		return
	}
	m.returned = true
	m.returnedAt = c.now
	v := m.view
	if v == nil {
		return
	}
	c.freeAllAttempts(m, "returned to the cloud", true)
	v.inDoubtToken = 0
	v.leaseExpired = true
	v.reconciled = false
	v.unreconciledFromPredecessor = false
	c.ownership.markDirty(m)
	c.schedulingDue = true
}

// returnedRow returns the row of a returned machine for the demand of its shard. It is due if the
// machine's record should have been dropped long ago: a new leader does not know that its
// predecessor has returned the machine, whose record would count in the size of the fleet for ever.
func (c *Controller) returnedRow(m *machine) (row peer.Machine, due bool) {
	since := c.now - m.returnedAt
	return peer.Machine{ID: m.id, State: peer.MachineSilent, InStateUS: int64(since)}, since > returnedRecordTimeout
}

// dropReturned rewrites record sets without their returned machines. It does not rewrite a record
// set for each returned machine, since all other machines of the set send an additional heartbeat
// after a rewrite.
func (c *Controller) dropReturned() {
	var writes []recordSetWrite
	for _, key := range sortedKeys(c.machineRecords.sets) {
		write, due := c.dropFromRecordSet(key, c.machineRecords.sets[key])
		if !due {
			continue
		}
		writes = append(writes, write)
		if len(writes) >= max(c.cfg.TxnOps, 1) {
			break // the next run of the fleet plan writes the rest
		}
	}
	if len(writes) > 0 {
		c.writeRecordSets(wire.KeyLeader, c.ownership.leader.ownerEpoch, writes, func(writeOutcome) {})
	}
}

// dropFromRecordSet returns the write that removes the returned machines from a record set, and
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
		return recordSetWrite{}, false // the owner of the shard splits it first
	}
	deleteKey := returned == len(set.machines) && c.deletable(set)
	return recordSetWrite{key: key, recordSet: set, record: rec, deleteKey: deleteKey}, true
}

// countReturned returns how many machines of a record set were returned, and when the first of them
// was returned.
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
	return rewriteDivisor*returned >= machines || c.now-oldest >= rewriteDelay
}
