package controller

import (
	"testing"

	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestStartInDroppedReply checks that a start in a lost reply is detected by the next heartbeat,
// which does not list the task, and that the task is started again with a new attempt number.
func TestStartInDroppedReply(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	first := h.startOneTask(fencingToken)
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken))
	again := startCommands(body.Commands)
	if len(again) != 1 || again[0].Attempt <= first {
		t.Errorf("after a heartbeat without the task: %v, want a start with an attempt above %d", body.Commands, first)
	}
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 12, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: again[0].Attempt, State: wire.TaskRunning}))
	if len(startCommands(body.Commands)) != 0 {
		t.Errorf("task started again while it runs: %v", body.Commands)
	}
}

// TestUnansweredCommand checks that the task in an unanswered direct command is started nowhere else
// before the machine has shown a raised fencing token. Until then the command may still act, even
// minutes later, and the task would run twice.
func TestUnansweredCommand(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	other := h.reconcileMachine("vm-2")
	h.submit(newSubmission("job-000001", 1))
	commands := h.directStarts()
	if len(commands) != 1 {
		t.Fatalf("%d direct commands, want 1", len(commands))
	}
	at := commands[0].Addr
	if at == "vm-2" {
		fencingToken, other = other, fencingToken
	}
	h.step(Result{ID: commands[0].ID}) // no answer
	h.workerCalls = nil
	elsewhere := "vm-1"
	if at == "vm-1" {
		elsewhere = "vm-2"
	}
	seq := uint64(20)
	startedElsewhere := func() bool {
		seq++
		_, body := h.heartbeat(heartbeatFrom(elsewhere, 1, seq, other))
		return len(startCommands(body.Commands)) > 0 || len(h.directStarts()) > 0
	}
	if startedElsewhere() {
		t.Fatal("task started elsewhere while the command may still act")
	}
	h.run(3 * sec) // the fencing token is raised by rewriting the record
	status, body := h.heartbeat(heartbeatFrom(at, 1, 30, fencingToken))
	if status != 200 || body.FencingToken <= fencingToken {
		t.Fatalf("answered %d with token %d, want one above %d", status, body.FencingToken, fencingToken)
	}
	if startedElsewhere() {
		t.Fatal("task started elsewhere before the machine has shown the raised token")
	}
	_, seen := h.heartbeat(heartbeatFrom(at, 1, 31, body.FencingToken))
	if len(startCommands(seen.Commands)) == 0 && !startedElsewhere() {
		t.Error("task not started again after the machine has shown the raised token")
	}
}

// TestCancelDuringStart checks that tasks whose starts were sent before a cancellation are stopped
// when the machine lists them.
func TestCancelDuringStart(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 2))
	h.dropWorkerCalls()
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
	cmds := startCommands(body.Commands)
	if len(cmds) != 2 {
		t.Fatalf("%d starts, want 2", len(cmds))
	}
	if a := h.request(func(r ReplyID) Input { return CancelRequest{Reply: r, ID: "job-000001"} }); a.Status != 200 {
		t.Fatalf("cancellation answered %d", a.Status)
	}
	h.workerCalls = nil
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken,
		wire.TaskStatus{Task: "job-000001/0", Attempt: cmds[0].Attempt, State: wire.TaskFetching},
		wire.TaskStatus{Task: "job-000001/1", Attempt: cmds[1].Attempt, State: wire.TaskRunning}))
	if again := startCommands(body.Commands); len(again) > 0 {
		t.Errorf("tasks of a cancelled job are started: %v", again)
	}
	if n := countImmediateStops(body.Commands); n != 2 {
		t.Errorf("%d stops without grace, want 2: %v", n, body.Commands)
	}
	if s := h.jobState("job-000001"); s != wire.StateCancelled {
		t.Errorf("state %q, want cancelled", s)
	}
}

// TestCommandedAttemptStaysKnown checks when a worker is told to forget an attempt. A late copy of a
// direct command can arrive even after the process that sent it has ended. The worker must still
// know the attempt then, unless a higher fencing token has been seen since: otherwise the copy runs
// a task that runs elsewhere by now. The simulation found this.
func TestCommandedAttemptStaysKnown(t *testing.T) {
	for _, tc := range []struct {
		name       string
		exitReason wire.ExitReason
		commanded  bool // started by a direct command, not in a reply
		raised     bool // the fencing token was raised since
		clear      bool // the worker is told to forget the attempt
	}{
		{"stopped, started by a direct command", wire.ExitStopped, true, false, false},
		{"failed, started by a direct command", wire.ExitError, true, false, false},
		{"stopped, token raised since", wire.ExitStopped, true, true, true},
		{"stopped, started in a reply", wire.ExitStopped, false, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, nil)
			fencingToken := h.reconcileMachine("vm-1")
			h.submit(newSubmission("job-000001", 1))
			var attempt uint64
			if tc.commanded {
				o := h.directStarts()[0]
				attempt = startCommands(o.Req.(wire.DirectCommand).Commands)[0].Attempt
				h.workerCalls = nil
				r := heartbeatFrom("vm-1", 1, 10, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: attempt, State: wire.TaskRunning})
				h.step(Result{ID: o.ID, Status: 200, Body: &r})
			} else {
				h.dropWorkerCalls()
				_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
				attempt = startCommands(body.Commands)[0].Attempt
			}
			shown := fencingToken
			if tc.raised {
				shown++ // as after a rewrite of the machine's record set
				h.c.machines["vm-1"].recordSet.modRevision = shown
			}
			_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 20, shown, wire.TaskStatus{Task: "job-000001/0", Attempt: attempt, State: wire.TaskExited, ExitReason: tc.exitReason}))
			cleared := false
			for _, c := range body.Commands {
				cleared = cleared || c.Op == wire.OpForget && c.Attempt == attempt
			}
			if cleared != tc.clear {
				t.Errorf("told to forget the attempt: %v, want %v", cleared, tc.clear)
			}
		})
	}
}

// TestDelayedCommand checks what is sent to a machine whose heartbeats do not arrive while a direct
// command to it is in doubt: stops are sent, starts are not, and a raised fencing token, which
// voids the command in doubt, is sent at once.
func TestDelayedCommand(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken, a := h.runOneTask()
	h.run(2 * sec) // in case commandRetryDelay applies
	h.submit(newSubmission("job-000002", 1))
	delayed := h.directStarts()
	if len(delayed) != 1 {
		t.Fatalf("%d direct commands, want 1 with the start", len(delayed))
	}
	h.workerCalls = nil
	h.delayPrefix = wire.PrefixFleet // delays the write that raises the fencing token
	h.step(Result{ID: delayed[0].ID})
	h.cancel("job-000001")
	h.submit(newSubmission("job-000003", 1))
	h.run(3 * sec)
	stopped := 0
	for _, c := range h.directStarts() {
		o := c.Req.(wire.DirectCommand)
		stopped += countImmediateStops(o.Commands)
		if len(startCommands(o.Commands)) > 0 {
			t.Errorf("a start was sent while a command is in doubt: %v", o.Commands)
		}
	}
	if stopped == 0 {
		t.Fatal("no stop was sent while a command is in doubt")
	}
	// The command with the stop is answered. The one in doubt may still be executed.
	for _, c := range h.workerCalls {
		h.step(Result{ID: c.ID, Status: 200, Body: new(heartbeatFrom("vm-1", 1, 20, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitStopped}))})
	}
	h.workerCalls = nil
	h.delayPrefix = ""
	for _, c := range h.delayedTxns {
		h.step(Result{ID: c.ID})
	}
	h.delayedTxns = nil
	h.run(4 * sec)
	var raised uint64
	for _, c := range h.workerCalls {
		if o, ok := c.Req.(wire.DirectCommand); ok {
			raised = max(raised, o.FencingToken)
		}
	}
	if raised <= fencingToken {
		t.Fatalf("highest token sent is %d, want one above %d", raised, fencingToken)
	}
	for _, c := range h.workerCalls {
		if _, ok := c.Req.(wire.DirectCommand); ok {
			h.step(Result{ID: c.ID, Status: 200, Body: new(heartbeatFrom("vm-1", 1, 21, raised))})
			break
		}
	}
	if v := h.c.machines["vm-1"].view; v.inDoubtToken != 0 {
		t.Error("command still in doubt after the machine has shown the raised token")
	}
}

// openCommands returns the commands in the direct commands that are not answered yet.
func (h *harness) openCommands() (out []wire.Command) {
	for _, c := range h.directStarts() {
		out = append(out, c.Req.(wire.DirectCommand).Commands...)
	}
	return out
}

// TestStartsBeyondTheLease checks that an owner whose lease has expired starts tasks only while
// every other controller reports that it has lost the state service too. Otherwise a successor may
// have confirmed a job's cancellation to a user, and this owner would start its tasks nevertheless.
func TestStartsBeyondTheLease(t *testing.T) {
	for _, tc := range []struct {
		name           string
		stateReachable bool // the status of the other controller says that it has the state service
		silent         bool // the other controller sends no status
		want           int
	}{
		{"the outage is common", false, false, 1},
		{"the other has the state service", true, false, 0},
		{"the other is silent", false, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			fencingToken := h.reconcileMachine("vm-1")
			h.submit(newSubmission("job-000001", 8)) // four tasks fit on the machine
			h.dropWorkerCalls()
			_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
			first := startCommands(body.Commands)
			h.stateDown, h.peersDown = true, true
			var list []wire.TaskStatus
			for i, c := range first {
				if i > 0 {
					list = append(list, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
				}
			}
			for seq := uint64(11); h.now < h.c.ownership.lease.RenewedAt()+h.c.bounds.LeaseValidity+sec; seq++ {
				h.run(sec / 2)
				if !tc.silent {
					h.step(PeerRequest{Reply: ReplyID(9000 + seq), Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateReachable: tc.stateReachable}}}})
				}
				h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, append([]wire.TaskStatus{{Task: first[0].Task, Attempt: first[0].Attempt, State: wire.TaskRunning}}, list...)...))
			}
			_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 1000, fencingToken, append([]wire.TaskStatus{{Task: first[0].Task, Attempt: first[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}}, list...)...))
			if n := len(startCommands(body.Commands)); n != tc.want {
				t.Errorf("%d starts beyond the lease, want %d", n, tc.want)
			}
		})
	}
}
