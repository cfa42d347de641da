package core

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
)

// However pressed a share is, each of its jobs begins in time: one that has
// waited for long with nothing started gets one task ahead of all others. That
// takes little from them, and shows its user (and the estimates of its class)
// what it does. A tenth of the jobs of the lowest priority had first starts after 200
// to 231 s on a calm day on which a fleet was pressed to its end.

// overdue: the job should have begun. One whose only start was stopped for others
// is so again; one that fails everywhere has its own pace.
func (c *Core) overdue(j *job) bool {
	return c.waitsLong(j) && j.run.probeAt == 0 && len(j.run.active) == 0
}

// waitsLong: none of a job's tasks is done by when it should have begun.
func (c *Core) waitsLong(j *job) bool {
	return c.cfg.BeginWithin > 0 && j.run != nil && j.run.count == 0 && c.waited(j) > c.cfg.BeginWithin
}

// waited is how long a job could have run.
func (c *Core) waited(j *job) micros.Micros {
	return c.wall - micros.Micros(j.since())*micros.Millisecond
}

// onlyStart: the attempt is all that an overdue job has got, and is not to be
// stopped for another if that can be helped.
func (c *Core) onlyStart(att *attempt) bool {
	return att.owned && c.waitsLong(att.job) && len(att.job.run.active) == 1
}

// keptForStart is how long a machine's room is kept for an overdue job before
// another is tried.
const keptForStart = 45 * micros.Second

// keepRoom keeps the room that comes free on one machine for an overdue job that
// found none: where small tasks take every piece at once, a task that needs a
// whole machine would never start. Nothing is stopped for it.
func (c *Core) keepRoom(s *share, j *job) {
	r := j.run
	if !c.overdue(j) || c.now < r.keptUntil || c.preempt.looks <= 0 {
		return
	}
	c.preempt.looks--
	zones := c.zonesOf(j)
	var best *machine
	soonest := micros.Never
	for _, m := range s.machines {
		c.looks++
		if m.v == nil || !c.usable(m) || m.v.reserved.job != nil && c.now < m.v.reserved.until || !c.allowed(j, m, zones) || r.fails[m.id] > 0 {
			continue
		}
		if at := c.roomAfter(j, m); at < soonest {
			best, soonest = m, at
		}
	}
	if best == nil {
		return
	}
	r.keptUntil = c.now + keptForStart
	best.v.reserved = reservation{job: j, cpus: j.sub.CPUs, gpus: j.sub.GPUs, mem: j.sub.MemGB, until: r.keptUntil}
	c.log(Debug, "room is kept for a job that should have begun", "job", j.id, "machine", best.id, "in_s", soonest.Seconds())
}

// roomAfter is in how much time a machine's tasks will probably have left enough
// room for one of a job's; Never if they can't.
func (c *Core) roomAfter(j *job, m *machine) micros.Micros {
	type end struct {
		att  *attempt
		left micros.Micros
	}
	var ends []end
	for _, att := range m.v.list {
		if att.job != nil && att.state != attemptExited {
			ends = append(ends, end{att, c.left(att)})
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(cmp.Compare(a.left, b.left), cmp.Compare(a.att.idx, b.att.idx)) })
	after, room := micros.Micros(0), c.room(m)
	for want := shapeOf(j.sub); !want.covers(room); {
		if len(ends) == 0 {
			return micros.Never
		}
		after, room = ends[0].left, room.plus(shapeOf(ends[0].att.job.sub))
		ends = ends[1:]
	}
	return after
}

// left is how long an attempt will probably take yet.
func (c *Core) left(att *attempt) micros.Micros {
	left := c.runs.expect(att.job.sub)
	if att.runAt > 0 {
		left = max(left-(c.now-att.runAt), left/10)
	}
	return left
}
