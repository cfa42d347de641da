package controller

import (
	"strings"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestQueueOrder checks that the waiting jobs of a shard are served in the order of priority,
// guarantee, remaining work and age.
func TestQueueOrder(t *testing.T) {
	type queuedJob struct {
		id, priority string
		tasks        int
		age          micros.Micros // time since it was accepted
	}
	for _, tc := range []struct {
		name string
		jobs []queuedJob
		want string
	}{
		{"priority first", []queuedJob{{"1", "standard", 1, 0}, {"2", "high", 50, 0}, {"3", "best_effort", 1, 0}}, "213"},
		{"little work first", []queuedJob{{"1", "standard", 40, 0}, {"2", "standard", 2, 0}, {"3", "standard", 20, 0}}, "231"},
		{"a large job ages", []queuedJob{{"1", "standard", 4, 0}, {"2", "standard", 40, 800 * sec}}, "21"},
		{"equal jobs by age", []queuedJob{{"1", "standard", 4, 0}, {"2", "standard", 4, sec}}, "21"},
		{"within the guarantee first", []queuedJob{{"1", "standard", 30, 2 * sec}, {"2", "standard", 12, sec}}, "12"},
		{"guaranteed, and half of its time is over", []queuedJob{{"1", "high", 30, 0}, {"2", "best_effort", 12, 60 * sec}}, "21"},
		{"guaranteed, with time left", []queuedJob{{"1", "high", 30, 0}, {"2", "best_effort", 12, 40 * sec}}, "12"},
		{"beyond the guarantee, long waiting", []queuedJob{{"1", "high", 3, 90 * sec}, {"2", "best_effort", 31, 60 * sec}}, "12"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) {
				if strings.Contains(tc.name, "guarantee") {
					c.Teams[0].CPUs, c.GuaranteeWithin = 30, 100*sec
				}
			})
			h.reconcileMachine("vm-1")
			for _, j := range tc.jobs {
				sub := newSubmission("job-00000"+j.id, j.tasks)
				sub.Priority = j.priority
				rec := wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: j.tasks, AcceptedMS: (1000*sec - j.age).Millis()}
				h.c.applyJobRecord(sub.ID, rec, h.revision+100)
			}
			got := ""
			h.c.wall = 1000 * sec
			for _, j := range h.c.queue(h.c.ownership.shards[0]) {
				got += j.id[len(j.id)-1:]
			}
			if got != tc.want {
				t.Errorf("served in the order %s, want %s", got, tc.want)
			}
		})
	}
}
