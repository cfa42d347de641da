package fleet

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
)

const (
	// largeSurplusMaxIdle is how long a machine may stay idle while the fleet is much larger than
	// needed.
	largeSurplusMaxIdle = 2 * micros.Second
	// fullFleetMaxIdle is how long a machine may stay idle while the fleet may not grow. The idle
	// machine then takes the place of a machine that could be used.
	fullFleetMaxIdle = 5 * micros.Second
)

// IdleMachine is an idle machine that may be returned to the cloud.
type IdleMachine struct {
	ID       string
	CPUs     float64
	CPUPrice float64 // price of one CPU per hour
	IdleFor  micros.Micros
	Unusable bool // true if tasks wait and none of them can run on the machine
	Wanted   bool // true if a starved task of any shard can run on the machine
}

// ScaleIn decides which idle machines to return to the cloud.
type ScaleIn struct {
	Totals       Totals
	DrainHorizon micros.Micros // see Totals.Need
	LowestPrice  float64       // see Catalog.LowestPrice
	// Reserve is the number of CPUs that are kept even if no task waits.
	Reserve float64
	// MaxIdle is how long a machine may stay idle.
	MaxIdle micros.Micros
	// FleetFull is true if the fleet may not grow.
	FleetFull bool
}

// Choose returns the IDs of the machines to return, the most expensive first, for as long as the
// fleet has more than it needs. It sorts idle.
func (s ScaleIn) Choose(idle []IdleMachine) []string {
	slices.SortFunc(idle, func(a, b IdleMachine) int {
		return cmp.Or(-cmp.Compare(a.CPUPrice, b.CPUPrice), cmp.Compare(a.ID, b.ID))
	})
	var chosen []string
	for _, machine := range idle {
		if s.surplus(machine) {
			s.Totals.Have -= machine.CPUs
			chosen = append(chosen, machine.ID)
		}
	}
	return chosen
}

// surplus reports whether a machine is no longer needed.
func (s ScaleIn) surplus(machine IdleMachine) bool {
	if machine.Wanted && machine.IdleFor < s.MaxIdle {
		return false
	}
	if s.FleetFull && machine.IdleFor >= fullFleetMaxIdle {
		return true
	}
	need := s.Totals.Need(s.DrainHorizon, max(machine.CPUPrice/s.LowestPrice, 1))
	surplus := s.Totals.Have - max(need, min(s.Totals.Parallel, s.Totals.Have))
	maxIdle := s.MaxIdle
	if surplus-machine.CPUs >= s.Reserve {
		maxIdle = min(maxIdle, largeSurplusMaxIdle)
	}
	return (surplus >= machine.CPUs || machine.Unusable) && machine.IdleFor >= maxIdle
}
