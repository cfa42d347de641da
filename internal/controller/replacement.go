package controller

import (
	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// Machines that are replaced because they fail, are slow, or cannot be reached.

const (
	// unreconciledReturnAfter is how long after a claim a machine may stay unreconciled. Those
	// that can be reached are reconciled within a few seconds.
	unreconciledReturnAfter = 5 * micros.Second
	// rentalOverheadS is what renting a machine takes beside its boot time, in seconds.
	rentalOverheadS = 10
	// partitionedReturnLeases is for how many worker leases the machines of a partitioned zone
	// are kept before they are returned after all.
	partitionedReturnLeases = 3
)

// replaceUnhealthy retires machines that fail or slow tasks once they are empty, returns silent
// ones if the operators want that, and those that block a failover.
func (c *Controller) replaceUnhealthy(demands fleet.Demands) {
	c.retireUnhealthy(demands)
	if c.cfg.SilentReturn == 0 {
		return
	}
	partitioned := fleet.PartitionedZones(demands)
	var toReturn []string
	for _, shard := range demands.Shards() {
		d := demands[shard]
		c.repeatReturnNotices(d)
		lost := c.unreachableMachines(d, partitioned)
		toReturn = append(toReturn, lost.silent...)
		if c.worthReplacing(shard, d, lost.unreconciled) {
			toReturn = append(toReturn, lost.unreconciled...)
		}
	}
	c.scaleIn(toReturn)
}

// retireUnhealthy asks for machines that fail or slow tasks, once they are empty.
func (c *Controller) retireUnhealthy(demands fleet.Demands) {
	for _, shard := range demands.Shards() {
		for _, m := range demands[shard].Machines {
			if m.State == peer.MachineUnhealthy {
				c.requestMachineRelease(m.ID, peer.Release{Cordon: true})
			}
		}
	}
}

// repeatReturnNotices notifies the owner of a shard of the returned machines that it still names:
// it may be another owner than was notified.
func (c *Controller) repeatReturnNotices(d *peer.Demand) {
	for _, m := range d.Machines {
		named := m.State == peer.MachineUnreconciled || m.State == peer.MachineSilent
		if named && c.fleet.returned[m.ID] != 0 {
			c.notifyReturned(m.ID)
		}
	}
}

// unreachableMachines are the machines of a shard that cannot be reached for long.
type unreachableMachines struct {
	silent []string
	// unreconciled block all older jobs of their shard. The cloud's answer to their return
	// reconciles them.
	unreconciled []string
}

// unreachableMachines returns the machines of a shard that cannot be reached for long.
func (c *Controller) unreachableMachines(d *peer.Demand, partitioned map[string]bool) unreachableMachines {
	var lost unreachableMachines
	// If most are unreachable, the fault is rather in the owner's network.
	mostSilent := 2*d.SilentMachines > d.TotalMachines
	mostUnreconciled := 2*d.UnreconciledMachines > d.TotalMachines
	for _, m := range d.Machines {
		rec := c.machines[m.ID]
		if rec == nil || c.fleet.returned[m.ID] != 0 || c.fleet.returning[m.ID] {
			continue
		}
		inPartition := partitioned[rec.rec.Zone]
		since := micros.Micros(m.InStateUS)
		switch m.State {
		case peer.MachineSilent:
			if since > c.silenceLimit(inPartition) && !mostSilent {
				lost.silent = append(lost.silent, m.ID)
			}
		case peer.MachineUnreconciled:
			if since > unreconciledReturnAfter && (!mostUnreconciled || inPartition) {
				lost.unreconciled = append(lost.unreconciled, m.ID)
			}
		}
	}
	return lost
}

// silenceLimit returns how long a machine may be silent before it is returned. Each machine of a
// partitioned zone is silent as a failed one is: returning them saves the rest of their leases, and
// costs the fleet of a whole zone once the partition is over.
func (c *Controller) silenceLimit(inPartition bool) micros.Micros {
	limit := c.heartbeatDeadlines.Return
	if inPartition {
		limit = max(limit, partitionedReturnLeases*c.cfg.WorkerLease)
	}
	return limit
}

// worthReplacing reports whether the work that unreconciled machines block is worth more than
// what replacing them takes.
func (c *Controller) worthReplacing(shard int, d *peer.Demand, unreconciled []string) bool {
	if len(unreconciled) == 0 {
		return false
	}
	cost := 0.0 // CPU seconds
	for _, id := range unreconciled {
		mt := c.types.of(c.machines[id])
		cost += mt.CPUs * (mt.BootS + rentalOverheadS)
	}
	blocked := fleet.BlockedWork(d)
	if blocked <= cost {
		return false
	}
	c.log(Info, "scaling in machines that block a failover",
		"shard", shard,
		"machines", len(unreconciled),
		"cpu_s_held_up", blocked,
		"cpu_s_to_replace", cost)
	return true
}
