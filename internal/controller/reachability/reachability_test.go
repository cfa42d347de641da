package reachability

import (
	"testing"

	"garnethitch/internal/wire"
)

// TestConfirmation checks which effect of the previous reply a heartbeat must show.
func TestConfirmation(t *testing.T) {
	start := wire.Command{Op: wire.OpStart, Task: "job-000001/0", Attempt: 5}
	forget := wire.Command{Op: wire.OpForget, Task: "job-000001/0", Attempt: 5}
	stop := wire.Command{Op: wire.OpStop, Task: "job-000001/0", Attempt: 5}
	listed := func(state wire.TaskState) []wire.TaskStatus {
		return []wire.TaskStatus{{Task: "job-000001/0", Attempt: 5, State: state}}
	}
	for _, tc := range []struct {
		name      string
		token     uint64 // raised by the reply
		command   wire.Command
		heartbeat wire.Heartbeat
		want      Confirmation
	}{
		{"nothing expected", 0, wire.Command{}, wire.Heartbeat{FencingToken: 7}, Undetermined},
		{"new token shown", 9, wire.Command{}, wire.Heartbeat{FencingToken: 9}, Confirmed},
		{"new token not shown", 9, start, wire.Heartbeat{FencingToken: 7}, Unconfirmed},
		{"start shown", 0, start, wire.Heartbeat{Tasks: listed(wire.TaskFetching)}, Confirmed},
		{"start missing", 0, start, wire.Heartbeat{}, Unconfirmed},
		{"forgotten", 0, forget, wire.Heartbeat{}, Confirmed},
		{"not forgotten", 0, forget, wire.Heartbeat{Tasks: listed(wire.TaskExited)}, Unconfirmed},
		{"stopping", 0, stop, wire.Heartbeat{Tasks: listed(wire.TaskSaving)}, Confirmed},
		{"not stopping", 0, stop, wire.Heartbeat{Tasks: listed(wire.TaskRunning)}, Unconfirmed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := Tracker{expectedToken: tc.token, expectedCommand: tc.command}
			if got := tracker.confirmationFrom(&tc.heartbeat); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

// TestUnreachable checks that a machine becomes unreachable after MaxUnconfirmedReplies
// consecutive lost replies, and stays so until a reply is confirmed or the tracker is reset.
func TestUnreachable(t *testing.T) {
	start := []wire.Command{{Op: wire.OpStart, Task: "job-000001/0", Attempt: 5}}
	shown := &wire.Heartbeat{Tasks: []wire.TaskStatus{{Task: "job-000001/0", Attempt: 5, State: wire.TaskRunning}}}
	missing := &wire.Heartbeat{}
	var tracker Tracker
	loseReplies := func(t *testing.T) {
		t.Helper()
		for i := 1; i <= MaxUnconfirmedReplies; i++ {
			if tracker.Unreachable() {
				t.Fatalf("unreachable after %d lost replies", i-1)
			}
			tracker.ReplySent(7, 7, start)
			became := tracker.HeartbeatReceived(100, missing)
			if want := i == MaxUnconfirmedReplies; became != want {
				t.Fatalf("became unreachable: %v after %d lost replies, want %v", became, i, want)
			}
		}
		if since, ok := tracker.UnconfirmedSince(); !tracker.Unreachable() || !ok || since != 100 {
			t.Fatalf("unreachable %v, since %v %v; want since 100", tracker.Unreachable(), since, ok)
		}
	}
	loseReplies(t)
	if tracker.HeartbeatReceived(200, missing); !tracker.Unreachable() {
		t.Error("reachable after a heartbeat that confirms nothing")
	}
	tracker.ReplySent(7, 7, start)
	if tracker.HeartbeatReceived(300, shown); tracker.Unreachable() {
		t.Error("unreachable after a confirmed reply")
	}
	loseReplies(t)
	tracker.Reset()
	if _, ok := tracker.UnconfirmedSince(); ok || tracker.Unreachable() {
		t.Error("unreachable after a reset")
	}
}
