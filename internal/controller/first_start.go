package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
)

// However full a shard is, each of its jobs begins in time: one that has waited for long with
// nothing started gets one task ahead of all others. That takes little from them, and shows its
// user (and the estimates of its class) what it does.

const (
	// firstStartReservation is how long a machine's capacity is kept for an overdue job before
	// another machine is tried.
	firstStartReservation = 45 * micros.Second
	// minRemainingRunTimeDivisor divides the expected run time of a task into what it is expected to take
	// yet at least, however long it has run.
	minRemainingRunTimeDivisor = 10
)

// overdue reports whether a job should have begun. One whose only start was stopped for others is
// overdue again; one that fails everywhere has its own pace.
func (sc *stepContext) overdue(j *job) bool {
	return sc.waitedTooLong(j) && j.run.nextRetryAt == 0 && len(j.run.active) == 0
}

// waitedTooLong reports whether none of a job's tasks is done by when the job should have begun.
func (sc *stepContext) waitedTooLong(j *job) bool {
	return sc.cfg.BeginWithin > 0 && j.run != nil && j.run.doneCount == 0 && sc.waitingTime(j) > sc.cfg.BeginWithin
}

// waitingTime returns for how long a job could have run.
func (sc *stepContext) waitingTime(j *job) micros.Micros {
	return sc.wall - micros.Micros(j.since())*micros.Millisecond
}

// isOnlyStart reports whether the attempt is all that an overdue job has got, and is not to be
// stopped for another if that can be helped.
func (sc *stepContext) isOnlyStart(att *attempt) bool {
	return att.tracked && sc.waitedTooLong(att.job) && len(att.job.run.active) == 1
}

// reserveCapacity keeps what comes free on one machine for an overdue job that found no capacity:
// where small tasks take every piece at once, a task that needs a whole machine would never
// start. Nothing is stopped for it.
func (c *Controller) reserveCapacity(s *shard, j *job) {
	r := j.run
	if !c.overdue(j) || c.now < r.reservedUntil || c.scheduling.preemption.searches <= 0 {
		return
	}
	c.scheduling.preemption.searches--
	m, availableIn := c.soonestCapacity(s, j)
	if m == nil {
		return
	}
	r.reservedUntil = c.now + firstStartReservation
	m.view.reservation = reservation{job: j, resources: resourcesOf(j.sub), until: r.reservedUntil}
	c.log(Debug, "capacity reserved for an overdue job", "job", j.id, "machine", m.id, "in_s", availableIn.Seconds())
}

// soonestCapacity returns the machine that will probably be the first to have capacity for a task
// of a job, and in how much time; nil if none will.
func (c *Controller) soonestCapacity(s *shard, j *job) (best *machine, availableIn micros.Micros) {
	zones := c.zonesOf(j)
	availableIn = micros.Never
	for _, m := range s.machines {
		c.visited++
		if !c.reservable(j, m, zones) {
			continue
		}
		if in := c.timeUntilCapacity(j, m); in < availableIn {
			best, availableIn = m, in
		}
	}
	return best, availableIn
}

// reservable reports whether a machine's capacity may be reserved for a job.
func (c *Controller) reservable(j *job, m *machine, zones map[string]int) bool {
	if m.view == nil || !c.usable(m) {
		return false
	}
	reserved := m.view.reservation.job != nil && c.now < m.view.reservation.until
	return !reserved && c.allowed(j, m, zones) && j.run.failuresByMachine[m.id] == 0
}

// taskEnd is when a task will probably leave its machine.
type taskEnd struct {
	index     int
	remaining micros.Micros
	resources scheduling.Resources
}

// timeUntilCapacity returns in how much time a machine's tasks will probably have left enough
// capacity for a task of a job; Never if they cannot.
func (c *Controller) timeUntilCapacity(j *job, m *machine) micros.Micros {
	need := resourcesOf(j.sub)
	free := c.freeCapacity(m)
	after := micros.Micros(0)
	for _, end := range c.taskEnds(m) {
		if need.Fits(free) {
			break
		}
		after = end.remaining
		free = free.Plus(end.resources)
	}
	if !need.Fits(free) {
		return micros.Never
	}
	return after
}

// taskEnds returns when a machine's tasks will probably end, the first one first.
func (c *Controller) taskEnds(m *machine) []taskEnd {
	var ends []taskEnd
	for _, att := range m.view.list {
		if att.job != nil && att.state != attemptExited {
			ends = append(ends, taskEnd{att.index, c.remainingRunTime(att), resourcesOf(att.job.sub)})
		}
	}
	slices.SortFunc(ends, func(a, b taskEnd) int {
		return cmp.Or(cmp.Compare(a.remaining, b.remaining), cmp.Compare(a.index, b.index))
	})
	return ends
}

// remainingRunTime returns how long an attempt will probably take yet.
func (c *Controller) remainingRunTime(att *attempt) micros.Micros {
	expected := c.estimates.Expect(att.job.sub)
	if att.runAt <= 0 {
		return expected
	}
	return max(expected-(c.now-att.runAt), expected/minRemainingRunTimeDivisor)
}
