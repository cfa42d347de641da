package controller

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// preemptionBudget bounds the work of one round: looking for tasks to stop walks all
// machines of a shard.
type preemptionBudget struct {
	searches, stops int
}

const (
	maxPreemptionSearches = 3   // jobs for which a round looks for tasks to stop
	maxPreemptionStops    = 200 // tasks that it stops
)

func (p *preemptionBudget) begin() { p.searches, p.stops = maxPreemptionSearches, maxPreemptionStops }

// preemptFor stops tasks of lower priority for a job that found no room.
func (c *Controller) preemptFor(s *shard, j *job) {
	r := j.run
	if j.priority == wire.PriorityLow || r.nextRetryAt != 0 {
		return
	}
	wait := r.arrivedAt + c.preemptionDelay(j) - c.now
	if r.nextPreemptionAt > c.now {
		wait = max(wait, r.nextPreemptionAt-c.now)
	}
	if wait > 0 {
		c.wakeIn(wait)
		c.schedulingDue = true
		return
	}
	if c.preemption.searches <= 0 || c.preemption.stops <= 0 {
		c.schedulingDue = true // in the next round
		return
	}
	c.preemption.searches--
	r.nextPreemptionAt = c.now + 250*micros.Millisecond
	need := j.pending()
	if t := c.cfg.Teams[j.team]; t.CPUsMax > 0 && j.sub.CPUs > 0 {
		need = min(need, int((t.CPUsMax-s.usage[j.team].cpus)/j.sub.CPUs+eps))
	}
	zones := c.zonesOf(j)
	var h offers
	for _, m := range s.machines {
		c.visited++
		if m.view == nil || !c.usable(m) || !c.allowed(j, m, zones) || j.run.failuresByMachine[m.id] > 0 {
			continue
		}
		// Room that is already being made for it serves it first.
		if hd := &m.view.reservation; hd.job == j && c.now < hd.until && j.sub.CPUs > 0 {
			need -= int(hd.cpus/j.sub.CPUs + eps)
			continue
		} else if hd.job != nil && c.now < hd.until {
			continue
		}
		if o := c.offer(j, m); o != nil {
			h = append(h, o)
		}
	}
	heap.Init(&h)
	most := c.maxPreemptionLoss(j)
	for need > 0 && len(h) > 0 && c.preemption.stops > 0 && h[0].cost <= most {
		o := h[0]
		c.take(j, o)
		need--
		if next := c.offer(j, o.m); next != nil {
			h[0] = next
			heap.Fix(&h, 0)
		} else {
			heap.Pop(&h)
		}
	}
	if need > 0 && c.preemption.stops <= 0 {
		r.nextPreemptionAt = 0
		c.schedulingDue = true
	}
}

// offer is the cheapest way to make room for one task on a machine.
type offer struct {
	m    *machine
	set  []*attempt
	cost float64
}

type offers []*offer

func (h offers) Len() int { return len(h) }
func (h offers) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].cost, h[j].cost), cmp.Compare(h[i].m.id, h[j].m.id)) < 0
}
func (h offers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *offers) Push(x any)   { *h = append(*h, x.(*offer)) }
func (h *offers) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// offer works out what a machine would lose for one more task of a job; nil if
// nothing can be had there. What is held there already comes on top.
func (c *Controller) offer(j *job, m *machine) *offer {
	v, capacity, want := m.view, c.freeCapacity(m), shapeOf(j.sub)
	held := reservation{}
	if v.reservation.job == j && c.now < v.reservation.until {
		held = v.reservation
	}
	capacity = capacity.plus(shape{v.usage.soonCPUs, v.usage.soonGPUs, v.usage.soonMem}).plus(shape{-held.cpus, -held.gpus, -held.mem})
	type victim struct {
		att  *attempt
		loss float64
	}
	o := &offer{m: m}
	if !v.images[j.sub.Image] {
		o.cost = 3
	}
	if want.covers(capacity) {
		return o // others are on their way out
	}
	var cands []victim
	for _, att := range v.list {
		if att.job != nil && (att.tracked && att.job.priority < j.priority || att.prefetch) && att.stopMode == stopNone && att.state != attemptExited {
			cands = append(cands, victim{att, c.preemptionLoss(att)})
		}
	}
	if len(cands) == 0 {
		return nil
	}
	slices.SortFunc(cands, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.att.key.job, b.att.key.job), cmp.Compare(a.att.index, b.att.index))
	})
	for _, x := range cands {
		if want.covers(capacity) {
			break
		}
		o.set = append(o.set, x.att)
		o.cost += x.loss
		capacity = capacity.plus(shapeOf(x.att.job.sub))
	}
	if !want.covers(capacity) {
		return nil
	}
	return o
}

// take stops an offer's tasks and keeps the room for the job, or a job further
// down the line would take it and be stopped for it in turn.
func (c *Controller) take(j *job, o *offer) {
	v := o.m.view
	for _, att := range o.set {
		c.preemption.stops--
		if r := att.job.run; r != nil && att.tracked {
			r.stopsByTask[att.index]++
		}
		c.stop(att, c.stopModeFor(att, j))
		c.log(Debug, "task stopped for a job of higher priority", "task", wire.TaskName(att.job.id, att.index), "machine", o.m.id, "for", j.id)
	}
	if v.reservation.job != j {
		v.reservation = reservation{job: j}
	}
	v.reservation.cpus += j.sub.CPUs
	v.reservation.gpus += j.sub.GPUs
	v.reservation.mem += j.sub.MemGB
	v.reservation.until = c.now + reservationDuration
	c.refresh(c.ownership.shards[o.m.rec.Shard])
}

// reservationDuration is how long room is kept: what was stopped may have to save first.
const reservationDuration = 8 * micros.Second

// preemptionDelay is how long a job waits for room to come free by itself before
// others are stopped for it. Tasks end all the time, and work that is stopped is
// partly lost.
func (c *Controller) preemptionDelay(j *job) micros.Micros {
	if within, urgent := c.cfg.StartWithin[j.sub.Class]; urgent {
		if within < 10*micros.Second {
			return 0
		}
		return within / 10
	}
	if c.deadlineNear(j) {
		return 0
	}
	return micros.Second
}

// deadlineNear: the job can still be in time, but only if its tasks start within
// some seconds.
func (c *Controller) deadlineNear(j *job) bool {
	slack := c.dueOf(j) - c.wall - c.estimates.Expect(j.sub)
	return slack > 0 && slack < 15*micros.Second
}

// dueOf is when a job is wanted done, by its user or its class; Never if neither
// says.
func (c *Controller) dueOf(j *job) micros.Micros {
	due := j.deadline
	if within := c.cfg.FinishWithin[j.sub.Class]; within > 0 {
		due = min(due, micros.Micros(j.since())*micros.Millisecond+within)
	}
	return due
}

// maxPreemptionLoss is the most that may be lost for one task of a job. Tasks end all the
// time in a large shard: for a while only what costs little is stopped, so that
// long work that is nearly done is not thrown away for a wait of seconds (15
// tasks that had run for 180 s each, on a day that ended two minutes later for it).
func (c *Controller) maxPreemptionLoss(j *job) float64 {
	preemptionDelay := c.preemptionDelay(j)
	grace := 5 * micros.Second
	if within, urgent := c.cfg.StartWithin[j.sub.Class]; urgent {
		grace = within / 2
	}
	if c.now < j.run.arrivedAt+preemptionDelay+grace {
		return smallLoss
	}
	return math.Inf(1)
}

// smallLoss is what may be lost for a task at once, in CPU seconds.
const smallLoss = 100

// preemptionLoss is the work, in CPU seconds, that stopping an attempt throws away.
func (c *Controller) preemptionLoss(att *attempt) float64 {
	ran := 0.0
	if att.runAt != 0 {
		ran = (c.now - att.runAt).Seconds()
	}
	if k := att.job.sub.CheckpointS; k > 0 {
		ran = min(ran, k) // at most an interval is unsaved
	}
	// Its user also waits longer, which counts for more the higher its priority,
	// the longer it runs, and the more often it was stopped before: the youngest
	// tasks are the cheapest, and a task that has just been started again is young
	// (three stops within 9 s put a job's end off by minutes).
	prio := float64(att.job.priority)
	again := 0.0
	if r := att.job.run; r != nil {
		again = float64(r.stopsByTask[att.index])
	}
	if c.onlyStart(att) {
		again += 10
	}
	return ran*att.job.sub.CPUs*[...]float64{0.25, 1, 2, 2}[att.job.priority] +
		prio*(4+0.25*c.estimates.Expect(att.job.sub).Seconds()) + earlierStopCost*again
}

// earlierStopCost is what each earlier stop of a task adds to the loss of another.
const earlierStopCost = 25

// stopModeFor says how a victim is stopped: with time to save, unless the job that
// waits is wanted started sooner than that.
func (c *Controller) stopModeFor(victim *attempt, j *job) stopMode {
	if victim.job.sub.CheckpointS <= 0 || victim.state != attemptRunning {
		return stopImmediate
	}
	if within, urgent := c.cfg.StartWithin[j.sub.Class]; urgent && within < 2*micros.FromSeconds(victim.job.sub.SaveS) {
		return stopImmediate
	}
	if c.deadlineNear(j) {
		return stopImmediate
	}
	return stopGraceful
}

// stop marks an attempt to be stopped; one that was never sent is just
// forgotten.
func (c *Controller) stop(att *attempt, mode stopMode) {
	if att.state == attemptAssigned {
		c.freeAttempt(att, false)
		return
	}
	if att.stopMode < mode {
		att.stopMode = mode
		att.stopRequestedAt = c.now
		att.stopSentAt = -micros.Never
		c.markDirty(att.machine)
		c.queueCommand(att.machine)
	}
}
