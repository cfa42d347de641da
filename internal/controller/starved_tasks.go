package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// This file lists the starved tasks of a shard: one of each job that has waited for long without a
// start, although nothing but the lack of a machine keeps its tasks from starting.

const (
	// minStarvedWait is the wait from which on a task is listed.
	minStarvedWait = 10 * micros.Second
	// maxStarvedTasks bounds the tasks in the demand of a shard.
	maxStarvedTasks = 16
	// starvedRotationInterval is how long the same tasks are listed if there are more.
	starvedRotationInterval = 10 * micros.Second
	// maxBootingCounted is how long a machine that has sent no heartbeat counts as one on which
	// tasks will run.
	maxBootingCounted = 30 * micros.Second
)

// restartWait restarts the time for which a job has waited for a machine: a task has started, or
// something else keeps its tasks from starting.
func (sc *stepContext) restartWait(j *job) {
	if j.run != nil {
		j.run.waitingSince = sc.now
	}
}

// starvedTasks collects the starved tasks of a shard.
type starvedTasks struct {
	c     *Controller
	shard *shard
	jobs  []*job
}

// add adds a job with waiting tasks if it has waited for long.
func (s *starvedTasks) add(j *job) {
	if s.c.now-j.run.waitingSince >= minStarvedWait {
		s.jobs = append(s.jobs, j)
	}
}

// list returns one task of each job. Of tasks with the same needs it returns the one that has waited
// longest. If there are more than maxStarvedTasks, each has its turn.
func (s *starvedTasks) list() []peer.StarvedTask {
	jobs := s.distinctJobs()
	if len(jobs) == 0 {
		return nil
	}
	if len(jobs) > maxStarvedTasks {
		turn := int(s.c.now/starvedRotationInterval) * maxStarvedTasks % len(jobs)
		jobs = append(jobs[turn:], jobs[:turn]...)[:maxStarvedTasks]
	}
	kinds := s.c.kindsOf(s.shard)
	tasks := make([]peer.StarvedTask, len(jobs))
	for i, j := range jobs {
		tasks[i] = s.c.starvedTask(j, kinds)
	}
	return tasks
}

// distinctJobs returns the jobs in the order in which they have waited longest, one of those that the
// same machines can run.
func (s *starvedTasks) distinctJobs() (distinct []*job) {
	slices.SortFunc(s.jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.run.waitingSince, b.run.waitingSince), cmp.Compare(a.id, b.id))
	})
	known := map[taskNeeds]bool{}
	for _, j := range s.jobs {
		if needs := s.c.needsOf(j); !known[needs] {
			known[needs] = true
			distinct = append(distinct, j)
		}
	}
	return distinct
}

// taskNeeds is what decides on which machines a task can run. Jobs that constrain the zones of their
// tasks have their own.
type taskNeeds struct {
	constraint, zonesOfJob string
	cpus, gpus, memGB      float64
}

// needsOf returns the needs of a job's tasks.
func (c *Controller) needsOf(j *job) taskNeeds {
	needs := taskNeeds{constraint: j.constraint, cpus: j.sub.CPUs, gpus: j.sub.GPUs, memGB: j.sub.MemGB}
	if j.sub.SameZone || j.sub.Spread {
		needs.zonesOfJob = j.id
	}
	return needs
}

// kindsOf returns the kinds of the machines in a shard on which tasks run or will run soon.
func (c *Controller) kindsOf(s *shard) []fleet.Kind {
	var kinds []fleet.Kind
	for _, m := range s.machines {
		if m.view != nil && !m.returned && !slices.Contains(kinds, m.kind()) && c.runsTasksSoon(m) {
			kinds = append(kinds, m.kind())
		}
	}
	return kinds
}

// runsTasksSoon reports whether a machine runs tasks or is expected to.
func (c *Controller) runsTasksSoon(m *machine) bool {
	switch c.machineState(m) {
	case peer.MachineIdle, peer.MachineBusy, peer.MachineUnreconciled:
		return true
	case peer.MachineBooting:
		return c.now-m.view.observedSince < maxBootingCounted
	}
	return false
}

// starvedTask describes a waiting task of a job in a shard with machines of the given kinds.
func (c *Controller) starvedTask(j *job, kinds []fleet.Kind) peer.StarvedTask {
	task := peer.StarvedTask{
		Job:      j.id,
		Types:    j.sub.Types,
		AnyType:  j.sub.Types == nil,
		Zone:     j.sub.Zone,
		Spot:     j.sub.Spot,
		CPUs:     j.sub.CPUs,
		GPUs:     j.sub.GPUs,
		MemGB:    j.sub.MemGB,
		WaitedUS: int64(c.now - j.run.waitingSince),
	}
	zones := c.zonesOf(j)
	for _, zone := range sortedKeys(zones) {
		if j.sub.SameZone {
			task.Zone = zone
		} else if j.sub.Spread && zones[zone] >= maxTasksPerZone(j.sub) {
			task.ExcludedZones = append(task.ExcludedZones, zone)
		}
	}
	catalog := c.catalog()
	task.NoMachine = !slices.ContainsFunc(kinds, func(kind fleet.Kind) bool { return catalog.CanRunTask(&task, kind) })
	return task
}
