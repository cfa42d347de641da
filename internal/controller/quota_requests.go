package controller

import (
	"net/http"

	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// This file answers operators' requests from the command line: they show groups and set limits.

// noQuotaOption is the answer to an operator if quota handling is not enabled.
const noQuotaOption = "no groups: the controllers have no quota option"

// handleQuotaRequest handles a request of the command line: it shows all groups, or sets or clears
// a limit.
func (c *Controller) handleQuotaRequest(reply ReplyID, req peer.QuotaRequest) {
	switch {
	case c.quota.ledger == nil:
		c.answerQuota(reply, peer.QuotaResponse{Problem: noQuotaOption})
	case req.Set != nil:
		c.setQuota(reply, *req.Set)
	default:
		c.answerQuota(reply, peer.QuotaResponse{Groups: c.quotaStatus(), ControllersWithoutQuota: c.peersWithoutQuota()})
	}
}

// answerQuota sends the response to a request of the command line.
func (c *Controller) answerQuota(reply ReplyID, resp peer.QuotaResponse) {
	c.answer(reply, http.StatusOK, &peer.Response{From: c.cfg.Label, Quota: &resp}, 0)
}

// setQuota has the ledger set or clear an operator's limit. The operator's request arrives as a
// peer.SetLimit, a message of the command line; the ledger gets a quota.SetLimit, an input of
// Ledger.Step, whose nil Limit clears the limit. The request is answered when the ledger reports the
// result.
func (c *Controller) setQuota(reply ReplyID, set peer.SetLimit) {
	if err := quota.CheckLimit("limit", set.Limit); err != nil {
		c.answerQuota(reply, peer.QuotaResponse{Problem: err.Error()})
		return
	}
	q := &c.quota
	in := quota.SetLimit{Token: q.nextSetToken, Group: set.Group}
	if !set.Clear {
		in.Limit = &set.Limit
	}
	q.nextSetToken++
	q.setsInFlight[in.Token] = func(done quota.SetDone) {
		c.answerQuota(reply, peer.QuotaResponse{Problem: setProblem(done.Status), Epoch: done.Epoch})
	}
	c.stepQuota(in)
}

// finishQuotaSet answers the operator's request that the ledger has completed or given up.
func (q *quotas) finishQuotaSet(e quota.SetDone) {
	if done := q.setsInFlight[e.Token]; done != nil {
		delete(q.setsInFlight, e.Token)
		done(e)
	}
}

// setProblem returns the message for an operator whose limit was not set. It is empty if the limit
// was set.
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

// peersWithoutQuota returns the labels of the other controllers that do not handle quotas.
func (c *Controller) peersWithoutQuota() []string {
	var without []string
	for _, label := range c.cfg.Peers {
		if !c.peers[label].enforcesQuota {
			without = append(without, label)
		}
	}
	return without
}

// quotaStatus returns the state of all groups, with the labels of the shards' owners filled in.
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

// ownerLabel returns the label of a shard's owner. It is empty if the shard does not exist or has
// no owner.
func (o *ownershipState) ownerLabel(shard int) string {
	if shard >= len(o.shards) {
		return ""
	}
	return o.shards[shard].owner.Label
}
