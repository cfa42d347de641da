package controller

import (
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// commandQueue holds machines to which something should be sent directly. How
// many requests to workers are under way is bounded, so that a failover of
// hundreds of machines or a burst of starts leaves sockets and time for heartbeats,
// answers and the lease.
type commandQueue struct {
	waiting     []*machine
	inFlight    int
	maxInFlight int
	probesLeft  int // settling and probing requests that may still begin in this turn
}

// commandView is what is under way to a machine beside the answers to its heartbeats: one
// order and one question at a time.
type commandView struct {
	commandInFlight           bool
	commandQueued             bool
	nextCommandAt             micros.Micros
	inDoubtToken              uint64 // orders up to this fencing token may still act; 0: none
	probeInFlight             bool
	nextProbeAt               micros.Micros
	unansweredReconciliations int // requests to settle it that were not answered
}

// resetProbes begins a turn.
func (q *commandQueue) resetProbes() { q.probesLeft = max(q.maxInFlight/4, 4) }

// takeProbe takes one of the requests that a turn allows for machines that are not
// wanted for a start.
func (q *commandQueue) takeProbe() bool {
	if q.probesLeft <= 0 || q.inFlight >= q.maxInFlight {
		return false
	}
	q.probesLeft--
	return true
}

// commands gives what a machine is to do. Runs go out when forReport is set or
// no direct command is unclear.
func (c *Controller) commands(m *machine, forReport bool) []wire.Command {
	const most = 200
	v := m.view
	out := []wire.Command{}
	if !v.reconciled {
		return out
	}
	zero := 0.0
	for _, att := range v.list {
		if len(out) >= most {
			return out
		}
		if att.stopMode != stopNone && att.state >= attemptSent && att.state != attemptExited {
			grace := &zero
			if att.stopMode == stopGraceful && att.job != nil {
				g := att.job.sub.SaveS + 1
				grace = &g
			}
			if att.state == attemptSaving && att.stopMode == stopGraceful {
				continue
			}
			c.logStop(att, forReport)
			att.stopSentAt = c.now
			out = append(out, wire.Command{Op: wire.OpStop, Task: wire.TaskName(att.key.job, att.index), Attempt: att.key.attempt, GraceS: grace})
		}
	}
	// A stop never waits behind these.
	for _, att := range v.list {
		if len(out) < most && att.clearable() {
			out = append(out, wire.Command{Op: wire.OpForget, Task: wire.TaskName(att.key.job, att.index), Attempt: att.key.attempt})
		}
	}
	if !forReport && v.inDoubtToken != 0 || !c.mayStart() {
		return out
	}
	for _, att := range v.list {
		if len(out) >= most || att.state != attemptAssigned {
			continue
		}
		if forReport {
			att.state, att.sentSequence = attemptSent, v.sequence
		} else {
			att.state, att.startToken = attemptCommanded, c.fencingToken(c.ownership.shards[m.rec.Shard], m)
		}
		att.since = c.now
		c.markDirty(m)
		c.checkStart(att)
		out = append(out, wire.Command{Op: wire.OpStart, Task: wire.TaskName(att.key.job, att.index), Attempt: att.key.attempt})
	}
	return out
}

// needsDirectCommand: is there something that should not wait for the next heartbeat? While an
// order is unclear, no start may follow it, but stops may, and the raised fencing token that
// makes it clear: a machine that can't report is reached in no other way.
func (c *Controller) needsDirectCommand(m *machine) bool {
	v := m.view
	if v.inDoubtToken != 0 && c.fencingToken(c.ownership.shards[m.rec.Shard], m) > v.inDoubtToken && c.sinceLastHeartbeat(v) <= c.heartbeatOverdueAfter() {
		return true
	}
	for _, att := range v.list {
		if att.state == attemptAssigned && v.inDoubtToken == 0 {
			return true
		}
		if att.stopMode != stopNone && att.state >= attemptSent && att.state != attemptExited && c.now-att.stopSentAt >= micros.Second &&
			!(att.state == attemptSaving && att.stopMode == stopGraceful) {
			return true
		}
	}
	return false
}

// queueCommand notes that a machine should hear something before its next heartbeat.
func (c *Controller) queueCommand(m *machine) {
	if v := m.view; v != nil && !v.commandQueued {
		v.commandQueued = true
		c.commandQueue.waiting = append(c.commandQueue.waiting, m)
	}
}

// flushCommands sends direct commands where they are wanted, first come first served.
func (c *Controller) flushCommands() {
	q := &c.commandQueue
	wait := q.waiting
	if len(wait) == 0 {
		return
	}
	q.waiting = nil
	for i, m := range wait {
		v := m.view
		if v == nil || !v.commandQueued {
			continue
		}
		if q.inFlight >= q.maxInFlight {
			q.waiting = append(q.waiting, wait[i:]...)
			return
		}
		v.commandQueued = false
		if !v.reconciled || v.neverCommanded || v.leaseExpired || m.returned || v.commandInFlight || c.unreachable(m) || c.now < v.nextCommandAt {
			continue // maintainMachine looks again
		}
		if s := c.activeShard(m.rec.Shard); s != nil && c.needsDirectCommand(m) {
			c.sendCommands(s, m, c.commands(m, false))
		}
	}
}

const commandTimeout = 1500 * micros.Millisecond

// askWorker sends a request to a worker and counts it while it is under way.
func (c *Controller) askWorker(addr string, req any, done func(Result)) {
	c.commandQueue.inFlight++
	c.call(Call{To: ToWorker, Addr: addr, Req: req, Timeout: commandTimeout}, func(r Result) {
		c.commandQueue.inFlight--
		done(r)
	})
}

// sendCommands sends commands directly. An unanswered command may still act late,
// so its starts stay unclear until the fencing token has been raised and seen.
func (c *Controller) sendCommands(s *shard, m *machine, commands []wire.Command) {
	v := m.view
	v.commandInFlight = true
	fencingToken := c.fencingToken(s, m)
	req := wire.DirectCommand{FencingToken: fencingToken, AgentEpoch: m.agentEpoch, Commands: commands}
	c.askWorker(m.rec.Addr, req, func(r Result) {
		if m.view != v {
			return
		}
		v.commandInFlight = false
		heartbeat, ok := r.Body.(*wire.Heartbeat)
		ok = ok && heartbeat.Machine == m.id
		if ok {
			v.reachability.Reset() // it was reached, whatever it says
		}
		executed := ok && r.Status == http.StatusOK
		refused := r.NotSent || ok && r.Status == http.StatusConflict
		for _, att := range v.each() {
			if att.state != attemptCommanded {
				continue
			}
			c.markDirty(m)
			switch {
			case executed:
				att.state, att.sentSequence = attemptSent, heartbeat.Sequence
			case refused:
				c.freeAttempt(att, false)
			default:
				att.state = attemptInDoubt
				v.inDoubtToken = max(v.inDoubtToken, fencingToken)
			}
		}
		if !ok {
			v.unansweredReconciliations++
		}
		if !executed {
			v.nextCommandAt = c.now + 2*micros.Second
		}
		if ok && c.activeShard(s.id) != nil && heartbeat.FencingToken <= c.fencingToken(s, m) {
			c.applyHeartbeat(s, m, heartbeat, answerToRequest)
			c.scheduleOnMachine(s, m)
		}
		if m.view == v && c.needsDirectCommand(m) {
			c.queueCommand(m)
		}
	})
}

// reconcileMachine brings an unreconciled machine to show its tasks under our fencing token.
// An empty order does it: its answer carries the fencing token, or the session that it
// should have named.
func (c *Controller) reconcileMachine(s *shard, m *machine) {
	v := m.view
	if v.reconciled || m.returned || v.commandInFlight || c.now < v.nextProbeAt || m.rec.Addr == "" || c.activeShard(s.id) == nil || !c.commandQueue.takeProbe() {
		return
	}
	// Those that don't answer leave the turn to others.
	v.nextProbeAt = c.now + micros.Second*micros.Micros(1+min(v.unansweredReconciliations, 3))
	m.agentEpoch = max(m.agentEpoch, 1)
	c.sendCommands(s, m, []wire.Command{})
}
