package core

import (
	"math"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// creating is a batch that the leader is recording. It is sent again, under the
// same key, until it is clear that it stands or never can: a late copy could
// record its machines at any time, so they are homed nowhere else meanwhile.
type creating struct {
	key  string
	rec  wire.BatchRecord
	busy bool
	next micros.Micros
}

// homeHired gives machines that were just rented a home, while they boot.
func (c *Core) homeHired(k kind, ids []string) {
	var list []wire.BatchMachine
	for _, id := range ids {
		if c.mach[id] == nil && !c.fleet.homing[id] && wire.UsableKey(id) {
			list = append(list, wire.BatchMachine{ID: id, Addr: c.fleet.listed[id].Addr})
		}
	}
	c.home1(batchHired, k, list, c.allDemand())
}

// homeListed gives machines a home that the cloud lists and that are on no
// record: those of the start, and those of rentals whose answers were lost. A
// list lags, and copies of reports come late: a machine that a former leader
// has just returned must not come back to the record.
func (c *Core) homeListed(demand map[int]*peer.Demand) {
	f := &c.fleet
	sure := f.first || c.now-f.ledAt > 2*c.cfg.ListLag+2*micros.Second
	byKind := map[kind][]wire.BatchMachine{}
	var kinds []kind
	add := func(k kind, m wire.BatchMachine) {
		if c.mach[m.ID] != nil || f.homing[m.ID] || f.returning[m.ID] || f.returned[m.ID] != 0 || !wire.UsableKey(m.ID) {
			return
		}
		if byKind[k] == nil {
			kinds = append(kinds, k)
		}
		byKind[k] = append(byKind[k], m)
	}
	for _, id := range f.order {
		if l := f.listed[id]; sure && l.State != wire.MachineFailed {
			add(kind{l.Type, l.Zone, l.Spot}, wire.BatchMachine{ID: id, Addr: l.Addr})
		}
	}
	for _, id := range sortedKeys(f.verified) {
		add(f.kinds[id], f.verified[id])
	}
	clear(f.verified)
	for _, k := range kinds {
		c.home1(batchListed, k, byKind[k], demand)
	}
}

// home1 records machines of one kind, each with the share that lacks most of
// its part of the fleet.
func (c *Core) home1(why string, k kind, list []wire.BatchMachine, demand map[int]*peer.Demand) {
	if len(list) == 0 {
		return
	}
	f := &c.fleet
	cpus := max(c.types[k.typ].CPUs, 1)
	has, total := map[int]float64{}, cpus*float64(len(list))
	for _, s := range c.own.shares {
		for _, m := range s.machines {
			if !m.rec.Retiring && !m.returned {
				n := c.types[m.rec.Type].CPUs
				has[s.id] += n
				total += n
			}
		}
		if demand[s.id] == nil {
			demand[s.id] = &peer.Demand{Share: s.id}
		}
	}
	for _, key := range sortedKeys(f.creating) {
		cr := f.creating[key]
		share, _, _ := wire.ParseBatchKey(key)
		for _, m := range cr.rec.Machines {
			n := c.types[cr.rec.Kinds[m.Kind].Type].CPUs
			has[share] += n
			total += n
		}
	}
	part := c.parts(demand, total)
	byShare := map[int][]wire.BatchMachine{}
	for _, m := range list {
		best, bestGap := 0, math.Inf(-1)
		for _, s := range c.own.shares {
			// Where nothing waits, the share with least comes first.
			if gap := part[s.id] - has[s.id]; gap > bestGap+eps {
				best, bestGap = s.id, gap
			}
		}
		has[best] += cpus
		byShare[best] = append(byShare[best], m)
	}
	for _, s := range c.own.shares {
		for chunk := range slices.Chunk(byShare[s.id], c.batchLimit()) {
			cr := &creating{
				key: wire.BatchKey(s.id, c.batchName(why, c.own.leader.mark)),
				rec: wire.BatchRecord{Kinds: []wire.MachineKind{{Type: k.typ, Zone: k.zone, Spot: k.spot}}, Machines: slices.Clone(chunk)},
			}
			f.creating[cr.key] = cr
			for _, m := range chunk {
				f.homing[m.ID] = true
			}
			c.log(Info, "machines homed", "count", len(chunk), "share", s.id, "type", k.typ, "zone", k.zone, "spot", k.spot)
			c.sendCreating(cr)
		}
	}
}

func (c *Core) houseCreating() {
	for _, key := range sortedKeys(c.fleet.creating) {
		c.sendCreating(c.fleet.creating[key])
	}
}

func (c *Core) sendCreating(cr *creating) {
	f := &c.fleet
	if cr.busy || c.now < cr.next {
		return
	}
	cr.busy = true
	mark := c.own.leader.mark
	over := func() {
		delete(f.creating, cr.key)
		for _, m := range cr.rec.Machines {
			delete(f.homing, m.ID)
		}
	}
	c.writeBatches(prioFleet, wire.KeyLeader, mark, []rewrite{{key: cr.key, rec: cr.rec}}, func(ok, unclear bool) {
		if c.own.leader.mark != mark {
			return
		}
		cr.busy = false
		cr.next = c.now + c.jitter(micros.Second)
		if ok || c.batches[cr.key] != nil {
			over()
		}
		// Else it is sent again. If it stands already, the watch shows it.
	})
}

// unknownMachine deals with the report of a machine without a record: the
// leader gives it a home first. A report alone does not do, for it may be a late
// copy of one that a machine sent before it was returned: the cloud must list
// the machine, or it must answer for itself.
func (c *Core) unknownMachine(in Checkin) {
	rep, f := &in.Report, &c.fleet
	if !c.leading() {
		c.redirect(in.Reply, &c.own.leader)
		return
	}
	c.answer(in.Reply, 503, nil, 0)
	if _, listed := f.listed[rep.Machine]; listed || f.homing[rep.Machine] || f.returning[rep.Machine] || f.returned[rep.Machine] != 0 ||
		len(c.types) == 0 || !wire.UsableKey(rep.Machine) || rep.Addr == "" || len(f.verified) >= 1000 || f.listedAt == 0 || !c.orders.mayAsk() {
		return
	}
	id := rep.Machine
	mark := c.own.leader.mark
	f.homing[id] = true
	c.orders.inFlight++
	c.call(Call{To: ToWorker, Addr: rep.Addr, Req: Show{}, Timeout: orderTimeout}, func(r Result) {
		c.orders.inFlight--
		if c.own.leader.mark != mark {
			return
		}
		delete(f.homing, id)
		if got, ok := r.Body.(*wire.Report); ok && r.Status == 200 && got.Machine == id {
			f.verified[id] = wire.BatchMachine{ID: id, Addr: got.Addr}
			f.kinds[id] = kind{got.Type, got.Zone, got.Spot}
			f.planNext = c.now
		}
	})
}

// parts says how many of total CPUs each share should have: first what its
// jobs within a guarantee can use, then by the work that is left.
func (c *Core) parts(demand map[int]*peer.Demand, total float64) map[int]float64 {
	part, can := map[int]float64{}, map[int]float64{}
	ids := shareIDs(demand)
	for _, id := range ids {
		can[id] = demand[id].Busy + waitingCPUs(demand[id])
	}
	give := func(weight func(int) float64, limit func(int) float64) {
		for range 4 { // what one can't use goes to the others
			sum := 0.0
			for _, id := range ids {
				if part[id] < limit(id)-eps {
					sum += weight(id)
				}
			}
			if sum <= 0 || total <= eps {
				return
			}
			left := total
			for _, id := range ids {
				if room := limit(id) - part[id]; room > eps {
					x := min(room, left*weight(id)/sum)
					part[id] += x
					total -= x
				}
			}
		}
	}
	guarantee := func(id int) float64 { return demand[id].Guarantee }
	give(guarantee, func(id int) float64 { return min(guarantee(id), can[id]) })
	give(func(id int) float64 { return workOf(demand[id]) }, func(id int) float64 { return can[id] })
	return part
}

// workOf is all unfinished work of a share, in CPU seconds.
func workOf(d *peer.Demand) float64 {
	work := micros.Micros(d.RunLeftUS).Seconds()
	for _, g := range d.Groups {
		work += micros.Micros(g.WorkUS).Seconds() * g.CPUs
	}
	return work
}

// waitingCPUs is what a share's waiting tasks would take at once.
func waitingCPUs(d *peer.Demand) float64 {
	w := 0.0
	for _, g := range d.Groups {
		w += float64(g.Waiting) * g.CPUs
	}
	return w
}
