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

// checkRepeatsDoNothing executes all transactions so far a second time and fails if the store
// changes. after names the writes that preceded the call, for failure texts.
func (h *harness) checkRepeatsDoNothing(after string) {
	h.t.Helper()
	before := h.modRevisionsOf()
	for _, txn := range slices.Clone(h.appliedTxns) {
		if status, _ := h.applyTxn(txn); status != 200 {
			continue
		}
		id, isCheckpoint := strings.CutPrefix(txn.Changes[0].Put, wire.PrefixCheckpoint)
		if _, ended := h.c.jobs.final(id); isCheckpoint && len(txn.Changes) == 1 && ended {
			delete(h.keys, txn.Changes[0].Put) // nobody reads the checkpoint of an ended job
			continue
		}
		h.t.Errorf("after %s: a repeated transaction with the changes %v is applied", after, txn.Changes)
	}
	if !maps.Equal(before, h.modRevisionsOf()) {
		h.t.Fatalf("after %s: repeated transactions have changed the store", after)
	}
}

// runOnMachines makes each of n machines start the tasks that it is sent and then report that they
// are done.
func (h *harness) runOnMachines(n int, tokens map[string]uint64) {
	h.t.Helper()
	h.dropWorkerCalls()
	for i := range n {
		id := machineName(i)
		_, body := h.heartbeat(heartbeatFrom(id, 1, 10, tokens[id]))
		cmds := startCommands(body.Commands)
		h.heartbeat(heartbeatFrom(id, 1, 11, tokens[id], taskStatuses(cmds, wire.TaskRunning)...))
		h.run(sec)
		h.dropWorkerCalls()
		h.heartbeat(heartbeatFrom(id, 1, 12, tokens[id], shownDone(cmds)...))
		h.run(3 * sec) // checkpoints
		h.dropWorkerCalls()
	}
}

// checkpointsStored returns the number of checkpoints in the store.
func (h *harness) checkpointsStored() int {
	n := 0
	for key := range h.keys {
		if strings.HasPrefix(key, wire.PrefixCheckpoint) {
			n++
		}
	}
	return n
}

// moveRetireAndRewrite moves the first of three machines to the other shard, cordons the second for
// its return, and causes a rewrite of the record set of the third.
func (h *harness) moveRetireAndRewrite(tokens map[string]uint64) {
	h.t.Helper()
	h.run(3 * sec)
	moved, retired := h.c.machines[machineName(0)], h.c.machines[machineName(1)]
	for i := range 3 { // the machines hold no tasks any more
		h.heartbeat(heartbeatFrom(machineName(i), 1, 30, tokens[machineName(i)]))
	}
	h.dropWorkerCalls()
	from := moved.rec.Shard
	h.c.release(peer.Release{Machines: []string{moved.id}, ToShard: 1 - from})
	h.run(2 * sec)
	h.c.release(peer.Release{Machines: []string{retired.id}, Cordon: true})
	h.run(2 * sec)
	if h.c.machines[moved.id].rec.Shard == from || !retired.rec.Cordoned {
		h.t.Fatalf("machine moved: %v, machine cordoned: %v; want both", h.c.machines[moved.id].rec.Shard != from, retired.rec.Cordoned)
	}
	third := h.c.machines[machineName(2)]
	h.c.raiseFencingToken(h.c.ownership.shards[third.rec.Shard], third)
	h.run(sec)
}

// returnIdleMachines runs until all idle machines are returned.
func (h *harness) returnIdleMachines() {
	h.t.Helper()
	h.c.fleet.nextPlanAt = h.now
	for seq := uint64(40); seq < 80; seq++ {
		h.run(sec)
		h.dropWorkerCalls()
		for _, id := range sortedKeys(h.c.machines) {
			m := h.c.machines[id]
			h.heartbeat(heartbeatFrom(id, 1, seq, h.c.fencingToken(h.c.ownership.shards[m.rec.Shard], m)))
		}
	}
	if len(h.c.machines) != 0 {
		h.t.Fatalf("%d machines are not returned", len(h.c.machines))
	}
}

// TestRepeatedWrites checks that a repeated write changes nothing. The state service may execute a
// transaction a second time at any later moment, even after its sender has ended, so every
// transaction of the controller needs a condition that a repeat does not meet. The test performs
// every kind of write, and after each repeats all earlier transactions.
func TestRepeatedWrites(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Shards, c.MaxMachines = 2, 100
		c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}}
	})
	h.checkRepeatsDoNothing("the claims")
	tokens := map[string]uint64{}
	for i := range 3 {
		tokens[machineName(i)] = h.reconcileMachine(machineName(i))
	}
	h.checkRepeatsDoNothing("assignment")
	h.c.fleet.nextPlanAt = micros.Never // idle machines are not returned yet
	h.submit(newSubmission("job-000001", 2))
	h.submit(newSubmission("job-000002", 400))
	h.checkRepeatsDoNothing("accepting")
	h.runOnMachines(3, tokens)
	if h.jobState("job-000001") != wire.StateDone {
		t.Fatalf("the first job is in state %q, want done", h.jobState("job-000001"))
	}
	if h.checkpointsStored() == 0 {
		t.Fatal("no checkpoint was recorded")
	}
	h.checkRepeatsDoNothing("an end and checkpoints")
	if a := h.request(func(r ReplyID) Input { return CancelRequest{Reply: r, ID: "job-000002"} }); a.Status != 200 {
		t.Fatalf("the cancellation is answered %d, want 200", a.Status)
	}
	h.checkRepeatsDoNothing("a cancellation")
	h.moveRetireAndRewrite(tokens)
	h.checkRepeatsDoNothing("moves, a retirement and a rewrite")
	h.returnIdleMachines()
	h.checkRepeatsDoNothing("the end of all machines")
	kinds := map[string]bool{}
	for _, txn := range h.appliedTxns {
		for _, c := range txn.Changes {
			key := c.Put + c.Delete
			kinds[key[:3]] = true
		}
	}
	if len(h.appliedTxns) < 12 || len(kinds) < 3 {
		t.Errorf("%d transactions of the kinds %v were repeated, want at least 12 of at least 3 kinds", len(h.appliedTxns), kinds)
	}
}

// TestRepeatedRequests checks that a late repeat of a user's request that was already executed is
// answered with the current state and changes nothing.
func TestRepeatedRequests(t *testing.T) {
	submit := func(r ReplyID) Input { return SubmitRequest{Reply: r, Job: newSubmission("job-000001", 1)} }
	cancel := func(r ReplyID) Input { return CancelRequest{Reply: r, ID: "job-000001"} }
	malformed := func(r ReplyID) Input {
		return SubmitRequest{Reply: r, Err: &wire.SubmissionError{ID: "job-000001"}}
	}
	tooLarge := func(r ReplyID) Input {
		s := newSubmission("job-000001", 1)
		s.CPUs = 1000
		return SubmitRequest{Reply: r, Job: s}
	}
	for _, tc := range []struct {
		jobState string
		repeat   func(ReplyID) Input
		want     string
	}{
		{"accepted", submit, "200 pending"},
		{"running", submit, "200 running"},
		{"done", submit, "200 done"},
		{"cancelled", submit, "200 cancelled"},
		{"done", cancel, "200 done"},
		{"cancelled", cancel, "200 cancelled"},
		{"cancelled", malformed, "200 cancelled"},
		{"running", malformed, "200 running"},
		{"done", tooLarge, "200 done"},
		{"nothing", cancel, "404 "},
		{"nothing", malformed, "400 "},
	} {
		t.Run(fmt.Sprintf("%s, %T", tc.jobState, tc.repeat(0)), func(t *testing.T) {
			h := newHarness(t, nil)
			fencingToken := h.reconcileMachine("vm-1")
			if tc.jobState != "nothing" {
				h.submit(newSubmission("job-000001", 1))
			}
			switch tc.jobState {
			case "running", "done":
				h.dropWorkerCalls()
				_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
				h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, taskStatuses(startCommands(body.Commands), wire.TaskRunning)...))
				if tc.jobState == "done" {
					end := taskStatuses(startCommands(body.Commands), wire.TaskExited)
					end[0].ExitReason = wire.ExitDone
					h.heartbeat(heartbeatFrom("vm-1", 1, 12, fencingToken, end...))
					h.run(sec)
				}
			case "cancelled":
				h.request(cancel)
				h.run(sec)
			}
			tasks, rev := 0, h.revision
			if m := h.c.machines["vm-1"]; m.view != nil {
				tasks = len(m.view.attemptList)
			}
			a := h.request(tc.repeat)
			state := wire.JobState("")
			if b, ok := a.Body.(wire.JobAnswer); ok {
				state = b.State
			}
			if got := fmt.Sprintf("%d %s", a.Status, state); got != tc.want {
				t.Errorf("answered %q, want %q", got, tc.want)
			}
			if h.revision != rev || len(h.c.machines["vm-1"].view.attemptList) != tasks {
				t.Error("the repeat has changed the store or the machine's tasks")
			}
		})
	}
}

// TestRepeatedPeerMessages checks that late repeats of messages from other controllers do no harm: an
// old claim takes no shard from its owner, the names of returned machines are still correct, a
// release of a machine that is gone or busy has no effect, and a hint about an ended job does not
// reopen it.
func TestRepeatedPeerMessages(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"}; c.MaxMachines = 100 })
	h.submit(newSubmission("job-000009", 4000))
	h.run(8 * sec)
	fencingToken := h.reconcileMachine("vm-1")
	h.reconcileMachine("vm-2")
	h.startOneOf("vm-1", fencingToken)
	s := h.c.ownership.shards[0]
	done := wire.JobRecord{State: wire.StateDone, Tasks: 1}
	h.putRecord(wire.JobKey("job-000001"), done)
	sub := newSubmission("job-000001", 1)
	record, err := wire.Encode(wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name string
		req  peer.Request
	}{
		{"a status from before this node's claim", peer.Request{Status: &peer.Status{ControllerState: peer.ControllerState{Claims: []peer.ShardClaim{{Shard: 0, OwnerEpoch: s.ownerEpoch - 1}}}}}},
		{"a release of a busy machine", peer.Request{Release: &peer.Release{Machines: []string{"vm-1"}, Cordon: true}}},
		{"a release of a machine that is gone", peer.Request{Release: &peer.Release{Machines: []string{"vm-8"}, Cordon: true}}},
		{"a hint about an ended job", peer.Request{JobRecordHint: &peer.JobRecordHint{ID: "job-000001", ModRevision: 1, Record: record}}},
		{"the return of a machine that is gone", peer.Request{Status: &peer.Status{ReturnedMachines: []string{"vm-8"}}}},
	} {
		tc.req.From = "n-1"
		h.request(func(r ReplyID) Input { return PeerRequest{Reply: r, Req: tc.req} })
		h.run(sec)
		switch {
		case h.c.ownership.activeShard(0) == nil:
			t.Errorf("%s: the shard was given up", tc.name)
		case h.c.machines["vm-1"] == nil || h.c.machines["vm-1"].rec.Cordoned || len(h.c.machines["vm-1"].view.attemptList) == 0:
			t.Errorf("%s: a machine in use was released", tc.name)
		case h.c.jobs.open["job-000001"] != nil || h.jobState("job-000001") != wire.StateDone:
			t.Errorf("%s: an ended job was reopened", tc.name)
		}
	}
}

// startOneOf makes a machine start the waiting tasks that the reply to its heartbeat contains.
func (h *harness) startOneOf(id string, fencingToken uint64) {
	h.t.Helper()
	h.dropWorkerCalls()
	_, body := h.heartbeat(heartbeatFrom(id, 1, 10, fencingToken))
	cmds := startCommands(body.Commands)
	if len(cmds) == 0 {
		h.t.Fatal("the reply to the heartbeat starts no task")
	}
	h.heartbeat(heartbeatFrom(id, 1, 11, fencingToken, taskStatuses(cmds, wire.TaskRunning)...))
}
