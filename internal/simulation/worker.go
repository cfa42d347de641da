package simulation

import (
	"maps"
	"net/http"
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// heartbeatTimeout is how long a worker waits for the reply to a heartbeat.
	heartbeatTimeout = 4 * sec
	// minHeartbeatGap is how long a worker waits at least until a heartbeat that says
	// something new.
	minHeartbeatGap = 500 * ms
	// cutOffPause is how long a worker that reaches no controller takes to notice.
	cutOffPause = 300 * ms
	// rounding is by how much sums of CPUs and of memory may be off.
	rounding = 1e-6
)

// Worker is a machine and the worker on it.
type Worker struct {
	*fakes.Machine
	sim        *Simulation
	clockDrift int64

	agentEpoch, sequence, fencingToken uint64

	leaseFrom     micros.Micros // when the agent's epoch began, or the last heartbeat that was answered was sent
	tasks         map[taskKey]*task
	images        map[string]bool
	nodeIndex     int // the controller that heartbeats go to
	awaitingReply bool
	nextHeartbeat micros.Micros
	lastHeartbeat micros.Micros
	changed       bool     // since the last heartbeat
	deferred      []func() // until it hangs no more

	reclaimAt        micros.Micros // when the cloud takes it back; 0: it has not announced that
	hungUntil        micros.Micros
	faultyUntil      micros.Micros // until then every task fails
	unreachableUntil micros.Micros // until then nothing that is sent to it arrives
	cutOffUntil      micros.Micros // until then it reaches no controller
}

func newWorker(s *Simulation, machine *fakes.Machine) *Worker {
	w := &Worker{
		Machine: machine, sim: s, agentEpoch: 1, tasks: map[taskKey]*task{}, images: map[string]bool{},
		nodeIndex: s.rng.IntN(s.plan.Nodes), clockDrift: s.drawClockDrift(),
	}
	s.at(machine.UpAt, func() {
		w.leaseFrom = w.clock()
		w.tick()
	})
	return w
}

// clock returns what the worker's steady clock shows.
func (w *Worker) clock() micros.Micros { return drifted(w.sim.now, w.clockDrift) }

// leaseExpired reports whether the worker's lease has run out by its clock.
func (w *Worker) leaseExpired() bool {
	return w.clock() > w.leaseFrom+w.sim.cfg.WorkerLease
}

func (w *Worker) hangs() bool { return w.sim.now < w.hungUntil }

// announceReclaim announces that the cloud takes the machine back, and has it do so.
func (w *Worker) announceReclaim(d micros.Micros) {
	if w.Dead || w.reclaimAt != 0 {
		return
	}
	w.reclaimAt = w.sim.now + d
	w.changed = true
	w.sim.after(d, func() { w.Dead, w.Reclaimed = true, true })
}

// tick lets time pass on the machine. A hanging one does nothing, and checks
// its lease first when it goes on.
func (w *Worker) tick() {
	s := w.sim
	if w.Dead {
		return
	}
	if w.hangs() {
		s.at(w.hungUntil, w.tick)
		return
	}
	s.after(s.drawTickInterval(), w.tick)
	w.checkLease()
	w.runDeferred()
	w.advanceTasks()
	w.checkCancelledTasks()
	due := s.now >= w.nextHeartbeat || w.changed && s.now >= w.lastHeartbeat+minHeartbeatGap
	if due && !w.awaitingReply {
		w.sendHeartbeat()
	}
}

// drawTickInterval draws when a worker looks at its tasks next.
func (s *Simulation) drawTickInterval() micros.Micros {
	if s.plan.Large {
		return s.between(300*ms, 500*ms)
	}
	return s.between(80*ms, 120*ms)
}

func (w *Worker) runDeferred() {
	for _, f := range w.deferred {
		f()
	}
	w.deferred = nil
}

// checkLease ends the agent's epoch and its tasks once the lease has run out.
func (w *Worker) checkLease() {
	if !w.leaseExpired() {
		return
	}
	w.agentEpoch++
	w.sim.trace("%s lease over, session %d, %d tasks killed", w.ID, w.agentEpoch, len(w.tasks))
	for _, t := range w.tasks {
		delete(w.sim.tasksByJob[t.job], t)
	}
	w.tasks = map[taskKey]*task{}
	w.leaseFrom = w.clock()
	w.changed = true
}

// heartbeat returns the next heartbeat.
func (w *Worker) heartbeat() *wire.Heartbeat {
	w.sequence++
	heartbeat := &wire.Heartbeat{
		Machine: w.ID, Addr: w.ID, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		AgentEpoch: w.agentEpoch, Sequence: w.sequence, FencingToken: w.fencingToken,
	}
	if w.reclaimAt != 0 {
		left := (w.reclaimAt - w.sim.now).Seconds()
		heartbeat.NoticeS = &left
	}
	for _, t := range w.sortedTasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, t.status())
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat, and handles the reply unless the machine hangs.
func (w *Worker) sendHeartbeat() {
	s := w.sim
	w.awaitingReply = true
	w.changed = false
	w.lastHeartbeat = s.now
	w.nextHeartbeat = s.now + s.between(s.cfg.HeartbeatInterval*3/4, s.cfg.HeartbeatInterval*5/4)
	heartbeat, sentAt := w.heartbeat(), w.clock()
	n := s.nodes[w.nodeIndex]
	w.copyLater(heartbeat)
	if s.now < w.cutOffUntil {
		s.after(cutOffPause, func() {
			w.awaitingReply = false
			w.handleReply(controller.Answer{}, false, sentAt, heartbeat.AgentEpoch)
		})
		return
	}
	exchange(s, n.workerLink(w.ID), heartbeatTimeout, func(reply func(controller.Answer)) {
		n.heartbeat(heartbeat, func(a controller.Answer) {
			if s.now >= w.unreachableUntil {
				reply(a)
			}
		})
	}, func(a controller.Answer, ok bool) {
		w.unlessHanging(func() {
			w.awaitingReply = false
			w.handleReply(a, ok, sentAt, heartbeat.AgentEpoch)
		})
	})
}

// unlessHanging calls f, or has it called once the machine hangs no more.
func (w *Worker) unlessHanging(f func()) {
	if w.hangs() {
		w.deferred = append(w.deferred, f)
		return
	}
	f()
}

// copyLater may deliver a copy of a heartbeat again, to any controller, from seconds to
// well over a lease later. The reply to it is lost.
func (w *Worker) copyLater(heartbeat *wire.Heartbeat) {
	s := w.sim
	s.keepHeartbeat(heartbeat)
	if !s.plan.Faults {
		return
	}
	copied := s.chance(0.01) || s.now < s.copiesUntil && s.chance(0.5)
	if !copied {
		return
	}
	delay := s.between(200*ms, 8*sec)
	if s.chance(0.5) {
		delay = s.between(s.cfg.WorkerLease/2, 3*s.cfg.WorkerLease)
	}
	n := s.drawNode()
	s.CopiedHeartbeats++
	s.after(delay, func() {
		n.heartbeat(heartbeat, func(controller.Answer) {})
	})
}

// handleReply renews the lease and carries commands out, unless the reply is that of an old
// owner, late, or to an earlier epoch of the agent. ok is false if there is no reply.
func (w *Worker) handleReply(a controller.Answer, ok bool, sentAt micros.Micros, agentEpoch uint64) {
	s := w.sim
	if w.Dead {
		return
	}
	w.checkLease()
	if redirect, isRedirect := a.Body.(wire.Redirect); ok && isRedirect && a.Status == http.StatusMisdirectedRequest {
		w.follow(redirect)
		return
	}
	reply, isReply := a.Body.(wire.HeartbeatReply)
	if !ok || !isReply || a.Status != http.StatusOK {
		w.turnToNextNode()
		return
	}
	late := s.now-w.lastHeartbeat > heartbeatTimeout
	if late || agentEpoch != w.agentEpoch || reply.FencingToken < w.fencingToken {
		return
	}
	w.raiseFencingToken(reply.FencingToken)
	w.leaseFrom = max(w.leaseFrom, sentAt)
	w.execute(reply.Commands)
	s.checkLeaseRenewal(w)
}

// follow turns to the controller that another one named.
func (w *Worker) follow(redirect wire.Redirect) {
	i := slices.IndexFunc(w.sim.nodes, func(n *Node) bool { return n.label == redirect.ReportTo })
	if i < 0 || i == w.nodeIndex {
		w.turnToNextNode()
		return
	}
	w.nodeIndex = i
	w.nextHeartbeat = w.sim.now
}

func (w *Worker) turnToNextNode() {
	w.nodeIndex = (w.nodeIndex + 1) % len(w.sim.nodes)
	w.nextHeartbeat = w.sim.now + sec
}

func (w *Worker) raiseFencingToken(fencingToken uint64) {
	if fencingToken > w.fencingToken {
		w.fencingToken = fencingToken
		w.changed = true
	}
}

// serve answers a direct command or a question of a controller. While the machine hangs, it is
// held in its sockets; in which order things then happen is open.
func (w *Worker) serve(request any, reply func(controller.Result)) {
	if w.Dead || w.sim.now < w.UpAt {
		return
	}
	w.unlessHanging(func() { w.answer(request, reply) })
}

func (w *Worker) answer(request any, reply func(controller.Result)) {
	if w.Dead {
		return
	}
	w.checkLease()
	status := http.StatusOK
	if command, ok := request.(wire.DirectCommand); ok {
		status = w.handleDirectCommand(command)
	}
	reply(controller.Result{Status: status, Body: w.heartbeat()})
}

// handleDirectCommand carries a direct command out, unless it is of an old owner or for an
// earlier epoch of the agent, and returns the status to answer.
func (w *Worker) handleDirectCommand(command wire.DirectCommand) int {
	if command.FencingToken < w.fencingToken || command.AgentEpoch != w.agentEpoch {
		return http.StatusConflict
	}
	w.raiseFencingToken(command.FencingToken)
	w.execute(command.Commands)
	return http.StatusOK
}

// sortedTasks returns the tasks in an order that is always the same.
func (w *Worker) sortedTasks() (tasks []*task) {
	keys := slices.SortedFunc(maps.Keys(w.tasks), taskKey.compare)
	for _, key := range keys {
		tasks = append(tasks, w.tasks[key])
	}
	return tasks
}

// runsTask reports whether an attempt of a task is on the machine.
func (w *Worker) runsTask(name string) bool {
	for _, t := range w.tasks {
		if t.name == name && t.state != wire.TaskExited {
			return true
		}
	}
	return false
}

// fits reports whether there is room for one more task of a job.
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

// working reports whether a task runs on the machine whose user has not cancelled it.
func (w *Worker) working() bool {
	for _, t := range w.tasks {
		if t.onMachine() && !w.sim.userOf(t.job).cancelRequested {
			return true
		}
	}
	return false
}
