package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// copiedFraction of heartbeats are copied where there are faults, manyCopiedFraction while
	// many are.
	copiedFraction     = 0.01
	manyCopiedFraction = 0.5
	// longDelayFraction of the copies come about a lease later.
	longDelayFraction = 0.5
)

// worker is a machine of the simulation with its worker. It is the worker's host: its network
// to the controllers, and the checks of what it does.
type worker struct {
	*fakes.Worker
	sim              *Simulation
	unreachableUntil micros.Micros // until then nothing that is sent to it arrives
	cutOffUntil      micros.Micros // until then it reaches no controller
}

// addWorker starts a worker on a new machine.
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

// SendHeartbeat sends a heartbeat, and perhaps a copy of it later.
func (w *worker) SendHeartbeat(node int, heartbeat *wire.Heartbeat, done func(controller.Answer, bool)) (sent bool) {
	s := w.sim
	s.keepHeartbeat(heartbeat)
	s.maybeCopyLater(heartbeat)
	if s.now < w.cutOffUntil {
		return false
	}
	n := s.nodes[node]
	exchange(s, n.workerLink(w.ID), fakes.HeartbeatTimeout, func(reply func(controller.Answer)) {
		n.heartbeat(heartbeat, func(a controller.Answer) {
			if s.now >= w.unreachableUntil {
				reply(a)
			}
		})
	}, done)
	return true
}

// maybeCopyLater may deliver a copy of a heartbeat again, to any controller, from seconds to
// well over a lease later. The reply to it is lost.
func (s *Simulation) maybeCopyLater(heartbeat *wire.Heartbeat) {
	if !s.plan.Faults {
		return
	}
	copied := s.chance(copiedFraction) || s.now < s.copiesUntil && s.chance(manyCopiedFraction)
	if !copied {
		return
	}
	delay := s.between(200*ms, 8*sec)
	if s.chance(longDelayFraction) {
		delay = s.between(s.cfg.WorkerLease/2, 3*s.cfg.WorkerLease)
	}
	n := s.drawNode()
	s.CopiedHeartbeats++
	s.after(delay, func() {
		n.heartbeat(heartbeat, func(controller.Answer) {})
	})
}

// Job returns a job by its name; nil: nobody submitted it.
func (w *worker) Job(name string) *fakes.Job {
	if u := w.sim.userOf(name); u != nil {
		return &u.Job
	}
	return nil
}

// TaskAdded records a task that the worker knows of.
func (w *worker) TaskAdded(t *fakes.Task) {
	s := w.sim
	if s.userOf(t.Job) == nil {
		return
	}
	if s.tasksByJob[t.Job] == nil {
		s.tasksByJob[t.Job] = map[*fakes.Task]*worker{}
	}
	s.tasksByJob[t.Job][t] = w
}

// TaskForgotten removes a task that the worker has forgotten.
func (w *worker) TaskForgotten(t *fakes.Task) { delete(w.sim.tasksByJob[t.Job], t) }

// TaskStarted checks the rules when a task has its image.
func (w *worker) TaskStarted(t *fakes.Task) { w.sim.checkStart(w, t) }

// TaskCompleted counts a task, and may have its job cancelled.
func (w *worker) TaskCompleted(t *fakes.Task) {
	w.sim.Finished++
	w.sim.maybeCancelAtEnd(w.sim.userOf(t.Job))
}

// LeaseRenewed checks the rule of renewed leases.
func (w *worker) LeaseRenewed() { w.sim.checkLeaseRenewal(w) }

// Ticked checks the rule of cancelled tasks.
func (w *worker) Ticked() { w.checkCancelledTasks() }

// Trace passes a line on.
func (w *worker) Trace(format string, args ...any) { w.sim.trace(format, args...) }

// working reports whether a task runs on the machine whose user has not cancelled it.
func (w *worker) working() bool {
	for _, t := range w.Tasks() {
		if t.OnMachine() && !w.sim.userOf(t.Job).cancelRequested {
			return true
		}
	}
	return false
}
