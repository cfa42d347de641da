package simulation

import "garnethitch/internal/controller"

// Waves of a large fleet: all workers turn to another controller at once.

// aloneFor is how long one controller is left alone with everything.
const aloneFor = 25 * sec

// scheduleWaves ends the leader, later all controllers within a second, later all but
// one for longer than a worker's lease.
func (s *Simulation) scheduleWaves() {
	s.after(12*sec, func() {
		for _, n := range s.Nodes {
			if n.controller != nil && n.controller.Leads() {
				n.crash(8 * sec)
				return
			}
		}
	})
	s.after(30*sec, func() {
		for _, n := range s.Nodes {
			n.crash(s.span(100*ms, sec))
		}
	})
	left := s.Nodes[s.rng.IntN(len(s.Nodes))]
	s.after(45*sec, func() {
		for _, n := range s.Nodes {
			if n != left {
				n.crash(aloneFor)
			}
		}
	})
	s.after(45*sec+aloneFor-sec, func() {
		if left.controller != nil {
			s.MostAlone, s.UpAlone = left.controller.Commanded(), s.up()
		}
	})
}

// up counts the machines that are up.
func (s *Simulation) up() (n int) {
	for _, w := range s.workers {
		if !w.Dead && s.now >= w.UpAt {
			n++
		}
	}
	return n
}

// workSum adds up what steps of one kind cost.
type workSum struct {
	steps, looked, most uint64
}

func (w *workSum) add(looked uint64) {
	w.steps++
	w.looked += looked
	w.most = max(w.most, looked)
}

// mean is what one step looked at.
func (w workSum) mean() float64 { return float64(w.looked) / float64(max(w.steps, 1)) }

// countWork notes what one input made a controller look at.
func (s *Simulation) countWork(in controller.Input, work controller.Work) {
	if work.Round {
		s.Rounds.add(work.Visited)
	} else if _, ok := in.(controller.Heartbeat); ok {
		s.Heartbeats.add(work.Visited)
	}
}
