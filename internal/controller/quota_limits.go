package controller

import (
	"cmp"
	"slices"

	"garnethitch/quota"
)

// What may be started within the limits of teams and groups, and what is stopped for them.

// overLimit reports whether one more of a job's tasks would pass its team's limit, or the
// allowance of a group that the team is in.
func (q *quotas) overLimit(s *shard, j *job) bool {
	if s.usage[j.team].exceeds(q.cfg.Teams[j.team], j.sub) {
		return true
	}
	_, exceeded := q.exceededGroup(s, j)
	return exceeded
}

// exceededGroup returns the group whose allowance one more of a job's tasks would pass; false if
// there is none.
func (q *quotas) exceededGroup(s *shard, j *job) (group string, exceeded bool) {
	if q.ledger == nil {
		return "", false
	}
	task := quotaAmountOf(j.sub)
	for _, g := range q.paths[j.team] {
		if !q.groupUsage(s, g).Plus(task).Within(q.ledger.Allowed(s.id, g)) {
			return g, true
		}
	}
	return "", false
}

// noteQuotaGrant counts a start in the ledger at once: a record that comes before the next update
// of the usage must not lead to giving up what has just been granted.
func (q *quotas) noteQuotaGrant(s *shard, j *job) {
	if q.ledger == nil {
		return
	}
	for _, g := range q.paths[j.team] {
		q.ledger.Granted(s.id, g, quotaAmountOf(j.sub))
	}
}

// quotaHeadroom is how much more of each group a shard may use, or should come to have.
type quotaHeadroom map[string]quota.Amount

// takeQuota returns how many of count tasks of a job find quota in a shard, and takes it off h.
func (q *quotas) takeQuota(h quotaHeadroom, s *shard, j *job, count int) int {
	if q.ledger == nil {
		return count
	}
	task := quotaAmountOf(j.sub)
	groups := q.paths[j.team]
	for _, g := range groups {
		if _, known := h[g]; !known {
			h[g] = q.ledger.ExpectedAllowance(s.id, g).Minus(q.groupUsage(s, g))
		}
		count = min(count, task.CountFitting(h[g]))
	}
	for _, g := range groups {
		h[g] = h[g].Minus(task.Times(count))
	}
	return count
}

// reclaimQuota stops tasks of a group that are beyond their teams' guarantees, for a guarantee
// whose tasks wait: those of least priority first, of these the latest ones.
func (c *Controller) reclaimQuota(s *shard, e quota.Reclaim) {
	if c.ownership.activeShard(s.id) == nil {
		return
	}
	over := e.Excess
	stopped := 0
	for _, att := range c.quota.reclaimable(s, e.Group) {
		if over.IsZero() {
			break
		}
		att.job.run.stopsByTask[att.index]++
		mode := stopImmediate
		if att.job.sub.CheckpointS > 0 {
			mode = stopGraceful
		}
		c.stop(att, mode)
		over = over.Minus(quotaAmountOf(att.job.sub))
		stopped++
	}
	c.log(Info, "tasks stopped for a guarantee that was lent", "group", e.Group, "shard", s.id, "tasks", stopped, "cpus", e.Excess.CPUs)
}

// reclaimable returns the attempts of a group that may be stopped for a guarantee, the first to
// be stopped first.
func (q *quotas) reclaimable(s *shard, group string) []*attempt {
	teams := q.members[group]
	var attempts []*attempt
	for _, m := range s.machines {
		if m.view == nil {
			continue
		}
		for _, att := range m.view.list {
			if att.beyondGuarantee() && slices.Contains(teams, att.job.team) {
				attempts = append(attempts, att)
			}
		}
	}
	slices.SortStableFunc(attempts, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.priority, b.job.priority), cmp.Compare(b.since, a.since))
	})
	return attempts
}

// beyondGuarantee reports whether the attempt's job is beyond its team's guarantee, and the
// attempt not being stopped yet.
func (att *attempt) beyondGuarantee() bool {
	if !att.tracked || att.job == nil || att.job.run == nil || att.job.withinGuarantee {
		return false
	}
	return att.stopMode == stopNone && att.state != attemptExited
}
