package fleet

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
)

const (
	// largeSurplusMaxIdle is how long a machine may be idle at most where there is much more than
	// is needed.
	largeSurplusMaxIdle = 2 * micros.Second
	// fullFleetMaxIdle is how long a machine may be idle where the fleet may not grow: it takes the
	// place of one that would be of use.
	fullFleetMaxIdle = 5 * micros.Second
)

// IdleMachine is a machine that may be returned to the cloud.
type IdleMachine struct {
	ID       string
	CPUs     float64
	CPUPrice float64 // of each CPU for an hour
	IdleFor  micros.Micros
	Unusable bool // tasks wait, and none of them can use the machine
}

// ScaleIn decides which idle machines are returned to the cloud.
type ScaleIn struct {
	Totals       Totals
	DrainHorizon micros.Micros // see Sums.Need
	LowestPrice  float64       // see Catalog.LowestPrice
	// Reserve is how many CPUs are kept although nothing waits.
	Reserve float64
	// MaxIdle is how long a machine may be idle.
	MaxIdle micros.Micros
	// FleetFull is whether the fleet may not grow.
	FleetFull bool
}

// Choose returns the machines to be returned, the dearest first, as long as there is more than is
// needed. It sorts idle.
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

// surplus reports whether a machine is not needed any more.
func (s ScaleIn) surplus(machine IdleMachine) bool {
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
