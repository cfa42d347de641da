package controller

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Hearing a machine is not reaching it: its heartbeats may arrive while our
// answers and commands do not. Then the starts of the last answer never show,
// its fencing token stays behind, and later its session rises although it was answered.

// contactView is when a machine was heard and answered, each by this node's clock, and
// whether our answers arrive.
type contactView struct {
	lastHeartbeatAt micros.Micros
	lastReplyAt     micros.Micros
	since           micros.Micros // when this node's care for it began
	reachability    reachability
}

// reachability is what a machine has shown of our answers.
type reachability struct {
	unconfirmedReplies int           // answers in a row of which nothing showed
	since              micros.Micros // when the first of them was missed
	fencingToken       uint64        // the last answer told this fencing token, not shown before; 0: none
	command            wire.Command  // a command of the last answer; Op is empty if it held none
}

// replied notes what the next heartbeat must show.
func (r *reachability) replied(fencingToken, shown uint64, commands []wire.Command) {
	r.fencingToken, r.command = 0, wire.Command{}
	if fencingToken > shown {
		r.fencingToken = fencingToken
	}
	if len(commands) > 0 {
		r.command = commands[0]
	}
}

// confirmedBy tells whether a heartbeat shows what the answer before it said; sure is
// false if it would look the same either way.
func (r *reachability) confirmedBy(heartbeat *wire.Heartbeat) (shown, sure bool) {
	if r.fencingToken != 0 {
		return heartbeat.FencingToken >= r.fencingToken, true
	}
	if r.command.Op == "" {
		return false, false
	}
	state := ""
	for i := range heartbeat.Tasks {
		if t := &heartbeat.Tasks[i]; t.Attempt == r.command.Attempt && t.Task == r.command.Task {
			state = t.State
		}
	}
	switch r.command.Op {
	case wire.OpStart:
		return state != "", true
	case wire.OpForget:
		return state == "", true
	}
	return state == "" || state == wire.TaskExited || state == wire.TaskSaving, true
}

// maxUnconfirmedReplies is how many answers may be lost before a machine counts as out of
// reach: one or two are lost now and then.
const maxUnconfirmedReplies = 3

// recordReachability weighs a newer heartbeat against the answer that went before it.
func (c *Controller) recordReachability(m *machine, heartbeat *wire.Heartbeat) {
	v := m.view
	r := &v.reachability
	if v.sequenceKnown && heartbeat.AgentEpoch > v.agentEpoch {
		// Its lease ran out although it was answered of late.
		if c.now-v.lastReplyAt < c.cfg.WorkerLease-2*c.cfg.HeartbeatInterval && r.unconfirmedReplies > 0 {
			c.log(Info, "machine sends heartbeats but receives no replies, cordoned", "machine", m.id)
			v.cordonedUntil = c.now + c.cfg.CordonFor
		}
		*r = reachability{}
		return
	}
	shown, sure := r.confirmedBy(heartbeat)
	r.fencingToken, r.command = 0, wire.Command{}
	switch {
	case !sure:
	case shown:
		r.unconfirmedReplies = 0
	default:
		if r.unconfirmedReplies == 0 {
			r.since = c.now
		}
		if r.unconfirmedReplies++; r.unconfirmedReplies == maxUnconfirmedReplies {
			c.log(Info, "machine sends heartbeats but is unreachable", "machine", m.id, "tasks", len(heartbeat.Tasks))
			c.schedulingDue = true
		}
	}
}

// unreachable: the machine is heard, but what it is told does not arrive. It gets
// no more tasks. Those it has count until its lease has provably ended: a higher
// session in a heartbeat, the cloud's return, or the bound since the last answer.
func (c *Controller) unreachable(m *machine) bool {
	return m.view.reachability.unconfirmedReplies >= maxUnconfirmedReplies
}

// leaseRunningOut: the machine answers, but no heartbeat of it has come and been answered for so
// long that its lease is running out; answers to orders and questions do not renew
// that. It gets no more tasks: they would end with the lease. Those it has may be
// completed in time.
func (c *Controller) leaseRunningOut(v *view) bool {
	return v.sequenceKnown && c.sinceLastReply(v) > c.heartbeatTimeout()
}

// sinceLastReply is for how long no heartbeat of a machine has been answered.
func (c *Controller) sinceLastReply(v *view) micros.Micros {
	return c.now - max(v.lastReplyAt, v.since, c.lastStalledAt)
}

// heartbeatOverdueAfter is how long after its last heartbeat a machine should have reported again.
// A heartbeat or answer may be lost, so this alone says nothing yet: the machine is
// asked.
func (c *Controller) heartbeatOverdueAfter() micros.Micros {
	return c.cfg.HeartbeatInterval*5/4 + 3*micros.Second/2
}

// heartbeatTimeout is how long a machine that does not answer either is left before it
// counts as silent: a heartbeat was lost, and the next node was tried.
func (c *Controller) heartbeatTimeout() micros.Micros {
	return c.heartbeatOverdueAfter() + 2*micros.Second
}

// sinceLastHeartbeat is for how long a machine has not been heard, by a node that had the
// time to listen: what it said while this node was behind may still be unread.
func (c *Controller) sinceLastHeartbeat(v *view) micros.Micros {
	return c.now - max(v.lastHeartbeatAt, v.since, c.lastStalledAt)
}

// silentReturnAfter is how long a machine may be silent before it is returned; 0: it
// never is. By default it leaves time for an overdue heartbeat and for trying the
// next node, so that one lost heartbeat never looks like a dead machine.
func (c *Controller) silentReturnAfter() micros.Micros {
	if c.cfg.SilentReturn >= 0 {
		return c.cfg.SilentReturn
	}
	return c.heartbeatOverdueAfter() + 8*micros.Second
}

// probeOverdueMachine asks a machine whose heartbeat is overdue, or that does not seem to
// hear its answers, to show itself.
func (c *Controller) probeOverdueMachine(s *shard, m *machine) {
	v := m.view
	if c.sinceLastHeartbeat(v) <= c.heartbeatOverdueAfter() && !c.unreachable(m) || v.probeInFlight || c.now < v.nextProbeAt || m.rec.Addr == "" || !c.commandQueue.takeProbe() {
		return
	}
	v.nextProbeAt = c.now + 2*micros.Second
	v.probeInFlight = true
	c.askWorker(m.rec.Addr, GetHeartbeat{}, func(r Result) {
		if m.view != v {
			return
		}
		v.probeInFlight = false
		heartbeat, ok := r.Body.(*wire.Heartbeat)
		if !ok || r.Status != http.StatusOK || heartbeat.Machine != m.id || c.activeShard(s.id) == nil || heartbeat.FencingToken > c.fencingToken(s, m) {
			return
		}
		v.reachability = reachability{}
		c.applyHeartbeat(s, m, heartbeat, false)
	})
}
