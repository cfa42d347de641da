package controller

import (
	"fmt"
	"net/http"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// commandView is the state of the requests to a machine, as opposed to the replies to its
// heartbeats. At most one direct command and one probe are in flight at a time.
type commandView struct {
	commandInFlight    bool
	commandQueued      bool          // the machine waits in the command queue
	nextCommandAt      micros.Micros // no direct command is sent before this time
	inDoubtToken       uint64        // commands up to this fencing token may still act; 0: none
	probeInFlight      bool
	nextProbeAt        micros.Micros // no probe or reconciliation begins before this time
	unansweredCommands int           // number of direct commands that were not answered
}

const (
	// commandTimeout is how long a worker has to answer a request.
	commandTimeout = 1500 * micros.Millisecond
	// commandRetryDelay is the least time between a direct command that was not executed and
	// the next one to the same machine.
	commandRetryDelay = 2 * micros.Second
	// stopRepeatDelay is the time after which a stop is sent again.
	stopRepeatDelay = micros.Second
)

// commandOutcome is the outcome of a direct command.
type commandOutcome int

const (
	// commandsExecuted means that the worker has executed the command.
	commandsExecuted commandOutcome = iota
	// commandsRefused means that the command was not sent, or that the worker refused it. It
	// can't act any more.
	commandsRefused
	// commandsInDoubt means that the command was sent and the machine did not confirm or refuse
	// it. It may still act at any later time.
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

// commandOutcomeOf returns the outcome of a direct command from its result. answered is whether
// the result holds a heartbeat of the machine.
func commandOutcomeOf(r Result, answered bool) commandOutcome {
	switch {
	case answered && r.Status == http.StatusOK:
		return commandsExecuted
	case r.NotSent, answered && r.Status == http.StatusConflict:
		return commandsRefused
	}
	return commandsInDoubt
}

// needsDirectCommand reports whether a machine should be sent a direct command, without waiting for
// its next heartbeat. While a direct command is in doubt, no start may follow it. Stops may, and so
// may the raised fencing token that voids the command in doubt: a machine whose heartbeats are not
// answered can't be reached in any other way.
func (c *Controller) needsDirectCommand(m *machine) bool {
	v := m.view
	if c.mustShowHigherToken(m) {
		return true
	}
	for _, att := range v.attemptList {
		if att.state == attemptAssigned && v.inDoubtToken == 0 {
			return true
		}
		if att.awaitsStop() && c.now-att.stopSentAt >= stopRepeatDelay {
			return true
		}
	}
	return false
}

// mustShowHigherToken reports whether a machine that sends heartbeats must be sent a fencing token
// that has risen above the commands in doubt. The machine's next heartbeat with that token shows
// that these commands are void.
func (c *Controller) mustShowHigherToken(m *machine) bool {
	v := m.view
	if v.inDoubtToken == 0 {
		return false
	}
	raised := c.fencingToken(c.ownership.shards[m.rec.Shard], m) > v.inDoubtToken
	return raised && c.sinceLastHeartbeat(v) <= c.heartbeatDeadlines.Overdue
}

// queueCommand queues a machine for a direct command.
func (c *Controller) queueCommand(m *machine) { c.commandQueue.push(m) }

// flushCommands sends direct commands to the queued machines, as far as the bound on requests in
// flight allows.
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

// askWorker sends a request to a worker, and counts it as in flight until done is called.
func (c *Controller) askWorker(addr string, req any, done func(Result)) {
	c.commandQueue.inFlight++
	c.sendCall(Call{To: ToWorker, Addr: addr, Req: req, Timeout: commandTimeout}, func(r Result) {
		c.commandQueue.inFlight--
		done(r)
	})
}

// sendCommands sends commands to a machine in a direct command. A direct command that is not
// answered may still act later, so its starts stay in doubt until the machine has shown a higher
// fencing token.
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

// handleCommandResult processes the result of a direct command that was sent under the given
// fencing token.
func (c *Controller) handleCommandResult(s *shard, m *machine, fencingToken uint64, r Result) {
	v := m.view
	heartbeat, answered := r.Body.(*wire.Heartbeat)
	answered = answered && heartbeat.Machine == m.id
	outcome := commandOutcomeOf(r, answered)
	c.applyCommandOutcome(m, outcome, fencingToken, heartbeat)
	if answered {
		v.reachability.Reset() // any answer shows that the machine can be reached
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

// applyCommandOutcome updates the attempts whose starts the direct command carried. heartbeat is
// the machine's answer. It is used only if the command was executed.
func (c *Controller) applyCommandOutcome(m *machine, outcome commandOutcome, fencingToken uint64, heartbeat *wire.Heartbeat) {
	v := m.view
	for _, att := range v.attemptsCopy() {
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
