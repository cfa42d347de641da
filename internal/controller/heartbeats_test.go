package controller

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestHeartbeatOrder checks that a heartbeat is accepted only if it is newer than the last one and
// does not show the fencing token of a successor.
func TestHeartbeatOrder(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	for _, tc := range []struct {
		name                               string
		agentEpoch, sequence, fencingToken uint64
		want                               int
	}{
		{"newer", 1, 10, fencingToken, 200},
		{"the same again", 1, 10, fencingToken, 503},
		{"older", 1, 9, fencingToken, 503},
		{"token of a successor", 1, 11, fencingToken + 1000, 503},
		{"next agent epoch", 2, 1, fencingToken, 200},
		{"older agent epoch, larger sequence", 1, 99, fencingToken, 503},
	} {
		if status, _ := h.heartbeat(heartbeatFrom("vm-1", tc.agentEpoch, tc.sequence, tc.fencingToken)); status != tc.want {
			t.Errorf("%s: status %d, want %d", tc.name, status, tc.want)
		}
	}
}

// TestSilentMachine checks that a task on a silent machine is started elsewhere once that machine's
// lease must have run out, and not before.
func TestSilentMachine(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	a := h.startOneTask(fencingToken)
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskRunning}))
	last := h.now
	other := h.reconcileMachine("vm-2")
	h.c.fleet.nextPlanAt = micros.Never // keep the idle machine
	for seq := uint64(20); h.now < last+14*sec; seq++ {
		h.run(sec / 2)
		_, body := h.heartbeat(heartbeatFrom("vm-2", 1, seq, other))
		early := h.now < last+10*sec
		if started := len(startCommands(body.Commands)) > 0 || len(h.directStarts()) > 0; started {
			if early {
				t.Fatalf("task started elsewhere only %v s after the last reply", (h.now - last).Seconds())
			}
			return
		}
	}
	t.Error("task never started elsewhere")
}

// TestLimitCountsUnreconciledMachines checks that a team's limit counts the tasks that may be on
// machines that have not been reconciled since the claim.
func TestLimitCountsUnreconciledMachines(t *testing.T) {
	for _, tc := range []struct {
		name         string
		unreconciled bool
		want         int
	}{
		{"all machines reconciled", false, 4},
		{"one machine may hold four CPUs of tasks", true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Teams = []Team{{Name: "t", CPUsMax: 4}, {Name: "u"}}; c.Shards = 1 })
			fencingToken := h.reconcileMachine("vm-1")
			if tc.unreconciled {
				// As if the machine was on record when the shard was claimed.
				h.putMachines("m-1-1", "vm-9")
				h.c.machines["vm-9"].view.unreconciledFromPredecessor = true
				h.c.ownership.markDirty(h.c.machines["vm-9"])
			}
			h.submit(newSubmission("job-000001", 6))
			h.dropWorkerCalls()
			_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
			if n := len(startCommands(body.Commands)); n != tc.want {
				t.Errorf("%d tasks started, want %d", n, tc.want)
			}
		})
	}
}

// TestSilentMachineWithinSuccessorWait checks that a controller that has lost the state service and
// the other controllers, but not its workers, does not start the tasks of a silent machine
// elsewhere. The machine may send its heartbeats to a successor, which renews its lease, and the
// tasks would run twice. The enlarged simulation found this (ran_twice).
func TestSilentMachineWithinSuccessorWait(t *testing.T) {
	for _, tc := range []struct {
		name  string
		alone bool // the controller has lost the state service and the other controllers
	}{
		{"with the state service: restarted once the lease has run out", false},
		{"without the state service: a successor may have renewed the machine's lease", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.CancelWithin = 40 * sec; c.SilentReturn = 0; c.Peers = []string{"n-1"} })
			h.run(2 * sec)
			fencingToken := h.reconcileMachine("vm-1")
			a := h.startOneTask(fencingToken)
			h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskRunning}))
			other := h.reconcileMachine("vm-2")
			h.c.fleet.nextPlanAt = micros.Never // keep the idle machine
			h.stateDown, h.peersDown = tc.alone, tc.alone
			started := false
			for seq := uint64(20); seq < 50; seq++ {
				h.run(sec / 2)
				status, body := h.heartbeat(heartbeatFrom("vm-2", 1, seq, other))
				if status != 200 {
					t.Fatalf("heartbeat answered %d: the controller stopped commanding machines too early", status)
				}
				started = started || len(startCommands(body.Commands)) > 0 || len(h.directStarts()) > 0
			}
			if started == tc.alone {
				t.Errorf("task started elsewhere: %v", started)
			}
		})
	}
}

// TestLateHeartbeatCopies checks that late copies of heartbeats change nothing: neither the state of
// attempts, nor the times of the last heartbeat and reply from which leases are computed. They also
// reconcile no machine and register none.
func TestLateHeartbeatCopies(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	a := h.startOneTask(fencingToken)
	running := wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskRunning}
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, running))
	v := h.c.machines["vm-1"].view
	lastHeartbeatAt, lastReplyAt := v.lastHeartbeatAt, v.lastReplyAt
	for _, tc := range []struct {
		name      string
		heartbeat wire.Heartbeat
	}{
		{"a copy of the newest", heartbeatFrom("vm-1", 1, 11, fencingToken, running)},
		{"an older one, from before the start", heartbeatFrom("vm-1", 1, 3, fencingToken)},
		{"one that showed no token yet", heartbeatFrom("vm-1", 1, 1, 0)},
	} {
		h.run(sec)
		if status, _ := h.heartbeat(tc.heartbeat); status != 503 {
			t.Errorf("%s: answered %d, want 503", tc.name, status)
		}
		if v.lastHeartbeatAt != lastHeartbeatAt || v.lastReplyAt != lastReplyAt || v.attemptList[0].state != attemptRunning {
			t.Errorf("%s: changed the view of the machine", tc.name)
		}
	}
	// A newer heartbeat overtakes the answer to a direct command.
	h.submit(newSubmission("job-000002", 1))
	command := h.directStarts()[0]
	h.workerCalls = nil
	h.heartbeat(heartbeatFrom("vm-1", 1, 40, fencingToken, running, wire.TaskStatus{Task: "job-000002/0", Attempt: command.Req.(wire.DirectCommand).Commands[0].Attempt, State: wire.TaskRunning}))
	overtaken := heartbeatFrom("vm-1", 1, 39, fencingToken)
	if h.step(Result{ID: command.ID, Status: 200, Body: &overtaken}); len(v.attemptList) != 2 || v.attemptList[0].key.attempt != a || v.attemptList[0].state != attemptRunning {
		t.Errorf("an overtaken answer changed the attempts: %d listed", len(v.attemptList))
	}
	// A new owner has no view of the machine. A copy from before its claim reconciles nothing.
	h.putMachines("m-1-1", "vm-3")
	h.run(sec)
	old := h.c.fencingToken(h.c.ownership.shards[0], h.c.machines["vm-3"]) - 1
	h.heartbeat(heartbeatFrom("vm-3", 1, 50, old, wire.TaskStatus{Task: "job-000009/0", Attempt: 3, State: wire.TaskRunning}))
	if v := h.c.machines["vm-3"].view; v.reconciled || len(v.attemptList) != 0 {
		t.Error("machine reconciled by a heartbeat from before the claim")
	}
	// A copy does not bring a returned machine back to the record, neither at the leader that
	// returned it nor at one that never knew it.
	for _, known := range []bool{true, false} {
		if known {
			h.c.fleet.returned["vm-8"] = h.now
		}
		h.dropWorkerCalls()
		h.heartbeat(heartbeatFrom("vm-8", 1, 4, 3))
		for range 4 {
			h.run(sec)
			h.dropWorkerCalls() // the probes of the machine are not answered
		}
		if h.c.machines["vm-8"] != nil {
			t.Error("a copy brought a returned machine back to the record")
		}
		delete(h.c.fleet.returned, "vm-8")
	}
	// A machine that the cloud does not list and that answers a probe is assigned.
	h.heartbeat(heartbeatFrom("vm-8", 1, 5, 0))
	for _, call := range h.workerCalls {
		if _, ok := call.Req.(GetHeartbeat); ok && call.Addr == "vm-8" {
			heartbeat := heartbeatFrom("vm-8", 1, 6, 0)
			h.step(Result{ID: call.ID, Status: 200, Body: &heartbeat})
		}
	}
	h.run(2 * sec)
	if h.c.machines["vm-8"] == nil {
		t.Error("a machine that answered a probe was not assigned")
	}
}

// TestHeartbeatsUnanswered has a machine whose heartbeats reach no controller while direct commands
// reach the machine. It must get no more tasks, since they would end with its lease. The tasks that
// it completes count, and it must not be reported as silent as long as a task on it may be
// completed.
func TestHeartbeatsUnanswered(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.WorkerLease = 30 * sec
		c.CancelWithin = 60 * sec
	})
	fencingToken, a := h.runOneTask()
	seq := uint64(20)
	answer := func(tasks ...wire.TaskStatus) {
		open := h.workerCalls
		h.workerCalls = nil
		for _, c := range open {
			if _, ok := c.Req.(GetHeartbeat); ok || len(c.Req.(wire.DirectCommand).Commands) == 0 {
				seq++
				h.step(Result{ID: c.ID, Status: 200, Body: new(heartbeatFrom("vm-1", 1, seq, fencingToken, tasks...))})
			} else {
				h.workerCalls = append(h.workerCalls, c)
			}
		}
	}
	for until := h.now + h.c.heartbeatDeadlines.Timeout + 2*sec; h.now < until; {
		h.run(sec / 2)
		answer(wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskRunning})
	}
	h.submit(newSubmission("job-000002", 1))
	if n := len(h.directStarts()); n != 0 {
		t.Errorf("%d direct commands with a start to a machine whose lease is running out", n)
	}
	m := h.c.machines["vm-1"]
	if st := h.c.machineState(m); st == peer.MachineSilent {
		t.Error("machine reported as silent although a task on it may be completed")
	}
	for range 12 {
		h.run(sec / 2)
		answer(wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitDone})
	}
	if s := h.jobState("job-000001"); s != wire.StateDone {
		t.Errorf("job state %q, want done: its task is done", s)
	}
	if st := h.c.machineState(m); st != peer.MachineSilent {
		t.Errorf("state %d of an empty machine whose heartbeats are not answered, want silent", st)
	}
	if status, body := h.heartbeat(heartbeatFrom("vm-1", 1, 2000, fencingToken)); status != 200 || len(startCommands(body.Commands)) != 1 {
		t.Errorf("next answered heartbeat: %d %v, want a start", status, body.Commands)
	}
}

// TestOldHeartbeatsAtNewOwner checks that late copies of heartbeats do not reconcile a machine at a
// controller that has just claimed its shard, and that the tasks they list are not considered
// the machine's present state.
func TestOldHeartbeatsAtNewOwner(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	sub := newSubmission("job-000001", 3)
	h.putRecord(wire.JobKey("job-000001"), wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 3})
	h.putMachines("h-1-1", "vm-1")
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(sec)
	h.workerCalls = nil
	m := h.c.machines["vm-1"]
	s := h.c.ownership.shards[0]
	fencingToken := h.c.fencingToken(s, m)
	task := func(i string, attempt uint64, state wire.TaskState, exitReason wire.ExitReason) wire.TaskStatus {
		return wire.TaskStatus{Task: "job-000001/" + i, Attempt: attempt, State: state, ExitReason: exitReason}
	}
	// A late copy of a heartbeat to the former owner.
	h.heartbeat(heartbeatFrom("vm-1", 1, 5, fencingToken-1, task("0", 7, wire.TaskExited, wire.ExitDone), task("1", 7, wire.TaskRunning, ""), task("2", 7, wire.TaskExited, wire.ExitStopped)))
	if m.view.reconciled || !m.view.unreconciledFromPredecessor {
		t.Fatal("machine reconciled by a copy from before the claim")
	}
	j := h.c.jobs.open["job-000001"]
	if len(j.run.active) > 0 || len(startCommands(h.openCommands())) > 0 {
		t.Errorf("active attempts %v, want none from the copy", j.run.active)
	}
	// A heartbeat of the machine in a later agent epoch: the tasks in the copy are gone.
	h.heartbeat(heartbeatFrom("vm-1", 2, 1, fencingToken))
	if !m.view.reconciled || len(j.run.active) > 0 && j.run.active[1] != nil && j.run.active[1].key.attempt == 7 {
		t.Errorf("reconciled %v, active %v", m.view.reconciled, j.run.active)
	}
	// Another heartbeat of the earlier agent epoch changes nothing.
	h.heartbeat(heartbeatFrom("vm-1", 1, 6, fencingToken, task("1", 7, wire.TaskExited, wire.ExitDone)))
	if j.run.doneTasks.Has(1) {
		t.Error("a heartbeat of an earlier agent epoch changed the view")
	}
}
