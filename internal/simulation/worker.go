package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// duplicateFraction is the fraction of heartbeats that are duplicated in plans with Faults, and
	// burstDuplicateFraction the additional fraction until duplicateBurstUntil.
	duplicateFraction      = 0.01
	burstDuplicateFraction = 0.5
	// longDelayFraction is the fraction of duplicates that arrive between half and three times a
	// worker's lease later. The others arrive within seconds.
	longDelayFraction = 0.5
)

// worker is a machine with a fake worker. It implements the fake worker's host: it connects the
// worker to the controllers, and checks the rules about what the worker does.
type worker struct {
	*fakes.Worker
	sim              *Simulation
	unreachableUntil micros.Micros // until then nothing that is sent to the machine arrives
	cutOffUntil      micros.Micros // until then the machine's heartbeats reach no controller
}

// addWorker starts a worker on a newly rented machine.
func (s *Simulation) addWorker(m *fakes.Machine) {
	w := &worker{sim: s}
	w.Worker = fakes.NewWorker(m, s.workerConfig(), w)
	s.workers[m.ID] = w
	s.machineNames = append(s.machineNames, m.ID)
}

func (s *Simulation) workerConfig() fakes.WorkerConfig {
	config := fakes.WorkerConfig{
		Scheduler: scheduler{s}, Random: s.rng,
		Lease: s.cfg.WorkerLease, HeartbeatInterval: s.cfg.HeartbeatInterval,
		MinTickInterval: 80 * ms, MaxTickInterval: 120 * ms,
	}
	if s.plan.Large {
		config.MinTickInterval, config.MaxTickInterval = 300*ms, 500*ms
	}
	for _, n := range s.nodes {
		config.Nodes = append(config.Nodes, n.label)
	}
	return config
}

// SendHeartbeat sends a heartbeat to a controller, and may deliver duplicates of it later. done is
// called with the answer or after a timeout. It reports false if the worker is cut off; done is not
// called then.
func (w *worker) SendHeartbeat(node int, heartbeat *wire.Heartbeat, done func(controller.Answer, bool)) (sent bool) {
	s := w.sim
	s.keepHeartbeat(heartbeat)
	s.maybeDuplicateLater(heartbeat)
	if s.now < w.cutOffUntil {
		return false
	}
	n := s.nodes[node]
	exchange(s, n.workerLink(w.ID), fakes.HeartbeatTimeout, func(reply func(controller.Answer)) {
		n.deliverHeartbeat(heartbeat, func(a controller.Answer) {
			if s.now >= w.unreachableUntil {
				reply(a)
			}
		})
	}, done)
	return true
}

// maybeDuplicateLater may deliver a duplicate of a heartbeat to any controller, between a fraction
// of a second and three worker leases later. The reply to the duplicate is lost.
func (s *Simulation) maybeDuplicateLater(heartbeat *wire.Heartbeat) {
	if !s.plan.Faults {
		return
	}
	duplicated := s.chance(duplicateFraction) || s.now < s.duplicateBurstUntil && s.chance(burstDuplicateFraction)
	if !duplicated {
		return
	}
	delay := s.between(200*ms, 8*sec)
	if s.chance(longDelayFraction) {
		delay = s.between(s.cfg.WorkerLease/2, 3*s.cfg.WorkerLease)
	}
	n := s.drawNode()
	s.DuplicateHeartbeats++
	s.after(delay, func() {
		n.deliverHeartbeat(heartbeat, func(controller.Answer) {})
	})
}

// Job returns the job with the given ID, or nil if no user has it.
func (w *worker) Job(name string) *fakes.Job {
	if u := w.sim.userOf(name); u != nil {
		return &u.Job
	}
	return nil
}

// TaskAdded records a task that the worker has learnt of.
func (w *worker) TaskAdded(t *fakes.Task) {
	s := w.sim
	u := s.userOf(t.Job)
	if u == nil {
		return
	}
	s.checkRepeatedStart(w, t, u)
	if s.tasksByJob[t.Job] == nil {
		s.tasksByJob[t.Job] = map[*fakes.Task]*worker{}
	}
	s.tasksByJob[t.Job][t] = w
}

// TaskCleared checks the rule about attempts that the worker was told to forget.
func (w *worker) TaskCleared(t *fakes.Task) { w.checkForgotten(t) }

// TaskForgotten removes a task that the worker has forgotten.
func (w *worker) TaskForgotten(t *fakes.Task) { delete(w.sim.tasksByJob[t.Job], t) }

// TaskStarted checks the rules about a start when a task's image is loaded.
func (w *worker) TaskStarted(t *fakes.Task) { w.sim.checkStart(w, t) }

// TaskCompleted counts a completed task, and may cancel its job at that moment.
func (w *worker) TaskCompleted(t *fakes.Task) {
	w.sim.Finished++
	w.sim.maybeCancelAtEnd(w.sim.userOf(t.Job))
}

// LeaseRenewed checks the rule about renewed leases.
func (w *worker) LeaseRenewed() { w.sim.checkLeaseRenewal(w) }

// Ticked checks the rule about the tasks of cancelled jobs.
func (w *worker) Ticked() { w.checkCancelledTasks() }

// Trace adds a line to the simulation's trace.
func (w *worker) Trace(format string, args ...any) { w.sim.trace(format, args...) }

// runsWantedTask reports whether the machine runs a task whose user has not asked to cancel it.
func (w *worker) runsWantedTask() bool {
	for _, t := range w.Tasks() {
		if t.OnMachine() && !w.sim.userOf(t.Job).cancelRequested {
			return true
		}
	}
	return false
}
