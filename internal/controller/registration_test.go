package controller

import (
	"testing"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/wire"
)

// TestRegistrationAcrossOutage checks that a machine is assigned after an outage if it sent its
// first heartbeat just before the leader's lease ran out. The leader leads again under the same
// key, and must assign the machine then.
func TestRegistrationAcrossOutage(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	h.c.fleet.rented["vm-7"] = &rentedMachine{kind: fleet.Kind{Type: "m", Zone: "a", Spot: false}, at: h.now}
	h.stateDown, h.stateRefuses = true, true
	for h.now < h.c.ownership.lease.RenewedAt()+h.c.bounds.LeaseValidity-200*ms {
		h.run(20 * ms)
	}
	h.request(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom("vm-7", 1, 1, 0)} })
	h.run(2 * sec)
	if c := h.c; c.ownership.mayLead() || len(c.fleet.registrations) > 0 {
		t.Fatalf("setup failed: leading %v, %d registrations; want false and 0", c.ownership.mayLead(), len(c.fleet.registrations))
	}
	h.stateDown, h.stateRefuses = false, false
	h.run(2 * sec)
	for seq := uint64(2); seq < 6; seq++ {
		h.request(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom("vm-7", 1, seq, 0)} })
		h.run(sec)
	}
	if h.c.machines["vm-7"] == nil {
		t.Error("machine never assigned")
	}
}

// TestLateRecordSetWrite checks that a machine is recorded under no other key while the write of its
// record set is unanswered: that write may still be applied, and the machine would be in two record
// sets.
func TestLateRecordSetWrite(t *testing.T) {
	h := newHarness(t, nil)
	h.c.fleet.rented["vm-1"] = &rentedMachine{kind: fleet.Kind{Type: "m", Zone: "a", Spot: true}, at: h.now}
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
		t.Fatalf("machine recorded by %v, want one change", first)
	}
	call(2)
	h.run(2 * sec)
	if h.c.machines["vm-1"] == nil {
		t.Fatal("machine never recorded")
	}
	if status, _ := h.applyTxn(first); status != 409 {
		t.Errorf("late write answered %d, want 409: the machine is on record already", status)
	}
}
