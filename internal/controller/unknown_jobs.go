package controller

import (
	"slices"

	"garnethitch/internal/controller/authority"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file handles tasks on machines whose jobs are not in the job table: neither open nor among
// the ended jobs, of which only a bounded number is kept. The view of jobs determines what may be
// done with such a task, without a read; see authority.JobStatusOf.

// jobStatusOf returns what this node knows about the job of an attempt on a machine of the shard.
// seenAt is a time by which the attempt had been seen there; a later one gives a less certain status.
func (c *Controller) jobStatusOf(s *shard, job string, attempt uint64, seenAt micros.Micros) authority.JobStatus {
	_, ended := c.jobs.final(job)
	jobsView := &c.ownership.jobWatch
	return authority.JobStatusOf(authority.TaskKnowledge{
		JobEnded:   ended,
		JobOpen:    c.jobs.open[job] != nil || c.jobs.unusable[job],
		StartEpoch: epochOfAttempt(attempt),
		SeenAt:     seenAt,
		Now:        c.now,
	}, authority.JobsView{
		Current:      s.jobsViewCurrent,
		OwnerEpoch:   s.ownerEpoch,
		Revision:     jobsView.Since,
		CompleteAsOf: jobsView.CompleteAsOf,
	}, c.bounds)
}

// EndedTaskStopped is the log message for a task that is stopped because the view of jobs shows that
// its job has ended, although the end was evicted from memory.
const EndedTaskStopped = "task stopped, its job has ended and has left memory"

// stopIfEnded stops a task of a job that is not in the job table if the job has ended.
func (c *Controller) stopIfEnded(s *shard, att *attempt) {
	if c.jobStatusOf(s, att.key.job, att.key.attempt, att.stateSince) != authority.JobEnded {
		return
	}
	if att.state == attemptExited {
		att.outcomeHandled = true
		return
	}
	if att.stopMode != stopImmediate {
		c.logEndedTask(s, att.machine, wire.TaskName(att.key.job, att.index), att.key.job, att.key.attempt)
	}
	c.stop(att, stopImmediate)
}

// logEndedTask logs that a task is stopped because its job has ended and was evicted from memory.
func (c *Controller) logEndedTask(s *shard, m *machine, task, job string, attempt uint64) {
	jobsView := &c.ownership.jobWatch
	c.log(Info, EndedTaskStopped,
		"job", job,
		"task", task,
		"machine", m.id,
		"start_epoch", epochOfAttempt(attempt),
		"epoch", s.ownerEpoch,
		"jobs_revision", jobsView.Since,
		"jobs_age_ms", (c.now - jobsView.CompleteAsOf).Millis())
}

// holdsTaskOfUnknownJob reports whether a reconciled machine holds a task whose job may have ended
// at any time without this node knowing it.
func (c *Controller) holdsTaskOfUnknownJob(s *shard, m *machine) bool {
	return slices.ContainsFunc(m.view.attemptList, func(att *attempt) bool {
		return c.jobStatusForRenewal(s, att) == authority.JobStatusUnknown
	})
}

// jobStatusForRenewal returns the status of the job of an attempt, for the decision whether to renew
// its machine's lease. It returns JobOpen if the job is known, the attempt is not on the machine, or
// an immediate stop was requested.
func (c *Controller) jobStatusForRenewal(s *shard, att *attempt) authority.JobStatus {
	if att.job != nil || !att.onMachine() || att.stopMode == stopImmediate {
		return authority.JobOpen
	}
	return c.jobStatusOf(s, att.key.job, att.key.attempt, att.stateSince)
}

// listsTaskOfUnknownJob is like holdsTaskOfUnknownJob, for a machine that is not reconciled yet: it
// checks the tasks in the machine's heartbeat.
func (c *Controller) listsTaskOfUnknownJob(s *shard, heartbeat *wire.Heartbeat) bool {
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		job, _, err := wire.ParseTaskName(task.Task)
		if err != nil || task.State == wire.TaskExited {
			continue
		}
		if c.jobStatusOf(s, job, task.Attempt, c.now) == authority.JobStatusUnknown {
			return true
		}
	}
	return false
}
