package controller

import (
	"net/http"

	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// What operators ask about groups and set, by the command line.

// noQuotaOption is what an operator is answered where there are no groups.
const noQuotaOption = "no groups: the controllers have no quota option"

// quotaRequest answers a request of the command line.
func (c *Controller) quotaRequest(reply ReplyID, req peer.QuotaRequest) {
	switch {
	case c.quota.ledger == nil:
		c.answerQuota(reply, peer.QuotaResponse{Problem: noQuotaOption})
	case req.Set != nil:
		c.setQuota(reply, *req.Set)
	default:
		c.answerQuota(reply, peer.QuotaResponse{Groups: c.quotaStatus(), ControllersWithoutQuota: c.peersWithoutQuota()})
	}
}

// answerQuota answers a request of the command line.
func (c *Controller) answerQuota(reply ReplyID, resp peer.QuotaResponse) {
	c.answer(reply, http.StatusOK, &peer.Response{From: c.cfg.Label, Quota: &resp}, 0)
}

// setQuota has the ledger set or clear an operator's limit, and answers once that is done.
func (c *Controller) setQuota(reply ReplyID, set peer.SetLimit) {
	if err := quota.CheckLimit("limit", set.Limit); err != nil {
		c.answerQuota(reply, peer.QuotaResponse{Problem: err.Error()})
		return
	}
	q := &c.quota
	in := quota.SetLimit{Token: q.nextSetToken, Group: set.WaitingTasks}
	if !set.Clear {
		in.Limit = &set.Limit
	}
	q.nextSetToken++
	q.setsInFlight[in.Token] = func(done quota.SetDone) {
		c.answerQuota(reply, peer.QuotaResponse{Problem: setProblem(done.Status), Epoch: done.Epoch})
	}
	c.stepQuota(in)
}

// finishQuotaSet answers the operator whose limit the ledger has set, or could not set.
func (q *quotas) finishQuotaSet(e quota.SetDone) {
	if done := q.setsInFlight[e.Token]; done != nil {
		delete(q.setsInFlight, e.Token)
		done(e)
	}
}

// setProblem returns what an operator is answered if a limit was not set; empty: it was.
func setProblem(status quota.SetStatus) string {
	switch status {
	case quota.SetNoGroup:
		return "no such group"
	case quota.SetConflict:
		return "not set: the limit was changed meanwhile; look at it and try again"
	case quota.SetBusy:
		return "not set: the state service can't be reached, or others change the group all the time; try again"
	}
	return ""
}

// peersWithoutQuota returns the other controllers that do not keep groups.
func (c *Controller) peersWithoutQuota() []string {
	var without []string
	for _, label := range c.cfg.Peers {
		if !c.peers[label].quota {
			without = append(without, label)
		}
	}
	return without
}

// quotaStatus returns the state of all groups, with the shards' owners.
func (c *Controller) quotaStatus() []quota.GroupStatus {
	groups := c.quota.ledger.Status()
	for i := range groups {
		g := &groups[i]
		for k := range g.Shards {
			g.Shards[k].Owner = c.ownership.ownerLabel(g.Shards[k].Shard)
		}
		for k := range g.Blockers {
			g.Blockers[k].Owner = c.ownership.ownerLabel(g.Blockers[k].Shard)
		}
	}
	return groups
}

// ownerLabel returns the label of a shard's owner; empty if there is no such shard or owner.
func (o *ownershipState) ownerLabel(shard int) string {
	if shard >= len(o.shards) {
		return ""
	}
	return o.shards[shard].owner.Label
}
