package fakes

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// HeartbeatTimeout is how long a worker waits for the reply to a heartbeat.
	HeartbeatTimeout = 4 * second
	// minHeartbeatGap is how long a worker waits at least until a heartbeat that says
	// something new.
	minHeartbeatGap = 500 * millisecond
	// unreachablePause is how long a worker takes to notice that it reaches no controller.
	unreachablePause = 300 * millisecond
	// nextNodePause is how long a worker waits before it sends to another controller.
	nextNodePause = second
	// RoundingTolerance is by how much sums of CPUs and of memory may be off.
	RoundingTolerance = 1e-6
)

// WorkerHost is the surroundings of a fake worker: its network, the jobs that there are, and
// the
// observer of its tasks.
type WorkerHost interface {
	// SendHeartbeat sends a heartbeat to a controller, and calls done once with the answer, or
	// with ok false if there is none in time. It reports false, and does not call done, if the
	// machine reaches no controller.
	SendHeartbeat(node int, heartbeat *wire.Heartbeat, done func(answer controller.Answer, ok bool)) (sent bool)
	// Job returns a job by its name; nil: nobody submitted it.
	Job(name string) *Job
	// TaskAdded is called with a task that the worker knows of, also if it exited at once.
	TaskAdded(*Task)
	// TaskStarted is called with a task that has its image.
	TaskStarted(*Task)
	// TaskCompleted is called with a task that has run its time.
	TaskCompleted(*Task)
	// TaskForgotten is called with a task that the worker knows of no more.
	TaskForgotten(*Task)
	// LeaseRenewed is called when a reply has renewed the lease and its commands are carried out.
	LeaseRenewed()
	// Ticked is called at each tick, when tasks have been advanced.
	Ticked()
	// Trace is called with a line for each event.
	Trace(format string, args ...any)
}

// WorkerConfig is what a Worker is made of.
type WorkerConfig struct {
	Scheduler         Scheduler
	Random            Random
	Lease             micros.Micros
	HeartbeatInterval micros.Micros
	// MinTickInterval and MaxTickInterval bound the interval between two ticks, at which a worker advances its
	// tasks.
	MinTickInterval, MaxTickInterval micros.Micros
	Nodes            []string // labels of the controllers
}

// Worker is a machine and the worker on it. Its faults are set from outside.
type Worker struct {
	*Machine
	// HungUntil is when the machine stops hanging.
	HungUntil micros.Micros
	// FaultyUntil is when tasks stop failing on the machine.
	FaultyUntil micros.Micros

	config     WorkerConfig
	host       WorkerHost
	clockDrift ClockDrift
	reclaimAt  micros.Micros // when the cloud takes it back; 0: it has not announced that

	agentEpoch, sequence, fencingToken uint64

	leaseStart     micros.Micros // when the agent's epoch began, or the last heartbeat that was answered was sent
	tasks         map[taskKey]*Task
	images        map[string]bool
	node          int // the controller that heartbeats go to
	awaitingReply bool
	nextHeartbeat micros.Micros
	lastHeartbeat micros.Micros
	changed       bool     // since the last heartbeat
	deferred      []func() // until it hangs no more
}

// NewWorker returns the worker of a machine, which begins when that is up.
func NewWorker(machine *Machine, config WorkerConfig, host WorkerHost) *Worker {
	w := &Worker{Machine: machine, config: config, host: host, agentEpoch: 1, tasks: map[taskKey]*Task{}, images: map[string]bool{}}
	w.node = config.Random.IntN(len(config.Nodes))
	w.clockDrift = config.Random.ClockDrift()
	config.Scheduler.After(machine.UpAt-w.now(), func() {
		w.leaseStart = w.clock()
		w.tick()
	})
	return w
}

func (w *Worker) now() micros.Micros { return w.config.Scheduler.Now() }

// clock returns what the worker's steady clock shows.
func (w *Worker) clock() micros.Micros { return w.clockDrift.Apply(w.now()) }

// LeaseExpired reports whether the worker's lease has run out by its clock.
func (w *Worker) LeaseExpired() bool {
	return w.clock() > w.leaseStart+w.config.Lease
}

// LeaseUntil returns when the worker's lease runs out.
func (w *Worker) LeaseUntil() micros.Micros {
	return w.now() + w.leaseStart + w.config.Lease - w.clock()
}

// AgentEpoch returns the epoch of the agent, which changes when its lease runs out.
func (w *Worker) AgentEpoch() uint64 { return w.agentEpoch }

// Up reports whether the machine is up.
func (w *Worker) Up() bool { return !w.Dead && w.now() >= w.UpAt }

func (w *Worker) hangs() bool { return w.now() < w.HungUntil }

// ReclaimAnnounced reports whether the cloud has announced that it takes the machine back.
func (w *Worker) ReclaimAnnounced() bool { return w.reclaimAt != 0 }

// AnnounceReclaim announces that the cloud takes the machine back, and has it do so.
func (w *Worker) AnnounceReclaim(notice micros.Micros) {
	if w.Dead || w.ReclaimAnnounced() {
		return
	}
	w.reclaimAt = w.now() + notice
	w.changed = true
	w.config.Scheduler.After(notice, func() { w.Dead, w.Reclaimed = true, true })
}

// tick advances the machine's tasks, sends a heartbeat if one is due, and schedules the next
// tick. A hanging machine does nothing; once it resumes, it checks its lease first.
func (w *Worker) tick() {
	if w.Dead {
		return
	}
	if w.hangs() {
		w.config.Scheduler.After(w.HungUntil-w.now(), w.tick)
		return
	}
	w.config.Scheduler.After(w.config.Random.Between(w.config.MinTickInterval, w.config.MaxTickInterval), w.tick)
	w.checkLease()
	w.runDeferred()
	w.advanceTasks()
	w.host.Ticked()
	due := w.now() >= w.nextHeartbeat || w.changed && w.now() >= w.lastHeartbeat+minHeartbeatGap
	if due && !w.awaitingReply {
		w.sendHeartbeat()
	}
}

func (w *Worker) runDeferred() {
	for _, f := range w.deferred {
		f()
	}
	w.deferred = nil
}

// runUnlessHanging calls f, or has it called once the machine hangs no more.
func (w *Worker) runUnlessHanging(f func()) {
	if w.hangs() {
		w.deferred = append(w.deferred, f)
		return
	}
	f()
}

// checkLease ends the agent's epoch and its tasks once the lease has run out.
func (w *Worker) checkLease() {
	if !w.LeaseExpired() {
		return
	}
	w.agentEpoch++
	w.host.Trace("%s lease expired, agent epoch %d, %d tasks killed", w.ID, w.agentEpoch, len(w.tasks))
	for _, t := range w.tasks {
		w.host.TaskForgotten(t)
	}
	w.tasks = map[taskKey]*Task{}
	w.leaseStart = w.clock()
	w.changed = true
}

// heartbeat returns the next heartbeat.
func (w *Worker) heartbeat() *wire.Heartbeat {
	w.sequence++
	heartbeat := &wire.Heartbeat{
		Machine: w.ID, Addr: w.ID, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		AgentEpoch: w.agentEpoch, Sequence: w.sequence, FencingToken: w.fencingToken,
	}
	if w.ReclaimAnnounced() {
		left := (w.reclaimAt - w.now()).Seconds()
		heartbeat.NoticeS = &left
	}
	for _, t := range w.Tasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, t.status())
	}
	return heartbeat
}

// sentHeartbeat is a heartbeat whose reply is awaited.
type sentHeartbeat struct {
	at         micros.Micros // by the worker's clock
	agentEpoch uint64
}

// sendHeartbeat sends a heartbeat, and handles the reply once the machine doesn't hang.
func (w *Worker) sendHeartbeat() {
	interval := w.config.HeartbeatInterval
	w.awaitingReply = true
	w.changed = false
	w.lastHeartbeat = w.now()
	w.nextHeartbeat = w.now() + w.config.Random.Between(interval*3/4, interval*5/4)
	sent := sentHeartbeat{at: w.clock(), agentEpoch: w.agentEpoch}
	reached := w.host.SendHeartbeat(w.node, w.heartbeat(), func(answer controller.Answer, ok bool) {
		w.runUnlessHanging(func() { w.handleAnswer(sent, answer, ok) })
	})
	if !reached {
		w.config.Scheduler.After(unreachablePause, func() { w.handleAnswer(sent, controller.Answer{}, false) })
	}
}

// handleAnswer handles the answer to a heartbeat; ok is false if there is none.
func (w *Worker) handleAnswer(sent sentHeartbeat, answer controller.Answer, ok bool) {
	w.awaitingReply = false
	if w.Dead {
		return
	}
	w.checkLease()
	if !ok {
		w.switchToNextNode()
		return
	}
	redirect, isRedirect := answer.Body.(wire.Redirect)
	reply, isReply := answer.Body.(wire.HeartbeatReply)
	switch {
	case isRedirect && answer.Status == http.StatusMisdirectedRequest:
		w.followRedirect(redirect)
	case isReply && answer.Status == http.StatusOK:
		w.handleReply(sent, reply)
	default:
		w.switchToNextNode()
	}
}

// handleReply renews the lease and carries commands out, unless the reply is that of an
// earlier owner, late, or to an earlier epoch of the agent.
func (w *Worker) handleReply(sent sentHeartbeat, reply wire.HeartbeatReply) {
	late := w.now()-w.lastHeartbeat > HeartbeatTimeout
	if late || sent.agentEpoch != w.agentEpoch || reply.FencingToken < w.fencingToken {
		return
	}
	w.raiseFencingToken(reply.FencingToken)
	w.leaseStart = max(w.leaseStart, sent.at)
	w.execute(reply.Commands)
	w.host.LeaseRenewed()
}

// followRedirect turns to the controller that another one named.
func (w *Worker) followRedirect(redirect wire.Redirect) {
	i := slices.Index(w.config.Nodes, redirect.Controller)
	if i < 0 || i == w.node {
		w.switchToNextNode()
		return
	}
	w.node = i
	w.nextHeartbeat = w.now()
}

func (w *Worker) switchToNextNode() {
	w.node = (w.node + 1) % len(w.config.Nodes)
	w.nextHeartbeat = w.now() + nextNodePause
}

func (w *Worker) raiseFencingToken(fencingToken uint64) {
	if fencingToken > w.fencingToken {
		w.fencingToken = fencingToken
		w.changed = true
	}
}

// Serve answers a direct command or a question of a controller. While the machine hangs, it is
// held in its sockets, and the order in which requests are then answered is not defined.
func (w *Worker) Serve(request any, reply Reply) {
	if !w.Up() {
		return
	}
	w.runUnlessHanging(func() { w.serveRequest(request, reply) })
}

func (w *Worker) serveRequest(request any, reply Reply) {
	if w.Dead {
		return
	}
	w.checkLease()
	status := http.StatusOK
	if command, ok := request.(wire.DirectCommand); ok {
		status = w.handleDirectCommand(command)
	}
	reply.body(status, w.heartbeat())
}

// handleDirectCommand carries a direct command out, unless it is of an earlier owner or for an
// earlier epoch of the agent, and returns the status to answer.
func (w *Worker) handleDirectCommand(command wire.DirectCommand) int {
	if command.FencingToken < w.fencingToken || command.AgentEpoch != w.agentEpoch {
		return http.StatusConflict
	}
	w.raiseFencingToken(command.FencingToken)
	w.execute(command.Commands)
	return http.StatusOK
}
