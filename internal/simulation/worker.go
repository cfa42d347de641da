package simulation

import (
	"slices"
	"strconv"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Worker is a machine with its worker.
type Worker struct {
	*fakes.Machine
	sim              *Simulation
	rate             int64
	reclaimAt        micros.Micros // when the cloud takes it back; 0: it has not said so
	hungUntil        micros.Micros
	faultyUntil      micros.Micros
	unreachableUntil micros.Micros // until then nothing that is sent to it arrives
	cutOffUntil      micros.Micros // until then it reaches no controller

	agentEpoch, sequence, fencingToken uint64
	began                              micros.Micros // of the session, or when the last answered report was sent
	tasks                              map[string]*task
	images                             map[string]bool
	node                               int
	busy                               bool
	nextHeartbeat                      micros.Micros
	lastHeartbeat                      micros.Micros
	changed                            bool
	pendingCalls                       []func()
}

type task struct {
	name, job  string
	idx        int
	attempt    uint64
	state      string
	exitReason string
	kept       bool
	until      micros.Micros
}

// rounding is by how much sums of CPUs and of memory may be off.
const rounding = 1e-6

// onMachine: it has its image and has not exited.
func (t *task) onMachine() bool { return t.state == wire.TaskRunning || t.state == wire.TaskSaving }

func newWorker(s *Simulation, machine *fakes.Machine) *Worker {
	w := &Worker{Machine: machine, sim: s,
		agentEpoch: 1, tasks: map[string]*task{}, images: map[string]bool{}, node: s.rng.IntN(s.plan.Nodes), rate: s.rng.Int64N(501)}
	s.at(machine.UpAt, func() {
		w.began = w.clock()
		w.tick()
	})
	return w
}

// clock is the worker's steady clock.
func (w *Worker) clock() micros.Micros {
	return w.sim.now + micros.Micros(int64(w.sim.now)*w.rate/1_000_000)
}

func (w *Worker) directCommand() []string {
	var out []string
	for k := range w.tasks {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// notice announces that the cloud takes the machine, or takes it at once.
func (w *Worker) notice(d micros.Micros) {
	if w.Dead || w.reclaimAt != 0 {
		return
	}
	w.reclaimAt = w.sim.now + d
	w.changed = true
	w.sim.after(d, func() { w.Dead, w.Reclaimed = true, true })
}

// tick lets time pass on the machine. A hanging one does nothing, and looks at
// its lease first when it goes on.
func (w *Worker) tick() {
	s := w.sim
	if w.Dead {
		return
	}
	if s.now < w.hungUntil {
		s.at(w.hungUntil, w.tick)
		return
	}
	if s.plan.Grown {
		s.after(s.span(300*ms, 500*ms), w.tick)
	} else {
		s.after(s.span(80*ms, 120*ms), w.tick)
	}
	w.lapse()
	for _, f := range w.pendingCalls {
		f()
	}
	w.pendingCalls = nil
	for _, key := range w.directCommand() {
		t := w.tasks[key]
		u := s.userOf(t.job)
		if s.now < t.until {
			continue
		}
		switch t.state {
		case wire.TaskFetching:
			w.images[u.sub.Image] = true
			if u.done[t.idx] {
				t.state, t.exitReason = wire.TaskExited, wire.ExitDone
			} else {
				t.state = wire.TaskRunning
				t.until = s.now + u.runs[t.idx] - u.progress[t.idx]
				if u.startedAt == 0 {
					u.startedAt = s.now
				}
				s.starting(w, t)
				if s.now < w.faultyUntil || u.bad {
					t.until = s.now + s.span(200*ms, sec)
				}
			}
			w.changed = true
		case wire.TaskRunning:
			if s.now < w.faultyUntil || u.bad {
				t.state, t.exitReason = wire.TaskExited, wire.ExitError
			} else {
				t.state, t.exitReason = wire.TaskExited, wire.ExitDone
				u.done[t.idx] = true
				u.doneAt = s.now
				s.Finished++
				s.maybeCancelAtEnd(u)
			}
			w.changed = true
		case wire.TaskSaving:
			t.state, t.exitReason, t.kept = wire.TaskExited, wire.ExitStopped, true
			w.changed = true
		}
		if t.onMachine() && u.cancelConfirmed != 0 && s.now > u.cancelConfirmed+s.cfg.Cancel {
			s.broken("ran_cancelled: %s is still on %s", t.name, w.ID)
		}
	}
	for _, key := range w.directCommand() {
		t := w.tasks[key]
		if u := s.userOf(t.job); t.onMachine() && u.cancelConfirmed != 0 && s.now > u.cancelConfirmed+s.cfg.Cancel {
			s.broken("ran_cancelled: %s is still on %s", t.name, w.ID)
		}
	}
	if !w.busy && (s.now >= w.nextHeartbeat || w.changed && s.now >= w.lastHeartbeat+500*ms) {
		w.heartbeat()
	}
}

// lapse ends the session once the lease has run out.
func (w *Worker) lapse() {
	if w.clock() > w.began+w.sim.cfg.WorkerLease {
		w.agentEpoch++
		w.sim.trace("%s lease over, session %d, %d tasks killed", w.ID, w.agentEpoch, len(w.tasks))
		for _, t := range w.tasks {
			delete(w.sim.onJob[t.job], t)
		}
		w.tasks = map[string]*task{}
		w.began = w.clock()
		w.changed = true
	}
}

func (w *Worker) heartbeatBody() *wire.Heartbeat {
	w.sequence++
	r := &wire.Heartbeat{Machine: w.ID, Addr: w.ID, Type: w.Type, Zone: w.Zone, Spot: w.Spot, AgentEpoch: w.agentEpoch, Sequence: w.sequence, FencingToken: w.fencingToken}
	if w.reclaimAt != 0 {
		left := (w.reclaimAt - w.sim.now).Seconds()
		r.NoticeS = &left
	}
	for _, key := range w.directCommand() {
		t := w.tasks[key]
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, ExitReason: t.exitReason, Saved: t.kept})
	}
	return r
}

func (w *Worker) heartbeat() {
	s := w.sim
	w.busy, w.changed = true, false
	w.lastHeartbeat = s.now
	w.nextHeartbeat = s.now + s.span(s.cfg.HeartbeatInterval*3/4, s.cfg.HeartbeatInterval*5/4)
	heartbeat, sent, agentEpoch := w.heartbeatBody(), w.clock(), w.agentEpoch
	n := s.Nodes[w.node]
	w.copyLater(heartbeat)
	if s.now < w.cutOffUntil {
		s.after(300*ms, func() { w.busy = false; w.answered(controller.Answer{}, false, sent, agentEpoch) })
		return
	}
	exchange(s, n.label+"-"+w.ID, 4*sec,
		func(reply func(controller.Answer)) {
			n.heartbeat(heartbeat, func(a controller.Answer) {
				if s.now >= w.unreachableUntil {
					reply(a)
				}
			})
		},
		func(a controller.Answer, ok bool) {
			act := func() {
				w.busy = false
				w.answered(a, ok, sent, agentEpoch)
			}
			if s.now < w.hungUntil {
				w.pendingCalls = append(w.pendingCalls, act)
				return
			}
			act()
		})
}

// copyLater may deliver a copy of a heartbeat again, to any node, from seconds to
// well over a lease later. Nobody hears the answer.
func (w *Worker) copyLater(heartbeat *wire.Heartbeat) {
	s := w.sim
	s.keepHeartbeat(heartbeat)
	if !s.plan.Faults || !s.chance(0.01) && !(s.now < s.copiesUntil && s.chance(0.5)) {
		return
	}
	d := s.span(200*ms, 8*sec)
	if s.chance(0.5) {
		d = s.span(s.cfg.WorkerLease/2, 3*s.cfg.WorkerLease)
	}
	n := s.Nodes[s.rng.IntN(len(s.Nodes))]
	s.Copies++
	s.after(d, func() {
		n.heartbeat(heartbeat, func(controller.Answer) {})
	})
}

func (w *Worker) answered(a controller.Answer, ok bool, sent micros.Micros, agentEpoch uint64) {
	s := w.sim
	if w.Dead {
		return
	}
	w.lapse()
	next := func() {
		w.node = (w.node + 1) % len(s.Nodes)
		w.nextHeartbeat = s.now + sec
	}
	if !ok {
		next()
		return
	}
	if a.Status == 421 {
		if rd, ok := a.Body.(wire.Redirect); ok {
			for i, n := range s.Nodes {
				if n.label == rd.ReportTo && i != w.node {
					w.node = i
					w.nextHeartbeat = s.now
					return
				}
			}
		}
		next()
		return
	}
	body, isAnswer := a.Body.(wire.HeartbeatReply)
	if a.Status != 200 || !isAnswer {
		next()
		return
	}
	if agentEpoch != w.agentEpoch || body.FencingToken < w.fencingToken || s.now-w.lastHeartbeat > 4*sec {
		return
	}
	w.raise(body.FencingToken)
	w.began = max(w.began, sent)
	w.execute(body.Commands)
	s.checkRenewed(w)
}

func (w *Worker) raise(fencingToken uint64) {
	if fencingToken > w.fencingToken {
		w.fencingToken = fencingToken
		w.changed = true
	}
}

func (w *Worker) serve(req any, reply func(controller.Result)) {
	if w.Dead || w.sim.now < w.UpAt {
		return
	}
	if w.sim.now < w.hungUntil {
		// Held in its sockets until it goes on; the order of things then is open.
		w.pendingCalls = append(w.pendingCalls, func() { w.serve(req, reply) })
		return
	}
	w.lapse()
	o, isOrders := req.(wire.DirectCommand)
	if !isOrders {
		reply(controller.Result{Status: 200, Body: w.heartbeatBody()})
		return
	}
	if o.FencingToken < w.fencingToken || o.AgentEpoch != w.agentEpoch {
		reply(controller.Result{Status: 409, Body: w.heartbeatBody()})
		return
	}
	w.raise(o.FencingToken)
	w.execute(o.Commands)
	reply(controller.Result{Status: 200, Body: w.heartbeatBody()})
}

func (w *Worker) execute(commands []wire.Command) {
	s := w.sim
	for _, c := range commands {
		s.trace("%s %s %s attempt %x", w.ID, c.Op, c.Task, c.Attempt)
		key := c.Task + "@" + strconv.FormatUint(c.Attempt, 10)
		t := w.tasks[key]
		switch c.Op {
		case wire.OpStart:
			if t != nil {
				continue
			}
			job, idx, err := wire.ParseTask(c.Task)
			u := s.userOf(job)
			t = &task{name: c.Task, job: job, idx: idx, attempt: c.Attempt, state: wire.TaskFetching}
			switch {
			case err != nil || u == nil || idx >= u.sub.Tasks:
				t.state, t.exitReason = wire.TaskExited, wire.ExitUnknown
			case w.holds(c.Task):
				t.state, t.exitReason = wire.TaskExited, wire.ExitInUse
			case !w.fits(u):
				t.state, t.exitReason = wire.TaskExited, wire.ExitNoCapacity
			case !w.images[u.sub.Image]:
				t.until = s.now + s.span(sec/2, 3*sec)
			}
			w.tasks[key] = t
			if u != nil {
				if s.onJob[job] == nil {
					s.onJob[job] = map[*task]*Worker{}
				}
				s.onJob[job][t] = w
			}
			w.changed = true
		case wire.OpStop:
			if t == nil || t.state == wire.TaskExited {
				continue
			}
			u := s.userOf(t.job)
			if t.state == wire.TaskRunning && u.sub.CheckpointS > 0 && c.GraceS != nil && *c.GraceS >= u.sub.SaveS {
				u.progress[t.idx] = max(0, u.runs[t.idx]-(t.until-s.now))
				t.state, t.until = wire.TaskSaving, s.now+micros.FromSeconds(u.sub.SaveS)
			} else if t.state != wire.TaskSaving || c.GraceS != nil && *c.GraceS == 0 {
				t.state, t.exitReason = wire.TaskExited, wire.ExitStopped
			}
			w.changed = true
		case wire.OpForget:
			if t != nil && t.state == wire.TaskExited {
				delete(w.tasks, key)
				delete(s.onJob[t.job], t)
			}
		}
	}
}

func (w *Worker) holds(name string) bool {
	for _, t := range w.tasks {
		if t.name == name && t.state != wire.TaskExited {
			return true
		}
	}
	return false
}

func (w *Worker) fits(u *user) bool {
	machineType, ok := fakes.MachineType(w.Type)
	if !ok {
		return false
	}
	cpus, memory := machineType.CPUs, machineType.MemGB
	for _, t := range w.tasks {
		if t.state != wire.TaskExited {
			other := w.sim.userOf(t.job)
			cpus -= other.sub.CPUs
			memory -= other.sub.MemGB
		}
	}
	return cpus+rounding >= u.sub.CPUs && memory+rounding >= u.sub.MemGB
}
