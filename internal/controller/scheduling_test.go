package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestChurn has one-task jobs come four a second, a quarter of them cancelled: ends and
// cancellations keep up within this node's part of the budget, a job that ends before its first
// checkpoint never writes one, and nothing grows.
func TestChurn(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		c.WriteRPS, c.StateRPS = 25, 150
		c.Peers = nil
	})
	h.reconcileMachine("vm-1")
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
		h.submit(newSubmission(id, 1))
		if n%4 == 0 {
			h.cancel(id)
			waits = append(waits, open{id, h.lastReply, h.now})
		}
		h.dropWorkerCalls()
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
		for _, c := range startCommands(body.Commands) {
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
	checkpoints := 0
	for _, tx := range h.appliedTxns {
		for _, ch := range tx.Changes {
			if len(ch.Put) > 8 && ch.Put[:8] == wire.PrefixCheckpoint {
				checkpoints++
			}
		}
	}
	if checkpoints > 0 {
		t.Errorf("%d checkpoints of jobs that ended with their only task", checkpoints)
	}
}

// TestRoundsAreSpaced checks that where steps take long, rounds and walks over everything are
// spaced, and leases are renewed all the same.
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
			for _, e := range h.c.Step(Instant{Steady: h.now, Wall: h.now, PreviousStepDuration: tc.took}, Tick{}) {
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
				t.Fatalf("steps of %v s: the lease was not renewed", tc.took.Seconds())
			}
		}
		if rounds < tc.fewest || rounds > tc.most || walks < tc.walksAtLeast {
			t.Errorf("steps of %v s: %d rounds and %d walks in 20 s, want %d to %d", tc.took.Seconds(), rounds, walks, tc.fewest, tc.most)
		}
	}
}
