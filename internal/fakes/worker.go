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
	// minHeartbeatGap is the shortest time between a heartbeat and the next one if that is sent
	// early because something has changed.
	minHeartbeatGap = 500 * millisecond
	// unreachablePause is how long a worker takes to notice that it cannot reach a controller.
	unreachablePause = 300 * millisecond
	// nextNodePause is how long a worker waits before it sends to another controller.
	nextNodePause = second
	// RoundingTolerance is the rounding error that sums of CPUs and of memory may have.
	RoundingTolerance = 1e-6
)

// WorkerHost is the environment of a fake worker: its network, the submitted jobs, and an
// observer of its tasks.
type WorkerHost interface {
	// SendHeartbeat sends a heartbeat to a controller. It calls done once, with the answer, or
	// with ok false if there is no answer in time. It returns false without calling done if the
	// machine cannot reach a controller.
	SendHeartbeat(node int, heartbeat *wire.Heartbeat, done func(answer controller.Answer, ok bool)) (sent bool)
	// Job returns the job with the given ID, or nil if no user has it.
	Job(name string) *Job
	// TaskAdded is called when a worker has added a task, even if the task exited at once.
	TaskAdded(*Task)
	// TaskStarted is called when a task has its image and begins to run.
	TaskStarted(*Task)
	// TaskCompleted is called when a task has run to completion.
	TaskCompleted(*Task)
	// TaskCleared is called when a command has made the worker remove a task, before
	// TaskForgotten.
	TaskCleared(*Task)
	// TaskForgotten is called when a worker has removed a task.
	TaskForgotten(*Task)
	// LeaseRenewed is called when a reply has renewed the lease and its commands are executed.
	LeaseRenewed()
	// Ticked is called at each tick, after the tasks have been advanced.
	Ticked()
	// Trace is called with one line for each event.
	Trace(format string, args ...any)
}

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	Scheduler         Scheduler
	Random            Random
	Lease             micros.Micros
	HeartbeatInterval micros.Micros
	// MinTickInterval and MaxTickInterval bound the interval between two ticks. At each tick a
	// worker advances its tasks.
	MinTickInterval, MaxTickInterval micros.Micros
	Nodes                            []string // labels of the controllers
}

// Worker is a machine and the worker on it. Simulations and tests inject its faults through the
// exported fields and AnnounceReclaim.
type Worker struct {
	*Machine
	// HungUntil is when the machine stops hanging.
	HungUntil micros.Micros
	// FaultyUntil is when tasks stop failing on the machine.
	FaultyUntil micros.Micros

	config     WorkerConfig
	host       WorkerHost
	clockDrift ClockDrift
	reclaimAt  micros.Micros // when the cloud reclaims the machine; 0: not announced

	agentEpoch, sequence, fencingToken uint64

	// leaseStart is when the last answered heartbeat was sent or the agent's epoch began, by the
	// worker's clock.
	leaseStart    micros.Micros
	tasks         map[taskKey]*Task
	images        map[string]bool
	node          int // index of the controller that heartbeats go to
	awaitingReply bool
	nextHeartbeat micros.Micros
	lastHeartbeat micros.Micros
	changed       bool     // whether a heartbeat would report something new
	deferred      []func() // calls to make once the machine stops hanging
}

// NewWorker returns the worker of a machine. It starts when the machine has booted.
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

// clock returns the time of the worker's monotonic clock, which drifts.
func (w *Worker) clock() micros.Micros { return w.clockDrift.Apply(w.now()) }

// LeaseExpired reports whether the worker's lease has expired by the worker's clock.
func (w *Worker) LeaseExpired() bool {
	return w.clock() > w.leaseStart+w.config.Lease
}

// LeaseUntil returns when the worker's lease expires.
func (w *Worker) LeaseUntil() micros.Micros {
	return w.now() + w.leaseStart + w.config.Lease - w.clock()
}

// AgentEpoch returns the epoch of the agent, which increases when its lease expires.
func (w *Worker) AgentEpoch() uint64 { return w.agentEpoch }

// FencingToken returns the highest fencing token that the worker has seen.
func (w *Worker) FencingToken() uint64 { return w.fencingToken }

// Up reports whether the machine is up.
func (w *Worker) Up() bool { return !w.Dead && w.now() >= w.UpAt }

func (w *Worker) hangs() bool { return w.now() < w.HungUntil }

// ReclaimAnnounced reports whether the cloud has announced that it reclaims the machine.
func (w *Worker) ReclaimAnnounced() bool { return w.reclaimAt != 0 }

// AnnounceReclaim announces that the cloud reclaims the machine, and stops the machine when the
// notice period has passed.
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

// runUnlessHanging calls f now, or once the machine stops hanging.
func (w *Worker) runUnlessHanging(f func()) {
	if w.hangs() {
		w.deferred = append(w.deferred, f)
		return
	}
	f()
}

// checkLease begins a new epoch of the agent, without tasks, if the lease has expired.
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

// sendHeartbeat sends a heartbeat. If the machine hangs when the reply arrives, the reply is
// handled once the machine stops hanging.
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

// handleReply renews the lease and executes the commands. It ignores a reply that is late, that
// comes from an earlier owner, or that answers a heartbeat of an earlier epoch of the agent.
func (w *Worker) handleReply(sent sentHeartbeat, reply wire.HeartbeatReply) {
	late := w.now()-w.lastHeartbeat > HeartbeatTimeout
	if late || sent.agentEpoch != w.agentEpoch || reply.FencingToken < w.fencingToken {
		return
	}
	w.raiseFencingToken(reply.FencingToken)
	w.leaseStart = max(w.leaseStart, sent.at)
	w.execute(reply.Commands, 0)
	w.host.LeaseRenewed()
}

// followRedirect switches to the controller that a redirect names. If that controller is unknown, or
// sent the redirect itself, the worker switches to the next controller.
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

// Serve answers a direct command or a request for a heartbeat from a controller. While the
// machine hangs, requests wait as they would in its sockets; the order in which they are
// answered afterwards is undefined.
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

// handleDirectCommand executes a direct command and returns the HTTP status of the answer. It
// rejects a command from an earlier owner, or for another epoch of the agent.
func (w *Worker) handleDirectCommand(command wire.DirectCommand) int {
	if command.FencingToken < w.fencingToken || command.AgentEpoch != w.agentEpoch {
		return http.StatusConflict
	}
	w.raiseFencingToken(command.FencingToken)
	w.execute(command.Commands, command.FencingToken)
	return http.StatusOK
}
