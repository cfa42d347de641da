package simulation

import (
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
)

// maxClockDrift is by how many millionths a clock may run fast.
const maxClockDrift = 500

// between draws a duration.
func (s *Simulation) between(from, to micros.Micros) micros.Micros {
	return from + micros.Micros(s.rng.Int64N(int64(to-from)+1))
}

// chance reports true with a probability.
func (s *Simulation) chance(probability float64) bool { return s.rng.Float64() < probability }

func (s *Simulation) drawZone() string {
	zones := fakes.Zones()
	return zones[s.rng.IntN(len(zones))]
}

func (s *Simulation) drawNode() *Node { return s.nodes[s.rng.IntN(len(s.nodes))] }

// drawWorker draws a worker of all that there have been.
func (s *Simulation) drawWorker() *Worker {
	return s.workers[s.machineNames[s.rng.IntN(len(s.machineNames))]]
}

// drawMachines draws a fraction of the machines that are up.
func (s *Simulation) drawMachines(fraction float64) (workers []*Worker) {
	for _, name := range s.machineNames {
		if w := s.workers[name]; s.up(w) && s.chance(fraction) {
			workers = append(workers, w)
		}
	}
	return workers
}

// up reports whether a machine is up.
func (s *Simulation) up(w *Worker) bool { return !w.Dead && s.now >= w.UpAt }

// drawClockDrift draws by how many millionths a clock runs fast.
func (s *Simulation) drawClockDrift() int64 { return s.rng.Int64N(maxClockDrift + 1) }

// drifted returns what a clock shows that runs fast.
func drifted(t micros.Micros, drift int64) micros.Micros {
	return t + micros.Micros(int64(t)*drift/1_000_000)
}

// drawBootTime draws how long a rented machine takes to come up.
func (s *Simulation) drawBootTime() micros.Micros {
	if s.now < s.concurrent.quickBootUntil {
		return s.between(200*ms, 2*sec)
	}
	return s.between(sec, 10*sec)
}
