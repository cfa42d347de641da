package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// This file holds the requests of owners that other controllers record a part of the dependents of
// cancelled jobs; see cancellationCascade.

const (
	// helpThreshold bounds the time in which an owner records dependents without help. If it would
	// need longer, it requests the other controllers to record some.
	helpThreshold = 3 * micros.Second
	// maxRecordRequests bounds the jobs that one status message requests another controller to
	// record. The message is repeated each second.
	maxRecordRequests = 200
)

// recordRequestsFor lists the dependents that another controller is requested to record. It returns
// none if this node can record all of its dependents within helpThreshold.
func (c *Controller) recordRequestsFor(p *peerView) (ids []string) {
	if len(c.cascade.jobs) == 0 || !c.ownership.leaseValid() {
		return nil
	}
	own := 0
	for _, id := range c.cascade.sortedIDs() {
		if c.cascade.jobs[id] == nil || !c.OwnsJob(id) {
			continue
		}
		own++
		if !c.cascade.recording[id] && len(ids) < maxRecordRequests && c.recorderOf(id) == p.label {
			ids = append(ids, id)
		}
	}
	recordedSoon := c.stateQueue.WriteRate() * dependentsWritesFraction * helpThreshold.Seconds()
	if float64(own) < recordedSoon {
		return nil
	}
	return ids
}

// applyRecordRequests stores an owner's requests to record dependents, with the epochs of its claims.
// It ignores jobs that this node does not know to have a cancelled dependency.
func (c *Controller) applyRecordRequests(ids []string, claims []peer.ShardClaim) {
	for _, id := range ids {
		j := c.cascade.jobs[id]
		if j == nil || j.run != nil {
			continue
		}
		for _, claim := range claims {
			if claim.Shard == j.shard {
				c.cascade.requested[id] = claim.OwnerEpoch
			}
		}
	}
}
