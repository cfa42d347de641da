package controller

import (
	"net/http"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// The lease in the state service on which a node's locks hang.

func (c *Controller) newLease() {
	o := &c.ownership
	o.acquiringLease = true
	asked := c.now
	c.askState(statestore.ClassLease, wire.NewLease{TTLMS: c.cfg.Lease.Millis()}, micros.Second, func(r statestore.Reply) {
		o.acquiringLease = false
		if l, ok := r.Body.(*wire.Lease); ok && r.Status == http.StatusOK && l.Lease != 0 {
			o.lease, o.renewedAt = l.Lease, asked
			o.nextRenewalAt = c.now + c.cfg.Lease/4
			o.lastStateReplyAt = c.now
			c.log(Info, "lease granted", "lease", l.Lease)
		}
	})
}

// renewLease asks for more time at a steady pace, whether the last answers have
// come or not: a renewal counts from when it was sent, so that a late answer is
// worth something yet. (On a share of a core that did not suffice, answers took
// more than a second; with one renewal at a time, given up after a second, three
// controllers lost their leases to each other, each taking over more than it could
// bear.)
func (c *Controller) renewLease() {
	o := &c.ownership
	o.renewalsInFlight++
	asked, lease := c.now, o.lease
	o.nextRenewalAt = asked + c.cfg.Lease/4
	c.askState(statestore.ClassLease, RenewLease{Lease: lease}, c.cfg.Lease, func(r statestore.Reply) {
		o.renewalsInFlight--
		if o.lease != lease {
			return
		}
		switch r.Status {
		case http.StatusOK:
			if c.now >= o.renewedAt+c.bounds.LeaseValidity {
				c.log(Info, "lease renewed after a gap", "gap_ms", (c.now - o.renewedAt).Millis())
			}
			o.renewedAt = max(o.renewedAt, asked)
			o.lastStateReplyAt = c.now
			c.schedulingDue = true
		case http.StatusNotFound:
			c.log(Info, "lease lost, giving up all locks", "lease", lease)
			o.lastStateReplyAt = c.now
			c.loseLease()
		default:
			o.nextRenewalAt = min(o.nextRenewalAt, c.now+c.jitter(150*micros.Millisecond))
		}
	})
}

// maxRenewalsInFlight bounds those under way.
const maxRenewalsInFlight = 4

// loseLease forgets every lock that hung on the lease.
func (c *Controller) loseLease() {
	c.ownership.lease = 0
	for _, s := range c.ownership.shards {
		if s.active {
			c.deactivate(s)
		}
	}
}
