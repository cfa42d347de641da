package controller

import (
	"testing"

	"garnethitch/internal/controller/ownership"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestFailover checks that, after a failover, jobs that a former owner may have started wait until
// every machine of the shard is reconciled, and that jobs accepted after the claim do not wait.
func TestFailover(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"}; c.Shards = 1 })
	// n-1 owned the shard; its job and its machines are on record.
	old := newSubmission("job-000001", 1)
	h.putMachines("l-1-1", "vm-1", "vm-2")
	h.putRecord(wire.JobKey("job-000001"), wire.JobRecord{Submission: &old, State: wire.StatePending, Tasks: 1})
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(3 * sec)
	s := h.c.ownership.shards[0]
	if !s.owned() {
		t.Fatal("the shard was not claimed")
	}
	h.dropWorkerCalls()
	fencingToken := h.c.fencingToken(s, h.c.machines["vm-1"])
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 5, fencingToken))
	if n := len(startCommands(body.Commands)); n != 0 {
		t.Fatalf("%d tasks of the old job started while vm-2 may still run them, want none", n)
	}
	h.submit(newSubmission("job-000002", 1))
	h.dropWorkerCalls()
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 6, fencingToken))
	if got := startCommands(body.Commands); len(got) != 1 || got[0].Task != "job-000002/0" {
		t.Errorf("starts %v, want only the task of the new job", got)
	}
	started := startCommands(body.Commands)[0]
	// vm-2 reports the old task: the task is adopted, not started again.
	_, body = h.heartbeat(heartbeatFrom("vm-2", 1, 5, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: 7, State: wire.TaskRunning}))
	for _, c := range body.Commands {
		t.Errorf("unexpected command %v", c)
	}
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 7, fencingToken, wire.TaskStatus{Task: started.Task, Attempt: started.Attempt, State: wire.TaskRunning}))
	if n := len(startCommands(body.Commands)); n != 0 {
		t.Errorf("the old task was started again")
	}
	if s := h.jobState("job-000001"); s != wire.StateRunning {
		t.Errorf("the old job is %q, want running", s)
	}
}

// TestLosingTheStateService checks that an owner that has lost the state service stops answering
// from memory when LeaseValidity is over, and stops commanding its machines when CommandValidity is
// over.
func TestLosingTheStateService(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 1))
	h.stateDown = true
	last := h.c.ownership.lease.RenewedAt()
	seq := uint64(10)
	for h.now < last+h.c.bounds.CommandValidity+2*sec {
		h.run(sec / 2)
		seq++
		status, _ := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken))
		if want := h.now < last+h.c.bounds.CommandValidity; (status == 200) != want {
			t.Fatalf("%v s after the last renewal a heartbeat was answered %d, want 200 only within CommandValidity", (h.now - last).Seconds(), status)
		}
		a := h.jobStatus("job-000001")
		if want := h.now < last+h.c.bounds.LeaseValidity; (a.Status == 200) != want {
			t.Fatalf("%v s after the last renewal a status request was answered %d, want 200 only within LeaseValidity", (h.now - last).Seconds(), a.Status)
		}
	}
	if h.c.bounds.CommandValidity <= h.c.bounds.LeaseValidity+micros.Second {
		t.Error("test setup: CommandValidity must be more than 1 s longer than LeaseValidity")
	}
}

// TestIsolatedWithItsWorkers checks that a controller that reaches neither the state service nor
// its peers stops answering its machines after CommandValidity, is not ready, and answers users
// only about final states.
func TestIsolatedWithItsWorkers(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"} })
	h.run(2 * sec)
	fencingToken := h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 1))
	h.submit(newSubmission("job-000002", 1))
	h.request(func(r ReplyID) Input { return CancelRequest{Reply: r, ID: "job-000002"} })
	h.stateDown, h.peersDown = true, true
	last := h.now
	b := h.c.bounds
	seq := uint64(20)
	for h.now < last+b.CommandValidity+2*sec {
		h.run(sec / 2)
		seq++
		status, _ := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken))
		if h.now > last+b.CommandValidity && status == 200 {
			t.Fatalf("heartbeat answered 200 %v s after the last renewal, bound %v s", (h.now - last).Seconds(), b.CommandValidity.Seconds())
		}
	}
	if a := h.request(func(r ReplyID) Input { return ReadinessRequest{Reply: r} }); a.Status != 503 {
		t.Errorf("readiness answered %d, want 503 so that users go to the other controllers", a.Status)
	}
	if a := h.jobStatus("job-000001"); a.Status == 200 {
		t.Errorf("answered from memory about an open job: %v", a.Body)
	}
	if s := h.jobState("job-000002"); s != wire.StateCancelled {
		t.Errorf("the cancelled job is in state %q, want cancelled", s)
	}
}

// TestRestartWithinLease checks that a process restarted within its lease replaces the keys of its
// former process, and that requests of the former process that arrive late change nothing.
func TestRestartWithinLease(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"}; c.Shards = 1 })
	key := ownerKey(0)
	stale := h.keys[key].ModRevision - 1
	lease := h.c.ownership.lease.ID()
	// The former process's claim arrives only now. Its condition is that the key does not exist.
	value, err := wire.Encode(wire.OwnerRecord{Label: "n-0", Incarnation: 999})
	if err != nil {
		t.Fatal(err)
	}
	if status, _ := h.applyTxn(wire.Txn{Conditions: []wire.Condition{{Key: key}}, Changes: []wire.Change{{Put: key, Value: value}}}); status != 409 {
		t.Fatalf("a late claim was answered %d, want 409", status)
	}
	// The former process's claim arrived first: the key holds this node's label, but another
	// incarnation.
	h.putRecord(key, wire.OwnerRecord{Label: "n-0", Incarnation: 999})
	h.run(sec)
	s := h.c.ownership.shards[0]
	if !s.owned() || s.owner.Incarnation != lease || s.ownerEpoch <= stale {
		t.Fatalf("the shard has owner %+v, ownership %v; want it owned by this process under a new epoch", s.owner, s.ownership)
	}
	if got := h.keys[key].ModRevision; got != s.ownerEpoch {
		t.Errorf("the owner key has revision %d, but the shard has owner epoch %d, want the same", got, s.ownerEpoch)
	}
	// A late write of the former process under its old epoch does not apply.
	if status, _ := h.applyTxn(wire.Txn{Conditions: []wire.Condition{{Key: key, ModRevision: stale}}, Changes: []wire.Change{{Delete: key}}}); status != 409 {
		t.Errorf("a late write under an old epoch was answered %d, want 409", status)
	}
}

// TestReleaseShard checks that a shard is released to its preferred owner once that node has been
// up for a while, whether or not commands are in flight. It is not released while a machine is not
// reconciled: the next owner would have to wait for that machine from the beginning.
func TestReleaseShard(t *testing.T) {
	for _, tc := range []struct {
		name   string
		uptime micros.Micros // of the preferred owner
		change func(*machineView)
		want   bool
	}{
		{"nothing in flight", 20 * sec, func(*machineView) {}, true},
		{"a command in flight", 20 * sec, func(v *machineView) { v.commandInFlight = true }, true},
		{"a command in doubt", 20 * sec, func(v *machineView) { v.inDoubtToken = 1 << 40 }, true},
		{"a machine not reconciled", 20 * sec, func(v *machineView) { v.unreconciledFromPredecessor = true }, false},
		{"its preferred owner has just started", sec, func(*machineView) {}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Label, c.Peers = "n-1", []string{"n-0"} })
			h.run(14 * sec)
			h.reconcileMachine("vm-1")
			s := h.c.ownership.shards[0]
			if !s.owned() {
				t.Fatal("the shard is not owned")
			}
			tc.change(h.c.machines["vm-1"].view)
			h.request(func(r ReplyID) Input {
				return PeerRequest{Reply: r, Req: peer.Request{From: "n-0", Status: &peer.Status{ControllerState: peer.ControllerState{StateReachable: true, UptimeUS: int64(tc.uptime)}}}}
			})
			h.c.releaseToPreferredOwner()
			if s.releasing() != tc.want {
				t.Errorf("releasing: %v, want %v", s.releasing(), tc.want)
			}
		})
	}
}

// TestReleaseShardBesideStatusRequests checks that the deletion of an owner key is sent ahead of
// users' reads: while more status requests arrive than can be answered by reads, the key is deleted
// within 5 s.
// While a shard is being released no node answers for its jobs from memory, so that each user request
// takes a read. In a fault that the simulation found, the deletion waited behind these reads, which
// lasted as long as the release did. With 4,000 machines and a state service with a low request rate
// a shard was being released for 100 s, and its machines got no answers: "state requests" showed
// 8,309 sent and 10,715 expired requests in the class of the reads, 45 and 261 in that of the
// deletion. See docs/incidents/2026-12-share-stood-still.md.
func TestReleaseShardBesideStatusRequests(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.StateRPS = 60
	})
	s := h.c.ownership.shards[0]
	ask := func(d micros.Micros) {
		for until := h.now + d; h.now < until; {
			for range 2 {
				h.jobStatus("job-000777")
			}
			h.run(20 * ms)
		}
	}
	ask(sec)
	modRevision := s.ownerEpoch
	h.c.releaseShard(s)
	ask(5 * sec)
	if h.keys[ownerKey(0)].ModRevision == modRevision {
		t.Error("the owner key still exists 5 s after the release began")
	}
}

// TestLateRenewals checks that renewals are sent at a steady rate while their responses are late,
// and that a renewal counts from when it was sent, not answered.
func TestLateRenewals(t *testing.T) {
	h := newHarness(t, nil)
	var sent []Call
	var at []micros.Micros
	for end := h.now + 30*sec; h.now < end; {
		h.now += 20 * ms
		for _, e := range h.c.Step(Instant{Monotonic: h.now, Wall: h.now}, Tick{}) {
			if call, ok := e.(Call); ok {
				if _, renew := call.Req.(statestore.RenewLease); renew {
					sent, at = append(sent, call), append(at, h.now)
				} else if call.To != ToWorker {
					h.handleCall(call)
				}
			}
		}
		for len(at) > 0 && h.now >= at[0]+2500*ms { // each response takes 2.5 s
			h.step(Result{ID: sent[0].ID, Status: 200})
			sent, at = sent[1:], at[1:]
		}
		if len(sent) > ownership.MaxRenewalsInFlight {
			t.Fatalf("%d renewals in flight, want at most MaxRenewalsInFlight", len(sent))
		}
		if !h.c.ownership.leaseValid() {
			t.Fatalf("the lease is not valid %v s after the last successful renewal was sent", (h.now - h.c.ownership.lease.RenewedAt()).Seconds())
		}
	}
}
