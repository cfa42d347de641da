package controller

import (
	"slices"

	"garnethitch/internal/micros"
)

// schedulingInterval is the pace of whole rounds. Room that comes free is used at once,
// by the heartbeat that tells of it; see scheduleOnMachine.
const schedulingInterval = 50 * micros.Millisecond

// schedule starts waiting tasks where there is room, for every shard of this node.
func (c *Controller) schedule() {
	if c.schedulingDue {
		if c.now < c.nextSchedulingAt {
			c.wakeIn(c.nextSchedulingAt - c.now)
		} else {
			c.schedulingDue, c.scheduledLastStep = false, true
			c.nextSchedulingAt = c.now + schedulingInterval
			for _, s := range c.ownership.shards {
				if c.activeShard(s.id) != nil {
					c.scheduleShard(s)
				}
			}
		}
	}
	c.flushCommands()
}

// A round of placement looks at each machine of a shard so many times at most, or at so
// many in all where they are few, and goes on with the rest of the queue in the next one:
// a job bound to one zone is held against all machines with room, whether it fits or not,
// and what else waits in the same step must not wait for hundreds of them.
const (
	maxVisitsPerMachine = 4
	minVisitsPerRound   = 4000
)

// maxVisitsPerRound is how much a round may look at.
func maxVisitsPerRound(machines int) uint64 {
	return uint64(max(maxVisitsPerMachine*machines, minVisitsPerRound))
}

// scheduleShard assigns waiting tasks of one shard.
func (c *Controller) scheduleShard(s *shard) {
	c.refresh(s)
	s.reconciled = c.allReconciled(s)
	queue := c.queue(s)
	cpuless := slices.ContainsFunc(queue, func(j *job) bool { return j.sub.CPUs <= eps })
	var free []*machine
	for _, m := range s.machines {
		c.visited++
		if m.view == nil || !c.usable(m) {
			if m.view != nil && m.view.backoffUntil > c.now {
				c.wakeIn(m.view.backoffUntil - c.now)
				c.schedulingDue = true
			}
			continue
		}
		if capacity := c.freeCapacity(m); capacity.cpus > eps || cpuless && capacity.mem > eps {
			free = append(free, m)
		}
	}
	c.prefetch(s, free, true)
	var full []fullShape
	c.preemption.begin()
	first, began := s.resumeAt, c.visited
	s.resumeAt = 0
	for i := range queue {
		position := (first + i) % len(queue)
		j := queue[position]
		c.visited++
		if !c.runnable(s, j) {
			continue
		}
		if i%8 == 7 {
			free = slices.DeleteFunc(free, func(m *machine) bool { return c.freeCapacity(m).cpus <= eps })
		}
		if c.visited-began > maxVisitsPerRound(len(s.machines)) {
			s.resumeAt = position
			c.schedulingDue = true
			c.wakeIn(schedulingInterval)
			break
		}
		c.scheduleJob(s, j, free, &full)
	}
	c.prefetch(s, free, false)
}

// scheduleJob assigns a job's waiting tasks to machines with room.
func (c *Controller) scheduleJob(s *shard, j *job, free []*machine, full *[]fullShape) {
	r := j.run
	if r.nextRetryAt != 0 && !c.suspect(j) {
		c.log(Info, "job runs elsewhere after all", "job", j.id)
		r.retryBackoff, r.nextRetryAt = 0, 0
	}
	if r.nextRetryAt != 0 {
		// It has failed on several machines and succeeded nowhere: one task at a
		// time, at growing intervals, until its user cancels it.
		if len(r.active) > 0 {
			return
		}
		if c.now < r.nextRetryAt {
			c.wakeIn(r.nextRetryAt - c.now)
			c.schedulingDue = true
			return
		}
	}
	if c.overLimit(s, j) {
		return
	}
	if slices.ContainsFunc(*full, func(f fullShape) bool { return f.rulesOut(j) }) {
		c.preemptFor(s, j)
		c.reserveCapacity(s, j)
		return
	}
	cands := c.candidates(j, free)
	zones := c.zonesOf(j)
	for _, best := range cands {
		if !c.packMachine(s, j, best.m, zones) {
			return
		}
	}
	if _, ok := j.nextTask(); !ok || c.overLimit(s, j) {
		return
	}
	if !j.sub.SameZone && !j.sub.Spread { // else there may be room for another job's tasks
		*full = append(*full, fullShape{shapeOf(j.sub), j.constraint})
	}
	c.preemptFor(s, j)
	c.reserveCapacity(s, j)
}

// scheduleOnMachine gives a machine that has just told of itself what waits and fits, in
// the order of the queue.
func (c *Controller) scheduleOnMachine(s *shard, m *machine) {
	v := m.view
	if v == nil || c.activeShard(s.id) == nil {
		return
	}
	c.refresh(s)
	if !c.usable(m) {
		return
	}
	mt := c.types[m.rec.Type]
	looked := 0
	for _, j := range c.waiting(s) {
		c.visited++
		if mt.CPUs-v.usage.cpus <= eps || looked >= maxJobsPerReply {
			return
		}
		if !c.runnable(s, j) {
			continue
		}
		looked++
		r := j.run
		if r.nextRetryAt != 0 || c.overLimit(s, j) {
			continue
		}
		if !c.fits(m, j) {
			// A job that waits for others to be stopped takes what it needs here, or
			// one further down the line would take what has just come free, and be
			// stopped for it in turn.
			if r.nextPreemptionAt != 0 && v.reservation.job == nil && r.arrivedAt+c.preemptionDelay(j) <= c.now && c.allowed(j, m, c.zonesOf(j)) {
				if o := c.offer(j, m); o != nil && o.cost <= c.maxPreemptionLoss(j) {
					c.take(j, o)
				}
			}
			continue
		}
		c.packMachine(s, j, m, c.zonesOf(j))
	}
}

// packMachine assigns a job's waiting tasks to a machine as long as it has room, and
// tells whether the job may want others as well.
func (c *Controller) packMachine(s *shard, j *job, m *machine, zones map[string]int) bool {
	for c.fits(m, j) && c.allowed(j, m, zones) {
		idx, ok := j.nextTask()
		if !ok || c.overLimit(s, j) {
			return false
		}
		if c.avoids(j, idx, m) {
			return true
		}
		begins := c.overdue(j)
		c.assign(s, j, idx, m)
		if begins {
			s.queueStale = true
			return false // the others wait for their turn
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

// maxJobsPerReply bounds how many waiting jobs one heartbeat's answer looks at.
const maxJobsPerReply = 100

// maxTasksPerMachine keeps reports and answers within their size limit.
const maxTasksPerMachine = 150

// assign makes the attempt; it is sent with the next answer or order.
func (c *Controller) assign(s *shard, j *job, idx int, m *machine) {
	att := c.newAttempt(s, j, idx, m)
	att.tracked = true
	v := m.view
	v.idleAt = c.now
	j.run.active[idx] = att
	j.run.startedMS = c.wall.Millis()
	c.traceGrant(s, j)
	if j.run.firstRunAt == 0 {
		j.run.firstRunAt = c.now
	}
	if h := &v.reservation; h.job == j {
		h.cpus, h.gpus, h.mem = h.cpus-j.sub.CPUs, h.gpus-j.sub.GPUs, h.mem-j.sub.MemGB
		if h.cpus <= eps && h.gpus <= eps && h.mem <= eps {
			v.reservation = reservation{}
		}
	}
}

// newAttempt puts an attempt on a machine, to be sent, and takes its room.
func (c *Controller) newAttempt(s *shard, j *job, idx int, m *machine) *attempt {
	c.attemptCounter++
	key := attemptKey{job: j.id, index: idx, attempt: attemptNumber(s.ownerEpoch, c.attemptCounter)}
	att := &attempt{key: key, job: j, index: idx, machine: m, state: attemptAssigned, since: c.now, stopSentAt: -micros.Never}
	v := m.view
	fresh := !v.usageStale // then its tally can be kept, which spares counting it again
	v.put(att)
	if fresh {
		c.addTo(&v.usage, att)
		s.usage[j.team].add(j.sub)
	} else {
		c.markDirty(m)
	}
	c.queueCommand(m)
	c.noteQuotaGrant(s, j)
	return att
}
