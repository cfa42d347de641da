package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// The cases here bring about the meetings of docs/meetings.md, which names the
// guard of each.

// runOne has job-000001 of one task running on vm-1, at a node with a peer; it gives
// the fencing token and the attempt.
func (h *harness) runOne() (fencingToken, attempt uint64) {
	fencingToken = h.reconcile("vm-1")
	attempt = h.startOne(fencingToken)
	h.heartbeat(h.running(11, fencingToken, attempt))
	return fencingToken, attempt
}

func (h *harness) running(seq, fencingToken, attempt uint64) wire.Heartbeat {
	return heartbeatFrom("vm-1", 1, seq, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: attempt, State: wire.TaskRunning})
}

func withPeer(c *Config) { c.Peers = []string{"n-1"} }

// meet is a harness whose node has had the time to take its locks beside others.
func meet(t *testing.T, change func(*Config)) *harness {
	h := newHarness(t, change)
	h.run(2 * sec)
	return h
}

// The gap: the owner's record of a cancellation is carried out, its answer lost, and
// the state service refuses the owner from then on. Its machines must let the task go
// although it can neither read nor watch. Each guard does alone; this case looks at
// the request itself: no start follows it, and its tasks are stopped.
func TestCancellationRequestIsEnough(t *testing.T) {
	for _, tc := range []struct {
		name string
		// fault comes before the withdrawal, after later.
		fault func(h *harness)
		later func(h *harness)
	}{
		{"refused before the record", func(h *harness) { h.stateDown, h.refused = true, true }, nil},
		{"no answer at all", func(h *harness) { h.stateDown = true }, nil},
		{"carried out, answer lost, then refused", func(h *harness) {
			h.lose, h.watchBlocked = wire.JobKey("job-000001"), wire.PrefixJob
		}, func(h *harness) { h.stateDown, h.refused = true, true }},
		{"kept back, then refused", func(h *harness) { h.late = wire.JobKey("job-000001") },
			func(h *harness) { h.stateDown, h.refused = true, true }},
		{"withdrawn once the lease is over", func(h *harness) {
			h.stateDown = true
			for seq := uint64(100); h.now < h.c.ownership.renewedAt+h.c.bounds.LeaseValidity+sec/2; seq++ {
				h.run(100 * ms)
			}
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
			fencingToken, a := h.runOne()
			h.submit(jobOf("job-000002", 1))
			h.dropCalls()
			tc.fault(h)
			if got := h.cancel("job-000001"); got.Status == 200 {
				t.Fatalf("called cancelled without a record")
			}
			if tc.later != nil {
				tc.later(h)
			}
			h.open = nil
			h.step(Tick{})
			status, body := h.heartbeat(h.running(1000, fencingToken, a))
			if status != 200 || stops(body.Commands) != 1 {
				t.Errorf("report answered %d, %v; want the task stopped", status, body.Commands)
			}
			for _, c := range starts(body.Commands) {
				if c.Task == "job-000001/0" {
					t.Errorf("started after its user asked to cancel it")
				}
			}
			// A 503 says that nothing was recorded, so nobody can have told anything newer.
			if s := h.state("job-000001"); s != "" && (s != wire.StateRunning || tc.name != "refused before the record") {
				t.Errorf("called %q while nobody can know", s)
			}
			// What has exited is not tried again, and counts until it is seen gone.
			if n := h.c.ownership.shards[0].usage[0].cpus; n < 1 {
				t.Errorf("a task that is not seen gone counts %v CPUs", n)
			}
			_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 1001, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitStopped}))
			for _, c := range starts(body.Commands) {
				if c.Task == "job-000001/0" {
					t.Errorf("started again")
				}
			}
			// The owner records by itself once it can.
			h.stateDown, h.refused, h.watchBlocked, h.lose, h.late = false, false, "", "", ""
			for range 8 {
				h.giveUp()
				held := h.held
				h.held = nil
				for _, c := range held {
					h.step(Result{ID: c.ID})
				}
				for _, c := range h.lateOut {
					h.step(Result{ID: c.ID})
				}
				h.lateOut = nil
				h.run(sec)
			}
			if s := h.state("job-000001"); s != wire.StateCancelled {
				t.Errorf("called %q at the end, want cancelled without another request", s)
			}
		})
	}
}

// Another controller's word ends a cancelled job at once, whatever the state service
// says; and who has told a user goes on telling the others until they have heard.
func TestCancellationIsBroadcast(t *testing.T) {
	t.Run("heard", func(t *testing.T) {
		h := meet(t, withPeer)
		fencingToken, a := h.runOne()
		h.stateDown, h.refused = true, true
		h.run(sec / 2)
		h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{
			About: peer.About{StateOK: true}, Cancelled: []string{"job-000001", "nonsense", "job-000777"}}}})
		if _, body := h.heartbeat(h.running(12, fencingToken, a)); stops(body.Commands) != 1 {
			t.Errorf("commands %v, want the task stopped", body.Commands)
		}
		if s := h.state("job-000001"); s != wire.StateCancelled {
			t.Errorf("called %q after another node told its user \"cancelled\"", s)
		}
	})
	for _, tc := range []struct {
		name string
		tell func(h *harness)
	}{
		{"told by this node", func(h *harness) { h.cancel("job-000001") }},
		{"learned by the watch", func(h *harness) {
			h.put(wire.JobKey("job-000001"), wire.JobRecord{State: wire.StateCancelled, Tasks: 1})
		}},
		{"read for a question, the job never known here", func(h *harness) {
			h.watchBlocked = wire.PrefixJob
			h.put(wire.JobKey("job-000003"), wire.JobRecord{State: wire.StateCancelled, Tasks: 1})
			h.state("job-000003")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
			h.runOne()
			h.peersDown = true
			tc.tell(h)
			h.run(4 * sec)
			h.peersDown = false
			for id := range h.c.calls { // what was asked meanwhile is given up
				if len(h.c.calls) > 0 && h.c.peers["n-1"].busy {
					h.step(Result{ID: id})
				}
			}
			h.statusesSent = nil
			h.run(4 * sec)
			times := 0
			for _, st := range h.statusesSent {
				times += len(st.Cancelled)
			}
			if times != 1 {
				t.Errorf("told %d times, want once: acknowledged by the answer", times)
			}
		})
	}
}

// A transaction that ends a job may be carried out at any time once its answer is
// missing, also after newer ones of the same controller were refused: its owner must
// not speak from memory of a job that another node may call cancelled.
func TestInDoubtEnd(t *testing.T) {
	h := meet(t, withPeer)
	h.runOne()
	h.late = wire.JobKey("job-000001")
	h.cancel("job-000001")
	for range 4 { // unanswered, read as pending, sent again: again unanswered
		h.run(sec)
		for _, c := range h.lateOut {
			h.step(Result{ID: c.ID})
		}
	}
	if len(h.lateOut) < 2 {
		t.Fatalf("%d transactions kept back, want some", len(h.lateOut))
	}
	h.watchBlocked, h.stateDown, h.refused = wire.PrefixJob, true, true
	h.run(sec / 2)
	if n := h.carryOut(); n != 1 {
		t.Fatalf("%d of the copies were carried out, want 1", n)
	}
	if s := h.state("job-000001"); s == wire.StateRunning || s == wire.StatePending {
		t.Errorf("called %q, cancelled on record", s)
	}
	h.stateDown = false
	if s := h.state("job-000001"); s != wire.StateCancelled {
		t.Errorf("called %q, cancelled on record", s)
	}
}

// A cancellation, a question and a repeated submission meet the end of a job's last
// task: whatever comes first on record is told by all.
func TestCancelMeetsEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose bool
		// cancelFirst: the withdrawal is taken up before the end is heard of.
		cancelFirst bool
		want        string
	}{
		{"ended first", false, false, wire.StateDone},
		{"ended first, answer lost", true, false, wire.StateDone},
		{"cancelled first", false, true, wire.StateCancelled},
		{"cancelled first, answer lost", true, true, wire.StateCancelled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
			fencingToken, a := h.runOne()
			if tc.lose {
				h.lose, h.watchBlocked = wire.JobKey("job-000001"), wire.PrefixJob
			}
			var first Answer
			var asked ReplyID
			if tc.cancelFirst {
				first, asked = h.cancel("job-000001"), h.reply
			}
			h.heartbeat(heartbeatFrom("vm-1", 1, 12, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitDone}))
			if !tc.cancelFirst {
				first, asked = h.cancel("job-000001"), h.reply
			}
			if s := h.state("job-000001"); s != tc.want {
				t.Errorf("a question in between: %q, want %s", s, tc.want)
			}
			if b, _ := h.submit(jobOf("job-000001", 1)).Body.(wire.JobAnswer); b.State != tc.want {
				t.Errorf("a repeated submission in between: %q, want %s", b.State, tc.want)
			}
			h.giveUp()
			h.run(2 * sec)
			if first.Status == 0 {
				first = h.answers[asked]
			}
			if b, _ := first.Body.(wire.JobAnswer); first.Status == 200 && b.State != tc.want {
				t.Errorf("withdrawal answered %q, want %s", b.State, tc.want)
			}
			if b, _ := h.cancel("job-000001").Body.(wire.JobAnswer); b.State != tc.want {
				t.Errorf("withdrawn again: %q, want %s", b.State, tc.want)
			}
		})
	}
}

// A new owner that can't learn which jobs its predecessor ended stops answering
// reports in time for their tasks to be gone: the former one may have told its users
// right before.
func TestOwnerWithStaleView(t *testing.T) {
	h := meet(t, func(c *Config) {
		withPeer(c)
		c.Cancel = 40 * sec
	})
	fencingToken := h.reconcile("vm-1")
	h.submit(jobOf("job-000001", 1))
	h.watchBlocked = wire.PrefixJob
	h.txn(wire.Txn{Then: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(2 * sec)
	s := h.c.ownership.shards[0]
	if !s.active || s.jobsViewCurrent {
		t.Fatalf("active %v, current %v: the case is not what it should be", s.active, s.jobsViewCurrent)
	}
	complete := h.c.ownership.jobWatch.completeAsOf
	for seq := uint64(20); h.now < complete+h.c.bounds.StaleViewGrace+4*sec; seq++ { // it can renew all the time
		h.run(sec / 2)
		status, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken))
		fencingToken = max(fencingToken, body.FencingToken)
		if want := h.now < complete+h.c.bounds.StaleViewGrace; (status == 200) != want {
			t.Fatalf("%v s after its view of jobs was complete a report got %d", (h.now - complete).Seconds(), status)
		}
	}
	h.watchBlocked = ""
	h.run(2 * sec)
	if status, _ := h.heartbeat(heartbeatFrom("vm-1", 1, 100, fencingToken)); status != 200 {
		t.Errorf("a report got %d once the view of jobs was brought up", status)
	}
}

// What can't be taken gets 400 or 422 only where the job is surely unknown, and a
// job that is known elsewhere never does, on any node and during any fault.
func TestOddRequests(t *testing.T) {
	bad := func(r ReplyID) Input {
		return SubmitRequest{Reply: r, Err: &wire.SubmissionError{ID: "job-000001", Reason: "x"}}
	}
	unfit := func(r ReplyID) Input {
		s := jobOf("job-000001", 1)
		s.CPUs = 1000
		return SubmitRequest{Reply: r, Job: s}
	}
	noTeam := func(r ReplyID) Input {
		s := jobOf("job-000001", 1)
		s.Team = "x"
		return SubmitRequest{Reply: r, Job: s}
	}
	for _, tc := range []struct {
		name  string
		set   func(h *harness)
		ask   func(ReplyID) Input
		want  int
		state string
	}{
		{"malformed, unknown", nil, bad, 400, ""},
		{"fits nothing, unknown", nil, unfit, 422, ""},
		{"no such team, unknown", nil, noTeam, 422, ""},
		{"malformed, accepted elsewhere", accepted, bad, 200, wire.StatePending},
		{"fits nothing, accepted elsewhere", accepted, unfit, 200, wire.StatePending},
		{"malformed, done and out of memory", over, bad, 200, wire.StateDone},
		{"fits nothing, done and out of memory", over, unfit, 200, wire.StateDone},
		{"malformed, no state service", func(h *harness) { h.stateDown, h.refused = true, true }, bad, 503, ""},
		{"fits nothing, no state service", func(h *harness) { h.stateDown, h.refused = true, true }, unfit, 503, ""},
		{"fits nothing, types not known", func(h *harness) { h.c.types = nil }, unfit, 503, ""},
		{"cancelled though done", over, func(r ReplyID) Input { return CancelRequest{Reply: r, ID: "job-000001"} }, 200, wire.StateDone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
			h.watchBlocked = wire.PrefixJob // it hears of no job by itself
			h.run(sec)
			if tc.set != nil {
				tc.set(h)
			}
			a := h.ask(tc.ask)
			b, _ := a.Body.(wire.JobAnswer)
			if a.Status != tc.want || b.State != tc.state {
				t.Errorf("answered %d %q, want %d %q", a.Status, b.State, tc.want, tc.state)
			}
			if a.Status == 503 && a.RetryAfterS < 1 {
				t.Error("no time to come back")
			}
		})
	}
}

func accepted(h *harness) {
	sub := jobOf("job-000001", 1)
	h.put(wire.JobKey("job-000001"), wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1})
}

func over(h *harness) {
	h.put(wire.JobKey("job-000001"), wire.JobRecord{State: wire.StateDone, Tasks: 1})
}

// A direct command is held up, and its machine can't report: stops still go out, starts
// don't, and the raised fencing token that makes it clear is sent rather than waited for.
func TestDelayedCommand(t *testing.T) {
	h := meet(t, withPeer)
	fencingToken, a := h.runOne()
	h.run(2 * sec) // orders have their pace
	h.submit(jobOf("job-000002", 1))
	held := h.directCommands()
	if len(held) != 1 {
		t.Fatalf("%d orders, want the start", len(held))
	}
	h.open = nil
	h.late = wire.PrefixFleet // the record that raises the fencing token is slow
	h.step(Result{ID: held[0].ID})
	h.cancel("job-000001")
	h.submit(jobOf("job-000003", 1))
	h.run(3 * sec)
	halts := 0
	for _, c := range h.directCommands() {
		o := c.Req.(wire.DirectCommand)
		halts += stops(o.Commands)
		if len(starts(o.Commands)) > 0 {
			t.Errorf("a start follows an order that is unclear: %v", o.Commands)
		}
	}
	if halts == 0 {
		t.Fatal("the task is not stopped while an order is unclear")
	}
	// The halting order is answered; the unclear one still may act.
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
		t.Error("still unclear after the machine has shown the raised token")
	}
}

// A late copy of a message about a new job does not bring back one whose end has
// left memory.
func TestLateJobRecordHint(t *testing.T) {
	h := meet(t, func(c *Config) {
		withPeer(c)
		c.MaxFinalJobs = 1
	})
	h.reconcile("vm-1")
	sub := jobOf("job-000001", 1)
	rec := wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1}
	modRevision := h.put(wire.JobKey("job-000001"), rec)
	value, err := wire.Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	h.cancel("job-000001")
	h.submit(jobOf("job-000002", 1))
	h.cancel("job-000002") // takes its place in memory
	h.run(sec)
	hint := peer.Request{From: "n-1", JobRecordHint: &peer.JobRecordHint{ID: "job-000001", ModRevision: modRevision, Record: value}}
	h.step(PeerRequest{Reply: 900, Req: hint})
	h.run(sec)
	if h.c.jobs.open["job-000001"] != nil {
		t.Error("a cancelled job is open again")
	}
	if s := h.state("job-000001"); s != wire.StateCancelled {
		t.Errorf("called %q", s)
	}
}

// A machine that reaches no controller while direct commands reach it gets no more
// tasks, since they would end with its lease; its done tasks count, and it is not
// lost as long as it has work that may be completed.
func TestHeartbeatsUnanswered(t *testing.T) {
	h := meet(t, func(c *Config) {
		withPeer(c)
		c.WorkerLease = 30 * sec
		c.Cancel = 60 * sec
	})
	fencingToken, a := h.runOne()
	seq := uint64(20)
	answer := func(tasks ...wire.TaskStatus) {
		open := h.open
		h.open = nil
		for _, c := range open {
			if _, ok := c.Req.(GetHeartbeat); ok || len(c.Req.(wire.DirectCommand).Commands) == 0 {
				seq++
				h.step(Result{ID: c.ID, Status: 200, Body: new(heartbeatFrom("vm-1", 1, seq, fencingToken, tasks...))})
			} else {
				h.open = append(h.open, c)
			}
		}
	}
	for until := h.now + h.c.heartbeatTimeout() + 2*sec; h.now < until; {
		h.run(sec / 2)
		answer(wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskRunning})
	}
	h.submit(jobOf("job-000002", 1))
	if n := len(h.directCommands()); n != 0 {
		t.Errorf("%d orders with a start to a machine whose lease is running out", n)
	}
	m := h.c.machines["vm-1"]
	if st := h.c.stateOf(m); st == peer.MachineSilent {
		t.Error("taken for silent with a task on it that may be completed")
	}
	for range 12 {
		h.run(sec / 2)
		answer(wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitDone})
	}
	if s := h.state("job-000001"); s != wire.StateDone {
		t.Errorf("called %q, its task is done", s)
	}
	if st := h.c.stateOf(m); st != peer.MachineSilent {
		t.Errorf("state %d: an empty machine that can't report is of no use", st)
	}
	if status, body := h.heartbeat(heartbeatFrom("vm-1", 1, 2000, fencingToken)); status != 200 || len(starts(body.Commands)) != 1 {
		t.Errorf("heard again: %d %v, want a start", status, body.Commands)
	}
}

// A task whose job is unknown here, since its end has left memory, is looked up and
// stopped; one that nobody submitted is stopped as well.
func TestTaskOfUnknownJob(t *testing.T) {
	for _, tc := range []struct {
		name string
		rec  *wire.JobRecord
	}{
		{"cancelled long ago", &wire.JobRecord{State: wire.StateCancelled, Tasks: 1}},
		{"never submitted", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
			fencingToken := h.reconcile("vm-1")
			h.watchBlocked = wire.PrefixJob
			if tc.rec != nil {
				h.put(wire.JobKey("job-000009"), tc.rec)
			}
			halted := 0
			for seq := uint64(20); seq < 28; seq++ {
				_, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, wire.TaskStatus{Task: "job-000009/0", Attempt: 5, State: wire.TaskRunning}))
				halted += stops(body.Commands)
				h.run(sec)
			}
			if halted == 0 {
				t.Error("never stopped")
			}
		})
	}
}

// A record set older than the claim may have been used by the former owner, also when it
// becomes known only after the claim: its machines are not taken for untouched.
func TestOldMachineRecordSetAfterClaim(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after bool
	}{{"older than the claim", false}, {"newer", true}} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
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
				t.Errorf("settled %v, want %v", m.view.reconciled, tc.after)
			}
		})
	}
}

// With every team at its limit, cancelled tasks on machines that can't be asked count
// until they are provably gone, also at a new owner that knows the job to be over.
func TestCancelledStillCounts(t *testing.T) {
	limit := func(c *Config) {
		withPeer(c)
		c.Teams = []Team{{Name: "t", CPUsMax: 2}}
	}
	t.Run("same owner", func(t *testing.T) {
		h := meet(t, limit)
		fencingToken := h.reconcile("vm-1")
		h.reconcile("vm-2")
		h.submit(jobOf("job-000001", 2))
		h.dropCalls()
		_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
		cmds := starts(body.Commands)
		if len(cmds) != 2 {
			t.Fatalf("%d starts, want 2", len(cmds))
		}
		if a := h.cancel("job-000001"); a.Status != 200 {
			t.Fatalf("withdrawal got %d", a.Status)
		}
		h.submit(jobOf("job-000002", 2))
		h.open = nil
		if _, body := h.heartbeat(heartbeatFrom("vm-2", 1, 11, fencingToken)); len(starts(body.Commands)) != 0 {
			t.Errorf("%v: started beyond the limit", body.Commands)
		}
	})
	t.Run("new owner", func(t *testing.T) {
		h := meet(t, func(c *Config) {
			limit(c)
			c.WorkerLease = 20 * sec
			c.Cancel = 40 * sec
		})
		sub := jobOf("job-000002", 2)
		h.put(wire.JobKey("job-000001"), wire.JobRecord{State: wire.StateCancelled, Tasks: 2})
		h.putMachines("h-1-1", "vm-1", "vm-2")
		h.txn(wire.Txn{Then: []wire.Change{{Delete: ownerKey(0)}}}) // claimed anew: they are older
		h.run(sec)
		h.put(wire.JobKey("job-000002"), wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 2})
		h.open = nil
		s := h.c.ownership.shards[0]
		fencingToken := h.c.fencingToken(s, h.c.machines["vm-2"])
		seq := uint64(20)
		for h.now < s.machinesFreeAt+2*sec {
			seq++
			_, body := h.heartbeat(heartbeatFrom("vm-2", 1, seq, fencingToken))
			if n := len(starts(body.Commands)); n > 0 {
				if h.now < s.machinesFreeAt {
					t.Errorf("%d started %v s after the claim, vm-1 may hold cancelled tasks until %v s", n, (h.now - s.claimedAt).Seconds(), (s.machinesFreeAt - s.claimedAt).Seconds())
				}
				return
			}
			h.run(sec / 2)
			h.dropCalls()
		}
		t.Error("never started")
	})
}

// Old heartbeats reach a controller that has just begun to own: they settle nothing, and
// nothing of what they list is taken for the machine's present state.
func TestOldHeartbeatsAtNewOwner(t *testing.T) {
	h := meet(t, withPeer)
	sub := jobOf("job-000001", 3)
	h.put(wire.JobKey("job-000001"), wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 3})
	h.putMachines("h-1-1", "vm-1")
	h.txn(wire.Txn{Then: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(sec)
	h.open = nil
	m := h.c.machines["vm-1"]
	s := h.c.ownership.shards[0]
	fencingToken := h.c.fencingToken(s, m)
	task := func(i string, attempt uint64, state, exitReason string) wire.TaskStatus {
		return wire.TaskStatus{Task: "job-000001/" + i, Attempt: attempt, State: state, ExitReason: exitReason}
	}
	// A copy from under the former owner, kept for this one.
	h.heartbeat(heartbeatFrom("vm-1", 1, 5, fencingToken-1, task("0", 7, wire.TaskExited, wire.ExitDone), task("1", 7, wire.TaskRunning, ""), task("2", 7, wire.TaskExited, wire.ExitStopped)))
	if m.view.reconciled || !m.view.unreconciledFromPredecessor {
		t.Fatal("a copy from before the claim has settled the machine")
	}
	j := h.c.jobs.open["job-000001"]
	if len(j.run.active) > 0 || len(starts(h.commandsOut())) > 0 {
		t.Errorf("active %v: taken from a copy", j.run.active)
	}
	// The machine itself, a session later: nothing of the copy is there any more.
	h.heartbeat(heartbeatFrom("vm-1", 2, 1, fencingToken))
	if !m.view.reconciled || len(j.run.active) > 0 && j.run.active[1] != nil && j.run.active[1].key.attempt == 7 {
		t.Errorf("settled %v, active %v", m.view.reconciled, j.run.active)
	}
	// An older one again changes nothing.
	h.heartbeat(heartbeatFrom("vm-1", 1, 6, fencingToken, task("1", 7, wire.TaskExited, wire.ExitDone)))
	if j.run.done.has(1) {
		t.Error("a report of an earlier session changed the view")
	}
}

// commandsOut gives the commands of open direct commands.
func (h *harness) commandsOut() (out []wire.Command) {
	for _, c := range h.directCommands() {
		out = append(out, c.Req.(wire.DirectCommand).Commands...)
	}
	return out
}

// Nothing that is withheld stays so for ever: a withdrawal whose record never comes
// about leaves a job that its next owner runs.
func TestCancellationRequestEndsWithItsOwner(t *testing.T) {
	h := meet(t, withPeer)
	fencingToken, a := h.runOne()
	h.stateDown = true
	h.cancel("job-000001")
	h.heartbeat(heartbeatFrom("vm-1", 1, 20, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitStopped}))
	h.held = nil
	h.stateDown = false
	h.c.loseLease() // as after a 404
	h.txn(wire.Txn{Then: []wire.Change{{Delete: ownerKey(0)}, {Delete: wire.KeyLeader}}})
	h.run(3 * sec)
	if j := h.c.jobs.open["job-000001"]; j == nil || j.run == nil || j.run.endState != "" {
		t.Fatalf("the job is stuck: %+v", j)
	}
	fencingToken = h.c.fencingToken(h.c.ownership.shards[0], h.c.machines["vm-1"])
	h.dropCalls()
	started := false
	for seq := uint64(30); seq < 40 && !started; seq++ {
		_, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken))
		started = len(starts(body.Commands)) > 0
		h.run(sec / 2)
		h.dropCalls()
	}
	if !started {
		t.Error("not started again at its next owner")
	}
	if s := h.state("job-000001"); s != wire.StatePending && s != wire.StateRunning {
		t.Errorf("called %q", s)
	}
}

// One-task jobs come four a second, a quarter of them cancelled: ends and
// cancellations keep up within this node's part of the budget, a job that ends before
// its first checkpoint never writes one, and nothing grows.
func TestChurn(t *testing.T) {
	h := meet(t, func(c *Config) {
		c.WriteRPS, c.StateRPS = 25, 150
		c.Peers = nil
	})
	h.reconcile("vm-1")
	fencingToken := h.c.fencingToken(h.c.ownership.shards[0], h.c.machines["vm-1"])
	seq, n := uint64(100), 0
	var list []wire.TaskStatus
	slowest := micros.Micros(0)
	type open struct {
		id    string
		reply ReplyID
		at    micros.Micros
	}
	var waits []open
	for range 240 { // a minute
		n++
		id := fmt.Sprintf("job-%06d", n)
		h.submit(jobOf(id, 1))
		if n%4 == 0 {
			h.cancel(id)
			waits = append(waits, open{id, h.reply, h.now})
		}
		h.dropCalls()
		seq++
		_, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, list...))
		var keep []wire.TaskStatus
		for _, tr := range list {
			gone := false
			for _, c := range body.Commands {
				gone = gone || c.Op == wire.OpForget && c.Task == tr.Task
				if c.Op == wire.OpStop && c.Task == tr.Task {
					tr.State, tr.ExitReason = wire.TaskExited, wire.ExitStopped
				}
			}
			if tr.State == wire.TaskRunning {
				tr.State, tr.ExitReason = wire.TaskExited, wire.ExitDone
			}
			if !gone {
				keep = append(keep, tr)
			}
		}
		list = keep
		for _, c := range starts(body.Commands) {
			list = append(list, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
		}
		h.run(190 * ms)
		for _, w := range waits {
			if a := h.answers[w.reply]; a.Status != 200 {
				slowest = max(slowest, h.now-w.at)
			}
		}
	}
	if slowest > sec {
		t.Errorf("a cancellation waited %v s", slowest.Seconds())
	}
	if left := len(h.c.jobs.open); left > 12 {
		t.Errorf("%d jobs are open at the end", left)
	}
	versions := 0
	for _, tx := range h.done {
		for _, ch := range tx.Then {
			if len(ch.Put) > 8 && ch.Put[:8] == wire.PrefixCheckpoint {
				versions++
			}
		}
	}
	if versions > 0 {
		t.Errorf("%d Versions of jobs that ended with their only task", versions)
	}
}

// A checkpoint that is carried out after its job's end leaves nothing behind.
func TestLateCheckpoint(t *testing.T) {
	h := meet(t, withPeer)
	fencingToken := h.reconcile("vm-1")
	h.submit(jobOf("job-000001", 2))
	h.dropCalls()
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
	cmds := starts(body.Commands)
	h.late = wire.PrefixCheckpoint
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, wire.TaskStatus{Task: cmds[0].Task, Attempt: cmds[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}))
	h.run(3 * sec)
	if len(h.lateOut) == 0 {
		t.Fatal("no Version was sent")
	}
	late := h.lateOut
	h.late, h.lateOut = "", nil
	for _, c := range late {
		h.step(Result{ID: c.ID}) // given up
	}
	h.run(sec / 2) // read: nothing stands there
	if a := h.cancel("job-000001"); a.Status != 200 {
		t.Fatalf("withdrawal got %d", a.Status)
	}
	h.lateOut = late
	if n := h.carryOut(); n != 0 {
		t.Errorf("%d Versions of a job that is over were written", n)
	}
}

// A machine reports for the first time just as the leader's lease is over; the leader
// leads again under the same key. The machine must find a home then.
func TestRegistrationAcrossOutage(t *testing.T) {
	h := meet(t, withPeer)
	h.c.fleet.rented["vm-7"] = &rented{kind: kind{"m", "a", false}, at: h.now}
	h.stateDown, h.refused = true, true
	for h.now < h.c.ownership.renewedAt+h.c.bounds.LeaseValidity-200*ms {
		h.run(20 * ms)
	}
	h.ask(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom("vm-7", 1, 1, 0)} })
	h.run(2 * sec)
	if c := h.c; c.leading() || len(c.fleet.registrations) > 0 {
		t.Fatalf("leading %v, %d reporters: the case is not what it should be", c.leading(), len(c.fleet.registrations))
	}
	h.stateDown, h.refused = false, false
	h.run(2 * sec)
	for seq := uint64(2); seq < 6; seq++ {
		h.ask(func(r ReplyID) Input { return Heartbeat{Reply: r, Heartbeat: heartbeatFrom("vm-7", 1, seq, 0)} })
		h.run(sec)
	}
	if h.c.machines["vm-7"] == nil {
		t.Error("never assigned")
	}
}

// Beyond its lease an owner starts tasks only while every other controller says that
// it has lost the state service too: else a successor may have told a user of a
// cancellation.
func TestStartsBeyondTheLease(t *testing.T) {
	for _, tc := range []struct {
		name    string
		stateOK bool // the other says
		silent  bool // nothing is heard of the other
		want    int
	}{
		{"all share the outage", false, false, 1},
		{"the other has the state service", true, false, 0},
		{"the other is not heard", false, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, withPeer)
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
			for seq := uint64(11); h.now < h.c.ownership.renewedAt+h.c.bounds.LeaseValidity+sec; seq++ {
				h.run(sec / 2)
				if !tc.silent {
					h.step(PeerRequest{Reply: ReplyID(9000 + seq), Req: peer.Request{From: "n-1", Status: &peer.Status{About: peer.About{StateOK: tc.stateOK}}}})
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

// A machine's move is not answered; before the owner raises its fencing token, the leader
// rewrites the record set. The move is void then, and the machine is to be used again.
func TestVoidMoveEnds(t *testing.T) {
	h := meet(t, func(c *Config) {
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
	if h.c.release(peer.Release{Machines: []string{"vm-1"}, Shard: 1 - m.rec.Shard}); !m.view.releasing {
		t.Fatal("not on its way: the case is not what it should be")
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
		t.Errorf("%+v: still on its way, though the move can't be applied any more", m.view)
	}
	h.lateOut = sent
	if n := h.carryOut(); n != 0 {
		t.Errorf("%d moves were applied late", n)
	}
}
