package controller

import (
	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// The leader replaces machines that fail tasks, are slow, or cannot be reached.

const (
	// unreconciledReturnAfter is how long after a claim a machine may stay unreconciled before it
	// is returned. Machines that can be reached are reconciled within a few seconds.
	unreconciledReturnAfter = 5 * micros.Second
	// rentalOverheadS is the time in seconds that renting a machine takes in addition to its
	// boot time.
	rentalOverheadS = 10
	// partitionedReturnLeases is how long the silent machines of a partitioned zone are kept
	// before they are returned, as a multiple of the worker lease.
	partitionedReturnLeases = 3
)

// replaceUnhealthy retires machines that fail tasks or slow them down, once they are empty. Unless
// the operators have disabled SilentReturn, it also returns silent machines and those that block a
// failover.
func (c *Controller) replaceUnhealthy(demands fleet.Demands) {
	c.retireUnhealthy(demands)
	if c.cfg.SilentReturn == 0 {
		return
	}
	partitioned := fleet.PartitionedZones(demands)
	var toReturn []string
	for _, shard := range demands.Shards() {
		demand := demands[shard]
		c.repeatReturnNotices(demand)
		unreachable := c.unreachableMachines(demand, partitioned)
		toReturn = append(toReturn, unreachable.silent...)
		if c.worthReplacing(shard, demand, unreachable.unreconciled) {
			toReturn = append(toReturn, unreachable.unreconciled...)
		}
	}
	c.scaleIn(toReturn)
}

// retireUnhealthy requests the release of unhealthy machines, so that they are cordoned once they
// are empty.
func (c *Controller) retireUnhealthy(demands fleet.Demands) {
	for _, shard := range demands.Shards() {
		for _, m := range demands[shard].Machines {
			if m.State == peer.MachineUnhealthy {
				c.requestMachineRelease(m.ID, peer.Release{Cordon: true})
			}
		}
	}
}

// repeatReturnNotices notifies the owner of a shard of the returned machines that its demand still
// names: another owner may have been notified before.
func (c *Controller) repeatReturnNotices(demand *peer.Demand) {
	for _, m := range demand.Machines {
		named := m.State == peer.MachineUnreconciled || m.State == peer.MachineSilent
		if named && c.fleet.returned[m.ID] != 0 {
			c.notifyReturned(m.ID)
		}
	}
}

// unreachableMachines holds the IDs of the machines of a shard that have been unreachable for long.
type unreachableMachines struct {
	silent []string
	// unreconciled machines block all older jobs of their shard. The cloud's confirmation of their
	// return ends that.
	unreconciled []string
}

// unreachableMachines returns the machines of a shard that have been unreachable for long enough to
// be returned.
func (c *Controller) unreachableMachines(demand *peer.Demand, partitioned map[string]bool) unreachableMachines {
	var unreachable unreachableMachines
	// If most machines are unreachable, the fault is more likely in the owner's network.
	mostSilent := 2*demand.SilentMachines > demand.TotalMachines
	mostUnreconciled := 2*demand.UnreconciledMachines > demand.TotalMachines
	for _, m := range demand.Machines {
		onRecord := c.machines[m.ID]
		if onRecord == nil || c.fleet.returned[m.ID] != 0 || c.fleet.returning[m.ID] {
			continue
		}
		inPartition := partitioned[onRecord.rec.Zone]
		since := micros.Micros(m.InStateUS)
		switch m.State {
		case peer.MachineSilent:
			if since > c.silenceLimit(inPartition) && !mostSilent {
				unreachable.silent = append(unreachable.silent, m.ID)
			}
		case peer.MachineUnreconciled:
			if since > unreconciledReturnAfter && (!mostUnreconciled || inPartition) {
				unreachable.unreconciled = append(unreachable.unreconciled, m.ID)
			}
		}
	}
	return unreachable
}

// silenceLimit returns how long a machine may be silent before it is returned. The machines of a
// partitioned zone can't be distinguished from failed ones. Returning them would only save the rest
// of their leases, and would cost the fleet of a whole zone once the partition is over.
func (c *Controller) silenceLimit(inPartition bool) micros.Micros {
	limit := c.heartbeatDeadlines.Return
	if inPartition {
		limit = max(limit, partitionedReturnLeases*c.cfg.WorkerLease)
	}
	return limit
}

// worthReplacing reports whether the work that unreconciled machines block exceeds the cost of
// replacing them, both in CPU seconds.
func (c *Controller) worthReplacing(shard int, demand *peer.Demand, unreconciled []string) bool {
	if len(unreconciled) == 0 {
		return false
	}
	cost := 0.0 // CPU seconds
	for _, id := range unreconciled {
		mt := c.types.of(c.machines[id])
		cost += float64(mt.CPUs * (mt.BootS + rentalOverheadS))
	}
	blocked := fleet.BlockedWork(demand)
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
