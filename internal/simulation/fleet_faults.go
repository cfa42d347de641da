package simulation

import (
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
)

// Faults that hit many at a time: a zone, a part of the fleet, all controllers.

// thawInterval is how long a process takes for each of the inputs that waited while it was
// frozen, at a fraction of a core.
const thawInterval micros.Micros = 200

func (n *node) zone() string {
	zones := fakes.Zones()
	return zones[n.id%len(zones)]
}

// cutZone cuts a zone off from everything: its machines from the controllers
// outside, and the controllers inside from the services, the users and the
// others. Machines and controllers inside still reach each other.
func (s *Simulation) cutZone(zone string, mode cutMode, d micros.Micros) {
	s.trace("zone %s is cut off for %v s, mode %s", zone, d.Seconds(), mode)
	s.ZoneCuts++
	var links []string
	for _, n := range s.nodes {
		links = append(links, n.linksAcrossZone(zone)...)
	}
	s.cut(links, mode, d)
}

// linksAcrossZone returns the links of a controller that lead into or out of a zone. The services
// and users are outside.
func (n *node) linksAcrossZone(zone string) (links []string) {
	inside := n.zone() == zone
	for _, name := range n.sim.machineNames {
		machineInside := n.sim.workers[name].Zone == zone
		if machineInside != inside {
			links = append(links, n.workerLink(name))
		}
	}
	if !inside {
		return links
	}
	links = append(links, n.stateLink(), n.cloudLink(), n.userLink())
	for _, peer := range n.sim.nodes {
		if peer.zone() != zone {
			links = append(links, n.peerLink(peer.label))
		}
	}
	return links
}

// killMachines ends a fraction of the fleet at once.
func (s *Simulation) killMachines(fraction float64) {
	for _, w := range s.drawMachines(fraction) {
		w.Dead = true
		s.Died++
	}
}

// hangMachines has a fraction of the fleet hang for a while.
func (s *Simulation) hangMachines(fraction float64, d micros.Micros) {
	for _, w := range s.drawMachines(fraction) {
		w.HungUntil = s.now + d
		s.Hung++
	}
}

// reclaimMachines has the cloud take back the spot machines of a fraction of the fleet.
func (s *Simulation) reclaimMachines(fraction float64) {
	for _, w := range s.drawMachines(fraction) {
		if w.Spot {
			w.AnnounceReclaim(s.between(0, 6*sec))
		}
	}
}

// freeze stops a process for a while, during which its clocks run on and inputs wait.
func (n *node) freeze(d micros.Micros) {
	if n.controller == nil {
		return
	}
	n.sim.trace("%s is frozen for %v s", n.label, d.Seconds())
	n.sim.Frozen++
	n.frozenUntil = n.sim.now + d
	incarnation := n.incarnation
	n.sim.after(d, func() {
		if n.incarnation == incarnation && n.sim.now >= n.frozenUntil {
			n.thaw()
		}
	})
}

// thaw gives a process that is no longer frozen the inputs that waited, and a tick before or
// after them.
func (n *node) thaw() {
	inputs := n.frozenInputs
	n.frozenInputs = nil
	if n.sim.chance(0.5) {
		inputs = append(inputs, controller.Tick{})
	} else {
		inputs = slices.Insert(inputs, 0, controller.Input(controller.Tick{}))
	}
	incarnation := n.incarnation
	for i, in := range inputs {
		n.sim.after(micros.Micros(i)*thawInterval, func() {
			if n.incarnation == incarnation {
				n.handleInput(in)
			}
		})
	}
}

// scheduleFleetFaults schedules faults of many machines or controllers at drawn times, so that
// they overlap with each other and with the faults of single parts.
func (s *Simulation) scheduleFleetFaults() {
	for _, fault := range s.fleetFaults() {
		s.after(s.between(10*sec, s.plan.ActiveTime), fault)
	}
	// A zone is cut off while all controllers are restarted.
	s.after(s.between(15*sec, s.plan.ActiveTime*3/4), func() {
		s.cutZone(s.drawZone(), cutHold, s.between(10*sec, 30*sec))
		s.after(s.between(sec, 5*sec), func() { s.crashAll(20*ms, 3*sec) })
	})
}

// fleetFaults returns the faults that hit many at a time.
func (s *Simulation) fleetFaults() []func() {
	lease := s.cfg.WorkerLease
	return []func(){
		func() { s.cutZone(s.drawZone(), cutHold, s.between(8*sec, 30*sec)) },
		func() { s.cutZone(s.drawZone(), cutReset, s.between(4*sec, 20*sec)) },
		func() { s.killMachines(0.1) },
		func() {
			s.cloud.SetOutage(s.now + s.between(5*sec, 20*sec))
			s.killMachines(0.3)
		},
		func() { s.hangMachines(0.1, s.between(2*sec, 2*lease)) },
		func() { s.reclaimMachines(0.4) },
		func() { s.crashAll(20*ms, 4*sec) },
		func() {
			s.crashAll(20*ms, 400*ms)
			s.after(s.between(sec, 6*sec), func() { s.crashAll(20*ms, 400*ms) })
		},
		func() { s.drawNode().freeze(s.between(sec, 2*lease)) },
		func() {
			for _, n := range s.nodes {
				n.freeze(s.between(sec, 8*sec))
			}
		},
	}
}
