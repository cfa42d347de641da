package core

import "garnethitch/internal/wire"

// What is on machines, by team, and what room that leaves for a task.

// typeIndex keeps machine types in order of name.
type typeIndex struct{ names []string }

// usage counts what could be on machines, by team.
type usage struct{ cpus, gpus float64 }

// sumUp adds by times what each team uses of a machine to the sums.
func sumUp(sums, used []usage, by float64) {
	for i, u := range used {
		sums[i].cpus += by * u.cpus
		sums[i].gpus += by * u.gpus
	}
}

func (u *usage) add(sub *wire.Submission) {
	u.cpus += sub.CPUs
	u.gpus += sub.GPUs
}

// over: one more task would pass the team's limit.
func (u *usage) over(t Team, sub *wire.Submission) bool {
	return t.CPUsMax > 0 && u.cpus+sub.CPUs > t.CPUsMax+eps || t.GPUsMax > 0 && u.gpus+sub.GPUs > t.GPUsMax+eps
}

const eps = 1e-6

// count tallies a machine's attempts anew.
func (c *Core) count(m *machine) {
	v := m.v
	v.stale = false
	used := v.sum.used
	if used == nil {
		used = make([]usage, len(c.cfg.Teams))
	}
	clear(used)
	v.sum = tally{used: used}
	for _, att := range v.list {
		c.looks++
		c.addTo(&v.sum, att)
	}
	if v.doubt || v.sum.unknown {
		// It may hold anything that fits, of any team of the share.
		mt := c.types[m.rec.Type]
		for i := range used {
			used[i].cpus += mt.CPUs
			used[i].gpus += mt.GPUs
		}
	}
}

// addTo adds an attempt to a tally.
func (c *Core) addTo(t *tally, att *attempt) {
	if att.state == attemptExited {
		return
	}
	if att.job == nil {
		t.unknown = true
		return
	}
	sub := att.job.sub
	t.used[att.job.team].add(sub)
	t.cpus += sub.CPUs
	t.gpus += sub.GPUs
	t.mem += sub.MemGB
	t.tasks++
	if att.halt != haltNone {
		t.soonCPUs += sub.CPUs
		t.soonGPUs += sub.GPUs
		t.soonMem += sub.MemGB
	}
}

// refresh brings a share's sums up to date: what its teams could be using at
// most. Only machines that have changed are counted again.
func (c *Core) refresh(s *share) {
	if s.recount {
		s.recount = false
		s.touched = s.touched[:0]
		s.used = make([]usage, len(c.cfg.Teams))
		for _, m := range s.machines {
			if m.v == nil {
				continue
			}
			c.count(m)
			sumUp(s.used, m.v.sum.used, 1)
		}
		return
	}
	for _, m := range s.touched {
		v := m.v
		if v == nil || !v.stale || m.rec.Share != s.id {
			continue
		}
		sumUp(s.used, v.sum.used, -1)
		c.count(m)
		sumUp(s.used, v.sum.used, 1)
	}
	s.touched = s.touched[:0]
}

// usable: a machine may be given tasks.
func (c *Core) usable(m *machine) bool {
	v := m.v
	return v.settled && v.known && !v.gone && !m.returned && !v.sum.unknown && !v.releasing && c.now >= v.plannedUntil && v.takenAt == 0 &&
		c.now >= v.quarantinedUntil && c.now >= v.restUntil && c.unheard(v) <= c.late() && !c.outOfReach(m) && !c.leaseRunningOut(v) &&
		v.sum.tasks < maxTasksPerMachine && c.types[m.rec.Type].CPUs > 0
}

// free is what a machine has left for a job: room that is kept for another job
// does not count.
func (c *Core) free(m *machine, j *job) shape {
	v, room := m.v, c.room(m)
	if h := &v.reserved; h.job != nil && h.job != j {
		if c.now >= h.until || h.job.run == nil || h.job.pending() <= 0 {
			v.reserved = reservation{}
			return room
		}
		// What is being made free serves the hold first.
		room.cpus -= max(h.cpus-v.sum.soonCPUs, 0)
		room.gpus -= max(h.gpus-v.sum.soonGPUs, 0)
		room.mem -= max(h.mem-v.sum.soonMem, 0)
	}
	return room
}

// fits: one of a job's tasks finds room on a machine now.
func (c *Core) fits(m *machine, j *job) bool {
	return shapeOf(j.sub).covers(c.free(m, j)) && m.v.sum.tasks < maxTasksPerMachine
}

// shape is what a task takes, all that placing a plain one depends on, or what a
// machine has left.
type shape struct{ cpus, gpus, mem float64 }

func shapeOf(sub *wire.Submission) shape { return shape{sub.CPUs, sub.GPUs, sub.MemGB} }

// covers: where there is room for b, there is for a.
func (a shape) covers(b shape) bool {
	return a.cpus <= b.cpus+eps && a.gpus <= b.gpus+eps && a.mem <= b.mem+eps
}

func (a shape) plus(b shape) shape { return shape{a.cpus + b.cpus, a.gpus + b.gpus, a.mem + b.mem} }

// room is what a machine's attempts leave of it.
func (c *Core) room(m *machine) shape {
	mt, sum := c.types[m.rec.Type], &m.v.sum
	return shape{mt.CPUs - sum.cpus, mt.GPUs - sum.gpus, mt.MemGB - sum.mem}
}
