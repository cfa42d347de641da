package controller

import (
	"math"
	"strings"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// This file describes the tasks that wait for machines, for the leader: in groups, by which the
// fleet is sized and divided, and one by one where a job has waited for long.
//
// The groups serve most tasks, but by sums, with thresholds for the cost of moves and rentals. A
// task that no sum and no threshold serves starves, and the leader finds a machine for it;
// see fleet.StarvedTask. So a waiting task's chance comes back in one of these ways, whatever
// refused it before: capacity becomes free in its shard, a refusal of a machine ends (see
// machine_avoidance.go and healthView), or it starves and gets a machine that was idle
// elsewhere, that is rented, or that is drained for it.

// maxWaitingTaskGroups bounds the groups of waiting tasks in the demand of a shard.
const maxWaitingTaskGroups = 32

// waitingTasksKey is what all tasks of a group have in common.
type waitingTasksKey struct {
	zone, types string
	spot        bool
	cpus, gpus  float64
	priority    wire.Priority
}

// waitingTasksKeyOf returns the key of the group of a job's tasks.
func waitingTasksKeyOf(j *job) waitingTasksKey {
	types := strings.Join(j.sub.Types, " ")
	return waitingTasksKey{zone: j.sub.Zone, types: types, spot: j.sub.Spot, cpus: j.sub.CPUs, gpus: j.sub.GPUs, priority: j.priority}
}

// waitingTasksOf returns a shard's waiting tasks, grouped by their needs, and its starved tasks.
// Tasks beyond the limit or the quota of their team are left out of the counts, since more machines
// would not let them start. Their run time is included in the work all the same.
func (c *Controller) waitingTasksOf(s *shard) ([]peer.WaitingTasks, []peer.StarvedTask) {
	groups := waitingTaskGroups{index: map[waitingTasksKey]int{}}
	starved := starvedTasks{c: c, shard: s}
	headroom := c.teamHeadroom(s)
	quotas := quotaHeadroom{}
	for _, j := range c.queue(s) {
		pending := c.tasksWantingMachines(j)
		count := 0
		if pending > 0 {
			count = headroom.take(j, pending)
			count = c.quota.takeQuota(quotas, s, j, count)
			work := micros.Micros(pending) * c.estimates.Expect(j.sub)
			groups.add(j, count, work, c.types.taskSize(j.sub))
		}
		if count == 0 || !c.runnable(s, j) || c.now < j.run.nextRetryAt {
			c.restartWait(j)
			continue
		}
		starved.add(j)
	}
	return groups.list, starved.list()
}

// waitingTaskGroups collects the groups of a shard's waiting tasks.
type waitingTaskGroups struct {
	list  []peer.WaitingTasks
	index map[waitingTasksKey]int // in list
}

// add adds count tasks of a job, each of which takes up size CPUs of a machine. work is the expected
// run time of all waiting tasks of the job. Groups beyond maxWaitingTaskGroups are left out.
func (g *waitingTaskGroups) add(j *job, count int, work micros.Micros, size float64) {
	key := waitingTasksKeyOf(j)
	i, known := g.index[key]
	if !known {
		if len(g.list) >= maxWaitingTaskGroups {
			return
		}
		i = len(g.list)
		g.index[key] = i
		g.list = append(g.list, newWaitingTasks(j))
	}
	group := &g.list[i]
	if count > 0 {
		sum := float64(group.SizeCPUs*float64(group.Count)) + float64(size*float64(count))
		group.Count += count
		group.SizeCPUs = sum / float64(group.Count)
	}
	group.WorkUS += int64(work)
	group.MemGB = max(group.MemGB, j.sub.MemGB)
}

// tasksWantingMachines returns how many of a job's waiting tasks may start as soon as there are
// machines for them. A throttled job needs a machine for the next task that is tried.
func (c *Controller) tasksWantingMachines(j *job) int {
	r := j.run
	if r == nil || !r.checkpointApplied || r.end.requested() {
		return 0
	}
	pending := max(j.pending(), 0)
	switch {
	case r.nextRetryAt == 0:
		return pending
	case c.mayTryTask(j):
		return min(pending, 1)
	}
	return 0
}

// newWaitingTasks returns the group that a job's tasks belong to, with no tasks counted yet.
func newWaitingTasks(j *job) peer.WaitingTasks {
	return peer.WaitingTasks{
		Types:    j.sub.Types,
		AnyType:  j.sub.Types == nil,
		Zone:     j.sub.Zone,
		Spot:     j.sub.Spot,
		CPUs:     j.sub.CPUs,
		GPUs:     j.sub.GPUs,
		MemGB:    j.sub.MemGB,
		Priority: j.priority,
	}
}

// teamHeadroom holds how many more CPUs each team may use, indexed by team.
type teamHeadroom []float64

// teamHeadroom returns how many more CPUs each team may use in a shard.
func (c *Controller) teamHeadroom(s *shard) teamHeadroom {
	headroom := make(teamHeadroom, len(c.cfg.Teams))
	for i, t := range c.cfg.Teams {
		headroom[i] = math.Inf(1)
		if t.CPUsMax > 0 {
			headroom[i] = t.CPUsMax - s.usage[i].cpus
		}
	}
	return headroom
}

// take returns how many of count tasks of a job fit into the headroom of its team, and subtracts
// them.
func (h teamHeadroom) take(j *job, count int) int {
	if j.sub.CPUs <= 0 {
		return count
	}
	if fit := h[j.team] / j.sub.CPUs; fit < float64(count) {
		count = max(int(fit), 0)
	}
	h[j.team] -= float64(float64(count) * j.sub.CPUs)
	return count
}
