package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Tasks on machines whose jobs this node does not know: neither open nor remembered as over,
// since only so many ends are kept. What may be done about them follows from the view of
// jobs, without a read: a job is on record before a task of it is started, so that a view
// that includes the record and does not have the job open shows that it is over.

// jobStatus is what this node knows of the job of a task that a machine lists.
type jobStatus int

const (
	// jobOpen: the job is open, or cannot have been over when the view of jobs was
	// last complete.
	jobOpen jobStatus = iota
	// jobEnded: the job has ended.
	jobEnded
	// jobStatusUnknown: it may have ended at any time, or may just have been accepted.
	jobStatusUnknown
)

// jobStatusOf tells how the job of an attempt stands that is on a machine of a shard, and has
// been seen there since a moment.
func (c *Controller) jobStatusOf(s *shard, job string, attempt uint64, seen micros.Micros) jobStatus {
	if _, over := c.jobs.final(job); over {
		return jobEnded
	}
	if c.jobs.open[job] != nil || c.jobs.unusable[job] {
		return jobOpen
	}
	claim, view := epochOfAttempt(attempt), &c.ownership.jobWatch
	switch {
	case s.jobsViewCurrent && claim <= s.ownerEpoch:
		// Started under a claim that the view includes. What was accepted after the view
		// was brought up to our claim, no former owner can have started; and what we
		// started ourselves was open here.
		return jobEnded
	case view.completeAsOf > seen:
		return jobEnded // the record is older than the task, and the task than the view
	case claim > view.since && c.now < view.completeAsOf+c.bounds.StaleViewGrace:
		// Its starter knew all ends up to its own claim. If the job has ended, that was
		// after the view was complete.
		return jobOpen
	}
	return jobStatusUnknown
}

// EndedTaskStopped is the text of the line that tells of a task that is stopped since the
// view of jobs shows that its job has ended; what the job's end was has left memory.
const EndedTaskStopped = "task stopped, its job has ended and has left memory"

// stopIfEnded stops a task of a job that this node does not know, if the job is over.
func (c *Controller) stopIfEnded(s *shard, att *attempt) {
	if c.jobStatusOf(s, att.key.job, att.key.attempt, att.since) != jobEnded {
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

func (c *Controller) logEndedTask(s *shard, m *machine, task, job string, attempt uint64) {
	c.log(Info, EndedTaskStopped, "job", job, "task", task, "machine", m.id, "start_epoch", epochOfAttempt(attempt),
		"epoch", s.ownerEpoch, "jobs_revision", c.ownership.jobWatch.since, "jobs_age_ms", (c.now - c.ownership.jobWatch.completeAsOf).Millis())
}

// holdsTaskOfUnknownJob: a machine whose list is believed holds a task that may be of a job that
// ended at any time.
func (c *Controller) holdsTaskOfUnknownJob(s *shard, m *machine) bool {
	return slices.ContainsFunc(m.view.list, func(att *attempt) bool { return c.jobStatusForRenewal(s, att) == jobStatusUnknown })
}

// jobStatusForRenewal is the standing of a task that goes on if its machine's lease is renewed;
// open where its job is known, or its stop goes out.
func (c *Controller) jobStatusForRenewal(s *shard, att *attempt) jobStatus {
	if att.job != nil || !att.onMachine() || att.stopMode == stopImmediate {
		return jobOpen
	}
	return c.jobStatusOf(s, att.key.job, att.key.attempt, att.since)
}

// listsTaskOfUnknownJob is the same of a heartbeat that is not believed yet.
func (c *Controller) listsTaskOfUnknownJob(s *shard, heartbeat *wire.Heartbeat) bool {
	for i := range heartbeat.Tasks {
		t := &heartbeat.Tasks[i]
		id, _, err := wire.ParseTask(t.Task)
		if err == nil && t.State != wire.TaskExited && c.jobStatusOf(s, id, t.Attempt, c.now) == jobStatusUnknown {
			return true
		}
	}
	return false
}
