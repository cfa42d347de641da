package controller

import (
	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file counts what the attempts on machines use, by team, and computes the remaining capacity.

// maxTasksPerMachine keeps heartbeats and their replies within their size limit.
const maxTasksPerMachine = 150

// usage is the most that a team's tasks may be using.
type usage struct{ cpus, gpus float64 }

// addScaled adds factor times the usage of each team in used to the sums.
func addScaled(sums, used []usage, factor float64) {
	for i, u := range used {
		sums[i].cpus += factor * u.cpus
		sums[i].gpus += factor * u.gpus
	}
}

// add adds the resources of one task of a submission.
func (u *usage) add(sub *wire.Submission) {
	u.cpus += sub.CPUs
	u.gpus += sub.GPUs
}

// exceeds reports whether one more task of a submission would exceed the team's limit.
func (u *usage) exceeds(t Team, sub *wire.Submission) bool {
	cpusExceeded := t.CPUsMax > 0 && u.cpus+sub.CPUs > t.CPUsMax+scheduling.Tolerance
	gpusExceeded := t.GPUsMax > 0 && u.gpus+sub.GPUs > t.GPUsMax+scheduling.Tolerance
	return cpusExceeded || gpusExceeded
}

// tasksWithin returns how many of count tasks, each of which takes need, fit into a limit of which
// used is taken. A limit of 0 means no limit.
func tasksWithin(limit, used, need float64, count int) int {
	if limit <= 0 || need <= 0 {
		return count
	}
	return min(count, int((limit-used)/need+scheduling.Tolerance))
}

// machineUsage is what the attempts on a machine take. It is recounted only after something on the
// machine has changed.
type machineUsage struct {
	total         scheduling.Resources
	stopping      scheduling.Resources // the part of total that tasks being stopped will free
	tasks         int                  // attempts that have not exited
	hasUnknownJob bool                 // the job of at least one attempt is not known
	byTeam        []usage
}

// reservation keeps capacity of a machine for a job that waits for it.
type reservation struct {
	job       *job
	resources scheduling.Resources
	until     micros.Micros
}

// recountMachineUsage recomputes what the attempts on a machine take.
func (c *Controller) recountMachineUsage(m *machine) {
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
	if v.unreconciledFromPredecessor || v.usage.hasUnknownJob {
		// Unknown tasks of any team may take the whole machine.
		mt := c.types.of(m)
		for i := range byTeam {
			byTeam[i].cpus += mt.CPUs
			byTeam[i].gpus += mt.GPUs
		}
	}
}

// add adds the resources of an attempt, unless the attempt has exited.
func (u *machineUsage) add(att *attempt) {
	if att.state == attemptExited {
		return
	}
	if att.job == nil {
		u.hasUnknownJob = true
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

// refreshUsage updates a shard's usage by team, which is an upper bound. Only machines that have
// changed are recounted.
func (c *Controller) refreshUsage(s *shard) {
	if s.recountAll {
		c.recountShardUsage(s)
		return
	}
	for _, m := range s.dirtyMachines {
		v := m.view
		if v == nil || !v.usageStale || m.rec.Shard != s.id {
			continue
		}
		addScaled(s.usage, v.usage.byTeam, -1)
		c.recountMachineUsage(m)
		addScaled(s.usage, v.usage.byTeam, 1)
	}
	s.dirtyMachines = s.dirtyMachines[:0]
}

// recountShardUsage recomputes the usage of all machines of a shard.
func (c *Controller) recountShardUsage(s *shard) {
	s.recountAll = false
	s.dirtyMachines = s.dirtyMachines[:0]
	s.usage = make([]usage, len(c.cfg.Teams))
	for _, m := range s.machines {
		if m.view == nil {
			continue
		}
		c.recountMachineUsage(m)
		addScaled(s.usage, m.view.usage.byTeam, 1)
	}
}

// usable reports whether tasks may be started on a machine now.
func (c *Controller) usable(m *machine) bool {
	v := m.view
	known := v.reconciled && v.sequenceKnown && !v.leaseExpired && !m.returned && !v.usage.hasUnknownJob
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

// resourcesOf returns the resources that one task of a submission needs.
func resourcesOf(sub *wire.Submission) scheduling.Resources {
	return scheduling.Resources{CPUs: sub.CPUs, GPUs: sub.GPUs, MemGB: sub.MemGB}
}

// freeCapacity returns the capacity of a machine that its attempts do not take.
func (c *Controller) freeCapacity(m *machine) scheduling.Resources {
	mt := c.types.of(m)
	all := scheduling.Resources{CPUs: mt.CPUs, GPUs: mt.GPUs, MemGB: mt.MemGB}
	return all.Minus(m.view.usage.total)
}

// freeCapacityFor returns the free capacity of a machine without what is reserved there for other
// jobs. It drops a reservation that has expired or whose job has no waiting tasks.
func (c *Controller) freeCapacityFor(m *machine, j *job) scheduling.Resources {
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
	// Capacity that stopping tasks will free counts towards the reservation first.
	return capacity.Minus(reserved.resources.Minus(v.usage.stopping).AtLeastZero())
}

// fits reports whether a machine has capacity for one task of a job now.
func (c *Controller) fits(m *machine, j *job) bool {
	return resourcesOf(j.sub).Fits(c.freeCapacityFor(m, j)) && m.view.usage.tasks < maxTasksPerMachine
}
