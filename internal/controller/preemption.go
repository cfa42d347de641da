package controller

import (
	"cmp"
	"container/heap"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Which tasks are stopped for a job of higher priority that finds no capacity.

const (
	// maxPreemptionSearches bounds the jobs for which a round looks for tasks to stop: each walks
	// over all machines of a shard.
	maxPreemptionSearches = 3
	// maxPreemptionStops bounds the tasks that a round stops.
	maxPreemptionStops = 200
	// preemptionInterval is the time between two searches for one job.
	preemptionInterval = 250 * micros.Millisecond
	// reservationDuration is how long capacity is kept for the job for which tasks were stopped:
	// they may have to save first.
	reservationDuration = 8 * micros.Second
	// missingImageCost is what it counts, in CPU seconds, if the machine lacks the job's image.
	missingImageCost = 3
)

// preemptionBudget bounds what one round does to stop tasks.
type preemptionBudget struct {
	searches, stops int
}

// reset grants the budget of a new round.
func (b *preemptionBudget) reset() {
	b.searches = maxPreemptionSearches
	b.stops = maxPreemptionStops
}

// exhausted reports whether no further search is worth while in this round.
func (b *preemptionBudget) exhausted() bool { return b.searches <= 0 || b.stops <= 0 }

// preemptFor stops tasks of lower priority for a job that found no capacity.
func (c *Controller) preemptFor(s *shard, j *job) {
	r := j.run
	if j.priority == wire.PriorityLow || r.nextRetryAt != 0 {
		return
	}
	if at := max(r.arrivedAt+c.preemptionPolicy.delay(j), r.nextPreemptionAt); at > c.now {
		c.scheduleLater(at - c.now)
		return
	}
	if c.scheduling.preemption.exhausted() {
		c.schedulingDue = true // in the next round
		return
	}
	c.scheduling.preemption.searches--
	r.nextPreemptionAt = c.now + preemptionInterval
	plan := c.planPreemption(s, j)
	c.executePreemption(j, plan)
}

// preemptionPlan is where capacity can be made for a job.
type preemptionPlan struct {
	tasks  int              // tasks that capacity is to be made for
	offers preemptionOffers // one for each machine
}

// preemptionOffer is the cheapest way to make capacity for one task on a machine.
type preemptionOffer struct {
	machine *machine
	victims []*attempt
	cost    float64 // CPU seconds
}

// preemptionOffers is a heap.Interface, the cheapest offer first.
type preemptionOffers []*preemptionOffer

func (h preemptionOffers) Len() int { return len(h) }

func (h preemptionOffers) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].cost, h[j].cost), cmp.Compare(h[i].machine.id, h[j].machine.id)) < 0
}

func (h preemptionOffers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *preemptionOffers) Push(x any) { *h = append(*h, x.(*preemptionOffer)) }

func (h *preemptionOffers) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// planPreemption finds out for how many tasks of a job capacity is to be made, and what each
// machine of the shard offers.
func (c *Controller) planPreemption(s *shard, j *job) *preemptionPlan {
	plan := &preemptionPlan{tasks: c.tasksToPlace(s, j)}
	zones := c.zonesOf(j)
	for _, m := range s.machines {
		c.visited++
		if m.view == nil || !c.usable(m) || !c.allowed(j, m, zones) || j.run.failuresByMachine[m.id] > 0 {
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
		if o := c.preemptionOffer(j, m); o != nil {
			plan.offers = append(plan.offers, o)
		}
	}
	heap.Init(&plan.offers)
	return plan
}

// tasksToPlace returns how many of a job's waiting tasks its team's limit of CPUs lets start.
func (c *Controller) tasksToPlace(s *shard, j *job) int {
	return tasksWithin(c.cfg.Teams[j.team].CPUsMax, s.usage[j.team].cpus, j.sub.CPUs, j.pending())
}

// executePreemption takes the cheapest offers of a plan until there is capacity for all tasks,
// the round's budget is spent, or the next one costs too much.
func (c *Controller) executePreemption(j *job, plan *preemptionPlan) {
	maxLoss := c.preemptionPolicy.maxLoss(j)
	offers := &plan.offers
	for plan.tasks > 0 && offers.Len() > 0 && c.scheduling.preemption.stops > 0 && (*offers)[0].cost <= maxLoss {
		cheapest := (*offers)[0]
		c.takeOffer(j, cheapest)
		plan.tasks--
		if next := c.preemptionOffer(j, cheapest.machine); next != nil {
			(*offers)[0] = next
			heap.Fix(offers, 0)
		} else {
			heap.Pop(offers)
		}
	}
	if plan.tasks > 0 && c.scheduling.preemption.stops <= 0 {
		j.run.nextPreemptionAt = 0
		c.schedulingDue = true
	}
}

// preemptOnMachine makes capacity on a machine for a job that already waits for others to be
// stopped: else a job further down the queue would take what has just come free, and be stopped
// for it in turn.
func (c *Controller) preemptOnMachine(j *job, m *machine) {
	r := j.run
	waitsForPreemption := r.nextPreemptionAt != 0 && r.arrivedAt+c.preemptionPolicy.delay(j) <= c.now
	if !waitsForPreemption || m.view.reservation.job != nil || !c.allowed(j, m, c.zonesOf(j)) {
		return
	}
	if o := c.preemptionOffer(j, m); o != nil && o.cost <= c.preemptionPolicy.maxLoss(j) {
		c.takeOffer(j, o)
	}
}

// preemptionOffer returns how a machine could make capacity for one more task of a job beside
// what is reserved there for the job, or nil if it cannot.
func (c *Controller) preemptionOffer(j *job, m *machine) *preemptionOffer {
	o := &preemptionOffer{machine: m}
	if !m.view.images[j.sub.Image] {
		o.cost = missingImageCost
	}
	need := resourcesOf(j.sub)
	free := c.freeOnceStopped(j, m)
	if need.Fits(free) {
		return o
	}
	chosen, cost, enough := scheduling.CheapestVictims(c.possibleVictims(j, m), need, free, o.cost)
	if !enough {
		return nil
	}
	o.cost = cost
	for i := range chosen {
		o.victims = append(o.victims, m.view.attemptList[chosen[i].Attempt])
	}
	return o
}

// freeOnceStopped returns what a machine will have left once tasks that are being stopped have
// gone, without what is reserved for the job.
func (c *Controller) freeOnceStopped(j *job, m *machine) scheduling.Resources {
	v := m.view
	free := c.freeCapacity(m).Plus(v.usage.stopping)
	if v.reservation.job == j && c.now < v.reservation.until {
		free = free.Minus(v.reservation.resources)
	}
	return free
}

// possibleVictims returns the attempts on a machine that may be stopped for a job. The result is
// valid until the next call.
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

// preemptibleFor reports whether an attempt may be stopped for a job: it has a lower priority, or
// only fetches an image ahead, and is not being stopped yet.
func (att *attempt) preemptibleFor(j *job) bool {
	if att.job == nil || att.stopMode != stopNone || att.state == attemptExited {
		return false
	}
	return att.tracked && att.job.priority < j.priority || att.prefetch
}

// takeOffer stops an offer's tasks and reserves the capacity for the job, or a job further down
// the queue would take it and be stopped for it in turn.
func (c *Controller) takeOffer(j *job, o *preemptionOffer) {
	for _, att := range o.victims {
		c.scheduling.preemption.stops--
		if r := att.job.run; r != nil && att.tracked {
			r.stopsByTask[att.index]++
		}
		c.stop(att, c.preemptionPolicy.stopMode(att, j))
		c.log(Debug, "task stopped for a job of higher priority", "task", wire.TaskName(att.job.id, att.index), "machine", o.machine.id, "for", j.id)
	}
	reserved := &o.machine.view.reservation
	if reserved.job != j {
		*reserved = reservation{job: j}
	}
	reserved.resources = reserved.resources.Plus(resourcesOf(j.sub))
	reserved.until = c.now + reservationDuration
	c.refresh(c.ownership.shards[o.machine.rec.Shard])
}

// stop has an attempt stopped; one that was never sent is just removed.
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
