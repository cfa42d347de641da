package fleet

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

const (
	// maxDraining is the maximum number of machines that are drained for other shards at the same
	// time, beyond those that can be drained without loss. A machine that empties slowly remains
	// half used in the meantime.
	maxDraining = 2
	// maxDrainTime is the longest time that the tasks of such a machine may still take.
	maxDrainTime = 15 * micros.Second
	// minMoveGain is the smallest shortage of CPUs for which a machine is moved.
	minMoveGain = 0.5
	// idleMoveGap is added, in CPUs, to the gap between a shard's target and its actual CPUs when
	// the shard is considered for an idle machine. A shard that has reached its target may still
	// have waiting tasks.
	idleMoveGap = 0.01
	// reserveDivisor divides the CPUs of a shard to give the CPUs that are kept free where no task
	// waits.
	reserveDivisor = 20
)

// Machine is a machine that may be moved to another shard.
type Machine struct {
	peer.Machine
	From int // current shard
	Kind Kind
	CPUs float64
}

// Idle reports whether the machine holds no tasks.
func (m Machine) Idle() bool { return m.State == peer.MachineIdle }

// Move states that a machine is to move to another shard.
type Move struct {
	Machine Machine
	To      int
	Drain   bool // the machine must be drained first
}

// Rebalancing decides which machines move between shards. Its maps hold CPUs by shard.
type Rebalancing struct {
	catalog Catalog
	demands Demands
	shards  []int
	// target holds the CPUs that each shard should have. actual holds the CPUs that it has, where
	// machines under way are counted in the shard to which they move.
	target, actual map[int]float64
	// shortfall holds the CPUs that a shard's waiting tasks need beyond the CPUs that are free
	// there.
	shortfall map[int]float64
	// spare holds the CPUs that may be drained without loss, for shards where no task waits.
	spare map[int]float64
	// draining is the number of machines that are being drained for other shards.
	draining int
}

// NewRebalancing returns a Rebalancing without moves under way.
func NewRebalancing(catalog Catalog, demands Demands) *Rebalancing {
	total := 0.0
	for _, demand := range demands {
		total += demand.CPUs
	}
	r := &Rebalancing{
		catalog:   catalog,
		demands:   demands,
		shards:    demands.Shards(),
		target:    TargetCPUs(demands, total),
		actual:    map[int]float64{},
		shortfall: map[int]float64{},
		spare:     map[int]float64{},
	}
	for shard, demand := range demands {
		free := demand.CPUs - demand.BusyCPUs
		waiting := WaitingCPUs(demand)
		r.actual[shard] = demand.CPUs
		r.shortfall[shard] = max(0, waiting-free)
		if waiting == 0 {
			r.spare[shard] = free - demand.CPUs/reserveDivisor
		}
	}
	return r
}

// NeededInOwnShard reports whether a machine that is being drained for another shard is needed
// again in its own shard.
func (r *Rebalancing) NeededInOwnShard(machine Machine) bool {
	return WaitingCPUs(r.demands[machine.From]) > 0 && r.actual[machine.From] < r.target[machine.From]
}

// AddDraining records that a machine is being drained for the shard to. The machine counts as
// capacity of that shard.
func (r *Rebalancing) AddDraining(machine Machine, to int) {
	r.draining++
	r.actual[to] += machine.CPUs
	r.shortfall[to] = max(0, r.shortfall[to]-machine.CPUs)
}

// Moves returns the machines to move to shards where tasks wait. Idle machines move at once. Busy
// machines move once they are empty, and only from shards that have more than their target. It
// sorts machines.
func (r *Rebalancing) Moves(machines []Machine) []Move {
	slices.SortStableFunc(machines, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.RemainingUS, b.RemainingUS), cmp.Compare(a.ID, b.ID))
	})
	var moves []Move
	for _, machine := range machines {
		to, gain, found := r.destination(machine)
		if !found || !r.mayLeave(machine, gain) {
			continue
		}
		r.actual[machine.From] -= machine.CPUs
		r.actual[to] += machine.CPUs
		r.shortfall[to] -= machine.CPUs
		moves = append(moves, Move{Machine: machine, To: to, Drain: !machine.Idle()})
	}
	return moves
}

// destination returns the shard that gains most from a machine, and the gain in CPUs. found is
// false if no shard gains enough.
func (r *Rebalancing) destination(machine Machine) (to int, gain float64, found bool) {
	gain = minMoveGain
	for _, shard := range r.shards {
		if shard == machine.From || !r.catalog.Useful(r.demands[shard], machine.Kind) {
			continue
		}
		gap := r.target[shard] - r.actual[shard]
		if machine.Idle() {
			gap = max(gap, 0) + idleMoveGap
		}
		shardGain := min(r.shortfall[shard], gap)
		firstForIdle := machine.Idle() && !found && r.shortfall[shard] > minMoveGain
		if shardGain > gain || firstForIdle {
			to, gain, found = shard, shardGain, true
		}
	}
	return to, gain, found
}

// mayLeave reports whether a machine may leave its shard for one that gains the given number of
// CPUs. It counts the machine in draining or spare if the machine must be drained for the move.
func (r *Rebalancing) mayLeave(machine Machine, gain float64) bool {
	if machine.Idle() {
		// The machine's own shard may be about to use it.
		ownDemand := r.demands[machine.From]
		return WaitingCPUs(ownDemand) == 0 || !r.catalog.Useful(ownDemand, machine.Kind)
	}
	surplus := r.actual[machine.From] - r.target[machine.From]
	if gain < machine.CPUs/2 || surplus < machine.CPUs/2 {
		return false
	}
	if unused := machine.CPUs - machine.BusyCPUs; unused > 0 && r.spare[machine.From] >= unused {
		r.spare[machine.From] -= unused
		return true
	}
	if micros.Micros(machine.RemainingUS) > maxDrainTime || r.draining >= maxDraining {
		return false
	}
	r.draining++
	return true
}
