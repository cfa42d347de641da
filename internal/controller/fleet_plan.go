package controller

import (
	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// This file collects the demands of all shards and plans the size of the fleet by them.

const (
	// demandValidity is how long the demand reported by another owner remains valid.
	demandValidity = 5 * micros.Second
	// firstPlanDelay is how long a new leader waits for the demands of all shards before it plans
	// with those that it has.
	firstPlanDelay = 20 * micros.Second
	// rentalValidity is how long after its rental a machine is still expected to come on record.
	rentalValidity = 5 * micros.Minute
)

// catalog returns the machine types that the cloud offers.
func (c *Controller) catalog() fleet.Catalog {
	return fleet.Catalog{Types: c.types.byName, Names: c.types.names}
}

// latestDemands returns the latest valid demand of each shard; shards without one are missing.
func (c *Controller) latestDemands() fleet.Demands {
	demands := fleet.Demands{}
	for _, label := range c.cfg.Peers {
		p := c.peers[label]
		if c.now-p.demandAt > demandValidity {
			continue
		}
		for i := range p.demand {
			if c.ownership.ownedBy(p.demand[i].Shard, label) {
				demands[p.demand[i].Shard] = &p.demand[i]
			}
		}
	}
	own := c.demands()
	for i := range own {
		demands[own[i].Shard] = &own[i]
	}
	return demands
}

// ownedBy reports whether the shard exists and is owned by the controller with the label.
func (o *ownershipState) ownedBy(shard int, label string) bool {
	return shard >= 0 && shard < len(o.shards) && o.shards[shard].owner.Label == label
}

// resizeFleet rents missing machines, moves machines to the shards with waiting tasks, and returns
// machines that are not needed.
func (c *Controller) resizeFleet(demands fleet.Demands) {
	allKnown := len(demands) >= len(c.ownership.shards)
	if !allKnown && c.now < c.fleet.leadingSince+firstPlanDelay {
		return
	}
	c.pruneRentals()
	machines, bootingCPUs := c.countFleet()
	totals := c.sumDemands(demands, bootingCPUs)
	choice := c.scaleOutChoice(demands, totals, c.cfg.MaxMachines-machines)
	c.scaleOut(choice)
	c.serveStarvedTasks(demands, choice)
	c.rebalance(demands)
	c.scaleInIdle(demands, totals, machines >= c.cfg.MaxMachines)
	c.consolidate(demands, totals)
	c.replaceUnhealthy(demands)
}

// pruneRentals removes rented machines that are on record, have been returned, or have not appeared
// within rentalValidity.
func (c *Controller) pruneRentals() {
	f := &c.fleet
	for id, r := range f.rented {
		if c.machines[id] != nil || f.returned[id] != 0 || c.now-r.at > rentalValidity {
			delete(f.rented, id)
		}
	}
}

// countFleet returns the number of all machines, including those that are being rented, and the
// CPUs of those that are not on record yet.
func (c *Controller) countFleet() (machines int, bootingCPUs float64) {
	f := &c.fleet
	machines = len(c.machines)
	add := func(machineType string, count int) {
		machines += count
		bootingCPUs += c.catalog().CPUs(machineType, count)
	}
	for _, req := range f.scaleOuts {
		add(req.rental.Type, req.rental.Count)
	}
	for _, id := range sortedKeys(f.rented) {
		if !f.assigning[id] {
			add(f.rented[id].kind.Type, 1)
		}
	}
	for _, id := range f.listedIDs {
		if l := f.listed[id]; c.unrecorded(id, l) && !f.assigning[id] {
			add(l.Type, 1)
		}
	}
	for _, key := range sortedKeys(f.pendingCreations) {
		rec := &f.pendingCreations[key].rec
		for _, m := range rec.Machines {
			add(rec.Kinds[m.Kind].Type, 1)
		}
	}
	return machines, bootingCPUs
}

// unrecorded reports whether a machine of the cloud's list is neither on record nor among the
// rented or returned ones, and has not failed.
func (c *Controller) unrecorded(id string, l wire.ListedMachine) bool {
	f := &c.fleet
	return c.machines[id] == nil && f.rented[id] == nil && f.returned[id] == 0 && l.State != wire.MachineFailed
}

// sumDemands adds up the demands of all shards and the CPUs of machines that are not on record yet.
func (c *Controller) sumDemands(demands fleet.Demands, bootingCPUs float64) fleet.Totals {
	totals := fleet.Totals{Booting: bootingCPUs}
	for _, id := range demands.Shards() {
		d := demands[id]
		totals.Add(d)
		for _, m := range d.Machines {
			if rec := c.machines[m.ID]; rec != nil && m.State == peer.MachineDraining && !rec.rec.Cordoned {
				totals.Have += c.types.byName[rec.rec.Type].CPUs
			}
		}
		c.log(Debug, "shard demand",
			"shard", id,
			"cpus", d.CPUs,
			"busy", d.BusyCPUs,
			"booting", d.BootingCPUs,
			"waiting", fleet.WaitingCPUs(d),
			"work", fleet.UnfinishedWork(d))
	}
	c.log(Debug, "fleet",
		"have", totals.Have,
		"busy", totals.Busy,
		"booting", totals.Booting,
		"work", totals.Work,
		"arrival", totals.Arrival,
		"parallel", totals.Parallel)
	totals.Have += totals.Booting
	return totals
}
