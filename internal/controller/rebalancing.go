package controller

import (
	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// This file moves machines between shards.

// maxMoveDuration is how long a machine may be drained for another shard.
const maxMoveDuration = 45 * micros.Second

// plannedMove is a machine that is being drained, either for another shard or to be returned to the
// cloud.
type plannedMove struct {
	shard  int
	retire bool // the machine is returned to the cloud
	// starved is set if the machine moves to a starved task. Its shard does not get it back before.
	starved bool
	until   micros.Micros
}

// rebalance moves machines to the shards with waiting tasks.
func (c *Controller) rebalance(demands fleet.Demands) {
	choice := fleet.NewRebalancing(c.catalog(), demands)
	for _, move := range choice.Moves(c.movableMachines(demands, choice)) {
		id := move.Machine.ID
		if move.Drain {
			c.fleet.plannedMoves[id] = plannedMove{shard: move.To, until: c.now + maxMoveDuration}
		}
		c.requestMachineRelease(id, peer.Release{ToShard: move.To, Drain: move.Drain})
	}
}

// movableMachines returns the machines that may be moved, and continues the moves that are under
// way.
func (c *Controller) movableMachines(demands fleet.Demands, choice *fleet.Rebalancing) []fleet.Machine {
	var movable []fleet.Machine
	for _, shard := range demands.Shards() {
		for _, m := range demands[shard].Machines {
			rec := c.machines[m.ID]
			if rec == nil {
				continue
			}
			row := fleet.Machine{Machine: m, From: shard, Kind: rec.kind(), CPUs: c.types.byName[rec.rec.Type].CPUs}
			switch m.State {
			case peer.MachineDraining:
				c.continueDraining(choice, row)
			case peer.MachineIdle, peer.MachineBusy:
				movable = append(movable, row)
			}
		}
	}
	return movable
}

// continueDraining repeats the release request for a machine that is being drained, unless the move
// has expired or its shard needs the machine again.
func (c *Controller) continueDraining(choice *fleet.Rebalancing, m fleet.Machine) {
	move, planned := c.fleet.plannedMoves[m.ID]
	switch {
	case !planned || c.now >= move.until:
	case move.retire:
		c.requestMachineRelease(m.ID, peer.Release{Cordon: true, Drain: true})
	case choice.NeededInOwnShard(m) && !move.starved:
		delete(c.fleet.plannedMoves, m.ID)
	default:
		choice.AddDraining(m, move.shard)
		c.requestMachineRelease(m.ID, peer.Release{ToShard: move.shard, Drain: true})
	}
}
