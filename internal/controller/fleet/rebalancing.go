package fleet

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

const (
	// maxDraining bounds the machines that are drained for other shards at a time, beyond what
	// may be drained without loss: one that empties slowly stands half used meanwhile.
	maxDraining = 2
	// drainWithin is how soon such a machine must be empty.
	drainWithin = 15 * micros.Second
	// minMoveGain is the least lack, in CPUs, that a machine is moved for.
	minMoveGain = 0.5
	// idleMoveGap is added to what a shard lacks of its part of the fleet, in CPUs, where an idle
	// machine is considered: one that lacks nothing may still have tasks that wait.
	idleMoveGap = 0.01
	// keptDivisor divides the CPUs of a shard into those that are kept free where nothing waits.
	keptDivisor = 20
)

// Machine is a machine that may be moved to another shard.
type Machine struct {
	peer.Machine
	From int // its shard
	Kind Kind
	CPUs float64
}

// idle reports whether nothing is on the machine.
func (m Machine) idle() bool { return m.State == peer.MachineIdle }

// Move is a machine that is to move to another shard.
type Move struct {
	Machine Machine
	To      int
	Drain   bool // it is to be emptied first
}

// Rebalancing decides which machines move between shards. Its maps hold CPUs by shard.
type Rebalancing struct {
	catalog Catalog
	demands Demands
	shards  []int
	// target is what each shard should have, has what it has, with moves under way counted
	// where they go.
	target, has map[int]float64
	// shortfall is what its waiting tasks want beyond what is free there.
	shortfall map[int]float64
	// spare is what may be drained without loss, where nothing waits.
	spare map[int]float64
	// draining counts the machines that are drained for another shard.
	draining int
}

// NewRebalancing returns a rebalancing that knows of no moves under way.
func NewRebalancing(catalog Catalog, demands Demands) *Rebalancing {
	total := 0.0
	for _, d := range demands {
		total += d.CPUs
	}
	r := &Rebalancing{
		catalog:   catalog,
		demands:   demands,
		shards:    demands.Shards(),
		target:    TargetCPUs(demands, total),
		has:       map[int]float64{},
		shortfall: map[int]float64{},
		spare:     map[int]float64{},
	}
	for shard, d := range demands {
		free := d.CPUs - d.BusyCPUs
		waiting := WaitingCPUs(d)
		r.has[shard] = d.CPUs
		r.shortfall[shard] = max(0, waiting-free)
		if waiting == 0 {
			r.spare[shard] = free - d.CPUs/keptDivisor
		}
	}
	return r
}

// Wanted reports whether a machine that is drained for another shard is needed in its own again.
func (r *Rebalancing) Wanted(m Machine) bool {
	return WaitingCPUs(r.demands[m.From]) > 0 && r.has[m.From] < r.target[m.From]
}

// AddDraining counts a machine that is drained for a shard where it goes.
func (r *Rebalancing) AddDraining(m Machine, to int) {
	r.draining++
	r.has[to] += m.CPUs
	r.shortfall[to] = max(0, r.shortfall[to]-m.CPUs)
}

// Moves returns the machines that are to move to shards whose tasks wait: idle ones at once, busy
// ones as they empty, where a shard has more than its part of the fleet. It sorts machines.
func (r *Rebalancing) Moves(machines []Machine) []Move {
	slices.SortStableFunc(machines, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.RemainingUS, b.RemainingUS), cmp.Compare(a.ID, b.ID))
	})
	var moves []Move
	for _, m := range machines {
		to, gain, found := r.destination(m)
		if !found || !r.mayLeave(m, gain) {
			continue
		}
		r.has[m.From] -= m.CPUs
		r.has[to] += m.CPUs
		r.shortfall[to] -= m.CPUs
		moves = append(moves, Move{Machine: m, To: to, Drain: !m.idle()})
	}
	return moves
}

// destination returns the shard that a machine would help most, and by how many CPUs; false if
// there is none.
func (r *Rebalancing) destination(m Machine) (to int, gain float64, found bool) {
	gain = minMoveGain
	for _, shard := range r.shards {
		if shard == m.From || !r.catalog.Useful(r.demands[shard], m.Kind) {
			continue
		}
		gap := r.target[shard] - r.has[shard]
		if m.idle() {
			gap = max(gap, 0) + idleMoveGap
		}
		shardGain := min(r.shortfall[shard], gap)
		firstForIdle := m.idle() && !found && r.shortfall[shard] > minMoveGain
		if shardGain > gain || firstForIdle {
			to, gain, found = shard, shardGain, true
		}
	}
	return to, gain, found
}

// mayLeave reports whether a machine may leave its shard for one that it helps by so many CPUs,
// and counts it if it is to be drained for that.
func (r *Rebalancing) mayLeave(m Machine, gain float64) bool {
	if m.idle() {
		// Its own shard may be about to use it.
		own := r.demands[m.From]
		return WaitingCPUs(own) == 0 || !r.catalog.Useful(own, m.Kind)
	}
	surplus := r.has[m.From] - r.target[m.From]
	if gain < m.CPUs/2 || surplus < m.CPUs/2 {
		return false
	}
	if unused := m.CPUs - m.BusyCPUs; unused > 0 && r.spare[m.From] >= unused {
		r.spare[m.From] -= unused
		return true
	}
	if micros.Micros(m.RemainingUS) > drainWithin || r.draining >= maxDraining {
		return false
	}
	r.draining++
	return true
}
