package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// Machines that go back to the cloud, and who is told of it.

// scaleInUnusable returns machines that are of no use any more.
func (c *Controller) scaleInUnusable(demand map[int]*peer.Demand) {
	f := &c.fleet
	silent := map[string]bool{}
	for _, d := range demand {
		for _, m := range d.Machines {
			if m.State == peer.MachineSilent {
				silent[m.ID] = true
			}
		}
	}
	var back []string
	for _, s := range c.ownership.shards {
		for _, m := range s.machines {
			if f.returned[m.id] != 0 {
				continue
			}
			l, ok := f.listed[m.id]
			switch {
			case m.rec.Cordoned, ok && l.State == wire.MachineFailed:
				back = append(back, m.id)
			case !ok && f.listedAt != 0 && f.missing[m.id] != 0 && c.now-f.missing[m.id] > 2*c.cfg.ListLag+micros.Second && silent[m.id]:
				back = append(back, m.id)
			}
		}
	}
	for _, id := range f.order {
		l := f.listed[id]
		if f.returned[id] != 0 || l.State == wire.MachineRunning {
			continue
		}
		boot := micros.FromSeconds(c.types[l.Type].BootS)
		age := micros.FromSeconds(l.AgeS) + (c.now - f.listedAt)
		switch {
		case l.State == wire.MachineFailed && c.machines[id] == nil:
			back = append(back, id)
		case l.State == wire.MachineBooting && age > max(4*boot, boot+45*micros.Second) && !c.heardOf(id):
			c.log(Info, "machine does not come up, returned", "machine", id)
			back = append(back, id)
		}
	}
	c.scaleIn(back)
}

// heardOf: a machine of ours has reported, so the list that calls it starting
// lags.
func (c *Controller) heardOf(id string) bool {
	m := c.machines[id]
	return m != nil && m.view != nil && m.view.sequenceKnown
}

func (c *Controller) scaleIn(ids []string) {
	f := &c.fleet
	var wait []string
	for _, id := range ids {
		if !f.returning[id] && f.returned[id] == 0 {
			wait = append(wait, id)
		}
	}
	for send := range slices.Chunk(wait, 100) {
		if !c.sendScaleIn(send) {
			return
		}
	}
}

func (c *Controller) sendScaleIn(send []string) bool {
	f := &c.fleet
	ownerEpoch := c.ownership.leader.ownerEpoch
	sent := c.askCloud(ReturnMachines{Machines: send}, cloudTimeout, func(r Result) {
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			return
		}
		for _, id := range send {
			delete(f.returning, id)
			if r.Status == http.StatusOK {
				f.returned[id] = c.now
				c.notifyReturned(id)
			}
		}
	})
	if sent {
		c.log(Info, "scaling in", "count", len(send), "machines", send[:min(len(send), 20)])
		for _, id := range send {
			f.returning[id] = true
		}
	}
	return sent
}

// notifyReturned lets the owner of a returned machine know at once: its tasks
// need not wait for the record, or for the end of a lease.
func (c *Controller) notifyReturned(id string) {
	m := c.machines[id]
	if m == nil {
		return
	}
	c.machineReturned(id)
	// Past the bound it is told later: its owner goes on naming it as silent.
	if p := c.peers[c.ownership.shards[m.rec.Shard].owner.Label]; p != nil && len(p.returnedMachines) < c.cfg.MaxMachines && !slices.Contains(p.returnedMachines, id) {
		p.returnedMachines = append(p.returnedMachines, id)
	}
}

// machineReturned takes notice that the cloud has confirmed a machine's return:
// everything on it is gone, and it never comes back.
func (c *Controller) machineReturned(id string) {
	m := c.machines[id]
	if m == nil || m.returned {
		return
	}
	m.returned = true
	if v := m.view; v != nil {
		c.freeAll(m, "returned to the cloud", true)
		v.inDoubtToken = 0
		v.leaseExpired, v.reconciled, v.unreconciledFromPredecessor = true, false, false
		c.markDirty(m)
		c.schedulingDue = true
	}
}

// dropGone takes returned machines off the record, a record set at a time and not
// for each of them: all others in it report once more when it is rewritten.
func (c *Controller) dropGone() {
	f := &c.fleet
	var writes []recordSetWrite
	for _, key := range sortedKeys(c.machineRecords.sets) {
		b := c.machineRecords.sets[key]
		if b.writeInFlight || c.now < b.nextWriteAt {
			continue
		}
		gone, oldest := 0, c.now
		for _, m := range b.machines {
			if at := f.returned[m.id]; at != 0 {
				gone++
				oldest = min(oldest, at)
			}
		}
		if len(b.machines) == 0 && !c.deletable(b) || gone == 0 && len(b.machines) > 0 || gone < len(b.machines) && 4*gone < len(b.machines) && c.now-oldest < 20*micros.Second {
			continue
		}
		rec := recordSetOf(b.machines, func(m *machine) bool { return f.returned[m.id] != 0 }, nil)
		if len(rec.Machines) > c.recordSetLimit() {
			continue // its owner splits it first
		}
		writes = append(writes, recordSetWrite{key: key, recordSet: b, record: rec, deleteKey: gone == len(b.machines) && c.deletable(b)})
		if len(writes) >= max(c.cfg.TxnOps, 1) {
			break // the rest in a moment
		}
	}
	if len(writes) > 0 {
		c.writeRecordSets(wire.KeyLeader, c.ownership.leader.ownerEpoch, writes, func(writeOutcome) {})
	}
}
