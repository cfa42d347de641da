package core

import (
	"maps"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// fleet is the leader's work: renting, returning and assigning machines. It
// places no tasks. This file keeps what the leader knows; what to rent, assign
// and move is decided in rent.go, assignment.go and level.go.
type fleet struct {
	budget bucket

	typesAt   micros.Micros
	typesBusy bool
	typesRaw  []byte // as last written
	typesMark uint64 // of the record's key, as the watch has it

	ledAt    micros.Micros
	first    bool // nothing was on record when this node began to lead
	listBusy bool
	listNext micros.Micros
	listFrom micros.Micros // when the listing under way began
	pages    []wire.ListedMachine
	after    string
	listed   map[string]wire.ListedMachine
	order    []string      // their names
	listedAt micros.Micros // when the last whole listing began; 0: none yet
	missing  map[string]micros.Micros

	hireSeq uint64
	hires   []*hire
	refused map[kind]*refusal

	rented      map[string]*rented   // rented by this leader, and not on record yet
	creating    map[string]*creating // batches being recorded, by key
	assigning   map[string]bool      // machines in them, or about to be
	reporters   []reporter           // machines without a record that have reported
	reportersAt micros.Micros        // when they are recorded

	returning    map[string]bool
	returned     map[string]micros.Micros // the cloud has confirmed it
	asked        map[string]micros.Micros // releases asked for
	requests     []releaseRequest
	plannedMoves map[string]plannedMove
	planNext     micros.Micros
}

// kind is what capacity is counted by.
type kind struct {
	typ, zone string
	spot      bool
}

func (f *fleet) init(cfg Config) {
	f.budget = newBucket(cfg.CloudRPS * 0.8)
	f.reset()
	f.typesAt = -micros.Never
}

func (f *fleet) reset() {
	f.pages, f.listed, f.order, f.listedAt, f.after, f.listBusy = nil, nil, nil, 0, "", false
	f.missing = map[string]micros.Micros{}
	f.refused = map[kind]*refusal{}
	f.creating = map[string]*creating{}
	f.assigning = map[string]bool{}
	f.rented = map[string]*rented{}
	f.reporters = nil
	f.returning = map[string]bool{}
	f.returned = map[string]micros.Micros{}
	f.asked = map[string]micros.Micros{}
	f.plannedMoves = map[string]plannedMove{}
	f.requests, f.hires = nil, nil
}

func (c *Core) startLeading() {
	for _, cl := range c.fleet.reporters {
		c.answer(cl.in.Reply, 503, nil, 0)
	}
	c.fleet.reset()
	c.fleet.ledAt = c.now
	c.fleet.planNext = c.now
	c.fleet.first = len(c.batches) == 0
	for _, label := range c.cfg.Peers {
		c.peers[label].gone = nil
	}
	c.log(Info, "leading the fleet", "mark", c.own.leader.mark, "machines", len(c.mach))
}

// askCloud sends a request if the budget allows; false if not now.
func (c *Core) askCloud(req any, timeout micros.Micros, done func(Result)) bool {
	b := &c.fleet.budget
	b.fill(c.now)
	if b.level < 1 {
		return false
	}
	b.level--
	c.call(Call{To: ToCloud, Req: req, Timeout: timeout}, done)
	return true
}

const cloudTimeout = 4 * micros.Second

func (c *Core) maintainFleet() {
	c.refreshTypes()
	f := &c.fleet
	if !c.leading() {
		// It may lead again under the same mark: the machines must be free to report
		// again (one stood idle for ever after an outage, found by the simulation).
		for _, cl := range f.reporters {
			delete(f.assigning, cl.in.Report.Machine)
			c.answer(cl.in.Reply, 503, nil, 0)
		}
		f.reporters = nil
		return
	}
	for _, h := range slices.Clone(f.hires) {
		c.sendHire(h)
	}
	c.refreshList()
	c.recordReporters()
	c.maintainCreations()
	if c.now < f.planNext {
		return
	}
	f.planNext = c.now + micros.Second
	demand := c.allDemand()
	c.logRooms()
	if f.listedAt != 0 && len(c.types) > 0 {
		c.assignListed(demand)
	}
	c.collect(demand)
	c.dropGone()
	if f.listedAt != 0 && len(c.types) > 0 {
		c.plan(demand)
	}
	c.sendReleases()
}

// refreshTypes keeps the machine types known: the leader asks the cloud and
// leaves them in the state service for the others, so that a node that starts
// during an outage of the cloud knows them too.
func (c *Core) refreshTypes() {
	f := &c.fleet
	every := 30 * micros.Second
	if len(c.types) == 0 {
		every = micros.Second
		if !c.own.ctl.ready {
			return
		}
	} else if !c.leading() {
		return
	}
	if f.typesBusy || c.now < f.typesAt+every {
		return
	}
	f.typesBusy = c.askCloud(GetTypes{}, cloudTimeout, func(r Result) {
		f.typesBusy = false
		f.typesAt = c.now
		if body, ok := r.Body.(*wire.MachineTypes); ok && r.Status == 200 {
			c.learnTypes(*body, true)
		}
	})
}

// learnTypes takes machine types; ones that make no sense are left out.
func (c *Core) learnTypes(mt wire.MachineTypes, fromCloud bool) {
	types := map[string]wire.MachineType{}
	for _, t := range mt.Types {
		if t.Name == "" || !(t.CPUs >= 0) || !(t.GPUs >= 0) || !(t.MemGB >= 0) || !(t.Price >= 0) || !(t.SpotPrice >= 0) || len(types) >= 1000 {
			continue
		}
		slices.Sort(t.Zones)
		t.Zones = slices.Compact(t.Zones)
		types[t.Name] = t
	}
	if len(types) == 0 || !fromCloud && len(c.types) > 0 && c.leading() {
		return
	}
	c.types = types
	c.index.names = sortedKeys(types)
	c.placementDue = true
	for _, s := range c.own.shares {
		s.recount = true
	}
	if !fromCloud || !c.leading() {
		return
	}
	value, err := wire.Encode(mt)
	if err != nil || string(value) == string(c.fleet.typesRaw) || !c.storable(value) {
		return
	}
	txn := wire.Txn{
		If:   []wire.Condition{{Key: wire.KeyLeader, Version: c.own.leader.mark}, {Key: wire.KeyTypes, Version: c.fleet.typesMark}},
		Then: []wire.Change{{Put: wire.KeyTypes, Value: value}},
	}
	c.askState(classFleet, txn, 2*micros.Second, func(r Result) {
		if r.Status == 200 {
			c.fleet.typesRaw = value
		}
	})
}

// listPageSize is the largest page that the cloud gives.
const listPageSize = 500

// refreshList keeps the cloud's list of machines. A long list is read less often:
// it may take a quarter of the budget, or it would crowd out rentals.
func (c *Core) refreshList() {
	f := &c.fleet
	if f.listBusy || c.now < f.listNext {
		return
	}
	if f.after == "" {
		f.pages, f.listFrom = f.pages[:0], c.now
	}
	mark := c.own.leader.mark
	f.listBusy = c.askCloud(ListMachines{After: f.after, Limit: listPageSize}, cloudTimeout, func(r Result) {
		if c.own.leader.mark != mark {
			return
		}
		f.listBusy = false
		body, ok := r.Body.(*wire.MachineList)
		if !ok || r.Status != 200 {
			f.after, f.listNext = "", c.now+micros.Second
			return
		}
		f.pages = append(f.pages, body.Machines...)
		if body.More && len(body.Machines) > 0 {
			f.after = body.Machines[len(body.Machines)-1].ID
			return
		}
		pages := float64(len(f.pages)/listPageSize + 1)
		f.listed = make(map[string]wire.ListedMachine, len(f.pages))
		f.order = f.order[:0]
		for _, m := range f.pages {
			if _, twice := f.listed[m.ID]; !twice {
				f.order = append(f.order, m.ID)
			}
			f.listed[m.ID] = m
		}
		f.listedAt, f.after = f.listFrom, ""
		f.listNext = c.now + max(c.cfg.ListLag/2, 2*micros.Second, micros.FromSeconds(4*pages/f.budget.rate))
		c.compareList()
	})
}

// compareList notes which machines on record the cloud no longer lists, and
// learns addresses from it.
func (c *Core) compareList() {
	f := &c.fleet
	for _, s := range c.own.shares {
		for _, m := range s.machines {
			if l, ok := f.listed[m.id]; ok {
				delete(f.missing, m.id)
				if m.rec.Addr == "" {
					m.rec.Addr = l.Addr
				}
			} else if f.missing[m.id] == 0 {
				f.missing[m.id] = c.now
			}
		}
	}
	for id := range f.missing {
		if c.mach[id] == nil {
			delete(f.missing, id)
		}
	}
	for id, at := range f.returned {
		if c.now-at > 10*micros.Minute && c.mach[id] == nil {
			delete(f.returned, id)
		}
	}
	for id, at := range f.asked {
		if c.now-at > micros.Minute {
			delete(f.asked, id)
		}
	}
}

// allDemand is the newest demand of every share.
func (c *Core) allDemand() map[int]*peer.Demand {
	out := map[int]*peer.Demand{}
	for _, label := range c.cfg.Peers {
		p := c.peers[label]
		if c.now-p.demAt > 5*micros.Second {
			continue
		}
		for i := range p.demand {
			if s := p.demand[i].Share; s >= 0 && s < len(c.own.shares) && c.own.shares[s].rec.Label == label {
				out[s] = &p.demand[i]
			}
		}
	}
	own := c.demands()
	for i := range own {
		out[own[i].Share] = &own[i]
	}
	return out
}

func shareIDs(demand map[int]*peer.Demand) []int { return slices.Sorted(maps.Keys(demand)) }

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

// plan moves idle machines to where work waits, rents what is missing, and
// returns what is too much.
func (c *Core) plan(demand map[int]*peer.Demand) {
	f := &c.fleet
	if len(demand) < len(c.own.shares) && c.now < f.ledAt+20*micros.Second {
		return // some owner has not spoken yet
	}
	count, booting := len(c.mach), 0.0
	for _, h := range f.hires {
		count += h.req.Count
		booting += float64(h.req.Count) * c.types[h.req.Type].CPUs
	}
	for _, id := range sortedKeys(f.rented) {
		if r := f.rented[id]; c.mach[id] != nil || f.returned[id] != 0 || c.now-r.at > 5*micros.Minute {
			delete(f.rented, id)
		} else if !f.assigning[id] {
			count++
			booting += c.types[r.typ].CPUs
		}
	}
	for _, id := range f.order {
		if l := f.listed[id]; c.mach[id] == nil && f.rented[id] == nil && !f.assigning[id] && f.returned[id] == 0 && l.State != wire.MachineFailed {
			count++
			booting += c.types[l.Type].CPUs
		}
	}
	for _, cr := range f.creating {
		count += len(cr.rec.Machines)
		for _, m := range cr.rec.Machines {
			booting += c.types[cr.rec.Kinds[m.Kind].Type].CPUs
		}
	}
	w := want{}
	busy := 0.0
	var groups []peer.Group
	for _, id := range shareIDs(demand) {
		d := demand[id]
		w.have += d.CPUs
		booting += d.Booting
		for _, m := range d.Machines {
			if rec := c.mach[m.ID]; rec != nil && m.State == peer.MachineDraining && !rec.rec.Retiring {
				w.have += c.types[rec.rec.Type].CPUs
			}
		}
		busy += d.Busy
		w.work += workOf(d)
		w.parallel += d.Busy + waitingCPUs(d)
		w.arrival += d.ArrivalCPUs
		groups = append(groups, d.Groups...)
		c.log(Debug, "share demand", "share", id, "cpus", d.CPUs, "busy", d.Busy, "booting", d.Booting, "waiting", waitingCPUs(d), "work", workOf(d))
	}
	c.log(Debug, "fleet", "have", w.have, "busy", busy, "booting", booting, "work", w.work, "arrival", w.arrival, "parallel", w.parallel)
	w.have += booting
	c.rent(demand, groups, w, c.cfg.MaxMachines-count)
	c.level(demand)
	c.returnIdle(demand, w, count >= c.cfg.MaxMachines)
	c.consolidate(demand, w)
	c.replaceBad(demand)
}

// cpuPrice is the price of a CPU for an hour.
func cpuPrice(mt wire.MachineType, spot bool) float64 {
	if spot {
		return mt.SpotPrice / max(mt.CPUs, 0.01)
	}
	return mt.Price / max(mt.CPUs, 0.01)
}

// hosts tells whether a group's tasks could run on a machine.
func (c *Core) hosts(g peer.Group, typ, zone string, spot bool) bool {
	mt, ok := c.types[typ]
	return ok && (g.Any || slices.Contains(g.Types, typ)) && (g.Zone == "" || g.Zone == zone) && (g.Spot || !spot) &&
		mt.CPUs+eps >= g.CPUs && mt.GPUs+eps >= g.GPUs && mt.MemGB+eps >= g.MemGB
}
