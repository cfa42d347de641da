package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// modRevisionsOf returns the revisions of all keys in the store.
func (h *harness) modRevisionsOf() map[string]uint64 {
	out := map[string]uint64{}
	for k, kv := range h.keys {
		out[k] = kv.ModRevision
	}
	return out
}

// checkRepeatsDoNothing executes all transactions so far again, and fails if the store
// changes.
func (h *harness) checkRepeatsDoNothing(after string) {
	h.t.Helper()
	before := h.modRevisionsOf()
	for _, txn := range slices.Clone(h.done) {
		if status, _ := h.txn(txn); status != 200 {
			continue
		}
		id, isCheckpoint := strings.CutPrefix(txn.Changes[0].Put, wire.PrefixCheckpoint)
		if _, over := h.c.jobs.final(id); isCheckpoint && len(txn.Changes) == 1 && over {
			delete(h.keys, txn.Changes[0].Put) // nobody reads the checkpoint of a job that is over
			continue
		}
		h.t.Errorf("after %s: a repeat of %v is applied", after, txn.Changes)
	}
	if !maps.Equal(before, h.modRevisionsOf()) {
		h.t.Fatalf("after %s the store has changed", after)
	}
}

// runOnMachines has each of n machines start the tasks that it is given, and list their
// ends.
func (h *harness) runOnMachines(n int, tokens map[string]uint64) {
	h.t.Helper()
	h.dropCalls()
	for i := range n {
		id := machineName(i)
		_, body := h.heartbeat(heartbeatFrom(id, 1, 10, tokens[id]))
		cmds := starts(body.Commands)
		h.heartbeat(heartbeatFrom(id, 1, 11, tokens[id], shown(cmds, wire.TaskRunning)...))
		h.run(sec)
		h.dropCalls()
		h.heartbeat(heartbeatFrom(id, 1, 12, tokens[id], shownDone(cmds)...))
		h.run(3 * sec) // checkpoints
		h.dropCalls()
	}
}

// checkpointsStored counts the checkpoints in the store.
func (h *harness) checkpointsStored() int {
	n := 0
	for key := range h.keys {
		if strings.HasPrefix(key, wire.PrefixCheckpoint) {
			n++
		}
	}
	return n
}

// moveRetireAndRewrite moves the first of three machines to the other shard, retires the
// second, and has the record set of the third rewritten.
func (h *harness) moveRetireAndRewrite(tokens map[string]uint64) {
	h.t.Helper()
	h.run(3 * sec)
	moved, retired := h.c.machines[machineName(0)], h.c.machines[machineName(1)]
	for i := range 3 { // empty again
		h.heartbeat(heartbeatFrom(machineName(i), 1, 30, tokens[machineName(i)]))
	}
	h.dropCalls()
	from := moved.rec.Shard
	h.c.release(peer.Release{Machines: []string{moved.id}, ToShard: 1 - from})
	h.run(2 * sec)
	h.c.release(peer.Release{Machines: []string{retired.id}, Cordon: true})
	h.run(2 * sec)
	if h.c.machines[moved.id].rec.Shard == from || !retired.rec.Cordoned {
		h.t.Fatalf("moved %v, retired %v", h.c.machines[moved.id].rec.Shard != from, retired.rec.Cordoned)
	}
	third := h.c.machines[machineName(2)]
	h.c.raiseFencingToken(h.c.ownership.shards[third.rec.Shard], third)
	h.run(sec)
}

// returnIdleMachines lets time pass until all machines are returned.
func (h *harness) returnIdleMachines() {
	h.t.Helper()
	h.c.fleet.planNext = h.now
	for seq := uint64(40); seq < 80; seq++ {
		h.run(sec)
		h.dropCalls()
		for _, id := range sortedKeys(h.c.machines) {
			m := h.c.machines[id]
			h.heartbeat(heartbeatFrom(id, 1, seq, h.c.fencingToken(h.c.ownership.shards[m.rec.Shard], m)))
		}
	}
	if len(h.c.machines) != 0 {
		h.t.Fatalf("%d machines are left", len(h.c.machines))
	}
}

// TestRepeatedWrites checks that the repeat of a write does nothing. A transaction that was
// executed may be executed again at any later time, also after its sender has ended, so whatever
// the controller writes has conditions that a repeat does not meet: in a run with every kind of
// write, each is repeated after each later one.
func TestRepeatedWrites(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Shards, c.MaxMachines = 2, 100
		c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}}
	})
	h.checkRepeatsDoNothing("the claims")
	tokens := map[string]uint64{}
	for i := range 3 {
		tokens[machineName(i)] = h.reconcile(machineName(i))
	}
	h.checkRepeatsDoNothing("assignment")
	h.c.fleet.planNext = micros.Never // idle machines stay for now
	h.submit(jobOf("job-000001", 2))
	h.submit(jobOf("job-000002", 400))
	h.checkRepeatsDoNothing("accepting")
	h.runOnMachines(3, tokens)
	if h.state("job-000001") != wire.StateDone {
		t.Fatalf("the first job is %q", h.state("job-000001"))
	}
	if h.checkpointsStored() == 0 {
		t.Fatal("no checkpoint was recorded")
	}
	h.checkRepeatsDoNothing("an end and checkpoints")
	if a := h.ask(func(r ReplyID) Input { return CancelRequest{Reply: r, ID: "job-000002"} }); a.Status != 200 {
		t.Fatalf("cancelled: %d", a.Status)
	}
	h.checkRepeatsDoNothing("a cancellation")
	h.moveRetireAndRewrite(tokens)
	h.checkRepeatsDoNothing("moves, a retirement and a rewrite")
	h.returnIdleMachines()
	h.checkRepeatsDoNothing("the end of all machines")
	kinds := map[string]bool{}
	for _, txn := range h.done {
		for _, c := range txn.Changes {
			key := c.Put + c.Delete
			kinds[key[:3]] = true
		}
	}
	if len(h.done) < 12 || len(kinds) < 3 {
		t.Errorf("only %d transactions of kinds %v were repeated", len(h.done), kinds)
	}
}

// TestRepeatedRequests checks that requests to the controller that were executed and come again,
// late, get the state that they find and change nothing.
func TestRepeatedRequests(t *testing.T) {
	submit := func(r ReplyID) Input { return SubmitRequest{Reply: r, Job: jobOf("job-000001", 1)} }
	cancel := func(r ReplyID) Input { return CancelRequest{Reply: r, ID: "job-000001"} }
	broken := func(r ReplyID) Input {
		return SubmitRequest{Reply: r, Err: &wire.SubmissionError{ID: "job-000001"}}
	}
	misfit := func(r ReplyID) Input {
		s := jobOf("job-000001", 1)
		s.CPUs = 1000
		return SubmitRequest{Reply: r, Job: s}
	}
	for _, tc := range []struct {
		since  string
		repeat func(ReplyID) Input
		want   string
	}{
		{"accepted", submit, "200 pending"},
		{"running", submit, "200 running"},
		{"done", submit, "200 done"},
		{"cancelled", submit, "200 cancelled"},
		{"done", cancel, "200 done"},
		{"cancelled", cancel, "200 cancelled"},
		{"cancelled", broken, "200 cancelled"},
		{"running", broken, "200 running"},
		{"done", misfit, "200 done"},
		{"nothing", cancel, "404 "},
		{"nothing", broken, "400 "},
	} {
		t.Run(fmt.Sprintf("%s, %T", tc.since, tc.repeat(0)), func(t *testing.T) {
			h := newHarness(t, nil)
			fencingToken := h.reconcile("vm-1")
			if tc.since != "nothing" {
				h.submit(jobOf("job-000001", 1))
			}
			switch tc.since {
			case "running", "done":
				h.dropCalls()
				_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
				h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, shown(starts(body.Commands), wire.TaskRunning)...))
				if tc.since == "done" {
					end := shown(starts(body.Commands), wire.TaskExited)
					end[0].ExitReason = wire.ExitDone
					h.heartbeat(heartbeatFrom("vm-1", 1, 12, fencingToken, end...))
					h.run(sec)
				}
			case "cancelled":
				h.ask(cancel)
				h.run(sec)
			}
			tasks, rev := 0, h.rev
			if m := h.c.machines["vm-1"]; m.view != nil {
				tasks = len(m.view.list)
			}
			a := h.ask(tc.repeat)
			state := wire.JobState("")
			if b, ok := a.Body.(wire.JobAnswer); ok {
				state = b.State
			}
			if got := fmt.Sprintf("%d %s", a.Status, state); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
			if h.rev != rev || len(h.c.machines["vm-1"].view.list) != tasks {
				t.Error("the repeat has changed something")
			}
		})
	}
}

// TestRepeatedPeerMessages checks that messages of other controllers that come again, late, do no
// harm: an old claim deprives no owner of its shard, names of returned machines stay true, a
// release finds the machine gone or busy, and a hint of a job that is over does not bring it back.
func TestRepeatedPeerMessages(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"}; c.MaxMachines = 100 })
	h.submit(jobOf("job-000009", 4000))
	h.run(8 * sec)
	fencingToken := h.reconcile("vm-1")
	h.reconcile("vm-2")
	h.startOneOf("vm-1", fencingToken)
	s := h.c.ownership.shards[0]
	done := wire.JobRecord{State: wire.StateDone, Tasks: 1}
	h.put(wire.JobKey("job-000001"), done)
	sub := jobOf("job-000001", 1)
	record, err := wire.Encode(wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name string
		req  peer.Request
	}{
		{"a status from before our claim", peer.Request{Status: &peer.Status{ControllerState: peer.ControllerState{Claims: []peer.ShardClaim{{Shard: 0, OwnerEpoch: s.ownerEpoch - 1}}}}}},
		{"a release of a busy machine", peer.Request{Release: &peer.Release{Machines: []string{"vm-1"}, Cordon: true}}},
		{"a release of a machine that is gone", peer.Request{Release: &peer.Release{Machines: []string{"vm-8"}, Cordon: true}}},
		{"a hint of a job that is over", peer.Request{JobRecordHint: &peer.JobRecordHint{ID: "job-000001", ModRevision: 1, Record: record}}},
		{"the return of a machine that is gone", peer.Request{Status: &peer.Status{ReturnedMachines: []string{"vm-8"}}}},
	} {
		tc.req.From = "n-1"
		h.ask(func(r ReplyID) Input { return PeerRequest{Reply: r, Req: tc.req} })
		h.run(sec)
		switch {
		case h.c.ownership.activeShard(0) == nil:
			t.Errorf("%s: the shard was given up", tc.name)
		case h.c.machines["vm-1"] == nil || h.c.machines["vm-1"].rec.Cordoned || len(h.c.machines["vm-1"].view.list) == 0:
			t.Errorf("%s: a machine in use was released", tc.name)
		case h.c.jobs.open["job-000001"] != nil || h.state("job-000001") != wire.StateDone:
			t.Errorf("%s: a job that is over came back", tc.name)
		}
	}
}

// startOneOf has a waiting task started by the answer to a machine's heartbeat.
func (h *harness) startOneOf(id string, fencingToken uint64) {
	h.t.Helper()
	h.dropCalls()
	_, body := h.heartbeat(heartbeatFrom(id, 1, 10, fencingToken))
	cmds := starts(body.Commands)
	if len(cmds) == 0 {
		h.t.Fatal("nothing was started")
	}
	h.heartbeat(heartbeatFrom(id, 1, 11, fencingToken, shown(cmds, wire.TaskRunning)...))
}
