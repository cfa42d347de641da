package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// heartbeatSource is how a worker's heartbeat came to this node.
type heartbeatSource int

const (
	// sentByWorker means that the worker sent it of its own accord, after the reply to the one
	// before it.
	sentByWorker heartbeatSource = iota
	// answerToRequest means that it answers a direct command or a probe. The reply to an earlier
	// heartbeat may still be under way.
	answerToRequest
)

// maxListedAttempts is how many attempts of a machine's task lists are followed; what is
// listed beyond them is ignored.
const maxListedAttempts = 4000

// applyTaskList updates a machine's attempts from the task list of a heartbeat.
func (c *Controller) applyTaskList(m *machine, heartbeat *wire.Heartbeat, source heartbeatSource) {
	v := m.view
	c.listRound++
	v.lastTaskList = heartbeat.Tasks
	v.lastSeenRound = c.listRound
	for i := range heartbeat.Tasks {
		c.applyTaskStatus(m, &heartbeat.Tasks[i])
	}
	for _, att := range v.each() {
		c.visited++
		if att.lastSeenRound != c.listRound {
			c.handleMissingAttempt(att, heartbeat, source)
		}
	}
}

// applyTaskStatus updates the attempt of a listed task, which is added if it is not known.
func (c *Controller) applyTaskStatus(m *machine, status *wire.TaskStatus) {
	id, index, err := wire.ParseTaskName(status.Task)
	if err != nil {
		return
	}
	v := m.view
	key := attemptKey{job: id, index: index, attempt: status.Attempt}
	att := v.attempts[key]
	if att == nil {
		if len(v.list) > maxListedAttempts {
			return
		}
		att = &attempt{key: key, index: index, machine: m, since: c.now, stopSentAt: -micros.Never}
		c.addAttempt(att)
	}
	att.lastSeenRound = c.listRound
	c.updateAttempt(att, status)
}

// handleMissingAttempt deals with an attempt that its machine does not list.
func (c *Controller) handleMissingAttempt(att *attempt, heartbeat *wire.Heartbeat, source heartbeatSource) {
	switch att.state {
	case attemptAssigned, attemptCommanded, attemptInDoubt:
		// Not sent, or its message may still be under way.
	case attemptSent:
		if source == sentByWorker && heartbeat.Sequence > att.sentSequence {
			c.freeAttempt(att, false) // the reply that carried it was dropped
		}
	case attemptExited:
		c.dropAttempt(att)
	default:
		c.log(Info, "task vanished from its machine", "task", wire.TaskName(att.key.job, att.index), "machine", att.machine.id)
		c.freeAttempt(att, true)
	}
}

// updateAttempt takes one task's state from a heartbeat.
func (c *Controller) updateAttempt(att *attempt, status *wire.TaskStatus) {
	before := att.state
	switch status.State {
	case wire.TaskFetching:
		att.state = attemptFetching
	case wire.TaskRunning:
		c.recordRunning(att)
	case wire.TaskSaving:
		att.state = attemptSaving
	case wire.TaskExited:
		if before != attemptExited {
			c.recordExit(att, status)
		}
	}
	if att.state == before {
		return
	}
	att.since = c.now
	c.ownership.markDirty(att.machine)
}

// recordRunning takes in that an attempt is running, for which its machine must have the image.
func (c *Controller) recordRunning(att *attempt) {
	att.state = attemptRunning
	if att.runAt == 0 {
		att.runAt = c.now
	}
	if att.job != nil {
		att.machine.view.images[att.job.sub.Image] = true
	}
}

// recordExit takes in that an attempt has exited.
func (c *Controller) recordExit(att *attempt, status *wire.TaskStatus) {
	att.state = attemptExited
	att.exitReason = status.ExitReason
	att.since = c.now
	c.log(Debug, "task exited", "task", status.Task, "machine", att.machine.id, "reason", string(status.ExitReason), "saved", status.Saved, "ran_s", att.ran(c.now).Seconds())
	if att.tracked {
		c.handleExit(att)
	}
}

// taskListUnchanged reports whether a heartbeat lists just what the last one did, and nothing
// was sent to the machine or forgotten here meanwhile, so that there is nothing to take
// from it. Most heartbeats are like that. Lists are compared by where they are held, see
// wire.HeartbeatReader.
func (v *view) taskListUnchanged(heartbeat *wire.Heartbeat) bool {
	n := len(heartbeat.Tasks)
	if n != len(v.list) || n != len(v.lastTaskList) {
		return false
	}
	if n > 0 && &heartbeat.Tasks[0] != &v.lastTaskList[0] {
		return false
	}
	for _, att := range v.list {
		if att.lastSeenRound != v.lastSeenRound {
			return false
		}
	}
	return true
}
