package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// after returns a plain submission that depends on others.
func after(id string, tasks int, dependencies ...string) wire.Submission {
	s := jobOf(id, tasks)
	s.DependsOn = dependencies
	return s
}

// stateOf returns the state of a job in an answer, or "".
func stateOf(a Answer) wire.JobState {
	b, _ := a.Body.(wire.JobAnswer)
	return b.State
}

// record stores a job's record as another controller would.
func (h *harness) record(s wire.Submission) {
	h.put(wire.JobKey(s.ID), wire.NewJobRecord(&s, h.now.Millis()))
}

// recordEnd stores the record of a job that ended at a time of day, as another controller would.
func (h *harness) recordEnd(id string, state wire.JobState, endMS int64) {
	h.put(wire.JobKey(id), wire.JobRecord{State: state, Tasks: 1, EndMS: endMS})
}

// TestDependenciesAccepted checks that a submission may name jobs that any controller accepted, in
// whatever state they are; one that was never accepted, itself included, is answered 422 after a
// read only.
func TestDependenciesAccepted(t *testing.T) {
	blockWatch := func(h *harness) {
		h.watchBlocked = wire.PrefixJob
		h.run(sec)
	}
	for _, tc := range []struct {
		name string
		set  func(h *harness)
		deps []string
		want int
	}{
		{"open and known", func(h *harness) { h.submit(jobOf("job-000001", 1)) }, []string{"job-000001"}, 201},
		{"accepted elsewhere, not known here", func(h *harness) { blockWatch(h); h.record(jobOf("job-000001", 1)) }, []string{"job-000001"}, 201},
		{"done and out of memory", func(h *harness) { blockWatch(h); h.recordEnd("job-000001", wire.StateDone, 0) }, []string{"job-000001"}, 201},
		{"cancelled", func(h *harness) { h.recordEnd("job-000001", wire.StateCancelled, 0) }, []string{"job-000001"}, 201},
		{"two, one blocked itself", func(h *harness) {
			h.submit(jobOf("job-000001", 1))
			h.submit(after("job-000002", 1, "job-000001"))
		}, []string{"job-000001", "job-000002"}, 201},
		{"never accepted", nil, []string{"job-000001"}, 422},
		{"one of two never accepted", func(h *harness) { h.submit(jobOf("job-000001", 1)) }, []string{"job-000001", "job-000002"}, 422},
		{"itself", nil, []string{"job-000009"}, 422},
		{"no read possible", func(h *harness) { h.stateDown, h.refused = true, true }, []string{"job-000001"}, 503},
		{"too many for a record", func(h *harness) {
			for _, id := range names(100, 150) {
				h.recordEnd(id, wire.StateDone, 0)
			}
		}, names(100, 150), 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, func(c *Config) { withPeer(c); c.ValueBytes = 2 << 10 })
			if tc.set != nil {
				tc.set(h)
			}
			a := h.submit(after("job-000009", 1, tc.deps...))
			if a.Status != tc.want {
				t.Fatalf("answered %d, want %d", a.Status, tc.want)
			}
			if a.Status == 503 && a.RetryAfterS < 1 {
				t.Error("no time to come back")
			}
			if a.Status != 201 {
				return
			}
			// Its repeat is answered with its state, whatever it names now.
			for _, deps := range [][]string{tc.deps, {"job-000777"}, {"job-000009"}, nil} {
				if a := h.submit(after("job-000009", 1, deps...)); a.Status != 200 && a.Status != 503 {
					t.Errorf("repeat that names %v: %d", deps, a.Status)
				}
			}
		})
	}
}

// TestTooManyDependencies checks that a list of dependencies too long for a record is refused alike
// whether they are known or not, and without a read for each.
func TestTooManyDependencies(t *testing.T) {
	for _, known := range []bool{true, false} {
		h := newOwnerHarness(t, func(c *Config) { withPeer(c); c.ValueBytes = 2 << 10 })
		for _, id := range names(100, 150) {
			if known {
				h.put(wire.JobKey(id), wire.JobRecord{State: wire.StateDone, Tasks: 1})
			}
		}
		before := h.reads
		if a := h.submit(after("job-000009", 1, names(100, 5000)...)); a.Status != 400 {
			t.Errorf("known %v: answered %d, want 400", known, a.Status)
		}
		if n := h.reads - before; n > 1 {
			t.Errorf("known %v: %d reads, want one, of the job itself", known, n)
		}
		// An accepted job's repeat gets its state all the same.
		h.submit(jobOf("job-000010", 1))
		if a := h.submit(after("job-000010", 1, names(100, 5000)...)); a.Status != 200 {
			t.Errorf("a repeat that names too many: %d", a.Status)
		}
	}
}

// names returns n ids of jobs, the first with the number from.
func names(from, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("job-%06d", from+i))
	}
	return out
}

// diamond returns a harness with a machine, and jobs that need each other as a diamond:
// 2 and 3 need 1, 4 needs both.
func diamond(t *testing.T) (h *harness, fencingToken uint64) {
	t.Helper()
	h = newOwnerHarness(t, withPeer)
	fencingToken = h.reconcile("vm-1")
	h.submit(jobOf("job-000001", 1))
	h.submit(after("job-000002", 1, "job-000001"))
	h.submit(after("job-000003", 1, "job-000001"))
	h.submit(after("job-000004", 1, "job-000002", "job-000003"))
	h.dropCalls()
	return h, fencingToken
}

// finishAndStart sends a heartbeat in which the tasks started before are done, and returns
// the starts in its answer.
func (h *harness) finishAndStart(seq uint64, fencingToken uint64, before []wire.Command) []wire.Command {
	h.dropCalls()
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, shownDone(before)...))
	return starts(body.Commands)
}

func shownDone(cmds []wire.Command) (out []wire.TaskStatus) {
	for _, c := range cmds {
		out = append(out, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone})
	}
	return out
}

func taskNames(cmds []wire.Command) string {
	var out []string
	for _, c := range cmds {
		out = append(out, c.Task)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// TestDAGRuns checks that a DAG runs in order, each job once all that it needs is done on record.
func TestDAGRuns(t *testing.T) {
	h, fencingToken := diamond(t)
	seq := uint64(20)
	var running []wire.Command
	for _, want := range []string{"job-000001/0", "job-000002/0 job-000003/0", "job-000004/0"} {
		var got []wire.Command
		for range 20 {
			seq++
			if got = h.finishAndStart(seq, fencingToken, running); len(got) > 0 {
				break
			}
			h.run(200 * ms)
		}
		if taskNames(got) != want {
			t.Fatalf("%q started, want %q", taskNames(got), want)
		}
		running = got
	}
	for range 5 {
		seq++
		h.finishAndStart(seq, fencingToken, running)
		h.run(sec)
	}
	for _, id := range []string{"job-000001", "job-000004"} {
		if s := h.state(id); s != wire.StateDone {
			t.Errorf("%s is called %q", id, s)
		}
	}
}

// TestBlockedJob checks that a blocked job is pending and takes nothing of its team's limit,
// guarantee or demand, and nothing but a record unblocks it.
func TestBlockedJob(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) { withPeer(c); c.Teams = []Team{{Name: "t", CPUs: 3, CPUsMax: 4}} })
	fencingToken := h.reconcile("vm-1")
	other := jobOf("job-000001", 1)
	h.record(other)
	h.submit(after("job-000002", 2, "job-000001"))
	h.submit(jobOf("job-000003", 2))
	c := h.c
	s := c.ownership.shards[0]
	blockedJob, free := c.jobs.open["job-000002"], c.jobs.open["job-000003"]
	if !blockedJob.blocked() || slices.Contains(c.queue(s), blockedJob) {
		t.Error("a blocked job stands in the queue")
	}
	if !free.withinGuarantee {
		t.Error("a blocked job takes of its team's guarantee")
	}
	if d, _ := c.demandOf(s, maxRowBytes); fleet.WaitingCPUs(&d)+d.BusyCPUs > 3+scheduling.Tolerance {
		t.Errorf("%v CPUs are wanted: a blocked job is among them", fleet.WaitingCPUs(&d)+d.BusyCPUs)
	}
	if got := h.state("job-000002"); got != wire.StatePending {
		t.Errorf("called %q", got)
	}
	noStart := func(when string) {
		t.Helper()
		h.dropCalls()
		_, body := h.heartbeat(heartbeatFrom("vm-1", 1, h.c.machines["vm-1"].view.sequence+1, fencingToken))
		for _, cmd := range starts(body.Commands) {
			if strings.HasPrefix(cmd.Task, "job-000002/") {
				t.Fatalf("started %s", when)
			}
		}
	}
	noStart("while blocked")
	// Its dependency's task is done by a heartbeat; another controller says that the job
	// is; the record does not.
	c.finishJob("job-000001", finalJob{state: wire.StateDone, tasks: 1})
	h.run(100 * ms)
	if !blockedJob.blocked() {
		t.Error("unblocked on another controller's word")
	}
	noStart("on another controller's word")
	h.recordEnd("job-000001", wire.StateDone, 0)
	h.run(3 * sec) // read, since it had left the list of open jobs
	if blockedJob.blocked() || !slices.Contains(c.queue(s), blockedJob) {
		t.Error("still blocked, though its dependency is done on record")
	}
}

// TestWaitingCountsFromLastEnd checks that the time from which a job's waiting counts is the end of
// the last job that it needs, by that one's record: the same at any owner.
func TestWaitingCountsFromLastEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		turn func(h *harness, sub wire.Submission)
	}{
		{"at the owner", func(h *harness, sub wire.Submission) {
			h.record(jobOf("job-000001", 1))
			h.record(jobOf("job-000002", 1))
			h.record(sub)
			h.recordEnd("job-000001", wire.StateDone, 9_000_000)
			h.recordEnd("job-000002", wire.StateDone, 8_000_000)
		}},
		{"learned later, out of order", func(h *harness, sub wire.Submission) {
			h.record(sub)
			h.recordEnd("job-000002", wire.StateDone, 8_000_000)
			h.recordEnd("job-000001", wire.StateDone, 9_000_000)
		}},
		{"learned when all are over", func(h *harness, sub wire.Submission) {
			h.recordEnd("job-000001", wire.StateDone, 9_000_000)
			h.recordEnd("job-000002", wire.StateDone, 8_000_000)
			h.record(sub)
		}},
		{"out of memory", func(h *harness, sub wire.Submission) {
			h.watchBlocked = wire.PrefixJob
			h.run(sec)
			h.c.jobs.finals.limit = 1
			h.recordEnd("job-000001", wire.StateDone, 9_000_000)
			h.recordEnd("job-000002", wire.StateDone, 8_000_000)
			h.submit(sub)
			if j := h.c.jobs.open["job-000009"]; j == nil || !j.blocked() {
				h.t.Error("nothing is unknown: the case is not what it should be")
			}
			h.run(4 * sec)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			tc.turn(h, after("job-000009", 1, "job-000001", "job-000002"))
			j := h.c.jobs.open["job-000009"]
			if j == nil || j.blocked() {
				t.Fatalf("%+v: blocked, or not known", j)
			}
			if j.since() != 9_000_000 {
				t.Errorf("counts from %d, want 9000000", j.since())
			}
		})
	}
}

// chainID is the id of a job of a chain; see recordChain.
func chainID(i int) string { return fmt.Sprintf("job-%06d", 100+i) }

// recordChain stores n jobs as another controller would, each of which needs the one before.
func (h *harness) recordChain(n int) {
	h.t.Helper()
	h.record(jobOf(chainID(0), 1))
	for i := 1; i < n; i++ {
		h.record(after(chainID(i), 1, chainID(i-1)))
	}
}

// chainStates counts the n jobs of a chain by the state that a user is answered.
func (h *harness) chainStates(n int) (states map[wire.JobState]int) {
	h.t.Helper()
	states = map[wire.JobState]int{}
	for i := range n {
		states[h.state(chainID(i))]++
	}
	return states
}

// TestCancellationReachesDependents checks that a cancellation reaches all jobs that need the
// cancelled one, however deep and wide, in whatever order the owner learns of them; one that is
// answered with done reaches none.
func TestCancellationReachesDependents(t *testing.T) {
	const n = 60
	for _, tc := range []struct {
		name string
		play func(h *harness)
	}{
		{"cancelled here", func(h *harness) { h.recordChain(n); h.cancel("job-000100") }},
		{"recorded by another owner", func(h *harness) { h.recordChain(n); h.recordEnd("job-000100", wire.StateCancelled, 0) }},
		{"broadcast by another controller first", func(h *harness) {
			h.recordChain(n)
			h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{Cancelled: []string{"job-000100"}}}})
			h.recordEnd("job-000100", wire.StateCancelled, 0)
		}},
		{"cancelled before its dependents are submitted", func(h *harness) {
			h.recordEnd("job-000100", wire.StateCancelled, 0)
			for i := 1; i < n; i++ {
				if a := h.submit(after(chainID(i), 1, chainID(i-1))); a.Status != 201 {
					t.Fatalf("submission after a cancelled job: %d", a.Status)
				}
			}
		}},
		{"cancelled, then dependents accepted by another controller", func(h *harness) {
			h.recordEnd("job-000100", wire.StateCancelled, 0)
			for i := 1; i < n; i++ {
				h.record(after(chainID(i), 1, chainID(i-1)))
			}
		}},
		{"wide", func(h *harness) {
			h.record(jobOf("job-000100", 1))
			for i := 1; i < n; i++ {
				h.record(after(chainID(i), 1, "job-000100"))
			}
			h.cancel("job-000100")
		}},
		{"learned by a controller that has just started, dependents first", func(h *harness) {
			h.record(after("job-000101", 1, "job-000100"))
			for i := 2; i < n; i++ {
				h.record(after(chainID(i), 1, chainID(i-1)))
			}
			h.recordEnd("job-000100", wire.StateCancelled, 0)
		}},
		{"the state service fails at that moment", func(h *harness) {
			h.recordChain(n)
			h.recordEnd("job-000100", wire.StateCancelled, 0)
			h.stateDown, h.refused = true, true
			h.run(sec)
			for i := 1; i < n; i++ {
				if s := h.state(chainID(i)); s != "" && s != wire.StateCancelled {
					t.Errorf("called %q with a cancelled job before it", s)
				}
			}
			h.run(8 * sec)
			h.stateDown, h.refused = false, false
		}},
		{"the owner changes", func(h *harness) {
			h.recordChain(n)
			h.late = wire.PrefixJob
			h.txn(wire.Txn{Changes: []wire.Change{{Put: wire.JobKey("job-000100"), Value: encoded(t, wire.JobRecord{State: wire.StateCancelled, Tasks: 1})}}})
			h.run(sec)
			h.late = ""
			h.txn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
			h.run(2 * sec)
			if applied := h.carryOut(); applied != 0 {
				t.Errorf("%d writes of the former owner were applied", applied)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			h.reconcile("vm-1")
			tc.play(h)
			h.run(6 * sec)
			if got := h.chainStates(n); got[wire.StateCancelled] != n {
				t.Errorf("states %v, want all %d cancelled", got, n)
			}
			for _, c := range h.commandsOut() {
				if c.Op == wire.OpStart && c.Task != "job-000100/0" {
					t.Errorf("%s is started", c.Task)
				}
			}
		})
	}
	t.Run("answered with done", func(t *testing.T) {
		h := newOwnerHarness(t, withPeer)
		h.recordChain(3)
		h.recordEnd("job-000100", wire.StateDone, 0)
		if a := h.cancel("job-000100"); stateOf(a) != wire.StateDone {
			t.Fatalf("cancellation answered %q", stateOf(a))
		}
		h.run(3 * sec)
		if got := h.chainStates(3); got[wire.StatePending] != 2 {
			t.Errorf("states %v, want two pending", got)
		}
		if h.c.jobs.open["job-000101"].blocked() {
			t.Error("still blocked")
		}
	})
}

func encoded(t *testing.T, rec any) wire.Raw {
	t.Helper()
	value, err := wire.Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestPriorityPropagatesUp checks that priority and deadline of a job apply to all jobs that it
// needs, from when it is submitted until it is over.
func TestPriorityPropagatesUp(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	low := func(id string, dependencies ...string) wire.Submission {
		s := after(id, 1, dependencies...)
		s.Priority = "best_effort"
		return s
	}
	h.record(low("job-000001"))
	h.record(low("job-000002", "job-000001"))
	h.record(low("job-000003", "job-000001"))
	at := func(id string) (int, micros.Micros) {
		j := h.c.jobs.open[id]
		return j.priority, j.deadline
	}
	if p, due := at("job-000001"); p != wire.PriorityLow || due != micros.Never {
		t.Errorf("priority %d, due %v before anything urgent needs it", p, due)
	}
	last := after("job-000004", 1, "job-000002", "job-000003")
	last.Priority = "high"
	last.DeadlineS = new(100.0)
	h.record(last)
	_, due := at("job-000004")
	for i, id := range []string{"job-000003", "job-000001"} {
		p, d := at(id)
		if want := due - micros.Micros(i+1)*10*sec; p != wire.PriorityHigh || d != want {
			t.Errorf("%s: priority %d, due %v, want high and %v", id, p, d, want)
		}
	}
	// More urgent work of its own keeps its own.
	own := after("job-000005", 1, "job-000004")
	own.Priority, own.DeadlineS = "standard", new(500.0)
	h.record(own)
	if p, d := at("job-000004"); p != wire.PriorityHigh || d != due {
		t.Errorf("priority %d, due %v: a laxer dependent changed it", p, d)
	}
	h.cancel("job-000004")
	h.run(2 * sec)
	if p, d := at("job-000001"); p != wire.PriorityLow || d != micros.Never {
		t.Errorf("priority %d, due %v after what needed it is cancelled", p, d)
	}
}

// TestPriorityAcrossTeamsAndOwners checks that priority and deadline reach a job through others of
// any team and any owner, in whatever order they become known, and count from the submission of the
// last job however long it waits; nothing is left of them once that one is over.
func TestPriorityAcrossTeamsAndOwners(t *testing.T) {
	const ids = 4 // job-000004 needs 3, 3 needs 2, 2 needs 1
	for _, tc := range []struct {
		name  string
		order []int
		ends  wire.JobState
	}{
		{"in order, cancelled", []int{1, 2, 3, 4}, wire.StateCancelled},
		{"the last first, cancelled", []int{4, 3, 2, 1}, wire.StateCancelled},
		{"mixed, cancelled", []int{2, 4, 1, 3}, wire.StateCancelled},
		{"the last comes late, ended elsewhere", []int{1, 2, 3, 4}, wire.StateDone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, func(c *Config) {
				withPeer(c)
				c.Shards = 2
				c.Teams = []Team{{Name: "t", CPUs: 8, CPUsMax: 8}, {Name: "other", CPUs: 8, CPUsMax: 8}}
			})
			var acceptedMS int64
			for _, i := range tc.order {
				sub := jobOf(fmt.Sprintf("job-%06d", i), 1)
				sub.Priority = "best_effort"
				if i > 1 {
					sub.DependsOn = []string{fmt.Sprintf("job-%06d", i-1)}
				}
				if i%2 == 0 {
					sub.Team = "other"
				}
				if i == ids {
					sub.Priority, sub.DeadlineS = "high", new(100.0)
					acceptedMS = h.now.Millis()
				}
				h.record(sub)
			}
			h.run(30 * sec)
			due := micros.Micros(acceptedMS)*ms + 100*sec
			for i := ids; i >= 1; i-- {
				j := h.c.jobs.open[fmt.Sprintf("job-%06d", i)]
				if want := due - micros.Micros(ids-i)*10*sec; j.priority != wire.PriorityHigh || j.deadline != want {
					t.Errorf("%s: priority %d, due %v, want high and %v", j.id, j.priority, j.deadline, want)
				}
			}
			h.recordEnd("job-000004", tc.ends, 0)
			h.run(sec)
			for i := 1; i < ids; i++ {
				j := h.c.jobs.open[fmt.Sprintf("job-%06d", i)]
				if j.priority != wire.PriorityLow || j.deadline != micros.Never {
					t.Errorf("%s keeps priority %d, due %v", j.id, j.priority, j.deadline)
				}
			}
		})
	}
}

// TestBlockedIsPendingOnlyWithNewView checks when a blocked job is called pending. After an outage,
// a partition or a start, a controller may not know of a cancellation that a user was answered long
// ago: it calls no blocked job pending before its view is new enough (found by the simulation: a
// controller back from an outage longer than a cancellation may take).
func TestBlockedIsPendingOnlyWithNewView(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(h *harness)
	}{
		{"its watch brings nothing", func(h *harness) {
			h.watchBlocked = wire.PrefixJob
			h.run(11 * sec)
		}},
		{"what its watch brought was long on its way", func(h *harness) {
			h.watchBlocked = wire.PrefixJob
			h.run(7 * sec)
			for i, w := range h.watches {
				if w.Req.(statestore.WatchKeys).Prefix == wire.PrefixJob {
					h.watches = slices.Delete(h.watches, i, i+1)
					h.step(Result{ID: w.ID, Status: 200, Body: &wire.Events{Revision: h.rev}})
					break
				}
			}
			h.run(4 * sec) // 11 s since it was asked for
		}},
		{"it is listing anew", func(h *harness) {
			h.watchBlocked = wire.PrefixJob
			h.c.ownership.jobWatch.ListAgain()
			h.c.ownership.jobWatch.InFlight = true
		}},
		{"the dependency's end is not in memory", func(h *harness) {
			h.c.jobs.unknown["job-000001"] = micros.Never
		}},
		{"an end further up is not in memory", func(h *harness) {
			h.c.jobs.unknown["job-000000"] = micros.Never
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			h.record(jobOf("job-000000", 1))
			h.record(after("job-000001", 1, "job-000000"))
			h.record(after("job-000002", 1, "job-000001"))
			h.record(jobOf("job-000003", 1))
			h.run(sec)
			if s := h.state("job-000002"); s != wire.StatePending {
				t.Fatalf("called %q without faults", s)
			}
			tc.lose(h)
			if a := h.jobStatus("job-000002"); a.Status != 503 {
				t.Errorf("answered %d %q with an old view", a.Status, stateOf(a))
			}
			if b := h.askAs("n-1", "job-000002"); b.Status != 503 {
				t.Errorf("another controller is answered %d %q with an old view", b.Status, b.State)
			}
			if s := h.state("job-000003"); s != wire.StatePending {
				t.Errorf("a job without dependencies is called %q", s)
			}
		})
	}
}

// askAs asks for the state of a job as another controller.
func (h *harness) askAs(label, id string) peer.JobResponse {
	a := h.ask(func(r ReplyID) Input {
		return PeerRequest{Reply: r, Req: peer.Request{From: label, JobRequest: &peer.JobRequest{ID: id}}}
	})
	return *a.Body.(*peer.Response).JobResponse
}
