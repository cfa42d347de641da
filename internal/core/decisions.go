package core

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Log lines that tell why this node acted or did not: each change of what it may do
// for a share, each cancellation, and how often reports were refused. From them the
// course of a job can be put together; docs/operations.md explains the lines.

// decisions is what has been logged, and what has been counted since.
type decisions struct {
	shares  []reason            // as last logged
	refused [reasonCount]uint64 // reports, since they were last logged
	nextAt  micros.Micros
	broken  uint64 // invariants
}

// refusedEvery is how often the counts of refused reports are logged.
const refusedEvery = 10 * micros.Second

// logDecisions logs what has changed.
func (c *Core) logDecisions() {
	d := &c.decisions
	if d.shares == nil {
		d.shares = make([]reason, len(c.own.shares))
	}
	for _, s := range c.own.shares {
		v := c.mayCommandShare(s)
		if v.reason == d.shares[s.id] {
			continue
		}
		was := d.shares[s.id]
		d.shares[s.id] = v.reason
		if was == reasonNone && v.reason == reasonNotOwner {
			continue
		}
		c.log(Info, "share entitlement", "share", s.id, "mark", s.mark, "owner", s.rec.Label, "may_command", v.allowed, "why", v.reason.String(), "before", was.String(),
			"jobs_revision", c.own.job.since, "jobs_age_ms", (c.now - c.own.job.completeAt).Millis(), "renewed_ms", (c.now - c.own.renewed).Millis())
	}
	if c.now >= d.nextAt {
		d.nextAt = c.now + refusedEvery
		c.logRefused()
		c.logStateRequests()
	}
}

// logRefused logs how many reports were refused since the last time, by reason.
func (c *Core) logRefused() {
	d := &c.decisions
	if d.refused == [reasonCount]uint64{} {
		return
	}
	var args []any
	for r, n := range d.refused {
		if n > 0 {
			args = append(args, reason(r).String(), n)
		}
	}
	d.refused = [reasonCount]uint64{}
	c.log(Info, "reports refused", args...)
}

// logReport tells how a report was dealt with.
func (c *Core) logReport(m *machine, rep *wire.Report, v verdict, commands []wire.Command) {
	if !c.cfg.LogReports {
		return
	}
	settled := m.v != nil && m.v.settled
	c.log(Debug, "report", "machine", m.id, "session", rep.Session, "seq", rep.Seq, "shown", rep.Token, "answered", v.allowed, "why", v.reason.String(),
		"token", c.token(c.own.shares[m.rec.Share], m), "settled", settled, "tasks", len(rep.Tasks), "commands", len(commands))
}

// logCancelled tells that an open job has been cancelled, and from whom this node knows.
func (c *Core) logCancelled(j *job, f finalJob) {
	from, tasks := "controller", 0
	if f.recorded {
		from = "record"
	}
	if j.run != nil {
		tasks = len(j.run.active)
	}
	s := c.own.shares[j.share]
	c.log(Info, "job cancelled", "job", j.id, "from", from, "share", s.id, "mark", s.mark, "owned", j.run != nil, "tasks", tasks)
}

// logStop tells when a task's stop is sent for the first time.
func (c *Core) logStop(att *attempt, inAnswer bool) {
	if !c.cfg.LogReports || att.haltAt > -micros.Never {
		return
	}
	c.log(Debug, "stop sent", "task", wire.TaskName(att.key.job, att.idx), "machine", att.m.id, "in_answer", inAnswer)
}
