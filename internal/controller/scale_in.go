package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// Machines that go back to the cloud.

const (
	// maxScaleInMachines bounds the machines of one request to the cloud, maxLoggedMachines those
	// that are named in the log.
	maxScaleInMachines = 100
	maxLoggedMachines  = 20
	// A machine must come up within bootTimeoutFactor times its boot time, or bootGrace beyond it
	// if that is more.
	bootTimeoutFactor = 4
	bootGrace         = 45 * micros.Second
	// listLagMargin is added to twice the lag of the cloud's list before a machine that is
	// missing there counts as gone.
	listLagMargin = micros.Second
	// maxConsolidation is how long a machine may take to be drained.
	maxConsolidation = 30 * micros.Second
)

// scaleInUnusable returns machines that are of no use any more.
func (c *Controller) scaleInUnusable(demands fleet.Demands) {
	machines := c.unusableOnRecord(silentMachines(demands))
	machines = append(machines, c.unusableInList()...)
	c.scaleIn(machines)
}

// silentMachines returns the machines from which no heartbeat comes.
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

// unusableOnRecord returns the machines on record that are cordoned, or that the cloud calls
// failed or does not list any more.
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

// missingForLong reports whether the cloud has not listed a machine for longer than its list may
// lag behind.
func (f *fleetState) missingForLong(id string) bool {
	missingSince := f.missing[id]
	return f.listedAt != 0 && missingSince != 0 && f.now-missingSince > 2*f.cfg.ListLag+listLagMargin
}

// unusableInList returns the machines that the cloud lists as failed and that are on no record,
// and those that do not come up.
func (c *Controller) unusableInList() []string {
	f := &c.fleet
	var unusable []string
	for _, id := range f.order {
		listed := f.listed[id]
		if f.returned[id] != 0 {
			continue
		}
		switch {
		case listed.State == wire.MachineFailed && c.machines[id] == nil:
			unusable = append(unusable, id)
		case listed.State == wire.MachineBooting && c.bootsForLong(listed) && !c.hasSentHeartbeat(id):
			c.log(Info, "machine does not come up, returned", "machine", id)
			unusable = append(unusable, id)
		}
	}
	return unusable
}

// bootsForLong reports whether a machine should have come up.
func (c *Controller) bootsForLong(listed wire.ListedMachine) bool {
	boot := micros.FromSeconds(c.types.byName[listed.Type].BootS)
	age := micros.FromSeconds(listed.AgeS) + (c.now - c.fleet.listedAt)
	return age > max(bootTimeoutFactor*boot, boot+bootGrace)
}

// hasSentHeartbeat reports whether a machine of this controller has sent a heartbeat, so that the
// list that calls it booting lags behind.
func (c *Controller) hasSentHeartbeat(id string) bool {
	m := c.machines[id]
	return m != nil && m.view != nil && m.view.sequenceKnown
}

// scaleInIdle has machines returned that are idle, the dearest first, as long as there are more
// than are needed. fleetFull is whether the fleet may not grow.
func (c *Controller) scaleInIdle(demands fleet.Demands, sums fleet.Sums, fleetFull bool) {
	choice := fleet.ScaleIn{
		Sums:         sums,
		DrainHorizon: c.cfg.DrainHorizon,
		LowestPrice:  c.catalog().LowestPrice(),
		Reserve:      c.reservedCPUs(sums),
		MaxIdle:      c.cfg.IdleReturn,
		FleetFull:    fleetFull,
	}
	for _, id := range choice.Choose(c.idleMachines(demands)) {
		c.requestMachineRelease(id, peer.Release{Cordon: true})
	}
}

// idleMachines returns the machines that are idle.
func (c *Controller) idleMachines(demands fleet.Demands) []fleet.IdleMachine {
	catalog := c.catalog()
	waiting := demands.Waiting()
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
				Useless:  waiting && !catalog.UsefulAnywhere(demands, rec.kind()),
			})
		}
	}
	return idle
}

// reservedCPUs returns how many CPUs are kept although nothing waits. Where tasks are wanted
// started sooner than a machine boots, that is what arrives while one would boot; elsewhere
// nothing.
func (c *Controller) reservedCPUs(sums fleet.Sums) float64 {
	boot := c.catalog().LongestBoot()
	for _, within := range c.cfg.StartWithin {
		if within < boot/2 {
			return max(sums.Arrival, sums.Parallel)
		}
	}
	return 0
}

// consolidate drains machines of a shard where nothing waits, if their tasks may go on in what
// the shard's other machines have free, and if they would otherwise keep mostly unused machines
// for long.
func (c *Controller) consolidate(demands fleet.Demands, sums fleet.Sums) {
	choice := fleet.Consolidation{Have: sums.Have, Need: max(sums.Parallel, c.reservedCPUs(sums))}
	for _, shard := range demands.Shards() {
		d := demands[shard]
		if fleet.WaitingCPUs(d) > 0 {
			continue
		}
		candidates, draining := c.drainCandidates(d)
		for _, m := range choice.Choose(d, candidates, draining) {
			c.log(Info, "draining a mostly unused machine", "machine", m.ID, "shard", shard, "busy", m.BusyCPUs)
			c.fleet.plannedMoves[m.ID] = plannedMove{retire: true, until: c.now + maxConsolidation}
			c.requestMachineRelease(m.ID, peer.Release{Cordon: true, Drain: true, Save: true})
		}
	}
}

// drainCandidates returns the busy machines of a shard whose tasks may go on elsewhere, and how
// many machines are being drained.
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

// scaleIn returns machines to the cloud, as far as the budget allows it now.
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

// sendScaleIn asks the cloud to take machines back, and reports whether the budget allowed it.
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
