package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// What the shards use of groups' quotas, and what waits for them.

// longQuotaWait is how long a job's tasks wait for quota before that is logged.
const longQuotaWait = 2 * micros.Second

// quotaAmountOf returns what one task of a submission takes of a group's quota.
func quotaAmountOf(sub *wire.Submission) quota.Amount {
	return quota.Amount{CPUs: sub.CPUs, GPUs: sub.GPUs}
}

// amount returns the usage as an amount of a quota.
func (u usage) amount() quota.Amount { return quota.Amount{CPUs: u.cpus, GPUs: u.gpus} }

// groupUsage returns what a group's tasks could be using of a shard at most. An unreconciled
// machine counts in full for each of its teams, as it does for the teams' own limits.
func (q *quotas) groupUsage(s *shard, group string) (sum quota.Amount) {
	for _, team := range q.members[group] {
		sum = sum.Plus(s.usage[team].amount())
	}
	return sum
}

// usageKnowledge says how well it is known what a shard uses.
type usageKnowledge int

const (
	usageUnknown    usageKnowledge = iota
	usageUpperBound                // the most that it could be using is known
	usageExact
)

// String returns the knowledge in words.
func (k usageKnowledge) String() string {
	switch k {
	case usageUpperBound:
		return "upper bound"
	case usageExact:
		return "exact"
	}
	return "unknown"
}

// usageKnowledge returns how well it is known what a shard uses. A process that has just begun
// does not know how large the machines are, and must not count them as empty.
func (c *Controller) usageKnowledge(s *shard) usageKnowledge {
	if !c.types.known() {
		return usageUnknown
	}
	knowledge := usageUpperBound
	if s.reconciled {
		knowledge = usageExact
	}
	for _, m := range s.machines {
		if m.view == nil || !m.view.unreconciledFromPredecessor && !m.view.usage.unknown {
			continue
		}
		if _, sizeKnown := c.types.byName[m.rec.Type]; !sizeKnown {
			return usageUnknown
		}
		knowledge = usageUpperBound
	}
	return knowledge
}

// updateQuotaUsage gives the ledger what a shard uses, and what waits in it.
func (c *Controller) updateQuotaUsage(s *shard) {
	knowledge := c.usageKnowledge(s)
	if knowledge == usageUnknown {
		return
	}
	c.refresh(s)
	teams := c.quotaDemands(s)
	c.stepQuota(quota.UsageReport{Shard: s.id, Groups: c.quota.ledger.Claims(s.id, knowledge == usageExact, teams)})
}

// quotaDemands returns what each team uses and wants in a shard.
func (c *Controller) quotaDemands(s *shard) []quota.TeamDemand {
	teams := make([]quota.TeamDemand, len(c.cfg.Teams))
	for i, t := range c.cfg.Teams {
		teams[i] = quota.TeamDemand{
			Groups:    c.quota.paths[i],
			Used:      s.usage[i].amount(),
			Guarantee: quota.Amount{CPUs: t.CPUs, GPUs: t.GPUs},
		}
	}
	for _, j := range c.queue(s) {
		if len(c.quota.paths[j.team]) == 0 || !c.runnable(s, j) {
			continue
		}
		if waiting := c.waitingTasks(s, j); waiting.Count > 0 {
			teams[j.team].Waiting = append(teams[j.team].Waiting, waiting)
		}
		c.quota.noteQuotaWait(s, j)
	}
	return teams
}

// waitingTasks returns a job's tasks that wait, as far as its team's limit allows.
func (c *Controller) waitingTasks(s *shard, j *job) quota.WaitingTasks {
	team := c.cfg.Teams[j.team]
	used := s.usage[j.team]
	count := j.pending()
	if j.run.nextRetryAt != 0 {
		count = min(count, 1)
	}
	count = tasksWithin(team.CPUsMax, used.cpus, j.sub.CPUs, count)
	count = tasksWithin(team.GPUsMax, used.gpus, j.sub.GPUs, count)
	return quota.WaitingTasks{
		Size:    quotaAmountOf(j.sub),
		Count:   count,
		SinceMS: max(j.since(), j.run.startedMS, 1),
	}
}

// noteQuotaWait logs that a job's tasks have waited for quota for long.
func (q *quotas) noteQuotaWait(s *shard, j *job) {
	r := j.run
	group, exceeded := q.exceededGroup(s, j)
	switch {
	case !exceeded:
		r.quotaWaitSince = 0
	case r.quotaWaitSince == 0:
		r.quotaWaitSince = q.now
	case !r.quotaWaitLogged && q.now-r.quotaWaitSince > longQuotaWait:
		r.quotaWaitLogged = true
		q.log(Info, "job waits for quota", "job", j.id, "group", group, "tasks", j.pending())
	}
}
