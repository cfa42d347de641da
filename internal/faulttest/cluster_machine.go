package faulttest

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"garnethitch/internal/fakes"
	"garnethitch/internal/wire"
)

// clusterMachine is a worker that reports to one controller at a time.
type clusterMachine struct {
	mu      sync.Mutex
	cluster *Cluster
	fakes.FixedMachine
	node                 int
	links                []*fakes.Connection
	agentEpoch, sequence uint64
	fencingToken         uint64
	answeredAt           time.Time // when the last answered report was sent
	tasks                []clusterTask
	wake                 chan struct{}
	faults               machineFaults
}

type clusterTask struct {
	wire.TaskStatus
	team string
	stay *Stay // where stays are recorded
}

const clusterCPUs = 4

// serveWorker is a machine's side of orders and questions.
func (c *Cluster) serveWorker(rw http.ResponseWriter, r *http.Request) {
	m := c.byHost[r.Host]
	body, err := io.ReadAll(r.Body)
	if m == nil || err != nil {
		rw.WriteHeader(404)
		return
	}
	if !m.awaitReachable() {
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	m.lapseIfOver(time.Now())
	status := 200
	var orders wire.DirectCommand
	if r.URL.Path == "/orders" {
		status = 409
		if wire.Decode(body, &orders) == nil && orders.FencingToken >= m.fencingToken && orders.AgentEpoch == m.agentEpoch {
			status = 200
			m.obey(orders.FencingToken, orders.Commands)
		}
	}
	heartbeat := m.heartbeat()
	m.mu.Unlock()
	fakes.WriteAnswer(rw, status, heartbeat)
}

// heartbeat is what the machine says; its lock is held.
func (m *clusterMachine) heartbeat() wire.Heartbeat {
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

// run reports until the cluster ends, and lets tasks go with the lease.
func (m *clusterMachine) run() {
	defer m.cluster.wait.Done()
	for m.cluster.ctx.Err() == nil {
		m.awaitAwake()
		m.mu.Lock()
		sent := time.Now()
		m.lapseIfOver(sent)
		heartbeat := m.heartbeat()
		m.mu.Unlock()
		m.sendHeartbeat(heartbeat, sent)
		select {
		case <-m.wake:
		case <-time.After(m.cluster.plan.Times.HeartbeatInterval):
		case <-m.cluster.ctx.Done():
		}
	}
}

// lapseIfOver ends the session once the lease has run out; the machine's lock is held.
func (m *clusterMachine) lapseIfOver(now time.Time) {
	if now.Sub(m.answeredAt) > m.cluster.plan.Times.WorkerLease {
		m.lapse()
	}
}

func (m *clusterMachine) lapse() {
	over := m.answeredAt.Add(m.cluster.plan.Times.WorkerLease)
	for i := range m.tasks {
		m.cluster.stays.end(m.tasks[i].stay, over) // also where it hung, and tells later
		m.ends(i, "")
	}
	m.tasks, m.answeredAt = nil, time.Now()
	m.agentEpoch++
}

func (m *clusterMachine) sendHeartbeat(heartbeat wire.Heartbeat, sent time.Time) {
	body, err := wire.Encode(heartbeat)
	if err != nil {
		return
	}
	if m.mute() {
		m.node = (m.node + 1) % len(m.links)
		m.cluster.pause(100 * time.Millisecond)
		return
	}
	m.copyLater(body)
	msg, err := m.links[m.node].Request("POST", "/checkin", body)
	m.awaitAwake()
	if m.deaf() || time.Since(sent) > answerTimeout {
		return // the answer is lost, or too late
	}
	var answer wire.HeartbeatReply
	if err != nil || msg.Status != 200 || wire.Decode(msg.Body, &answer) != nil {
		next := (m.node + 1) % len(m.links)
		var to wire.Redirect
		if err == nil && msg.Status == 421 && wire.Decode(msg.Body, &to) == nil {
			for i, n := range m.cluster.nodes {
				if n.set.Label == to.ReportTo {
					next = i
					m.heartbeatSoon() // sent to it, it reports at once
				}
			}
		}
		m.node = next
		m.cluster.pause(100 * time.Millisecond)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapseIfOver(time.Now())
	if answer.FencingToken < m.fencingToken || heartbeat.AgentEpoch != m.agentEpoch {
		return
	}
	m.answeredAt = sent
	m.faults.heardNow()
	m.obey(answer.FencingToken, answer.Commands)
}

// obey carries commands out; the machine's lock is held.
func (m *clusterMachine) obey(fencingToken uint64, commands []wire.Command) {
	m.fencingToken = max(m.fencingToken, fencingToken)
	for _, c := range commands {
		at := slices.IndexFunc(m.tasks, func(t clusterTask) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch {
		case c.Op == wire.OpStart && at < 0:
			m.begin(c)
		case c.Op == wire.OpStop && at >= 0:
			m.ends(at, wire.ExitStopped)
		case c.Op == wire.OpForget && at >= 0:
			m.tasks = slices.Delete(m.tasks, at, at+1)
		}
	}
}

// begin starts a task of one CPU, if there is room.
func (m *clusterMachine) begin(c wire.Command) {
	running := 0
	for _, t := range m.tasks {
		if t.State == wire.TaskRunning {
			running++
		}
	}
	t := clusterTask{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}, team: m.cluster.teamOf(c.Task)}
	if running >= clusterCPUs {
		t.State, t.ExitReason = wire.TaskExited, wire.ExitNoCapacity
		m.tasks = append(m.tasks, t)
		return
	}
	m.tasks = append(m.tasks, t)
	m.cluster.note(HistoryEvent{Team: t.team, CPUs: 1})
	m.tasks[len(m.tasks)-1].stay = m.cluster.stays.begin(c.Task, m.ID)
	agentEpoch, times := m.agentEpoch, m.cluster.plan.Times
	runs := times.TaskFrom + time.Duration(m.cluster.draw(int(max((times.TaskTo-times.TaskFrom).Milliseconds(), 1))))*time.Millisecond
	time.AfterFunc(runs, func() {
		m.awaitAwake()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lapseIfOver(time.Now()) // nothing is completed after the lease
		at := slices.IndexFunc(m.tasks, func(t clusterTask) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		if m.agentEpoch == agentEpoch && at >= 0 {
			m.ends(at, wire.ExitDone)
			m.heartbeatSoon()
		}
	})
}

// heartbeatSoon has the next heartbeat not wait for its time.
func (m *clusterMachine) heartbeatSoon() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// ends notes a task's end.
func (m *clusterMachine) ends(at int, exitReason string) {
	t := &m.tasks[at]
	if t.State != wire.TaskRunning {
		return
	}
	t.State, t.ExitReason = wire.TaskExited, exitReason
	m.cluster.note(HistoryEvent{Team: t.team, CPUs: -1})
	m.cluster.stays.end(t.stay, time.Now())
}
