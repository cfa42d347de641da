package faulttest

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"garnethitch/internal/fakes"
	"garnethitch/internal/http1"
	"garnethitch/internal/wire"
)

const (
	machineCPUs = 4
	// nextNodePause is how long a worker pauses when it switches to another controller.
	nextNodePause = 100 * time.Millisecond
)

// machine is a machine with its worker, which sends heartbeats to one controller at a time.
type machine struct {
	fakes.FixedMachine
	cluster *Cluster
	nodes   []*fakes.Connection // one for each controller
	node    int                 // index of the controller that heartbeats go to
	wake    chan struct{}       // triggers the next heartbeat before its time
	faults  machineFaults

	mu         sync.Mutex // guards the fields below
	agent      *fakes.Agent
	leaseStart time.Time // when the last answered heartbeat was sent
	runs       map[attempt]*TaskRun
	added      map[attempt]bool // the attempts that the worker has had in this epoch of the agent
}

// attempt identifies an attempt of a task.
type attempt struct {
	task   string
	number uint64
}

// addMachine adds a machine to the cluster. The cluster must not have started.
func (c *Cluster) addMachine(fixed fakes.FixedMachine) {
	m := &machine{
		FixedMachine: fixed,
		cluster:      c,
		leaseStart:   time.Now(),
		wake:         make(chan struct{}, 1),
		runs:         map[attempt]*TaskRun{},
		added:        map[attempt]bool{},
	}
	m.agent = fakes.NewAgent(fixed, m)
	c.machines = append(c.machines, m)
	c.machineByHost[m.Address] = m
	c.server.AddMachine(fixed)
}

// connect gives the machine connections to the controllers, and has it begin with a random one.
func (m *machine) connect(nodes []*node) {
	for _, n := range nodes {
		m.nodes = append(m.nodes, fakes.NewConnection(n.settings.ServeOn, replyTimeout))
	}
	m.node = m.cluster.draw(len(nodes))
}

// serveWorker serves direct commands and requests for heartbeats, which controllers send to the
// machines.
func (c *Cluster) serveWorker(rw http.ResponseWriter, r *http.Request) {
	m := c.machineByHost[r.Host]
	body, err := io.ReadAll(r.Body)
	if m == nil || err != nil {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if !m.awaitReachable() {
		panic(http.ErrAbortHandler)
	}
	status, heartbeat := m.handleRequest(r.URL.Path, body)
	fakes.WriteAnswer(rw, status, heartbeat)
}

// handleRequest executes a direct command, unless it is from an earlier owner or for another
// epoch of the agent. The answer to any request is a heartbeat.
func (m *machine) handleRequest(path string, body []byte) (status int, heartbeat wire.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease(time.Now())
	status = http.StatusOK
	if path == wire.PathDirectCommand {
		status = m.handleDirectCommand(body)
	}
	return status, m.heartbeat()
}

// handleDirectCommand executes an encoded direct command and returns the HTTP status of the
// answer. The caller holds the lock.
func (m *machine) handleDirectCommand(body []byte) (status int) {
	var command wire.DirectCommand
	if err := wire.Decode(body, &command); err != nil {
		return http.StatusConflict
	}
	status = m.agent.HandleDirectCommand(command)
	if status == http.StatusOK {
		m.copyLater(command)
	}
	return status
}

// heartbeat returns the next heartbeat. It encodes an empty list of tasks as null, which a
// controller has to accept as well as an empty array. The caller holds the lock.
func (m *machine) heartbeat() wire.Heartbeat {
	heartbeat := m.agent.Heartbeat()
	if len(heartbeat.Tasks) == 0 {
		heartbeat.Tasks = nil
	}
	return heartbeat
}

// run sends heartbeats until the cluster stops, and ends the tasks when the lease expires.
func (m *machine) run() {
	defer m.cluster.goroutines.Done()
	for m.cluster.ctx.Err() == nil {
		m.waitWhileHung()
		m.mu.Lock()
		sentAt := time.Now()
		m.checkLease(sentAt)
		heartbeat := m.heartbeat()
		m.mu.Unlock()
		m.sendHeartbeat(heartbeat, sentAt)
		select {
		case <-m.wake:
		case <-time.After(m.cluster.plan.Times.HeartbeatInterval):
		case <-m.cluster.ctx.Done():
		}
	}
}

// checkLease ends the tasks and begins a new epoch of the agent if the lease has expired. The
// caller holds the lock.
func (m *machine) checkLease(now time.Time) {
	lease := m.cluster.plan.Times.WorkerLease
	if now.Sub(m.leaseStart) <= lease {
		return
	}
	expiredAt := m.leaseStart.Add(lease)
	tasks := m.agent.Tasks()
	for i := range tasks {
		m.endTask(&tasks[i], "", expiredAt) // even if the machine hung then and notices it only now
	}
	m.agent.BeginEpoch()
	clear(m.runs)
	clear(m.added)
	m.leaseStart = time.Now()
}

// sendHeartbeat sends a heartbeat and executes the commands of the reply.
func (m *machine) sendHeartbeat(heartbeat wire.Heartbeat, sentAt time.Time) {
	body, err := fakes.Encode(heartbeat)
	if err != nil {
		return
	}
	if m.faults.active(faultSendsNothing) {
		m.switchTo((m.node + 1) % len(m.nodes))
		return
	}
	m.maybeDuplicateLater(body)
	msg, err := m.nodes[m.node].Request("POST", wire.PathHeartbeat, body)
	m.waitWhileHung()
	tooLate := time.Since(sentAt) > replyTimeout
	if tooLate || m.faults.active(faultReceivesNothing) {
		return
	}
	var reply wire.HeartbeatReply
	if err != nil || msg.Status != http.StatusOK || wire.Decode(msg.Body, &reply) != nil {
		m.handleRefusal(msg, err)
		return
	}
	m.handleReply(reply, heartbeat.AgentEpoch, sentAt)
}

// handleRefusal switches to the controller that a redirect names, or else to the next one.
func (m *machine) handleRefusal(msg http1.Message, err error) {
	next := (m.node + 1) % len(m.nodes)
	var redirect wire.Redirect
	redirected := err == nil && msg.Status == http.StatusMisdirectedRequest && wire.Decode(msg.Body, &redirect) == nil
	if redirected {
		i := slices.IndexFunc(m.cluster.nodes, func(n *node) bool { return n.settings.Label == redirect.Controller })
		if i >= 0 {
			next = i
			m.heartbeatSoon()
		}
	}
	m.switchTo(next)
}

// switchTo makes the next heartbeats go to another controller, after a pause.
func (m *machine) switchTo(node int) {
	m.node = node
	m.cluster.pause(nextNodePause)
}

// handleReply renews the lease and executes the commands, unless the reply is from an earlier
// owner or answers a heartbeat of an earlier epoch of the agent.
func (m *machine) handleReply(reply wire.HeartbeatReply, agentEpoch uint64, sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease(time.Now())
	if !m.agent.Accepts(reply.FencingToken, agentEpoch) {
		return
	}
	m.leaseStart = sentAt
	m.faults.replyReceived()
	m.agent.Execute(reply.FencingToken, reply.Commands)
}

// StartTask starts a task of one CPU, or refuses it if no CPU is free. A completed task exits at
// once. The caller holds the lock.
func (m *machine) StartTask(command wire.Command) wire.TaskStatus {
	status := wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning}
	key := attempt{command.Task, command.Attempt}
	if m.added[key] {
		m.cluster.lateCopies.addStart(command.Task, m.ID)
	}
	m.added[key] = true
	if m.cluster.lateCopies.completed(command.Task) {
		// The run is recorded all the same: not even an instant of it is allowed too late or beside
		// another run.
		m.cluster.taskRuns.end(m.cluster.taskRuns.begin(command.Task, m.ID), time.Now())
		status.State = wire.TaskExited
		status.ExitReason = wire.ExitDone
		return status
	}
	if m.countRunning() >= machineCPUs {
		status.State = wire.TaskExited
		status.ExitReason = wire.ExitNoCapacity
		return status
	}
	m.cluster.record(HistoryEvent{Team: m.cluster.teamOf(command.Task), CPUs: 1})
	m.runs[key] = m.cluster.taskRuns.begin(command.Task, m.ID)
	agentEpoch := m.agent.Epoch()
	time.AfterFunc(m.cluster.drawTaskDuration(), func() { m.completeTask(command, agentEpoch) })
	return status
}

// StopTask stops a task at once. The caller holds the lock.
func (m *machine) StopTask(task *wire.TaskStatus) {
	m.endTask(task, wire.ExitStopped, time.Now())
}

// countRunning counts the running tasks. The caller holds the lock.
func (m *machine) countRunning() (count int) {
	for _, t := range m.agent.Tasks() {
		if t.State == wire.TaskRunning {
			count++
		}
	}
	return count
}

// drawTaskDuration returns a random run time for a task.
func (c *Cluster) drawTaskDuration() time.Duration {
	times := c.plan.Times
	spread := max((times.MaxTaskDuration - times.MinTaskDuration).Milliseconds(), 1)
	return times.MinTaskDuration + time.Duration(c.draw(int(spread)))*time.Millisecond
}

// completeTask ends a task that has run for its time, unless the lease expired before.
func (m *machine) completeTask(command wire.Command, agentEpoch uint64) {
	m.waitWhileHung()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease(time.Now())
	task := m.agent.Task(command)
	if m.agent.Epoch() == agentEpoch && task != nil {
		if task.State == wire.TaskRunning {
			m.cluster.lateCopies.complete(command.Task)
		}
		m.endTask(task, wire.ExitDone, time.Now())
		m.heartbeatSoon()
	}
}

// heartbeatSoon triggers the next heartbeat before its time.
func (m *machine) heartbeatSoon() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// endTask ends a task if it is running, and records the end. The caller holds the lock.
func (m *machine) endTask(task *wire.TaskStatus, exitReason wire.ExitReason, at time.Time) {
	if task.State != wire.TaskRunning {
		return
	}
	task.State = wire.TaskExited
	task.ExitReason = exitReason
	m.cluster.record(HistoryEvent{Team: m.cluster.teamOf(task.Task), CPUs: -1})
	m.cluster.taskRuns.end(m.runs[attempt{task.Task, task.Attempt}], at)
}
