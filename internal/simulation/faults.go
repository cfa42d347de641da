package simulation

import (
	"garnethitch/internal/micros"
)

// Faults that hit single parts, drawn by the seed.

// pause is how long a machine is away: often it is back within a moment.
func (s *Simulation) pause() micros.Micros {
	if s.chance(0.3) {
		return s.span(50*ms, 800*ms)
	}
	return s.span(sec, 25*sec)
}

// scheduleFaults draws what goes wrong, overlapping as it comes.
func (s *Simulation) scheduleFaults() {
	n := 6 + s.rng.IntN(9)
	for range n {
		s.after(s.span(5*sec, s.plan.Length), s.fault)
	}
}

// faultKind is one of the faults that fault draws, each as often as it is listed.
type faultKind int

const (
	faultCrash faultKind = iota
	faultCrashAgain
	faultCrashAll
	faultRestartInTurn
	faultStateOutage
	faultCutFromState
	faultCutFromWorkers
	faultCutFromAll
	faultCutFromPeers
	faultCloudOutage
	faultMachine
	faultMachineAgain
	faultRefused
	faultLateCommands
	faultLosesState
	faultLostCommandReplies
	faultUnreachableMachines
	faultOnlyWorkersLeft
	faultBackAtOnce
	faultLateReports
	faultKinds
)

// fault brings one fault about.
func (s *Simulation) fault() {
	n := s.Nodes[s.rng.IntN(len(s.Nodes))]
	mode := cutHold
	if s.chance(0.4) {
		mode = cutReset
	}
	d := s.span(sec, 30*sec)
	what := faultKind(s.rng.IntN(int(faultKinds)))
	s.trace("fault %d at %s for %v s, mode %d", what, n.label, d.Seconds(), mode)
	switch what {
	case faultMachine, faultMachineAgain:
		s.machineFault(mode)
	case faultLostCommandReplies, faultUnreachableMachines, faultLateReports:
		s.messageFault(what, d)
	case faultCutFromState, faultCutFromWorkers, faultCutFromAll, faultCutFromPeers, faultLateCommands, faultLosesState, faultOnlyWorkersLeft:
		s.cutFault(what, n, mode, d)
	default:
		s.processFault(what, n, d)
	}
}

// processFault ends controllers, or takes a service away.
func (s *Simulation) processFault(what faultKind, n *Node, d micros.Micros) {
	switch what {
	case faultCrash, faultCrashAgain:
		n.crash(s.span(50*ms, 6*sec))
	case faultCrashAll:
		for _, o := range s.Nodes {
			o.crash(s.span(50*ms, 4*sec))
		}
	case faultRestartInTurn:
		for i, o := range s.Nodes {
			s.after(micros.Micros(i)*8*sec, func() { o.crash(s.span(50*ms, 4*sec)) })
		}
	case faultBackAtOnce: // and so are the others while its locks are being taken
		n.crash(s.span(20*ms, 400*ms))
		for _, o := range s.Nodes {
			if o != n {
				s.after(s.span(100*ms, 5*sec), func() { o.crash(s.span(20*ms, 400*ms)) })
			}
		}
	case faultStateOutage:
		s.state.SetOutage(s.now + d)
	case faultRefused:
		n.stateRefusedUntil = s.now + d
	case faultCloudOutage:
		s.cloud.SetOutage(s.now + d)
	}
}

// cutFault cuts a controller off.
func (s *Simulation) cutFault(what faultKind, n *Node, mode cutMode, d micros.Micros) {
	state := n.label + "-state"
	switch what {
	case faultCutFromState:
		s.cut([]string{state}, mode, d)
	case faultCutFromWorkers:
		s.cut(n.workerLinks(), mode, d)
	case faultCutFromAll:
		s.cut(append(append(n.workerLinks(), n.peerLinks()...), state, n.label+"-cloud"), mode, d)
	case faultCutFromPeers:
		s.cut(n.peerLinks(), mode, d)
	case faultLateCommands: // its messages to workers are held back, it ends, and they arrive after a successor's
		s.cut(n.workerLinks(), cutHold, s.span(4*sec, 14*sec))
		s.after(s.span(100*ms, 3*sec), func() { n.crash(s.span(4*sec, 20*sec)) })
	case faultLosesState: // for good; it comes back with an old view, and soon owns again
		s.cut([]string{state}, mode, s.span(5*sec, 25*sec))
	case faultOnlyWorkersLeft: // it loses the state service and the others, not its workers
		s.cut(append(n.peerLinks(), state), mode, s.span(5*sec, 35*sec))
	}
}

// machineFault is something that happens to one machine.
func (s *Simulation) machineFault(mode cutMode) {
	if len(s.names) == 0 {
		return
	}
	w := s.workers[s.names[s.rng.IntN(len(s.names))]]
	switch s.rng.IntN(4) {
	case 0: // hangs, and goes on
		w.hungUntil = s.now + s.pause()
	case 1: // fails every task
		w.faultyUntil = s.now + 40*sec
	case 2: // taken away
		if w.Spot {
			w.notice(s.span(0, 6*sec))
		}
	case 3: // cut off from the nodes
		var links []string
		for _, o := range s.Nodes {
			links = append(links, o.label+"-"+w.ID)
		}
		s.cut(links, mode, s.pause())
	}
}

// messageFault loses or delays messages of machines.
func (s *Simulation) messageFault(what faultKind, d micros.Micros) {
	switch what {
	case faultUnreachableMachines: // their heartbeats arrive; answers and commands don't reach them
		for range min(len(s.names), 1+s.rng.IntN(4)) {
			w := s.workers[s.names[s.rng.IntN(len(s.names))]]
			w.unreachableUntil = s.now + s.span(4*sec, 30*sec)
			s.Unreachable++
		}
	case faultLateReports: // copies of heartbeats come late, to any node
		s.copiesUntil = s.now + d
	case faultLostCommandReplies: // answers of one machine are lost for a while
		if len(s.names) > 0 {
			w := s.names[s.rng.IntN(len(s.names))]
			s.lostCommandReplies[w] = s.now + s.span(2*sec, 10*sec)
		}
	}
}
