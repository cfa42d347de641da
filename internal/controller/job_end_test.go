package controller

import (
	"testing"

	"garnethitch/internal/wire"
)

// TestUnansweredEnd checks that an end whose transaction was not answered is resolved by a read;
// until then the job's status is not answered from memory.
func TestUnansweredEnd(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	a := h.startOneTask(fencingToken)
	h.loseAnswersPrefix, h.blockedWatchPrefix = wire.JobKey("job-000001"), wire.PrefixJob
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitDone}))
	// Applied, not answered: the store holds done, and so must every answer.
	if s := h.jobState("job-000001"); s != wire.StateDone {
		t.Errorf("called %q while its end stands on record", s)
	}
}

// TestCancellationRequestStopsTasks has the owner's record of a cancellation executed with its
// answer lost, and the state service refuse the owner from then on. Its machines must stop the task
// although the owner can neither read nor watch. Several guards each suffice; this case is about
// the request itself: no start follows it, and its tasks are stopped.
func TestCancellationRequestStopsTasks(t *testing.T) {
	for _, tc := range []struct {
		name string
		// fault comes before the cancellation, later after it.
		fault func(h *harness)
		later func(h *harness)
	}{
		{"refused before the record", func(h *harness) { h.stateDown, h.stateRefuses = true, true }, nil},
		{"no answer at all", func(h *harness) { h.stateDown = true }, nil},
		{"executed, answer lost, then refused", func(h *harness) {
			h.loseAnswersPrefix, h.blockedWatchPrefix = wire.JobKey("job-000001"), wire.PrefixJob
		}, func(h *harness) { h.stateDown, h.stateRefuses = true, true }},
		{"delayed, then refused", func(h *harness) { h.delayPrefix = wire.JobKey("job-000001") },
			func(h *harness) { h.stateDown, h.stateRefuses = true, true }},
		{"cancelled once the lease is over", func(h *harness) {
			h.stateDown = true
			for seq := uint64(100); h.now < h.c.ownership.lease.RenewedAt()+h.c.bounds.LeaseValidity+sec/2; seq++ {
				h.run(100 * ms)
			}
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			fencingToken, a := h.runOneTask()
			h.submit(newSubmission("job-000002", 1))
			h.dropWorkerCalls()
			tc.fault(h)
			if got := h.cancel("job-000001"); got.Status == 200 {
				t.Fatalf("called cancelled without a record")
			}
			if tc.later != nil {
				tc.later(h)
			}
			h.workerCalls = nil
			h.step(Tick{})
			status, body := h.heartbeat(h.runningHeartbeat(1000, fencingToken, a))
			if status != 200 || countImmediateStops(body.Commands) != 1 {
				t.Errorf("heartbeat answered %d, %v; want the task stopped", status, body.Commands)
			}
			for _, c := range startCommands(body.Commands) {
				if c.Task == "job-000001/0" {
					t.Errorf("started after its user asked to cancel it")
				}
			}
			// A 503 says that nothing was recorded, so nobody can have answered anything newer.
			if s := h.jobState("job-000001"); s != "" && (s != wire.StateRunning || tc.name != "refused before the record") {
				t.Errorf("called %q while nobody can know", s)
			}
			// What has exited is not tried again, and counts until it is seen gone.
			if n := h.c.ownership.shards[0].usage[0].cpus; n < 1 {
				t.Errorf("a task that is not seen gone counts %v CPUs", n)
			}
			_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 1001, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitStopped}))
			for _, c := range startCommands(body.Commands) {
				if c.Task == "job-000001/0" {
					t.Errorf("started again")
				}
			}
			// The owner records by itself once it can.
			h.stateDown, h.stateRefuses, h.blockedWatchPrefix, h.loseAnswersPrefix, h.delayPrefix = false, false, "", "", ""
			for range 8 {
				h.timeOutLostAnswers()
				held := h.unansweredStateCalls
				h.unansweredStateCalls = nil
				for _, c := range held {
					h.step(Result{ID: c.ID})
				}
				for _, c := range h.delayedTxns {
					h.step(Result{ID: c.ID})
				}
				h.delayedTxns = nil
				h.run(sec)
			}
			if s := h.jobState("job-000001"); s != wire.StateCancelled {
				t.Errorf("called %q at the end, want cancelled without another request", s)
			}
		})
	}
}

// TestInDoubtEnd checks that an owner does not answer from memory about a job whose end is in
// doubt. A transaction that ends a job may be executed at any time once its answer is missing, also
// after newer ones of the same controller were refused, and another controller may call the job
// cancelled from then on.
func TestInDoubtEnd(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	h.runOneTask()
	h.delayPrefix = wire.JobKey("job-000001")
	h.cancel("job-000001")
	for range 4 { // unanswered, read as pending, sent again: again unanswered
		h.run(sec)
		for _, c := range h.delayedTxns {
			h.step(Result{ID: c.ID})
		}
	}
	if len(h.delayedTxns) < 2 {
		t.Fatalf("%d transactions delayed, want some", len(h.delayedTxns))
	}
	h.blockedWatchPrefix, h.stateDown, h.stateRefuses = wire.PrefixJob, true, true
	h.run(sec / 2)
	if n := h.applyDelayedTxns(); n != 1 {
		t.Fatalf("%d of the copies were executed, want 1", n)
	}
	if s := h.jobState("job-000001"); s == wire.StateRunning || s == wire.StatePending {
		t.Errorf("called %q, cancelled on record", s)
	}
	h.stateDown = false
	if s := h.jobState("job-000001"); s != wire.StateCancelled {
		t.Errorf("called %q, cancelled on record", s)
	}
}

// TestCancelDuringEnd has a cancellation, a status request and a repeated submission coincide with
// the end of a job's last task: every answer gives the state that was recorded first.
func TestCancelDuringEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose bool
		// cancelFirst is set if the cancellation comes before the heartbeat with the end.
		cancelFirst bool
		want        wire.JobState
	}{
		{"ended first", false, false, wire.StateDone},
		{"ended first, answer lost", true, false, wire.StateDone},
		{"cancelled first", false, true, wire.StateCancelled},
		{"cancelled first, answer lost", true, true, wire.StateCancelled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			fencingToken, a := h.runOneTask()
			if tc.lose {
				h.loseAnswersPrefix, h.blockedWatchPrefix = wire.JobKey("job-000001"), wire.PrefixJob
			}
			var first Answer
			var asked ReplyID
			if tc.cancelFirst {
				first, asked = h.cancel("job-000001"), h.lastReply
			}
			h.heartbeat(heartbeatFrom("vm-1", 1, 12, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitDone}))
			if !tc.cancelFirst {
				first, asked = h.cancel("job-000001"), h.lastReply
			}
			if s := h.jobState("job-000001"); s != tc.want {
				t.Errorf("a status request in between: %q, want %s", s, tc.want)
			}
			if b, _ := h.submit(newSubmission("job-000001", 1)).Body.(wire.JobAnswer); b.State != tc.want {
				t.Errorf("a repeated submission in between: %q, want %s", b.State, tc.want)
			}
			h.timeOutLostAnswers()
			h.run(2 * sec)
			if first.Status == 0 {
				first = h.answers[asked]
			}
			if b, _ := first.Body.(wire.JobAnswer); first.Status == 200 && b.State != tc.want {
				t.Errorf("cancellation answered %q, want %s", b.State, tc.want)
			}
			if b, _ := h.cancel("job-000001").Body.(wire.JobAnswer); b.State != tc.want {
				t.Errorf("cancelled again: %q, want %s", b.State, tc.want)
			}
		})
	}
}

// TestCancelledTasksCountUntilGone checks that with every team at its limit, cancelled tasks on
// machines that can't be reached count until they are provably gone, also at a new owner that knows
// the job to be over.
func TestCancelledTasksCountUntilGone(t *testing.T) {
	limit := func(c *Config) {
		withPeer(c)
		c.Teams = []Team{{Name: "t", CPUsMax: 2}}
	}
	t.Run("same owner", func(t *testing.T) {
		h := newOwnerHarness(t, limit)
		fencingToken := h.reconcileMachine("vm-1")
		h.reconcileMachine("vm-2")
		h.submit(newSubmission("job-000001", 2))
		h.dropWorkerCalls()
		_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
		cmds := startCommands(body.Commands)
		if len(cmds) != 2 {
			t.Fatalf("%d starts, want 2", len(cmds))
		}
		if a := h.cancel("job-000001"); a.Status != 200 {
			t.Fatalf("cancellation got %d", a.Status)
		}
		h.submit(newSubmission("job-000002", 2))
		h.workerCalls = nil
		if _, body := h.heartbeat(heartbeatFrom("vm-2", 1, 11, fencingToken)); len(startCommands(body.Commands)) != 0 {
			t.Errorf("%v: started beyond the limit", body.Commands)
		}
	})
	t.Run("new owner", func(t *testing.T) {
		h := newOwnerHarness(t, func(c *Config) {
			limit(c)
			c.WorkerLease = 20 * sec
			c.CancelWithin = 40 * sec
		})
		sub := newSubmission("job-000002", 2)
		h.putRecord(wire.JobKey("job-000001"), wire.JobRecord{State: wire.StateCancelled, Tasks: 2})
		h.putMachines("h-1-1", "vm-1", "vm-2")
		h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}}) // claimed anew: they are older
		h.run(sec)
		h.putRecord(wire.JobKey("job-000002"), wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 2})
		h.workerCalls = nil
		s := h.c.ownership.shards[0]
		fencingToken := h.c.fencingToken(s, h.c.machines["vm-2"])
		seq := uint64(20)
		for h.now < s.machinesFreeAt+2*sec {
			seq++
			_, body := h.heartbeat(heartbeatFrom("vm-2", 1, seq, fencingToken))
			if n := len(startCommands(body.Commands)); n > 0 {
				if h.now < s.machinesFreeAt {
					t.Errorf("%d started %v s after the claim, vm-1 may hold cancelled tasks until %v s", n, (h.now - s.claimedAt).Seconds(), (s.machinesFreeAt - s.claimedAt).Seconds())
				}
				return
			}
			h.run(sec / 2)
			h.dropWorkerCalls()
		}
		t.Error("never started")
	})
}

// TestCancellationRequestEndsWithItsOwner checks that a cancellation that was never recorded ends
// with its owner: the next owner runs the job.
func TestCancellationRequestEndsWithItsOwner(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken, a := h.runOneTask()
	h.stateDown = true
	h.cancel("job-000001")
	h.heartbeat(heartbeatFrom("vm-1", 1, 20, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitStopped}))
	h.unansweredStateCalls = nil
	h.stateDown = false
	h.c.loseLease() // as after a 404
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}, {Delete: wire.KeyLeader}}})
	h.run(3 * sec)
	if j := h.c.jobs.open["job-000001"]; j == nil || j.run == nil || j.run.end.requested() {
		t.Fatalf("the job is stuck: %+v", j)
	}
	fencingToken = h.c.fencingToken(h.c.ownership.shards[0], h.c.machines["vm-1"])
	h.dropWorkerCalls()
	started := false
	for seq := uint64(30); seq < 40 && !started; seq++ {
		_, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken))
		started = len(startCommands(body.Commands)) > 0
		h.run(sec / 2)
		h.dropWorkerCalls()
	}
	if !started {
		t.Error("not started again at its next owner")
	}
	if s := h.jobState("job-000001"); s != wire.StatePending && s != wire.StateRunning {
		t.Errorf("called %q", s)
	}
}
