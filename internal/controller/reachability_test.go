package controller

import (
	"testing"

	"garnethitch/internal/controller/reachability"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestHeartbeatsFromUnreachableMachine checks that a machine whose heartbeats arrive while replies
// and commands don't reach it gets no more tasks and no more replies. Its tasks are started
// elsewhere only once its lease has provably ended: otherwise they would run twice.
func TestHeartbeatsFromUnreachableMachine(t *testing.T) {
	for _, tc := range []struct {
		name          string
		newAgentEpoch bool
	}{
		{"until the bound since the last reply", false},
		{"until a new agent epoch shows", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.SilentReturn = 0 })
			fencingToken := h.reconcileMachine("vm-1")
			a := h.startOneTask(fencingToken)
			running := wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskRunning}
			h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, running))
			h.submit(newSubmission("job-000002", 8)) // three tasks fit in addition to the first
			h.dropWorkerCalls()
			seq, last := uint64(11), h.now
			statuses := map[int]int{}
			for range 8 {
				h.run(sec / 2)
				h.dropWorkerCalls()
				seq++
				// The heartbeats never list the started tasks.
				status, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, running))
				statuses[status]++
				if status == 200 {
					last = h.now
				} else if len(body.Commands) > 0 {
					t.Errorf("commands with %d", status)
				}
			}
			if statuses[200] != reachability.MaxUnconfirmedReplies || statuses[503] != 8-reachability.MaxUnconfirmedReplies {
				t.Fatalf("answers by status %v, want %d of 200 and then 503 only", statuses, reachability.MaxUnconfirmedReplies)
			}
			other := h.reconcileMachine("vm-2")
			h.submit(newSubmission("job-000003", 8)) // keeps vm-2 busy, so that it is not returned
			bound := last + h.c.bounds.WorkerExpiry
			if tc.newAgentEpoch {
				bound = h.now
				h.heartbeat(heartbeatFrom("vm-1", 2, seq+1, fencingToken))
				if h.c.unreachable(h.c.machines["vm-1"]) {
					t.Error("machine still unreachable in a new agent epoch")
				}
			}
			for s := uint64(20); h.now < bound+5*sec; s++ {
				h.run(sec / 4)
				h.dropWorkerCalls()
				_, body := h.heartbeat(heartbeatFrom("vm-2", 1, s, other))
				for _, c := range startCommands(body.Commands) {
					if c.Task != running.Task {
						continue
					}
					if h.now < bound {
						t.Fatalf("task restarted only %v s after the last 200", (h.now - last).Seconds())
					}
					return
				}
			}
			t.Error("task never restarted")
		})
	}
}

// TestHeartbeatTimeout checks that the heartbeat deadlines are derived from the settings, so that no
// machine is returned because of one lost heartbeat, not even where heartbeats come 10 s apart.
func TestHeartbeatTimeout(t *testing.T) {
	for _, tc := range []struct {
		name            string
		interval, lease micros.Micros
		given           micros.Micros
		want            micros.Micros
	}{
		{"small settings", 3 * sec, 19 * sec, -1, 13250 * ms},
		{"grown settings", 10 * sec, 45 * sec, -1, 22 * sec},
		{"slow heartbeats", 30 * sec, 120 * sec, -1, 47 * sec},
		{"set by the operators", 10 * sec, 45 * sec, 30 * sec, 30 * sec},
	} {
		c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, HeartbeatInterval: tc.interval, WorkerLease: tc.lease, SilentReturn: tc.given, StateRPS: 10, WriteRPS: 10, CloudRPS: 10}, 1)
		if got := c.heartbeatDeadlines.Return; got != tc.want {
			t.Errorf("%s: returned after %v s, want %v s", tc.name, got.Seconds(), tc.want.Seconds())
		}
		longest := tc.interval * 5 / 4
		if c.heartbeatDeadlines.Overdue <= longest {
			t.Errorf("%s: overdue after %v s, but heartbeats may come %v s apart", tc.name, c.heartbeatDeadlines.Overdue.Seconds(), longest.Seconds())
		}
		// A machine waits 4 s for a reply and tries the next controller 1 s later.
		if lost := longest + 5*sec; c.heartbeatDeadlines.Return <= lost {
			t.Errorf("%s: returned because of one lost heartbeat", tc.name)
		}
		if c.heartbeatDeadlines.Return >= tc.lease {
			t.Errorf("%s: the lease runs out before the machine is returned", tc.name)
		}
	}
}
