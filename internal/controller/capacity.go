package controller

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

// exceeds: one more task would pass the team's limit.
func (u *usage) exceeds(t Team, sub *wire.Submission) bool {
	return t.CPUsMax > 0 && u.cpus+sub.CPUs > t.CPUsMax+eps || t.GPUsMax > 0 && u.gpus+sub.GPUs > t.GPUsMax+eps
}

const eps = 1e-6

// count tallies a machine's attempts anew.
func (c *Controller) count(m *machine) {
	v := m.view
	v.usageStale = false
	used := v.usage.used
	if used == nil {
		used = make([]usage, len(c.cfg.Teams))
	}
	clear(used)
	v.usage = machineUsage{used: used}
	for _, att := range v.list {
		c.visited++
		c.addTo(&v.usage, att)
	}
	if v.unreconciledFromPredecessor || v.usage.unknown {
		// It may hold anything that fits, of any team of the shard.
		mt := c.types[m.rec.Type]
		for i := range used {
			used[i].cpus += mt.CPUs
			used[i].gpus += mt.GPUs
		}
	}
}

// addTo adds an attempt to a tally.
func (c *Controller) addTo(t *machineUsage, att *attempt) {
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
	if att.stopMode != stopNone {
		t.soonCPUs += sub.CPUs
		t.soonGPUs += sub.GPUs
		t.soonMem += sub.MemGB
	}
}

// refresh brings a shard's sums up to date: what its teams could be using at
// most. Only machines that have changed are counted again.
func (c *Controller) refresh(s *shard) {
	if s.recountAll {
		s.recountAll = false
		s.dirtyMachines = s.dirtyMachines[:0]
		s.usage = make([]usage, len(c.cfg.Teams))
		for _, m := range s.machines {
			if m.view == nil {
				continue
			}
			c.count(m)
			sumUp(s.usage, m.view.usage.used, 1)
		}
		return
	}
	for _, m := range s.dirtyMachines {
		v := m.view
		if v == nil || !v.usageStale || m.rec.Shard != s.id {
			continue
		}
		sumUp(s.usage, v.usage.used, -1)
		c.count(m)
		sumUp(s.usage, v.usage.used, 1)
	}
	s.dirtyMachines = s.dirtyMachines[:0]
}

// usable: a machine may be given tasks.
func (c *Controller) usable(m *machine) bool {
	v := m.view
	return v.reconciled && v.sequenceKnown && !v.leaseExpired && !m.returned && !v.usage.unknown && !v.releasing && c.now >= v.plannedUntil && v.reclaimAt == 0 &&
		c.now >= v.cordonedUntil && c.now >= v.backoffUntil && c.sinceLastHeartbeat(v) <= c.heartbeatOverdueAfter() && !c.unreachable(m) && !c.leaseRunningOut(v) &&
		v.usage.tasks < maxTasksPerMachine && c.types[m.rec.Type].CPUs > 0
}

// free is what a machine has left for a job: room that is kept for another job
// does not count.
func (c *Controller) free(m *machine, j *job) shape {
	v, capacity := m.view, c.freeCapacity(m)
	if h := &v.reservation; h.job != nil && h.job != j {
		if c.now >= h.until || h.job.run == nil || h.job.pending() <= 0 {
			v.reservation = reservation{}
			return capacity
		}
		// What is being made free serves the hold first.
		capacity.cpus -= max(h.cpus-v.usage.soonCPUs, 0)
		capacity.gpus -= max(h.gpus-v.usage.soonGPUs, 0)
		capacity.mem -= max(h.mem-v.usage.soonMem, 0)
	}
	return capacity
}

// fits: one of a job's tasks finds room on a machine now.
func (c *Controller) fits(m *machine, j *job) bool {
	return shapeOf(j.sub).covers(c.free(m, j)) && m.view.usage.tasks < maxTasksPerMachine
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

// freeCapacity is what a machine's attempts leave of it.
func (c *Controller) freeCapacity(m *machine) shape {
	mt, sum := c.types[m.rec.Type], &m.view.usage
	return shape{mt.CPUs - sum.cpus, mt.GPUs - sum.gpus, mt.MemGB - sum.mem}
}
