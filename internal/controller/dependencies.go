package controller

import (
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// A job may depend on others: none of its tasks starts before each of them is done by
// its own record. Until then it is held: pending, and without a part in any limit,
// guarantee, queue or demand. Every node knows which open jobs wait for which, and
// how those that they need stand; the owner of a dependent acts on it, at any time:
// when it learns of the job, takes it over, or learns of an end.

// storable: the value fits the limits of the state service, those to come included.
func (c *Controller) storable(value wire.Raw) bool {
	return wire.StoredSize(value, c.cfg.ValueBytes) <= c.cfg.ValueBytes
}

// linkDependencies puts a job that has become known beside those that it needs and those that need
// it, and finds out what it inherits from either.
func (c *Controller) linkDependencies(j *job) {
	c.updatePriority(j)
	t := &c.jobs
	delete(t.unknown, j.id)
	for _, id := range j.sub.DependsOn {
		f, over := t.final(id)
		switch {
		case over && f.state == wire.StateCancelled:
			c.markDependencyCancelled(j)
		case over && f.recorded:
			j.unblockedMS = max(j.unblockedMS, f.endMS)
			continue
		}
		if j.needs == nil {
			j.needs = map[string]bool{}
		}
		j.needs[id] = true
		t.dependents[id] = append(t.dependents[id], j)
		if d := t.open[id]; d == nil {
			t.unknown[id] = c.now + micros.Second // the watch may yet bring it
		} else if d.dependencyCancelled {
			c.markDependencyCancelled(j)
		}
	}
	c.propagatePriority(j)
}

// unlinkDependencies takes a job that is over away from those that it needed.
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

// dependencyEnded lets those go on that waited for a job, or cancels them with it.
func (c *Controller) dependencyEnded(id string, f finalJob) {
	t := &c.jobs
	delete(t.unknown, id)
	if f.state == wire.StateCancelled {
		c.markDependencyCancelled(t.dependents[id]...)
		return
	}
	waiting := t.dependents[id]
	if len(waiting) == 0 {
		return
	}
	if !f.recorded {
		t.unknown[id] = c.now // nothing starts on another controller's word
		return
	}
	delete(t.dependents, id)
	for _, d := range waiting {
		delete(d.needs, id)
		end := f.endMS
		if end == 0 {
			end = c.wall.Millis() // recorded by a version that does not tell
		}
		d.unblockedMS = max(d.unblockedMS, end)
		if d.blocked() || d.dependencyCancelled || d.run == nil {
			continue
		}
		s := c.ownership.shards[d.shard]
		s.queueStale, c.schedulingDue = true, true
		d.run.arrivedAt = c.now
		c.noteArrival(s, d)
		c.log(Info, "job unblocked, all its dependencies are done", "job", d.id, "after_ms", c.wall.Millis()-end, "class", d.sub.Class, "priority", d.priority)
	}
}

// noteArrival counts work that may start from now on.
func (c *Controller) noteArrival(s *shard, j *job) {
	s.arrivals.add(c.now, float64(j.sub.Tasks)*j.sub.CPUs*c.estimates.expect(j.sub).Seconds())
}

// markDependencyCancelled marks jobs as to be cancelled, since one that they need is, and with them all
// that need them, however deep: none of them can ever start. Each is recorded by its
// own owner, and called cancelled only then.
func (c *Controller) markDependencyCancelled(jobs ...*job) {
	n, first := 0, ""
	for stack := slices.Clone(jobs); len(stack) > 0; {
		d := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if d.dependencyCancelled {
			continue
		}
		d.dependencyCancelled = true
		c.cascade.add(d)
		if d.run != nil && !d.run.end.requested() {
			d.run.end.request(wire.StateCancelled) // recordDependents records it
			c.ownership.shards[d.shard].queueStale = true
			if n++; n == 1 {
				first = d.id
			}
		}
		stack = append(stack, c.jobs.dependents[d.id]...)
	}
	if n > 0 {
		c.log(Info, "cancelling dependents of a cancelled job", "first", first, "count", n)
		c.wakeIn(0)
	}
}

// namesCancelled: a job that is to be accepted needs one that is cancelled, directly
// or through others, as far as this node knows.
func (c *Controller) namesCancelled(sub *wire.Submission) bool {
	return slices.ContainsFunc(sub.DependsOn, func(id string) bool {
		f, over := c.jobs.final(id)
		d := c.jobs.open[id]
		return over && f.state == wire.StateCancelled || d != nil && d.dependencyCancelled
	})
}

// maxBlockedViewAge is how old the view of jobs may be by which a held job is called pending,
// counted from when what brought it was asked for.
const maxBlockedViewAge = 10 * micros.Second

// mayWait: a job may be called pending as far as those go that it needs. Of one that
// needs a cancelled job nobody is told so, and of a held one only while this node's
// view of jobs is new enough to know: after an outage of the state service a
// cancellation that its user was told of long ago may not have come here yet.
func (c *Controller) mayWait(j *job) bool {
	if j.dependencyCancelled || !j.blocked() {
		return !j.dependencyCancelled
	}
	w := &c.ownership.jobWatch
	if !w.ready || c.now-w.completeAsOf > min(maxBlockedViewAge, c.cfg.Cancel/2) {
		return false
	}
	return c.knowsAllNeeded(j)
}

// knowsAllNeeded: of everything that a held job needs, directly or through others, this
// node knows how it stands. A cancelled one that has left memory may be far above.
func (c *Controller) knowsAllNeeded(j *job) bool {
	seen := map[string]bool{}
	for stack := []*job{j}; len(stack) > 0; {
		at := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for id := range at.needs {
			if _, unknown := c.jobs.unknown[id]; unknown {
				return false
			}
			if up := c.jobs.open[id]; up != nil && len(up.needs) > 0 && !seen[id] {
				seen[id] = true
				stack = append(stack, up)
			}
		}
	}
	return true
}

// updatePriority sets a job's effective priority and deadline by those that need it, and tells
// whether they have changed. It may be treated as having the priority of any of them;
// and where one is due, it must be done as much earlier as that one takes.
func (c *Controller) updatePriority(j *job) bool {
	prio, _ := wire.PriorityOf(j.sub.Priority)
	due := micros.Never
	if j.sub.DeadlineS != nil {
		due = micros.Micros(j.rec.AcceptedMS)*micros.Millisecond + micros.FromSeconds(*j.sub.DeadlineS)
	}
	for _, d := range c.jobs.dependents[j.id] {
		prio = max(prio, d.priority)
		if d.deadline < micros.Never {
			due = min(due, d.deadline-c.estimates.expect(d.sub))
		}
	}
	if prio == j.priority && due == j.deadline {
		return false
	}
	j.priority, j.deadline = prio, due
	c.ownership.shards[j.shard].queueStale = true
	return true
}

// propagatePriority lets a job's priority and deadline flow up to all that it needs.
func (c *Controller) propagatePriority(j *job) {
	for stack := []*job{j}; len(stack) > 0; {
		d := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for id := range d.needs {
			if up := c.jobs.open[id]; up != nil && c.updatePriority(up) {
				stack = append(stack, up)
			}
		}
	}
}

// maxDependencyReads bounds the reads of unknown dependencies under way.
const maxDependencyReads = 4

// readUnknown reads dependencies of jobs of this node that are not known here: their
// ends may have left memory.
func (c *Controller) readUnknown() {
	t := &c.jobs
	if len(t.unknown) == 0 {
		return
	}
	for _, id := range sortedKeys(t.unknown) {
		if t.readsInFlight >= maxDependencyReads {
			return
		}
		if c.now < t.unknown[id] || !slices.ContainsFunc(t.dependents[id], func(d *job) bool { return d.run != nil && !d.dependencyCancelled }) {
			continue
		}
		t.unknown[id] = c.now + 2*micros.Second
		t.readsInFlight++
		c.readJob(classDependents, id, func(jobLookup) { t.readsInFlight-- })
	}
}

// lookUpDependencies finds out whether all jobs that a submission names were accepted:
// found, or missing if one surely was not, or failed if that can't be said now.
func (c *Controller) lookUpDependencies(sub wire.Submission, done func(jobLookup)) {
	var unknown []string
	for _, id := range sub.DependsOn {
		if !c.knows(id) {
			unknown = append(unknown, id)
		}
	}
	if len(unknown) == 0 {
		done(lookupFound)
		return
	}
	remaining, all := len(unknown), lookupFound
	for _, id := range unknown {
		c.readForUser(id, func(found jobLookup) {
			if found == lookupMissing || found == lookupFailed && all == lookupFound {
				all = found
			}
			remaining--
			if remaining == 0 {
				done(all)
			}
		})
	}
}
