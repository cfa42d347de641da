package controller

import (
	"net/http"

	"garnethitch/internal/controller/authority"
	"garnethitch/internal/wire"
)

// handleHeartbeat answers a worker's heartbeat.
func (c *Controller) handleHeartbeat(in Heartbeat) {
	heartbeat := &in.Heartbeat
	m := c.machines[heartbeat.Machine]
	if m == nil {
		c.registerMachine(in)
		return
	}
	s := c.ownership.shards[m.rec.Shard]
	if d := c.mayAcceptHeartbeat(m, heartbeat); !d.Allowed {
		c.refuseHeartbeat(in, m, d)
		return
	}
	c.recordReachability(m, heartbeat)
	c.applyHeartbeat(s, m, heartbeat, sentByWorker)
	if d := c.mayRenewMachineLease(s, m, heartbeat); !d.Allowed {
		c.refuseHeartbeat(in, m, d)
		return
	}
	c.replyToHeartbeat(s, m, in)
}

// replyToHeartbeat sends the reply to an accepted heartbeat, which renews the machine's lease.
func (c *Controller) replyToHeartbeat(s *shard, m *machine, in Heartbeat) {
	v := m.view
	v.lastReplyAt = c.now
	if v.reconciled {
		c.scheduleOnMachine(s, m) // its starts go into the reply, not into a direct command
	}
	stops := c.stopsForCancelledTasks(s, m, &in.Heartbeat)
	commands := c.commands(m, inReply)
	if len(stops) > 0 {
		commands = append(commands, stops...) // these are all: the machine is not reconciled yet
	}
	c.checkRenewalInvariants(s, m)
	fencingToken := c.fencingToken(s, m)
	v.reachability.ReplySent(fencingToken, v.fencingToken, commands)
	c.logHeartbeat(m, &in.Heartbeat, authority.Allow(authority.ReasonHeartbeatAccepted), commands)
	c.answer(in.Reply, http.StatusOK, wire.HeartbeatReply{FencingToken: fencingToken, Commands: commands}, 0)
	if !v.reconciled {
		c.reconcileMachine(s, m) // shows this node's fencing token at once
	}
}

// refuseHeartbeat sends a worker to the controller that its heartbeats belong to, or refuses
// this one only.
func (c *Controller) refuseHeartbeat(in Heartbeat, m *machine, d authority.Decision) {
	c.decisionLog.refusedHeartbeats[d.Reason]++
	c.logHeartbeat(m, &in.Heartbeat, d, nil)
	if d.Reason.RefusesShard() {
		c.misdirectedHeartbeats[m.id] = c.now // bounded: it is on record
		c.redirect(in.Reply, &c.ownership.shards[m.rec.Shard].lock)
		return
	}
	c.answer(in.Reply, http.StatusServiceUnavailable, nil, 0)
}

// redirect sends a worker to the holder of a lock, if that is another controller and this
// node's knowledge is fresh.
func (c *Controller) redirect(r ReplyID, holder *lock) {
	label := holder.owner.Label
	knownPeer := holder.ownerEpoch != 0 && label != c.cfg.Label && c.peers[label] != nil
	fresh := c.now-c.ownership.lastStateReplyAt < c.cfg.Lease
	if !knownPeer || !fresh {
		c.answer(r, http.StatusServiceUnavailable, nil, 0)
		return
	}
	c.answer(r, http.StatusMisdirectedRequest, wire.Redirect{Controller: label}, 0)
}

// applyHeartbeat updates what is known of a machine from a heartbeat. Only the owner of the
// machine's shard may call it.
func (c *Controller) applyHeartbeat(s *shard, m *machine, heartbeat *wire.Heartbeat, source heartbeatSource) {
	v := m.view
	if m.returned || v.sequenceKnown && !newerThan(heartbeat, v) {
		return // its task list is older than what is known
	}
	if v.sequenceKnown && heartbeat.AgentEpoch > v.agentEpoch {
		c.beginAgentEpoch(m)
	}
	if v.neverCommanded {
		c.confirmNeverCommanded(s, m, heartbeat)
	}
	c.recordHeartbeat(m, heartbeat)
	if !v.reconciled {
		if heartbeat.FencingToken < c.fencingToken(s, m) {
			return
		}
		c.markReconciled(m, heartbeat)
	}
	c.voidInDoubtCommands(v, heartbeat)
	if !v.taskListUnchanged(heartbeat) {
		c.applyTaskList(m, heartbeat, source)
	}
	if v.listsUntrackedTask() {
		c.adoptTasks(m)
	}
	if v.busy() {
		v.idleAt = c.now
	}
}

// recordHeartbeat takes what a heartbeat says of the machine itself.
func (c *Controller) recordHeartbeat(m *machine, heartbeat *wire.Heartbeat) {
	v := m.view
	v.sequenceKnown = true
	v.agentEpoch = heartbeat.AgentEpoch
	v.sequence = heartbeat.Sequence
	v.lastHeartbeatAt = c.now
	v.fencingToken = max(v.fencingToken, heartbeat.FencingToken)
	m.agentEpoch = heartbeat.AgentEpoch
	c.noteNotice(m, heartbeat)
	if heartbeat.Addr != "" {
		m.rec.Addr = heartbeat.Addr
	}
}

// beginAgentEpoch records that a worker has started anew: all earlier tasks there are gone, and
// commands to the former epoch are void.
func (c *Controller) beginAgentEpoch(m *machine) {
	v := m.view
	c.freeAll(m, "worker began a new session", true)
	v.inDoubtToken = 0
	v.leaseExpired = false
	v.images = map[string]bool{}
	v.reconciled = false
}

// listsUntrackedTask reports whether the last task list shows an attempt that is neither
// tracked nor needs nothing more.
func (v *view) listsUntrackedTask() bool {
	for _, att := range v.list {
		if att.lastSeenRound == v.lastSeenRound && !att.tracked && !att.outcomeHandled {
			return true
		}
	}
	return false
}
