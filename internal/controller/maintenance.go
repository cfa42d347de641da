package controller

import "garnethitch/internal/micros"

// The time between two runs of maintain: the longer one if every shard has an owner and is
// reconciled. Each run wakes the process, even if nothing is due.
const (
	busyInterval = 100 * micros.Millisecond
	calmInterval = 300 * micros.Millisecond
)

// A scheduling round, or a walk over all machines and jobs, is followed by restFactor times
// what it took, at most maxRest, without another: on a processor that does not suffice, lease
// renewals, heartbeats and answers must still be served in time.
const (
	restFactor = 4
	maxRest    = 2 * micros.Second
)

// stallThreshold is the time since maintenance last ran from which on the process is taken to
// have been stalled: it had no processor time, or was frozen.
const stallThreshold = micros.Second

// maintenanceState is what maintenance keeps between steps.
type maintenanceState struct {
	lastRunAt      micros.Micros // when maintain last ran
	nextWalkAt     micros.Micros // when maintain may next walk over all machines and jobs
	walkedLastStep bool          // the step before walked over all machines and jobs
}

// Work is what one step cost, by a measure that does not depend on the machine it runs on.
type Work struct {
	// Visited counts the machines, jobs and attempts that were visited.
	Visited uint64
	// Round is set if the step ran a scheduling round over whole shards or a walk over all
	// machines and jobs.
	Round bool
}

// LastWork returns what the last step cost.
func (c *Controller) LastWork() Work {
	return Work{Visited: c.visited - c.visitedBefore, Round: c.scheduling.scheduledLastStep || c.maintenance.walkedLastStep}
}

// Wake returns the steady time at which Step is to be called at the latest.
func (sc *stepContext) Wake() micros.Micros { return sc.wakeAt }

// wakeIn has Step called after d at the latest, at least a millisecond from now.
func (sc *stepContext) wakeIn(d micros.Micros) {
	sc.wakeAt = min(sc.wakeAt, sc.now+max(d, micros.Millisecond))
}

// nextMaintenance returns when maintain runs next.
func (c *Controller) nextMaintenance() micros.Micros {
	at := c.maintenance.lastRunAt + c.maintenanceInterval()
	if f := &c.fleet; len(f.registrations) > 0 {
		at = min(at, max(f.registrationsDueAt, c.maintenance.lastRunAt+busyInterval))
	}
	return at
}

// maintenanceInterval returns the time between two runs of maintain.
func (c *Controller) maintenanceInterval() micros.Micros {
	if !c.ownership.viewComplete() || !c.types.known() {
		return busyInterval
	}
	for _, s := range c.ownership.shards {
		if s.ownerEpoch == 0 || s.owned() && !s.recovered() {
			return busyInterval
		}
	}
	return calmInterval
}

// viewComplete reports whether this controller has a lease, has listed all keys that it watches,
// and knows a leader.
func (o *ownershipState) viewComplete() bool {
	return o.lease.Held() && o.controlWatch.Ready() && o.jobWatch.Ready() && o.leader.ownerEpoch != 0
}

// recovered reports whether a new owner of the shard has all that it needs of its predecessor.
func (s *shard) recovered() bool { return s.reconciled && s.jobsViewCurrent && s.checkpointsLoaded }

// noteStall notes that the process was stalled before this step.
func (c *Controller) noteStall() {
	if c.now-c.maintenance.lastRunAt > stallThreshold {
		c.lastStalledAt = c.now
	}
}

// restAfter puts off the next round and the next walk if the step before ran one and took so
// long.
func (c *Controller) restAfter(took micros.Micros) {
	until := c.now + min(restFactor*took, maxRest)
	c.scheduling.restAfterRound(until)
	c.maintenance.restAfterWalk(until)
}

// restAfterWalk puts the next walk off if the step before made one.
func (st *maintenanceState) restAfterWalk(until micros.Micros) {
	if st.walkedLastStep {
		st.walkedLastStep = false
		st.nextWalkAt = until
	}
}

// runTimers runs maintenance if it is due, else follows the watches.
func (c *Controller) runTimers() {
	if c.now >= c.nextMaintenance() {
		c.maintenance.lastRunAt = c.now
		c.wakeAt = c.now + c.maintenanceInterval()
		c.maintain()
		return
	}
	c.followAll()
}

// followAll makes the next request of each watch whose time has come.
func (c *Controller) followAll() {
	c.continueWatch(&c.ownership.controlWatch)
	c.continueWatch(&c.ownership.jobWatch)
	c.followQuota()
}

// maintain does what becomes due by time alone.
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

// jitter returns d, more or less by up to a quarter.
func (sc *stepContext) jitter(d micros.Micros) micros.Micros {
	return d*3/4 + micros.Micros(sc.rng.Int64N(int64(d/2)+1))
}
