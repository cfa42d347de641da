package controller

import (
	"cmp"
	"container/heap"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file stops tasks of lower priority for jobs that find no free capacity.

const (
	// maxPreemptionSearches bounds the jobs for which a round searches for tasks to stop or
	// capacity to reserve. Each search visits all machines of a shard.
	maxPreemptionSearches = 3
	// maxPreemptionStops bounds the tasks that a round stops.
	maxPreemptionStops = 200
	// preemptionInterval is the minimum time between two searches for the same job.
	preemptionInterval = 250 * micros.Millisecond
	// reservationDuration is how long capacity is reserved for the job for which tasks were
	// stopped. The stopped tasks may need time to save a checkpoint.
	reservationDuration = 8 * micros.Second
	// missingImageCost is the cost, in CPU seconds, of using a machine that does not have the job's
	// image.
	missingImageCost = 3
)

// preemptionBudget is how many searches and stops a round has left.
type preemptionBudget struct {
	searches, stops int
}

// reset restores the full budget for a new round.
func (b *preemptionBudget) reset() {
	b.searches = maxPreemptionSearches
	b.stops = maxPreemptionStops
}

// exhausted reports whether this round has no searches or no stops left.
func (b *preemptionBudget) exhausted() bool { return b.searches <= 0 || b.stops <= 0 }

// preemptFor stops tasks of lower priority for a job that found no capacity, once the job has
// waited for its preemption delay.
func (c *Controller) preemptFor(s *shard, j *job) {
	r := j.run
	if j.priority == wire.PriorityLow || r.nextRetryAt != 0 {
		return
	}
	if at := max(r.arrivedAt+c.preemptionPolicy.delay(j), r.nextPreemptionAt); at > c.now {
		c.scheduleLater(at - c.now)
		return
	}
	if c.scheduling.preemptionBudget.exhausted() {
		c.schedulingDue = true // the search is repeated in the next round
		return
	}
	c.scheduling.preemptionBudget.searches--
	r.nextPreemptionAt = c.now + preemptionInterval
	plan := c.planPreemption(s, j)
	c.executePreemption(j, plan)
}

// preemptionPlan lists the ways to free capacity for a job's waiting tasks.
type preemptionPlan struct {
	tasks   int            // number of tasks for which capacity is to be freed
	options preemptionHeap // at most one for each machine
}

// preemptionOption is the cheapest way to free capacity for one task on a machine.
type preemptionOption struct {
	machine *machine
	victims []*attempt
	cost    float64 // CPU seconds
}

// preemptionHeap implements heap.Interface with the cheapest option first.
type preemptionHeap []*preemptionOption

func (h preemptionHeap) Len() int { return len(h) }

func (h preemptionHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].cost, h[j].cost), cmp.Compare(h[i].machine.id, h[j].machine.id)) < 0
}

func (h preemptionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *preemptionHeap) Push(x any) { *h = append(*h, x.(*preemptionOption)) }

func (h *preemptionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// planPreemption determines for how many tasks of a job capacity must be freed, and the cheapest
// option on each machine of the shard.
func (c *Controller) planPreemption(s *shard, j *job) *preemptionPlan {
	plan := &preemptionPlan{tasks: c.tasksToPlace(s, j)}
	zones := c.zonesOf(j)
	for _, m := range s.machines {
		c.visited++
		if m.view == nil || !c.usable(m) || !c.allowed(j, m, zones) || j.run.failedRecently(m, c.now) {
			continue
		}
		reserved := &m.view.reservation
		inForce := c.now < reserved.until
		if reserved.job == j && inForce && j.sub.CPUs > 0 {
			plan.tasks -= int(reserved.resources.CPUs/j.sub.CPUs + scheduling.Tolerance)
			continue
		}
		if reserved.job != nil && inForce {
			continue
		}
		if option := c.cheapestPreemption(j, m); option != nil {
			plan.options = append(plan.options, option)
		}
	}
	heap.Init(&plan.options)
	return plan
}

// tasksToPlace returns how many of a job's waiting tasks may start within the CPU limit of its
// team.
func (c *Controller) tasksToPlace(s *shard, j *job) int {
	return tasksWithin(c.cfg.Teams[j.team].CPUsMax, s.usage[j.team].cpus, j.sub.CPUs, j.pending())
}

// executePreemption takes the cheapest options of a plan until there is capacity for all tasks, the
// round's budget is spent, or the next option costs more than may be lost.
func (c *Controller) executePreemption(j *job, plan *preemptionPlan) {
	maxLoss := c.preemptionPolicy.maxLoss(j)
	options := &plan.options
	for plan.tasks > 0 && options.Len() > 0 && c.scheduling.preemptionBudget.stops > 0 && (*options)[0].cost <= maxLoss {
		cheapest := (*options)[0]
		c.preemptAndReserve(j, cheapest)
		plan.tasks--
		if next := c.cheapestPreemption(j, cheapest.machine); next != nil {
			(*options)[0] = next
			heap.Fix(options, 0)
		} else {
			heap.Pop(options)
		}
	}
	if plan.tasks > 0 && c.scheduling.preemptionBudget.stops <= 0 {
		j.run.nextPreemptionAt = 0
		c.schedulingDue = true
	}
}

// preemptOnMachine frees capacity on a machine for a job that already waits for preemption.
// Otherwise a job further down the queue would take the capacity that has just become free, and
// would be stopped for this job later.
func (c *Controller) preemptOnMachine(j *job, m *machine) {
	r := j.run
	waitsForPreemption := r.nextPreemptionAt != 0 && r.arrivedAt+c.preemptionPolicy.delay(j) <= c.now
	if !waitsForPreemption || m.view.reservation.job != nil || !c.allowed(j, m, c.zonesOf(j)) {
		return
	}
	if option := c.cheapestPreemption(j, m); option != nil && option.cost <= c.preemptionPolicy.maxLoss(j) {
		c.preemptAndReserve(j, option)
	}
}

// cheapestPreemption returns the cheapest way to free capacity on a machine for one more task of a
// job, beyond what is reserved there for the job. It returns nil if stopping all possible victims
// does not free enough.
func (c *Controller) cheapestPreemption(j *job, m *machine) *preemptionOption {
	option := &preemptionOption{machine: m}
	if !m.view.images[j.sub.Image] {
		option.cost = missingImageCost
	}
	need := resourcesOf(j.sub)
	free := c.freeAfterStops(j, m)
	if need.Fits(free) {
		return option
	}
	chosen, cost, enough := scheduling.CheapestVictims(c.possibleVictims(j, m), need, free, option.cost)
	if !enough {
		return nil
	}
	option.cost = cost
	for i := range chosen {
		option.victims = append(option.victims, m.view.attemptList[chosen[i].Attempt])
	}
	return option
}

// freeAfterStops returns the capacity of a machine that is free once the tasks being stopped have
// exited, without what is reserved for the job.
func (c *Controller) freeAfterStops(j *job, m *machine) scheduling.Resources {
	v := m.view
	free := c.freeCapacity(m).Plus(v.usage.stopping)
	if v.reservation.job == j && c.now < v.reservation.until {
		free = free.Minus(v.reservation.resources)
	}
	return free
}

// possibleVictims returns the attempts on a machine that may be stopped for a job. The slice is
// reused: it is valid until the next call.
func (c *Controller) possibleVictims(j *job, m *machine) []scheduling.Victim {
	victims := c.scheduling.victimScratch[:0]
	for i, att := range m.view.attemptList {
		if !att.preemptibleFor(j) {
			continue
		}
		victims = append(victims, scheduling.Victim{
			Attempt:   i,
			Job:       att.key.job,
			Task:      att.index,
			Loss:      c.preemptionPolicy.loss(att),
			Resources: resourcesOf(att.job.sub),
		})
	}
	c.scheduling.victimScratch = victims
	return victims
}

// preemptibleFor reports whether an attempt may be stopped for a job: it has a lower priority or
// only prefetches an image, and it is not being stopped already.
func (att *attempt) preemptibleFor(j *job) bool {
	if att.job == nil || att.stopMode != stopNone || att.state == attemptExited {
		return false
	}
	return att.tracked && att.job.priority < j.priority || att.prefetch
}

// preemptAndReserve stops the victims of an option and reserves the capacity for the job. Without
// the reservation, a job further down the queue would take the capacity and be stopped for this job
// later.
func (c *Controller) preemptAndReserve(j *job, option *preemptionOption) {
	for _, att := range option.victims {
		c.scheduling.preemptionBudget.stops--
		if r := att.job.run; r != nil && att.tracked {
			r.stopsByTask[att.index]++
		}
		c.stop(att, c.preemptionPolicy.stopMode(att, j))
		c.log(Debug, "task stopped for a job of higher priority", "task", wire.TaskName(att.job.id, att.index), "machine", option.machine.id, "for", j.id)
	}
	reserved := &option.machine.view.reservation
	if reserved.job != j {
		*reserved = reservation{job: j}
	}
	reserved.resources = reserved.resources.Plus(resourcesOf(j.sub))
	reserved.until = c.now + reservationDuration
	c.refreshUsage(c.ownership.shards[option.machine.rec.Shard])
}

// stop requests that an attempt be stopped, unless a stop of this mode or a stricter one has been
// requested already. An attempt that was never sent to its machine is removed at once.
func (c *Controller) stop(att *attempt, mode stopMode) {
	if att.state == attemptAssigned {
		c.freeAttempt(att, false)
		return
	}
	if att.stopMode < mode {
		att.stopMode = mode
		att.stopRequestedAt = c.now
		att.stopSentAt = -micros.Never
		c.ownership.markDirty(att.machine)
		c.queueCommand(att.machine)
	}
}
