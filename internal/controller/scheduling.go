package controller

import (
	"slices"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
)

const (
	// schedulingInterval is the time between two scheduling rounds over whole shards. It does not
	// delay the use of capacity that a heartbeat reports free: the reply to that heartbeat already
	// starts tasks there; see scheduleOnMachine.
	schedulingInterval = 50 * micros.Millisecond

	// A round visits at most maxVisitsPerMachine times the number of machines in a shard, or
	// minVisitsPerRound if that is more. The next round continues with the rest of the queue. The
	// bound is needed because a job that is bound to a zone is compared with every machine that has
	// free capacity, whether it fits or not, and hundreds of such jobs would delay all other
	// inputs.
	maxVisitsPerMachine = 4
	minVisitsPerRound   = 4000

	// maxJobsPerReply bounds how many waiting jobs are considered for the reply to one heartbeat.
	maxJobsPerReply = 100

	// pruneInterval is the number of jobs after which a round removes machines that have become
	// full from its list.
	pruneInterval = 8
)

// maxVisitsPerRound returns how many machines, jobs and attempts a round may visit in a shard with
// the given number of machines.
func maxVisitsPerRound(machines int) uint64 {
	return uint64(max(maxVisitsPerMachine*machines, minVisitsPerRound))
}

// schedulingState is what scheduling keeps between rounds and steps.
type schedulingState struct {
	nextRoundAt       micros.Micros // earliest time of the next round
	scheduledLastStep bool          // the previous step ran a round

	preemptionBudget preemptionBudget
	// candidateScratch and victimScratch are reused as storage by candidates and possibleVictims.
	candidateScratch []candidate
	victimScratch    []scheduling.Victim
}

// tryBeginRound reports whether a round is due and may run now. If so, it records that the round
// runs in this step.
func (c *Controller) tryBeginRound() bool {
	if !c.schedulingDue || c.now < c.scheduling.nextRoundAt {
		return false
	}
	c.schedulingDue = false
	c.scheduling.scheduledLastStep = true
	c.scheduling.nextRoundAt = c.now + schedulingInterval
	return true
}

// postponeNextRound delays the next round until at least the given time if the previous step ran a
// round.
func (st *schedulingState) postponeNextRound(until micros.Micros) {
	if st.scheduledLastStep {
		st.scheduledLastStep = false
		st.nextRoundAt = max(st.nextRoundAt, until)
	}
}

// schedule runs a scheduling round over the active shards of this controller if one is due.
func (c *Controller) schedule() {
	if c.tryBeginRound() {
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

// scheduleLater requests a scheduling round within d.
func (c *Controller) scheduleLater(d micros.Micros) {
	c.wakeIn(d)
	c.schedulingDue = true
}

// schedulingRound is the state of a scheduling round over one shard.
type schedulingRound struct {
	shard *shard
	// free are the machines that had free capacity when they were last checked.
	free []*machine
	// needsNoCPU is set if some job of the queue needs no CPU, so that machines without free CPUs
	// may be of use.
	needsNoCPU bool
	// unplaced describes the tasks for which the round found no capacity.
	unplaced []unplacedTask
}

// scheduleShard assigns waiting tasks of a shard to its machines.
func (c *Controller) scheduleShard(s *shard) {
	c.refreshUsage(s)
	s.reconciled = c.ownership.allReconciled(s)
	queue := c.queue(s)
	round := schedulingRound{shard: s, needsNoCPU: slices.ContainsFunc(queue, needsNoCPU)}
	round.free = c.machinesWithCapacity(s, round.needsNoCPU)
	c.prefetch(s, round.free, true)
	c.scheduling.preemptionBudget.reset()
	c.scheduleQueue(&round, queue)
	c.prefetch(s, round.free, false)
}

// needsNoCPU reports whether the tasks of a job need no CPU.
func needsNoCPU(j *job) bool { return j.sub.CPUs <= scheduling.Tolerance }

// hasCapacity reports whether a machine has free CPUs, or free memory if tasks without CPUs wait.
func (c *Controller) hasCapacity(m *machine, needsNoCPU bool) bool {
	free := c.freeCapacity(m)
	return free.CPUs > scheduling.Tolerance || needsNoCPU && free.MemGB > scheduling.Tolerance
}

// machinesWithCapacity returns the usable machines of a shard that have free capacity. It requests
// another round for when the backoff of a machine ends.
func (c *Controller) machinesWithCapacity(s *shard, needsNoCPU bool) []*machine {
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
		if c.hasCapacity(m, needsNoCPU) {
			free = append(free, m)
		}
	}
	return free
}

// scheduleQueue schedules the jobs of the queue, beginning at the position where the previous round
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
			round.free = slices.DeleteFunc(round.free, func(m *machine) bool { return !c.hasCapacity(m, round.needsNoCPU) })
		}
		if c.visited-visitedBefore > maxVisitsPerRound(len(s.machines)) {
			s.resumeAt = position
			c.scheduleLater(schedulingInterval)
			return
		}
		c.scheduleJob(round, j)
	}
}

// scheduleJob assigns a job's waiting tasks to machines with capacity. If tasks are left over, it
// preempts tasks of lower priority or reserves capacity.
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
		// Neither the zone constraints of this job nor the machines that it avoids say anything about
		// other jobs.
		if !j.sub.SameZone && !j.sub.Spread && !j.run.avoidsMachines(c.now) {
			round.unplaced = append(round.unplaced, unplacedTask{resourcesOf(j.sub), j.constraint})
		}
	}
	c.preemptFor(s, j)
	c.reserveCapacity(s, j)
}

// endRetryBackoff ends the retry backoff of a job that is no longer suspected to fail on every
// machine.
func (c *Controller) endRetryBackoff(j *job) {
	r := j.run
	if r.nextRetryAt == 0 || c.jobAtFault(j) {
		return
	}
	c.log(Info, "job runs elsewhere after all", "job", j.id)
	r.retryBackoff = 0
	r.nextRetryAt = 0
}

// waitsForRetry reports whether the retry backoff of a job forbids starting a task now. A job that
// has failed on several machines and succeeded on none has its tasks tried one at a time, at growing
// intervals, until its user cancels it; see mayTryTask.
func (c *Controller) waitsForRetry(j *job) bool {
	return j.run.nextRetryAt != 0 && (c.now < j.run.nextRetryAt || !c.mayTryTask(j))
}

// retryPending reports whether the retry backoff of a job forbids starting a task now. It requests
// a scheduling round for when the backoff ends.
func (c *Controller) retryPending(j *job) bool {
	if !c.waitsForRetry(j) {
		return false
	}
	if until := j.run.nextRetryAt - c.now; until > 0 && len(j.run.active) == 0 {
		c.scheduleLater(until)
	}
	return true
}

// packJob assigns a job's waiting tasks to the machines that suit it best, and reports whether
// tasks are left for which there is no capacity.
func (c *Controller) packJob(round *schedulingRound, j *job) bool {
	s := round.shard
	candidates := c.candidates(j, round.free)
	zones := c.zonesOf(j)
	for _, candidate := range candidates {
		if !c.packMachine(s, j, candidate.machine, zones) {
			return false
		}
	}
	_, waiting := j.nextTask()
	return waiting && !c.quota.overLimit(s, j)
}

// scheduleOnMachine assigns waiting tasks, in queue order, to a machine that has just sent a
// heartbeat.
func (c *Controller) scheduleOnMachine(s *shard, m *machine) {
	v := m.view
	if v == nil || c.ownership.activeShard(s.id) == nil {
		return
	}
	c.refreshUsage(s)
	if !c.usable(m) {
		return
	}
	cpus := c.types.cpusOf(m)
	considered := 0
	for _, j := range c.waitingJobs(s) {
		c.visited++
		if cpus-v.usage.total.CPUs <= scheduling.Tolerance || considered >= maxJobsPerReply {
			return
		}
		if !c.runnable(s, j) {
			continue
		}
		considered++
		if c.waitsForRetry(j) || c.quota.overLimit(s, j) {
			continue
		}
		if c.fits(m, j) {
			c.packMachine(s, j, m, c.zonesOf(j))
		} else {
			c.preemptOnMachine(j, m)
		}
	}
}
