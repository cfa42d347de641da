package controller

import (
	"testing"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestMachineRecordSetMove checks that machines move in one transaction that drops them from one
// record set and adds them to another, and an unanswered one is resolved before anything starts.
func TestMachineRecordSetMove(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose bool
	}{{"answered", false}, {"applied, the reply lost", true}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Shards = 2; c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}} })
			for _, id := range []string{"vm-1", "vm-2", "vm-3"} {
				h.list(id)
				h.heartbeat(heartbeatFrom(id, 1, 1, 0))
			}
			m := h.c.machines["vm-1"]
			from := m.rec.Shard
			m.recordSet.nextWriteAt = 0
			if tc.lose {
				h.lose = wire.PrefixFleet
				h.watchBlocked = wire.PrefixControl
			}
			h.c.fleet.planNext = micros.Never
			h.c.release(peer.Release{Machines: []string{"vm-1"}, ToShard: 1 - from})
			h.step(Tick{})
			if tc.lose {
				if v := m.view; !v.releasing {
					t.Error("may be given tasks while its move is open")
				}
				h.giveUp()
				if v := m.view; v == nil || v.inDoubtToken == 0 {
					t.Error("taken for not applied although the move may stand")
				}
				h.lose, h.watchBlocked = "", ""
				h.run(sec)
			}
			if got := h.c.machines["vm-1"]; got == nil || got.rec.Shard != 1-from {
				t.Fatalf("not moved: %+v", got)
			}
			in := 0
			for _, b := range h.c.machineRecords.sets {
				for _, o := range b.machines {
					if o.id == "vm-1" {
						in++
					}
				}
			}
			if in != 1 {
				t.Errorf("stands in %d record sets", in)
			}
		})
	}
}

// TestMachineRecordSetCreation checks that machines are recorded once they have come up, in as few
// writes as possible, and that an unanswered record is sent again under its own key only.
func TestMachineRecordSetCreation(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.MaxMachines = 1000; c.Shards = 1 })
	var ids []string
	for i := range 120 {
		ids = append(ids, "vm-x"+string(rune('a'+i/26))+string(rune('a'+i%26)))
	}
	h.lose = wire.PrefixFleet
	before := h.rev
	for _, id := range ids {
		h.c.fleet.rented[id] = &rented{kind: fleet.Kind{Type: "m", Zone: "a", Spot: false}, at: h.now}
	}
	if h.run(sec); h.rev != before {
		t.Error("machines are on record before they come up")
	}
	var waiting []ReplyID
	for _, id := range ids {
		if a := h.ask(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom(id, 1, 1, 0)} }); a.Status != 0 {
			t.Fatalf("heartbeat of a machine without a record answered %d", a.Status)
		}
		waiting = append(waiting, h.reply)
	}
	h.run(500 * ms)
	if n := h.rev - before; n != 3 {
		t.Errorf("%d transactions for 120 machines, want 3", n)
	}
	h.lose = ""
	h.giveUp()
	h.run(4 * sec)
	if len(h.c.fleet.pendingCreations) != 0 || len(h.c.machines) != 120 {
		t.Errorf("%d records open, %d machines", len(h.c.fleet.pendingCreations), len(h.c.machines))
	}
	if len(h.c.machineRecords.sets) != 3 {
		t.Errorf("%d record sets, want 3", len(h.c.machineRecords.sets))
	}
	for i, r := range waiting {
		if h.answers[r].Status == 0 {
			t.Fatalf("heartbeat of %s was never answered", ids[i])
		}
	}
	// Commanded by nobody else: its first heartbeat to its owner is answered with
	// tasks at once.
	h.submit(jobOf("job-000001", 2))
	_, body := h.heartbeat(heartbeatFrom(ids[0], 1, 1, 0))
	if len(starts(body.Commands)) != 2 {
		t.Errorf("first heartbeat answered with %v", body.Commands)
	}
	// Unless it shows that somebody has commanded it.
	h.submit(jobOf("job-000002", 2))
	h.dropCalls()
	_, body = h.heartbeat(heartbeatFrom(ids[1], 1, 1, 1))
	if len(starts(body.Commands)) != 0 {
		t.Errorf("a machine that shows a foreign token is given %v", body.Commands)
	}
}

// TestOldMachineRecordSetAfterClaim checks that the machines of a record set older than the claim
// do not count as never commanded, also when it becomes known only after the claim: the former
// owner may have used them.
func TestOldMachineRecordSetAfterClaim(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after bool
	}{{"older than the claim", false}, {"newer", true}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			s := h.c.ownership.shards[0]
			modRevision := s.ownerEpoch - 1
			if tc.after {
				modRevision = s.ownerEpoch + 1
			}
			key := wire.MachineRecordSetKey(0, "h-1-1")
			rec := wire.MachineRecordSet{Kinds: []wire.MachineKind{{Type: "m", Zone: "a"}}, Machines: []wire.MachineRecord{{ID: "vm-1", Addr: "vm-1"}}}
			value, err := wire.Encode(rec)
			if err != nil {
				t.Fatal(err)
			}
			h.c.applyPut(key, value, modRevision)
			if m := h.c.machines["vm-1"]; m.view.reconciled != tc.after {
				t.Errorf("reconciled %v, want %v", m.view.reconciled, tc.after)
			}
		})
	}
}

// TestVoidMoveEnds leaves a machine's move unanswered; before the owner raises its fencing token,
// the leader rewrites the record set. The move is void then, and the machine is to be used again.
func TestVoidMoveEnds(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.Shards = 2
		c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}}
	})
	h.run(4 * sec)
	h.list("vm-1")
	h.heartbeat(heartbeatFrom("vm-1", 1, 1, 0))
	m := h.c.machines["vm-1"]
	m.recordSet.nextWriteAt = 0
	h.c.fleet.planNext = micros.Never
	h.late = wire.PrefixFleet
	if h.c.release(peer.Release{Machines: []string{"vm-1"}, ToShard: 1 - m.rec.Shard}); !m.view.releasing {
		t.Fatal("not releasing: the case is not what it should be")
	}
	h.step(Tick{})
	sent := h.lateOut
	h.late, h.lateOut = "", nil
	for _, c := range sent {
		h.step(Result{ID: c.ID})
	}
	h.put(m.recordSet.key, recordSetOf(m.recordSet.machines, nil, nil)) // as the leader does
	h.dropCalls()
	for seq := uint64(10); seq < 14; seq++ {
		h.heartbeat(heartbeatFrom("vm-1", 1, seq, h.c.fencingToken(h.c.ownership.shards[m.rec.Shard], m)))
		h.run(2 * sec)
		h.dropCalls()
	}
	if m.view == nil || m.view.releasing || m.view.inDoubtToken != 0 {
		t.Errorf("%+v: still releasing, though the move can't be applied any more", m.view)
	}
	h.lateOut = sent
	if n := h.carryOut(); n != 0 {
		t.Errorf("%d moves were applied late", n)
	}
}
