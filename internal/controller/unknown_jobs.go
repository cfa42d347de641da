package controller

import (
	"slices"

	"garnethitch/internal/controller/authority"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Tasks on machines whose jobs this node does not know: neither open nor remembered as ended,
// since only so many ends are kept. What may be done about them follows from the view of jobs,
// without a read; see authority.JobStatusOf.

// jobStatusOf returns what this node knows of the job of an attempt that has been seen on a
// machine of a shard since a moment.
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

// EndedTaskStopped is the text of the log line of a task that is stopped since the view of jobs
// shows that its job has ended; how the job ended has left memory.
const EndedTaskStopped = "task stopped, its job has ended and has left memory"

// stopIfEnded stops a task of a job that this node does not know, if the job has ended.
func (c *Controller) stopIfEnded(s *shard, att *attempt) {
	if c.jobStatusOf(s, att.key.job, att.key.attempt, att.since) != authority.JobEnded {
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

// logEndedTask logs that a task is stopped whose job has ended and has left memory.
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

// holdsTaskOfUnknownJob reports whether a reconciled machine holds a task of a job that may have
// ended at any time.
func (c *Controller) holdsTaskOfUnknownJob(s *shard, m *machine) bool {
	return slices.ContainsFunc(m.view.list, func(att *attempt) bool {
		return c.jobStatusForRenewal(s, att) == authority.JobStatusUnknown
	})
}

// jobStatusForRenewal returns the status of the job of a task that continues if its machine's
// lease is renewed; it is open where the job is known, or the stop is sent.
func (c *Controller) jobStatusForRenewal(s *shard, att *attempt) authority.JobStatus {
	if att.job != nil || !att.onMachine() || att.stopMode == stopImmediate {
		return authority.JobOpen
	}
	return c.jobStatusOf(s, att.key.job, att.key.attempt, att.since)
}

// listsTaskOfUnknownJob is holdsTaskOfUnknownJob for the heartbeat of a machine that is not
// reconciled yet.
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
