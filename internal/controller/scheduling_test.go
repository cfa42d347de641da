package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestChurn submits four one-task jobs a second and cancels a quarter of them. Ends and
// cancellations must keep up within this node's share of the state service's budget, a job that
// ends before its first checkpoint must write none, and the number of open jobs must stay bounded.
func TestChurn(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		c.WriteRPS, c.StateRPS = 25, 150
		c.Peers = nil
	})
	h.reconcileMachine("vm-1")
	fencingToken := h.c.fencingToken(h.c.ownership.shards[0], h.c.machines["vm-1"])
	sequence, n := uint64(100), 0
	var statuses []wire.TaskStatus
	slowest := micros.Micros(0)
	type cancellation struct {
		id    string
		reply ReplyID
		at    micros.Micros
	}
	var cancellations []cancellation
	for range 240 { // a minute
		n++
		id := fmt.Sprintf("job-%06d", n)
		h.submit(newSubmission(id, 1))
		if n%4 == 0 {
			h.cancel(id)
			cancellations = append(cancellations, cancellation{id, h.lastReply, h.now})
		}
		h.dropWorkerCalls()
		sequence++
		_, body := h.heartbeat(heartbeatFrom("vm-1", 1, sequence, fencingToken, statuses...))
		var remaining []wire.TaskStatus
		for _, status := range statuses {
			gone := false
			for _, c := range body.Commands {
				gone = gone || c.Op == wire.OpForget && c.Task == status.Task
				if c.Op == wire.OpStop && c.Task == status.Task {
					status.State, status.ExitReason = wire.TaskExited, wire.ExitStopped
				}
			}
			if status.State == wire.TaskRunning {
				status.State, status.ExitReason = wire.TaskExited, wire.ExitDone
			}
			if !gone {
				remaining = append(remaining, status)
			}
		}
		statuses = remaining
		for _, c := range startCommands(body.Commands) {
			statuses = append(statuses, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
		}
		h.run(190 * ms)
		for _, request := range cancellations {
			if a := h.answers[request.reply]; a.Status != 200 {
				slowest = max(slowest, h.now-request.at)
			}
		}
	}
	if slowest > sec {
		t.Errorf("a cancellation was unanswered for %v s, want at most 1 s", slowest.Seconds())
	}
	if left := len(h.c.jobs.open); left > 12 {
		t.Errorf("%d jobs are open at the end, want at most 12", left)
	}
	checkpoints := 0
	for _, tx := range h.appliedTxns {
		for _, ch := range tx.Changes {
			if len(ch.Put) > 8 && ch.Put[:8] == wire.PrefixCheckpoint {
				checkpoints++
			}
		}
	}
	if checkpoints > 0 {
		t.Errorf("%d checkpoints were written for jobs that ended with their only task, want none", checkpoints)
	}
}

// TestRoundsAreSpaced checks that rounds and walks over all state are spaced out where steps take
// long, and that leases are renewed all the same.
func TestRoundsAreSpaced(t *testing.T) {
	for _, tc := range []struct {
		took         micros.Micros
		fewest, most int // rounds in 20 s
		walksAtLeast int
	}{
		{0, 250, 400, 40},
		{10 * ms, 150, 400, 40},
		{250 * ms, 10, 20, 10},
		{30 * sec, 8, 12, 8},
	} {
		h := newHarness(t, nil)
		rounds, walks := 0, 0
		for end := h.now + 20*sec; h.now < end; {
			h.now += 20 * ms
			h.c.schedulingDue = true
			for _, e := range h.c.Step(Instant{Monotonic: h.now, Wall: h.now, PreviousStepDuration: tc.took}, Tick{}) {
				if call, ok := e.(Call); ok {
					h.handleCall(call)
				}
			}
			if h.c.scheduling.scheduledLastStep {
				rounds++
			}
			if h.c.maintenance.walkedLastStep {
				walks++
			}
			if h.now-h.c.ownership.lease.RenewedAt() > h.c.cfg.Lease/2 {
				t.Fatalf("steps of %v s: the lease was not renewed in time", tc.took.Seconds())
			}
		}
		if rounds < tc.fewest || rounds > tc.most || walks < tc.walksAtLeast {
			t.Errorf("steps of %v s: %d rounds and %d walks in 20 s, want %d to %d", tc.took.Seconds(), rounds, walks, tc.fewest, tc.most)
		}
	}
}
