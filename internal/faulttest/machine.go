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
	// nextNodePause is how long a worker waits before it turns to another controller.
	nextNodePause = 100 * time.Millisecond
)

// machine is a machine with its worker, which sends heartbeats to one controller at a time.
type machine struct {
	fakes.FixedMachine
	cluster *Cluster
	nodes   []*fakes.Connection // to the controllers
	node    int                 // that it sends heartbeats to
	wake    chan struct{}       // has the next heartbeat not wait for its time
	faults  machineFaults

	mu                   sync.Mutex // guards what follows
	agentEpoch, sequence uint64
	fencingToken         uint64
	leaseFrom            time.Time // when the last heartbeat that was answered was sent
	tasks                []task
}

// task is a task on a machine.
type task struct {
	wire.TaskStatus
	team string
	run  *TaskRun
}

// is reports whether a command is about the task.
func (t task) is(command wire.Command) bool {
	return t.Task == command.Task && t.Attempt == command.Attempt
}

// addMachine adds a machine to the cluster, before that starts.
func (c *Cluster) addMachine(fixed fakes.FixedMachine) {
	m := &machine{
		FixedMachine: fixed,
		cluster:      c,
		agentEpoch:   1,
		leaseFrom:    time.Now(),
		wake:         make(chan struct{}, 1),
	}
	c.machines = append(c.machines, m)
	c.machineByHost[m.Address] = m
	c.server.AddMachine(fixed)
}

// connect has a machine know of the controllers.
func (m *machine) connect(nodes []*node) {
	for _, n := range nodes {
		m.nodes = append(m.nodes, fakes.NewConnection(n.settings.ServeOn, replyTimeout))
	}
	m.node = m.cluster.draw(len(nodes))
}

// serveWorker serves direct commands and questions to the machines.
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

// handleRequest carries a direct command out, unless it is of an old owner or for an earlier
// run of the agent. Any request is answered with a heartbeat.
func (m *machine) handleRequest(path string, body []byte) (status int, heartbeat wire.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease(time.Now())
	if path != wire.PathDirectCommand {
		return http.StatusOK, m.heartbeat()
	}
	var command wire.DirectCommand
	valid := wire.Decode(body, &command) == nil && command.FencingToken >= m.fencingToken && command.AgentEpoch == m.agentEpoch
	if !valid {
		return http.StatusConflict, m.heartbeat()
	}
	m.execute(command.FencingToken, command.Commands)
	return http.StatusOK, m.heartbeat()
}

// heartbeat returns the next heartbeat. The lock is held.
func (m *machine) heartbeat() wire.Heartbeat {
	m.sequence++
	heartbeat := m.FixedMachine.Heartbeat()
	heartbeat.AgentEpoch = m.agentEpoch
	heartbeat.Sequence = m.sequence
	heartbeat.FencingToken = m.fencingToken
	for _, t := range m.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

// run sends heartbeats until the cluster ends, and ends tasks with the lease.
func (m *machine) run() {
	defer m.cluster.wait.Done()
	for m.cluster.ctx.Err() == nil {
		m.awaitRunning()
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

// checkLease ends the agent's epoch and its tasks once the lease has run out. The lock is held.
func (m *machine) checkLease(now time.Time) {
	lease := m.cluster.plan.Times.WorkerLease
	if now.Sub(m.leaseFrom) <= lease {
		return
	}
	expiredAt := m.leaseFrom.Add(lease)
	for i := range m.tasks {
		m.cluster.taskRuns.end(m.tasks[i].run, expiredAt) // also where it hung, and says so later
		m.endTask(i, "")
	}
	m.tasks = nil
	m.leaseFrom = time.Now()
	m.agentEpoch++
}

// sendHeartbeat sends a heartbeat and carries out the commands of the reply.
func (m *machine) sendHeartbeat(heartbeat wire.Heartbeat, sentAt time.Time) {
	body, err := wire.Encode(heartbeat)
	if err != nil {
		return
	}
	if m.faults.has(faultSendsNothing) {
		m.turnTo((m.node + 1) % len(m.nodes))
		return
	}
	m.maybeCopyLater(body)
	msg, err := m.nodes[m.node].Request("POST", wire.PathHeartbeat, body)
	m.awaitRunning()
	tooLate := time.Since(sentAt) > replyTimeout
	if tooLate || m.faults.has(faultReceivesNothing) {
		return
	}
	var reply wire.HeartbeatReply
	if err != nil || msg.Status != http.StatusOK || wire.Decode(msg.Body, &reply) != nil {
		m.handleRefusal(msg, err)
		return
	}
	m.handleReply(reply, heartbeat.AgentEpoch, sentAt)
}

// handleRefusal turns to the controller that was named, or else to the next one.
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
	m.turnTo(next)
}

// turnTo has the next heartbeats go to another controller.
func (m *machine) turnTo(node int) {
	m.node = node
	m.cluster.pause(nextNodePause)
}

// handleReply renews the lease and carries commands out, unless the reply is that of an old
// owner or to an earlier run of the agent.
func (m *machine) handleReply(reply wire.HeartbeatReply, agentEpoch uint64, sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease(time.Now())
	if reply.FencingToken < m.fencingToken || agentEpoch != m.agentEpoch {
		return
	}
	m.leaseFrom = sentAt
	m.faults.replyReceived()
	m.execute(reply.FencingToken, reply.Commands)
}

// execute carries commands out. The lock is held.
func (m *machine) execute(fencingToken uint64, commands []wire.Command) {
	m.fencingToken = max(m.fencingToken, fencingToken)
	for _, command := range commands {
		at := m.indexOf(command)
		switch {
		case command.Op == wire.OpStart && at < 0:
			m.startTask(command)
		case command.Op == wire.OpStop && at >= 0:
			m.endTask(at, wire.ExitStopped)
		case command.Op == wire.OpForget && at >= 0:
			m.tasks = slices.Delete(m.tasks, at, at+1)
		}
	}
}

// indexOf returns the index of a command's task; -1: it is not here.
func (m *machine) indexOf(command wire.Command) int {
	return slices.IndexFunc(m.tasks, func(t task) bool { return t.is(command) })
}

// startTask starts a task of one CPU, if one is free. The lock is held.
func (m *machine) startTask(command wire.Command) {
	t := task{
		TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning},
		team:       m.cluster.teamOf(command.Task),
	}
	if m.running() >= machineCPUs {
		t.State = wire.TaskExited
		t.ExitReason = wire.ExitNoCapacity
		m.tasks = append(m.tasks, t)
		return
	}
	m.cluster.record(HistoryEvent{Team: t.team, CPUs: 1})
	t.run = m.cluster.taskRuns.begin(command.Task, m.ID)
	m.tasks = append(m.tasks, t)
	agentEpoch := m.agentEpoch
	time.AfterFunc(m.cluster.drawTaskLength(), func() { m.completeTask(command, agentEpoch) })
}

// running counts the tasks that run. The lock is held.
func (m *machine) running() (count int) {
	for _, t := range m.tasks {
		if t.State == wire.TaskRunning {
			count++
		}
	}
	return count
}

// drawTaskLength draws how long a task runs.
func (c *Cluster) drawTaskLength() time.Duration {
	times := c.plan.Times
	spread := max((times.TaskTo - times.TaskFrom).Milliseconds(), 1)
	return times.TaskFrom + time.Duration(c.draw(int(spread)))*time.Millisecond
}

// completeTask ends a task that has run its time, unless its lease has run out before.
func (m *machine) completeTask(command wire.Command, agentEpoch uint64) {
	m.awaitRunning()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease(time.Now())
	at := m.indexOf(command)
	if m.agentEpoch == agentEpoch && at >= 0 {
		m.endTask(at, wire.ExitDone)
		m.heartbeatSoon()
	}
}

// heartbeatSoon has the next heartbeat not wait for its time.
func (m *machine) heartbeatSoon() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// endTask ends a task, if it runs, and records the end. The lock is held.
func (m *machine) endTask(at int, exitReason wire.ExitReason) {
	t := &m.tasks[at]
	if t.State != wire.TaskRunning {
		return
	}
	t.State = wire.TaskExited
	t.ExitReason = exitReason
	m.cluster.record(HistoryEvent{Team: t.team, CPUs: -1})
	m.cluster.taskRuns.end(t.run, time.Now())
}
