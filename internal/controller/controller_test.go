package controller

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

func TestAssignTeamsToShards(t *testing.T) {
	for _, tc := range []struct {
		name   string
		teams  []Team
		shards int
		want   []int
	}{
		{"one team without a limit: jobs are parted", []Team{{Name: "a"}}, 3, nil},
		{"one team with a limit stays whole", []Team{{Name: "a", CPUsMax: 4}}, 3, []int{0}},
		{"by guarantee", []Team{{CPUs: 88}, {CPUs: 40}, {CPUs: 72}, {CPUs: 56}}, 3, []int{0, 2, 1, 2}},
		{"no guarantees: by number", []Team{{}, {}, {}, {}}, 2, []int{0, 1, 0, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := AssignTeamsToShards(tc.teams, tc.shards)
			if len(got) != len(tc.want) || (got == nil) != (tc.want == nil) {
				t.Fatalf("got %v, want %v", got, tc.want)
			}
			for i := range got {
				if got[i] != tc.want[i] {
					t.Errorf("got %v, want %v", got, tc.want)
				}
			}
		})
	}
}

// Answers to submissions and questions, whether or not the job is known.
func TestUsers(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Teams = []Team{{Name: "t", CPUsMax: 3}, {Name: "u"}} })
	change := func(f func(*wire.Submission)) wire.Submission {
		s := jobOf("job-000001", 2)
		f(&s)
		return s
	}
	for _, tc := range []struct {
		name string
		job  wire.Submission
		want int
	}{
		{"unknown team", change(func(s *wire.Submission) { s.Team = "x" }), 422},
		{"larger than any machine", change(func(s *wire.Submission) { s.Team = "u"; s.CPUs = 5 }), 422},
		{"larger than the team's limit", change(func(s *wire.Submission) { s.CPUs = 4 }), 422},
		{"no type allowed", change(func(s *wire.Submission) { s.Types = []string{} }), 422},
		{"unknown zone", change(func(s *wire.Submission) { s.Zone = "z" }), 422},
		{"good", change(func(s *wire.Submission) {}), 201},
		{"repeated", change(func(s *wire.Submission) {}), 200},
		{"accepted, and now of an unknown team", change(func(s *wire.Submission) { s.Team = "x" }), 200},
	} {
		if a := h.submit(tc.job); a.Status != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, a.Status, tc.want)
		}
	}
	if a := h.ask(func(r ReplyID) Input {
		return SubmitRequest{Reply: r, Err: &wire.SubmissionError{ID: "job-000001", Reason: "x"}}
	}); a.Status != 200 {
		t.Errorf("malformed repeat of an accepted job: %d, want 200", a.Status)
	}
	if a := h.ask(func(r ReplyID) Input { return SubmitRequest{Reply: r, Err: &wire.SubmissionError{Reason: "x"}} }); a.Status != 400 {
		t.Errorf("malformed: %d, want 400", a.Status)
	}
	for id, want := range map[string]int{"job-000001": 200, "job-000002": 404, "nonsense": 404} {
		if a := h.jobStatus(id); a.Status != want {
			t.Errorf("question about %s: %d, want %d", id, a.Status, want)
		}
	}
	h.stateDown = true
	if a := h.submit(jobOf("job-000003", 1)); a.Status != 0 {
		t.Errorf("told %d while the outcome is open", a.Status)
	}
	h.run(2 * sec) // nothing comes back, and a read can't settle it either
	for _, c := range h.held {
		h.step(Result{ID: c.ID})
	}
	h.run(2 * sec)
	for _, c := range h.held {
		h.step(Result{ID: c.ID})
	}
	if a := h.answers[h.reply]; a.Status != 503 || a.RetryAfterS < 1 {
		t.Errorf("outcome unknown: %d, come back after %d s; want 503 and a time", a.Status, a.RetryAfterS)
	}
}

// Which reports count, and what a worker is told.
func TestHeartbeatOrder(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	for _, tc := range []struct {
		name                       string
		session, seq, fencingToken uint64
		want                       int
	}{
		{"newer", 1, 10, fencingToken, 200},
		{"the same again", 1, 10, fencingToken, 503},
		{"older", 1, 9, fencingToken, 503},
		{"token of a successor", 1, 11, fencingToken + 1000, 503},
		{"next session", 2, 1, fencingToken, 200},
		{"older session, larger number", 1, 99, fencingToken, 503},
	} {
		if status, _ := h.heartbeat(heartbeatFrom("vm-1", tc.session, tc.seq, tc.fencingToken)); status != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, status, tc.want)
		}
	}
}

// A start in a heartbeat's answer that was dropped is known to be so by the next
// report, and is made again with a new attempt.
func TestStartInDroppedAnswer(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	first := h.startOne(fencingToken)
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken))
	again := starts(body.Commands)
	if len(again) != 1 || again[0].Attempt <= first {
		t.Errorf("after a report without the task: %v, want a start with an attempt above %d", body.Commands, first)
	}
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 12, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: again[0].Attempt, State: wire.TaskRunning}))
	if len(starts(body.Commands)) != 0 {
		t.Errorf("started again while it runs: %v", body.Commands)
	}
}

// A command that was not answered may act minutes later: its task starts nowhere
// else before a raised fencing token was seen.
func TestUnansweredCommand(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	other := h.reconcile("vm-2")
	h.submit(jobOf("job-000001", 1))
	orders := h.directCommands()
	if len(orders) != 1 {
		t.Fatalf("%d orders, want 1", len(orders))
	}
	at := orders[0].Addr
	if at == "vm-2" {
		fencingToken, other = other, fencingToken
	}
	h.step(Result{ID: orders[0].ID}) // no answer
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
		t.Fatal("started elsewhere while the order may still act")
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

// A task on a silent machine restarts once that machine's lease must be over,
// and not before.
func TestSilentMachine(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	a := h.startOne(fencingToken)
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskRunning}))
	last := h.now
	other := h.reconcile("vm-2")
	h.c.fleet.planNext = micros.Never // keep the idle machine
	for seq := uint64(20); h.now < last+14*sec; seq++ {
		h.run(sec / 2)
		_, body := h.heartbeat(heartbeatFrom("vm-2", 1, seq, other))
		early := h.now < last+10*sec
		if started := len(starts(body.Commands)) > 0 || len(h.directCommands()) > 0; started {
			if early {
				t.Fatalf("started elsewhere %v s after the last answer", (h.now - last).Seconds())
			}
			return
		}
	}
	t.Error("never started elsewhere")
}

// A cancellation stops what a start still under way brings up.
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
		t.Fatalf("withdrawal answered %d", a.Status)
	}
	h.open = nil
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken,
		wire.TaskStatus{Task: "job-000001/0", Attempt: cmds[0].Attempt, State: wire.TaskFetching},
		wire.TaskStatus{Task: "job-000001/1", Attempt: cmds[1].Attempt, State: wire.TaskRunning}))
	if again := starts(body.Commands); len(again) > 0 {
		t.Errorf("a cancelled job's tasks are started: %v", again)
	}
	if n := stops(body.Commands); n != 2 {
		t.Errorf("%d halts without grace, want 2: %v", n, body.Commands)
	}
	if s := h.state("job-000001"); s != wire.StateCancelled {
		t.Errorf("called %q, want cancelled", s)
	}
}

// A limit counts what may be on machines that were not heard of yet.
func TestLimitCountsUnreconciledMachines(t *testing.T) {
	for _, tc := range []struct {
		name      string
		unsettled bool
		want      int
	}{
		{"all machines settled", false, 4},
		{"one may hold four CPUs' worth", true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Teams = []Team{{Name: "t", CPUsMax: 4}, {Name: "u"}}; c.Shards = 1 })
			fencingToken := h.reconcile("vm-1")
			if tc.unsettled {
				// It stood on record when the shard was claimed.
				h.putMachines("m-1-1", "vm-9")
				h.c.machines["vm-9"].view.unreconciledFromPredecessor = true
				h.c.markDirty(h.c.machines["vm-9"])
			}
			h.submit(jobOf("job-000001", 6))
			h.dropCalls()
			_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
			if n := len(starts(body.Commands)); n != tc.want {
				t.Errorf("%d tasks started, want %d", n, tc.want)
			}
		})
	}
}

// Jobs that a former owner may have started wait until every machine of the
// shard is settled; jobs accepted after the claim need not.
func TestTakeover(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"}; c.Shards = 1 })
	// n-1 held the shard; its job and machine stand on record.
	old := jobOf("job-000001", 1)
	h.putMachines("l-1-1", "vm-1", "vm-2")
	h.put(wire.JobKey("job-000001"), wire.JobRecord{Submission: &old, State: wire.StatePending, Tasks: 1})
	h.txn(wire.Txn{Then: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(3 * sec)
	s := h.c.ownership.shards[0]
	if !s.active {
		t.Fatal("the share was not taken over")
	}
	h.dropCalls()
	fencingToken := h.c.fencingToken(s, h.c.machines["vm-1"])
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 5, fencingToken))
	if n := len(starts(body.Commands)); n != 0 {
		t.Fatalf("%d old tasks started while vm-2 may hold them", n)
	}
	h.submit(jobOf("job-000002", 1))
	h.dropCalls()
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 6, fencingToken))
	if got := starts(body.Commands); len(got) != 1 || got[0].Task != "job-000002/0" {
		t.Errorf("starts %v, want the new job's only", got)
	}
	new := starts(body.Commands)[0]
	// vm-2 shows the old task: it is adopted, not started again.
	_, body = h.heartbeat(heartbeatFrom("vm-2", 1, 5, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: 7, State: wire.TaskRunning}))
	for _, c := range body.Commands {
		t.Errorf("unexpected command %v", c)
	}
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 7, fencingToken, wire.TaskStatus{Task: new.Task, Attempt: new.Attempt, State: wire.TaskRunning}))
	if n := len(starts(body.Commands)); n != 0 {
		t.Errorf("the old task was started again")
	}
	if s := h.state("job-000001"); s != wire.StateRunning {
		t.Errorf("the old job is called %q, want running", s)
	}
}

// A job that becomes known only after its machines settled is tied to its
// running tasks before anything is placed: ran_twice on a day when a node
// came back from a cut with an old view (Inkingi faults, seed 182635972162).
func TestLateJobIsAdopted(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	other := h.reconcile("vm-2")
	h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: 7, State: wire.TaskRunning}))
	sub := jobOf("job-000001", 1)
	// As if accepted before our claim: its record has a lower mark.
	h.c.learnJob("job-000001", wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1}, 1)
	h.c.schedulingDue = true
	h.run(sec)
	_, body := h.heartbeat(heartbeatFrom("vm-2", 1, 10, other))
	if len(starts(body.Commands)) != 0 || len(h.directCommands()) != 0 {
		t.Errorf("started again: %v %v", body.Commands, h.directCommands())
	}
}

// An end whose transaction was not answered is settled by a read; until then
// nothing is told from memory.
func TestUnansweredEnd(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	a := h.startOne(fencingToken)
	h.lose, h.watchBlocked = wire.JobKey("job-000001"), wire.PrefixJob
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskExited, ExitReason: wire.ExitDone}))
	// Applied, not answered: the store says done, and so must every answer.
	if s := h.state("job-000001"); s != wire.StateDone {
		t.Errorf("called %q while its end stands on record", s)
	}
}

// A node that has just claimed a shard with an old view of jobs must not speak
// for one that is long over (found by the simulation: done was called pending).
func TestStaleViewOfJobs(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"}; c.Shards = 1 })
	sub := jobOf("job-000001", 1)
	h.put(wire.JobKey("job-000001"), wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1})
	h.watchBlocked = wire.PrefixJob // from here on it hears of no job
	h.txn(wire.Txn{Then: []wire.Change{{Delete: ownerKey(0)}}})
	value, err := wire.Encode(wire.JobRecord{State: wire.StateDone, Tasks: 1})
	if err != nil {
		t.Fatal(err)
	}
	h.txn(wire.Txn{Then: []wire.Change{{Put: wire.JobKey("job-000001"), Value: value}}})
	h.run(2 * sec)
	if s := h.c.ownership.shards[0]; !s.active || s.jobsViewCurrent || h.c.jobs.open["job-000001"] == nil {
		t.Fatalf("active %v, current %v: the case is not what it should be", s.active, s.jobsViewCurrent)
	}
	if s := h.state("job-000001"); s != wire.StateDone {
		t.Errorf("called %q, done on record", s)
	}
}

// checkpoints cover the done tasks as ranges, within the size of a value.
func TestCheckpoint(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tasks  int
		done   func(i int) bool
		ranges []int
		count  int
		set    bool
	}{
		{"none", 10, func(int) bool { return false }, nil, 0, false},
		{"all", 10, func(int) bool { return true }, []int{0, 9}, 10, false},
		{"a hole", 6, func(i int) bool { return i != 3 }, []int{0, 2, 4, 5}, 5, false},
		{"last only", 100_000, func(i int) bool { return i == 99_999 }, []int{99_999, 99_999}, 1, false},
		{"every other of 2,000: more ranges than fit", 2000, func(i int) bool { return i%2 == 0 }, nil, 1000, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{Shards: 1, Teams: []Team{{Name: "t"}}, ValueBytes: 8 << 10, StateRPS: 1, WriteRPS: 1, CloudRPS: 1}, 1)
			sub := jobOf("job-000001", tc.tasks)
			j := &job{id: sub.ID, sub: &sub, run: &run{done: newBitset(tc.tasks)}}
			for i := range tc.tasks {
				if tc.done(i) {
					j.run.done.set(i)
				}
			}
			j.run.doneCount = tc.count
			rec, _ := c.buildCheckpoint(j)
			if tc.set {
				if rec.Count != tc.count || len(rec.Ranges) != 0 {
					t.Fatalf("%d done in %d ranges, want %d in a set", rec.Count, len(rec.Ranges)/2, tc.count)
				}
				// A new owner reads the same from it.
				again := &job{id: sub.ID, sub: &sub, run: &run{done: newBitset(tc.tasks), checkpointed: newBitset(tc.tasks), acceptedUnderClaim: true}}
				c.applyCheckpoint(&shard{checkpoints: map[string]wire.CheckpointRecord{sub.ID: rec}}, again)
				if again.run.doneCount != tc.count {
					t.Errorf("read as %d done", again.run.doneCount)
				}
				return
			}
			if rec.Count != tc.count || len(rec.Ranges) != len(tc.ranges) {
				t.Fatalf("%d done in %v, want %d in %v", rec.Count, rec.Ranges, tc.count, tc.ranges)
			}
			for i := range rec.Ranges {
				if rec.Ranges[i] != tc.ranges[i] {
					t.Errorf("ranges %v, want %v", rec.Ranges, tc.ranges)
				}
			}
		})
	}
	c := New(Config{Shards: 1, Teams: []Team{{Name: "t"}}, ValueBytes: 8 << 10, StateRPS: 1, WriteRPS: 1, CloudRPS: 1}, 1)
	sub := jobOf("job-000001", wire.MaxTasks)
	j := &job{id: sub.ID, sub: &sub, run: &run{done: newBitset(wire.MaxTasks)}}
	for i := 0; i < wire.MaxTasks; i += 2 {
		j.run.done.set(i)
	}
	for range maxSteps {
		j.run.steps = append(j.run.steps, wire.Step{Task: 99_999, Machine: "vm-000000000", StartMS: 1 << 41, EndMS: 1 << 41})
	}
	rec, covered := c.buildCheckpoint(j)
	value, err := wire.Encode(rec)
	if err != nil || len(value) > 8<<10 || rec.Count == 0 {
		t.Errorf("the worst Version has %d bytes for %d tasks, %v", len(value), rec.Count, err)
	}
	for i := 0; i < wire.MaxTasks; i++ {
		if covered.has(i) && !j.run.done.has(i) {
			t.Fatalf("task %d is covered and not done", i)
		}
	}
}

// A faulty machine is told from a bad job.
func TestFailures(t *testing.T) {
	for _, tc := range []struct {
		name     string
		failures [][2]string // job, machine
		faulty   []string
		slowed   []string
		well     int // tasks of job-000001 that have run on elsewhere for a while
	}{
		{"one failure", [][2]string{{"job-000001", "vm-1"}}, nil, nil, 0},
		{"two jobs fail on one machine", [][2]string{{"job-000001", "vm-1"}, {"job-000002", "vm-1"}}, []string{"vm-1"}, nil, 0},
		{"one job fails on three machines", [][2]string{{"job-000001", "vm-1"}, {"job-000001", "vm-2"}, {"job-000001", "vm-3"}}, nil, []string{"job-000001"}, 0},
		{"a large array fails on three machines and runs on many", [][2]string{{"job-000001", "vm-1"}, {"job-000001", "vm-2"}, {"job-000001", "vm-3"}}, nil, nil, 12},
		{"one job fails again and again on one machine", [][2]string{{"job-000001", "vm-1"}, {"job-000001", "vm-1"}, {"job-000001", "vm-1"}}, []string{"vm-1"}, nil, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, nil)
			for _, id := range []string{"vm-1", "vm-2", "vm-3"} {
				h.reconcile(id)
			}
			for _, id := range []string{"job-000001", "job-000002"} {
				h.submit(jobOf(id, 5))
			}
			h.run(10 * sec)
			for i := range tc.well {
				h.c.jobs.open["job-000001"].run.active[100+i] = &attempt{runAt: h.now - 6*sec}
			}
			for _, f := range tc.failures {
				j, m := h.c.jobs.open[f[0]], h.c.machines[f[1]]
				h.c.noteFailure(&attempt{job: j, machine: m, index: 0})
			}
			for _, id := range []string{"vm-1", "vm-2", "vm-3"} {
				want := false
				for _, s := range tc.faulty {
					want = want || s == id
				}
				if v := h.c.machines[id].view; v.faulty != want || (v.cordonedUntil > h.c.now) != want {
					t.Errorf("%s set aside: %v, want %v", id, v.faulty, want)
				}
			}
			for _, id := range []string{"job-000001", "job-000002"} {
				want := false
				for _, s := range tc.slowed {
					want = want || s == id
				}
				if got := h.c.jobs.open[id].run.nextRetryAt > 0; got != want {
					t.Errorf("%s throttled: %v, want %v", id, got, want)
				}
			}
		})
	}
}

// An owner that has lost the state service stops speaking from memory at the
// end of its lease, and commanding at the end of the extra time.
func TestLosingTheStateService(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1")
	h.submit(jobOf("job-000001", 1))
	h.stateDown = true
	last := h.c.ownership.renewedAt
	seq := uint64(10)
	for h.now < last+h.c.bounds.CommandValidity+2*sec {
		h.run(sec / 2)
		seq++
		status, _ := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken))
		if want := h.now < last+h.c.bounds.CommandValidity; (status == 200) != want {
			t.Fatalf("%v s after the last renewal a report got %d", (h.now - last).Seconds(), status)
		}
		a := h.jobStatus("job-000001")
		if want := h.now < last+h.c.bounds.LeaseValidity; (a.Status == 200) != want {
			t.Fatalf("%v s after the last renewal a question got %d", (h.now - last).Seconds(), a.Status)
		}
	}
	if h.c.bounds.CommandValidity <= h.c.bounds.LeaseValidity+micros.Second {
		t.Error("the case has no extra time to look at")
	}
}

// A repeat of a direct command can follow the end of the process that sent it. It
// must find the attempt still known, unless a higher fencing token has been seen since
// (found by the simulation: the repeat ran a task that had moved on).
func TestCommandedAttemptStaysKnown(t *testing.T) {
	for _, tc := range []struct {
		name       string
		exitReason string
		ordered    bool
		raised     bool
		clear      bool
	}{
		{"stopped, started by an order", wire.ExitStopped, true, false, false},
		{"failed, started by an order", wire.ExitError, true, false, false},
		{"stopped, token raised since", wire.ExitStopped, true, true, true},
		{"stopped, started in a report's answer", wire.ExitStopped, false, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, nil)
			fencingToken := h.reconcile("vm-1")
			h.submit(jobOf("job-000001", 1))
			var attempt uint64
			if tc.ordered {
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

// Room that is being made for one job is not given to another meanwhile, which
// would only be stopped in its turn (found by the simulation: forty stops a second).
func TestPreemptedCapacityIsReserved(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcile("vm-1") // four CPUs
	job := func(id, priority string, tasks int, cpus float64) {
		s := jobOf(id, tasks)
		s.Priority, s.CPUs = priority, cpus
		h.submit(s)
	}
	job("job-000001", "standard", 1, 2)
	job("job-000002", "best_effort", 2, 2) // the second task waits
	h.dropCalls()
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
	running := map[string]wire.TaskStatus{}
	for _, c := range starts(body.Commands) {
		running[c.Task] = wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
	}
	first, second := running["job-000001/0"], running["job-000002/0"]
	if first.Attempt == 0 || second.Attempt == 0 {
		t.Fatalf("running %v", running)
	}
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, first, second))
	job("job-000003", "standard", 1, 3) // may stop job-000002, which is not enough
	h.run(2 * sec)
	// The first ends: what it leaves and what job-000002 holds are enough.
	first.State, first.ExitReason = wire.TaskExited, wire.ExitDone
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 12, fencingToken, first, second))
	stops := 0
	for _, c := range body.Commands {
		if c.Op == wire.OpStop {
			stops++
		}
		if c.Op == wire.OpStart {
			t.Errorf("%s is started in the room that is being made", c.Task)
		}
	}
	if stops != 1 {
		t.Errorf("%d tasks stopped, want 1: %v", stops, body.Commands)
	}
}

// Readiness: users go elsewhere if a node alone has lost the state service, but
// not if all have, also when they were started in the outage.
func TestReady(t *testing.T) {
	ready := func(h *harness) int { return h.ask(func(r ReplyID) Input { return ReadinessRequest{Reply: r} }).Status }
	for _, tc := range []struct {
		name              string
		before, peerState bool // it had the state service before; a peer has it now
		want              int
	}{
		{"lost by all", true, false, 200},
		{"lost by this node alone", true, true, 503},
		{"started without it, as all", false, false, 200},
		{"started without it, alone", false, true, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"} })
			if tc.before && ready(h) != 200 {
				t.Fatal("not ready with all at hand")
			}
			if !tc.before {
				h.c = New(h.c.cfg, 2)
				h.watches, h.answers = nil, map[ReplyID]Answer{}
			}
			h.stateDown, h.peersDown = true, true
			for range 12 {
				h.run(sec / 2)
				p := h.c.peers["n-1"]
				p.lastHeardAt, p.stateOK = h.now, tc.peerState
			}
			if got := ready(h); got != tc.want {
				t.Errorf("ready: %d, want %d", got, tc.want)
			}
		})
	}
}

// A job that can only just be in time has others stopped at once, without time
// to save; one that has time, or can't be in time any more, has not.
func TestDeadlineNear(t *testing.T) {
	deadline := func(s float64) *float64 { return &s }
	for _, tc := range []struct {
		name     string
		deadline *float64
		within   micros.Micros // of its class
		want     bool
	}{
		{"no deadline", nil, 0, false},
		{"time enough", deadline(100), 0, false},
		{"must start within seconds", deadline(15), 0, true}, // expected to run 10 s
		{"its class's time is short", nil, 18 * sec, true},
		{"the shorter of both counts", deadline(100), 18 * sec, true},
		{"too late already", deadline(5), 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.FinishWithin = map[string]micros.Micros{"c": tc.within} })
			s := jobOf("job-000001", 1)
			s.DeadlineS = tc.deadline
			h.submit(s)
			j := h.c.jobs.open["job-000001"]
			if got := h.c.deadlineNear(j); got != tc.want {
				t.Errorf("pressed: %v, want %v", got, tc.want)
			}
			low := jobOf("job-000002", 1)
			low.Priority, low.CheckpointS, low.SaveS = "best_effort", 5, 2
			h.submit(low)
			victim := &attempt{job: h.c.jobs.open["job-000002"], state: attemptRunning}
			if got := h.c.stopModeFor(victim, j) == stopImmediate; got != tc.want {
				t.Errorf("stopped without saving: %v, want %v", got, tc.want)
			}
		})
	}
}
