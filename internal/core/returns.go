package core

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// Machines that go back to the cloud, and who is told of it.

// collect returns machines that are of no use any more.
func (c *Core) collect(demand map[int]*peer.Demand) {
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
	for _, s := range c.own.shares {
		for _, m := range s.machines {
			if f.returned[m.id] != 0 {
				continue
			}
			l, ok := f.listed[m.id]
			switch {
			case m.rec.Retiring, ok && l.State == wire.MachineFailed:
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
		case l.State == wire.MachineFailed && c.mach[id] == nil:
			back = append(back, id)
		case l.State == wire.MachineBooting && age > max(4*boot, boot+45*micros.Second) && !c.heardOf(id):
			c.log(Info, "machine does not come up, returned", "machine", id)
			back = append(back, id)
		}
	}
	c.returnMachines(back)
}

// heardOf: a machine of ours has reported, so the list that calls it starting
// lags.
func (c *Core) heardOf(id string) bool {
	m := c.mach[id]
	return m != nil && m.v != nil && m.v.known
}

func (c *Core) returnMachines(ids []string) {
	f := &c.fleet
	var wait []string
	for _, id := range ids {
		if !f.returning[id] && f.returned[id] == 0 {
			wait = append(wait, id)
		}
	}
	for send := range slices.Chunk(wait, 100) {
		if !c.sendReturn(send) {
			return
		}
	}
}

func (c *Core) sendReturn(send []string) bool {
	f := &c.fleet
	mark := c.own.leader.mark
	sent := c.askCloud(ReturnMachines{Machines: send}, cloudTimeout, func(r Result) {
		if c.own.leader.mark != mark {
			return
		}
		for _, id := range send {
			delete(f.returning, id)
			if r.Status == 200 {
				f.returned[id] = c.now
				c.tellReturned(id)
			}
		}
	})
	if sent {
		c.log(Info, "returning machines", "count", len(send), "machines", send[:min(len(send), 20)])
		for _, id := range send {
			f.returning[id] = true
		}
	}
	return sent
}

// tellReturned lets the owner of a returned machine know at once: its tasks
// need not wait for the record, or for the end of a lease.
func (c *Core) tellReturned(id string) {
	m := c.mach[id]
	if m == nil {
		return
	}
	c.machineReturned(id)
	// Past the bound it is told later: its owner goes on naming it as silent.
	if p := c.peers[c.own.shares[m.rec.Share].rec.Label]; p != nil && len(p.gone) < c.cfg.MaxMachines && !slices.Contains(p.gone, id) {
		p.gone = append(p.gone, id)
	}
}

// machineReturned takes notice that the cloud has confirmed a machine's return:
// everything on it is gone, and it never comes back.
func (c *Core) machineReturned(id string) {
	m := c.mach[id]
	if m == nil || m.returned {
		return
	}
	m.returned = true
	if v := m.v; v != nil {
		c.freeAll(m, "returned to the cloud", true)
		v.unclear = 0
		v.gone, v.settled, v.doubt = true, false, false
		c.touch(m)
		c.placementDue = true
	}
}

// dropGone takes returned machines off the record, a batch at a time and not
// for each of them: all others in it report once more when it is rewritten.
func (c *Core) dropGone() {
	f := &c.fleet
	var parts []rewrite
	for _, key := range sortedKeys(c.batches) {
		b := c.batches[key]
		if b.busy || c.now < b.next {
			continue
		}
		gone, oldest := 0, c.now
		for _, m := range b.list {
			if at := f.returned[m.id]; at != 0 {
				gone++
				oldest = min(oldest, at)
			}
		}
		if len(b.list) == 0 && !c.deletable(b) || gone == 0 && len(b.list) > 0 || gone < len(b.list) && 4*gone < len(b.list) && c.now-oldest < 20*micros.Second {
			continue
		}
		rec := recordOf(b.list, func(m *machine) bool { return f.returned[m.id] != 0 }, nil)
		if len(rec.Machines) > c.batchLimit() {
			continue // its owner splits it first
		}
		parts = append(parts, rewrite{key: key, b: b, rec: rec, drop: gone == len(b.list) && c.deletable(b)})
		if len(parts) >= max(c.cfg.TxnOps, 1) {
			break // the rest in a moment
		}
	}
	if len(parts) > 0 {
		c.writeBatches(wire.KeyLeader, c.own.leader.mark, parts, func(bool, bool) {})
	}
}
