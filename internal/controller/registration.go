package controller

import (
	"math"
	"net/http"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// recordSetCreation is a record set that the leader is recording. It is sent again, under the
// same key, until it is clear that it stands or never can: a late copy could
// record its machines at any time, so they are assigned nowhere else meanwhile.
type recordSetCreation struct {
	key  string
	rec  wire.MachineRecordSet
	busy bool
	next micros.Micros
	// registrations wait for an answer to their heartbeats.
	registrations []registration
}

// rented is a machine that this leader has rented. It is recorded once it
// reports: a machine on record is one that a new owner has to settle before it
// starts anything that an old one may have started there, and a booting one
// can't be settled (25 s without a start after each failover of a shard).
type rented struct {
	kind
	at micros.Micros
}

// registration is a machine without a record that has reported. Its heartbeat is
// answered once it is assigned.
type registration struct {
	in Heartbeat
	kind
}

// registrationInterval is how long machines are gathered, so that those that come up
// together take one write.
const registrationInterval = 300 * micros.Millisecond

// registerMachine deals with the heartbeat of a machine without a record: the
// leader assigns it first. A heartbeat alone does not do, for it may be a late
// copy of one that a machine sent before it was returned: this leader must have
// rented it, or it must answer for itself.
func (c *Controller) registerMachine(in Heartbeat) {
	heartbeat, f := &in.Heartbeat, &c.fleet
	if !c.leading() {
		c.redirect(in.Reply, &c.ownership.leader)
		return
	}
	id := heartbeat.Machine
	if f.assigning[id] || f.returning[id] || f.returned[id] != 0 || len(c.types) == 0 || !wire.UsableKey(id) || heartbeat.Addr == "" || len(f.registrations) >= c.cfg.MaxRegistrations {
		c.answer(in.Reply, http.StatusServiceUnavailable, nil, 0)
		return
	}
	k := kind{heartbeat.Type, heartbeat.Zone, heartbeat.Spot}
	if f.rented[id] != nil {
		c.addRegistration(registration{in, k})
		return
	}
	if !c.commandQueue.takeProbe() {
		c.answer(in.Reply, http.StatusServiceUnavailable, nil, 0)
		return
	}
	ownerEpoch := c.ownership.leader.ownerEpoch
	f.assigning[id] = true
	c.askWorker(heartbeat.Addr, GetHeartbeat{}, func(r Result) {
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			c.answer(in.Reply, http.StatusServiceUnavailable, nil, 0)
			return
		}
		delete(f.assigning, id)
		got, ok := r.Body.(*wire.Heartbeat)
		if !ok || r.Status != http.StatusOK || got.Machine != id || f.returned[id] != 0 || f.returning[id] || c.machines[id] != nil {
			c.answer(in.Reply, http.StatusServiceUnavailable, nil, 0)
			return
		}
		c.addRegistration(registration{in, k})
	})
}

func (c *Controller) addRegistration(cl registration) {
	f := &c.fleet
	if len(f.registrations) == 0 {
		f.registrationsDueAt = c.now + registrationInterval
	}
	f.assigning[cl.in.Heartbeat.Machine] = true
	f.registrations = append(f.registrations, cl)
	c.wakeIn(f.registrationsDueAt - c.now)
}

// recordRegistrations records the machines that have reported of late.
func (c *Controller) recordRegistrations() {
	f := &c.fleet
	if len(f.registrations) == 0 || c.now < f.registrationsDueAt {
		return
	}
	reporters := f.registrations
	f.registrations = nil
	var list []unassigned
	for _, cl := range reporters {
		list = append(list, unassigned{wire.MachineRecord{ID: cl.in.Heartbeat.Machine, Addr: cl.in.Heartbeat.Addr}, cl.kind})
	}
	c.assignMachines(recordSetRegistered, list, c.allDemand(), reporters)
}

// unassigned is a machine that has no record yet.
type unassigned struct {
	wire.MachineRecord
	kind
}

// assignListed assigns machines to shards that the cloud lists as running and that are
// on no record: those of the start, and any whose heartbeats don't come through. A
// list lags: a machine that a former leader has just returned must not come back
// to the record.
func (c *Controller) assignListed(demand map[int]*peer.Demand) {
	f := &c.fleet
	if !f.first && c.now-f.ledAt <= 2*c.cfg.ListLag+2*micros.Second {
		return
	}
	var list []unassigned
	for _, id := range f.order {
		l := f.listed[id]
		if l.State == wire.MachineRunning && c.machines[id] == nil && !f.assigning[id] && !f.returning[id] && f.returned[id] == 0 && wire.UsableKey(id) {
			list = append(list, unassigned{wire.MachineRecord{ID: id, Addr: l.Addr}, kind{l.Type, l.Zone, l.Spot}})
		}
	}
	c.assignMachines(recordSetListed, list, demand, nil)
}

// assignMachines records machines, each with the shard that lacks most of its part
// of the fleet.
func (c *Controller) assignMachines(origin string, list []unassigned, demand map[int]*peer.Demand, reporters []registration) {
	if len(list) == 0 {
		return
	}
	f := &c.fleet
	has, total := map[int]float64{}, 0.0
	for _, m := range list {
		total += c.types[m.typ].CPUs
	}
	for _, s := range c.ownership.shards {
		for _, m := range s.machines {
			if !m.rec.Cordoned && !m.returned {
				n := c.types[m.rec.Type].CPUs
				has[s.id] += n
				total += n
			}
		}
		if demand[s.id] == nil {
			demand[s.id] = &peer.Demand{Shard: s.id}
		}
	}
	for _, key := range sortedKeys(f.pendingCreations) {
		cr := f.pendingCreations[key]
		shard, _, _ := wire.ParseMachineRecordSetKey(key)
		for _, m := range cr.rec.Machines {
			n := c.types[cr.rec.Kinds[m.Kind].Type].CPUs
			has[shard] += n
			total += n
		}
	}
	part := c.targetCPUs(demand, total)
	byShard := map[int][]unassigned{}
	best := -1
	for _, m := range list {
		cpus := max(c.types[m.typ].CPUs, 1)
		// Machines that come up together stay together as long as their shard lacks
		// some: a record set for each shard would take as many writes.
		if best < 0 || part[best]-has[best] < cpus {
			bestGap := math.Inf(-1)
			for _, s := range c.ownership.shards {
				// Where nothing waits, the shard with least comes first.
				if gap := part[s.id] - has[s.id]; gap > bestGap+eps {
					best, bestGap = s.id, gap
				}
			}
		}
		has[best] += cpus
		byShard[best] = append(byShard[best], m)
	}
	for _, s := range c.ownership.shards {
		for chunk := range slices.Chunk(byShard[s.id], c.recordSetLimit()) {
			cr := &recordSetCreation{key: wire.MachineRecordSetKey(s.id, c.recordSetName(origin, c.ownership.leader.ownerEpoch))}
			f.pendingCreations[cr.key] = cr
			for _, m := range chunk {
				m.Kind = kindIn(&cr.rec, m.kind)
				cr.rec.Machines = append(cr.rec.Machines, m.MachineRecord)
				f.assigning[m.ID] = true
				if i := slices.IndexFunc(reporters, func(cl registration) bool { return cl.in.Heartbeat.Machine == m.ID }); i >= 0 {
					cr.registrations = append(cr.registrations, reporters[i])
				}
			}
			c.log(Info, "machines assigned", "count", len(chunk), "shard", s.id)
			c.sendCreating(cr)
		}
	}
}

func (c *Controller) maintainCreations() {
	for _, key := range sortedKeys(c.fleet.pendingCreations) {
		c.sendCreating(c.fleet.pendingCreations[key])
	}
}

func (c *Controller) sendCreating(cr *recordSetCreation) {
	f := &c.fleet
	if cr.busy || c.now < cr.next {
		return
	}
	cr.busy = true
	ownerEpoch := c.ownership.leader.ownerEpoch
	over := func() {
		delete(f.pendingCreations, cr.key)
		for _, m := range cr.rec.Machines {
			delete(f.assigning, m.ID)
		}
	}
	c.writeRecordSets(wire.KeyLeader, ownerEpoch, []recordSetWrite{{key: cr.key, record: cr.rec}}, func(outcome writeOutcome) {
		ok := outcome == writeApplied
		reporters := cr.registrations
		cr.registrations = nil
		for _, cl := range reporters {
			if ok {
				c.handleHeartbeat(cl.in) // which sends it to its owner
			} else {
				c.answer(cl.in.Reply, http.StatusServiceUnavailable, nil, 0)
			}
		}
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			return
		}
		cr.busy = false
		cr.next = c.now + c.jitter(micros.Second)
		if ok || c.recordSets[cr.key] != nil {
			over()
		}
		// Else it is sent again. If it stands already, the watch shows it.
	})
}

// targetCPUs says how many of total CPUs each shard should have: first what its
// jobs within a guarantee can use, then by the work that is left.
func (c *Controller) targetCPUs(demand map[int]*peer.Demand, total float64) map[int]float64 {
	part, can := map[int]float64{}, map[int]float64{}
	ids := shardIDs(demand)
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
				if headroom := limit(id) - part[id]; headroom > eps {
					x := min(headroom, left*weight(id)/sum)
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

// workOf is all unfinished work of a shard, in CPU seconds.
func workOf(d *peer.Demand) float64 {
	work := micros.Micros(d.RunLeftUS).Seconds()
	for _, g := range d.Groups {
		work += micros.Micros(g.WorkUS).Seconds() * g.CPUs
	}
	return work
}

// waitingCPUs is what a shard's waiting tasks would take at once.
func waitingCPUs(d *peer.Demand) float64 {
	w := 0.0
	for _, g := range d.Groups {
		w += float64(g.Waiting) * g.CPUs
	}
	return w
}
