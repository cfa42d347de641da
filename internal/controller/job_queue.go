package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
)

// The order in which the unfinished jobs of a shard are served.

// queue lists a shard's unfinished jobs, the first to be served first.
func (c *Controller) queue(s *shard) []*job {
	if !s.queueStale && c.now < s.nextReorderAt {
		return s.queue
	}
	s.queueStale, s.nextReorderAt = false, c.now+reorderInterval
	s.queue = s.queue[:0]
	for _, j := range c.jobs.open {
		// A held job takes no part in anything: no limit, no guarantee, no demand.
		if j.shard == s.id && j.run != nil && !j.blocked() && !j.dependencyCancelled {
			s.queue = append(s.queue, j)
		}
	}
	c.markGuaranteed(s.queue)
	cpus := 1.0
	for _, m := range s.machines {
		if m.view != nil && m.view.sequenceKnown {
			cpus += c.types[m.rec.Type].CPUs
		}
	}
	for _, j := range s.queue {
		j.startOverdue = c.overdue(j)
		j.guaranteeOverdue = j.withinGuarantee && c.cfg.GuaranteeWithin > 0 && c.waited(j) > c.cfg.GuaranteeWithin/2
		work := float64(j.sub.Tasks-j.run.doneCount) * j.sub.CPUs * c.estimates.expect(j.sub).Seconds()
		j.queueRank = float64(j.since())/1000 + turnFactor*work/cpus
	}
	slices.SortFunc(s.queue, func(a, b *job) int {
		return cmp.Or(
			-cmp.Compare(b2i(a.startOverdue), b2i(b.startOverdue)),
			-cmp.Compare(b2i(a.guaranteeOverdue), b2i(b.guaranteeOverdue)),
			-cmp.Compare(a.priority, b.priority),
			-cmp.Compare(b2i(a.withinGuarantee), b2i(b.withinGuarantee)),
			cmp.Compare(a.queueRank, b.queueRank),
			cmp.Compare(a.since(), b.since()),
			cmp.Compare(a.id, b.id))
	})
	s.firstWaiting = 0
	for i, j := range s.queue {
		j.queuePosition = i
	}
	return s.queue
}

// waiting is the queue from the first job on that has tasks waiting.
func (c *Controller) waiting(s *shard) []*job {
	queue := c.queue(s)
	for s.firstWaiting < len(queue) && (queue[s.firstWaiting].run == nil || queue[s.firstWaiting].pending() <= 0) {
		s.firstWaiting++
	}
	return queue[s.firstWaiting:]
}

// Among jobs of one priority, in or beyond a guarantee, those with little work
// left go first: more of them are in time, and more users are served soon. A job
// ages meanwhile, so that a large one waits for later ones by no more than
// turnFactor times what its work takes the whole shard.
const (
	reorderInterval = micros.Second
	turnFactor      = 8.0
)

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// markGuaranteed marks the unfinished jobs that fit into their team's guarantee
// together with the team's earlier ones.
func (c *Controller) markGuaranteed(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.since(), b.since()), cmp.Compare(a.id, b.id))
	})
	team, over := -1, false
	var sum usage
	for _, j := range jobs {
		if j.team != team {
			team, over, sum = j.team, false, usage{}
		}
		t := c.cfg.Teams[team]
		sum.cpus += float64(j.sub.Tasks) * j.sub.CPUs
		sum.gpus += float64(j.sub.Tasks) * j.sub.GPUs
		over = over || t.CPUs <= 0 && t.GPUs <= 0 || sum.cpus > t.CPUs+eps || sum.gpus > t.GPUs+eps && sum.gpus > 0
		j.withinGuarantee = !over
	}
}

// runnable: a job wants tasks started, and they may be.
func (c *Controller) runnable(s *shard, j *job) bool {
	r := j.run
	return r != nil && r.checkpointApplied && !r.end.requested() && j.pending() > 0 && !j.blocked() && !j.dependencyCancelled && c.mayStart() &&
		j.knownAt <= c.ownership.renewedAt+c.bounds.LeaseValidity &&
		// A former owner may have started its tasks on a machine unheard of.
		(r.acceptedUnderClaim || s.jobsViewCurrent && s.reconciled)
}
