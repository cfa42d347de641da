package controller

import (
	"net/http"

	"garnethitch/internal/controller/reachability"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// contactView is when a machine's last heartbeat came and when one was last answered, each by
// this node's clock, and whether replies arrive.
type contactView struct {
	lastHeartbeatAt micros.Micros
	lastReplyAt     micros.Micros
	since           micros.Micros // when this node began to follow it
	reachability    reachability.Tracker
}

// recordReachability compares a newer heartbeat with the reply that went before it.
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

// cordonIfRepliesWereLost cordons a machine with a new agent epoch if its lease ran out
// although its heartbeats were answered recently.
func (c *Controller) cordonIfRepliesWereLost(m *machine) {
	v := m.view
	recentlyAnswered := c.now-v.lastReplyAt < c.cfg.WorkerLease-2*c.cfg.HeartbeatInterval
	if _, repliesLost := v.reachability.UnconfirmedSince(); !repliesLost || !recentlyAnswered {
		return
	}
	c.log(Info, "machine sends heartbeats but receives no replies, cordoned", "machine", m.id)
	v.cordonedUntil = c.now + c.cfg.CordonPeriod
}

// unreachable reports whether a machine sends heartbeats and does not receive the replies. It
// gets no more tasks. Those it has count until its lease has provably ended: a higher
// agent epoch in a heartbeat, the cloud's return, or the bound since the last reply.
func (c *Controller) unreachable(m *machine) bool {
	return m.view.reachability.Unreachable()
}

// leaseRunningOut reports whether no heartbeat of a machine has come and been answered for so
// long that its lease is running out; what it answers to direct requests does not renew
// the lease. It gets no more tasks: they would end with the lease. Those it has may be
// completed in time.
func (c *Controller) leaseRunningOut(v *view) bool {
	return v.sequenceKnown && c.sinceLastReply(v) > c.heartbeatDeadlines.Timeout
}

// sinceLastReply returns how long ago a heartbeat of a machine was last answered.
func (sc *stepContext) sinceLastReply(v *view) micros.Micros {
	return sc.now - max(v.lastReplyAt, v.since, sc.lastStalledAt)
}

// sinceLastHeartbeat returns how long ago a machine's last heartbeat came, to a node that had the
// time to read it: what arrived while this node was stalled may still be unread.
func (sc *stepContext) sinceLastHeartbeat(v *view) micros.Micros {
	return sc.now - max(v.lastHeartbeatAt, v.since, sc.lastStalledAt)
}

// probeRetryDelay is how long after a probe the same machine may be probed again.
const probeRetryDelay = 2 * micros.Second

// probeOverdueMachine requests a heartbeat from a machine whose own is overdue, or that does
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

// applyProbeResult takes the answer to a probe, unless it is not the machine's, or the machine
// has shown a fencing token above this node's.
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
