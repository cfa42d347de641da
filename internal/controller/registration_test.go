package controller

import "testing"

// A machine sends its first heartbeat just as the leader's lease is over; the leader
// leads again under the same key. The machine must be assigned then.
func TestRegistrationAcrossOutage(t *testing.T) {
	h := meet(t, withPeer)
	h.c.fleet.rented["vm-7"] = &rented{kind: kind{Type: "m", Zone: "a", Spot: false}, at: h.now}
	h.stateDown, h.refused = true, true
	for h.now < h.c.ownership.lease.RenewedAt()+h.c.bounds.LeaseValidity-200*ms {
		h.run(20 * ms)
	}
	h.ask(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom("vm-7", 1, 1, 0)} })
	h.run(2 * sec)
	if c := h.c; c.ownership.leading() || len(c.fleet.registrations) > 0 {
		t.Fatalf("leading %v, %d registrations: the case is not what it should be", c.ownership.leading(), len(c.fleet.registrations))
	}
	h.stateDown, h.refused = false, false
	h.run(2 * sec)
	for seq := uint64(2); seq < 6; seq++ {
		h.ask(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom("vm-7", 1, seq, 0)} })
		h.run(sec)
	}
	if h.c.machines["vm-7"] == nil {
		t.Error("never assigned")
	}
}
