package controller

import (
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file reads the records of dependencies that are not in the job table.

const (
	// unknownReadDelay is the time for which the watch may still deliver an unknown dependency
	// before its record is read.
	unknownReadDelay = micros.Second
	// unknownReadInterval is the time between two reads of the same unknown dependency.
	unknownReadInterval = 2 * micros.Second
	// maxDependencyReads bounds the reads of unknown dependencies in flight.
	maxDependencyReads = 4
	// dependencyReadNotNeeded is the time of the next read of an unknown dependency for which none
	// of this node's jobs waits.
	dependencyReadNotNeeded = micros.Never
)

// readUnknownDependencies reads the records of dependencies that are not in the job table, for the
// jobs that this node owns. Such a dependency may have ended and been evicted from memory.
func (c *Controller) readUnknownDependencies() {
	t := &c.jobs
	for _, id := range t.dueDependencyReads(c.now) {
		if t.readsInFlight >= maxDependencyReads {
			return
		}
		if !c.awaitedHere(id) {
			t.unknownDependencies[id] = dependencyReadNotNeeded // until requestDependencyReads
			continue
		}
		t.unknownDependencies[id] = c.now + unknownReadInterval
		t.readsInFlight++
		c.readJob(statestore.ClassDependents, id, func(statestore.Lookup) { t.readsInFlight-- })
	}
}

// dueDependencyReads returns the unknown dependencies that may be read now, in order.
func (t *jobTable) dueDependencyReads(now micros.Micros) (due []string) {
	for id, at := range t.unknownDependencies {
		if now >= at {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// awaitedHere reports whether a job that this node owns waits for a dependency.
func (c *Controller) awaitedHere(id string) bool {
	return slices.ContainsFunc(c.jobs.dependents[id].jobs, func(d *job) bool {
		c.visited++
		return d.run != nil && !d.dependencyCancelled
	})
}

// requestDependencyReads has the unknown dependencies of a job read that this node owns from now on.
func (c *Controller) requestDependencyReads(j *job) {
	if len(c.jobs.unknownDependencies) == 0 {
		return
	}
	for _, id := range j.sub.DependsOn {
		c.visited++
		if c.jobs.unknownDependencies[id] == dependencyReadNotNeeded {
			c.jobs.unknownDependencies[id] = c.now
		}
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
