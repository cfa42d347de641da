package controller

import (
	"slices"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
)

const (
	// schedulingInterval is the time between two rounds over whole shards. Capacity that comes
	// free is used at once, in the reply to the heartbeat that says so; see scheduleOnMachine.
	schedulingInterval = 50 * micros.Millisecond

	// A round visits each machine of a shard maxVisitsPerMachine times at most, or
	// minVisitsPerRound in all where machines are few, and goes on with the rest of the queue in
	// the next round: a job that is bound to a zone is compared with all machines that have
	// capacity, whether it fits or not, and other inputs must not wait for hundreds of such jobs.
	maxVisitsPerMachine = 4
	minVisitsPerRound   = 4000

	// maxJobsPerReply bounds how many waiting jobs are considered in the reply to one heartbeat.
	maxJobsPerReply = 100

	// pruneInterval is after how many jobs of the queue a round drops full machines.
	pruneInterval = 8
)

// maxVisitsPerRound returns how much a round may visit in a shard with so many machines.
func maxVisitsPerRound(machines int) uint64 {
	return uint64(max(maxVisitsPerMachine*machines, minVisitsPerRound))
}

// schedulingState is what scheduling keeps between rounds and steps.
type schedulingState struct {
	nextRoundAt       micros.Micros // when the next round may run
	scheduledLastStep bool          // the step before ran a round

	preemption preemptionBudget
	// candidateScratch and victimScratch are the storage of the lists of candidates and victims.
	candidateScratch []candidate
	victimScratch    []scheduling.Victim
}

// beginRound reports whether a round is due and may run now, and if so notes that it does.
func (c *Controller) beginRound() bool {
	if !c.schedulingDue || c.now < c.scheduling.nextRoundAt {
		return false
	}
	c.schedulingDue = false
	c.scheduling.scheduledLastStep = true
	c.scheduling.nextRoundAt = c.now + schedulingInterval
	return true
}

// restAfterRound puts the next round off if the step before ran one.
func (st *schedulingState) restAfterRound(until micros.Micros) {
	if st.scheduledLastStep {
		st.scheduledLastStep = false
		st.nextRoundAt = max(st.nextRoundAt, until)
	}
}

// schedule starts waiting tasks where there is capacity, in the shards of this controller, if a
// round is due.
func (c *Controller) schedule() {
	if c.beginRound() {
		for _, s := range c.ownership.shards {
			if c.ownership.activeShard(s.id) != nil {
				c.scheduleShard(s)
			}
		}
	} else if c.schedulingDue {
		c.wakeIn(c.scheduling.nextRoundAt - c.now)
	}
	c.flushCommands()
}

// scheduleLater has the next round run within d.
func (c *Controller) scheduleLater(d micros.Micros) {
	c.wakeIn(d)
	c.schedulingDue = true
}

// schedulingRound is a round over one shard.
type schedulingRound struct {
	shard *shard
	// free are the machines that have capacity left.
	free []*machine
	// unplaced are the tasks for which no capacity was found.
	unplaced []unplacedTask
}

// scheduleShard assigns waiting tasks of a shard to its machines.
func (c *Controller) scheduleShard(s *shard) {
	c.refresh(s)
	s.reconciled = c.ownership.allReconciled(s)
	queue := c.queue(s)
	round := schedulingRound{shard: s, free: c.machinesWithCapacity(s, queue)}
	c.prefetch(s, round.free, true)
	c.scheduling.preemption.reset()
	c.scheduleQueue(&round, queue)
	c.prefetch(s, round.free, false)
}

// machinesWithCapacity returns a shard's machines on which tasks of the queue might be started.
func (c *Controller) machinesWithCapacity(s *shard, queue []*job) []*machine {
	needsNoCPU := slices.ContainsFunc(queue, func(j *job) bool { return j.sub.CPUs <= scheduling.Tolerance })
	var free []*machine
	for _, m := range s.machines {
		c.visited++
		if m.view == nil {
			continue
		}
		if !c.usable(m) {
			if backoff := m.view.backoffUntil - c.now; backoff > 0 {
				c.scheduleLater(backoff)
			}
			continue
		}
		if left := c.freeCapacity(m); left.CPUs > scheduling.Tolerance || needsNoCPU && left.MemGB > scheduling.Tolerance {
			free = append(free, m)
		}
	}
	return free
}

// scheduleQueue schedules the jobs of the queue from the one on at which the round before
// stopped.
func (c *Controller) scheduleQueue(round *schedulingRound, queue []*job) {
	s := round.shard
	first := s.resumeAt
	s.resumeAt = 0
	visitedBefore := c.visited
	for i := range queue {
		position := (first + i) % len(queue)
		j := queue[position]
		c.visited++
		if !c.runnable(s, j) {
			continue
		}
		if i%pruneInterval == pruneInterval-1 {
			round.free = slices.DeleteFunc(round.free, func(m *machine) bool { return c.freeCapacity(m).CPUs <= scheduling.Tolerance })
		}
		if c.visited-visitedBefore > maxVisitsPerRound(len(s.machines)) {
			s.resumeAt = position
			c.scheduleLater(schedulingInterval)
			return
		}
		c.scheduleJob(round, j)
	}
}

// scheduleJob assigns a job's waiting tasks to machines with capacity. Where there is none, it
// has tasks of lower priority stopped or capacity reserved.
func (c *Controller) scheduleJob(round *schedulingRound, j *job) {
	s := round.shard
	c.endRetryBackoff(j)
	if c.retryPending(j) || c.quota.overLimit(s, j) {
		return
	}
	if !slices.ContainsFunc(round.unplaced, func(u unplacedTask) bool { return u.rulesOut(j) }) {
		if !c.packJob(round, j) {
			return
		}
		if !j.sub.SameZone && !j.sub.Spread { // else there may be capacity for another job's tasks
			round.unplaced = append(round.unplaced, unplacedTask{resourcesOf(j.sub), j.constraint})
		}
	}
	c.preemptFor(s, j)
	c.reserveCapacity(s, j)
}

// endRetryBackoff ends the delays between a job's attempts if it is no longer suspected to fail
// everywhere.
func (c *Controller) endRetryBackoff(j *job) {
	r := j.run
	if r.nextRetryAt == 0 || c.jobAtFault(j) {
		return
	}
	c.log(Info, "job runs elsewhere after all", "job", j.id)
	r.retryBackoff = 0
	r.nextRetryAt = 0
}

// retryPending reports whether no task of a job may be started now because it has failed on
// several machines and succeeded on none: such a job runs one task at a time, at growing
// intervals, until its user cancels it.
func (c *Controller) retryPending(j *job) bool {
	r := j.run
	if r.nextRetryAt == 0 {
		return false
	}
	if len(r.active) > 0 {
		return true
	}
	if c.now < r.nextRetryAt {
		c.scheduleLater(r.nextRetryAt - c.now)
		return true
	}
	return false
}

// packJob assigns a job's waiting tasks to the machines that suit it best, and reports whether
// tasks are left that found no capacity.
func (c *Controller) packJob(round *schedulingRound, j *job) bool {
	s := round.shard
	candidates := c.candidates(j, round.free)
	zones := c.zonesOf(j)
	for _, best := range candidates {
		if !c.packMachine(s, j, best.machine, zones) {
			return false
		}
	}
	_, waiting := j.nextTask()
	return waiting && !c.quota.overLimit(s, j)
}

// scheduleOnMachine assigns waiting tasks that fit to a machine that has just sent a heartbeat,
// in the order of the queue.
func (c *Controller) scheduleOnMachine(s *shard, m *machine) {
	v := m.view
	if v == nil || c.ownership.activeShard(s.id) == nil {
		return
	}
	c.refresh(s)
	if !c.usable(m) {
		return
	}
	cpus := c.types.cpusOf(m)
	considered := 0
	for _, j := range c.waiting(s) {
		c.visited++
		if cpus-v.usage.total.CPUs <= scheduling.Tolerance || considered >= maxJobsPerReply {
			return
		}
		if !c.runnable(s, j) {
			continue
		}
		considered++
		if j.run.nextRetryAt != 0 || c.quota.overLimit(s, j) {
			continue
		}
		if c.fits(m, j) {
			c.packMachine(s, j, m, c.zonesOf(j))
		} else {
			c.preemptOnMachine(j, m)
		}
	}
}
