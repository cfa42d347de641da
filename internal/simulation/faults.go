package simulation

import (
	"garnethitch/internal/micros"
)

// This file holds the faults of Plan.Faults, which hit single components and are drawn from the
// seed.

// faultKind is one of the faults that injectFault draws with equal probability. A fault that is
// listed twice is twice as probable.
type faultKind int

const (
	faultCrash faultKind = iota
	faultCrashAgain
	faultCrashAll
	faultRestartsInTurn
	faultStateOutage
	faultCutFromState
	faultCutFromWorkers
	faultCutFromAll
	faultCutFromPeers
	faultCloudOutage
	faultMachine
	faultMachineAgain
	faultStateRefuses
	faultLateCommands
	faultLongCutFromState
	faultLostCommandReplies
	faultUnreachableMachines
	faultCutFromStateAndPeers
	faultQuickRestarts
	faultLateHeartbeats
	faultKindCount
)

// String returns a description of the kind for traces.
func (k faultKind) String() string {
	names := [faultKindCount]string{
		"crash", "crash", "crash of all", "restarts in turn", "outage of the state service",
		"cut from state", "cut from workers", "cut from all", "cut from peers", "outage of the cloud",
		"machine", "machine", "state refuses", "late commands", "long cut from state",
		"lost command replies", "unreachable machines", "cut from state and peers", "quick restarts",
		"late heartbeats",
	}
	return names[k]
}

// singleMachineFault is one of the faults that injectMachineFault draws with equal probability.
type singleMachineFault int

const (
	machineHangs singleMachineFault = iota
	machineFailsTasks
	machineReclaimed
	machineCutOff
	singleMachineFaultCount
)

// scheduleFaults schedules 6 to 14 random faults, which may overlap.
func (s *Simulation) scheduleFaults() {
	count := 6 + s.rng.IntN(9)
	for range count {
		s.after(s.between(5*sec, s.plan.ActiveTime), s.injectFault)
	}
}

// injectFault injects a random fault of controllers, machines, messages or services.
func (s *Simulation) injectFault() {
	n := s.drawNode()
	mode := cutHold
	if s.chance(0.4) {
		mode = cutReset
	}
	d := s.between(sec, 30*sec)
	kind := faultKind(s.rng.IntN(int(faultKindCount)))
	s.trace("fault %s at %s for %v s, mode %s", kind, n.label, d.Seconds(), mode)
	switch kind {
	case faultMachine, faultMachineAgain:
		s.injectMachineFault(mode)
	case faultLostCommandReplies, faultUnreachableMachines, faultLateHeartbeats:
		s.injectMessageFault(kind, d)
	case faultCutFromState, faultCutFromWorkers, faultCutFromAll, faultCutFromPeers, faultLateCommands, faultLongCutFromState, faultCutFromStateAndPeers:
		s.injectCut(kind, n, mode, d)
	case faultStateOutage:
		s.state.SetOutage(s.now + d)
	case faultStateRefuses:
		n.stateRefusedUntil = s.now + d
	case faultCloudOutage:
		s.cloud.SetOutage(s.now + d)
	default:
		s.injectCrash(kind, n)
	}
}

// injectCrash injects a fault in which one or all controllers crash.
func (s *Simulation) injectCrash(kind faultKind, n *node) {
	switch kind {
	case faultCrash, faultCrashAgain:
		n.crash(s.between(50*ms, 6*sec))
	case faultCrashAll:
		s.crashAll(50*ms, 4*sec)
	case faultRestartsInTurn:
		for i, each := range s.nodes {
			s.after(micros.Micros(i)*8*sec, func() { each.crash(s.between(50*ms, 4*sec)) })
		}
	case faultQuickRestarts:
		s.restartQuickly(n)
	}
}

// crashAll crashes all controllers, each with a downtime drawn between shortest and longest.
func (s *Simulation) crashAll(shortest, longest micros.Micros) {
	for _, n := range s.nodes {
		n.crash(s.between(shortest, longest))
	}
}

// restartQuickly crashes a controller, and the others within the seconds in which they take over
// its locks. Each is back within a fraction of a second.
func (s *Simulation) restartQuickly(first *node) {
	first.crash(s.between(20*ms, 400*ms))
	for _, n := range s.nodes {
		if n != first {
			s.after(s.between(100*ms, 5*sec), func() { n.crash(s.between(20*ms, 400*ms)) })
		}
	}
}

// injectCut injects a fault in which some links of a controller are cut.
func (s *Simulation) injectCut(kind faultKind, n *node, mode cutMode, d micros.Micros) {
	state := []string{n.stateLink()}
	switch kind {
	case faultCutFromState:
		s.cut(state, mode, d)
	case faultCutFromWorkers:
		s.cut(n.workerLinks(), mode, d)
	case faultCutFromAll:
		s.cut(append(append(n.workerLinks(), n.peerLinks()...), n.stateLink(), n.cloudLink()), mode, d)
	case faultCutFromPeers:
		s.cut(n.peerLinks(), mode, d)
	case faultLateCommands:
		// Messages to workers arrive after the controller has crashed, and after those of its
		// successor.
		s.cut(n.workerLinks(), cutHold, s.between(4*sec, 14*sec))
		s.after(s.between(100*ms, 3*sec), func() { n.crash(s.between(4*sec, 20*sec)) })
	case faultLongCutFromState:
		// The controller loses its locks, returns with a stale view and soon owns shards again.
		s.cut(state, mode, s.between(5*sec, 25*sec))
	case faultCutFromStateAndPeers: // the controller still reaches its workers
		s.cut(append(n.peerLinks(), state...), mode, s.between(5*sec, 35*sec))
	}
}

// drawMachineFaultDuration draws how long a machine hangs or is cut off: some faults last less than
// a second.
func (s *Simulation) drawMachineFaultDuration() micros.Micros {
	if s.chance(0.3) {
		return s.between(50*ms, 800*ms)
	}
	return s.between(sec, 25*sec)
}

// injectMachineFault injects a random fault at a random machine. mode is used if the machine is cut
// off.
func (s *Simulation) injectMachineFault(mode cutMode) {
	if len(s.machineNames) == 0 {
		return
	}
	w := s.drawWorker()
	switch singleMachineFault(s.rng.IntN(int(singleMachineFaultCount))) {
	case machineHangs:
		w.HungUntil = s.now + s.drawMachineFaultDuration()
	case machineFailsTasks:
		w.FaultyUntil = s.now + 40*sec
	case machineReclaimed:
		if w.Spot {
			w.AnnounceReclaim(s.between(0, 6*sec))
		}
	case machineCutOff:
		var links []string
		for _, n := range s.nodes {
			links = append(links, n.workerLink(w.ID))
		}
		s.cut(links, mode, s.drawMachineFaultDuration())
	}
}

// injectMessageFault injects a fault in which messages from or to machines are lost, delayed or
// duplicated.
func (s *Simulation) injectMessageFault(kind faultKind, d micros.Micros) {
	switch kind {
	case faultUnreachableMachines:
		// Heartbeats arrive, but replies and commands do not reach the machines.
		for range min(len(s.machineNames), 1+s.rng.IntN(4)) {
			s.drawWorker().unreachableUntil = s.now + s.between(4*sec, 30*sec)
			s.Unreachable++
		}
	case faultLateHeartbeats:
		// Many heartbeats are duplicated, and the duplicates arrive late at any controller.
		s.duplicateBurstUntil = s.now + d
	case faultLostCommandReplies: // a machine's replies to commands are lost
		if len(s.machineNames) > 0 {
			w := s.drawWorker()
			s.lostRepliesUntil[w.ID] = s.now + s.between(2*sec, 10*sec)
		}
	}
}
