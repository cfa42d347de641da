package controller

import "garnethitch/internal/wire"

// maxCommands is the largest number of commands in one message to a worker, apart from the stops
// of an unreconciled machine.
const maxCommands = 200

// commandCarrier is the message that carries commands to a worker.
type commandCarrier int

const (
	// inReply is the reply to a heartbeat. The next heartbeat shows whether the reply arrived.
	inReply commandCarrier = iota
	// inDirectCommand is a request to the worker. Its answer may be lost, so that it is unknown
	// whether the commands were executed.
	inDirectCommand
)

// commands returns the commands for a machine: stops first, so that they never wait behind other
// commands, then attempts to forget, then starts. A direct command carries starts only while no
// earlier direct command is in doubt. A machine that is not reconciled gets no commands.
func (c *Controller) commands(m *machine, carrier commandCarrier) []wire.Command {
	v := m.view
	out := []wire.Command{}
	if !v.reconciled {
		return out
	}
	out = c.appendStops(out, v, carrier)
	out = c.jobs.appendForgets(out, v)
	startsBlocked := carrier == inDirectCommand && v.inDoubtToken != 0
	if startsBlocked || !c.mayStartTasks() {
		return out
	}
	return c.appendStarts(out, m, carrier)
}

// appendStops appends the stops that a machine may not have received yet, and records when they
// were sent.
func (c *Controller) appendStops(out []wire.Command, v *machineView, carrier commandCarrier) []wire.Command {
	for _, att := range v.attemptList {
		if len(out) >= maxCommands {
			break
		}
		if !att.awaitsStop() {
			continue
		}
		c.logFirstStop(att, carrier == inReply)
		att.stopSentAt = c.now
		command := att.command(wire.OpStop)
		command.GraceS = att.stopGrace()
		out = append(out, command)
	}
	return out
}

// appendForgets appends commands to forget the attempts that the worker need not list any more.
func (t *jobTable) appendForgets(out []wire.Command, v *machineView) []wire.Command {
	for _, att := range v.attemptList {
		if len(out) >= maxCommands {
			break
		}
		if t.forgettable(att) {
			out = append(out, att.command(wire.OpForget))
		}
	}
	return out
}

// appendStarts appends the starts that have not been sent, and records that they are sent.
func (c *Controller) appendStarts(out []wire.Command, m *machine, carrier commandCarrier) []wire.Command {
	for _, att := range m.view.attemptList {
		if len(out) >= maxCommands {
			break
		}
		if att.state != attemptAssigned {
			continue
		}
		c.recordStartSent(m, att, carrier)
		c.checkStartInvariants(att)
		out = append(out, att.command(wire.OpStart))
	}
	return out
}

// recordStartSent updates an attempt whose start is sent by the given kind of message.
func (c *Controller) recordStartSent(m *machine, att *attempt, carrier commandCarrier) {
	switch carrier {
	case inReply:
		att.state = attemptSent
		att.sentSequence = m.view.sequence
	case inDirectCommand:
		att.state = attemptCommanded
		att.startToken = c.fencingToken(c.ownership.shards[m.rec.Shard], m)
	}
	att.stateSince = c.now
	c.ownership.markDirty(m)
}

// command returns a command about the attempt.
func (att *attempt) command(op wire.CommandOp) wire.Command {
	return wire.Command{Op: op, Task: wire.TaskName(att.key.job, att.index), Attempt: att.key.attempt}
}

// awaitsStop reports whether an attempt is to be stopped and its machine may not have received
// the stop yet.
func (att *attempt) awaitsStop() bool {
	if att.stopMode == stopNone || att.state < attemptSent || att.state == attemptExited {
		return false
	}
	return att.state != attemptSaving || att.stopMode != stopGraceful
}

// saveSlackS is the time in seconds that a task may take to save beyond its declared save time.
const saveSlackS = 1

// stopGrace returns how long the worker lets the task save before it kills the task, in seconds.
func (att *attempt) stopGrace() *float64 {
	grace := 0.0
	if att.stopMode == stopGraceful && att.job != nil {
		grace = att.job.sub.SaveS + saveSlackS
	}
	return &grace
}
