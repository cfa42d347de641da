package core

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// The lease in the state service on which a node's duties hang.

func (c *Core) newLease() {
	o := &c.own
	o.asking = true
	asked := c.now
	c.askState(classLease, wire.NewLease{TTLMS: c.cfg.Lease.Millis()}, micros.Second, func(r Result) {
		o.asking = false
		if l, ok := r.Body.(*wire.Lease); ok && r.Status == 200 && l.Lease != 0 {
			o.lease, o.renewed = l.Lease, asked
			o.nextRenew = c.now + c.cfg.Lease/4
			o.contact = c.now
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
func (c *Core) renewLease() {
	o := &c.own
	o.renewals++
	asked, lease := c.now, o.lease
	o.nextRenew = asked + c.cfg.Lease/4
	c.askState(classLease, RenewLease{Lease: lease}, c.cfg.Lease, func(r Result) {
		o.renewals--
		if o.lease != lease {
			return
		}
		switch r.Status {
		case 200:
			if c.now >= o.renewed+c.bounds.Answer {
				c.log(Info, "lease renewed after a gap", "gap_ms", (c.now - o.renewed).Millis())
			}
			o.renewed = max(o.renewed, asked)
			o.contact = c.now
			c.placementDue = true
		case 404:
			c.log(Info, "lease lost, giving up all duties", "lease", lease)
			o.contact = c.now
			c.loseLease()
		default:
			o.nextRenew = min(o.nextRenew, c.now+c.jitter(150*micros.Millisecond))
		}
	})
}

// mostRenewals bounds those under way.
const mostRenewals = 4

// loseLease forgets every duty that hung on the lease.
func (c *Core) loseLease() {
	c.own.lease = 0
	for _, s := range c.own.shares {
		if s.active {
			c.deactivate(s)
		}
	}
}
