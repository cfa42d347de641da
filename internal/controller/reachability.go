package controller

import (
	"net/http"

	"garnethitch/internal/controller/reachability"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// contactView holds when a machine's last heartbeat came and when one was last answered, by this
// node's clock, and whether the machine receives the replies.
type contactView struct {
	lastHeartbeatAt micros.Micros
	lastReplyAt     micros.Micros
	observedSince   micros.Micros // when this node created its view of the machine
	reachability    reachability.Tracker
}

// recordReachability checks whether a newer heartbeat shows that the machine received the reply to
// the one before.
func (c *Controller) recordReachability(m *machine, heartbeat *wire.Heartbeat) {
	v := m.view
	if v.sequenceKnown && heartbeat.AgentEpoch > v.agentEpoch {
		c.cordonIfRepliesWereLost(m)
		v.reachability.Reset()
		return
	}
	if v.reachability.HeartbeatReceived(c.now, heartbeat) {
		c.log(Info, "machine sends heartbeats but is unreachable", "machine", m.id, "tasks", len(heartbeat.Tasks))
		c.schedulingDue = true
	}
}

// cordonIfRepliesWereLost cordons a machine that has begun a new agent epoch although its
// heartbeats were answered recently: its lease ran out because it did not receive the replies.
func (c *Controller) cordonIfRepliesWereLost(m *machine) {
	v := m.view
	recentlyAnswered := c.now-v.lastReplyAt < c.cfg.WorkerLease-2*c.cfg.HeartbeatInterval
	if _, repliesLost := v.reachability.UnconfirmedSince(); !repliesLost || !recentlyAnswered {
		return
	}
	c.log(Info, "machine sends heartbeats but receives no replies, cordoned", "machine", m.id)
	v.cordonedUntil = c.now + c.cfg.CordonPeriod
}

// unreachable reports whether a machine sends heartbeats but does not receive the replies. Such a
// machine gets no more tasks. Its tasks are taken to run until its lease has provably ended: it
// shows a higher agent epoch, the cloud confirms its return, or the bound since the last reply has
// passed.
func (c *Controller) unreachable(m *machine) bool {
	return m.view.reachability.Unreachable()
}

// leaseRunningOut reports whether a machine's lease is running out because none of its heartbeats
// has been answered for longer than the heartbeat timeout. Its answers to direct requests do not
// renew the lease. Such a machine gets no more tasks, since they would end with the lease. The tasks
// on it may be completed in time.
func (c *Controller) leaseRunningOut(v *machineView) bool {
	return v.sequenceKnown && c.sinceLastReply(v) > c.heartbeatDeadlines.Timeout
}

// sinceLastReply returns how long ago a heartbeat of a machine was last answered, counted at the
// earliest from when this node created the view, or was last stalled.
func (sc *stepContext) sinceLastReply(v *machineView) micros.Micros {
	return sc.now - max(v.lastReplyAt, v.observedSince, sc.lastStalledAt)
}

// sinceLastHeartbeat returns how long ago a machine's last heartbeat came, counted at the earliest
// from when this node created the view, or was last stalled: heartbeats that arrived during a stall
// may still be unread.
func (sc *stepContext) sinceLastHeartbeat(v *machineView) micros.Micros {
	return sc.now - max(v.lastHeartbeatAt, v.observedSince, sc.lastStalledAt)
}

// probeRetryDelay is the least time between two probes of the same machine.
const probeRetryDelay = 2 * micros.Second

// probeOverdueMachine requests a heartbeat from a machine whose heartbeat is overdue, or that does
// not seem to receive replies.
func (c *Controller) probeOverdueMachine(s *shard, m *machine) {
	v := m.view
	if !c.probeDue(m) || !c.commandQueue.takeProbe() {
		return
	}
	v.nextProbeAt = c.now + probeRetryDelay
	v.probeInFlight = true
	c.askWorker(m.rec.Addr, GetHeartbeat{}, func(r Result) {
		if m.view != v {
			return
		}
		v.probeInFlight = false
		c.applyProbeResult(s, m, r)
	})
}

// probeDue reports whether a machine should be probed and no probe is under way.
func (c *Controller) probeDue(m *machine) bool {
	v := m.view
	overdue := c.sinceLastHeartbeat(v) > c.heartbeatDeadlines.Overdue
	if !overdue && !c.unreachable(m) {
		return false
	}
	return !v.probeInFlight && c.now >= v.nextProbeAt && m.rec.Addr != ""
}

// applyProbeResult applies the heartbeat that answers a probe. It ignores an answer that another
// machine gave or whose fencing token is above this node's.
func (c *Controller) applyProbeResult(s *shard, m *machine, r Result) {
	heartbeat, ok := r.Body.(*wire.Heartbeat)
	if !ok || r.Status != http.StatusOK || heartbeat.Machine != m.id {
		return
	}
	if c.ownership.activeShard(s.id) == nil || heartbeat.FencingToken > c.fencingToken(s, m) {
		return
	}
	m.view.reachability.Reset()
	c.applyHeartbeat(s, m, heartbeat, answerToRequest)
}
