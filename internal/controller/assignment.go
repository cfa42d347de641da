package controller

import "garnethitch/internal/micros"

// Tasks that are assigned to machines.

// packMachine assigns a job's waiting tasks to a machine as long as they fit, and reports whether
// the job may want other machines as well.
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
			return false // its other tasks wait for their turn
		}
		if zones != nil {
			zones[m.rec.Zone]++
		}
		if j.run.nextRetryAt != 0 {
			return false // one task at a time
		}
	}
	return true
}

// assign creates an attempt at a waiting task on a machine. Its start is sent in the next
// heartbeat reply or direct command.
func (c *Controller) assign(s *shard, j *job, index int, m *machine) {
	att := c.newAttempt(s, j, index, m)
	att.tracked = true
	m.view.lastBusyAt = c.now
	r := j.run
	r.active[index] = att
	r.startedMS = c.wall.Millis()
	c.quota.traceGrant(s, j)
	if r.firstRunAt == 0 {
		r.firstRunAt = c.now
	}
	m.view.reservation.use(j)
}

// use takes one task of a job out of the reservation if it is for that job.
func (r *reservation) use(j *job) {
	if r.job != j {
		return
	}
	r.resources = r.resources.Minus(resourcesOf(j.sub))
	if r.resources.Exhausted() {
		*r = reservation{}
	}
}

// newAttempt puts an attempt that is to be sent on a machine, and counts what it takes.
func (c *Controller) newAttempt(s *shard, j *job, index int, m *machine) *attempt {
	key := c.nextAttemptKey(s, j, index)
	att := &attempt{key: key, job: j, index: index, machine: m, state: attemptAssigned, since: c.now, stopSentAt: -micros.Never}
	v := m.view
	usageCurrent := !v.usageStale // then it can be added to, which spares counting it again
	v.put(att)
	if usageCurrent {
		v.usage.add(att)
		s.usage[j.team].add(j.sub)
	} else {
		c.ownership.markDirty(m)
	}
	c.queueCommand(m)
	c.quota.noteQuotaGrant(s, j)
	return att
}

// nextAttemptKey returns the key of a new attempt of a task. Its number begins with the epoch of
// the shard's owner, so that it is higher than those of all former owners.
func (c *Controller) nextAttemptKey(s *shard, j *job, index int) attemptKey {
	c.attemptCounter++
	return attemptKey{job: j.id, index: index, attempt: attemptNumber(s.ownerEpoch, c.attemptCounter)}
}
