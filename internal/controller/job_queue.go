package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
)

const (
	// reorderInterval is how long a queue keeps its order while no job is added or removed.
	reorderInterval = micros.Second
	// agingFactor bounds the time that a large job waits for later ones: so many times
	// what its work takes the whole shard.
	agingFactor = 8.0
)

// queue lists a shard's unfinished jobs that are not blocked, the first to be served first.
func (c *Controller) queue(s *shard) []*job {
	if !s.queueStale && c.now < s.nextReorderAt {
		return s.queue
	}
	s.queueStale = false
	s.nextReorderAt = c.now + reorderInterval
	s.firstWaiting = 0
	c.jobs.fillQueue(s)
	c.markGuaranteed(s.queue)
	c.rankQueue(s)
	slices.SortFunc(s.queue, compareInQueue)
	for i, j := range s.queue {
		j.queuePosition = i
	}
	return s.queue
}

// fillQueue collects the jobs of a shard's queue. A blocked job takes part in nothing: no
// limit, no guarantee, no demand.
func (t *jobTable) fillQueue(s *shard) {
	s.queue = s.queue[:0]
	for _, j := range t.open {
		if j.shard == s.id && j.run != nil && !j.blocked() && !j.dependencyCancelled {
			s.queue = append(s.queue, j)
		}
	}
}

// rankQueue updates what the order of a shard's jobs depends on. Among jobs of one priority,
// within or beyond a guarantee, those with little work left go first: more of them are in
// time, and more users are served soon. A job ages meanwhile; see agingFactor.
func (c *Controller) rankQueue(s *shard) {
	cpus := 1.0
	for _, m := range s.machines {
		if m.view != nil && m.view.sequenceKnown {
			cpus += c.types.cpusOf(m)
		}
	}
	for _, j := range s.queue {
		j.startOverdue = c.overdue(j)
		j.guaranteeOverdue = c.guaranteeOverdue(j)
		remainingTasks := float64(j.sub.Tasks - j.run.doneCount)
		work := remainingTasks * j.sub.CPUs * c.estimates.Expect(j.sub).Seconds()
		j.queueRank = float64(j.since())/1000 + agingFactor*work/cpus
	}
}

// guaranteeOverdue reports whether a job within its guarantee has waited for half of what it
// should at most.
func (sc *stepContext) guaranteeOverdue(j *job) bool {
	return j.withinGuarantee && sc.cfg.GuaranteeWithin > 0 && sc.waitingTime(j) > sc.cfg.GuaranteeWithin/2
}

// compareInQueue orders jobs of a shard, the first to be served first.
func compareInQueue(a, b *job) int {
	return cmp.Or(
		compareTrueFirst(a.startOverdue, b.startOverdue),
		compareTrueFirst(a.guaranteeOverdue, b.guaranteeOverdue),
		-cmp.Compare(a.priority, b.priority),
		compareTrueFirst(a.withinGuarantee, b.withinGuarantee),
		cmp.Compare(a.queueRank, b.queueRank),
		compareByAge(a, b))
}

// compareByAge orders jobs by the time from which their waiting counts.
func compareByAge(a, b *job) int {
	return cmp.Or(cmp.Compare(a.since(), b.since()), cmp.Compare(a.id, b.id))
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// waiting returns the queue from the first job on that has tasks waiting.
func (c *Controller) waiting(s *shard) []*job {
	queue := c.queue(s)
	for s.firstWaiting < len(queue) && !hasPendingTasks(queue[s.firstWaiting]) {
		s.firstWaiting++
	}
	return queue[s.firstWaiting:]
}

// hasPendingTasks reports whether a job is owned here and has tasks that wait.
func hasPendingTasks(j *job) bool { return j.run != nil && j.pending() > 0 }

// markGuaranteed marks the unfinished jobs that fit into their team's guarantee together
// with the team's earlier ones. It sorts the jobs by team and age.
func (c *Controller) markGuaranteed(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.team, b.team), compareByAge(a, b))
	})
	const noTeam = -1
	team, exceeded := noTeam, false
	var sum usage
	for _, j := range jobs {
		if j.team != team {
			team, exceeded, sum = j.team, false, usage{}
		}
		sum.cpus += float64(j.sub.Tasks) * j.sub.CPUs
		sum.gpus += float64(j.sub.Tasks) * j.sub.GPUs
		exceeded = exceeded || exceedsGuarantee(sum, c.cfg.Teams[team])
		j.withinGuarantee = !exceeded
	}
}

// exceedsGuarantee reports whether the work of a team's jobs is more than the team's
// guarantee.
func exceedsGuarantee(sum usage, t Team) bool {
	noGuarantee := t.CPUs <= 0 && t.GPUs <= 0
	return noGuarantee || sum.cpus > t.CPUs+scheduling.Tolerance || sum.gpus > t.GPUs+scheduling.Tolerance && sum.gpus > 0
}

// runnable reports whether a job wants tasks started, and they may be.
func (c *Controller) runnable(s *shard, j *job) bool {
	r := j.run
	if r == nil || !r.checkpointApplied || r.end.requested() || j.pending() <= 0 {
		return false
	}
	if j.blocked() || j.dependencyCancelled || !c.mayStartTasks() {
		return false
	}
	knownInTime := j.knownAt <= c.ownership.lease.RenewedAt()+c.bounds.LeaseValidity
	// Else a former owner may have started its tasks on a machine that is not reconciled yet.
	startedByNobody := r.acceptedUnderClaim || s.jobsViewCurrent && s.reconciled
	return knownInTime && startedByNobody
}
