package controller

import (
	"container/heap"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// The effective priority and deadline of a job include those of its dependents. When they change,
// those of the job's dependencies are updated, and so on up the DAG. The work of one step is
// bounded whatever the shape of the DAG: what is left waits in a queue for the next steps. The
// queue serves the job that was accepted last first. A job names only jobs that were accepted
// before it, so a job is updated after all of its dependents, and only once for each change.

// maxNamesPerStep is the number of names of dependencies after which a step updates no further
// job. The names of one job, which fit its record, are always dealt with together.
const maxNamesPerStep = 2000

// priorityUpdates is a heap of the open jobs whose effective priority or deadline may be out of
// date, the one accepted last first. It implements heap.Interface.
type priorityUpdates []*job

// updatePriority recomputes a job's effective priority and deadline and reports whether either has
// changed.
func (c *Controller) updatePriority(j *job) bool {
	priority, deadline := c.effectivePriority(j)
	if priority == j.priority && deadline == j.deadline {
		return false
	}
	j.priority = priority
	j.deadline = deadline
	j.latestStart = micros.Never
	if deadline < micros.Never {
		j.latestStart = deadline - c.estimates.Expect(j.sub)
	}
	c.ownership.shards[j.shard].queueStale = true
	return true
}

// effectivePriority returns the priority of a job and its deadline as a time of day, both with its
// dependents taken into account. The priority is the highest of its own and theirs. The deadline is
// early enough to leave each dependent its expected run time before that dependent's deadline.
func (c *Controller) effectivePriority(j *job) (priority wire.Priority, deadline micros.Micros) {
	priority, _ = wire.PriorityOf(j.sub.Priority)
	deadline = micros.Never
	if j.sub.DeadlineS != nil {
		accepted := micros.Micros(j.rec.AcceptedMS) * micros.Millisecond
		deadline = accepted + micros.FromSeconds(*j.sub.DeadlineS)
	}
	if dependents := c.jobs.dependents[j.id]; dependents != nil {
		priority = max(priority, dependents.highestPriority())
		deadline = min(deadline, dependents.earliestStart())
	}
	return priority, deadline
}

// queuePriorityUpdate queues the update of a job after one of its dependents was added, removed or
// updated, if that changes the job's effective priority or deadline. j may be nil.
func (c *Controller) queuePriorityUpdate(j *job) {
	if j == nil || j.priorityUpdateQueued {
		return
	}
	if priority, deadline := c.effectivePriority(j); priority != j.priority || deadline != j.deadline {
		j.priorityUpdateQueued = true
		heap.Push(&c.jobs.priorityUpdates, j)
	}
}

// updatePriorities updates the queued jobs and their dependencies, as far as the bound on the work
// of one step allows. It requests another step for the rest.
func (c *Controller) updatePriorities() {
	queue := &c.jobs.priorityUpdates
	for names := 0; queue.Len() > 0; {
		if names >= maxNamesPerStep {
			c.wakeIn(0)
			return
		}
		j := heap.Pop(queue).(*job)
		j.priorityUpdateQueued = false
		if c.jobs.open[j.id] == j {
			names += 1 + c.updateWithDependencies(j)
		}
	}
}

// updateWithDependencies updates a job's effective priority and deadline, and queues the updates of
// those of its dependencies for which that matters. It returns the number of names visited.
func (c *Controller) updateWithDependencies(j *job) int {
	c.visited++
	formerPriority := j.priority
	if !c.updatePriority(j) {
		return 0
	}
	for _, id := range j.sub.DependsOn {
		c.visited++
		if j.unmetDependencies[id] {
			c.jobs.dependents[id].update(j, formerPriority)
			c.queuePriorityUpdate(c.jobs.open[id])
		}
	}
	return len(j.sub.DependsOn)
}

// Len implements sort.Interface.
func (u priorityUpdates) Len() int { return len(u) }

// Less implements sort.Interface.
func (u priorityUpdates) Less(i, k int) bool { return u[i].modRevision > u[k].modRevision }

// Swap implements sort.Interface.
func (u priorityUpdates) Swap(i, k int) { u[i], u[k] = u[k], u[i] }

// Push implements heap.Interface.
func (u *priorityUpdates) Push(x any) { *u = append(*u, x.(*job)) }

// Pop implements heap.Interface.
func (u *priorityUpdates) Pop() any {
	old := *u
	last := len(old) - 1
	j := old[last]
	old[last] = nil
	*u = old[:last]
	return j
}
