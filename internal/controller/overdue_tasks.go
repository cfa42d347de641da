package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// This file lists the overdue tasks of a shard: one of each job that has waited for long without a
// start, although nothing but the lack of a machine keeps its tasks from starting.

const (
	// minOverdueWait is the wait from which on a task is listed.
	minOverdueWait = 10 * micros.Second
	// maxOverdueTasks bounds the tasks in the demand of a shard.
	maxOverdueTasks = 16
	// overdueRotationInterval is how long the same tasks are listed if there are more.
	overdueRotationInterval = 10 * micros.Second
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

// overdueTasks collects the overdue tasks of a shard.
type overdueTasks struct {
	c     *Controller
	kinds []fleet.Kind // of the machines in the shard on which tasks can run
	jobs  []*job
}

// newOverdueTasks returns an empty collection for a shard.
func (c *Controller) newOverdueTasks(s *shard) overdueTasks {
	kinds := map[fleet.Kind]bool{}
	for _, m := range s.machines {
		if m.view != nil && !m.returned && c.runsTasksSoon(m) {
			kinds[m.kind()] = true
		}
	}
	overdue := overdueTasks{c: c}
	for kind := range kinds {
		overdue.kinds = append(overdue.kinds, kind)
	}
	return overdue
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

// add adds a job with waiting tasks if it has waited for long.
func (o *overdueTasks) add(j *job, now micros.Micros) {
	if now-j.run.waitingSince >= minOverdueWait {
		o.jobs = append(o.jobs, j)
	}
}

// list returns one task of each job. Of tasks with the same needs it returns the one that has waited
// longest. If there are more than maxOverdueTasks, each has its turn.
func (o *overdueTasks) list() []peer.OverdueTask {
	slices.SortFunc(o.jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.run.waitingSince, b.run.waitingSince), cmp.Compare(a.id, b.id))
	})
	var tasks []peer.OverdueTask
	known := map[string]bool{}
	for _, j := range o.jobs {
		task := o.c.overdueTask(j, o.kinds)
		if needs := needsOf(&task); !known[needs] {
			known[needs] = true
			tasks = append(tasks, task)
		}
	}
	if len(tasks) <= maxOverdueTasks {
		return tasks
	}
	turn := int(o.c.now/overdueRotationInterval) * maxOverdueTasks % len(tasks)
	tasks = append(tasks[turn:], tasks[:turn]...)
	return tasks[:maxOverdueTasks]
}

// overdueTask describes a waiting task of a job in a shard with machines of the given kinds.
func (c *Controller) overdueTask(j *job, kinds []fleet.Kind) peer.OverdueTask {
	task := peer.OverdueTask{
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

// needsOf returns a string that is equal for tasks that the same machines can run.
func needsOf(task *peer.OverdueTask) string {
	constraint := strings.Join(append([]string{task.Zone, strings.Join(task.Types, ",")}, task.ExcludedZones...), " ")
	return fmt.Sprint(constraint, task.Spot, task.CPUs, task.GPUs, task.MemGB)
}
