package fleet

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

const (
	// drainedDivisor divides the machines of a shard into those that are drained at a time at
	// most.
	drainedDivisor = 20
	// minDrainLeft is how long a machine's tasks must still take for it to be worth draining.
	minDrainLeft = 30 * micros.Second
	// repeatedWorkWeight weighs work that is done again against machines standing unused: its
	// user waits as well.
	repeatedWorkWeight = 3
	// minDrainGain is the least that draining a machine must bring, in CPU seconds.
	minDrainGain = 200
)

// DrainCandidate is a busy machine that may be drained so that it can be returned.
type DrainCandidate struct {
	peer.Machine
	CPUs float64
}

// unusedWork returns how much of the machine stands unused until it is empty, in CPU seconds.
func (m DrainCandidate) unusedWork() float64 { return UnusedWork(m.Machine, m.CPUs) }

// gain returns what draining the machine brings, in CPU seconds.
func (m DrainCandidate) gain() float64 {
	return m.unusedWork() - repeatedWorkWeight*micros.Micros(m.LostWorkUS).Seconds()
}

// worthDraining reports whether the machine would otherwise stay mostly unused for long.
func (m DrainCandidate) worthDraining() bool {
	mostlyUnused := 2*m.BusyCPUs <= m.CPUs
	return mostlyUnused && micros.Micros(m.RemainingUS) >= minDrainLeft && m.gain() > minDrainGain
}

// Consolidation decides which busy machines are drained.
type Consolidation struct {
	// Have is how many CPUs the fleet has, Need how many it needs.
	Have, Need float64
}

// Choose returns the machines of a shard that are drained, the largest gain first: their tasks go
// on in what the shard's other machines have free. draining counts those that are drained
// already. What it chooses is taken off Have.
func (c *Consolidation) Choose(d *peer.Demand, candidates []DrainCandidate, draining int) []DrainCandidate {
	candidates = slices.DeleteFunc(candidates, func(m DrainCandidate) bool { return !m.worthDraining() })
	slices.SortStableFunc(candidates, func(a, b DrainCandidate) int { return -cmp.Compare(a.gain(), b.gain()) })
	most := max(1, d.TotalMachines/drainedDivisor) - draining
	free := d.CPUs - d.BusyCPUs
	for i, m := range candidates {
		freeElsewhere := free - (m.CPUs - m.BusyCPUs)
		if i >= most || c.Have-m.CPUs < c.Need || freeElsewhere < m.BusyCPUs {
			return candidates[:i]
		}
		c.Have -= m.CPUs
		free -= m.CPUs // its own free capacity, and what its tasks take elsewhere
	}
	return candidates
}
