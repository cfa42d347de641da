package controller

import (
	"testing"

	"garnethitch/internal/wire"
)

// TestUnansweredEnd checks that an end whose transaction was not answered is resolved by a read, and
// that the job's status is not answered from memory until then.
func TestUnansweredEnd(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	attempt := h.startOneTask(fencingToken)
	h.loseAnswersPrefix, h.blockedWatchPrefix = wire.JobKey("job-000001"), wire.PrefixJob
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}))
	// The transaction was applied and not answered. The store says done, so every answer must too.
	if s := h.jobState("job-000001"); s != wire.StateDone {
		t.Errorf("the job is in state %q, want the recorded state: done", s)
	}
}

// TestCancellationRequestStopsTasks checks that a cancellation request stops the job's tasks even if
// the owner does not know whether its record was written. In the main case the record is written, its
// answer is lost, and the state service then refuses the owner, which can neither read nor watch.
// Other mechanisms would also stop the task; the test is about the request itself: no start follows
// it, and the tasks are stopped.
func TestCancellationRequestStopsTasks(t *testing.T) {
	for _, tc := range []struct {
		name string
		// fault is applied before the cancellation, later after it.
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
		{"cancelled after the lease has ended", func(h *harness) {
			h.stateDown = true
			end := h.c.ownership.lease.RenewedAt() + h.c.bounds.LeaseValidity
			h.run(end + sec/2 - h.now)
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			fencingToken, attempt := h.runOneTask()
			h.submit(newSubmission("job-000002", 1))
			h.dropWorkerCalls()
			tc.fault(h)
			if got := h.cancel("job-000001"); got.Status == 200 {
				t.Fatalf("the cancellation is answered 200 without a record")
			}
			if tc.later != nil {
				tc.later(h)
			}
			h.workerCalls = nil
			h.step(Tick{})
			status, body := h.heartbeat(h.runningHeartbeat(1000, fencingToken, attempt))
			if status != 200 || countImmediateStops(body.Commands) != 1 {
				t.Errorf("heartbeat answered %d with %v; want 200 with a stop of the task", status, body.Commands)
			}
			for _, c := range startCommands(body.Commands) {
				if c.Task == "job-000001/0" {
					t.Errorf("the task is started after the cancellation request")
				}
			}
			// A 503 from the state service means that nothing was written, so no controller can have
			// answered with a newer state.
			if s := h.jobState("job-000001"); s != "" && (s != wire.StateRunning || tc.name != "refused before the record") {
				t.Errorf("the job is in state %q, want no answer, or running if the write was refused", s)
			}
			// The task counts until its machine lists it as exited, and is not retried after that.
			if n := h.c.ownership.shards[0].usage[0].cpus; n < 1 {
				t.Errorf("a task that its machine still lists counts %v CPUs, want at least 1", n)
			}
			_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 1001, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: attempt, State: wire.TaskExited, ExitReason: wire.ExitStopped}))
			for _, c := range startCommands(body.Commands) {
				if c.Task == "job-000001/0" {
					t.Errorf("the cancelled task is started again")
				}
			}
			// Once the state service is available, the owner records the end without a new request.
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
				t.Errorf("the job is in state %q at the end, want cancelled without another request", s)
			}
		})
	}
}

// TestInDoubtEnd checks that an owner does not answer from memory about a job whose end is in doubt.
// A transaction that was not answered may be executed at any later time, even after newer ones of
// the same controller were refused. From then on another controller may answer that the job is
// cancelled.
func TestInDoubtEnd(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	h.runOneTask()
	h.delayPrefix = wire.JobKey("job-000001")
	h.cancel("job-000001")
	for range 4 { // each round: not answered, read as pending, sent again
		h.run(sec)
		for _, c := range h.delayedTxns {
			h.step(Result{ID: c.ID})
		}
	}
	if len(h.delayedTxns) < 2 {
		t.Fatalf("%d transactions delayed, want at least 2", len(h.delayedTxns))
	}
	h.blockedWatchPrefix, h.stateDown, h.stateRefuses = wire.PrefixJob, true, true
	h.run(sec / 2)
	if n := h.applyDelayedTxns(); n != 1 {
		t.Fatalf("%d of the copies were executed, want 1", n)
	}
	if s := h.jobState("job-000001"); s == wire.StateRunning || s == wire.StatePending {
		t.Errorf("the job is in state %q although it is recorded as cancelled, want neither running nor pending", s)
	}
	h.stateDown = false
	if s := h.jobState("job-000001"); s != wire.StateCancelled {
		t.Errorf("the job is in state %q, want the recorded state: cancelled", s)
	}
}

// TestCancelDuringEnd checks a cancellation, a status request and a repeated submission that coincide
// with the end of a job's last task: every answer contains the state that was recorded first.
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
			fencingToken, attempt := h.runOneTask()
			if tc.lose {
				h.loseAnswersPrefix, h.blockedWatchPrefix = wire.JobKey("job-000001"), wire.PrefixJob
			}
			var first Answer
			var asked ReplyID
			if tc.cancelFirst {
				first, asked = h.cancel("job-000001"), h.lastReply
			}
			h.heartbeat(heartbeatFrom("vm-1", 1, 12, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}))
			if !tc.cancelFirst {
				first, asked = h.cancel("job-000001"), h.lastReply
			}
			if s := h.jobState("job-000001"); s != tc.want {
				t.Errorf("a status request in between is answered %q, want %s", s, tc.want)
			}
			if b, _ := h.submit(newSubmission("job-000001", 1)).Body.(wire.JobAnswer); b.State != tc.want {
				t.Errorf("a repeated submission in between is answered %q, want %s", b.State, tc.want)
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
				t.Errorf("a second cancellation is answered %q, want %s", b.State, tc.want)
			}
		})
	}
}

// TestCancelledTasksCountUntilGone checks that cancelled tasks on unreachable machines count against
// the limit of their team until they are certainly gone, also at a new owner that knows that the job
// has ended.
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
			t.Fatalf("cancellation answered %d, want 200", a.Status)
		}
		h.submit(newSubmission("job-000002", 2))
		h.workerCalls = nil
		if _, body := h.heartbeat(heartbeatFrom("vm-2", 1, 11, fencingToken)); len(startCommands(body.Commands)) != 0 {
			t.Errorf("%v starts tasks beyond the limit", body.Commands)
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
		// After a new claim of the shard the machines are older than the claim.
		h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
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
					t.Errorf("%d tasks started %v s after the claim, but vm-1 may hold cancelled tasks until %v s after it", n, (h.now - s.claimedAt).Seconds(), (s.machinesFreeAt - s.claimedAt).Seconds())
				}
				return
			}
			h.run(sec / 2)
			h.dropWorkerCalls()
		}
		t.Error("the second job's tasks were never started")
	})
}

// TestCancellationRequestEndsWithItsOwner checks that a cancellation that was requested but never
// recorded is forgotten when the shard gets another owner: the next owner runs the job.
func TestCancellationRequestEndsWithItsOwner(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken, attempt := h.runOneTask()
	h.stateDown = true
	h.cancel("job-000001")
	h.heartbeat(heartbeatFrom("vm-1", 1, 20, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: attempt, State: wire.TaskExited, ExitReason: wire.ExitStopped}))
	h.unansweredStateCalls = nil
	h.stateDown = false
	h.c.loseLease() // as if the renewal was answered 404
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}, {Delete: wire.KeyLeader}}})
	h.run(3 * sec)
	if j := h.c.jobs.open["job-000001"]; j == nil || j.run == nil || j.run.end.requested() {
		t.Fatalf("the job is not run by the next owner: %+v", j)
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
		t.Error("the task is not started by the next owner")
	}
	if s := h.jobState("job-000001"); s != wire.StatePending && s != wire.StateRunning {
		t.Errorf("the job is in state %q, want pending or running", s)
	}
}
