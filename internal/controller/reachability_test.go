package controller

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// A machine whose heartbeats arrive while answers and commands don't reach it gets
// no more tasks and no more answers. What it holds counts until its lease has
// provably ended.
func TestHeartbeatsFromUnreachableMachine(t *testing.T) {
	for _, tc := range []struct {
		name    string
		session bool // it reports a new session
	}{{"until the bound since the last answer", false}, {"until a new session shows", true}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.SilentReturn = 0 })
			fencingToken := h.reconcile("vm-1")
			a := h.startOne(fencingToken)
			running := wire.TaskStatus{Task: "job-000001/0", Attempt: a, State: wire.TaskRunning}
			h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, running))
			h.submit(jobOf("job-000002", 8)) // three find room beside the first
			h.dropCalls()
			seq, last := uint64(11), h.now
			statuses := map[int]int{}
			for range 8 {
				h.run(sec / 2)
				h.dropCalls()
				seq++
				status, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, running)) // never shows the starts
				statuses[status]++
				if status == 200 {
					last = h.now
				} else if len(body.Commands) > 0 {
					t.Errorf("commands with %d", status)
				}
			}
			if statuses[200] != maxUnconfirmedReplies || statuses[503] != 8-maxUnconfirmedReplies {
				t.Fatalf("answers %v, want %d of 200 and then 503 only", statuses, maxUnconfirmedReplies)
			}
			other := h.reconcile("vm-2")
			h.submit(jobOf("job-000003", 8)) // vm-2 is never empty
			bound := last + h.c.bounds.WorkerExpiry
			if tc.session {
				bound = h.now
				h.heartbeat(heartbeatFrom("vm-1", 2, seq+1, fencingToken))
				if h.c.unreachable(h.c.machines["vm-1"]) {
					t.Error("still out of reach in a new session")
				}
			}
			for s := uint64(20); h.now < bound+5*sec; s++ {
				h.run(sec / 4)
				h.dropCalls()
				_, body := h.heartbeat(heartbeatFrom("vm-2", 1, s, other))
				for _, c := range starts(body.Commands) {
					if c.Task != running.Task {
						continue
					}
					if h.now < bound {
						t.Fatalf("restarted %v s after the last 200", (h.now - last).Seconds())
					}
					return
				}
			}
			t.Error("never restarted")
		})
	}
}

// What a heartbeat must show of the answer before it.
func TestReachability(t *testing.T) {
	run := wire.Command{Op: wire.OpStart, Task: "job-000001/0", Attempt: 5}
	clear := wire.Command{Op: wire.OpForget, Task: "job-000001/0", Attempt: 5}
	stop := wire.Command{Op: wire.OpStop, Task: "job-000001/0", Attempt: 5}
	listed := func(state string) []wire.TaskStatus {
		return []wire.TaskStatus{{Task: "job-000001/0", Attempt: 5, State: state}}
	}
	for _, tc := range []struct {
		name         string
		fencingToken uint64 // told, not shown before
		cmd          wire.Command
		rep          wire.Heartbeat
		shown, sure  bool
	}{
		{"nothing to show", 0, wire.Command{}, wire.Heartbeat{FencingToken: 7}, false, false},
		{"new token shown", 9, wire.Command{}, wire.Heartbeat{FencingToken: 9}, true, true},
		{"new token not shown", 9, run, wire.Heartbeat{FencingToken: 7}, false, true},
		{"start shown", 0, run, wire.Heartbeat{Tasks: listed(wire.TaskFetching)}, true, true},
		{"start missing", 0, run, wire.Heartbeat{}, false, true},
		{"cleared", 0, clear, wire.Heartbeat{}, true, true},
		{"not cleared", 0, clear, wire.Heartbeat{Tasks: listed(wire.TaskExited)}, false, true},
		{"halted", 0, stop, wire.Heartbeat{Tasks: listed(wire.TaskSaving)}, true, true},
		{"goes on", 0, stop, wire.Heartbeat{Tasks: listed(wire.TaskRunning)}, false, true},
	} {
		r := reachability{fencingToken: tc.fencingToken, command: tc.cmd}
		if shown, sure := r.confirmedBy(&tc.rep); shown != tc.shown || sure != tc.sure {
			t.Errorf("%s: %v %v, want %v %v", tc.name, shown, sure, tc.shown, tc.sure)
		}
	}
}

// Thresholds of silence follow from the settings: where reports come 10 s apart,
// one that was lost makes no machine look dead.
func TestHeartbeatTimeout(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		heartbeatFrom, lease micros.Micros
		given                micros.Micros
		want                 micros.Micros
	}{
		{"small settings", 3 * sec, 19 * sec, -1, 13250 * ms},
		{"grown settings", 10 * sec, 45 * sec, -1, 22 * sec},
		{"slow reports", 30 * sec, 120 * sec, -1, 47 * sec},
		{"the operators' own", 10 * sec, 45 * sec, 30 * sec, 30 * sec},
	} {
		c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, HeartbeatInterval: tc.heartbeatFrom, WorkerLease: tc.lease, SilentReturn: tc.given, StateRPS: 10, WriteRPS: 10, CloudRPS: 10}, 1)
		if got := c.silentReturnAfter(); got != tc.want {
			t.Errorf("%s: returned after %v s, want %v s", tc.name, got.Seconds(), tc.want.Seconds())
		}
		longest := tc.heartbeatFrom * 5 / 4
		if c.heartbeatOverdueAfter() <= longest {
			t.Errorf("%s: late after %v s, a report may take %v s", tc.name, c.heartbeatOverdueAfter().Seconds(), longest.Seconds())
		}
		// The next node is tried 1 s after an answer was missed for 4 s.
		if lost := longest + 5*sec; c.silentReturnAfter() <= lost {
			t.Errorf("%s: one lost report makes a machine look dead", tc.name)
		}
		if c.silentReturnAfter() >= tc.lease {
			t.Errorf("%s: a lease runs out first", tc.name)
		}
	}
}
