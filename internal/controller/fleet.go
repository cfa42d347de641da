package controller

import (
	"maps"
	"net/http"
	"slices"

	"garnethitch/internal/controller/ratelimit"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// fleet is the leader's work: renting, returning and assigning machines. It
// places no tasks. This file keeps what the leader knows; what to rent, assign
// and move is decided in rent.go, assignment.go and level.go.
type fleet struct {
	budget ratelimit.Bucket

	typesAt          micros.Micros
	typesBusy        bool
	typesRaw         []byte // as last written
	typesModRevision uint64 // of the record's key, as the watch has it

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

	scaleOutSequence uint64
	scaleOuts        []*scaleOutRequest
	refused          map[kind]*refusal

	rented             map[string]*rented            // rented by this leader, and not on record yet
	pendingCreations   map[string]*recordSetCreation // record sets being recorded, by key
	assigning          map[string]bool               // machines in them, or about to be
	registrations      []registration                // machines without a record that have reported
	registrationsDueAt micros.Micros                 // when they are recorded

	returning          map[string]bool
	returned           map[string]micros.Micros // the cloud has confirmed it
	releaseRequestedAt map[string]micros.Micros // releases asked for
	releaseRequests    []releaseRequest
	plannedMoves       map[string]plannedMove
	planNext           micros.Micros
}

// kind is what capacity is counted by.
type kind struct {
	typ, zone string
	spot      bool
}

func (f *fleet) init(cfg Config) {
	f.budget = ratelimit.NewBucket(cfg.CloudRPS * 0.8)
	f.reset()
	f.typesAt = -micros.Never
}

func (f *fleet) reset() {
	f.pages, f.listed, f.order, f.listedAt, f.after, f.listBusy = nil, nil, nil, 0, "", false
	f.missing = map[string]micros.Micros{}
	f.refused = map[kind]*refusal{}
	f.pendingCreations = map[string]*recordSetCreation{}
	f.assigning = map[string]bool{}
	f.rented = map[string]*rented{}
	f.registrations = nil
	f.returning = map[string]bool{}
	f.returned = map[string]micros.Micros{}
	f.releaseRequestedAt = map[string]micros.Micros{}
	f.plannedMoves = map[string]plannedMove{}
	f.releaseRequests, f.scaleOuts = nil, nil
}

func (c *Controller) startLeading() {
	for _, cl := range c.fleet.registrations {
		c.answer(cl.in.Reply, http.StatusServiceUnavailable, nil, 0)
	}
	c.fleet.reset()
	c.fleet.ledAt = c.now
	c.fleet.planNext = c.now
	c.fleet.first = len(c.machineRecords.sets) == 0
	for _, label := range c.cfg.Peers {
		c.peers[label].returnedMachines = nil
	}
	c.log(Info, "leader lock acquired", "epoch", c.ownership.leader.ownerEpoch, "machines", len(c.machines))
}

// askCloud sends a request if the budget allows; false if not now.
func (c *Controller) askCloud(req any, timeout micros.Micros, done func(Result)) bool {
	b := &c.fleet.budget
	b.Refill(c.now)
	if b.Tokens() < 1 {
		return false
	}
	b.Take(1)
	c.call(Call{To: ToCloud, Req: req, Timeout: timeout}, done)
	return true
}

const cloudTimeout = 4 * micros.Second

func (c *Controller) maintainFleet() {
	c.refreshTypes()
	f := &c.fleet
	if !c.leading() {
		// It may lead again under the same mark: the machines must be free to report
		// again (one stood idle for ever after an outage, found by the simulation).
		for _, cl := range f.registrations {
			delete(f.assigning, cl.in.Heartbeat.Machine)
			c.answer(cl.in.Reply, http.StatusServiceUnavailable, nil, 0)
		}
		f.registrations = nil
		return
	}
	for _, h := range slices.Clone(f.scaleOuts) {
		c.sendScaleOut(h)
	}
	c.refreshList()
	c.recordRegistrations()
	c.maintainCreations()
	if c.now < f.planNext {
		return
	}
	f.planNext = c.now + micros.Second
	demand := c.allDemand()
	c.logFreeCapacities()
	if f.listedAt != 0 && len(c.types) > 0 {
		c.assignListed(demand)
	}
	c.scaleInUnusable(demand)
	c.dropGone()
	if f.listedAt != 0 && len(c.types) > 0 {
		c.plan(demand)
	}
	c.sendReleases()
}

// listPageSize is the largest page that the cloud gives.
const listPageSize = 500

// allDemand is the newest demand of every shard.
func (c *Controller) allDemand() map[int]*peer.Demand {
	out := map[int]*peer.Demand{}
	for _, label := range c.cfg.Peers {
		p := c.peers[label]
		if c.now-p.demandAt > 5*micros.Second {
			continue
		}
		for i := range p.demand {
			if s := p.demand[i].Shard; s >= 0 && s < len(c.ownership.shards) && c.ownership.shards[s].owner.Label == label {
				out[s] = &p.demand[i]
			}
		}
	}
	own := c.demands()
	for i := range own {
		out[own[i].Shard] = &own[i]
	}
	return out
}

func shardIDs(demand map[int]*peer.Demand) []int { return slices.Sorted(maps.Keys(demand)) }

// plan moves idle machines to where work waits, rents what is missing, and
// returns what is too much.
func (c *Controller) plan(demand map[int]*peer.Demand) {
	f := &c.fleet
	if len(demand) < len(c.ownership.shards) && c.now < f.ledAt+20*micros.Second {
		return // some owner has not spoken yet
	}
	count, booting := len(c.machines), 0.0
	for _, h := range f.scaleOuts {
		count += h.req.Count
		booting += float64(h.req.Count) * c.types[h.req.Type].CPUs
	}
	for _, id := range sortedKeys(f.rented) {
		if r := f.rented[id]; c.machines[id] != nil || f.returned[id] != 0 || c.now-r.at > 5*micros.Minute {
			delete(f.rented, id)
		} else if !f.assigning[id] {
			count++
			booting += c.types[r.typ].CPUs
		}
	}
	for _, id := range f.order {
		if l := f.listed[id]; c.machines[id] == nil && f.rented[id] == nil && !f.assigning[id] && f.returned[id] == 0 && l.State != wire.MachineFailed {
			count++
			booting += c.types[l.Type].CPUs
		}
	}
	for _, cr := range f.pendingCreations {
		count += len(cr.rec.Machines)
		for _, m := range cr.rec.Machines {
			booting += c.types[cr.rec.Kinds[m.Kind].Type].CPUs
		}
	}
	w := fleetDemand{}
	busy := 0.0
	var groups []peer.Group
	for _, id := range shardIDs(demand) {
		d := demand[id]
		w.have += d.CPUs
		booting += d.Booting
		for _, m := range d.Machines {
			if rec := c.machines[m.ID]; rec != nil && m.State == peer.MachineDraining && !rec.rec.Cordoned {
				w.have += c.types[rec.rec.Type].CPUs
			}
		}
		busy += d.Busy
		w.work += workOf(d)
		w.parallel += d.Busy + waitingCPUs(d)
		w.arrival += d.ArrivalCPUs
		groups = append(groups, d.Groups...)
		c.log(Debug, "shard demand", "shard", id, "cpus", d.CPUs, "busy", d.Busy, "booting", d.Booting, "waiting", waitingCPUs(d), "work", workOf(d))
	}
	c.log(Debug, "fleet", "have", w.have, "busy", busy, "booting", booting, "work", w.work, "arrival", w.arrival, "parallel", w.parallel)
	w.have += booting
	c.scaleOut(demand, groups, w, c.cfg.MaxMachines-count)
	c.rebalance(demand)
	c.scaleInIdle(demand, w, count >= c.cfg.MaxMachines)
	c.consolidate(demand, w)
	c.replaceUnhealthy(demand)
}

// cpuPrice is the price of a CPU for an hour.
func cpuPrice(mt wire.MachineType, spot bool) float64 {
	if spot {
		return mt.SpotPrice / max(mt.CPUs, 0.01)
	}
	return mt.Price / max(mt.CPUs, 0.01)
}

// hosts tells whether a group's tasks could run on a machine.
func (c *Controller) hosts(g peer.Group, typ, zone string, spot bool) bool {
	mt, ok := c.types[typ]
	return ok && (g.Any || slices.Contains(g.Types, typ)) && (g.Zone == "" || g.Zone == zone) && (g.Spot || !spot) &&
		mt.CPUs+eps >= g.CPUs && mt.GPUs+eps >= g.GPUs && mt.MemGB+eps >= g.MemGB
}
