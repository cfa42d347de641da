package controller

import "garnethitch/internal/micros"

// This file assigns waiting tasks to machines.

// packMachine assigns waiting tasks of a job to a machine until no more fit there. It reports
// whether the job may use further machines in this round. zones counts the job's tasks by zone and
// is updated; it is nil if zones do not matter to the job.
func (c *Controller) packMachine(s *shard, j *job, m *machine, zones map[string]int) bool {
	for c.fits(m, j) && c.allowed(j, m, zones) {
		index, waiting := j.nextTask()
		if !waiting || c.quota.overLimit(s, j) {
			return false
		}
		if c.avoidsMachine(j, index, m) {
			return true
		}
		firstOfOverdue := c.overdue(j)
		c.assign(s, j, index, m)
		if firstOfOverdue {
			s.queueStale = true
			return false // the job is not overdue any more, so its other tasks wait in the usual order
		}
		if zones != nil {
			zones[m.rec.Zone]++
		}
		if j.run.nextRetryAt != 0 {
			return false // the job is suspected to fail everywhere and runs one task at a time
		}
	}
	return true
}

// assign creates an attempt of a waiting task on a machine. The start command goes out with the
// next heartbeat reply or in a direct command, whichever comes first.
func (c *Controller) assign(s *shard, j *job, index int, m *machine) {
	att := c.newAttempt(s, j, index, m)
	att.tracked = true
	m.view.lastBusyAt = c.now
	r := j.run
	r.active[index] = att
	r.startedMS = c.wall.Millis()
	c.restartWait(j)
	c.quota.traceGrant(s, j)
	if r.firstRunAt == 0 {
		r.firstRunAt = c.now
	}
	m.view.reservation.consume(j)
}

// consume subtracts the resources of one task from the reservation if it is held for the task's
// job, and ends the reservation when nothing is left of it.
func (r *reservation) consume(j *job) {
	if r.job != j {
		return
	}
	r.resources = r.resources.Minus(resourcesOf(j.sub))
	if r.resources.Exhausted() {
		*r = reservation{}
	}
}

// newAttempt adds an attempt to a machine, counts its resources as used, and queues a command to
// the machine.
func (c *Controller) newAttempt(s *shard, j *job, index int, m *machine) *attempt {
	key := c.nextAttemptKey(s, j, index)
	att := &attempt{key: key, job: j, index: index, machine: m, state: attemptAssigned, stateSince: c.now, stopSentAt: -micros.Never}
	v := m.view
	usageCurrent := !v.usageStale // then the attempt is added to it, instead of a full recount
	v.put(att)
	if usageCurrent {
		v.usage.add(att)
		s.usage[j.team].add(j.sub)
	} else {
		c.ownership.markDirty(m)
	}
	c.queueCommand(m)
	c.quota.recordQuotaGrant(s, j)
	return att
}

// nextAttemptKey returns the key of a new attempt of a task. The upper bits of the attempt number
// are the epoch of the shard's owner, so the number is higher than that of any attempt by a former
// owner.
func (c *Controller) nextAttemptKey(s *shard, j *job, index int) attemptKey {
	c.attemptCounter++
	return attemptKey{job: j.id, index: index, attempt: attemptNumber(s.ownerEpoch, c.attemptCounter)}
}
