package fleet

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

const (
	// maxDrainingDivisor divides the number of a shard's machines to give the maximum number of
	// machines that are drained at the same time. One machine may always be drained.
	maxDrainingDivisor = 20
	// minRemainingRunTime is how long a machine's tasks must still run for the machine to be worth
	// draining.
	minRemainingRunTime = 30 * micros.Second
	// repeatedWorkWeight weighs work that must be repeated against unused machine time. It is
	// above 1 because the user also waits for the repeated work.
	repeatedWorkWeight = 3
	// minDrainGain is the gain above which a machine is worth draining, in CPU seconds.
	minDrainGain = 200
)

// DrainCandidate is a busy machine that may be drained and then returned to the cloud.
type DrainCandidate struct {
	peer.Machine
	CPUs float64
}

// unusedWork returns the capacity of the machine that remains unused until its tasks end, in CPU
// seconds.
func (m DrainCandidate) unusedWork() float64 { return UnusedWork(m.Machine, m.CPUs) }

// gain returns the benefit of draining the machine, in CPU seconds: the unused capacity saved
// minus the weighted work that must be repeated.
func (m DrainCandidate) gain() float64 {
	return m.unusedWork() - float64(repeatedWorkWeight*micros.Micros(m.LostWorkUS).Seconds())
}

// worthDraining reports whether the machine would otherwise stay mostly unused for a long time.
func (m DrainCandidate) worthDraining() bool {
	mostlyUnused := 2*m.BusyCPUs <= m.CPUs
	return mostlyUnused && micros.Micros(m.RemainingUS) >= minRemainingRunTime && m.gain() > minDrainGain
}

// Consolidation decides which busy machines to drain.
type Consolidation struct {
	// Have is the number of CPUs in the fleet, and Need the number of CPUs that the fleet needs.
	Have, Need float64
}

// Choose returns the machines of a shard to drain, ordered by decreasing gain. Their tasks
// continue on free capacity of the shard's other machines. draining is the number of machines that
// are already being drained. Choose subtracts the CPUs of the chosen machines from Have.
func (c *Consolidation) Choose(demand *peer.Demand, candidates []DrainCandidate, draining int) []DrainCandidate {
	candidates = slices.DeleteFunc(candidates, func(m DrainCandidate) bool { return !m.worthDraining() })
	slices.SortStableFunc(candidates, func(a, b DrainCandidate) int { return -cmp.Compare(a.gain(), b.gain()) })
	maxChosen := max(1, demand.TotalMachines/maxDrainingDivisor) - draining
	free := demand.CPUs - demand.BusyCPUs
	for i, m := range candidates {
		freeElsewhere := free - (m.CPUs - m.BusyCPUs)
		if i >= maxChosen || c.Have-m.CPUs < c.Need || freeElsewhere < m.BusyCPUs {
			return candidates[:i]
		}
		c.Have -= m.CPUs
		free -= m.CPUs // its own free capacity, and the capacity that its tasks take on other machines
	}
	return candidates
}
