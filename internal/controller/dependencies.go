package controller

import (
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// A job may depend on others (a DAG): none of its tasks starts before each of them is done
// by its own record. Until then it is blocked: pending, and without a part in any limit,
// guarantee, queue or demand. Every node knows which open jobs wait for which, and the
// states of those that they need; the owner of a dependent acts on it when it first sees the
// job's record, when it becomes the job's owner, and when a job that is needed ends.

const (
	// unknownReadDelay is how long a dependency that is not known may yet come by the
	// watch before it is read.
	unknownReadDelay = micros.Second
	// unknownReadInterval is the time between two reads of one.
	unknownReadInterval = 2 * micros.Second
	// maxDependencyReads bounds the reads of unknown dependencies in flight.
	maxDependencyReads = 4
	// maxBlockedViewAge is the age of the view of jobs up to which a blocked job is
	// answered as pending, counted from when what brought the view was asked for.
	maxBlockedViewAge = 10 * micros.Second
)

// linkDependencies adds a job that has become known to the graph of dependencies, and
// gives it what it inherits from the jobs that it needs and those that need it.
func (c *Controller) linkDependencies(j *job) {
	c.updatePriority(j)
	delete(c.jobs.unknown, j.id)
	for _, id := range j.sub.DependsOn {
		c.linkDependency(j, id)
	}
	c.propagatePriority(j)
}

// linkDependency has a job wait for another, unless that is done on record.
func (c *Controller) linkDependency(j *job, id string) {
	t := &c.jobs
	f, over := t.final(id)
	if over && f.state == wire.StateCancelled {
		c.markDependencyCancelled(j)
	} else if over && f.recorded {
		j.unblockedMS = max(j.unblockedMS, f.endMS)
		return
	}
	if j.needs == nil {
		j.needs = map[string]bool{}
	}
	j.needs[id] = true
	t.dependents[id] = append(t.dependents[id], j)
	if d := t.open[id]; d == nil {
		t.unknown[id] = c.now + unknownReadDelay
	} else if d.dependencyCancelled {
		c.markDependencyCancelled(j)
	}
}

// unlinkDependencies removes a job that is over from the dependents of those that it needed.
func (c *Controller) unlinkDependencies(j *job) {
	t := &c.jobs
	for _, id := range j.sub.DependsOn {
		if !j.needs[id] {
			continue
		}
		rest := slices.DeleteFunc(t.dependents[id], func(d *job) bool { return d == j })
		if len(rest) == 0 {
			delete(t.dependents, id)
			delete(t.unknown, id)
		} else {
			t.dependents[id] = rest
		}
	}
	c.propagatePriority(j)
}

// dependencyEnded unblocks the jobs that waited for one that is over, or cancels them with
// it.
func (c *Controller) dependencyEnded(id string, f finalJob) {
	t := &c.jobs
	delete(t.unknown, id)
	dependents := t.dependents[id]
	if f.state == wire.StateCancelled {
		c.markDependencyCancelled(dependents...)
		return
	}
	if len(dependents) == 0 {
		return
	}
	if !f.recorded {
		t.unknown[id] = c.now // read first: nothing starts on another controller's word
		return
	}
	delete(t.dependents, id)
	endMS := f.endMS
	if endMS == 0 {
		endMS = c.wall.Millis() // recorded by an older version, without the time
	}
	for _, d := range dependents {
		delete(d.needs, id)
		d.unblockedMS = max(d.unblockedMS, endMS)
		if !d.blocked() && !d.dependencyCancelled && d.run != nil {
			c.jobUnblocked(d, endMS)
		}
	}
}

// jobUnblocked lets an owned job start whose last dependency was done at a time of day.
func (c *Controller) jobUnblocked(j *job, endMS int64) {
	s := c.ownership.shards[j.shard]
	s.queueStale = true
	c.schedulingDue = true
	j.run.arrivedAt = c.now
	c.noteArrival(s, j)
	c.log(Info, "job unblocked, all its dependencies are done", "job", j.id, "after_ms", c.wall.Millis()-endMS, "class", j.sub.Class, "priority", j.priority)
}

// noteArrival counts work that may start from now on.
func (c *Controller) noteArrival(s *shard, j *job) {
	work := float64(j.sub.Tasks) * j.sub.CPUs * c.estimates.Expect(j.sub).Seconds()
	s.arrivals.Add(c.now, work)
}

// markDependencyCancelled marks jobs as to be cancelled, since one that they need is, and
// with them all that need them, however deep: none of them can ever start. Each is recorded
// by its own owner, and called cancelled only then.
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
		if c.requestDependentEnd(j) {
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

// requestDependentEnd has an owned job end as cancelled, and reports whether it was to end
// in no way before. recordDependents records it.
func (c *Controller) requestDependentEnd(j *job) bool {
	if j.run == nil || j.run.end.requested() {
		return false
	}
	j.run.end.request(wire.StateCancelled)
	c.ownership.shards[j.shard].queueStale = true
	return true
}

// namesCancelled reports whether a job that is to be accepted needs one that is cancelled,
// directly or through others, as far as this node knows.
func (t *jobTable) namesCancelled(sub *wire.Submission) bool {
	return slices.ContainsFunc(sub.DependsOn, func(id string) bool {
		if f, over := t.final(id); over && f.state == wire.StateCancelled {
			return true
		}
		d := t.open[id]
		return d != nil && d.dependencyCancelled
	})
}

// mayWait reports whether a job may be answered as pending as far as its dependencies go.
// One that needs a cancelled job may not, and a blocked one only while this node's view of
// jobs is new enough: after an outage of the state service a cancellation that its user was
// answered long ago may not have come here yet.
func (c *Controller) mayWait(j *job) bool {
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
	return c.jobs.knowsAllNeeded(j)
}

// knowsAllNeeded reports whether this node knows the state of everything that a blocked job
// needs, directly or through others. A cancelled one that left memory may be far above.
func (t *jobTable) knowsAllNeeded(j *job) bool {
	visited := map[string]bool{}
	for stack := []*job{j}; len(stack) > 0; {
		dependent := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for id := range dependent.needs {
			if _, unknown := t.unknown[id]; unknown {
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

// updatePriority sets a job's effective priority and deadline, and reports whether they
// have changed.
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

// effectivePriority returns the priority of a job and its deadline by the time of day, with
// those of its dependents: it has the highest of their priorities, and must be done before
// each of their deadlines by as much as the dependent takes.
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

// propagatePriority updates the priority and deadline of all jobs that a job needs, directly
// or through others.
func (c *Controller) propagatePriority(j *job) {
	for stack := []*job{j}; len(stack) > 0; {
		dependent := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for id := range dependent.needs {
			if d := c.jobs.open[id]; d != nil && c.updatePriority(d) {
				stack = append(stack, d)
			}
		}
	}
}

// readUnknown reads dependencies of this node's jobs that are not known here: their ends
// may have left memory.
func (c *Controller) readUnknown() {
	t := &c.jobs
	if len(t.unknown) == 0 {
		return
	}
	ownedAndBlocked := func(d *job) bool { return d.run != nil && !d.dependencyCancelled }
	for _, id := range sortedKeys(t.unknown) {
		if t.readsInFlight >= maxDependencyReads {
			return
		}
		if c.now < t.unknown[id] || !slices.ContainsFunc(t.dependents[id], ownedAndBlocked) {
			continue
		}
		t.unknown[id] = c.now + unknownReadInterval
		t.readsInFlight++
		c.readJob(statestore.ClassDependents, id, func(statestore.Lookup) { t.readsInFlight-- })
	}
}

// lookUpDependencies finds out whether all jobs that a submission names were accepted:
// found, or missing if one surely was not, or failed if that can't be said now.
func (c *Controller) lookUpDependencies(sub wire.Submission, done func(statestore.Lookup)) {
	var unknown []string
	for _, id := range sub.DependsOn {
		if !c.jobs.knows(id) {
			unknown = append(unknown, id)
		}
	}
	if len(unknown) == 0 {
		done(statestore.LookupFound)
		return
	}
	remaining, all := len(unknown), statestore.LookupFound
	for _, id := range unknown {
		c.readJobForUser(id, func(found statestore.Lookup) {
			if found == statestore.LookupMissing || found == statestore.LookupFailed && all == statestore.LookupFound {
				all = found
			}
			remaining--
			if remaining == 0 {
				done(all)
			}
		})
	}
}
