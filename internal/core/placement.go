package core

import (
	"slices"

	"garnethitch/internal/micros"
)

// placeEvery is the pace of whole rounds. Room that comes free is used at once,
// by the report that tells of it; see placeOn.
const placeEvery = 50 * micros.Millisecond

// place starts waiting tasks where there is room, for every share of this node.
func (c *Core) place() {
	if c.placementDue {
		if c.now < c.placementAt {
			c.wakeIn(c.placementAt - c.now)
		} else {
			c.placementDue, c.placed = false, true
			c.placementAt = c.now + placeEvery
			for _, s := range c.own.shares {
				if c.acting(s.id) != nil {
					c.placeShare(s)
				}
			}
		}
	}
	c.flushOrders()
}

// A round of placement looks at each machine of a share so many times at most, or at so
// many in all where they are few, and goes on with the rest of the queue in the next one:
// a job bound to one zone is held against all machines with room, whether it fits or not,
// and what else waits in the same step must not wait for hundreds of them.
const (
	maxLooksEach = 4
	minLooks     = 4000
)

// looksPerRound is how much a round may look at.
func looksPerRound(machines int) uint64 { return uint64(max(maxLooksEach*machines, minLooks)) }

// placeShare assigns waiting tasks of one share.
func (c *Core) placeShare(s *share) {
	c.refresh(s)
	s.settled = c.allSettled(s)
	queue := c.queue(s)
	cpuless := slices.ContainsFunc(queue, func(j *job) bool { return j.sub.CPUs <= eps })
	var free []*machine
	for _, m := range s.machines {
		c.looks++
		if m.v == nil || !c.usable(m) {
			if m.v != nil && m.v.restUntil > c.now {
				c.wakeIn(m.v.restUntil - c.now)
				c.placementDue = true
			}
			continue
		}
		if room := c.room(m); room.cpus > eps || cpuless && room.mem > eps {
			free = append(free, m)
		}
	}
	c.prefetch(s, free, true)
	var full []fullShape
	c.preempt.begin()
	first, began := s.resumeAt, c.looks
	s.resumeAt = 0
	for i := range queue {
		place := (first + i) % len(queue)
		j := queue[place]
		c.looks++
		if !c.runnable(s, j) {
			continue
		}
		if i%8 == 7 {
			free = slices.DeleteFunc(free, func(m *machine) bool { return c.room(m).cpus <= eps })
		}
		if c.looks-began > looksPerRound(len(s.machines)) {
			s.resumeAt = place
			c.placementDue = true
			c.wakeIn(placeEvery)
			break
		}
		c.placeJob(s, j, free, &full)
	}
	c.prefetch(s, free, false)
}

// placeJob assigns a job's waiting tasks to machines with room.
func (c *Core) placeJob(s *share, j *job, free []*machine, full *[]fullShape) {
	r := j.run
	if r.probeAt != 0 && !c.suspect(j) {
		c.log(Info, "job runs elsewhere after all", "job", j.id)
		r.pause, r.probeAt = 0, 0
	}
	if r.probeAt != 0 {
		// It has failed on several machines and succeeded nowhere: one task at a
		// time, at growing intervals, until its user cancels it.
		if len(r.active) > 0 {
			return
		}
		if c.now < r.probeAt {
			c.wakeIn(r.probeAt - c.now)
			c.placementDue = true
			return
		}
	}
	if c.overLimit(s, j) {
		return
	}
	if slices.ContainsFunc(*full, func(f fullShape) bool { return f.rulesOut(j) }) {
		c.makeRoom(s, j)
		c.keepRoom(s, j)
		return
	}
	cands := c.candidates(j, free)
	zones := c.zonesOf(j)
	for _, best := range cands {
		if !c.fill(s, j, best.m, zones) {
			return
		}
	}
	if _, ok := j.nextTask(); !ok || c.overLimit(s, j) {
		return
	}
	if !j.sub.OneZone && !j.sub.Apart { // else there may be room for another job's tasks
		*full = append(*full, fullShape{shapeOf(j.sub), j.constraint})
	}
	c.makeRoom(s, j)
	c.keepRoom(s, j)
}

// placeOn gives a machine that has just told of itself what waits and fits, in
// the order of the queue.
func (c *Core) placeOn(s *share, m *machine) {
	v := m.v
	if v == nil || c.acting(s.id) == nil {
		return
	}
	c.refresh(s)
	if !c.usable(m) {
		return
	}
	mt := c.types[m.rec.Type]
	looked := 0
	for _, j := range c.waiting(s) {
		c.looks++
		if mt.CPUs-v.sum.cpus <= eps || looked >= maxLooked {
			return
		}
		if !c.runnable(s, j) {
			continue
		}
		looked++
		r := j.run
		if r.probeAt != 0 || c.overLimit(s, j) {
			continue
		}
		if !c.fits(m, j) {
			// A job that waits for others to be stopped takes what it needs here, or
			// one further down the line would take what has just come free, and be
			// stopped for it in turn.
			if r.lookAt != 0 && v.reserved.job == nil && r.arrival+c.patience(j) <= c.now && c.allowed(j, m, c.zonesOf(j)) {
				if o := c.offer(j, m); o != nil && o.cost <= c.mostLoss(j) {
					c.take(j, o)
				}
			}
			continue
		}
		c.fill(s, j, m, c.zonesOf(j))
	}
}

// fill assigns a job's waiting tasks to a machine as long as it has room, and
// tells whether the job may want others as well.
func (c *Core) fill(s *share, j *job, m *machine, zones map[string]int) bool {
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
		if j.run.probeAt != 0 {
			return false // one task at a time
		}
	}
	return true
}

// maxLooked bounds how many waiting jobs one report's answer looks at.
const maxLooked = 100

// maxTasksPerMachine keeps reports and answers within their size limit.
const maxTasksPerMachine = 150

// assign makes the attempt; it is sent with the next answer or order.
func (c *Core) assign(s *share, j *job, idx int, m *machine) {
	att := c.newAttempt(s, j, idx, m)
	att.owned = true
	v := m.v
	v.idleAt = c.now
	j.run.active[idx] = att
	j.run.startedMS = c.wall.Millis()
	c.traceGrant(s, j)
	if j.run.firstRun == 0 {
		j.run.firstRun = c.now
	}
	if h := &v.reserved; h.job == j {
		h.cpus, h.gpus, h.mem = h.cpus-j.sub.CPUs, h.gpus-j.sub.GPUs, h.mem-j.sub.MemGB
		if h.cpus <= eps && h.gpus <= eps && h.mem <= eps {
			v.reserved = reservation{}
		}
	}
}

// newAttempt puts an attempt on a machine, to be sent, and takes its room.
func (c *Core) newAttempt(s *share, j *job, idx int, m *machine) *attempt {
	c.attempts++
	key := attemptKey{job: j.id, idx: idx, attempt: s.mark<<attemptClaimShift | c.attempts&(1<<attemptClaimShift-1)}
	att := &attempt{key: key, job: j, idx: idx, m: m, state: attemptAssigned, since: c.now, haltAt: -micros.Never}
	v := m.v
	fresh := !v.stale // then its tally can be kept, which spares counting it again
	v.put(att)
	if fresh {
		c.addTo(&v.sum, att)
		s.used[j.team].add(j.sub)
	} else {
		c.touch(m)
	}
	c.queueOrder(m)
	c.noteQuotaGrant(s, j)
	return att
}
