package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Concurrent faults overlap with each other, and with the faults of single parts.

const (
	// concurrentFaultCount is how many of the concurrent faults a run has.
	concurrentFaultCount = 9
	// maxKeptHeartbeats is how many copies of heartbeats are kept at a time.
	maxKeptHeartbeats = 400
	// keptFraction of heartbeats are.
	keptFraction = 0.3
	// maxReplayDelay is within what time kept heartbeats are delivered.
	maxReplayDelay = 60 * ms
)

// concurrentFaults is the state of the concurrent faults that last for a while.
type concurrentFaults struct {
	unansweredWrites unansweredWrites

	// kept are copies of heartbeats, which are replayed when the next leader or owner begins.
	keepUntil micros.Micros
	kept      []*wire.Heartbeat

	repeatUntil      micros.Micros // until then users repeat requests within milliseconds
	cancelAtEndUntil micros.Micros // until then they cancel jobs at the end of the last task
	fastBootUntil    micros.Micros // until then machines are up within two seconds
}

// unansweredWrites are transactions that get no answer.
type unansweredWrites struct {
	fraction  float64
	until     micros.Micros
	immediate bool  // they are carried out when they come, else some seconds later
	onlyNode  *node // that it happens to; nil: to all
}

// startUnansweredWrites has a fraction of all transactions get no answer for a while.
func (s *Simulation) startUnansweredWrites(fraction float64, immediate bool, d micros.Micros) {
	s.concurrentFaults.unansweredWrites = unansweredWrites{fraction: fraction, until: s.now + d, immediate: immediate}
}

// affects reports whether a call is a transaction that may get no answer.
func (l *unansweredWrites) affects(n *node, call controller.Call, now micros.Micros) bool {
	_, isTxn := call.Req.(wire.Txn)
	return isTxn && now < l.until && (l.onlyNode == nil || l.onlyNode == n)
}

// maybeExecuteUnanswered may carry a transaction out without an answer, and reports whether it does.
func (s *Simulation) maybeExecuteUnanswered(n *node, call controller.Call) bool {
	late := &s.concurrentFaults.unansweredWrites
	if !late.affects(n, call, s.now) || !s.chance(late.fraction) {
		return false
	}
	s.Concurrent.UnansweredWrites++
	delay := micros.Micros(0)
	if !late.immediate {
		delay = s.between(2*sec, 12*sec)
	}
	s.after(delay, func() { s.serve(call, func(controller.Result) {}) })
	return true
}

// keepHeartbeat may keep a copy of a heartbeat, to be replayed when the next leader or owner
// begins.
func (s *Simulation) keepHeartbeat(heartbeat *wire.Heartbeat) {
	c := &s.concurrentFaults
	if s.now < c.keepUntil && len(c.kept) < maxKeptHeartbeats && s.chance(keptFraction) {
		c.kept = append(c.kept, heartbeat)
	}
}

// replayHeartbeats delivers the heartbeats that were kept to every controller, just as a new
// leader or owner begins, before and after it knows of that. The replies are lost.
func (s *Simulation) replayHeartbeats() {
	kept := s.concurrentFaults.kept
	s.concurrentFaults.kept = nil
	for _, heartbeat := range kept {
		for _, n := range s.nodes {
			s.Concurrent.ReplayedHeartbeats++
			s.after(s.between(0, maxReplayDelay), func() { n.deliverHeartbeat(heartbeat, func(controller.Answer) {}) })
		}
	}
}

// cutHeartbeats keeps a fraction of the machines from reaching any controller.
func (s *Simulation) cutHeartbeats(fraction float64, d micros.Micros) {
	for _, w := range s.drawMachines(fraction) {
		w.cutOffUntil = s.now + d
		s.Concurrent.CutHeartbeats++
	}
}

// makeUnreachable keeps what is sent to a fraction of the machines from arriving.
func (s *Simulation) makeUnreachable(fraction float64, d micros.Micros) {
	for _, w := range s.drawMachines(fraction) {
		w.unreachableUntil = s.now + d
		s.Unreachable++
	}
}

// owner returns the controller that owns most shards and leads, as far as the state
// service knows.
func (s *Simulation) owner() *node {
	locks := s.state.LocksByController()
	owner := s.nodes[0]
	for _, n := range s.nodes {
		if locks[n.label] > locks[owner.label] {
			owner = n
		}
	}
	return owner
}

// crashOwner ends the owner for a time up to longest.
func (s *Simulation) crashOwner(longest micros.Micros) {
	s.owner().crash(s.between(20*ms, longest))
}

// scheduleConcurrentFaults schedules drawn concurrent faults one after the other.
func (s *Simulation) scheduleConcurrentFaults() {
	faults := append(s.ownerFaults(), s.messageFaults()...)
	s.rng.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	for i, fault := range faults[:concurrentFaultCount] {
		at := micros.Micros(i) * (s.plan.ActiveTime - 10*sec) / concurrentFaultCount
		s.after(s.between(5*sec, 9*sec)+at, fault)
	}
}

// ownerFaults returns the concurrent faults in which controllers end or change.
func (s *Simulation) ownerFaults() []func() {
	return []func(){
		s.oldHeartbeatsAtFailover,
		s.cancelDuringFailover,
		s.allAwayForLongerThanLease,
		s.heartbeatsLostAtFailover,
		s.fastBootsAndUnansweredWrites,
		s.ownerRefusedBeforeOutage,
		s.failoversInSeries,
	}
}

// oldHeartbeatsAtFailover is the case that a heartbeat is held back until a new leader has acted;
// an old one reaches every controller just as it begins; copies come after newer ones.
func (s *Simulation) oldHeartbeatsAtFailover() {
	s.concurrentFaults.keepUntil = s.now + 20*sec
	s.duplicateBurstUntil = s.now + 30*sec
	s.after(s.between(2*sec, 18*sec), func() { s.crashOwner(5 * sec) })
}

// cancelDuringFailover is the case that jobs are cancelled in the seconds in which shards change
// owners.
func (s *Simulation) cancelDuringFailover() {
	s.crashOwner(6 * sec)
	for range 4 {
		s.after(s.between(0, 6*sec), func() { s.cancelRunning(2, s.between(0, s.cfg.WorkerLease)) })
	}
}

// allAwayForLongerThanLease is the case that all controllers are away for longer than a worker's
// lease.
func (s *Simulation) allAwayForLongerThanLease() {
	s.cancelRunning(3, 0)
	for _, n := range s.nodes {
		n.crash(s.cfg.WorkerLease + s.between(0, 4*sec))
	}
}

// heartbeatsLostAtFailover is the case that workers reach no controller, while commands reach them;
// a leader changes.
func (s *Simulation) heartbeatsLostAtFailover() {
	lease := s.cfg.WorkerLease
	s.cutHeartbeats(0.5, s.between(lease/2, 2*lease))
	s.after(s.between(0, lease), func() { s.crashOwner(4 * sec) })
}

// fastBootsAndUnansweredWrites is the case that new machines are up at once while writes lag, and the
// leader ends.
func (s *Simulation) fastBootsAndUnansweredWrites() {
	s.concurrentFaults.fastBootUntil = s.now + 30*sec
	s.startUnansweredWrites(0.5, s.chance(0.5), 20*sec)
	s.killMachines(0.3)
	s.after(s.between(2*sec, 15*sec), func() { s.crashOwner(4 * sec) })
}

// ownerRefusedBeforeOutage is the case that the state service refuses the leader alone and then
// everybody for longer than a cancellation may take, while users cancel and ask.
func (s *Simulation) ownerRefusedBeforeOutage() {
	s.owner().stateRefusedUntil = s.now + s.between(2*sec, 8*sec)
	s.cancelRunning(3, 0)
	s.after(s.between(sec, 5*sec), func() {
		s.state.SetOutage(s.now + s.cfg.Cancel + 5*sec)
		s.cancelRunning(2, 0)
	})
}

// failoversInSeries is the case that shards change owners back and forth, also within a second, and
// all end.
func (s *Simulation) failoversInSeries() {
	for i := range 10 {
		s.after(micros.Micros(i)*3*sec, func() { s.crashOwner(sec) })
	}
	s.after(s.between(5*sec, 25*sec), func() { s.crashAll(20*ms, 500*ms) })
	s.after(s.between(5*sec, 25*sec), func() { s.state.SetOutage(s.now + s.between(sec, 6*sec)) })
	s.after(s.between(5*sec, 25*sec), func() { s.cancelRunning(2, 0) })
}

// messageFaults returns the concurrent faults in which messages are late, lost or invalid.
func (s *Simulation) messageFaults() []func() {
	return []func(){
		s.machinesUnreachableAtFailover,
		func() { s.startUnansweredWrites(0.5, false, 25*sec) },
		func() { s.startUnansweredWrites(0.5, true, 25*sec) },
		s.leaderCutFromStateAndPeers,
		s.cancelOnHangingMachines,
		func() { s.concurrentFaults.cancelAtEndUntil = s.now + 30*sec },
		func() { s.sendInvalidRequests(40 * sec) },
		func() { s.concurrentFaults.repeatUntil = s.now + 40*sec },
	}
}

// machinesUnreachableAtFailover is the case that a leader ends while machines can't be reached, or
// don't get the new one's reply.
func (s *Simulation) machinesUnreachableAtFailover() {
	lease := s.cfg.WorkerLease
	s.makeUnreachable(0.4, s.between(lease/2, lease+5*sec))
	s.after(s.between(0, 4*sec), func() { s.crashOwner(5 * sec) })
}

// leaderCutFromStateAndPeers is the case that a leader keeps its workers and users only; jobs are
// cancelled through another.
func (s *Simulation) leaderCutFromStateAndPeers() {
	lease := s.cfg.WorkerLease
	n := s.owner()
	s.cut(append(n.peerLinks(), n.stateLink()), cutReset, s.between(lease, 2*lease))
	for range 3 {
		s.after(s.between(0, lease), func() { s.cancelRunning(2, 0) })
	}
}

// cancelOnHangingMachines is the case of teams at their limits, cancelled jobs whose machines
// hang or are cut off, and a leader that changes.
func (s *Simulation) cancelOnHangingMachines() {
	lease := s.cfg.WorkerLease
	s.cancelRunning(6, s.between(lease/2, lease+4*sec))
	s.hangMachines(0.2, s.between(sec, lease))
	s.after(s.between(0, 3*sec), func() { s.crashOwner(5 * sec) })
}
