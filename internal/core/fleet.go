package core

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// fleet is the leader's work: renting, returning and homing machines. It
// places no tasks.
type fleet struct {
	budget bucket

	typesAt   micros.Micros
	typesBusy bool
	typesRaw  []byte // as last written

	ledAt     micros.Micros
	listBusy  bool
	listNext  micros.Micros
	listFrom  micros.Micros // when the listing under way began
	pages     map[string]wire.ListedMachine
	after     string
	listed    map[string]wire.ListedMachine
	listedAt  micros.Micros // when the last whole listing began; 0: none yet
	missing   map[string]micros.Micros
	rented    map[string]*rented
	hires     uint64
	hire      *hire
	refused   map[kind]*refusal
	homing    map[string]bool
	returning map[string]bool
	returned  map[string]micros.Micros // the cloud has confirmed it
	asked     map[string]micros.Micros // releases asked for
	goingTo   map[string]going
	planNext  micros.Micros
}

// kind is what capacity is counted by.
type kind struct {
	typ, zone string
	spot      bool
}

type rented struct {
	kind
	at micros.Micros
}

// hire is a rental under way. It is sent again, under the same name, until the
// cloud has answered: it may have been carried out.
type hire struct {
	req    wire.Rental
	next   micros.Micros
	busy   bool
	leader uint64
}

type refusal struct {
	until, pause micros.Micros
}

func (f *fleet) init(cfg Config) {
	f.budget = newBucket(cfg.CloudRPS * 0.8)
	f.reset()
	f.typesAt = -micros.Never
}

func (f *fleet) reset() {
	f.pages, f.listed, f.listedAt, f.after, f.listBusy = nil, nil, 0, "", false
	f.missing = map[string]micros.Micros{}
	f.rented = map[string]*rented{}
	f.refused = map[kind]*refusal{}
	f.homing = map[string]bool{}
	f.returning = map[string]bool{}
	f.returned = map[string]micros.Micros{}
	f.asked = map[string]micros.Micros{}
	f.goingTo = map[string]going{}
	f.hire = nil
}

func (c *Core) startLeading() {
	c.fleet.reset()
	c.fleet.ledAt = c.now
	c.fleet.planNext = c.now
	c.log(Info, "leading the fleet", "mark", c.own.leader.mark)
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

func (c *Core) houseFleet() {
	c.houseTypes()
	if !c.leading() {
		return
	}
	c.houseList()
	f := &c.fleet
	if f.hire != nil {
		c.sendHire()
	}
	if c.now < f.planNext {
		return
	}
	f.planNext = c.now + micros.Second
	demand := c.allDemand()
	c.collect(demand)
	if f.listedAt != 0 && len(c.types) > 0 {
		c.plan(demand)
	}
}

// houseTypes keeps the machine types known: the leader asks the cloud and
// leaves them in the state service for the others, so that a node that starts
// during an outage of the cloud knows them too.
func (c *Core) houseTypes() {
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
	c.dirty = true
	if !fromCloud || !c.leading() {
		return
	}
	value, err := wire.Encode(mt)
	if err != nil || string(value) == string(c.fleet.typesRaw) || len(value) > c.cfg.ValueBytes {
		return
	}
	txn := wire.Txn{
		If:   []wire.Condition{{Key: wire.KeyLeader, Version: c.own.leader.mark}},
		Then: []wire.Change{{Put: wire.KeyTypes, Value: value}},
	}
	c.askState(prioFleet, txn, 2*micros.Second, func(r Result) {
		if r.Status == 200 {
			c.fleet.typesRaw = value
		}
	})
}

// houseList keeps the cloud's list of machines.
func (c *Core) houseList() {
	f := &c.fleet
	if f.listBusy || c.now < f.listNext {
		return
	}
	if f.after == "" {
		f.pages, f.listFrom = map[string]wire.ListedMachine{}, c.now
	}
	mark := c.own.leader.mark
	f.listBusy = c.askCloud(ListMachines{After: f.after, Limit: 500}, cloudTimeout, func(r Result) {
		if c.own.leader.mark != mark {
			return
		}
		f.listBusy = false
		body, ok := r.Body.(*wire.MachineList)
		if !ok || r.Status != 200 {
			f.after, f.listNext = "", c.now+micros.Second
			return
		}
		for _, m := range body.Machines {
			f.pages[m.ID] = m
			f.after = m.ID
		}
		if body.More && len(body.Machines) > 0 {
			return
		}
		f.listed, f.listedAt, f.after, f.pages = f.pages, f.listFrom, "", nil
		f.listNext = c.now + max(c.cfg.ListLag/2, 2*micros.Second)
		c.compareList()
	})
}

// compareList notes which machines on record the cloud no longer lists.
func (c *Core) compareList() {
	f := &c.fleet
	for _, id := range sortedKeys(c.mach) {
		if _, ok := f.listed[id]; ok {
			delete(f.missing, id)
		} else if f.missing[id] == 0 {
			f.missing[id] = c.now
		}
	}
	for id := range f.missing {
		if c.mach[id] == nil {
			delete(f.missing, id)
		}
	}
	for id, at := range f.returned {
		if c.now-at > 10*micros.Minute {
			delete(f.returned, id)
		}
	}
}

// unknownMachine deals with the report of a machine without a record: the
// leader gives it a home first.
func (c *Core) unknownMachine(in Checkin) {
	rep := &in.Report
	f := &c.fleet
	if !c.leading() {
		c.redirect(in.Reply, &c.own.leader)
		return
	}
	if _, over := f.returned[rep.Machine]; over || f.homing[rep.Machine] || f.returning[rep.Machine] ||
		len(c.types) == 0 || !wire.UsableKey(wire.MachineKey(rep.Machine)) || !c.own.ctl.ready {
		c.answer(in.Reply, 503, nil, 0)
		return
	}
	s := c.homeFor(rep.Type)
	if s == nil {
		c.answer(in.Reply, 503, nil, 0)
		return
	}
	rec := wire.MachineRecord{Share: s.id, Addr: rep.Addr, Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot}
	value, err := wire.Encode(rec)
	if err != nil {
		c.answer(in.Reply, 503, nil, 0)
		return
	}
	f.homing[rep.Machine] = true
	txn := wire.Txn{
		If:   []wire.Condition{{Key: wire.MachineKey(rep.Machine), Version: 0}, {Key: wire.KeyLeader, Version: c.own.leader.mark}},
		Then: []wire.Change{{Put: wire.MachineKey(rep.Machine), Value: value}},
	}
	c.askState(prioFleet, txn, 1500*micros.Millisecond, func(r Result) {
		delete(f.homing, rep.Machine)
		body, ok := r.Body.(*wire.Revision)
		if !ok || r.Status != 200 {
			c.answer(in.Reply, 503, nil, 0)
			return
		}
		c.log(Info, "machine homed", "machine", rep.Machine, "share", s.id, "type", rep.Type, "zone", rep.Zone, "spot", rep.Spot)
		c.setMachine(rep.Machine, rec, body.Revision)
		c.checkin(in)
	})
}

// homeFor chooses the share for a new machine: the one that lacks most of its
// part of the fleet.
func (c *Core) homeFor(typ string) *share {
	demand := c.allDemand()
	has, total := map[int]float64{}, c.types[typ].CPUs
	for _, m := range c.mach {
		if !m.rec.Retiring {
			cpus := c.types[m.rec.Type].CPUs
			has[m.rec.Share] += cpus
			total += cpus
		}
	}
	for _, s := range c.own.shares {
		if demand[s.id] == nil {
			demand[s.id] = &peer.Demand{Share: s.id}
		}
	}
	part := c.parts(demand, total)
	var best *share
	bestGap := math.Inf(-1)
	for _, s := range c.own.shares {
		// Where nothing waits, the share with least comes first.
		gap := part[s.id] - has[s.id]
		if gap > bestGap+eps {
			best, bestGap = s, gap
		}
	}
	return best
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

// demands tells what the shares of this node want.
func (c *Core) demands() []peer.Demand {
	var out []peer.Demand
	for _, s := range c.own.shares {
		if c.acting(s.id) == nil {
			continue
		}
		d := peer.Demand{Share: s.id, ArrivalCPUs: s.arrivals.rate(c.now)}
		for j := range c.withinGuarantee(s) {
			if j.run != nil {
				d.Guarantee += float64(j.sub.Tasks-j.run.count) * j.sub.CPUs
			}
		}
		rooms, used := c.rooms(s)
		for _, r := range rooms {
			v, mt := r.m.v, c.types[r.m.rec.Type]
			row := peer.Machine{ID: r.m.id, State: peer.MachineBusy}
			silent := c.now - max(v.heard, v.since)
			switch {
			case v.gone || silent > c.silence()+c.cfg.ReportEvery:
				row.State, row.SinceUS = peer.MachineSilent, int64(silent)
			case v.sick && c.now < v.asideUntil || v.takenAt != 0 || c.slowness(r.m) > 0.4 && v.slowN > 3:
				row.State = peer.MachineBad
			case v.leaving || c.now < v.goingTo:
				row.State = peer.MachineGoing
			case v.settled && v.empty():
				row.State, row.SinceUS = peer.MachineIdle, int64(c.now-v.idleAt)
			}
			if row.State == peer.MachineIdle || row.State == peer.MachineBusy {
				d.CPUs += mt.CPUs
				d.Busy += mt.CPUs - max(r.cpus, 0)
			}
			row.Busy, row.Saves = mt.CPUs-max(r.cpus, 0), true
			for _, sl := range v.slots {
				if sl.job != nil && sl.state != slotExited {
					if !sl.owned || sl.job.sub.CheckpointS <= 0 || sl.state != slotRunning {
						row.Saves = false
					}
					left := c.runs.expect(sl.job.sub)
					if sl.runAt > 0 {
						left = max(left-(c.now-sl.runAt), left/10)
					}
					row.LeftUS = max(row.LeftUS, int64(left))
					d.RunLeftUS += int64(float64(left) * sl.job.sub.CPUs)
				}
			}
			d.Machines = append(d.Machines, row)
		}
		d.Groups = c.groups(s, used)
		out = append(out, d)
	}
	return out
}

// groups gathers a share's waiting tasks by what they need. A team's tasks
// beyond its limit are not counted: machines would not help them.
func (c *Core) groups(s *share, used []usage) []peer.Group {
	type key struct {
		zone, types string
		spot        bool
		cpus, gpus  float64
		prio        int
	}
	at := map[key]int{}
	var out []peer.Group
	rooms := make([]float64, len(used))
	for i, t := range c.cfg.Teams {
		rooms[i] = math.Inf(1)
		if t.CPUsMax > 0 {
			rooms[i] = t.CPUsMax - used[i].cpus
		}
	}
	for _, id := range sortedKeys(c.jobs.open) {
		j := c.jobs.open[id]
		if j.share != s.id || j.run == nil || !j.run.ready || j.run.want != "" || j.run.probeAt != 0 {
			continue
		}
		n := j.pending()
		if n <= 0 {
			continue
		}
		fit := n
		if j.sub.CPUs > 0 {
			if room := rooms[j.team] / j.sub.CPUs; room < float64(n) {
				fit = max(int(room), 0)
			}
			rooms[j.team] -= float64(fit) * j.sub.CPUs
		}
		k := key{zone: j.sub.Zone, types: fmt.Sprint(j.sub.Types), spot: j.sub.Spot, cpus: j.sub.CPUs, gpus: j.sub.GPUs, prio: j.priority}
		i, ok := at[k]
		if !ok {
			if len(out) >= 32 {
				continue
			}
			i = len(out)
			at[k] = i
			out = append(out, peer.Group{Types: j.sub.Types, Any: j.sub.Types == nil, Zone: j.sub.Zone, Spot: j.sub.Spot,
				CPUs: j.sub.CPUs, GPUs: j.sub.GPUs, MemGB: j.sub.MemGB, Priority: j.priority})
		}
		out[i].Waiting += fit
		out[i].WorkUS += int64(n) * int64(c.runs.expect(j.sub))
		out[i].MemGB = max(out[i].MemGB, j.sub.MemGB)
	}
	return out
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

// collect returns machines that are of no use any more.
func (c *Core) collect(demand map[int]*peer.Demand) {
	f := &c.fleet
	var back []string
	for _, id := range sortedKeys(c.mach) {
		m := c.mach[id]
		l, ok := f.listed[id]
		switch {
		case f.returned[id] != 0:
			c.deleteRecord(m)
		case m.rec.Retiring:
			back = append(back, id)
		case ok && l.State == wire.MachineFailed:
			back = append(back, id)
		case !ok && f.listedAt != 0 && f.missing[id] != 0 && c.now-f.missing[id] > 2*c.cfg.ListLag+micros.Second && silentSays(demand, id):
			back = append(back, id)
		}
	}
	for _, id := range sortedKeys(f.listed) {
		l := f.listed[id]
		if c.mach[id] != nil || f.returned[id] != 0 {
			continue
		}
		boot := micros.FromSeconds(c.types[l.Type].BootS)
		age := micros.FromSeconds(l.AgeS) + (c.now - f.listedAt)
		switch {
		case l.State == wire.MachineFailed:
			back = append(back, id)
		case l.State == wire.MachineBooting && age > max(4*boot, boot+45*micros.Second):
			c.log(Info, "machine does not come up, returned", "machine", id)
			back = append(back, id)
		}
	}
	c.returnMachines(back)
}

// silentSays: the share's owner has not heard the machine for a while.
func silentSays(demand map[int]*peer.Demand, id string) bool {
	for _, d := range demand {
		for _, m := range d.Machines {
			if m.ID == id && m.State == peer.MachineSilent {
				return true
			}
		}
	}
	return false
}

func (c *Core) returnMachines(ids []string) {
	f := &c.fleet
	var send []string
	for _, id := range ids {
		if !f.returning[id] && f.returned[id] == 0 && len(send) < 100 {
			send = append(send, id)
		}
	}
	if len(send) == 0 {
		return
	}
	mark := c.own.leader.mark
	sent := c.askCloud(ReturnMachines{Machines: send}, cloudTimeout, func(r Result) {
		if c.own.leader.mark != mark {
			return
		}
		for _, id := range send {
			delete(f.returning, id)
			if r.Status != 200 {
				continue
			}
			f.returned[id] = c.now
			delete(f.rented, id)
			if m := c.mach[id]; m != nil {
				c.deleteRecord(m)
			}
		}
	})
	if sent {
		c.log(Info, "returning machines", "machines", send)
		for _, id := range send {
			f.returning[id] = true
		}
	}
}

// deleteRecord takes a machine off the record once the cloud has confirmed
// that it is gone.
func (c *Core) deleteRecord(m *machine) {
	if !c.leading() {
		return
	}
	txn := wire.Txn{
		If:   []wire.Condition{{Key: wire.MachineKey(m.id), Version: m.mark}, {Key: wire.KeyLeader, Version: c.own.leader.mark}},
		Then: []wire.Change{{Delete: wire.MachineKey(m.id)}},
	}
	c.askState(prioFleet, txn, 1500*micros.Millisecond, func(r Result) {
		if body, ok := r.Body.(*wire.Revision); ok && r.Status == 200 && c.mach[m.id] == m {
			c.applyDelete(wire.MachineKey(m.id), body.Revision)
		}
	})
}

// plan moves idle machines to where work waits, rents what is missing, and
// returns what is too much.
func (c *Core) plan(demand map[int]*peer.Demand) {
	f := &c.fleet
	if len(demand) < len(c.own.shares) && c.now < f.ledAt+20*micros.Second {
		return // some owner has not spoken yet
	}
	have, booting := 0.0, 0.0
	for _, id := range sortedKeys(f.rented) {
		if c.mach[id] != nil || c.now-f.rented[id].at > 5*micros.Minute {
			delete(f.rented, id)
		}
	}
	count := len(c.mach)
	seen := map[string]bool{}
	for id, r := range f.rented {
		seen[id] = true
		booting += c.types[r.typ].CPUs
		count++
	}
	for id, l := range f.listed {
		if c.mach[id] == nil && !seen[id] && f.returned[id] == 0 && l.State != wire.MachineFailed {
			booting += c.types[l.Type].CPUs
			count++
		}
	}
	w := want{}
	busy := 0.0
	var groups []peer.Group
	for _, d := range demand {
		have += d.CPUs
		for _, m := range d.Machines {
			if rec := c.mach[m.ID]; rec != nil && m.State == peer.MachineGoing {
				have += c.types[rec.rec.Type].CPUs
			}
		}
		busy += d.Busy
		w.work += workOf(d)
		w.parallel += d.Busy + waitingCPUs(d)
		w.arrival += d.ArrivalCPUs
		groups = append(groups, d.Groups...)
	}
	w.have = have + booting
	if c.fleet.hire == nil && count < c.cfg.MaxMachines {
		c.rent(groups, w, c.cfg.MaxMachines-count)
	}
	for _, s := range c.own.shares {
		if d := demand[s.id]; d != nil {
			c.log(Debug, "share demand", "share", s.id, "cpus", d.CPUs, "busy", d.Busy, "waiting", waitingCPUs(d), "work", workOf(d))
		}
	}
	c.log(Debug, "fleet", "have", have, "busy", busy, "booting", booting, "work", w.work, "arrival", w.arrival, "parallel", w.parallel)
	c.level(demand)
	c.returnIdle(demand, w, count >= c.cfg.MaxMachines)
	c.consolidate(demand, w)
	c.replaceBad(demand)
}

// want sums up what the shares want and have, in CPUs and CPU seconds.
type want struct{ work, arrival, parallel, have float64 }

// need is how many CPUs are worth having at a price that is ratio times the
// lowest: the dearer a machine, the longer the work would have to wait without it.
func (c *Core) need(w want, ratio float64) float64 {
	return min(max(w.work/(c.cfg.DrainHorizon.Seconds()*ratio), w.arrival/ratio), w.parallel)
}

// price of a CPU for an hour.
func cpuPrice(mt wire.MachineType, spot bool) float64 {
	if spot {
		return mt.SpotPrice / max(mt.CPUs, 0.01)
	}
	return mt.Price / max(mt.CPUs, 0.01)
}

// lowestPrice of a CPU over all types and kinds.
func (c *Core) lowestPrice() float64 {
	lowest := math.Inf(1)
	for _, mt := range c.types {
		for _, spot := range []bool{true, false} {
			if p := cpuPrice(mt, spot); p > 0 {
				lowest = min(lowest, p)
			}
		}
	}
	return lowest
}

// hosts tells whether a group's tasks could run on a machine.
func (c *Core) hosts(g peer.Group, typ, zone string, spot bool) bool {
	mt, ok := c.types[typ]
	return ok && (g.Any || slices.Contains(g.Types, typ)) && (g.Zone == "" || g.Zone == zone) && (g.Spot || !spot) &&
		mt.CPUs+eps >= g.CPUs && mt.GPUs+eps >= g.GPUs && mt.MemGB+eps >= g.MemGB
}

// homeless tells whether no machine of the fleet, up or on its way, could run
// a group's tasks.
func (c *Core) homeless(g peer.Group) bool {
	for _, m := range c.mach {
		if !m.rec.Retiring && c.hosts(g, m.rec.Type, m.rec.Zone, m.rec.Spot) {
			return false
		}
	}
	for _, r := range c.fleet.rented {
		if c.hosts(g, r.typ, r.zone, r.spot) {
			return false
		}
	}
	return true
}

// rent orders the cheapest machines that the waiting work can use, as long as
// there are fewer than are worth their price.
func (c *Core) rent(groups []peer.Group, w want, most int) {
	f := &c.fleet
	// The largest waiting work decides what is rented.
	slices.SortStableFunc(groups, func(a, b peer.Group) int {
		return cmp.Compare(float64(b.WorkUS)*b.CPUs, float64(a.WorkUS)*a.CPUs)
	})
	type option struct {
		kind
		price, unit, cpus float64
	}
	lowest := c.lowestPrice()
	inZone := map[string]int{}
	for _, m := range c.mach {
		inZone[m.rec.Zone]++
	}
	for _, g := range groups {
		if g.Waiting == 0 {
			continue
		}
		homeless := c.homeless(g)
		lack := w.parallel - w.have
		if homeless {
			lack = max(lack, min(float64(g.Waiting)*g.CPUs, micros.Micros(g.WorkUS).Seconds()*g.CPUs/c.cfg.DrainHorizon.Seconds()), g.CPUs)
		}
		if lack <= 0 {
			continue
		}
		var options []option
		for _, name := range c.index.names {
			mt := c.types[name]
			for _, zone := range mt.Zones {
				for _, spot := range []bool{true, false} {
					k := kind{typ: name, zone: zone, spot: spot}
					if mt.CPUs <= 0 || !c.hosts(g, name, zone, spot) || f.refused[k] != nil && c.now < f.refused[k].until {
						continue
					}
					unit := cpuPrice(mt, spot)
					// What would stand unused is paid as well.
					options = append(options, option{kind: k, unit: unit, price: unit * mt.CPUs / min(mt.CPUs, max(lack, g.CPUs)), cpus: mt.CPUs})
				}
			}
		}
		slices.SortStableFunc(options, func(a, b option) int {
			return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(inZone[a.zone], inZone[b.zone]))
		})
		for _, o := range options {
			deficit := c.need(w, max(o.unit/lowest, 1)) - w.have
			if homeless {
				deficit = max(deficit, lack)
			}
			if deficit < 0.5 {
				continue
			}
			n := max(1, min(int(math.Ceil(deficit/o.cpus-0.25)), 50, most))
			f.hires++
			f.hire = &hire{leader: c.own.leader.mark, req: wire.Rental{
				Request: fmt.Sprintf("r-%d-%d", c.own.leader.mark, f.hires),
				Type:    o.typ, Zone: o.zone, Spot: o.spot, Count: n,
			}}
			c.sendHire()
			return
		}
	}
}

func (c *Core) sendHire() {
	f := &c.fleet
	h := f.hire
	if h.busy || c.now < h.next {
		return
	}
	h.busy = c.askCloud(h.req, cloudTimeout, func(r Result) {
		if f.hire != h {
			return
		}
		h.busy = false
		k := kind{typ: h.req.Type, zone: h.req.Zone, spot: h.req.Spot}
		body, ok := r.Body.(*wire.MachineNames)
		switch {
		case ok && r.Status == 200:
			f.hire = nil
			for _, id := range body.Machines {
				f.rented[id] = &rented{kind: k, at: c.now}
			}
			c.log(Info, "machines rented", "type", k.typ, "zone", k.zone, "spot", k.spot, "wanted", h.req.Count, "got", len(body.Machines))
			if len(body.Machines) < h.req.Count {
				c.refuse(k)
			} else {
				delete(f.refused, k)
			}
			f.planNext = c.now
		case r.Status == 503 && r.Body == noCapacity:
			f.hire = nil
			c.refuse(k)
			f.planNext = c.now
		case r.Status == 400:
			f.hire = nil
			c.refuse(k)
			c.log(Error, "rental request called malformed", "request", h.req.Request)
		default:
			h.next = c.now + c.jitter(2*micros.Second)
		}
	})
}

// noCapacity is the body by which a runtime tells the cloud's "no capacity"
// from an outage.
const noCapacity = NoCapacity("no capacity")

// NoCapacity is the Result body of a refused rental.
type NoCapacity string

// RefusedRental is the Body to give with a 503 that says "no capacity".
const RefusedRental = noCapacity

func (c *Core) refuse(k kind) {
	r := c.fleet.refused[k]
	if r == nil {
		r = &refusal{}
		c.fleet.refused[k] = r
	}
	r.pause = min(max(2*r.pause, 8*micros.Second), 40*micros.Second)
	r.until = c.now + c.jitter(r.pause)
	c.log(Debug, "no more machines of a kind for now", "type", k.typ, "zone", k.zone, "spot", k.spot)
}

// going is a machine on its way to another share, or out.
type going struct {
	share  int
	retire bool
	until  micros.Micros
}

// askRelease asks a machine's owner to let it go.
func (c *Core) askRelease(r peer.Release) {
	f := &c.fleet
	m := c.mach[r.Machine]
	if m == nil || f.asked[r.Machine] != 0 && c.now < f.asked[r.Machine]+2*micros.Second {
		return
	}
	f.asked[r.Machine] = c.now
	if r.Retire {
		r.Share = m.rec.Share
	}
	s := c.own.shares[m.rec.Share]
	if c.acting(s.id) != nil {
		c.release(r)
		return
	}
	if p := c.peers[s.rec.Label]; p != nil {
		c.call(Call{To: ToPeer, Addr: p.label, Req: peer.Request{From: c.cfg.Label, Release: &r}, Timeout: micros.Second}, func(Result) {})
	}
}

// level moves machines to the shares whose queues wait: idle ones at once, busy
// ones as they empty, where a share has more than its part of the fleet.
func (c *Core) level(demand map[int]*peer.Demand) {
	total := 0.0
	for _, d := range demand {
		total += d.CPUs
	}
	part := c.parts(demand, total)
	has := map[int]float64{}
	lack := map[int]float64{}
	for id, d := range demand {
		has[id] = d.CPUs
		lack[id] = max(0, waitingCPUs(d)-(d.CPUs-d.Busy))
	}
	type row struct {
		peer.Machine
		from int
		cpus float64
	}
	var rows []row
	leaving := 0
	for _, id := range shareIDs(demand) {
		for _, m := range demand[id].Machines {
			rec := c.mach[m.ID]
			if rec == nil {
				continue
			}
			cpus := c.types[rec.rec.Type].CPUs
			switch {
			case m.State == peer.MachineGoing:
				// On its way out already: it counts where it goes.
				to, ok := c.fleet.goingTo[m.ID]
				switch {
				case !ok || c.now >= to.until:
				case !to.retire && waitingCPUs(demand[id]) > 0 && has[id] < part[id]:
					delete(c.fleet.goingTo, m.ID) // its share needs it again
				case to.retire:
					c.askRelease(peer.Release{Machine: m.ID, Retire: true, Drain: true})
				default:
					leaving++
					has[to.share] += cpus
					lack[to.share] = max(0, lack[to.share]-cpus)
					c.askRelease(peer.Release{Machine: m.ID, Share: to.share, Drain: true})
				}
			case m.State == peer.MachineIdle || m.State == peer.MachineBusy:
				rows = append(rows, row{m, id, cpus})
			}
		}
	}
	slices.SortStableFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.LeftUS, b.LeftUS), cmp.Compare(a.ID, b.ID))
	})
	// Where nothing waits, what is free may be drained without loss.
	spare := map[int]float64{}
	for id, d := range demand {
		if waitingCPUs(d) == 0 {
			spare[id] = (d.CPUs - d.Busy) - d.CPUs/20
		}
	}
	for _, r := range rows {
		idle := r.State == peer.MachineIdle
		unused := r.cpus - r.Busy
		to, most := -1, 0.5
		for _, id := range shareIDs(demand) {
			if id == r.from || !c.useful(demand[id], c.mach[r.ID]) {
				continue
			}
			gap := part[id] - has[id]
			if idle {
				gap = max(gap, 0) + 0.01 // any queue is better than none
			}
			if v := min(lack[id], gap); v > most || idle && lack[id] > 0.5 && to < 0 {
				to, most = id, v
			}
		}
		own := demand[r.from]
		switch {
		case to < 0:
			continue
		case idle && waitingCPUs(own) > 0 && c.useful(own, c.mach[r.ID]):
			continue // its own share is about to use it
		case !idle && (most < r.cpus/2 || has[r.from]-part[r.from] < r.cpus/2):
			continue
		case !idle && spare[r.from] >= unused && unused > 0:
			spare[r.from] -= unused
		case !idle && (r.LeftUS > int64(15*micros.Second) || leaving >= 2):
			continue // a machine that empties slowly stands half used meanwhile
		case !idle:
			leaving++
		}
		has[r.from] -= r.cpus
		has[to] += r.cpus
		lack[to] -= r.cpus
		if !idle {
			c.fleet.goingTo[r.ID] = going{share: to, until: c.now + 45*micros.Second}
		}
		c.askRelease(peer.Release{Machine: r.ID, Share: to, Drain: !idle})
	}
}

// useful tells whether a share's waiting tasks could use a machine.
func (c *Core) useful(d *peer.Demand, m *machine) bool {
	for _, g := range d.Groups {
		if g.Waiting > 0 && c.hosts(g, m.rec.Type, m.rec.Zone, m.rec.Spot) {
			return true
		}
	}
	return false
}

// parts says how many of total CPUs each share should have: first what its
// jobs within a guarantee can use, then by the work that is left.
func (c *Core) parts(demand map[int]*peer.Demand, total float64) map[int]float64 {
	part, can := map[int]float64{}, map[int]float64{}
	for id, d := range demand {
		can[id] = d.Busy + waitingCPUs(d)
	}
	give := func(weight func(int) float64, limit func(int) float64) {
		for range 4 { // what one can't use goes to the others
			sum := 0.0
			for _, id := range shareIDs(demand) {
				if part[id] < limit(id)-eps {
					sum += weight(id)
				}
			}
			if sum <= 0 || total <= eps {
				return
			}
			left := total
			for _, id := range shareIDs(demand) {
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

// returnIdle returns machines that idle, the dearest first, as long as there is
// more than is needed. pressed: the fleet may not grow, so that an idle machine
// of no use keeps out one that is of use.
func (c *Core) returnIdle(demand map[int]*peer.Demand, w want, pressed bool) {
	type idle struct {
		id          string
		cpus, price float64
		since       micros.Micros
	}
	var list []idle
	for _, d := range demand {
		for _, m := range d.Machines {
			rec := c.mach[m.ID]
			if m.State != peer.MachineIdle || rec == nil {
				continue
			}
			mt := c.types[rec.rec.Type]
			list = append(list, idle{m.ID, mt.CPUs, cpuPrice(mt, rec.rec.Spot), micros.Micros(m.SinceUS)})
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
		if surplus >= i.cpus && i.since >= keep || pressed && i.since >= 5*micros.Second {
			w.have -= i.cpus
			c.askRelease(peer.Release{Machine: i.id, Retire: true})
		}
	}
}

// consolidate empties one machine of a share where nothing waits, if all of its
// tasks can save and go on in the room that the share's other machines have, and
// if they would otherwise keep a mostly unused machine for long.
func (c *Core) consolidate(demand map[int]*peer.Demand, w want) {
	needed := max(w.parallel, c.reserve(w))
	for _, id := range shareIDs(demand) {
		d := demand[id]
		if waitingCPUs(d) > 0 {
			continue
		}
		var best *peer.Machine
		most := 0.0
		for i := range d.Machines {
			m := &d.Machines[i]
			rec := c.mach[m.ID]
			if rec == nil {
				continue
			}
			mt := c.types[rec.rec.Type]
			if m.State == peer.MachineGoing {
				best = nil
				break // one at a time
			}
			if m.State != peer.MachineBusy || !m.Saves || m.LeftUS < int64(30*micros.Second) || 2*m.Busy > mt.CPUs ||
				w.have-mt.CPUs < needed || d.CPUs-d.Busy-(mt.CPUs-m.Busy) < m.Busy {
				continue
			}
			if gain := (mt.CPUs - m.Busy) * micros.Micros(m.LeftUS).Seconds(); gain > most {
				best, most = m, gain
			}
		}
		if best != nil && most > 200 {
			c.log(Info, "emptying a mostly unused machine", "machine", best.ID, "share", id, "busy", best.Busy)
			c.fleet.goingTo[best.ID] = going{retire: true, until: c.now + 30*micros.Second}
			c.askRelease(peer.Release{Machine: best.ID, Retire: true, Drain: true, Save: true})
		}
	}
}

// reserve is how many CPUs are kept although nothing waits. Where tasks are
// wanted started sooner than a machine boots, that is what arrives while one
// would boot; elsewhere nothing.
func (c *Core) reserve(w want) float64 {
	boot := micros.Micros(0)
	for _, mt := range c.types {
		boot = max(boot, micros.FromSeconds(mt.BootS))
	}
	for _, within := range c.cfg.Urgent {
		if within < boot/2 {
			return max(w.arrival, w.parallel)
		}
	}
	return 0
}

// replaceBad retires machines that fail or slow tasks once they are empty, and
// silent ones if the operators want that.
func (c *Core) replaceBad(demand map[int]*peer.Demand) {
	var silent []string
	for _, id := range shareIDs(demand) {
		d := demand[id]
		quiet := 0
		for _, m := range d.Machines {
			if m.State == peer.MachineSilent {
				quiet++
			}
		}
		total := 0
		for _, m := range c.mach {
			if m.rec.Share == id {
				total++
			}
		}
		for _, m := range d.Machines {
			switch {
			case m.State == peer.MachineBad:
				c.askRelease(peer.Release{Machine: m.ID, Retire: true})
			case m.State == peer.MachineSilent && c.cfg.SilentReturn > 0 && micros.Micros(m.SinceUS) > c.cfg.SilentReturn && 2*quiet <= total:
				// If most are silent, the fault is rather the owner's network.
				silent = append(silent, m.ID)
			}
		}
	}
	c.returnMachines(silent)
}

func shareIDs(demand map[int]*peer.Demand) []int { return slices.Sorted(maps.Keys(demand)) }
