package controller

import (
	"testing"

	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestStartInDroppedReply checks that a start in a reply that was dropped is recognized by the next
// heartbeat, and repeated with a new attempt.
func TestStartInDroppedReply(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	first := h.startOne(fencingToken)
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken))
	again := starts(body.Commands)
	if len(again) != 1 || again[0].Attempt <= first {
		t.Errorf("after a heartbeat without the task: %v, want a start with an attempt above %d", body.Commands, first)
	}
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 12, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: again[0].Attempt, State: wire.TaskRunning}))
	if len(starts(body.Commands)) != 0 {
		t.Errorf("started again while it runs: %v", body.Commands)
	}
}

// TestUnansweredCommand checks that the task of a command that was not answered, and may act
// minutes later, starts nowhere else before a raised fencing token was seen.
func TestUnansweredCommand(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	other := h.reconcile("vm-2")
	h.submit(jobOf("job-000001", 1))
	commands := h.directCommands()
	if len(commands) != 1 {
		t.Fatalf("%d direct commands, want 1", len(commands))
	}
	at := commands[0].Addr
	if at == "vm-2" {
		fencingToken, other = other, fencingToken
	}
	h.step(Result{ID: commands[0].ID}) // no answer
	h.open = nil
	elsewhere := "vm-1"
	if at == "vm-1" {
		elsewhere = "vm-2"
	}
	seq := uint64(20)
	startedElsewhere := func() bool {
		seq++
		_, body := h.heartbeat(heartbeatFrom(elsewhere, 1, seq, other))
		return len(starts(body.Commands)) > 0 || len(h.directCommands()) > 0
	}
	if startedElsewhere() {
		t.Fatal("started elsewhere while the command may still act")
	}
	h.run(3 * sec) // the fencing token is raised by rewriting the record
	status, body := h.heartbeat(heartbeatFrom(at, 1, 30, fencingToken))
	if status != 200 || body.FencingToken <= fencingToken {
		t.Fatalf("answered %d with token %d, want one above %d", status, body.FencingToken, fencingToken)
	}
	if startedElsewhere() {
		t.Fatal("started elsewhere before the raised token was seen")
	}
	_, seen := h.heartbeat(heartbeatFrom(at, 1, 31, body.FencingToken))
	if len(starts(seen.Commands)) == 0 && !startedElsewhere() {
		t.Error("not started again after the raised token was seen")
	}
}

// TestCancelDuringStart checks that a cancellation stops what a start still under way brings up.
func TestCancelDuringStart(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	h.submit(jobOf("job-000001", 2))
	h.dropCalls()
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
	cmds := starts(body.Commands)
	if len(cmds) != 2 {
		t.Fatalf("%d starts, want 2", len(cmds))
	}
	if a := h.ask(func(r ReplyID) Input { return CancelRequest{Reply: r, ID: "job-000001"} }); a.Status != 200 {
		t.Fatalf("cancellation answered %d", a.Status)
	}
	h.open = nil
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken,
		wire.TaskStatus{Task: "job-000001/0", Attempt: cmds[0].Attempt, State: wire.TaskFetching},
		wire.TaskStatus{Task: "job-000001/1", Attempt: cmds[1].Attempt, State: wire.TaskRunning}))
	if again := starts(body.Commands); len(again) > 0 {
		t.Errorf("a cancelled job's tasks are started: %v", again)
	}
	if n := stops(body.Commands); n != 2 {
		t.Errorf("%d stops without grace, want 2: %v", n, body.Commands)
	}
	if s := h.state("job-000001"); s != wire.StateCancelled {
		t.Errorf("state %q, want cancelled", s)
	}
}

// TestCommandedAttemptStaysKnown checks when a worker may forget an attempt. A repeat of a direct
// command can follow the end of the process that sent it. It must find the attempt still known,
// unless a higher fencing token has been seen since (found by the simulation: the repeat ran a task
// that had moved on).
func TestCommandedAttemptStaysKnown(t *testing.T) {
	for _, tc := range []struct {
		name       string
		exitReason wire.ExitReason
		commanded  bool // by a direct command
		raised     bool
		clear      bool
	}{
		{"stopped, started by a direct command", wire.ExitStopped, true, false, false},
		{"failed, started by a direct command", wire.ExitError, true, false, false},
		{"stopped, token raised since", wire.ExitStopped, true, true, true},
		{"stopped, started in a reply", wire.ExitStopped, false, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, nil)
			fencingToken := h.reconcile("vm-1")
			h.submit(jobOf("job-000001", 1))
			var attempt uint64
			if tc.commanded {
				o := h.directCommands()[0]
				attempt = starts(o.Req.(wire.DirectCommand).Commands)[0].Attempt
				h.open = nil
				r := heartbeatFrom("vm-1", 1, 10, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: attempt, State: wire.TaskRunning})
				h.step(Result{ID: o.ID, Status: 200, Body: &r})
			} else {
				h.dropCalls()
				_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
				attempt = starts(body.Commands)[0].Attempt
			}
			shown := fencingToken
			if tc.raised {
				shown++ // as after a rewrite of the machine's record
				h.c.machines["vm-1"].recordSet.modRevision = shown
			}
			_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 20, shown, wire.TaskStatus{Task: "job-000001/0", Attempt: attempt, State: wire.TaskExited, ExitReason: tc.exitReason}))
			cleared := false
			for _, c := range body.Commands {
				cleared = cleared || c.Op == wire.OpForget && c.Attempt == attempt
			}
			if cleared != tc.clear {
				t.Errorf("cleared: %v, want %v", cleared, tc.clear)
			}
		})
	}
}

// TestDelayedCommand checks that while a direct command is delayed and no heartbeat of its machine
// arrives, stops are still sent, starts are not, and the raised fencing token that voids the one in
// doubt is sent at once.
func TestDelayedCommand(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken, a := h.runOne()
	h.run(2 * sec) // direct commands have a least interval
	h.submit(jobOf("job-000002", 1))
	delayed := h.directCommands()
	if len(delayed) != 1 {
		t.Fatalf("%d direct commands, want the start", len(delayed))
	}
	h.open = nil
	h.late = wire.PrefixFleet // the record that raises the fencing token is slow
	h.step(Result{ID: delayed[0].ID})
	h.cancel("job-000001")
	h.submit(jobOf("job-000003", 1))
	h.run(3 * sec)
	stopped := 0
	for _, c := range h.directCommands() {
		o := c.Req.(wire.DirectCommand)
		stopped += stops(o.Commands)
		if len(starts(o.Commands)) > 0 {
			t.Errorf("a start follows a command in doubt: %v", o.Commands)
		}
	}
	if stopped == 0 {
		t.Fatal("the task is not stopped while a command is in doubt")
	}
	// The command that stops is answered; the one in doubt may still be executed.
	for _, c := range h.open {
		h.step(Result{ID: c.ID, Status: 200, Body: new(heartbeatFrom("vm-1", 1, 20, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitStopped}))})
	}
	h.open = nil
	h.late = ""
	for _, c := range h.lateOut {
		h.step(Result{ID: c.ID})
	}
	h.lateOut = nil
	h.run(4 * sec)
	var raised uint64
	for _, c := range h.open {
		if o, ok := c.Req.(wire.DirectCommand); ok {
			raised = max(raised, o.FencingToken)
		}
	}
	if raised <= fencingToken {
		t.Fatalf("token %d never raised beyond %d", raised, fencingToken)
	}
	for _, c := range h.open {
		if _, ok := c.Req.(wire.DirectCommand); ok {
			h.step(Result{ID: c.ID, Status: 200, Body: new(heartbeatFrom("vm-1", 1, 21, raised))})
			break
		}
	}
	if v := h.c.machines["vm-1"].view; v.inDoubtToken != 0 {
		t.Error("still in doubt after the machine has shown the raised token")
	}
}

// commandsOut returns the commands of open direct commands.
func (h *harness) commandsOut() (out []wire.Command) {
	for _, c := range h.directCommands() {
		out = append(out, c.Req.(wire.DirectCommand).Commands...)
	}
	return out
}

// TestStartsBeyondTheLease checks that beyond its lease an owner starts tasks only while every
// other controller says that it has lost the state service too: else a successor may have confirmed
// a cancellation to a user.
func TestStartsBeyondTheLease(t *testing.T) {
	for _, tc := range []struct {
		name    string
		stateOK bool // by the status of the other
		silent  bool // no status of the other comes
		want    int
	}{
		{"the outage is common", false, false, 1},
		{"the other has the state service", true, false, 0},
		{"the other is silent", false, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			fencingToken := h.reconcile("vm-1")
			h.submit(jobOf("job-000001", 8)) // four fit
			h.dropCalls()
			_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
			first := starts(body.Commands)
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
					h.step(PeerRequest{Reply: ReplyID(9000 + seq), Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateServiceOK: tc.stateOK}}}})
				}
				h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, append([]wire.TaskStatus{{Task: first[0].Task, Attempt: first[0].Attempt, State: wire.TaskRunning}}, list...)...))
			}
			_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 1000, fencingToken, append([]wire.TaskStatus{{Task: first[0].Task, Attempt: first[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}}, list...)...))
			if n := len(starts(body.Commands)); n != tc.want {
				t.Errorf("%d starts beyond the lease, want %d", n, tc.want)
			}
		})
	}
}
