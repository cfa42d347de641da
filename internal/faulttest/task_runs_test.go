package faulttest

import (
	"testing"
	"time"
)

// TestCheckTaskRuns checks that the checker of a soak finds tasks that outlast their cancellation
// or run on two machines at once, and no others.
func TestCheckTaskRuns(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	cancelledAt := map[string]time.Time{"job-000001": at(10)}
	run := func(task, machine string, from, to float64) TaskRun { return TaskRun{task, machine, at(from), at(to)} }
	for _, tc := range []struct {
		name  string
		runs  []TaskRun
		found int
	}{
		{"gone in time", []TaskRun{run("job-000001/0", "vm-1", 1, 19)}, 0},
		{"on for too long", []TaskRun{run("job-000001/0", "vm-1", 1, 21)}, 1},
		{"started too late", []TaskRun{run("job-000001/0", "vm-1", 25, 26)}, 1},
		{"another job", []TaskRun{run("job-000002/0", "vm-1", 1, 50)}, 0},
		{"moved", []TaskRun{run("job-000002/0", "vm-1", 1, 5), run("job-000002/0", "vm-2", 5, 9)}, 0},
		{"twice", []TaskRun{run("job-000002/0", "vm-1", 1, 5), run("job-000002/0", "vm-2", 4, 9)}, 1},
		{"again on its machine", []TaskRun{run("job-000002/0", "vm-1", 1, 5), run("job-000002/0", "vm-1", 4, 9)}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := CheckTaskRuns(tc.runs, cancelledAt, 10*time.Second); len(got) != tc.found {
				t.Errorf("%d violations, want %d: %v", len(got), tc.found, got)
			}
		})
	}
}
