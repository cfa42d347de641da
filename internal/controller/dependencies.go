package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Jobs may depend on other jobs and so form a DAG. No task of a job starts before the records of
// all its dependencies say that they are done. Until then the job is blocked: it is pending and
// counts in no limit, guarantee, queue or demand. Every controller keeps the graph of all open jobs
// and the states of their dependencies. The owner of a dependent acts on it when it first sees the
// dependent's record, when it becomes its owner, and when one of its dependencies ends.

// maxBlockedViewAge is the greatest age of the view of jobs at which a blocked job is answered as
// pending. The age counts from when the request that brought the view was sent.
const maxBlockedViewAge = 10 * micros.Second

// linkDependencies adds a new job to the dependency graph. It computes the job's effective priority
// and deadline from its dependents, marks the job if a dependency is cancelled, and queues the
// updates of the effective priorities and deadlines of its dependencies.
func (c *Controller) linkDependencies(j *job) {
	c.updatePriority(j)
	delete(c.jobs.unknownDependencies, j.id)
	for _, id := range j.sub.DependsOn {
		c.linkDependency(j, id)
	}
	if j.uncertainDependencies == 0 {
		c.settleDependency(j.id)
	}
}

// linkDependency makes a job wait for the dependency with the given id, unless the record of the
// dependency says that it is done.
func (c *Controller) linkDependency(j *job, id string) {
	c.visited++
	t := &c.jobs
	f, ended := t.final(id)
	if ended && f.state == wire.StateCancelled {
		c.markDependencyCancelled(j)
	} else if ended && f.recorded {
		j.unblockedMS = max(j.unblockedMS, f.endMS)
		return
	}
	if j.unmetDependencies[id] {
		return // named twice
	}
	if j.unmetDependencies == nil {
		j.unmetDependencies = map[string]bool{}
	}
	j.unmetDependencies[id] = true
	d := t.open[id]
	dependents := t.dependentsOf(id)
	dependents.add(j)
	if dependents.uncertain {
		j.uncertainDependencies++
	}
	if d == nil {
		t.unknownDependencies[id] = c.now + unknownReadDelay
		return
	}
	if d.dependencyCancelled {
		c.markDependencyCancelled(j)
	}
	c.queuePriorityUpdate(d)
}

// dependentsOf returns the dependents of the job with the given id. It creates the set if the job
// has none yet.
func (t *jobTable) dependentsOf(id string) *dependentSet {
	dependents := t.dependents[id]
	if dependents == nil {
		dependents = newDependentSet()
		if d := t.open[id]; d != nil {
			dependents.uncertain = d.uncertainDependencies > 0
		} else {
			_, ended := t.final(id)
			dependents.uncertain = !ended
		}
		t.dependents[id] = dependents
	}
	return dependents
}

// settleDependency records that this node knows the state of a job and of all jobs for which that
// job waits, directly or not. It does so in turn for the dependents for which that was the last
// uncertain dependency. Each name in a record becomes certain only once, so that the work is in
// proportion to the names read.
func (c *Controller) settleDependency(id string) {
	for stack := []string{id}; len(stack) > 0; {
		dependents := c.jobs.dependents[stack[len(stack)-1]]
		stack = stack[:len(stack)-1]
		if dependents == nil || !dependents.uncertain {
			continue
		}
		dependents.uncertain = false
		for _, j := range dependents.jobs {
			c.visited++
			j.uncertainDependencies--
			if j.uncertainDependencies == 0 {
				stack = append(stack, j.id)
			}
		}
	}
}

// unlinkDependencies removes an ended job from the dependents of its dependencies.
func (c *Controller) unlinkDependencies(j *job) {
	t := &c.jobs
	for _, id := range j.sub.DependsOn {
		c.visited++
		dependents := t.dependents[id]
		if !j.unmetDependencies[id] || dependents == nil {
			continue
		}
		dependents.remove(j)
		if dependents.Len() == 0 {
			delete(t.dependents, id)
			delete(t.unknownDependencies, id)
		}
		c.queuePriorityUpdate(t.open[id])
	}
}

// handleDependencyEnd handles the end of a job for its dependents: it cancels them if the job was
// cancelled, and otherwise unblocks those that have no other unmet dependency.
func (c *Controller) handleDependencyEnd(id string, f finalJob) {
	t := &c.jobs
	delete(t.unknownDependencies, id)
	dependents := t.dependents[id]
	if dependents == nil {
		return
	}
	c.settleDependency(id)
	if f.state == wire.StateCancelled {
		c.markDependencyCancelled(dependents.jobs...)
		return
	}
	if !f.recorded {
		// The record of the dependency is read at once, since a message from another controller does
		// not unblock its dependents.
		t.unknownDependencies[id] = c.now
		return
	}
	delete(t.dependents, id)
	endMS := f.endMS
	if endMS == 0 {
		endMS = c.wall.Millis() // older versions did not record the time
	}
	for _, d := range dependents.jobs {
		c.visited++
		delete(d.unmetDependencies, id)
		d.unblockedMS = max(d.unblockedMS, endMS)
		if !d.blocked() && !d.dependencyCancelled && d.run != nil {
			c.unblockJob(d, endMS)
		}
	}
}

// unblockJob makes a job that this node owns eligible to start. endMS is the time of day, in
// milliseconds, at which its last dependency was done.
func (c *Controller) unblockJob(j *job, endMS int64) {
	s := c.ownership.shards[j.shard]
	s.queueStale = true
	c.schedulingDue = true
	j.run.arrivedAt = c.now
	c.restartWait(j)
	c.recordArrival(s, j)
	c.log(Info, "job unblocked, all its dependencies are done", "job", j.id, "after_ms", c.wall.Millis()-endMS, "class", j.sub.Class, "priority", j.priority)
}

// recordArrival adds the expected CPU seconds of a job that may start from now on to the arrivals of
// its shard.
func (c *Controller) recordArrival(s *shard, j *job) {
	work := float64(float64(j.sub.Tasks) * j.sub.CPUs * c.estimates.Expect(j.sub).Seconds())
	s.arrivals.Add(c.now, work)
}

// markDependencyCancelled marks jobs that have a cancelled dependency, and all their direct and
// transitive dependents. None of them can ever start. The owner of each records its cancellation,
// and users are told that it is cancelled only after that.
func (c *Controller) markDependencyCancelled(jobs ...*job) {
	count, first := 0, ""
	for stack := slices.Clone(jobs); len(stack) > 0; {
		j := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if j.dependencyCancelled {
			continue
		}
		j.dependencyCancelled = true
		c.cascade.add(j)
		if c.requestDependentCancellation(j) {
			count++
			if count == 1 {
				first = j.id
			}
		}
		if dependents := c.jobs.dependents[j.id]; dependents != nil {
			c.visited += uint64(dependents.Len())
			stack = append(stack, dependents.jobs...)
		}
	}
	if count > 0 {
		c.log(Info, "cancelling dependents of a cancelled job", "first", first, "count", count)
		c.wakeIn(0)
	}
}

// requestDependentCancellation requests that a job with a cancelled dependency end as cancelled if
// this node owns it. It returns false if the node does not own the job or an end was requested
// already. recordDependents writes the record.
func (c *Controller) requestDependentCancellation(j *job) bool {
	if j.run == nil || j.run.end.requested() {
		return false
	}
	j.run.end.request(wire.StateCancelled)
	c.ownership.shards[j.shard].queueStale = true
	return true
}

// dependsOnCancelled reports whether a submission has a direct or transitive dependency that this
// node knows to be cancelled.
func (t *jobTable) dependsOnCancelled(sub *wire.Submission) bool {
	return slices.ContainsFunc(sub.DependsOn, func(id string) bool {
		if f, ended := t.final(id); ended && f.state == wire.StateCancelled {
			return true
		}
		d := t.open[id]
		return d != nil && d.dependencyCancelled
	})
}

// mayAnswerPending reports whether a job's dependencies allow the answer that it is pending. A job
// with a cancelled dependency may not be called pending. A blocked job may be called pending only
// while this node's view of jobs is recent and holds the states of all its dependencies: after an
// outage of the state service, this node may not know of a cancellation of which a user was
// notified long ago.
func (c *Controller) mayAnswerPending(j *job) bool {
	if j.dependencyCancelled {
		return false
	}
	if !j.blocked() {
		return true
	}
	watch := &c.ownership.jobWatch
	maxAge := min(maxBlockedViewAge, c.cfg.CancelWithin/2)
	if !watch.Ready() || c.now-watch.CompleteAsOf > maxAge {
		return false
	}
	return j.uncertainDependencies == 0
}
