package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// plannedMove is a machine on its way to another shard, or out.
type plannedMove struct {
	shard  int
	retire bool
	until  micros.Micros
}

// releaseRequest is one machine that its owner is asked to let go.
type releaseRequest struct {
	machine string
	peer.Release
}

// requestMachineRelease notes that a machine's owner is to be asked to let it go.
func (c *Controller) requestMachineRelease(id string, r peer.Release) {
	f := &c.fleet
	m := c.machines[id]
	if m == nil || f.releaseRequestedAt[id] != 0 && c.now < f.releaseRequestedAt[id]+2*micros.Second {
		return
	}
	f.releaseRequestedAt[id] = c.now
	if r.Retire {
		r.Shard = m.rec.Shard
	}
	f.releaseRequests = append(f.releaseRequests, releaseRequest{id, r})
}

// sendReleases asks the owners, those alike in one message.
func (c *Controller) sendReleases() {
	type key struct {
		from, to            int
		retire, drain, save bool
	}
	byKey := map[key]*peer.Release{}
	var keys []key
	for _, q := range c.fleet.releaseRequests {
		m := c.machines[q.machine]
		if m == nil {
			continue
		}
		k := key{m.rec.Shard, q.Shard, q.Retire, q.Drain, q.Save}
		r := byKey[k]
		if r == nil {
			r = &peer.Release{Retire: q.Retire, Drain: q.Drain, Save: q.Save, Shard: q.Shard}
			byKey[k] = r
			keys = append(keys, k)
		}
		r.Machines = append(r.Machines, q.machine)
	}
	c.fleet.releaseRequests = nil
	for _, k := range keys {
		r, s := byKey[k], c.ownership.shards[k.from]
		if c.activeShard(s.id) != nil {
			c.release(*r)
		} else if p := c.peers[s.owner.Label]; p != nil {
			c.call(Call{To: ToPeer, Addr: p.label, Req: peer.Request{From: c.cfg.Label, Release: r}, Timeout: micros.Second}, func(Result) {})
		}
	}
}

// rebalancing is one round of moving machines between shards, in CPUs by shard.
type rebalancing struct {
	target    map[int]float64 // what each should have
	has       map[int]float64 // what it has, moves under way counted where they go
	shortfall map[int]float64 // what its waiting tasks want beyond what stands free
	spare     map[int]float64 // where nothing waits: what may be drained without loss
	rows      []rebalanceRow
	// draining counts the machines that are emptied for another shard.
	draining int
}

// rebalanceRow is a machine that may be moved.
type rebalanceRow struct {
	peer.Machine
	from int
	cpus float64
}

const (
	// maxDraining bounds machines drained for other shards at a time, beyond what may
	// be drained without loss: one that empties slowly stands half used meanwhile.
	maxDraining = 2
	// drainWithin is how soon such a machine must be empty.
	drainWithin = 15 * micros.Second
	// plannedFor is how long a planned move is held to.
	plannedFor = 45 * micros.Second
	// leastMove is the least lack, in CPUs, that a machine is moved for.
	leastMove = 0.5
)

// rebalance moves machines to the shards whose queues wait: idle ones at once, busy
// ones as they empty, where a shard has more than its part of the fleet.
func (c *Controller) rebalance(demand map[int]*peer.Demand) {
	l := c.newRebalancing(demand)
	for _, r := range l.rows {
		to, most := c.destination(demand, l, r)
		if to < 0 || !c.mayMove(demand[r.from], l, r, most) {
			continue
		}
		idle := r.State == peer.MachineIdle
		l.has[r.from] -= r.cpus
		l.has[to] += r.cpus
		l.shortfall[to] -= r.cpus
		if !idle {
			c.fleet.plannedMoves[r.ID] = plannedMove{shard: to, until: c.now + plannedFor}
		}
		c.requestMachineRelease(r.ID, peer.Release{Shard: to, Drain: !idle})
	}
}

// newRebalancing adds up what shards have and lack, and lists the machines that may be
// moved: idle ones first, then those that are empty soonest.
func (c *Controller) newRebalancing(demand map[int]*peer.Demand) *rebalancing {
	total := 0.0
	for _, d := range demand {
		total += d.CPUs
	}
	l := &rebalancing{target: c.targetCPUs(demand, total), has: map[int]float64{}, shortfall: map[int]float64{}, spare: map[int]float64{}}
	for id, d := range demand {
		l.has[id] = d.CPUs
		l.shortfall[id] = max(0, waitingCPUs(d)-(d.CPUs-d.Busy))
		if waitingCPUs(d) == 0 {
			l.spare[id] = (d.CPUs - d.Busy) - d.CPUs/20
		}
	}
	for _, id := range shardIDs(demand) {
		for _, m := range demand[id].Machines {
			rec := c.machines[m.ID]
			if rec == nil {
				continue
			}
			cpus := c.types[rec.rec.Type].CPUs
			switch m.State {
			case peer.MachineDraining:
				c.continueDraining(demand[id], l, rebalanceRow{m, id, cpus})
			case peer.MachineIdle, peer.MachineBusy:
				l.rows = append(l.rows, rebalanceRow{m, id, cpus})
			}
		}
	}
	slices.SortStableFunc(l.rows, func(a, b rebalanceRow) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.LeftUS, b.LeftUS), cmp.Compare(a.ID, b.ID))
	})
	return l
}

// continueDraining repeats the request for a machine that is on its way out, unless its
// shard needs it again. It counts where it goes.
func (c *Controller) continueDraining(own *peer.Demand, l *rebalancing, r rebalanceRow) {
	to, ok := c.fleet.plannedMoves[r.ID]
	switch {
	case !ok || c.now >= to.until:
	case !to.retire && waitingCPUs(own) > 0 && l.has[r.from] < l.target[r.from]:
		delete(c.fleet.plannedMoves, r.ID)
	case to.retire:
		c.requestMachineRelease(r.ID, peer.Release{Retire: true, Drain: true})
	default:
		l.draining++
		l.has[to.shard] += r.cpus
		l.shortfall[to.shard] = max(0, l.shortfall[to.shard]-r.cpus)
		c.requestMachineRelease(r.ID, peer.Release{Shard: to.shard, Drain: true})
	}
}

// destination is the shard that a machine would help most, and by how many CPUs; -1 if
// there is none.
func (c *Controller) destination(demand map[int]*peer.Demand, l *rebalancing, r rebalanceRow) (to int, most float64) {
	idle := r.State == peer.MachineIdle
	to, most = -1, leastMove
	for _, id := range shardIDs(demand) {
		if id == r.from || !c.useful(demand[id], c.machines[r.ID]) {
			continue
		}
		gap := l.target[id] - l.has[id]
		if idle {
			gap = max(gap, 0) + 0.01 // any queue is better than none
		}
		if v := min(l.shortfall[id], gap); v > most || idle && l.shortfall[id] > leastMove && to < 0 {
			to, most = id, v
		}
	}
	return to, most
}

// mayMove tells whether a machine may leave its shard for one that it helps by most
// CPUs, and notes what that takes.
func (c *Controller) mayMove(own *peer.Demand, l *rebalancing, r rebalanceRow, most float64) bool {
	if r.State == peer.MachineIdle {
		// Its own shard may be about to use it.
		return waitingCPUs(own) == 0 || !c.useful(own, c.machines[r.ID])
	}
	unused := r.cpus - r.Busy
	switch {
	case most < r.cpus/2 || l.has[r.from]-l.target[r.from] < r.cpus/2:
		return false
	case l.spare[r.from] >= unused && unused > 0:
		l.spare[r.from] -= unused
	case r.LeftUS > int64(drainWithin) || l.draining >= maxDraining:
		return false
	default:
		l.draining++
	}
	return true
}

// useful tells whether a shard's waiting tasks could use a machine.
func (c *Controller) useful(d *peer.Demand, m *machine) bool {
	for _, g := range d.Groups {
		if g.Waiting > 0 && c.hosts(g, m.rec.Type, m.rec.Zone, m.rec.Spot) {
			return true
		}
	}
	return false
}

// scaleInIdle returns machines that idle, the dearest first, as long as there is
// more than is needed. pressed: the fleet may not grow, so that an idle machine
// of no use keeps out one that is of use.
func (c *Controller) scaleInIdle(demand map[int]*peer.Demand, w fleetDemand, atMaxMachines bool) {
	type idle struct {
		id          string
		cpus, price float64
		since       micros.Micros
		useless     bool // something waits, and none of it can use the machine
	}
	waiting := false
	for _, d := range demand {
		waiting = waiting || waitingCPUs(d) > 0
	}
	var list []idle
	for _, d := range demand {
		for _, m := range d.Machines {
			rec := c.machines[m.ID]
			if m.State != peer.MachineIdle || rec == nil {
				continue
			}
			mt := c.types[rec.rec.Type]
			useless := waiting
			for _, o := range demand {
				useless = useless && !c.useful(o, rec)
			}
			list = append(list, idle{m.ID, mt.CPUs, cpuPrice(mt, rec.rec.Spot), micros.Micros(m.SinceUS), useless})
		}
	}
	slices.SortFunc(list, func(a, b idle) int {
		return cmp.Or(-cmp.Compare(a.price, b.price), cmp.Compare(a.id, b.id))
	})
	lowest := c.lowestPrice()
	reserve := c.reserve(w)
	for _, i := range list {
		wanted := max(c.need(w, max(i.price/lowest, 1)), min(w.parallel, w.have))
		surplus := w.have - wanted
		keep := c.cfg.IdleReturn
		if surplus-i.cpus >= reserve {
			keep = min(keep, 2*micros.Second)
		}
		if (surplus >= i.cpus || i.useless) && i.since >= keep || atMaxMachines && i.since >= 5*micros.Second {
			w.have -= i.cpus
			c.requestMachineRelease(i.id, peer.Release{Retire: true})
		}
	}
}

// consolidate empties machines of a shard where nothing waits, if their tasks
// may go on in the room that the shard's other machines have, and if they would
// otherwise keep mostly unused machines for long.
func (c *Controller) consolidate(demand map[int]*peer.Demand, w fleetDemand) {
	needed := max(w.parallel, c.reserve(w))
	for _, id := range shardIDs(demand) {
		d := demand[id]
		if waitingCPUs(d) > 0 {
			continue
		}
		most := max(1, d.All/20) // so many at a time
		free := d.CPUs - d.Busy
		type option struct {
			*peer.Machine
			cpus, gain float64
		}
		var options []option
		for i := range d.Machines {
			m := &d.Machines[i]
			if m.State == peer.MachineDraining {
				most--
			}
			rec := c.machines[m.ID]
			if rec == nil || m.State != peer.MachineBusy || !m.Movable {
				continue
			}
			cpus := c.types[rec.rec.Type].CPUs
			gain := c.unusedFor(*m) - againCost*micros.Micros(m.LostUS).Seconds()
			if m.LeftUS >= int64(30*micros.Second) && 2*m.Busy <= cpus && gain > minGain {
				options = append(options, option{m, cpus, gain})
			}
		}
		slices.SortStableFunc(options, func(a, b option) int { return -cmp.Compare(a.gain, b.gain) })
		for _, o := range options {
			if most <= 0 || w.have-o.cpus < needed || free-(o.cpus-o.Busy) < o.Busy {
				break
			}
			most--
			w.have -= o.cpus
			free -= o.cpus // what it leaves goes into others' room
			c.log(Info, "draining a mostly unused machine", "machine", o.ID, "shard", id, "busy", o.Busy)
			c.fleet.plannedMoves[o.ID] = plannedMove{retire: true, until: c.now + 30*micros.Second}
			c.requestMachineRelease(o.ID, peer.Release{Retire: true, Drain: true, Save: true})
		}
	}
}

const (
	// againCost weighs work that is done again against machines standing unused:
	// its user waits as well.
	againCost = 3
	// minGain is the least, in CPU seconds, that emptying a machine must bring.
	minGain = 200
)

// reserve is how many CPUs are kept although nothing waits. Where tasks are
// wanted started sooner than a machine boots, that is what arrives while one
// would boot; elsewhere nothing.
func (c *Controller) reserve(w fleetDemand) float64 {
	boot := micros.Micros(0)
	for _, mt := range c.types {
		boot = max(boot, micros.FromSeconds(mt.BootS))
	}
	for _, within := range c.cfg.StartWithin {
		if within < boot/2 {
			return max(w.arrival, w.parallel)
		}
	}
	return 0
}

// partitionedZones tells in which zones hardly a machine is heard while others are: the
// zone is cut off, and its machines are up all the same. What is rented there
// could not report either.
func (c *Controller) partitionedZones(demand map[int]*peer.Demand) map[string]bool {
	all, silent := map[string]int{}, map[string]int{}
	for _, d := range demand {
		for _, z := range d.Zones {
			all[z.Name] += z.All
			silent[z.Name] += z.Silent
		}
	}
	partitioned, heard := map[string]bool{}, false
	for name, n := range all {
		if silent[name] >= minSilentForPartition && 4*silent[name] >= 3*n {
			partitioned[name] = true
		} else if 2*silent[name] <= n && n > 0 {
			heard = true
		}
	}
	if !heard {
		return nil // it is not the zone, then
	}
	return partitioned
}

// replaceUnhealthy retires machines that fail or slow tasks once they are empty,
// returns silent ones if the operators want that, and those that hold up a
// failover.
func (c *Controller) replaceUnhealthy(demand map[int]*peer.Demand) {
	c.retireUnhealthy(demand)
	if c.cfg.SilentReturn == 0 {
		return
	}
	partitioned := c.partitionedZones(demand)
	var back []string
	for _, id := range shardIDs(demand) {
		d := demand[id]
		var unreconciled []string
		cost := 0.0 // of returning those in doubt, in CPU seconds
		for _, m := range d.Machines {
			rec := c.machines[m.ID]
			if rec == nil {
				continue
			}
			if c.fleet.returned[m.ID] != 0 {
				if m.State == peer.MachineUnreconciled || m.State == peer.MachineSilent {
					c.notifyReturned(m.ID) // its owner may have changed since it was told
				}
				continue
			}
			if c.fleet.returning[m.ID] {
				continue
			}
			since, limit := micros.Micros(m.SinceUS), c.silentReturnAfter()
			if partitioned[rec.rec.Zone] {
				// One by one they look dead. What a return gains is what is left of their
				// leases; what it costs is the fleet of a whole zone, once the cut is over.
				limit = max(limit, partitionedReturnLeases*c.cfg.WorkerLease)
			}
			switch {
			case m.State == peer.MachineSilent && since > limit && 2*d.Silent <= d.All:
				// If most are silent, the fault is rather the owner's network.
				back = append(back, m.ID)
			case m.State == peer.MachineUnreconciled && since > unreconciledReturnAfter && (2*d.Unreconciled <= d.All || partitioned[rec.rec.Zone]):
				// What can't be reached holds up all older jobs of its shard. The cloud's
				// answer to its return settles it.
				unreconciled = append(unreconciled, m.ID)
				cost += c.types[rec.rec.Type].CPUs * (c.types[rec.rec.Type].BootS + rentDelay)
			}
		}
		if held := heldUp(d); len(unreconciled) > 0 && held > cost {
			c.log(Info, "scaling in machines that block a failover", "shard", id, "machines", len(unreconciled), "cpu_s_held_up", held, "cpu_s_to_replace", cost)
			back = append(back, unreconciled...)
		}
	}
	c.scaleIn(back)
}

// heldUp is what stands unused, in CPU seconds, until the machines in doubt are
// free by themselves: what is free now, and what comes free meanwhile, as far as
// work waits for it. (A shard of 800 machines stood still for 47 s after a failover
// while 160 of them were in a zone that was cut off.)
func heldUp(d *peer.Demand) float64 {
	held, waiting := micros.Micros(d.BlockedUS).Seconds(), waitingCPUs(d)
	unused := (d.CPUs - d.Busy) * held
	if d.Busy > 0 {
		unused += d.Busy * max(0, held-micros.Micros(d.RunLeftUS).Seconds()/d.Busy)
	}
	return min(unused, waiting*held)
}

// retireUnhealthy asks for machines that fail or slow tasks, once they are empty.
func (c *Controller) retireUnhealthy(demand map[int]*peer.Demand) {
	for _, id := range shardIDs(demand) {
		for _, m := range demand[id].Machines {
			if m.State == peer.MachineUnhealthy {
				c.requestMachineRelease(m.ID, peer.Release{Retire: true})
			}
		}
	}
}

const (
	// unreconciledReturnAfter is how long after a claim a machine may stay unreconciled. Those
	// that can be reached are settled within a few seconds.
	unreconciledReturnAfter = 5 * micros.Second
	// rentDelay is what renting a machine takes beside its boot time, in seconds.
	rentDelay = 10
	// minSilentForPartition is how many machines of a zone must be silent before that says
	// anything about the zone.
	minSilentForPartition = 4
	// partitionedReturnLeases is for how many leases the machines of a zone that is cut off are
	// left before they are returned after all.
	partitionedReturnLeases = 3
)
