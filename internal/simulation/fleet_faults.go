package simulation

import (
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
)

// This file holds the faults of Plan.FleetFaults, which hit a whole zone, a part of the fleet or
// all controllers at once.

// thawInterval is the time between the queued inputs that a thawed process handles. It is what one
// input takes on a fraction of a core.
const thawInterval micros.Micros = 200

// zone returns the zone in which the controller runs.
func (n *node) zone() string {
	zones := fakes.Zones()
	return zones[n.id%len(zones)]
}

// cutZone cuts a zone off for the duration d: its machines from the controllers outside, and its
// controllers from the machines and controllers outside, the services and the users. Machines and
// controllers inside the zone still reach each other.
func (s *Simulation) cutZone(zone string, mode cutMode, d micros.Micros) {
	s.trace("zone %s is cut off for %v s, mode %s", zone, d.Seconds(), mode)
	s.ZoneCuts++
	var links []string
	for _, n := range s.nodes {
		links = append(links, n.linksAcrossZone(zone)...)
	}
	s.cut(links, mode, d)
}

// linksAcrossZone returns the links of the controller that cross the border of a zone. The services
// and the users are outside every zone.
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

// killMachines ends a fraction of the machines at once and for good.
func (s *Simulation) killMachines(fraction float64) {
	for _, w := range s.drawMachines(fraction) {
		w.Dead = true
		s.Died++
	}
}

// hangMachines makes a fraction of the machines hang for the duration d.
func (s *Simulation) hangMachines(fraction float64, d micros.Micros) {
	for _, w := range s.drawMachines(fraction) {
		w.HungUntil = s.now + d
		s.Hung++
	}
}

// reclaimMachines makes the cloud reclaim the spot machines among a fraction of the machines.
func (s *Simulation) reclaimMachines(fraction float64) {
	for _, w := range s.drawMachines(fraction) {
		if w.Spot {
			w.AnnounceReclaim(s.between(0, 6*sec))
		}
	}
}

// freeze stops the process for the duration d. Its clocks keep running, and inputs wait.
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

// thaw resumes a frozen process. It handles the inputs that waited, and a tick before or after
// them.
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

// scheduleFleetFaults schedules the fleet faults at random times, so that they overlap with each
// other and with the faults of single components.
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

// fleetFaults returns the faults that hit many machines or controllers at once.
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
