package controller

import (
	"testing"

	"garnethitch/internal/micros"
)

// TestMovable checks that a running task may be stopped for the release of its machine only if
// little is lost by that.
func TestMovable(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.FinishWithin = map[string]micros.Micros{"late": sec, "early": 60 * micros.Minute} })
	for _, tc := range []struct {
		name, class    string
		state          attemptState
		checkpoint     float64
		ran            micros.Micros
		stops          int
		notOwned, want bool // notOwned: this node no longer owns its job
	}{
		{"can save", "early", attemptRunning, 10, 90 * sec, 3, false, true},
		{"late, most work left", "late", attemptRunning, 0, 20 * sec, 0, false, true},
		{"still in time", "early", attemptRunning, 0, 20 * sec, 0, false, false},
		{"no deadline and no objective", "other", attemptRunning, 0, 20 * sec, 0, false, false},
		{"late, but much work done", "late", attemptRunning, 0, 50 * sec, 0, false, false},
		{"late, but stopped before", "late", attemptRunning, 0, 20 * sec, 1, false, false},
		{"fetching", "late", attemptFetching, 0, 0, 0, false, false},
		{"job not owned here", "late", attemptRunning, 10, 20 * sec, 0, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sub := newSubmission("job-000001", 1)
			sub.Class, sub.CheckpointS, sub.EstimateS = tc.class, tc.checkpoint, 100
			j := &job{sub: &sub, deadline: micros.Never, run: &run{stopsByTask: map[int]int{0: tc.stops}}}
			if tc.notOwned {
				j.run = nil
			}
			h.c.now, h.c.wall = 200*sec, 200*sec
			if got := h.c.movable(&attempt{job: j, state: tc.state, tracked: true, runAt: h.c.now - tc.ran}); got != tc.want {
				t.Errorf("movable: %v, want %v", got, tc.want)
			}
		})
	}
}
