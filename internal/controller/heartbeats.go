package controller

import (
	"net/http"

	"garnethitch/internal/controller/authority"
	"garnethitch/internal/wire"
)

// handleHeartbeat processes and answers a worker's heartbeat. Accepting it and renewing the
// machine's lease are two decisions: an accepted heartbeat may still be refused a renewal.
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
		c.scheduleOnMachine(s, m) // before commands, so that the reply carries the new starts
	}
	stops := c.stopsForCancelledTasks(s, m, &in.Heartbeat)
	commands := c.commands(m, inReply)
	if len(stops) > 0 {
		commands = append(commands, stops...) // the only commands: the machine is not reconciled yet
	}
	c.checkRenewalInvariants(s, m)
	fencingToken := c.fencingToken(s, m)
	v.reachability.ReplySent(fencingToken, v.fencingToken, commands)
	c.logHeartbeat(m, &in.Heartbeat, authority.Allow(authority.ReasonHeartbeatAccepted), commands)
	c.answer(in.Reply, http.StatusOK, wire.HeartbeatReply{FencingToken: fencingToken, Commands: commands}, 0)
	if !v.reconciled {
		c.reconcileMachine(s, m) // makes the machine show this node's fencing token at once
	}
}

// refuseHeartbeat redirects a worker to the owner of its machine's shard if the decision refuses
// the shard as a whole. Otherwise it refuses only this heartbeat, with status 503.
func (c *Controller) refuseHeartbeat(in Heartbeat, m *machine, decision authority.Decision) {
	c.decisionLog.refusedHeartbeats[decision.Reason]++
	c.logHeartbeat(m, &in.Heartbeat, decision, nil)
	if decision.Reason.RefusesShard() {
		c.misdirectedHeartbeats[m.id] = c.now // bounded, since m is on record
		c.redirect(in.Reply, &c.ownership.shards[m.rec.Shard].lock)
		return
	}
	c.answer(in.Reply, http.StatusServiceUnavailable, nil, 0)
}

// redirect sends a worker to the holder of a lock. It answers with status 503 instead if that is
// not a known other controller, or if the last answer of the state service is older than a lease.
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

// applyHeartbeat updates a machine's view from a heartbeat that is newer than the last one. Only
// the owner of the machine's shard may call it.
func (c *Controller) applyHeartbeat(s *shard, m *machine, heartbeat *wire.Heartbeat, source heartbeatSource) {
	v := m.view
	if m.returned || v.sequenceKnown && !newerThan(heartbeat, v) {
		return // the view is at least as new as this task list
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
		v.lastBusyAt = c.now
	}
}

// recordHeartbeat updates a machine's view from all of a heartbeat except its task list.
func (c *Controller) recordHeartbeat(m *machine, heartbeat *wire.Heartbeat) {
	v := m.view
	v.sequenceKnown = true
	v.agentEpoch = heartbeat.AgentEpoch
	v.sequence = heartbeat.Sequence
	v.lastHeartbeatAt = c.now
	v.fencingToken = max(v.fencingToken, heartbeat.FencingToken)
	m.agentEpoch = heartbeat.AgentEpoch
	c.recordReclaimNotice(m, heartbeat)
	if heartbeat.Addr != "" {
		m.rec.Addr = heartbeat.Addr
	}
}

// beginAgentEpoch updates a machine's view after its worker has started a new agent epoch. All
// earlier tasks on the machine are gone, and commands that name the former epoch are void.
func (c *Controller) beginAgentEpoch(m *machine) {
	v := m.view
	c.freeAllAttempts(m, "worker began a new session", true)
	v.inDoubtToken = 0
	v.leaseExpired = false
	v.images = map[string]bool{}
	v.reconciled = false
}

// listsUntrackedTask reports whether the last task list shows an attempt that is not tracked and
// whose outcome has not been handled.
func (v *machineView) listsUntrackedTask() bool {
	for _, att := range v.attemptList {
		if att.lastSeenRound == v.lastSeenRound && !att.tracked && !att.outcomeHandled {
			return true
		}
	}
	return false
}
