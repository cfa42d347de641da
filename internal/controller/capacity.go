package controller

import (
	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// What the attempts on machines use, by team, and what capacity that leaves for a task.

// maxTasksPerMachine keeps heartbeats and their replies within their size limit.
const maxTasksPerMachine = 150

// usage is what a team's tasks could be using.
type usage struct{ cpus, gpus float64 }

// addScaled adds factor times what each team uses of a machine to the sums.
func addScaled(sums, used []usage, factor float64) {
	for i, u := range used {
		sums[i].cpus += factor * u.cpus
		sums[i].gpus += factor * u.gpus
	}
}

// add adds one task of a submission.
func (u *usage) add(sub *wire.Submission) {
	u.cpus += sub.CPUs
	u.gpus += sub.GPUs
}

// exceeds reports whether one more task of a submission would pass the team's limit.
func (u *usage) exceeds(t Team, sub *wire.Submission) bool {
	cpusExceeded := t.CPUsMax > 0 && u.cpus+sub.CPUs > t.CPUsMax+scheduling.Tolerance
	gpusExceeded := t.GPUsMax > 0 && u.gpus+sub.GPUs > t.GPUsMax+scheduling.Tolerance
	return cpusExceeded || gpusExceeded
}

// tasksWithin returns how many of count tasks that need so much each fit into what is left of a
// limit; limit 0: none.
func tasksWithin(limit, used, need float64, count int) int {
	if limit <= 0 || need <= 0 {
		return count
	}
	return min(count, int((limit-used)/need+scheduling.Tolerance))
}

// machineUsage is what the attempts on a machine take. It is counted again only after something
// has changed there.
type machineUsage struct {
	total    scheduling.Resources
	stopping scheduling.Resources // the part of it that tasks being stopped will leave
	tasks    int                  // not exited
	unknown  bool                 // an attempt whose job is not known is among them
	byTeam   []usage
}

// reservation keeps capacity of a machine for a job that waits for it.
type reservation struct {
	job       *job
	resources scheduling.Resources
	until     micros.Micros
}

// recountUsage counts anew what a machine's attempts take.
func (c *Controller) recountUsage(m *machine) {
	v := m.view
	v.usageStale = false
	byTeam := v.usage.byTeam
	if byTeam == nil {
		byTeam = make([]usage, len(c.cfg.Teams))
	}
	clear(byTeam)
	v.usage = machineUsage{byTeam: byTeam}
	for _, att := range v.attemptList {
		c.visited++
		v.usage.add(att)
	}
	if v.unreconciledFromPredecessor || v.usage.unknown {
		// It may hold anything that fits, of any team of the shard.
		mt := c.types.of(m)
		for i := range byTeam {
			byTeam[i].cpus += mt.CPUs
			byTeam[i].gpus += mt.GPUs
		}
	}
}

// add adds what an attempt takes.
func (u *machineUsage) add(att *attempt) {
	if att.state == attemptExited {
		return
	}
	if att.job == nil {
		u.unknown = true
		return
	}
	sub := att.job.sub
	u.byTeam[att.job.team].add(sub)
	u.total = u.total.Plus(resourcesOf(sub))
	u.tasks++
	if att.stopMode != stopNone {
		u.stopping = u.stopping.Plus(resourcesOf(sub))
	}
}

// refresh brings the sums of a shard up to date: what its teams could be using at most. Only
// machines that have changed are counted again.
func (c *Controller) refresh(s *shard) {
	if s.recountAll {
		c.recountShard(s)
		return
	}
	for _, m := range s.dirtyMachines {
		v := m.view
		if v == nil || !v.usageStale || m.rec.Shard != s.id {
			continue
		}
		addScaled(s.usage, v.usage.byTeam, -1)
		c.recountUsage(m)
		addScaled(s.usage, v.usage.byTeam, 1)
	}
	s.dirtyMachines = s.dirtyMachines[:0]
}

// recountShard counts anew what is used of every machine of a shard.
func (c *Controller) recountShard(s *shard) {
	s.recountAll = false
	s.dirtyMachines = s.dirtyMachines[:0]
	s.usage = make([]usage, len(c.cfg.Teams))
	for _, m := range s.machines {
		if m.view == nil {
			continue
		}
		c.recountUsage(m)
		addScaled(s.usage, m.view.usage.byTeam, 1)
	}
}

// usable reports whether a machine may be given tasks.
func (c *Controller) usable(m *machine) bool {
	v := m.view
	known := v.reconciled && v.sequenceKnown && !v.leaseExpired && !m.returned && !v.usage.unknown
	if !known {
		return false
	}
	leaving := v.releasing || c.now < v.plannedUntil || v.reclaimAt != 0
	cordoned := c.now < v.cordonedUntil || c.now < v.backoffUntil
	if leaving || cordoned || c.sinceLastHeartbeat(v) > c.heartbeatDeadlines.Overdue || c.unreachable(m) || c.leaseRunningOut(v) {
		return false
	}
	return v.usage.tasks < maxTasksPerMachine && c.types.cpusOf(m) > 0
}

// resourcesOf returns what one task of a submission needs.
func resourcesOf(sub *wire.Submission) scheduling.Resources {
	return scheduling.Resources{CPUs: sub.CPUs, GPUs: sub.GPUs, MemGB: sub.MemGB}
}

// freeCapacity returns what a machine's attempts leave of it.
func (c *Controller) freeCapacity(m *machine) scheduling.Resources {
	mt := c.types.of(m)
	all := scheduling.Resources{CPUs: mt.CPUs, GPUs: mt.GPUs, MemGB: mt.MemGB}
	return all.Minus(m.view.usage.total)
}

// freeFor returns what a machine has left for a job: capacity that is reserved for another job
// does not count.
func (c *Controller) freeFor(m *machine, j *job) scheduling.Resources {
	v := m.view
	capacity := c.freeCapacity(m)
	reserved := &v.reservation
	if reserved.job == nil || reserved.job == j {
		return capacity
	}
	if c.now >= reserved.until || reserved.job.run == nil || reserved.job.pending() <= 0 {
		v.reservation = reservation{}
		return capacity
	}
	// What tasks being stopped will leave serves the reservation first.
	return capacity.Minus(reserved.resources.Minus(v.usage.stopping).AtLeastZero())
}

// fits reports whether one task of a job finds capacity on a machine now.
func (c *Controller) fits(m *machine, j *job) bool {
	return resourcesOf(j.sub).Fits(c.freeFor(m, j)) && m.view.usage.tasks < maxTasksPerMachine
}
