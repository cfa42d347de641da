package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// freeAttempt drops an attempt that never reached its machine or has left it, and requeues its task
// unless the task is done. lost says whether work of the task was lost with the attempt.
func (c *Controller) freeAttempt(att *attempt, lost bool) {
	c.dropAttempt(att)
	c.requeue(att, lost)
}

// requeue makes the task of an attempt wait for a machine again, unless the task is done or this
// node does not own its job.
func (c *Controller) requeue(att *attempt, lost bool) {
	if !att.tracked {
		return
	}
	att.tracked = false
	j := att.job
	if j == nil || j.run == nil || j.run.active[att.index] != att {
		return
	}
	delete(j.run.active, att.index)
	c.schedulingDue = true
	if j.run.doneTasks.Has(att.index) {
		return
	}
	j.requeue(att.index)
	s := c.ownership.shards[j.shard]
	s.firstWaiting = min(s.firstWaiting, j.queuePosition)
	if lost {
		j.run.checkpoint.addRecovery(c.wall)
		c.log(Debug, "task lost, restarting from the newest checkpoint", "task", wire.TaskName(j.id, att.index), "machine", att.machine.id)
	}
}

// freeAllAttempts frees the attempts on a machine that no longer holds tasks. Starts that were sent
// in direct commands and not answered are kept unless commandsVoid is set: a machine that hung may
// still execute them.
func (c *Controller) freeAllAttempts(m *machine, reason string, commandsVoid bool) {
	c.logFreedTasks(m, reason)
	for _, att := range m.view.attemptsCopy() {
		mayStillStart := att.state == attemptCommanded || att.state == attemptInDoubt
		switch {
		case mayStillStart && !commandsVoid:
		case att.state == attemptExited:
			c.dropAttempt(att) // its end was handled when the machine listed it as exited
		default:
			c.freeAttempt(att, att.state >= attemptFetching)
		}
	}
}

// logFreedTasks logs that the tasks on a machine are gone, if it had tasks that have not exited.
func (c *Controller) logFreedTasks(m *machine, reason string) {
	tasks := 0
	for _, att := range m.view.attemptList {
		if att.state != attemptExited {
			tasks++
		}
	}
	if tasks > 0 {
		c.log(Info, "machine holds no tasks any more, what ran there restarts from the newest checkpoint", "machine", m.id, "reason", reason, "tasks", tasks)
	}
}

// refusedStartBackoff is the time for which nothing is started on a machine after it refused a
// start.
const refusedStartBackoff = 2 * micros.Second

// handleExit handles the exit of a tracked attempt according to its exit reason.
func (c *Controller) handleExit(att *attempt) {
	c.schedulingDue = true
	switch att.exitReason {
	case wire.ExitDone:
		c.handleCompletion(att)
		return
	case wire.ExitError:
		c.recordFailure(att)
	case wire.ExitNoCapacity, wire.ExitInUse, wire.ExitUnknown:
		// The machine's state differs from this node's view of it. The task has not failed and is
		// queued again; the backoff delays further starts on this machine.
		m := att.machine
		m.view.backoffUntil = c.now + refusedStartBackoff
		c.log(Info, "start refused", "task", wire.TaskName(att.job.id, att.index), "machine", m.id, "reason", string(att.exitReason))
	}
	att.outcomeHandled = true
	c.requeue(att, false)
}

// handleCompletion handles an attempt that has completed its task.
func (c *Controller) handleCompletion(att *attempt) {
	c.learnFromRunTime(att)
	j := att.job
	clear(att.machine.view.failuresByJob)
	att.tracked = false
	if j.run == nil || j.run.active[att.index] != att {
		att.outcomeHandled = true
		return
	}
	delete(j.run.active, att.index)
	c.taskDone(j, att.index, att)
	c.awaitCheckpoint(j, att)
}

// learnFromRunTime compares the run time of a completed attempt with the estimate and adds it to
// the estimates. It ignores the run time if this node has stalled since the attempt began to run,
// because the node may then have seen the end late.
func (c *Controller) learnFromRunTime(att *attempt) {
	if att.runAt <= max(c.lastStalledAt, 0) {
		return
	}
	runTime := c.now - att.runAt
	c.recordRunTime(att.machine, att.job, runTime)
	c.estimates.Learn(att.job.sub, runTime)
}
