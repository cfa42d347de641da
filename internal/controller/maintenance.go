package controller

import "garnethitch/internal/micros"

// The time between two runs of maintain. idleMaintenanceInterval applies if this controller's view
// is complete, it knows the machine types, each shard has an owner, and each shard that this
// controller owns is recovered. It is longer because each run wakes the process, even if nothing is
// due.
const (
	activeMaintenanceInterval = 100 * micros.Millisecond
	idleMaintenanceInterval   = 300 * micros.Millisecond
)

// After a scheduling round, or a walk over all machines and jobs, the next one is put off for
// restFactor times as long as it took, but at most for maxRest: on a processor that is too slow,
// lease renewals, heartbeats and answers must still be served in time.
const (
	restFactor = 4
	maxRest    = 2 * micros.Second
)

// stallThreshold is the time since maintenance last ran above which the process is taken to have
// been stalled, because it got no processor time or was suspended.
const stallThreshold = micros.Second

// maintenanceState is the state of maintenance between steps.
type maintenanceState struct {
	lastRunAt      micros.Micros // when maintain last ran
	nextWalkAt     micros.Micros // when maintain may next walk over all machines and jobs
	walkedLastStep bool          // the last step walked over all machines and jobs
}

// Work is the cost of one step, in a measure that does not depend on the speed of the computer.
type Work struct {
	// Visited counts the machines, jobs and attempts that were visited.
	Visited uint64
	// Round is set if the step ran a scheduling round over whole shards or a walk over all
	// machines and jobs.
	Round bool
}

// LastWork returns the cost of the last step.
func (c *Controller) LastWork() Work {
	return Work{Visited: c.visited - c.visitedBefore, Round: c.scheduling.scheduledLastStep || c.maintenance.walkedLastStep}
}

// Wake returns the latest time of the monotonic clock at which Step must be called next; see Instant.
func (sc *stepContext) Wake() micros.Micros { return sc.wakeAt }

// wakeIn requests a step within d, or within a millisecond if d is less: it lowers the time that
// Wake returns if that is later.
func (sc *stepContext) wakeIn(d micros.Micros) {
	sc.wakeAt = min(sc.wakeAt, sc.now+max(d, micros.Millisecond))
}

// nextMaintenance returns when maintain is due. Registrations that are due make it run earlier.
func (c *Controller) nextMaintenance() micros.Micros {
	at := c.maintenance.lastRunAt + c.maintenanceInterval()
	if f := &c.fleet; len(f.registrations) > 0 {
		at = min(at, max(f.registrationsDueAt, c.maintenance.lastRunAt+activeMaintenanceInterval))
	}
	return at
}

// maintenanceInterval returns the time between two runs of maintain.
func (c *Controller) maintenanceInterval() micros.Micros {
	if !c.ownership.viewComplete() || !c.types.known() {
		return activeMaintenanceInterval
	}
	for _, s := range c.ownership.shards {
		if s.ownerEpoch == 0 || s.owned() && !s.recovered() {
			return activeMaintenanceInterval
		}
	}
	return idleMaintenanceInterval
}

// viewComplete reports whether this controller has a lease, has listed all keys that it watches,
// and knows a leader.
func (o *ownershipState) viewComplete() bool {
	return o.lease.Held() && o.controlWatch.Ready() && o.jobWatch.Ready() && o.leader.ownerEpoch != 0
}

// recovered reports whether a new owner of the shard has reconciled its machines, has a current
// view of its jobs, and has loaded its checkpoints.
func (s *shard) recovered() bool { return s.reconciled && s.jobsViewCurrent && s.checkpointsLoaded }

// detectStall records the time of this step if the process was stalled before it.
func (c *Controller) detectStall() {
	if c.now-c.maintenance.lastRunAt > stallThreshold {
		c.lastStalledAt = c.now
	}
}

// restAfter puts off the next scheduling round if the last step ran a round, and the next walk if it
// ran a walk. took is how long the last step took.
func (c *Controller) restAfter(took micros.Micros) {
	until := c.now + min(restFactor*took, maxRest)
	c.scheduling.postponeNextRound(until)
	c.maintenance.restAfterWalk(until)
}

// restAfterWalk puts off the next walk until the given time if the last step ran one.
func (st *maintenanceState) restAfterWalk(until micros.Micros) {
	if st.walkedLastStep {
		st.walkedLastStep = false
		st.nextWalkAt = until
	}
}

// runTimers runs maintenance if it is due. Otherwise it only sends the due requests of the watches.
func (c *Controller) runTimers() {
	if c.now >= c.nextMaintenance() {
		c.maintenance.lastRunAt = c.now
		c.wakeAt = c.now + c.maintenanceInterval()
		c.maintain()
		return
	}
	c.followWatches()
}

// followWatches sends the next request of each watch that is due.
func (c *Controller) followWatches() {
	c.continueWatch(&c.ownership.controlWatch)
	c.continueWatch(&c.ownership.jobWatch)
	c.followQuota()
}

// maintain runs the periodic work. Work that visits all machines and jobs is skipped while
// restAfterWalk has put it off.
func (c *Controller) maintain() {
	c.maintainOwnership()
	c.sendDueStatuses()
	c.maintainQuota()
	c.logShardDecisions()
	if c.now < c.maintenance.nextWalkAt {
		return
	}
	c.maintenance.walkedLastStep = true
	c.checkWorkerContact()
	c.maintainMachines()
	c.maintainJobs()
	c.maintainFleet()
}

// jitter returns a random duration between three and five quarters of d.
func (sc *stepContext) jitter(d micros.Micros) micros.Micros {
	return d*3/4 + micros.Micros(sc.rng.Int64N(int64(d/2)+1))
}
