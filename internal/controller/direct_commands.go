package controller

import (
	"fmt"
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// commandView is what is under way to a machine beside the replies to its heartbeats: one
// direct command and one probe at a time.
type commandView struct {
	commandInFlight    bool
	commandQueued      bool
	nextCommandAt      micros.Micros
	inDoubtToken       uint64 // commands up to this fencing token may still act; 0: none
	probeInFlight      bool
	nextProbeAt        micros.Micros
	unansweredCommands int // direct commands to it that were not answered
}

const (
	// commandTimeout bounds a request to a worker.
	commandTimeout = 1500 * micros.Millisecond
	// commandRetryDelay is how long after a direct command that was not executed the next one
	// may follow.
	commandRetryDelay = 2 * micros.Second
	// stopRepeatDelay is how long after a stop was sent it is sent again.
	stopRepeatDelay = micros.Second
)

// commandOutcome is what became of a direct command.
type commandOutcome int

const (
	// commandsExecuted means that the worker has carried it out.
	commandsExecuted commandOutcome = iota
	// commandsRefused means that it was not sent, or the worker refused it; it can't act any more.
	commandsRefused
	// commandsInDoubt means that it was sent and not answered; it may still act, however late.
	commandsInDoubt
)

// String returns the name of the outcome.
func (o commandOutcome) String() string {
	switch o {
	case commandsExecuted:
		return "executed"
	case commandsRefused:
		return "refused"
	case commandsInDoubt:
		return "in_doubt"
	}
	return fmt.Sprintf("commandOutcome(%d)", int(o))
}

// commandOutcomeOf returns what became of a direct command; answered says that the result holds
// a heartbeat of the machine.
func commandOutcomeOf(r Result, answered bool) commandOutcome {
	switch {
	case answered && r.Status == http.StatusOK:
		return commandsExecuted
	case r.NotSent, answered && r.Status == http.StatusConflict:
		return commandsRefused
	}
	return commandsInDoubt
}

// needsDirectCommand reports whether there is something that should not wait for the next
// heartbeat. While a command is in doubt, no start may follow it, but stops may, and the
// raised fencing token that voids the command in doubt: a machine whose heartbeats are not
// answered is reached in no other way.
func (c *Controller) needsDirectCommand(m *machine) bool {
	v := m.view
	if c.mustShowHigherToken(m) {
		return true
	}
	for _, att := range v.list {
		if att.state == attemptAssigned && v.inDoubtToken == 0 {
			return true
		}
		if att.awaitsStop() && c.now-att.stopSentAt >= stopRepeatDelay {
			return true
		}
	}
	return false
}

// mustShowHigherToken reports whether the fencing token has risen above the commands in doubt,
// and the machine, whose heartbeats come, does not know it yet.
func (c *Controller) mustShowHigherToken(m *machine) bool {
	v := m.view
	if v.inDoubtToken == 0 {
		return false
	}
	raised := c.fencingToken(c.ownership.shards[m.rec.Shard], m) > v.inDoubtToken
	return raised && c.sinceLastHeartbeat(v) <= c.heartbeatDeadlines.Overdue
}

// queueCommand has something sent to a machine before its next heartbeat.
func (c *Controller) queueCommand(m *machine) { c.commandQueue.push(m) }

// flushCommands sends direct commands to the machines that wait for them.
func (c *Controller) flushCommands() {
	for m := c.commandQueue.next(); m != nil; m = c.commandQueue.next() {
		if !c.acceptsDirectCommand(m) {
			continue // maintainMachine queues it again
		}
		if s := c.ownership.activeShard(m.rec.Shard); s != nil && c.needsDirectCommand(m) {
			c.sendCommands(s, m, c.commands(m, inDirectCommand))
		}
	}
}

// acceptsDirectCommand reports whether a direct command may be sent to a machine now.
func (c *Controller) acceptsDirectCommand(m *machine) bool {
	v := m.view
	usable := v.reconciled && !v.neverCommanded && !v.leaseExpired && !m.returned
	return usable && !v.commandInFlight && !c.unreachable(m) && c.now >= v.nextCommandAt
}

// askWorker sends a request to a worker and counts it while it is under way.
func (c *Controller) askWorker(addr string, req any, done func(Result)) {
	c.commandQueue.inFlight++
	c.sendCall(Call{To: ToWorker, Addr: addr, Req: req, Timeout: commandTimeout}, func(r Result) {
		c.commandQueue.inFlight--
		done(r)
	})
}

// sendCommands sends commands directly. An unanswered command may still act late,
// so its starts stay in doubt until the fencing token has been raised and seen.
func (c *Controller) sendCommands(s *shard, m *machine, commands []wire.Command) {
	v := m.view
	v.commandInFlight = true
	fencingToken := c.fencingToken(s, m)
	req := wire.DirectCommand{FencingToken: fencingToken, AgentEpoch: m.agentEpoch, Commands: commands}
	c.askWorker(m.rec.Addr, req, func(r Result) {
		if m.view == v {
			v.commandInFlight = false
			c.handleCommandResult(s, m, fencingToken, r)
		}
	})
}

// handleCommandResult deals with the result of a direct command that was sent under a fencing
// token.
func (c *Controller) handleCommandResult(s *shard, m *machine, fencingToken uint64, r Result) {
	v := m.view
	heartbeat, answered := r.Body.(*wire.Heartbeat)
	answered = answered && heartbeat.Machine == m.id
	outcome := commandOutcomeOf(r, answered)
	c.applyCommandOutcome(m, outcome, fencingToken, heartbeat)
	if answered {
		v.reachability.Reset() // it was reached, whatever it says
	} else {
		v.unansweredCommands++
	}
	if outcome != commandsExecuted {
		v.nextCommandAt = c.now + commandRetryDelay
	}
	if answered && c.ownership.activeShard(s.id) != nil && heartbeat.FencingToken <= c.fencingToken(s, m) {
		c.applyHeartbeat(s, m, heartbeat, answerToRequest)
		c.scheduleOnMachine(s, m)
	}
	if m.view == v && c.needsDirectCommand(m) {
		c.queueCommand(m)
	}
}

// applyCommandOutcome updates the attempts whose starts a direct command carried. heartbeat is
// the machine's answer, if the command was executed.
func (c *Controller) applyCommandOutcome(m *machine, outcome commandOutcome, fencingToken uint64, heartbeat *wire.Heartbeat) {
	v := m.view
	for _, att := range v.each() {
		if att.state != attemptCommanded {
			continue
		}
		c.ownership.markDirty(m)
		switch outcome {
		case commandsExecuted:
			att.state = attemptSent
			att.sentSequence = heartbeat.Sequence
		case commandsRefused:
			c.freeAttempt(att, false)
		case commandsInDoubt:
			att.state = attemptInDoubt
			v.inDoubtToken = max(v.inDoubtToken, fencingToken)
		}
	}
}
