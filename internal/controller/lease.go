package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// This file sends the requests for this node's lease in the state service, under which it holds its
// locks. ownership.Lease decides when they are due.

const (
	// leaseRequestTimeout is how long to wait for the response to the request for a lease.
	leaseRequestTimeout = micros.Second
	// renewalRetryDelay is the delay before a failed renewal is retried.
	renewalRetryDelay = 150 * micros.Millisecond
)

// maintainLease requests a lease, or its renewal, when that is due.
func (c *Controller) maintainLease() {
	lease := &c.ownership.lease
	switch {
	case lease.RequestDue():
		c.ownership.requestLease()
	case lease.RenewalDue(c.now):
		c.renewLease()
	}
}

// requestLease requests a lease. The lease counts from the time at which the request was sent, not
// answered.
func (o *ownershipState) requestLease() {
	lease := &o.lease
	lease.Requested()
	sentAt := o.now
	o.queueStateRequest(statestore.ClassLease, wire.NewLease{TTLMS: lease.Duration().Millis()}, leaseRequestTimeout, func(r statestore.Reply) {
		granted, ok := r.Body.(*wire.Lease)
		if !ok || r.Status != http.StatusOK || granted.ID == 0 {
			lease.RequestFailed()
			return
		}
		lease.Granted(granted.ID, sentAt, o.now)
		o.lastStateReplyAt = o.now
		o.log(Info, "lease granted", "lease", granted.ID)
	})
}

// renewLease sends a renewal of the lease.
func (c *Controller) renewLease() {
	lease := &c.ownership.lease
	id := lease.ID()
	sentAt := c.now
	lease.RenewalSent(c.now)
	c.queueStateRequest(statestore.ClassLease, statestore.RenewLease{Lease: id}, lease.Duration(), func(r statestore.Reply) {
		if !lease.RenewalEnded(id) {
			return
		}
		switch r.Status {
		case http.StatusOK:
			c.ownership.handleLeaseRenewed(sentAt)
		case http.StatusNotFound:
			c.log(Info, "lease lost, giving up all locks", "lease", id)
			c.ownership.lastStateReplyAt = c.now
			c.loseLease()
		default:
			lease.RetryRenewalBy(c.now + c.jitter(renewalRetryDelay))
		}
	})
}

// handleLeaseRenewed handles the success of a renewal that was sent at sentAt.
func (o *ownershipState) handleLeaseRenewed(sentAt micros.Micros) {
	lease := &o.lease
	if o.now >= lease.RenewedAt()+o.bounds.LeaseValidity {
		o.log(Info, "lease renewed after a gap", "gap_ms", (o.now - lease.RenewedAt()).Millis())
	}
	lease.RenewalSucceeded(sentAt)
	o.lastStateReplyAt = o.now
	o.schedulingDue = true
}

// loseLease marks the lease as lost and deactivates every shard owned under it.
func (c *Controller) loseLease() {
	c.ownership.lease.Lost()
	for _, s := range c.ownership.shards {
		if s.owned() {
			c.deactivateShard(s)
		}
	}
}
