package controller

import (
	"testing"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestMachineRecordSetMove checks that one transaction removes a machine from one record set and
// adds it to another, and that a machine is given no tasks while the outcome of an unanswered
// transaction is in doubt.
func TestMachineRecordSetMove(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose bool
	}{{"answered", false}, {"applied, the reply lost", true}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Shards = 2; c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}} })
			for _, id := range []string{"vm-1", "vm-2", "vm-3"} {
				h.listMachine(id)
				h.heartbeat(heartbeatFrom(id, 1, 1, 0))
			}
			m := h.c.machines["vm-1"]
			from := m.rec.Shard
			m.recordSet.nextWriteAt = 0
			if tc.lose {
				h.loseAnswersPrefix = wire.PrefixFleet
				h.blockedWatchPrefix = wire.PrefixControl
			}
			h.c.fleet.nextPlanAt = micros.Never
			h.c.release(peer.Release{Machines: []string{"vm-1"}, ToShard: 1 - from})
			h.step(Tick{})
			if tc.lose {
				if v := m.view; !v.releasing {
					t.Error("machine may be given tasks while its move is not answered")
				}
				h.timeOutLostAnswers()
				if v := m.view; v == nil || v.inDoubtToken == 0 {
					t.Error("move treated as not applied although it may have been applied")
				}
				h.loseAnswersPrefix, h.blockedWatchPrefix = "", ""
				h.run(sec)
			}
			if got := h.c.machines["vm-1"]; got == nil || got.rec.Shard != 1-from {
				t.Fatalf("machine not moved: %+v", got)
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
				t.Errorf("machine is in %d record sets, want 1", in)
			}
		})
	}
}

// TestMachineRecordSetCreation checks that machines are recorded after their first heartbeats and
// not before, in as few writes as possible, and that an unanswered write is repeated under the same
// key only.
func TestMachineRecordSetCreation(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.MaxMachines = 1000; c.Shards = 1 })
	var ids []string
	for i := range 120 {
		ids = append(ids, "vm-x"+string(rune('a'+i/26))+string(rune('a'+i%26)))
	}
	h.loseAnswersPrefix = wire.PrefixFleet
	before := h.revision
	for _, id := range ids {
		h.c.fleet.rented[id] = &rentedMachine{kind: fleet.Kind{Type: "m", Zone: "a", Spot: false}, at: h.now}
	}
	if h.run(sec); h.revision != before {
		t.Error("machines are recorded before they send a heartbeat")
	}
	var waiting []ReplyID
	for _, id := range ids {
		if a := h.request(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom(id, 1, 1, 0)} }); a.Status != 0 {
			t.Fatalf("heartbeat of a machine without a record answered %d, want no answer yet", a.Status)
		}
		waiting = append(waiting, h.lastReply)
	}
	h.run(500 * ms)
	if n := h.revision - before; n != 3 {
		t.Errorf("%d transactions for 120 machines, want 3", n)
	}
	h.loseAnswersPrefix = ""
	h.timeOutLostAnswers()
	h.run(4 * sec)
	if len(h.c.fleet.pendingCreations) != 0 || len(h.c.machines) != 120 {
		t.Errorf("%d creations pending, %d machines; want 0 and 120", len(h.c.fleet.pendingCreations), len(h.c.machines))
	}
	if len(h.c.machineRecords.sets) != 3 {
		t.Errorf("%d record sets, want 3", len(h.c.machineRecords.sets))
	}
	for i, r := range waiting {
		if h.answers[r].Status == 0 {
			t.Fatalf("heartbeat of %s was never answered", ids[i])
		}
	}
	// Nobody else can have commanded the machine, so that its first heartbeat to its owner is
	// answered with starts.
	h.submit(newSubmission("job-000001", 2))
	_, body := h.heartbeat(heartbeatFrom(ids[0], 1, 1, 0))
	if len(startCommands(body.Commands)) != 2 {
		t.Errorf("first heartbeat answered with %v, want 2 starts", body.Commands)
	}
	// A heartbeat that shows a fencing token of another owner is not answered with starts.
	h.submit(newSubmission("job-000002", 2))
	h.dropWorkerCalls()
	_, body = h.heartbeat(heartbeatFrom(ids[1], 1, 1, 1))
	if len(startCommands(body.Commands)) != 0 {
		t.Errorf("machine that shows a foreign token is sent %v, want no starts", body.Commands)
	}
}

// TestOldMachineRecordSetAfterClaim checks that the machines of a record set that is older than the
// claim are not considered never commanded, even if this node learns of it only after the claim:
// the former owner may have commanded them.
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
				t.Errorf("reconciled: %v, want %v", m.view.reconciled, tc.after)
			}
		})
	}
}

// TestMoveVoidedByRewrite checks that a machine is used again after the leader has rewritten its
// record set while the machine's move was unanswered and the owner had not raised its fencing token
// yet. The rewrite voids the move, which must not keep the machine from getting tasks.
func TestMoveVoidedByRewrite(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.Shards = 2
		c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}}
	})
	h.run(4 * sec)
	h.listMachine("vm-1")
	h.heartbeat(heartbeatFrom("vm-1", 1, 1, 0))
	m := h.c.machines["vm-1"]
	m.recordSet.nextWriteAt = 0
	h.c.fleet.nextPlanAt = micros.Never
	h.delayPrefix = wire.PrefixFleet
	if h.c.release(peer.Release{Machines: []string{"vm-1"}, ToShard: 1 - m.rec.Shard}); !m.view.releasing {
		t.Fatal("setup failed: the machine is not being released")
	}
	h.step(Tick{})
	sent := h.delayedTxns
	h.delayPrefix, h.delayedTxns = "", nil
	for _, c := range sent {
		h.step(Result{ID: c.ID})
	}
	h.putRecord(m.recordSet.key, recordSetOf(m.recordSet.machines, nil, nil)) // as the leader does
	h.dropWorkerCalls()
	for seq := uint64(10); seq < 14; seq++ {
		h.heartbeat(heartbeatFrom("vm-1", 1, seq, h.c.fencingToken(h.c.ownership.shards[m.rec.Shard], m)))
		h.run(2 * sec)
		h.dropWorkerCalls()
	}
	if m.view == nil || m.view.releasing || m.view.inDoubtToken != 0 {
		t.Errorf("%+v: still releasing although the move can't be applied any more", m.view)
	}
	h.delayedTxns = sent
	if n := h.applyDelayedTxns(); n != 0 {
		t.Errorf("%d moves were applied after the rewrite, want 0", n)
	}
}
