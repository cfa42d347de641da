package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
)

// This file ensures that each job makes its first start in time, even in a full shard. A job that
// has waited for Config.BeginWithin with nothing started gets one task ahead of all other jobs.
// That costs the others little, and shows the job's user and the run time estimates of its class
// how the job behaves.

const (
	// firstStartReservation is how long a machine's capacity is reserved for an overdue job before
	// another machine is tried.
	firstStartReservation = 45 * micros.Second
	// minRemainingRunTimeDivisor gives the lower bound of a task's expected remaining run time: its
	// expected total run time divided by this number, however long it has run.
	minRemainingRunTimeDivisor = 10
)

// overdue reports whether a job should have begun but has no active attempt. A job whose only
// attempt was preempted is overdue again. A job that fails on every machine is not overdue; it is
// retried at its own interval.
func (sc *stepContext) overdue(j *job) bool {
	return sc.waitedTooLong(j) && j.run.nextRetryAt == 0 && len(j.run.active) == 0
}

// waitedTooLong reports whether a job has waited for longer than Config.BeginWithin and none of its
// tasks is done.
func (sc *stepContext) waitedTooLong(j *job) bool {
	return sc.cfg.BeginWithin > 0 && j.run != nil && j.run.doneCount == 0 && sc.waitingTime(j) > sc.cfg.BeginWithin
}

// waitingTime returns how long a job has been waiting since it could first have run.
func (sc *stepContext) waitingTime(j *job) micros.Micros {
	return sc.wall - micros.Micros(j.waitingSinceMS())*micros.Millisecond
}

// isOnlyStart reports whether an attempt is the only active one of an overdue job. Such an attempt
// is preempted last.
func (sc *stepContext) isOnlyStart(att *attempt) bool {
	return att.tracked && sc.waitedTooLong(att.job) && len(att.job.run.active) == 1
}

// reserveCapacity reserves the capacity that becomes free on one machine for an overdue job that
// found no machine with enough free capacity. Otherwise small tasks would take each piece of free
// capacity at once, and a task that needs a whole machine would never start. Nothing is preempted
// for the reservation.
func (c *Controller) reserveCapacity(s *shard, j *job) {
	r := j.run
	if !c.overdue(j) || c.now < r.reservedUntil || c.scheduling.preemptionBudget.searches <= 0 {
		return
	}
	c.scheduling.preemptionBudget.searches--
	m, availableIn := c.soonestCapacity(s, j)
	if m == nil {
		return
	}
	r.reservedUntil = c.now + firstStartReservation
	m.view.reservation = reservation{job: j, resources: resourcesOf(j.sub), until: r.reservedUntil}
	c.log(Debug, "capacity reserved for an overdue job", "job", j.id, "machine", m.id, "in_s", availableIn.Seconds())
}

// soonestCapacity returns the machine that is expected to be the first to have capacity for a task
// of a job, and the time until then. The machine is nil if none is expected to.
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
	return !reserved && c.allowed(j, m, zones) && !j.run.failedRecently(m, c.now)
}

// taskEnd is the expected end of a task on its machine.
type taskEnd struct {
	index     int
	remaining micros.Micros
	resources scheduling.Resources
}

// timeUntilCapacity returns the expected time until enough of a machine's tasks have ended for a
// task of a job to fit. It returns micros.Never if the task would not fit even after all of them.
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

// taskEnds returns the expected ends of a machine's tasks, the earliest first.
func (c *Controller) taskEnds(m *machine) []taskEnd {
	var ends []taskEnd
	for _, att := range m.view.attemptList {
		if att.job != nil && att.state != attemptExited {
			ends = append(ends, taskEnd{att.index, c.remainingRunTime(att), resourcesOf(att.job.sub)})
		}
	}
	slices.SortFunc(ends, func(a, b taskEnd) int {
		return cmp.Or(cmp.Compare(a.remaining, b.remaining), cmp.Compare(a.index, b.index))
	})
	return ends
}

// remainingRunTime returns the expected remaining run time of an attempt.
func (c *Controller) remainingRunTime(att *attempt) micros.Micros {
	expected := c.estimates.Expect(att.job.sub)
	if att.runAt <= 0 {
		return expected
	}
	return max(expected-(c.now-att.runAt), expected/minRemainingRunTimeDivisor)
}
