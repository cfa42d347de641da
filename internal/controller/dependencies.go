package controller

import (
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Jobs may depend on other jobs and so form a DAG. No task of a job starts before the records of
// all its dependencies say that they are done. Until then the job is blocked: it is pending and
// counts in no limit, guarantee, queue or demand. Every controller keeps the graph of all open jobs
// and the states of their dependencies. The owner of a dependent acts on it when it first sees the
// dependent's record, when it becomes its owner, and when one of its dependencies ends.

const (
	// unknownReadDelay is the time for which the watch may still deliver an unknown dependency
	// before its record is read.
	unknownReadDelay = micros.Second
	// unknownReadInterval is the time between two reads of the same unknown dependency.
	unknownReadInterval = 2 * micros.Second
	// maxDependencyReads bounds the reads of unknown dependencies in flight.
	maxDependencyReads = 4
	// maxBlockedViewAge is the greatest age of the view of jobs at which a blocked job is answered
	// as pending. The age counts from when the request that brought the view was sent.
	maxBlockedViewAge = 10 * micros.Second
)

// linkDependencies adds a new job to the dependency graph. It computes the job's effective priority
// and deadline from its dependents, marks the job if a dependency is cancelled, and updates the
// effective priorities and deadlines of its dependencies.
func (c *Controller) linkDependencies(j *job) {
	c.updatePriority(j)
	delete(c.jobs.unknownDependencies, j.id)
	for _, id := range j.sub.DependsOn {
		c.linkDependency(j, id)
	}
	c.propagatePriority(j)
}

// linkDependency makes a job wait for the dependency with the given id, unless the record of the
// dependency says that it is done.
func (c *Controller) linkDependency(j *job, id string) {
	t := &c.jobs
	f, ended := t.final(id)
	if ended && f.state == wire.StateCancelled {
		c.markDependencyCancelled(j)
	} else if ended && f.recorded {
		j.unblockedMS = max(j.unblockedMS, f.endMS)
		return
	}
	if j.unmetDependencies == nil {
		j.unmetDependencies = map[string]bool{}
	}
	j.unmetDependencies[id] = true
	t.dependents[id] = append(t.dependents[id], j)
	if d := t.open[id]; d == nil {
		t.unknownDependencies[id] = c.now + unknownReadDelay
	} else if d.dependencyCancelled {
		c.markDependencyCancelled(j)
	}
}

// unlinkDependencies removes an ended job from the dependents of its dependencies.
func (c *Controller) unlinkDependencies(j *job) {
	t := &c.jobs
	for _, id := range j.sub.DependsOn {
		if !j.unmetDependencies[id] {
			continue
		}
		rest := slices.DeleteFunc(t.dependents[id], func(d *job) bool { return d == j })
		if len(rest) == 0 {
			delete(t.dependents, id)
			delete(t.unknownDependencies, id)
		} else {
			t.dependents[id] = rest
		}
	}
	c.propagatePriority(j)
}

// handleDependencyEnd handles the end of a job for its dependents: it cancels them if the job was
// cancelled, and otherwise unblocks those that have no other unmet dependency.
func (c *Controller) handleDependencyEnd(id string, f finalJob) {
	t := &c.jobs
	delete(t.unknownDependencies, id)
	dependents := t.dependents[id]
	if f.state == wire.StateCancelled {
		c.markDependencyCancelled(dependents...)
		return
	}
	if len(dependents) == 0 {
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
	for _, d := range dependents {
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
	c.recordArrival(s, j)
	c.log(Info, "job unblocked, all its dependencies are done", "job", j.id, "after_ms", c.wall.Millis()-endMS, "class", j.sub.Class, "priority", j.priority)
}

// recordArrival adds the expected CPU seconds of a job that may start from now on to the arrivals of
// its shard.
func (c *Controller) recordArrival(s *shard, j *job) {
	work := float64(j.sub.Tasks) * j.sub.CPUs * c.estimates.Expect(j.sub).Seconds()
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
		stack = append(stack, c.jobs.dependents[j.id]...)
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
	return c.jobs.knowsAllDependencies(j)
}

// knowsAllDependencies reports whether this node knows the states of all direct and transitive
// dependencies of a blocked job. A transitive one may have been cancelled and evicted from memory.
func (t *jobTable) knowsAllDependencies(j *job) bool {
	visited := map[string]bool{}
	for stack := []*job{j}; len(stack) > 0; {
		dependent := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for id := range dependent.unmetDependencies {
			if _, unknown := t.unknownDependencies[id]; unknown {
				return false
			}
			if d := t.open[id]; d != nil && d.blocked() && !visited[id] {
				visited[id] = true
				stack = append(stack, d)
			}
		}
	}
	return true
}

// updatePriority recomputes a job's effective priority and deadline and reports whether either has
// changed.
func (c *Controller) updatePriority(j *job) bool {
	priority, deadline := c.effectivePriority(j)
	if priority == j.priority && deadline == j.deadline {
		return false
	}
	j.priority = priority
	j.deadline = deadline
	c.ownership.shards[j.shard].queueStale = true
	return true
}

// effectivePriority returns the priority of a job and its deadline as a time of day, both with its
// dependents taken into account. The priority is the highest of its own and theirs. The deadline is
// early enough to leave each dependent its expected run time before that dependent's deadline.
func (c *Controller) effectivePriority(j *job) (priority int, deadline micros.Micros) {
	priority, _ = wire.PriorityOf(j.sub.Priority)
	deadline = micros.Never
	if j.sub.DeadlineS != nil {
		accepted := micros.Micros(j.rec.AcceptedMS) * micros.Millisecond
		deadline = accepted + micros.FromSeconds(*j.sub.DeadlineS)
	}
	for _, d := range c.jobs.dependents[j.id] {
		priority = max(priority, d.priority)
		if d.deadline < micros.Never {
			deadline = min(deadline, d.deadline-c.estimates.Expect(d.sub))
		}
	}
	return priority, deadline
}

// propagatePriority updates the effective priority and deadline of all direct and transitive
// dependencies of a job.
func (c *Controller) propagatePriority(j *job) {
	for stack := []*job{j}; len(stack) > 0; {
		dependent := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for id := range dependent.unmetDependencies {
			if d := c.jobs.open[id]; d != nil && c.updatePriority(d) {
				stack = append(stack, d)
			}
		}
	}
}

// readUnknownDependencies reads the records of dependencies that are not in the job table, for the
// jobs that this node owns. Such a dependency may have ended and been evicted from memory.
func (c *Controller) readUnknownDependencies() {
	t := &c.jobs
	if len(t.unknownDependencies) == 0 {
		return
	}
	ownedAndBlocked := func(d *job) bool { return d.run != nil && !d.dependencyCancelled }
	for _, id := range sortedKeys(t.unknownDependencies) {
		if t.readsInFlight >= maxDependencyReads {
			return
		}
		if c.now < t.unknownDependencies[id] || !slices.ContainsFunc(t.dependents[id], ownedAndBlocked) {
			continue
		}
		t.unknownDependencies[id] = c.now + unknownReadInterval
		t.readsInFlight++
		c.readJob(statestore.ClassDependents, id, func(statestore.Lookup) { t.readsInFlight-- })
	}
}

// lookUpDependencies finds out whether all dependencies of a submission were accepted. It calls done
// with LookupFound if they were, with LookupMissing if one certainly was not, and with LookupFailed
// if that can't be determined now.
func (c *Controller) lookUpDependencies(sub wire.Submission, done func(statestore.Lookup)) {
	var unknown []string
	for _, id := range sub.DependsOn {
		if !c.jobs.contains(id) {
			unknown = append(unknown, id)
		}
	}
	if len(unknown) == 0 {
		done(statestore.LookupFound)
		return
	}
	remaining, result := len(unknown), statestore.LookupFound
	for _, id := range unknown {
		c.readJobForUser(id, func(found statestore.Lookup) {
			if found == statestore.LookupMissing || found == statestore.LookupFailed && result == statestore.LookupFound {
				result = found
			}
			remaining--
			if remaining == 0 {
				done(result)
			}
		})
	}
}
