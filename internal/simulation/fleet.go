package simulation

import (
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
)

// Faults that hit many at a time: a zone, a part of the fleet, all controllers.

func (n *Node) zone() string {
	zones := fakes.Zones()
	return zones[n.id%len(zones)]
}

// cutZone parts a zone from everything: its machines from the controllers
// outside, and the controllers inside from the services, the users and the
// others. What is inside goes on among itself.
func (s *Simulation) cutZone(zone string, mode cutMode, d micros.Micros) {
	s.trace("zone %s is cut off for %v s, mode %d", zone, d.Seconds(), mode)
	s.ZoneCuts++
	var links []string
	for _, n := range s.Nodes {
		in := n.zone() == zone
		for _, name := range s.names {
			if (s.workers[name].Zone == zone) != in {
				links = append(links, n.label+"-"+name)
			}
		}
		if !in {
			continue
		}
		links = append(links, n.label+"-state", n.label+"-cloud", "user-"+n.label)
		for _, o := range s.Nodes {
			if o.zone() != zone {
				links = append(links, n.peerLink(o.label))
			}
		}
	}
	s.cut(links, mode, d)
}

// some draws a part of the machines that are up.
func (s *Simulation) some(part float64) (out []*Worker) {
	for _, name := range s.names {
		if w := s.workers[name]; !w.Dead && s.now >= w.UpAt && s.chance(part) {
			out = append(out, w)
		}
	}
	return out
}

// massDeath ends a part of the fleet in one go, massHang stops it for a while,
// and massTaken has the cloud take back a part of the cheap machines.
func (s *Simulation) massDeath(part float64) {
	for _, w := range s.some(part) {
		w.Dead = true
		s.Died++
	}
}

func (s *Simulation) massHang(part float64, d micros.Micros) {
	for _, w := range s.some(part) {
		w.hungUntil = s.now + d
		s.Hung++
	}
}

func (s *Simulation) massTaken(part float64) {
	for _, w := range s.some(part) {
		if w.Spot {
			w.notice(s.span(0, 6*sec))
		}
	}
}

// freeze stops a process while its clocks run on. What comes in meanwhile waits,
// and is met all at once.
func (n *Node) freeze(d micros.Micros) {
	if n.controller == nil {
		return
	}
	n.sim.trace("%s stands still for %v s", n.label, d.Seconds())
	n.sim.Frozen++
	n.frozenUntil = n.sim.now + d
	life := n.life
	n.sim.after(d, func() {
		if n.life != life || n.sim.now < n.frozenUntil {
			return
		}
		waiting := n.waiting
		n.waiting = nil
		if n.sim.chance(0.5) {
			waiting = append(waiting, controller.Tick{})
		} else {
			waiting = slices.Insert(waiting, 0, controller.Input(controller.Tick{}))
		}
		for i, in := range waiting {
			// A fraction of a core takes its time for thousands of inputs.
			n.sim.after(micros.Micros(i)*200, func() {
				if n.life == life {
					n.step(in)
				}
			})
		}
	})
}

// scheduleFleetFaults lets what hits many happen one upon the other, in an order
// that the seed draws, beside the faults of single parts.
func (s *Simulation) scheduleFleetFaults() {
	all := func(down micros.Micros) {
		for _, n := range s.Nodes {
			n.crash(s.span(20*ms, down))
		}
	}
	someNode := func() *Node { return s.Nodes[s.rng.IntN(len(s.Nodes))] }
	faults := []func(){
		func() { s.cutZone(s.zone(), cutHold, s.span(8*sec, 30*sec)) },
		func() { s.cutZone(s.zone(), cutReset, s.span(4*sec, 20*sec)) },
		func() { s.massDeath(0.1) },
		func() {
			s.cloud.SetOutage(s.now + s.span(5*sec, 20*sec))
			s.massDeath(0.3)
		},
		func() { s.massHang(0.1, s.span(2*sec, 2*s.cfg.WorkerLease)) },
		func() { s.massTaken(0.4) },
		func() { all(4 * sec) },
		func() {
			all(400 * ms)
			s.after(s.span(sec, 6*sec), func() { all(400 * ms) })
		},
		func() { someNode().freeze(s.span(sec, 2*s.cfg.WorkerLease)) },
		func() {
			for _, n := range s.Nodes {
				n.freeze(s.span(sec, 8*sec))
			}
		},
	}
	for _, f := range faults {
		s.after(s.span(10*sec, s.plan.Length), f)
	}
	// A zone is cut off while all controllers are restarted.
	s.after(s.span(15*sec, s.plan.Length*3/4), func() {
		s.cutZone(s.zone(), cutHold, s.span(10*sec, 30*sec))
		s.after(s.span(sec, 5*sec), func() { all(3 * sec) })
	})
}
