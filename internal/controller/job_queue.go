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
	// agingFactor bounds how long a large job waits for jobs that came later, as a multiple of the
	// time that its work would take the whole shard.
	agingFactor = 8.0
)

// queue returns the unfinished jobs of a shard that are not blocked, in the order in which they are
// served. It reorders them if the order is out of date.
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

// fillQueue collects the jobs of a shard's queue. Blocked jobs are left out: they count towards no
// limit, guarantee or demand.
func (t *jobTable) fillQueue(s *shard) {
	s.queue = s.queue[:0]
	for _, j := range t.open {
		if j.shard == s.id && j.run != nil && !j.blocked() && !j.dependencyCancelled {
			s.queue = append(s.queue, j)
		}
	}
}

// rankQueue updates the values by which a shard's jobs are ordered. Among jobs that are equal in
// priority and guarantee, those with little work left go first: more jobs finish in time, and more
// users are served soon. Aging keeps large jobs from starving; see agingFactor.
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
		j.queueRank = float64(j.waitingSinceMS())/1000 + agingFactor*work/cpus
	}
}

// guaranteeOverdue reports whether a job within its team's guarantee has waited for more than half
// of the time within which guaranteed jobs should be served.
func (sc *stepContext) guaranteeOverdue(j *job) bool {
	return j.withinGuarantee && sc.cfg.GuaranteeWithin > 0 && sc.waitingTime(j) > sc.cfg.GuaranteeWithin/2
}

// compareInQueue compares jobs of a shard by the order in which they are served.
func compareInQueue(a, b *job) int {
	return cmp.Or(
		compareTrueFirst(a.startOverdue, b.startOverdue),
		compareTrueFirst(a.guaranteeOverdue, b.guaranteeOverdue),
		-cmp.Compare(a.priority, b.priority),
		compareTrueFirst(a.withinGuarantee, b.withinGuarantee),
		cmp.Compare(a.queueRank, b.queueRank),
		compareByAge(a, b))
}

// compareByAge compares jobs by the time from which their waiting counts, and then by ID.
func compareByAge(a, b *job) int {
	return cmp.Or(cmp.Compare(a.waitingSinceMS(), b.waitingSinceMS()), cmp.Compare(a.id, b.id))
}

// compareTrueFirst compares booleans so that true sorts before false.
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

// waitingJobs returns the part of the queue that begins with the first job with waiting tasks.
func (c *Controller) waitingJobs(s *shard) []*job {
	queue := c.queue(s)
	for s.firstWaiting < len(queue) && !hasPendingTasks(queue[s.firstWaiting]) {
		s.firstWaiting++
	}
	return queue[s.firstWaiting:]
}

// hasPendingTasks reports whether a job is owned here and has waiting tasks.
func hasPendingTasks(j *job) bool { return j.run != nil && j.pending() > 0 }

// markGuaranteed marks the jobs that fit into their team's guarantee together with all older jobs
// of the team. It sorts jobs by team and age.
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
		sum.cpus += float64(float64(j.sub.Tasks) * j.sub.CPUs)
		sum.gpus += float64(float64(j.sub.Tasks) * j.sub.GPUs)
		exceeded = exceeded || exceedsGuarantee(sum, c.cfg.Teams[team])
		j.withinGuarantee = !exceeded
	}
}

// exceedsGuarantee reports whether the resources of a team's jobs exceed the team's guarantee. It
// returns true for a team without a guarantee.
func exceedsGuarantee(sum usage, t Team) bool {
	noGuarantee := t.CPUs <= 0 && t.GPUs <= 0
	return noGuarantee || sum.cpus > t.CPUs+scheduling.Tolerance || sum.gpus > t.GPUs+scheduling.Tolerance && sum.gpus > 0
}

// runnable reports whether a job has waiting tasks and may start them.
func (c *Controller) runnable(s *shard, j *job) bool {
	r := j.run
	if r == nil || !r.checkpointApplied || r.end.requested() || j.pending() <= 0 {
		return false
	}
	if j.blocked() || j.dependencyCancelled || !c.mayStartTasks() {
		return false
	}
	knownInTime := j.knownAt <= c.ownership.lease.RenewedAt()+c.bounds.LeaseValidity
	// Otherwise a former owner may have started its tasks on a machine that is not reconciled yet.
	notStartedElsewhere := r.acceptedUnderClaim || s.jobsViewCurrent && s.reconciled
	return knownInTime && notStartedElsewhere
}
