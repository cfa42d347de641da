package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// dependentSubmission returns a plain submission with dependencies.
func dependentSubmission(id string, tasks int, dependencies ...string) wire.Submission {
	s := newSubmission(id, tasks)
	s.DependsOn = dependencies
	return s
}

// stateOf returns the state of a job in an answer, or "".
func stateOf(a Answer) wire.JobState {
	b, _ := a.Body.(wire.JobAnswer)
	return b.State
}

// record stores the record of an accepted job as another controller would.
func (h *harness) record(s wire.Submission) {
	h.putRecord(wire.JobKey(s.ID), wire.NewJobRecord(&s, h.now.Millis()))
}

// recordEnd stores the final record of a job as another controller would. endMS is a time of day in
// milliseconds.
func (h *harness) recordEnd(id string, state wire.JobState, endMS int64) {
	h.putRecord(wire.JobKey(id), wire.JobRecord{State: state, Tasks: 1, EndMS: endMS})
}

// TestDependenciesAccepted checks that a submission may depend on jobs in any state that any
// controller accepted. A submission that depends on a job that was never accepted, or on itself, is
// answered 422, but only after a read of the record.
func TestDependenciesAccepted(t *testing.T) {
	blockWatch := func(h *harness) {
		h.blockedWatchPrefix = wire.PrefixJob
		h.run(sec)
	}
	for _, tc := range []struct {
		name  string
		setUp func(h *harness)
		deps  []string
		want  int
	}{
		{"open and known", func(h *harness) { h.submit(newSubmission("job-000001", 1)) }, []string{"job-000001"}, 201},
		{"accepted by another controller, not known here", func(h *harness) { blockWatch(h); h.record(newSubmission("job-000001", 1)) }, []string{"job-000001"}, 201},
		{"done and evicted from memory", func(h *harness) { blockWatch(h); h.recordEnd("job-000001", wire.StateDone, 0) }, []string{"job-000001"}, 201},
		{"cancelled", func(h *harness) { h.recordEnd("job-000001", wire.StateCancelled, 0) }, []string{"job-000001"}, 201},
		{"two, one blocked itself", func(h *harness) {
			h.submit(newSubmission("job-000001", 1))
			h.submit(dependentSubmission("job-000002", 1, "job-000001"))
		}, []string{"job-000001", "job-000002"}, 201},
		{"never accepted", nil, []string{"job-000001"}, 422},
		{"one of two never accepted", func(h *harness) { h.submit(newSubmission("job-000001", 1)) }, []string{"job-000001", "job-000002"}, 422},
		{"itself", nil, []string{"job-000009"}, 422},
		{"no read possible", func(h *harness) { h.stateDown, h.stateRefuses = true, true }, []string{"job-000001"}, 503},
		{"too many for a record", func(h *harness) {
			for _, id := range jobIDs(100, 150) {
				h.recordEnd(id, wire.StateDone, 0)
			}
		}, jobIDs(100, 150), 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, func(c *Config) { withPeer(c); c.ValueBytes = 2 << 10 })
			if tc.setUp != nil {
				tc.setUp(h)
			}
			a := h.submit(dependentSubmission("job-000009", 1, tc.deps...))
			if a.Status != tc.want {
				t.Fatalf("answered %d, want %d", a.Status, tc.want)
			}
			if a.Status == 503 && a.RetryAfterS < 1 {
				t.Error("503 without a retry time")
			}
			if a.Status != 201 {
				return
			}
			// A repeated submission is answered with the job's state, whatever its dependencies.
			for _, deps := range [][]string{tc.deps, {"job-000777"}, {"job-000009"}, nil} {
				if a := h.submit(dependentSubmission("job-000009", 1, deps...)); a.Status != 200 && a.Status != 503 {
					t.Errorf("a repeat with dependencies %v is answered %d, want 200 or 503", deps, a.Status)
				}
			}
		})
	}
}

// TestTooManyDependencies checks that a submission with too many dependencies for a record is refused
// whether the dependencies are known or not, and without a read for each of them.
func TestTooManyDependencies(t *testing.T) {
	for _, known := range []bool{true, false} {
		h := newOwnerHarness(t, func(c *Config) { withPeer(c); c.ValueBytes = 2 << 10 })
		for _, id := range jobIDs(100, 150) {
			if known {
				h.putRecord(wire.JobKey(id), wire.JobRecord{State: wire.StateDone, Tasks: 1})
			}
		}
		before := h.keyReads
		if a := h.submit(dependentSubmission("job-000009", 1, jobIDs(100, 5000)...)); a.Status != 400 {
			t.Errorf("known %v: answered %d, want 400", known, a.Status)
		}
		if n := h.keyReads - before; n > 1 {
			t.Errorf("known %v: %d reads, want at most one, of the submitted job", known, n)
		}
		// A repeated submission of an accepted job is answered with the job's state nevertheless.
		h.submit(newSubmission("job-000010", 1))
		if a := h.submit(dependentSubmission("job-000010", 1, jobIDs(100, 5000)...)); a.Status != 200 {
			t.Errorf("a repeat with too many dependencies is answered %d, want 200", a.Status)
		}
	}
}

// jobIDs returns n job ids with consecutive numbers that begin with from.
func jobIDs(from, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("job-%06d", from+i))
	}
	return out
}

// newDiamondHarness returns a harness with a machine and four jobs whose dependencies form a diamond:
// 2 and 3 depend on 1, and 4 depends on 2 and 3.
func newDiamondHarness(t *testing.T) (h *harness, fencingToken uint64) {
	t.Helper()
	h = newOwnerHarness(t, withPeer)
	fencingToken = h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 1))
	h.submit(dependentSubmission("job-000002", 1, "job-000001"))
	h.submit(dependentSubmission("job-000003", 1, "job-000001"))
	h.submit(dependentSubmission("job-000004", 1, "job-000002", "job-000003"))
	h.dropWorkerCalls()
	return h, fencingToken
}

// finishAndStart sends a heartbeat in which the tasks of earlier starts are done, and returns the
// starts in the reply.
func (h *harness) finishAndStart(seq uint64, fencingToken uint64, before []wire.Command) []wire.Command {
	h.dropWorkerCalls()
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, shownDone(before)...))
	return startCommands(body.Commands)
}

// shownDone returns the statuses of started tasks that are done.
func shownDone(cmds []wire.Command) (out []wire.TaskStatus) {
	for _, c := range cmds {
		out = append(out, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone})
	}
	return out
}

// taskNames returns the sorted task names of commands, separated by spaces.
func taskNames(cmds []wire.Command) string {
	var out []string
	for _, c := range cmds {
		out = append(out, c.Task)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// TestDAGRuns checks that the jobs of a DAG run in order, each once the records of all its
// dependencies say that they are done.
func TestDAGRuns(t *testing.T) {
	h, fencingToken := newDiamondHarness(t)
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
			t.Fatalf("tasks %q started, want %q", taskNames(got), want)
		}
		running = got
	}
	for range 5 {
		seq++
		h.finishAndStart(seq, fencingToken, running)
		h.run(sec)
	}
	for _, id := range []string{"job-000001", "job-000004"} {
		if s := h.jobState(id); s != wire.StateDone {
			t.Errorf("%s is in state %q, want done", id, s)
		}
	}
}

// TestBlockedJob checks that a blocked job is pending and does not count against its team's limit,
// guarantee or demand, and that only the record of its dependency unblocks it.
func TestBlockedJob(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) { withPeer(c); c.Teams = []Team{{Name: "t", CPUs: 3, CPUsMax: 4}} })
	fencingToken := h.reconcileMachine("vm-1")
	other := newSubmission("job-000001", 1)
	h.record(other)
	h.submit(dependentSubmission("job-000002", 2, "job-000001"))
	h.submit(newSubmission("job-000003", 2))
	c := h.c
	s := c.ownership.shards[0]
	blockedJob, free := c.jobs.open["job-000002"], c.jobs.open["job-000003"]
	if !blockedJob.blocked() || slices.Contains(c.queue(s), blockedJob) {
		t.Error("a blocked job is in the queue")
	}
	if !free.withinGuarantee {
		t.Error("a blocked job takes part of its team's guarantee")
	}
	if d, _ := c.demandOf(s, maxTotalRowBytes); fleet.WaitingCPUs(&d)+d.BusyCPUs > 3+scheduling.Tolerance {
		t.Errorf("the demand is %v CPUs: it includes a blocked job", fleet.WaitingCPUs(&d)+d.BusyCPUs)
	}
	if got := h.jobState("job-000002"); got != wire.StatePending {
		t.Errorf("the blocked job is in state %q, want pending", got)
	}
	noStart := func(when string) {
		t.Helper()
		h.dropWorkerCalls()
		_, body := h.heartbeat(heartbeatFrom("vm-1", 1, h.c.machines["vm-1"].view.sequence+1, fencingToken))
		for _, cmd := range startCommands(body.Commands) {
			if strings.HasPrefix(cmd.Task, "job-000002/") {
				t.Fatalf("the blocked job was started %s", when)
			}
		}
	}
	noStart("while blocked")
	// Another controller says that the dependency is done, but its record does not say so.
	c.finishJob("job-000001", finalJob{state: wire.StateDone, tasks: 1})
	h.run(100 * ms)
	if !blockedJob.blocked() {
		t.Error("unblocked by another controller's message")
	}
	noStart("after another controller's message")
	h.recordEnd("job-000001", wire.StateDone, 0)
	h.run(3 * sec) // the record is read, since the dependency is no longer an open job
	if blockedJob.blocked() || !slices.Contains(c.queue(s), blockedJob) {
		t.Error("still blocked although the record of the dependency says done")
	}
}

// TestWaitingCountsFromLastEnd checks that a job's waiting time counts from the recorded end of its
// last dependency, so that it is the same for every owner.
func TestWaitingCountsFromLastEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  func(h *harness, sub wire.Submission)
	}{
		{"at the owner", func(h *harness, sub wire.Submission) {
			h.record(newSubmission("job-000001", 1))
			h.record(newSubmission("job-000002", 1))
			h.record(sub)
			h.recordEnd("job-000001", wire.StateDone, 9_000_000)
			h.recordEnd("job-000002", wire.StateDone, 8_000_000)
		}},
		{"learned later, out of order", func(h *harness, sub wire.Submission) {
			h.record(sub)
			h.recordEnd("job-000002", wire.StateDone, 8_000_000)
			h.recordEnd("job-000001", wire.StateDone, 9_000_000)
		}},
		{"learned after all have ended", func(h *harness, sub wire.Submission) {
			h.recordEnd("job-000001", wire.StateDone, 9_000_000)
			h.recordEnd("job-000002", wire.StateDone, 8_000_000)
			h.record(sub)
		}},
		{"evicted from memory", func(h *harness, sub wire.Submission) {
			h.blockedWatchPrefix = wire.PrefixJob
			h.run(sec)
			h.c.jobs.finals.limit = 1
			h.recordEnd("job-000001", wire.StateDone, 9_000_000)
			h.recordEnd("job-000002", wire.StateDone, 8_000_000)
			h.submit(sub)
			if j := h.c.jobs.open["job-000009"]; j == nil || !j.blocked() {
				h.t.Error("no dependency is unknown: the test does not exercise its case")
			}
			h.run(4 * sec)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			tc.act(h, dependentSubmission("job-000009", 1, "job-000001", "job-000002"))
			j := h.c.jobs.open["job-000009"]
			if j == nil || j.blocked() {
				t.Fatalf("job %+v is blocked or not known", j)
			}
			if j.waitingSinceMS() != 9_000_000 {
				t.Errorf("the waiting time counts from %d, want 9000000", j.waitingSinceMS())
			}
		})
	}
}

// chainID returns the id of job i of a chain; see recordChain.
func chainID(i int) string { return fmt.Sprintf("job-%06d", 100+i) }

// recordChain stores n jobs as another controller would. Each depends on the one before it.
func (h *harness) recordChain(n int) {
	h.t.Helper()
	h.record(newSubmission(chainID(0), 1))
	for i := 1; i < n; i++ {
		h.record(dependentSubmission(chainID(i), 1, chainID(i-1)))
	}
}

// chainStates counts the n jobs of a chain by the state that users get as an answer.
func (h *harness) chainStates(n int) (states map[wire.JobState]int) {
	h.t.Helper()
	states = map[wire.JobState]int{}
	for i := range n {
		states[h.jobState(chainID(i))]++
	}
	return states
}

// TestCancellationReachesDependents checks that a cancellation extends to all direct and transitive
// dependents of a job, however long the chain and however many they are, and in whatever order the
// owner learns of them. A cancellation that is answered with done extends to none.
func TestCancellationReachesDependents(t *testing.T) {
	const n = 60
	for _, tc := range []struct {
		name string
		act  func(h *harness)
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
				if a := h.submit(dependentSubmission(chainID(i), 1, chainID(i-1))); a.Status != 201 {
					h.t.Fatalf("the submission of a dependent of a cancelled job is answered %d, want 201", a.Status)
				}
			}
		}},
		{"cancelled, then dependents accepted by another controller", func(h *harness) {
			h.recordEnd("job-000100", wire.StateCancelled, 0)
			for i := 1; i < n; i++ {
				h.record(dependentSubmission(chainID(i), 1, chainID(i-1)))
			}
		}},
		{"wide", func(h *harness) {
			h.record(newSubmission("job-000100", 1))
			for i := 1; i < n; i++ {
				h.record(dependentSubmission(chainID(i), 1, "job-000100"))
			}
			h.cancel("job-000100")
		}},
		{"learned by a controller that has just started, dependents first", func(h *harness) {
			h.record(dependentSubmission("job-000101", 1, "job-000100"))
			for i := 2; i < n; i++ {
				h.record(dependentSubmission(chainID(i), 1, chainID(i-1)))
			}
			h.recordEnd("job-000100", wire.StateCancelled, 0)
		}},
		{"the state service fails at that moment", func(h *harness) {
			h.recordChain(n)
			h.recordEnd("job-000100", wire.StateCancelled, 0)
			h.stateDown, h.stateRefuses = true, true
			h.run(sec)
			for i := 1; i < n; i++ {
				if s := h.jobState(chainID(i)); s != "" && s != wire.StateCancelled {
					h.t.Errorf("a dependent of a cancelled job is in state %q, want cancelled or no answer", s)
				}
			}
			h.run(8 * sec)
			h.stateDown, h.stateRefuses = false, false
		}},
		{"the owner changes", func(h *harness) {
			h.recordChain(n)
			h.delayPrefix = wire.PrefixJob
			h.applyTxn(wire.Txn{Changes: []wire.Change{{Put: wire.JobKey("job-000100"), Value: encoded(h.t, wire.JobRecord{State: wire.StateCancelled, Tasks: 1})}}})
			h.run(sec)
			h.delayPrefix = ""
			h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
			h.run(2 * sec)
			if applied := h.applyDelayedTxns(); applied != 0 {
				h.t.Errorf("%d writes of the former owner were applied, want none", applied)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			h.reconcileMachine("vm-1")
			tc.act(h)
			h.run(6 * sec)
			if got := h.chainStates(n); got[wire.StateCancelled] != n {
				t.Errorf("states %v, want all %d cancelled", got, n)
			}
			for _, c := range h.openCommands() {
				if c.Op == wire.OpStart && c.Task != "job-000100/0" {
					t.Errorf("task %s of a dependent is started", c.Task)
				}
			}
		})
	}
	t.Run("answered with done", func(t *testing.T) {
		h := newOwnerHarness(t, withPeer)
		h.recordChain(3)
		h.recordEnd("job-000100", wire.StateDone, 0)
		if a := h.cancel("job-000100"); stateOf(a) != wire.StateDone {
			t.Fatalf("cancellation answered %q, want done", stateOf(a))
		}
		h.run(3 * sec)
		if got := h.chainStates(3); got[wire.StatePending] != 2 {
			t.Errorf("states %v, want two pending", got)
		}
		if h.c.jobs.open["job-000101"].blocked() {
			t.Error("the dependent is still blocked")
		}
	})
}

// encoded returns the encoding of a record.
func encoded(t *testing.T, rec any) wire.Raw {
	t.Helper()
	value, err := wire.Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestBlockedIsPendingOnlyWithNewView checks that a blocked job is answered as pending only while the
// view of jobs is recent. After an outage, a partition or a start, a controller may not know of a
// cancellation of which a user was notified long ago. The simulation found this fault: a controller
// came back from an outage longer than the time allowed for a cancellation.
func TestBlockedIsPendingOnlyWithNewView(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(h *harness)
	}{
		{"the watch delivers nothing", func(h *harness) {
			h.blockedWatchPrefix = wire.PrefixJob
			h.run(11 * sec)
		}},
		{"the answer to the watch took long", func(h *harness) {
			h.blockedWatchPrefix = wire.PrefixJob
			h.run(7 * sec)
			for i, w := range h.watches {
				if w.Req.(statestore.WatchKeys).Prefix == wire.PrefixJob {
					h.watches = slices.Delete(h.watches, i, i+1)
					h.step(Result{ID: w.ID, Status: 200, Body: &wire.Events{Revision: h.revision}})
					break
				}
			}
			h.run(4 * sec) // 11 s after the watch request was sent
		}},
		{"the jobs are being listed again", func(h *harness) {
			h.blockedWatchPrefix = wire.PrefixJob
			h.c.ownership.jobWatch.Relist()
			h.c.ownership.jobWatch.InFlight = true
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			h.record(newSubmission("job-000000", 1))
			h.record(dependentSubmission("job-000001", 1, "job-000000"))
			h.record(dependentSubmission("job-000002", 1, "job-000001"))
			h.record(newSubmission("job-000003", 1))
			h.run(sec)
			if s := h.jobState("job-000002"); s != wire.StatePending {
				t.Fatalf("the blocked job is in state %q without faults, want pending", s)
			}
			tc.lose(h)
			if a := h.jobStatus("job-000002"); a.Status != 503 {
				t.Errorf("a user is answered %d %q with a stale view, want 503", a.Status, stateOf(a))
			}
			if b := h.askAs("n-1", "job-000002"); b.Status != 503 {
				t.Errorf("another controller is answered %d %q with a stale view, want 503", b.Status, b.State)
			}
			if s := h.jobState("job-000003"); s != wire.StatePending {
				t.Errorf("a job without dependencies is in state %q, want pending", s)
			}
		})
	}
}

// TestBlockedIsPendingOnlyIfDependenciesKnown checks that a blocked job is answered as pending only
// while this node knows the states of all its direct and transitive dependencies, and again once it
// has learned them.
func TestBlockedIsPendingOnlyIfDependenciesKnown(t *testing.T) {
	for _, tc := range []struct{ name, asked string }{
		{"the dependency's end is not in memory", "job-000001"},
		{"the end of a transitive dependency is not in memory", "job-000002"},
		{"the end of a dependency's transitive dependency is not in memory", "job-000003"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			h.unreadablePrefix = wire.PrefixJob
			h.record(dependentSubmission("job-000003", 1, "job-000002"))
			h.record(dependentSubmission("job-000001", 1, "job-000000")) // job-000000 was evicted
			h.record(dependentSubmission("job-000002", 1, "job-000001"))
			h.record(newSubmission("job-000004", 1))
			h.run(sec)
			if a := h.jobStatus(tc.asked); a.Status != 503 {
				t.Errorf("a user is answered %d %q, want 503", a.Status, stateOf(a))
			}
			if b := h.askAs("n-1", tc.asked); b.Status != 503 {
				t.Errorf("another controller is answered %d %q, want 503", b.Status, b.State)
			}
			if s := h.jobState("job-000004"); s != wire.StatePending {
				t.Errorf("a job without dependencies is in state %q, want pending", s)
			}
			h.unreadablePrefix = ""
			h.recordEnd("job-000000", wire.StateDone, 0)
			h.run(sec)
			if s := h.jobState(tc.asked); s != wire.StatePending {
				t.Errorf("once the end is known, the job is in state %q, want pending", s)
			}
		})
	}
}

// askAs requests the state of a job as another controller would.
func (h *harness) askAs(label, id string) peer.JobResponse {
	a := h.request(func(r ReplyID) Input {
		return PeerRequest{Reply: r, Req: peer.Request{From: label, JobRequest: &peer.JobRequest{ID: id}}}
	})
	return *a.Body.(*peer.Response).JobResponse
}
