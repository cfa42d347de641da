package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// freeAttempt removes an attempt that is not, or no longer, on its machine. Its task waits again
// unless it is done. lost is whether work of the task was lost with it.
func (c *Controller) freeAttempt(att *attempt, lost bool) {
	c.dropAttempt(att)
	c.requeue(att, lost)
}

// requeue lets an attempt's task wait again, unless it is done or its job is not this node's.
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
	if j.run.done.Has(att.index) {
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

// freeAll forgets what was on a machine. Unless commandsVoid, starts in direct commands that
// were not answered are kept: a machine that hung may yet find them.
func (c *Controller) freeAll(m *machine, reason string, commandsVoid bool) {
	c.logFreedTasks(m, reason)
	for _, att := range m.view.attemptsCopy() {
		mayStillStart := att.state == attemptCommanded || att.state == attemptInDoubt
		switch {
		case mayStillStart && !commandsVoid:
		case att.state == attemptExited:
			c.dropAttempt(att) // its end was handled when it was seen
		default:
			c.freeAttempt(att, att.state >= attemptFetching)
		}
	}
}

// logFreedTasks logs that the tasks on a machine are gone, if there were any.
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

// refusedStartBackoff is how long nothing is started on a machine that refused a start.
const refusedStartBackoff = 2 * micros.Second

// handleExit deals with the end of a tracked attempt.
func (c *Controller) handleExit(att *attempt) {
	c.schedulingDue = true
	switch att.exitReason {
	case wire.ExitDone:
		c.handleCompletion(att)
		return
	case wire.ExitError:
		c.recordFailure(att)
	case wire.ExitNoCapacity, wire.ExitInUse, wire.ExitUnknown:
		// Disagreements about state, not failures: start again a little later.
		m := att.machine
		m.view.backoffUntil = c.now + refusedStartBackoff
		c.log(Info, "start refused", "task", wire.TaskName(att.job.id, att.index), "machine", m.id, "reason", string(att.exitReason))
	}
	att.outcomeHandled = true
	c.requeue(att, false)
}

// handleCompletion takes the result of an attempt that has done its task.
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

// learnFromRunTime compares a completed attempt's run time with the estimate and adds it to
// the estimates, unless this node has stalled meanwhile and may have seen the end late.
func (c *Controller) learnFromRunTime(att *attempt) {
	if att.runAt <= max(c.lastStalledAt, 0) {
		return
	}
	runTime := c.now - att.runAt
	c.recordRunTime(att.machine, att.job, runTime)
	c.estimates.Learn(att.job.sub, runTime)
}
