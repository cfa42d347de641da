package controller

import "garnethitch/internal/wire"

// maxCommands bounds how many commands one message to a worker carries.
const maxCommands = 200

// commandCarrier is the message that carries commands to a worker.
type commandCarrier int

const (
	// inReply is the reply to a heartbeat. The next heartbeat shows whether it arrived.
	inReply commandCarrier = iota
	// inDirectCommand is a request of its own, the answer to which may be lost.
	inDirectCommand
)

// commands returns what a machine is to do: stops first, which never wait behind the others,
// then tasks to forget, then starts. Starts go into a direct command only while none is in
// doubt.
func (c *Controller) commands(m *machine, carrier commandCarrier) []wire.Command {
	v := m.view
	out := []wire.Command{}
	if !v.reconciled {
		return out
	}
	out = c.appendStops(out, v, carrier)
	out = appendForgets(out, v)
	startsBlocked := carrier == inDirectCommand && v.inDoubtToken != 0
	if startsBlocked || !c.mayStartTasks() {
		return out
	}
	return c.appendStarts(out, m, carrier)
}

// appendStops appends the stops that a machine may not have received yet, and notes that they are
// sent.
func (c *Controller) appendStops(out []wire.Command, v *view, carrier commandCarrier) []wire.Command {
	for _, att := range v.list {
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

// appendForgets appends the requests to forget attempts that need not stay known.
func appendForgets(out []wire.Command, v *view) []wire.Command {
	for _, att := range v.list {
		if len(out) >= maxCommands {
			break
		}
		if att.clearable() {
			out = append(out, att.command(wire.OpForget))
		}
	}
	return out
}

// appendStarts appends the starts that have not been sent, and notes that they are.
func (c *Controller) appendStarts(out []wire.Command, m *machine, carrier commandCarrier) []wire.Command {
	for _, att := range m.view.list {
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

// recordStartSent notes by which message an attempt's start is sent.
func (c *Controller) recordStartSent(m *machine, att *attempt, carrier commandCarrier) {
	switch carrier {
	case inReply:
		att.state = attemptSent
		att.sentSequence = m.view.sequence
	case inDirectCommand:
		att.state = attemptCommanded
		att.startToken = c.fencingToken(c.ownership.shards[m.rec.Shard], m)
	}
	att.since = c.now
	c.ownership.markDirty(m)
}

// command returns a command about the attempt.
func (att *attempt) command(op wire.CommandOp) wire.Command {
	return wire.Command{Op: op, Task: wire.TaskName(att.key.job, att.index), Attempt: att.key.attempt}
}

// awaitsStop reports whether an attempt is to be stopped and its machine may not know that yet.
func (att *attempt) awaitsStop() bool {
	if att.stopMode == stopNone || att.state < attemptSent || att.state == attemptExited {
		return false
	}
	return att.state != attemptSaving || att.stopMode != stopGraceful
}

// saveSlackS is added to the time that a task takes to save, in seconds.
const saveSlackS = 1

// stopGrace is how long a worker lets a task save before it kills it, in seconds.
func (att *attempt) stopGrace() *float64 {
	grace := 0.0
	if att.stopMode == stopGraceful && att.job != nil {
		grace = att.job.sub.SaveS + saveSlackS
	}
	return &grace
}
