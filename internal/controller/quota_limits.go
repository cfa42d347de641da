package controller

import (
	"cmp"
	"slices"

	"garnethitch/quota"
)

// This file applies the limits of teams and groups: it bounds what may start, and stops tasks when
// the ledger reclaims a guarantee.

// overLimit reports whether one more of a job's tasks would exceed the limit of its team, or the
// shard's allowance of a group that the team is in.
func (q *quotas) overLimit(s *shard, j *job) bool {
	if s.usage[j.team].exceeds(q.cfg.Teams[j.team], j.sub) {
		return true
	}
	_, exceeded := q.exceededGroup(s, j)
	return exceeded
}

// exceededGroup returns the innermost group whose allowance one more of a job's tasks would exceed.
// It returns false if there is none.
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

// recordQuotaGrant counts the start of a task in the ledger at once. Otherwise a record that arrives
// before the next update of the usage could make the ledger give up what has just been granted.
func (q *quotas) recordQuotaGrant(s *shard, j *job) {
	if q.ledger == nil {
		return
	}
	for _, g := range q.paths[j.team] {
		q.ledger.Granted(s.id, g, quotaAmountOf(j.sub))
	}
}

// quotaHeadroom holds how much more of each group a shard may use now, or should be able to use once
// other shards have given up their excess, whichever is more.
type quotaHeadroom map[string]quota.Amount

// takeQuota returns how many of count tasks of a job fit into the headroom of all groups of its
// team, and subtracts them from h.
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

// reclaimQuota stops tasks of a group whose jobs are beyond their team's guarantee, because tasks
// within a guarantee wait. Tasks of the lowest priority are stopped first and, among these, those
// that entered their state last.
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

// reclaimable returns the attempts of a group that may be stopped for a guarantee, in the order in
// which they are to be stopped.
func (q *quotas) reclaimable(s *shard, group string) []*attempt {
	teams := q.members[group]
	var attempts []*attempt
	for _, m := range s.machines {
		if m.view == nil {
			continue
		}
		for _, att := range m.view.attemptList {
			if att.beyondGuarantee() && slices.Contains(teams, att.job.team) {
				attempts = append(attempts, att)
			}
		}
	}
	slices.SortStableFunc(attempts, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.priority, b.job.priority), cmp.Compare(b.stateSince, a.stateSince))
	})
	return attempts
}

// beyondGuarantee reports whether the job of an attempt is beyond its team's guarantee and the
// attempt is not being stopped already.
func (att *attempt) beyondGuarantee() bool {
	if !att.tracked || att.job == nil || att.job.run == nil || att.job.withinGuarantee {
		return false
	}
	return att.stopMode == stopNone && att.state != attemptExited
}
