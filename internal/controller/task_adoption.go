package controller

import "garnethitch/internal/wire"

// adoptTasks matches the tasks that a machine lists with their jobs, and stops those that should not
// be there.
func (c *Controller) adoptTasks(m *machine) {
	for _, att := range m.view.attemptsCopy() {
		switch {
		case att.tracked || att.state < attemptFetching:
		case att.prefetch:
			c.handlePrefetchExit(att)
		default:
			c.adoptTask(m, att)
		}
	}
}

// adoptTask matches a listed task with its job. It tracks the attempt, takes its result or stops it.
func (c *Controller) adoptTask(m *machine, att *attempt) {
	if _, ended := c.jobs.final(att.key.job); ended {
		c.stopTaskOfEndedJob(att)
		return
	}
	j := c.jobs.open[att.key.job]
	if j == nil {
		c.stopIfEnded(c.ownership.shards[m.rec.Shard], att)
		return
	}
	if j.shard != m.rec.Shard || att.index >= j.sub.Tasks {
		c.stopMisplacedTask(j, att)
		return
	}
	if att.job != j {
		att.job = j
		c.ownership.markDirty(m)
	}
	switch {
	case j.run == nil || !j.run.checkpointApplied:
		// Which tasks are done is not known before the checkpoint is loaded; see
		// reconcileAfterCheckpointLoad.
	case att.state == attemptExited:
		c.adoptExitedTask(j, att)
	case j.run.active[att.index] != nil || j.run.doneTasks.Has(att.index):
		c.stopSurplusAttempt(j, att)
	default:
		c.trackAttempt(j, att)
	}
}

// stopTaskOfEndedJob stops a task whose job has ended. If the task has exited, its outcome needs no
// further handling.
func (c *Controller) stopTaskOfEndedJob(att *attempt) {
	if att.state == attemptExited {
		att.outcomeHandled = true
		return
	}
	c.stop(att, stopImmediate)
}

// stopMisplacedTask stops a task whose job belongs to another shard, or whose index is out of range
// for its job.
func (c *Controller) stopMisplacedTask(j *job, att *attempt) {
	att.job = j
	c.stop(att, stopImmediate)
	att.outcomeHandled = att.state == attemptExited
}

// adoptExitedTask handles a task that exited before this node tracked it.
func (c *Controller) adoptExitedTask(j *job, att *attempt) {
	if att.outcomeHandled {
		return
	}
	if att.exitReason != wire.ExitDone {
		att.outcomeHandled = true
		return
	}
	c.taskDone(j, att.index, att)
	c.awaitCheckpoint(j, att)
}

// stopSurplusAttempt stops an attempt at a task that is done or has another active attempt.
func (c *Controller) stopSurplusAttempt(j *job, att *attempt) {
	if j.run.active[att.index] == att || att.stopMode == stopImmediate {
		return
	}
	c.log(Info, "surplus attempt stopped", "task", wire.TaskName(j.id, att.index), "machine", att.machine.id)
	c.stop(att, stopImmediate)
}

// trackAttempt makes an attempt that a machine lists the active attempt of its task.
func (c *Controller) trackAttempt(j *job, att *attempt) {
	att.tracked = true
	j.run.active[att.index] = att
	if att.state == attemptRunning {
		att.machine.view.images[j.sub.Image] = true
	}
	if j.run.end.state == wire.StateCancelled {
		c.stop(att, stopImmediate)
	}
}

// reconcileAfterCheckpointLoad adopts the tasks on a shard's reconciled machines once the checkpoints
// of the shard are loaded.
func (c *Controller) reconcileAfterCheckpointLoad(s *shard) {
	for _, m := range s.machines {
		if m.view != nil && m.view.reconciled {
			c.adoptTasks(m)
		}
	}
}
