package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// heartbeatSource says what caused a worker to send a heartbeat.
type heartbeatSource int

const (
	// sentByWorker means that the worker sent the heartbeat by itself, after it had received the
	// reply to the previous one.
	sentByWorker heartbeatSource = iota
	// answerToRequest means that the heartbeat answers a direct command or a probe. The reply to an
	// earlier heartbeat may still be in flight.
	answerToRequest
)

// maxListedAttempts bounds the attempts that are added from the task lists of a machine. Further
// listed tasks are ignored.
const maxListedAttempts = 4000

// applyTaskList updates a machine's attempts from the task list of a heartbeat.
func (c *Controller) applyTaskList(m *machine, heartbeat *wire.Heartbeat, source heartbeatSource) {
	v := m.view
	c.taskListRound++
	v.lastTaskList = heartbeat.Tasks
	v.lastSeenRound = c.taskListRound
	for i := range heartbeat.Tasks {
		c.applyTaskStatus(m, &heartbeat.Tasks[i])
	}
	for _, att := range v.attemptsCopy() {
		c.visited++
		if att.lastSeenRound != c.taskListRound {
			c.handleMissingAttempt(att, heartbeat, source)
		}
	}
}

// applyTaskStatus updates the attempt of a listed task, and adds the attempt if it is not known.
func (c *Controller) applyTaskStatus(m *machine, status *wire.TaskStatus) {
	id, index, err := wire.ParseTaskName(status.Task)
	if err != nil {
		return
	}
	v := m.view
	key := attemptKey{job: id, index: index, attempt: status.Attempt}
	att := v.attempts[key]
	if att != nil && att.state == attemptExited && status.State != wire.TaskExited {
		// The worker has forgotten the attempt, and a late copy has started it again. What was
		// handled of it before does not count.
		c.dropAttempt(att)
		att = nil
	}
	if att == nil {
		if len(v.attemptList) > maxListedAttempts {
			return
		}
		att = &attempt{key: key, index: index, machine: m, stateSince: c.now, stopSentAt: -micros.Never}
		att.startToken = c.startTokenOfListed(m, status.Attempt)
		c.addAttempt(att)
	}
	att.lastSeenRound = c.taskListRound
	c.updateAttempt(att, status)
}

// startTokenOfListed returns the start token of an attempt that a machine lists and that this node
// does not know (any more). An attempt that it started under its present claim may have been started
// by a direct command under any fencing token up to the present one. Commands of former owners, and
// of this node under earlier claims or for other shards, are void by now: the machine has shown a
// token above theirs.
func (c *Controller) startTokenOfListed(m *machine, attempt uint64) uint64 {
	s := c.ownership.shards[m.rec.Shard]
	if epochOfAttempt(attempt) != s.ownerEpoch&attemptCounterMask {
		return 0
	}
	return c.fencingToken(s, m)
}

// handleMissingAttempt handles an attempt that the latest heartbeat of its machine does not list.
func (c *Controller) handleMissingAttempt(att *attempt, heartbeat *wire.Heartbeat, source heartbeatSource) {
	switch att.state {
	case attemptAssigned, attemptCommanded, attemptInDoubt:
		// The start was not sent, or a direct command with it may still be in flight.
	case attemptSent:
		if source == sentByWorker && heartbeat.Sequence > att.sentSequence {
			c.freeMissingStart(att)
		}
	case attemptExited:
		c.dropAttempt(att)
	default:
		c.log(Info, "task vanished from its machine", "task", wire.TaskName(att.key.job, att.index), "machine", att.machine.id)
		c.freeAttempt(att, true)
	}
}

// freeMissingStart frees an attempt whose start had no effect: its machine has not listed it. If a
// direct command carried the start and the worker confirmed it, a late copy may still have an effect,
// so that the attempt stays in doubt until the machine has shown a higher fencing token.
func (c *Controller) freeMissingStart(att *attempt) {
	if !att.copyMayStart() {
		c.freeAttempt(att, false)
		return
	}
	att.state = attemptInDoubt
	v := att.machine.view
	v.inDoubtToken = max(v.inDoubtToken, att.startToken)
}

// updateAttempt updates an attempt from its task's status in a heartbeat.
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
	att.stateSince = c.now
	c.ownership.markDirty(att.machine)
}

// recordRunning records that an attempt is running, which implies that its machine has the image.
func (c *Controller) recordRunning(att *attempt) {
	att.state = attemptRunning
	if att.runAt == 0 {
		att.runAt = c.now
	}
	if att.job != nil {
		att.machine.view.images[att.job.sub.Image] = true
	}
}

// recordExit records that an attempt has exited, and handles its exit if it is tracked.
func (c *Controller) recordExit(att *attempt, status *wire.TaskStatus) {
	att.state = attemptExited
	att.exitReason = status.ExitReason
	att.stateSince = c.now
	c.log(Debug, "task exited", "task", status.Task, "machine", att.machine.id, "reason", string(status.ExitReason), "saved", status.Saved, "ran_s", att.runTime(c.now).Seconds())
	if att.tracked {
		c.handleExit(att)
	}
}

// taskListUnchanged reports whether a heartbeat has the same task list as the last one and no
// attempt was added or dropped in between, so that the list need not be applied. This holds for
// most heartbeats. Lists are compared by address, because wire.HeartbeatReader returns the same
// slice for an unchanged list while it has the list in its cache.
func (v *machineView) taskListUnchanged(heartbeat *wire.Heartbeat) bool {
	n := len(heartbeat.Tasks)
	if n != len(v.attemptList) || n != len(v.lastTaskList) {
		return false
	}
	if n > 0 && &heartbeat.Tasks[0] != &v.lastTaskList[0] {
		return false
	}
	for _, att := range v.attemptList {
		if att.lastSeenRound != v.lastSeenRound {
			return false
		}
	}
	return true
}
