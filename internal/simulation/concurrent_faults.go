package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file holds the faults of Plan.ConcurrentFaults. They overlap with each other, and with the
// faults of single components.

const (
	// concurrentFaultCount is the number of concurrent faults in a run.
	concurrentFaultCount = 9
	// maxKeptHeartbeats is the maximum number of heartbeats kept for replay.
	maxKeptHeartbeats = 400
	// keptFraction is the fraction of heartbeats that are kept for replay.
	keptFraction = 0.3
	// maxReplayDelay is the time within which kept heartbeats are delivered once a replay begins.
	maxReplayDelay = 60 * ms
)

// concurrentFaults is the state of the concurrent faults that last for some time.
type concurrentFaults struct {
	unansweredWrites unansweredWrites

	// Until keepUntil, heartbeats are kept. They are replayed when the next leader or owner takes
	// its lock.
	keepUntil micros.Micros
	kept      []*wire.Heartbeat

	repeatUntil      micros.Micros // until then users repeat requests within milliseconds
	cancelAtEndUntil micros.Micros // until then users cancel jobs as the last task ends
	fastBootUntil    micros.Micros // machines that are rented until then are up within two seconds
}

// unansweredWrites describes the fault that transactions are executed but get no answer.
type unansweredWrites struct {
	fraction  float64 // of the transactions
	until     micros.Micros
	immediate bool  // execute the transactions when they arrive, rather than some seconds later
	onlyNode  *node // the only controller that is affected; nil: all are
}

// startUnansweredWrites starts the fault of unanswered writes at all controllers for the duration
// d.
func (s *Simulation) startUnansweredWrites(fraction float64, immediate bool, d micros.Micros) {
	s.concurrentFaults.unansweredWrites = unansweredWrites{fraction: fraction, until: s.now + d, immediate: immediate}
}

// affects reports whether a call of a controller is a transaction that may get no answer.
func (w *unansweredWrites) affects(n *node, call controller.Call, now micros.Micros) bool {
	_, isTxn := call.Req.(wire.Txn)
	return isTxn && now < w.until && (w.onlyNode == nil || w.onlyNode == n)
}

// maybeExecuteUnanswered decides whether a call is executed without an answer, and reports whether
// it is.
func (s *Simulation) maybeExecuteUnanswered(n *node, call controller.Call) bool {
	fault := &s.concurrentFaults.unansweredWrites
	if !fault.affects(n, call, s.now) || !s.chance(fault.fraction) {
		return false
	}
	s.Concurrent.UnansweredWrites++
	delay := micros.Micros(0)
	if !fault.immediate {
		delay = s.between(2*sec, 12*sec)
	}
	s.after(delay, func() { s.serve(call, func(controller.Result) {}) })
	return true
}

// keepHeartbeat may keep a heartbeat, to be replayed when the next leader or owner takes its lock.
func (s *Simulation) keepHeartbeat(heartbeat *wire.Heartbeat) {
	c := &s.concurrentFaults
	if s.now < c.keepUntil && len(c.kept) < maxKeptHeartbeats && s.chance(keptFraction) {
		c.kept = append(c.kept, heartbeat)
	}
}

// replayHeartbeats delivers the kept heartbeats to every controller. It is called when a new leader
// or owner takes its lock, so that heartbeats arrive before and after the controller learns that it
// has the lock. The replies are lost.
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

// cutHeartbeats prevents a fraction of the machines from reaching any controller for the duration
// d.
func (s *Simulation) cutHeartbeats(fraction float64, d micros.Micros) {
	for _, w := range s.drawMachines(fraction) {
		w.cutOffUntil = s.now + d
		s.Concurrent.CutHeartbeats++
	}
}

// makeUnreachable drops everything that is sent to a fraction of the machines for the duration d.
func (s *Simulation) makeUnreachable(fraction float64, d micros.Micros) {
	for _, w := range s.drawMachines(fraction) {
		w.unreachableUntil = s.now + d
		s.Unreachable++
	}
}

// owner returns the controller that holds the most locks of shards and of the leader in the state
// service.
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

// crashOwner crashes the owner with a random downtime of at most longest.
func (s *Simulation) crashOwner(longest micros.Micros) {
	s.owner().crash(s.between(20*ms, longest))
}

// scheduleConcurrentFaults schedules concurrentFaultCount of the concurrent faults in random order.
// They start one after the other.
func (s *Simulation) scheduleConcurrentFaults() {
	faults := append(s.ownerFaults(), s.messageFaults()...)
	s.rng.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	for i, fault := range faults[:concurrentFaultCount] {
		at := micros.Micros(i) * (s.plan.ActiveTime - 10*sec) / concurrentFaultCount
		s.after(s.between(5*sec, 9*sec)+at, fault)
	}
}

// ownerFaults returns the concurrent faults in which controllers crash or shards change owners.
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

// oldHeartbeatsAtFailover replays old heartbeats to every controller just as a new leader takes its
// lock. In plans with Faults, duplicates of heartbeats also arrive after the new leader has acted,
// and after newer heartbeats.
func (s *Simulation) oldHeartbeatsAtFailover() {
	s.concurrentFaults.keepUntil = s.now + 20*sec
	s.duplicateBurstUntil = s.now + 30*sec
	s.after(s.between(2*sec, 18*sec), func() { s.crashOwner(5 * sec) })
}

// cancelDuringFailover cancels jobs in the seconds in which shards change owners.
func (s *Simulation) cancelDuringFailover() {
	s.crashOwner(6 * sec)
	for range 4 {
		s.after(s.between(0, 6*sec), func() { s.cancelRunning(2, s.between(0, s.cfg.WorkerLease)) })
	}
}

// allAwayForLongerThanLease crashes all controllers for longer than a worker's lease, just as users
// cancel jobs.
func (s *Simulation) allAwayForLongerThanLease() {
	s.cancelRunning(3, 0)
	for _, n := range s.nodes {
		n.crash(s.cfg.WorkerLease + s.between(0, 4*sec))
	}
}

// heartbeatsLostAtFailover drops the heartbeats of some workers, while commands still reach these
// workers. The leader crashes meanwhile.
func (s *Simulation) heartbeatsLostAtFailover() {
	lease := s.cfg.WorkerLease
	s.cutHeartbeats(0.5, s.between(lease/2, 2*lease))
	s.after(s.between(0, lease), func() { s.crashOwner(4 * sec) })
}

// fastBootsAndUnansweredWrites makes new machines come up within seconds while writes get no
// answer. Machines fail and the leader crashes meanwhile.
func (s *Simulation) fastBootsAndUnansweredWrites() {
	s.concurrentFaults.fastBootUntil = s.now + 30*sec
	s.startUnansweredWrites(0.5, s.chance(0.5), 20*sec)
	s.killMachines(0.3)
	s.after(s.between(2*sec, 15*sec), func() { s.crashOwner(4 * sec) })
}

// ownerRefusedBeforeOutage makes the state service refuse the leader only, and then be unavailable
// to all controllers for longer than a cancellation may take. Users cancel jobs and ask for their
// status meanwhile.
func (s *Simulation) ownerRefusedBeforeOutage() {
	s.owner().stateRefusedUntil = s.now + s.between(2*sec, 8*sec)
	s.cancelRunning(3, 0)
	s.after(s.between(sec, 5*sec), func() {
		s.state.SetOutage(s.now + s.cfg.CancelWithin + 5*sec)
		s.cancelRunning(2, 0)
	})
}

// failoversInSeries makes shards change owners back and forth, also within a second. All
// controllers crash and the state service has an outage meanwhile.
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

// machinesUnreachableAtFailover crashes the leader while machines can't be reached, so that
// they may get no reply from the new leader either.
func (s *Simulation) machinesUnreachableAtFailover() {
	lease := s.cfg.WorkerLease
	s.makeUnreachable(0.4, s.between(lease/2, lease+5*sec))
	s.after(s.between(0, 4*sec), func() { s.crashOwner(5 * sec) })
}

// leaderCutFromStateAndPeers cuts the leader off from the state service and the other controllers.
// It still reaches its workers and users. Jobs are cancelled meanwhile, also through the others.
func (s *Simulation) leaderCutFromStateAndPeers() {
	lease := s.cfg.WorkerLease
	n := s.owner()
	s.cut(append(n.peerLinks(), n.stateLink()), cutReset, s.between(lease, 2*lease))
	for range 3 {
		s.after(s.between(0, lease), func() { s.cancelRunning(2, 0) })
	}
}

// cancelOnHangingMachines cancels jobs whose machines hang, and crashes the leader meanwhile. Until
// the leases of these machines expire, the tasks on them count towards the limits of their teams.
func (s *Simulation) cancelOnHangingMachines() {
	lease := s.cfg.WorkerLease
	s.cancelRunning(6, s.between(lease/2, lease+4*sec))
	s.hangMachines(0.2, s.between(sec, lease))
	s.after(s.between(0, 3*sec), func() { s.crashOwner(5 * sec) })
}
