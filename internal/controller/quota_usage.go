package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// This file reports to the ledger what the shards use of the quotas, and which tasks wait for quota.

// longQuotaWait is how long a job's tasks wait for quota before that is logged.
const longQuotaWait = 2 * micros.Second

// quotaAmountOf returns the amount of quota that one task of a submission uses.
func quotaAmountOf(sub *wire.Submission) quota.Amount {
	return quota.Amount{CPUs: sub.CPUs, GPUs: sub.GPUs}
}

// amount converts the usage to an amount of quota.
func (u usage) amount() quota.Amount { return quota.Amount{CPUs: u.cpus, GPUs: u.gpus} }

// groupUsage returns an upper bound of what the tasks of a group use in a shard. An unreconciled
// machine counts in full for each team of the group, as for the limits of teams.
func (q *quotas) groupUsage(s *shard, group string) (sum quota.Amount) {
	for _, team := range q.members[group] {
		sum = sum.Plus(s.usage[team].amount())
	}
	return sum
}

// usageAccuracy is how accurately the usage of a shard is known.
type usageAccuracy int

const (
	usageUnknown    usageAccuracy = iota
	usageUpperBound               // an upper bound is known
	usageExact
)

// String returns the accuracy in words.
func (a usageAccuracy) String() string {
	switch a {
	case usageUpperBound:
		return "upper bound"
	case usageExact:
		return "exact"
	}
	return "unknown"
}

// usageAccuracy returns how accurately the usage of a shard is known. It is unknown until the sizes
// of all machines that may run unknown tasks are known: a process that has just started does not
// know them, and must not count such machines as empty.
func (c *Controller) usageAccuracy(s *shard) usageAccuracy {
	if !c.types.known() {
		return usageUnknown
	}
	accuracy := usageUpperBound
	if s.reconciled {
		accuracy = usageExact
	}
	for _, m := range s.machines {
		if m.view == nil || !m.view.unreconciledFromPredecessor && !m.view.usage.hasUnknownJob {
			continue
		}
		if _, sizeKnown := c.types.byName[m.rec.Type]; !sizeKnown {
			return usageUnknown
		}
		accuracy = usageUpperBound
	}
	return accuracy
}

// updateQuotaUsage passes the usage and the waiting tasks of a shard to the ledger, unless the
// usage is unknown.
func (c *Controller) updateQuotaUsage(s *shard) {
	accuracy := c.usageAccuracy(s)
	if accuracy == usageUnknown {
		return
	}
	c.refreshUsage(s)
	teams := c.quotaDemands(s)
	c.stepQuota(quota.UsageReport{Shard: s.id, Groups: c.quota.ledger.Claims(s.id, accuracy == usageExact, teams)})
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
		c.quota.recordQuotaWait(s, j)
	}
	return teams
}

// waitingTasks returns how many tasks of a job wait, as far as the limit of its team lets them
// start. A job that is tried one task at a time has at most one.
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
		SinceMS: max(j.waitingSinceMS(), j.run.startedMS, 1),
	}
}

// recordQuotaWait records since when a job's tasks have waited for quota, and logs a long wait once.
func (q *quotas) recordQuotaWait(s *shard, j *job) {
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
