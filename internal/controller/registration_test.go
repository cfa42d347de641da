package controller

import (
	"testing"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/wire"
)

// TestRegistrationAcrossOutage has a machine send its first heartbeat just as the leader's lease is
// over. The leader leads again under the same key, and must assign the machine then.
func TestRegistrationAcrossOutage(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	h.c.fleet.rented["vm-7"] = &rented{kind: fleet.Kind{Type: "m", Zone: "a", Spot: false}, at: h.now}
	h.stateDown, h.stateRefuses = true, true
	for h.now < h.c.ownership.lease.RenewedAt()+h.c.bounds.LeaseValidity-200*ms {
		h.run(20 * ms)
	}
	h.request(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom("vm-7", 1, 1, 0)} })
	h.run(2 * sec)
	if c := h.c; c.ownership.mayLead() || len(c.fleet.registrations) > 0 {
		t.Fatalf("leading %v, %d registrations: the case is not what it should be", c.ownership.mayLead(), len(c.fleet.registrations))
	}
	h.stateDown, h.stateRefuses = false, false
	h.run(2 * sec)
	for seq := uint64(2); seq < 6; seq++ {
		h.request(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom("vm-7", 1, seq, 0)} })
		h.run(sec)
	}
	if h.c.machines["vm-7"] == nil {
		t.Error("never assigned")
	}
}

// TestLateRecord checks that a machine whose record was not answered is recorded under no other key
// meanwhile: the record may be applied at any time.
func TestLateRecord(t *testing.T) {
	h := newHarness(t, nil)
	h.c.fleet.rented["vm-1"] = &rented{kind: fleet.Kind{Type: "m", Zone: "a", Spot: true}, at: h.now}
	call := func(seq uint64) {
		h.request(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom("vm-1", 1, seq, 0)} })
		h.run(500 * ms)
	}
	h.stateDown = true
	call(1)
	h.stateDown = false
	var first wire.Txn
	for _, c := range h.unansweredStateCalls {
		if txn, ok := c.Req.(wire.Txn); ok && len(first.Changes) == 0 {
			first = txn
		}
		h.step(Result{ID: c.ID}) // no answer
	}
	if len(first.Changes) != 1 {
		t.Fatalf("recorded by %v", first)
	}
	call(2)
	h.run(2 * sec)
	if h.c.machines["vm-1"] == nil {
		t.Fatal("never recorded")
	}
	if status, _ := h.applyTxn(first); status != 409 {
		t.Errorf("the late record was applied beside another: %d", status)
	}
}
