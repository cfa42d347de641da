package simulation

import (
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
)

// between draws a duration or a time between from and to.
func (s *Simulation) between(from, to micros.Micros) micros.Micros {
	return s.rng.Between(from, to)
}

// chance returns true with the given probability.
func (s *Simulation) chance(probability float64) bool { return s.rng.Chance(probability) }

func (s *Simulation) drawZone() string {
	zones := fakes.Zones()
	return zones[s.rng.IntN(len(zones))]
}

func (s *Simulation) drawNode() *node { return s.nodes[s.rng.IntN(len(s.nodes))] }

// drawWorker draws one of all workers that ever existed.
func (s *Simulation) drawWorker() *worker {
	return s.workers[s.machineNames[s.rng.IntN(len(s.machineNames))]]
}

// drawMachines draws a random subset of the machines that are up; fraction is the probability of
// each.
func (s *Simulation) drawMachines(fraction float64) (workers []*worker) {
	for _, name := range s.machineNames {
		if w := s.workers[name]; w.Up() && s.chance(fraction) {
			workers = append(workers, w)
		}
	}
	return workers
}

// drawBootTime draws how long a rented machine takes to boot.
func (s *Simulation) drawBootTime() micros.Micros {
	if s.now < s.concurrentFaults.fastBootUntil {
		return s.between(200*ms, 2*sec)
	}
	return s.between(sec, 10*sec)
}
