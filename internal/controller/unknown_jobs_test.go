package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/wire"
)

// These tests guard against an incident with tasks of jobs that are not in the job table
// (docs/incidents/2026-12-unknown-job-was-fed.md).
//
// A cancelled task kept running under an owner with a current view of jobs. The job's end had been
// evicted from memory before the machine sent its first heartbeat after a claim. The owner did
// nothing until it had read the job's record. It made one read at a time, 5 s after the task had
// been listed, and began reads only on a heartbeat. Where reads were refused, each heartbeat was
// answered without a stop, which renewed the machine's lease; in TestUnknownJobUnreadable for 40 s
// and more. The simulation violated ran_cancelled or "renewed" in the same way when only the ends of
// four jobs were kept.

// TestEndedTaskIsStoppedWithoutRead checks that after a claim with a current view of jobs, a task
// whose job has ended and was evicted from memory is stopped as soon as a machine lists it, without a
// read.
func TestEndedTaskIsStoppedWithoutRead(t *testing.T) {
	fewEndsInMemory := func(c *Config) {
		withPeer(c)
		c.MaxFinalJobs, c.CancelWithin, c.MaxMachines = 1, 40*sec, 400
	}
	end := func(h *harness, id string) {
		h.putRecord(wire.JobKey(id), wire.JobRecord{State: wire.StateCancelled, Tasks: 1})
	}
	reclaim := func(h *harness) {
		h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
		h.run(2 * sec)
	}
	lists := func(machine string, seq, fencingToken uint64, job string, attempt uint64) wire.Heartbeat {
		return heartbeatFrom(machine, 1, seq, fencingToken, wire.TaskStatus{Task: job + "/0", Attempt: attempt, State: wire.TaskRunning})
	}

	t.Run("with the first reply after the claim", func(t *testing.T) {
		h := newOwnerHarness(t, fewEndsInMemory)
		fencingToken, attempt := h.runOneTask()
		end(h, "job-000001")
		end(h, "job-000002")
		h.unreadablePrefix = wire.PrefixJob
		reclaim(h)
		if status, body := h.heartbeat(h.runningHeartbeat(20, fencingToken, attempt)); status == 200 && countImmediateStops(body.Commands) != 1 {
			t.Errorf("answered 200 with %v, want the task stopped", body.Commands)
		}
	})

	t.Run("hundreds of machines", func(t *testing.T) {
		const machines = 300
		h := newOwnerHarness(t, fewEndsInMemory)
		for i := range machines {
			h.cloudMachines = append(h.cloudMachines, wire.ListedMachine{ID: machineName(i), Addr: machineName(i), Type: "m", Zone: "a", State: wire.MachineRunning, AgeS: 1})
		}
		h.c.fleet.nextListAt, h.c.fleet.nextPlanAt = h.now, h.now+400*ms
		h.run(2 * sec)
		old := h.c.ownership.shards[0].ownerEpoch
		for i := range machines {
			end(h, fmt.Sprintf("job-%06d", i))
		}
		h.unreadablePrefix = wire.PrefixJob
		reclaim(h)
		fencingToken := h.c.ownership.shards[0].ownerEpoch
		for i := range machines {
			if status, body := h.heartbeat(lists(machineName(i), 5, fencingToken, fmt.Sprintf("job-%06d", i), old<<32|uint64(i))); status != 200 || countImmediateStops(body.Commands) != 1 {
				t.Fatalf("machine %d of %d: answered %d with %v, want the task stopped", i, machines, status, body.Commands)
			}
		}
	})

	t.Run("started by another shard's owner, under a later claim", func(t *testing.T) {
		h := newOwnerHarness(t, fewEndsInMemory)
		fencingToken, _ := h.runOneTask()
		end(h, "job-000007")
		end(h, "job-000008")
		h.unreadablePrefix = wire.PrefixJob
		later := uint64(1000)
		h.heartbeat(lists("vm-1", 20, fencingToken, "job-000007", later<<32|1))
		// The view of jobs advances.
		h.putRecord(wire.JobKey("job-000009"), wire.JobRecord{State: wire.StateDone, Tasks: 1})
		h.run(sec)
		if status, body := h.heartbeat(lists("vm-1", 21, fencingToken, "job-000007", later<<32|1)); status == 200 && countImmediateStops(body.Commands) != 1 {
			t.Errorf("answered 200 with %v, want the task stopped", body.Commands)
		}
	})
}

// TestUnknownJobWithStaleView checks how an owner with a stale view of jobs treats a machine that
// lists a task of an unknown job. If the task was started under a claim that the view includes, the
// job may have ended long ago, and the owner can't tell when its user was notified: the machine's
// lease is not renewed. The task is not stopped either, since its job may just have been accepted. If
// the task was started under a later claim, the job had not ended when the view was complete, and
// the lease is renewed.
func TestUnknownJobWithStaleView(t *testing.T) {
	for _, tc := range []struct {
		name     string
		later    bool // whether the task was started under a claim that the view does not include
		answered bool
	}{{"started before the view", false, false}, {"started after the view", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, func(c *Config) {
				withPeer(c)
				c.MaxFinalJobs, c.CancelWithin = 1, 40*sec
			})
			fencingToken, _ := h.runOneTask()
			before := h.c.ownership.shards[0].ownerEpoch
			h.blockedWatchPrefix, h.unlistablePrefix, h.unreadablePrefix = wire.PrefixJob, wire.PrefixJob, wire.PrefixJob
			claim := h.putRecord(ownerKey(0), wire.OwnerRecord{Label: "n-1", Incarnation: 99})
			if !tc.later {
				claim = before
			}
			h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
			h.run(2 * sec)
			s := h.c.ownership.shards[0]
			if !s.owned() || s.jobsViewCurrent {
				t.Fatal("this node is not an owner with a stale view: the test does not exercise its case")
			}
			for seq := uint64(20); seq < 23; seq++ {
				status, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, wire.TaskStatus{Task: "job-000007/0", Attempt: claim<<32 | 1, State: wire.TaskRunning}))
				if (status == 200) != tc.answered || countImmediateStops(body.Commands) > 0 {
					t.Errorf("heartbeat %d: answered %d with %v, want 200: %v, and no stop", seq, status, body.Commands, tc.answered)
				}
				fencingToken = max(fencingToken, body.FencingToken)
				h.run(sec)
			}
		})
	}
}

// TestUnknownJobIsNotStopped checks that a task of an accepted job is not stopped because this node
// does not know the job yet or can't use its record.
func TestUnknownJobIsNotStopped(t *testing.T) {
	for _, tc := range []struct {
		name   string
		later  bool // whether the task was started under a claim that the view does not include
		record func(h *harness)
	}{
		{"accepted while the watch hangs", true, func(h *harness) {
			h.blockedWatchPrefix = wire.PrefixJob
			h.putRecord(wire.JobKey("job-000007"), wire.NewJobRecord(new(newSubmission("job-000007", 1)), 1))
		}},
		{"of a team that the settings do not know", false, func(h *harness) {
			sub := newSubmission("job-000007", 1)
			sub.Team = "another"
			h.putRecord(wire.JobKey("job-000007"), wire.NewJobRecord(&sub, 1))
		}},
		{"its record is not readable", false, func(h *harness) { h.putRecord(wire.JobKey("job-000007"), "nonsense") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			fencingToken := h.reconcileMachine("vm-1")
			tc.record(h)
			attempt := h.c.ownership.shards[0].ownerEpoch<<32 | 1
			if tc.later {
				attempt = (h.revision+1)<<32 | 1
			}
			for seq := uint64(20); seq < 24; seq++ {
				if _, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, wire.TaskStatus{Task: "job-000007/0", Attempt: attempt, State: wire.TaskRunning})); countImmediateStops(body.Commands) > 0 {
					t.Errorf("heartbeat %d: %v stops the task", seq, body.Commands)
				}
				h.run(sec)
			}
		})
	}
}

// TestUnknownJobIsRenewedForBoundedTime checks that the lease of a machine with a task of an unknown
// job is renewed for a bounded time only. A view of jobs that does not advance becomes so old that
// the job may have ended and its user may have been notified in the meantime.
func TestUnknownJobIsRenewedForBoundedTime(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	fencingToken := h.reconcileMachine("vm-1")
	h.blockedWatchPrefix = wire.PrefixJob
	heartbeat := func(seq uint64) int {
		status, _ := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, wire.TaskStatus{Task: "job-000007/0", Attempt: (h.revision+1)<<32 | 1, State: wire.TaskRunning}))
		return status
	}
	if got := heartbeat(20); got != 200 {
		t.Errorf("the first heartbeat is answered %d, want 200", got)
	}
	h.run(h.c.ownership.jobWatch.CompleteAsOf + h.c.bounds.StaleViewGrace - h.now)
	if got := heartbeat(21); got == 200 {
		t.Error("the machine's lease is renewed beyond the bound")
	}
	h.run(11 * sec) // refused heartbeats are logged only after this time
	if got := h.logged("heartbeats refused", "unknown_job"); len(got) == 0 {
		t.Error("the log does not say why the heartbeat was refused")
	}
}

// TestLateReadOfEndedJob checks that a late read does not reopen an ended job: the read was executed
// before the job ended, and its answer arrives after the end was evicted from memory. The job's tasks
// would be started again. The fault was found by reading the code.
func TestLateReadOfEndedJob(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.MaxFinalJobs = 1
	})
	h.putRecord(wire.JobKey("job-000001"), wire.NewJobRecord(new(newSubmission("job-000001", 1)), 1))
	recorded := h.keys[wire.JobKey("job-000001")]
	h.c.jobs.open["job-000001"].run.end.inDoubt = true // causes a status request to be answered by a read
	h.stateDown = true
	h.jobStatus("job-000001")
	held := h.unansweredStateCalls
	h.unansweredStateCalls, h.stateDown = nil, false
	h.putRecord(wire.JobKey("job-000001"), wire.JobRecord{State: wire.StateCancelled, Tasks: 1})
	h.putRecord(wire.JobKey("job-000002"), wire.JobRecord{State: wire.StateDone, Tasks: 1})
	if h.c.jobs.contains("job-000001") {
		t.Fatal("the job's end is still in memory: the test does not exercise its case")
	}
	reads := 0
	for _, c := range held {
		if get, ok := c.Req.(statestore.GetKey); ok && get.Key == recorded.Key {
			reads++
			h.answerCall(c, 200, &recorded)
		} else {
			h.handleCall(c)
		}
	}
	if reads != 1 || h.c.jobs.open["job-000001"] != nil {
		t.Errorf("%d reads were answered, and the job is open: %v; want one read and no open job", reads, h.c.jobs.open["job-000001"] != nil)
	}
	if got := h.answers[h.lastReply].Status; got != 503 {
		t.Errorf("answered %d, want 503: the record that was read is no longer current", got)
	}
}

// TestTaskOfUnknownJob checks that a task is stopped if its job's end was evicted from memory, or if
// no such job was ever submitted.
func TestTaskOfUnknownJob(t *testing.T) {
	for _, tc := range []struct {
		name string
		rec  *wire.JobRecord
	}{
		{"cancelled long ago", &wire.JobRecord{State: wire.StateCancelled, Tasks: 1}},
		{"never submitted", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			fencingToken := h.reconcileMachine("vm-1")
			h.blockedWatchPrefix = wire.PrefixJob
			if tc.rec != nil {
				h.putRecord(wire.JobKey("job-000009"), tc.rec)
			}
			stopped := 0
			for seq := uint64(20); seq < 28; seq++ {
				_, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, wire.TaskStatus{Task: "job-000009/0", Attempt: 5, State: wire.TaskRunning}))
				stopped += countImmediateStops(body.Commands)
				h.run(sec)
			}
			if stopped == 0 {
				t.Error("the task was never stopped")
			}
		})
	}
}
