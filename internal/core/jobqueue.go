package core

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
)

// The order in which the unfinished jobs of a share are served.

// queue lists a share's unfinished jobs, the first to be served first.
func (c *Core) queue(s *share) []*job {
	if !s.queueStale && c.now < s.queueNext {
		return s.queue
	}
	s.queueStale, s.queueNext = false, c.now+reorderEvery
	s.queue = s.queue[:0]
	for _, j := range c.jobs.open {
		// A held job takes no part in anything: no limit, no guarantee, no demand.
		if j.share == s.id && j.run != nil && !j.held() && !j.dependencyCancelled {
			s.queue = append(s.queue, j)
		}
	}
	c.markGuaranteed(s.queue)
	cpus := 1.0
	for _, m := range s.machines {
		if m.v != nil && m.v.known {
			cpus += c.types[m.rec.Type].CPUs
		}
	}
	for _, j := range s.queue {
		j.late = c.overdue(j)
		j.owed = j.within && c.cfg.GuaranteeWithin > 0 && c.waited(j) > c.cfg.GuaranteeWithin/2
		work := float64(j.sub.Tasks-j.run.count) * j.sub.CPUs * c.runs.expect(j.sub).Seconds()
		j.turn = float64(j.since())/1000 + turnFactor*work/cpus
	}
	slices.SortFunc(s.queue, func(a, b *job) int {
		return cmp.Or(
			-cmp.Compare(b2i(a.late), b2i(b.late)),
			-cmp.Compare(b2i(a.owed), b2i(b.owed)),
			-cmp.Compare(a.priority, b.priority),
			-cmp.Compare(b2i(a.within), b2i(b.within)),
			cmp.Compare(a.turn, b.turn),
			cmp.Compare(a.since(), b.since()),
			cmp.Compare(a.id, b.id))
	})
	s.firstWait = 0
	for i, j := range s.queue {
		j.place = i
	}
	return s.queue
}

// waiting is the queue from the first job on that has tasks waiting.
func (c *Core) waiting(s *share) []*job {
	queue := c.queue(s)
	for s.firstWait < len(queue) && (queue[s.firstWait].run == nil || queue[s.firstWait].pending() <= 0) {
		s.firstWait++
	}
	return queue[s.firstWait:]
}

// Among jobs of one priority, in or beyond a guarantee, those with little work
// left go first: more of them are in time, and more users are served soon. A job
// ages meanwhile, so that a large one waits for later ones by no more than
// turnFactor times what its work takes the whole share.
const (
	reorderEvery = micros.Second
	turnFactor   = 8.0
)

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// markGuaranteed marks the unfinished jobs that fit into their team's guarantee
// together with the team's earlier ones.
func (c *Core) markGuaranteed(jobs []*job) {
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
		j.within = !over
	}
}

// runnable: a job wants tasks started, and they may be.
func (c *Core) runnable(s *share, j *job) bool {
	r := j.run
	return r != nil && r.ready && r.want == "" && j.pending() > 0 && !j.held() && !j.dependencyCancelled && c.mayStart() &&
		j.knownAt <= c.own.renewed+c.bounds.Answer &&
		// A former owner may have started its tasks on a machine unheard of.
		(r.fresh || s.current && s.settled)
}
