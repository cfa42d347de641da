package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// This file returns machines to the cloud.

const (
	// maxScaleInMachines bounds the machines in one request to the cloud, maxLoggedMachines those
	// that are named in the log.
	maxScaleInMachines = 100
	maxLoggedMachines  = 20
	// A machine must send a heartbeat within bootTimeoutFactor times the boot time of its type or
	// within the boot time plus bootGrace, whichever is longer.
	bootTimeoutFactor = 4
	bootGrace         = 45 * micros.Second
	// listLagMargin is added to twice the lag of the cloud's list to get the time after which a
	// machine that is missing from the list is considered gone.
	listLagMargin = micros.Second
	// maxConsolidationDuration is how long a machine may be drained for its return.
	maxConsolidationDuration = 30 * micros.Second
)

// scaleInUnusable returns machines to the cloud that can no longer be used.
func (c *Controller) scaleInUnusable(demands fleet.Demands) {
	machines := c.unusableOnRecord(silentMachines(demands))
	machines = append(machines, c.unusableInList()...)
	c.scaleIn(machines)
}

// silentMachines returns the IDs of the machines that are reported as silent.
func silentMachines(demands fleet.Demands) map[string]bool {
	silent := map[string]bool{}
	for _, d := range demands {
		for _, m := range d.Machines {
			if m.State == peer.MachineSilent {
				silent[m.ID] = true
			}
		}
	}
	return silent
}

// unusableOnRecord returns the machines on record that are cordoned, that the cloud lists as
// failed, or that are silent and have been missing from the cloud's list for long.
func (c *Controller) unusableOnRecord(silent map[string]bool) []string {
	f := &c.fleet
	var unusable []string
	for _, s := range c.ownership.shards {
		for _, m := range s.machines {
			if f.returned[m.id] != 0 {
				continue
			}
			l, listed := f.listed[m.id]
			failed := listed && l.State == wire.MachineFailed
			gone := !listed && silent[m.id] && c.fleet.missingForLong(m.id)
			if m.rec.Cordoned || failed || gone {
				unusable = append(unusable, m.id)
			}
		}
	}
	return unusable
}

// missingForLong reports whether a machine has been missing from the cloud's list for longer than
// the list may lag.
func (f *fleetState) missingForLong(id string) bool {
	missingSince := f.unlistedSince[id]
	return f.listedAt != 0 && missingSince != 0 && f.now-missingSince > 2*f.cfg.ListLag+listLagMargin
}

// unusableInList returns the machines that the cloud lists as failed and that have no record, and
// those that have not come up in time.
func (c *Controller) unusableInList() []string {
	f := &c.fleet
	var unusable []string
	for _, id := range f.listedIDs {
		listed := f.listed[id]
		if f.returned[id] != 0 {
			continue
		}
		switch {
		case listed.State == wire.MachineFailed && c.machines[id] == nil:
			unusable = append(unusable, id)
		case listed.State == wire.MachineBooting && c.bootOverdue(listed) && !c.hasSentHeartbeat(id):
			c.log(Info, "machine does not come up, returned", "machine", id)
			unusable = append(unusable, id)
		}
	}
	return unusable
}

// bootOverdue reports whether a machine should have come up by now.
func (c *Controller) bootOverdue(listed wire.ListedMachine) bool {
	boot := micros.FromSeconds(c.types.byName[listed.Type].BootS)
	age := micros.FromSeconds(listed.AgeS) + (c.now - c.fleet.listedAt)
	return age > max(bootTimeoutFactor*boot, boot+bootGrace)
}

// hasSentHeartbeat reports whether a machine owned by this controller has sent a heartbeat. If the
// cloud still lists it as booting, the list lags.
func (c *Controller) hasSentHeartbeat(id string) bool {
	m := c.machines[id]
	return m != nil && m.view != nil && m.view.sequenceKnown
}

// scaleInIdle returns idle machines to the cloud, the most expensive first, as long as the fleet
// has more than it needs. fleetFull is whether the fleet has reached its maximum size.
func (c *Controller) scaleInIdle(demands fleet.Demands, totals fleet.Totals, fleetFull bool) {
	choice := fleet.ScaleIn{
		Totals:       totals,
		DrainHorizon: c.cfg.DrainHorizon,
		LowestPrice:  c.catalog().LowestPrice(),
		Reserve:      c.reservedCPUs(totals),
		MaxIdle:      c.cfg.IdleReturn,
		FleetFull:    fleetFull,
	}
	for _, id := range choice.Choose(c.idleMachines(demands)) {
		c.requestMachineRelease(id, peer.Release{Cordon: true})
	}
}

// idleMachines returns the idle machines of all shards.
func (c *Controller) idleMachines(demands fleet.Demands) []fleet.IdleMachine {
	catalog := c.catalog()
	waiting := demands.Waiting()
	wanted := catalog.WantedKinds(demands.StarvedTasks())
	var idle []fleet.IdleMachine
	for _, d := range demands {
		for _, m := range d.Machines {
			rec := c.machines[m.ID]
			if m.State != peer.MachineIdle || rec == nil {
				continue
			}
			mt := c.types.byName[rec.rec.Type]
			idle = append(idle, fleet.IdleMachine{
				ID:       m.ID,
				CPUs:     mt.CPUs,
				CPUPrice: fleet.CPUPrice(mt, rec.rec.Spot),
				IdleFor:  micros.Micros(m.InStateUS),
				Unusable: waiting && !catalog.UsefulAnywhere(demands, rec.kind()),
				Wanted:   wanted(rec.kind()),
			})
		}
	}
	return idle
}

// reservedCPUs returns how many CPUs are kept although no task waits. If some class must start
// tasks in less than half the longest boot time, this covers the work that arrives while a machine
// boots; otherwise it is 0.
func (c *Controller) reservedCPUs(totals fleet.Totals) float64 {
	boot := c.catalog().LongestBoot()
	for _, within := range c.cfg.StartWithin {
		if within < boot/2 {
			return max(totals.Arrival, totals.Parallel)
		}
	}
	return 0
}

// consolidate drains mostly unused machines of shards without waiting tasks, if the machines would
// stay mostly unused for long and their tasks can continue in the free capacity of the shard's
// other machines.
func (c *Controller) consolidate(demands fleet.Demands, totals fleet.Totals) {
	choice := fleet.Consolidation{Have: totals.Have, Need: max(totals.Parallel, c.reservedCPUs(totals))}
	for _, shard := range demands.Shards() {
		d := demands[shard]
		if fleet.WaitingCPUs(d) > 0 {
			continue
		}
		candidates, draining := c.drainCandidates(d)
		for _, m := range choice.Choose(d, candidates, draining) {
			c.log(Info, "draining a mostly unused machine", "machine", m.ID, "shard", shard, "busy", m.BusyCPUs)
			c.fleet.plannedMoves[m.ID] = plannedMove{retire: true, until: c.now + maxConsolidationDuration}
			c.requestMachineRelease(m.ID, peer.Release{Cordon: true, Drain: true, Save: true})
		}
	}
}

// drainCandidates returns the busy machines of a shard whose tasks may continue elsewhere, and the
// number of machines that are being drained already.
func (c *Controller) drainCandidates(d *peer.Demand) (candidates []fleet.DrainCandidate, draining int) {
	for _, m := range d.Machines {
		if m.State == peer.MachineDraining {
			draining++
		}
		rec := c.machines[m.ID]
		if rec != nil && m.State == peer.MachineBusy && m.Movable {
			candidates = append(candidates, fleet.DrainCandidate{Machine: m, CPUs: c.types.byName[rec.rec.Type].CPUs})
		}
	}
	return candidates, draining
}

// scaleIn returns machines to the cloud, as far as the request budget allows it now.
func (c *Controller) scaleIn(ids []string) {
	f := &c.fleet
	var toReturn []string
	for _, id := range ids {
		if !f.returning[id] && f.returned[id] == 0 {
			toReturn = append(toReturn, id)
		}
	}
	for machines := range slices.Chunk(toReturn, maxScaleInMachines) {
		if !c.sendScaleIn(machines) {
			return
		}
	}
}

// sendScaleIn sends a request to the cloud to take machines back, and reports whether the request
// budget allowed it.
func (c *Controller) sendScaleIn(machines []string) bool {
	f := &c.fleet
	ownerEpoch := c.ownership.leader.ownerEpoch
	sent := c.fleet.askCloud(ReturnMachines{Machines: machines}, cloudTimeout, func(r Result) {
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			return
		}
		for _, id := range machines {
			delete(f.returning, id)
			if r.Status == http.StatusOK {
				f.returned[id] = c.now
				c.notifyReturned(id)
			}
		}
	})
	if !sent {
		return false
	}
	c.log(Info, "scaling in", "count", len(machines), "machines", machines[:min(len(machines), maxLoggedMachines)])
	for _, id := range machines {
		f.returning[id] = true
	}
	return true
}
