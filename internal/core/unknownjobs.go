package core

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Tasks on machines whose jobs this node does not know: neither open nor remembered as over,
// since only so many ends are kept. What may be done about them follows from the view of
// jobs, without a read: a job is on record before a task of it is started, so that a view
// that includes the record and does not have the job open shows that it is over.

// standing is what this node knows of the job of a task that a machine lists.
type standing int

const (
	// standingOpen: the job is open, or cannot have been over when the view of jobs was
	// last complete.
	standingOpen standing = iota
	// standingOver: the job has ended.
	standingOver
	// standingUnknown: it may have ended at any time, or may just have been accepted.
	standingUnknown
)

// claimOf gives the mark of the claim under which an attempt was started.
func claimOf(attempt uint64) uint64 { return attempt >> attemptClaimShift }

// standingOf tells how the job of an attempt stands that is on a machine of a share, and has
// been seen there since a moment.
func (c *Core) standingOf(s *share, job string, attempt uint64, seen micros.Micros) standing {
	if _, over := c.jobs.final(job); over {
		return standingOver
	}
	if c.jobs.open[job] != nil || c.jobs.unusable[job] {
		return standingOpen
	}
	claim, view := claimOf(attempt), &c.own.job
	switch {
	case s.current && claim <= s.mark:
		// Started under a claim that the view includes. What was accepted after the view
		// was brought up to our claim, no former owner can have started; and what we
		// started ourselves was open here.
		return standingOver
	case view.completeAt > seen:
		return standingOver // the record is older than the task, and the task than the view
	case claim > view.since && c.now < view.completeAt+c.bounds.Blind:
		// Its starter knew all ends up to its own claim. If the job has ended, that was
		// after the view was complete.
		return standingOpen
	}
	return standingUnknown
}

// EndedTaskStopped is the text of the line that tells of a task that is stopped since the
// view of jobs shows that its job has ended; what the job's end was has left memory.
const EndedTaskStopped = "task stopped, its job has ended and has left memory"

// stopIfEnded stops a task of a job that this node does not know, if the job is over.
func (c *Core) stopIfEnded(s *share, att *attempt) {
	if c.standingOf(s, att.key.job, att.key.attempt, att.since) != standingOver {
		return
	}
	if att.state == attemptExited {
		att.acted = true
		return
	}
	if att.halt != haltHard {
		c.logEndedTask(s, att.m, wire.TaskName(att.key.job, att.idx), att.key.job, att.key.attempt)
	}
	c.stop(att, haltHard)
}

func (c *Core) logEndedTask(s *share, m *machine, task, job string, attempt uint64) {
	c.log(Info, EndedTaskStopped, "job", job, "task", task, "machine", m.id, "claim", claimOf(attempt),
		"mark", s.mark, "jobs_revision", c.own.job.since, "jobs_age_ms", (c.now - c.own.job.completeAt).Millis())
}

// holdsUnknown: a machine whose list is believed holds a task that may be of a job that
// ended at any time.
func (c *Core) holdsUnknown(s *share, m *machine) bool {
	return slices.ContainsFunc(m.v.list, func(att *attempt) bool { return c.fedStanding(s, att) == standingUnknown })
}

// fedStanding is the standing of a task that goes on if its machine's lease is renewed;
// open where its job is known, or its stop goes out.
func (c *Core) fedStanding(s *share, att *attempt) standing {
	if att.job != nil || !att.onMachine() || att.halt == haltHard {
		return standingOpen
	}
	return c.standingOf(s, att.key.job, att.key.attempt, att.since)
}

// listsUnknown is the same of a report that is not believed yet.
func (c *Core) listsUnknown(s *share, rep *wire.Report) bool {
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		id, _, err := wire.ParseTask(t.Task)
		if err == nil && t.State != wire.TaskExited && c.standingOf(s, id, t.Attempt, c.now) == standingUnknown {
			return true
		}
	}
	return false
}
