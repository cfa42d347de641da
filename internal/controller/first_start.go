package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
)

// However pressed a shard is, each of its jobs begins in time: one that has
// waited for long with nothing started gets one task ahead of all others. That
// takes little from them, and shows its user (and the estimates of its class)
// what it does. A tenth of the jobs of the lowest priority had first starts after 200
// to 231 s on a calm day on which a fleet was pressed to its end.

// overdue: the job should have begun. One whose only start was stopped for others
// is so again; one that fails everywhere has its own pace.
func (c *Controller) overdue(j *job) bool {
	return c.waitsLong(j) && j.run.nextRetryAt == 0 && len(j.run.active) == 0
}

// waitsLong: none of a job's tasks is done by when it should have begun.
func (c *Controller) waitsLong(j *job) bool {
	return c.cfg.BeginWithin > 0 && j.run != nil && j.run.doneCount == 0 && c.waited(j) > c.cfg.BeginWithin
}

// waited is how long a job could have run.
func (c *Controller) waited(j *job) micros.Micros {
	return c.wall - micros.Micros(j.since())*micros.Millisecond
}

// onlyStart: the attempt is all that an overdue job has got, and is not to be
// stopped for another if that can be helped.
func (c *Controller) onlyStart(att *attempt) bool {
	return att.tracked && c.waitsLong(att.job) && len(att.job.run.active) == 1
}

// firstStartReservation is how long a machine's room is kept for an overdue job before
// another is tried.
const firstStartReservation = 45 * micros.Second

// reserveCapacity keeps the room that comes free on one machine for an overdue job that
// found none: where small tasks take every piece at once, a task that needs a
// whole machine would never start. Nothing is stopped for it.
func (c *Controller) reserveCapacity(s *shard, j *job) {
	r := j.run
	if !c.overdue(j) || c.now < r.reservedUntil || c.preemption.searches <= 0 {
		return
	}
	c.preemption.searches--
	zones := c.zonesOf(j)
	var best *machine
	soonest := micros.Never
	for _, m := range s.machines {
		c.visited++
		if m.view == nil || !c.usable(m) || m.view.reservation.job != nil && c.now < m.view.reservation.until || !c.allowed(j, m, zones) || r.failuresByMachine[m.id] > 0 {
			continue
		}
		if at := c.capacityAvailableIn(j, m); at < soonest {
			best, soonest = m, at
		}
	}
	if best == nil {
		return
	}
	r.reservedUntil = c.now + firstStartReservation
	best.view.reservation = reservation{job: j, cpus: j.sub.CPUs, gpus: j.sub.GPUs, mem: j.sub.MemGB, until: r.reservedUntil}
	c.log(Debug, "capacity reserved for an overdue job", "job", j.id, "machine", best.id, "in_s", soonest.Seconds())
}

// capacityAvailableIn is in how much time a machine's tasks will probably have left enough
// room for one of a job's; Never if they can't.
func (c *Controller) capacityAvailableIn(j *job, m *machine) micros.Micros {
	type end struct {
		att  *attempt
		left micros.Micros
	}
	var ends []end
	for _, att := range m.view.list {
		if att.job != nil && att.state != attemptExited {
			ends = append(ends, end{att, c.left(att)})
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(cmp.Compare(a.left, b.left), cmp.Compare(a.att.index, b.att.index)) })
	after, capacity := micros.Micros(0), c.freeCapacity(m)
	for want := shapeOf(j.sub); !want.covers(capacity); {
		if len(ends) == 0 {
			return micros.Never
		}
		after, capacity = ends[0].left, capacity.plus(shapeOf(ends[0].att.job.sub))
		ends = ends[1:]
	}
	return after
}

// left is how long an attempt will probably take yet.
func (c *Controller) left(att *attempt) micros.Micros {
	left := c.estimates.Expect(att.job.sub)
	if att.runAt > 0 {
		left = max(left-(c.now-att.runAt), left/10)
	}
	return left
}
