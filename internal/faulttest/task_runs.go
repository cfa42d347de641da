package faulttest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// TaskRun is the time during which a task ran on a machine.
type TaskRun struct {
	Task, Machine string
	From, To      time.Time // To is zero while the task runs
}

// job returns the ID of the task's job.
func (r TaskRun) job() string { return jobOf(r.Task) }

// jobOf returns the ID of a task's job.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// taskRuns records where and when tasks ran.
type taskRuns struct {
	mu   sync.Mutex
	list []*TaskRun
}

func (r *taskRuns) begin(task, machine string) *TaskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &TaskRun{Task: task, Machine: machine, From: time.Now()}
	r.list = append(r.list, run)
	return run
}

// end records the end of a run. Only the first end of a run counts. A nil run is ignored.
func (r *taskRuns) end(run *TaskRun, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run != nil && run.To.IsZero() {
		run.To = at
	}
}

// all returns the runs in order of task and start. Runs that have not ended get now as their end.
func (r *taskRuns) all(now time.Time) []TaskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []TaskRun
	for _, recorded := range r.list {
		run := *recorded
		if run.To.IsZero() {
			run.To = now
		}
		runs = append(runs, run)
	}
	slices.SortStableFunc(runs, func(a, b TaskRun) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.From.Compare(b.From))
	})
	return runs
}

// CheckTaskRuns describes tasks that ran for longer than cancelWithin after their job was reported
// as cancelled, and tasks that started on one machine while they ran on another. The runs are in
// order of task and start; cancelledAt is keyed by job ID.
func CheckTaskRuns(runs []TaskRun, cancelledAt map[string]time.Time, cancelWithin time.Duration) (violations []string) {
	for i, run := range runs {
		if at, ok := cancelledAt[run.job()]; ok && run.To.Sub(at) > cancelWithin {
			violations = append(violations, fmt.Sprintf("ran_cancelled: %s ran on %s until %.1f s after its job was reported as cancelled", run.Task, run.Machine, run.To.Sub(at).Seconds()))
		}
		for _, later := range runs[i+1:] {
			if later.Task != run.Task {
				break
			}
			if later.Machine != run.Machine && later.From.Before(run.To) {
				violations = append(violations, fmt.Sprintf("ran_twice: %s started on %s while it ran on %s for another %.1f s", run.Task, later.Machine, run.Machine, run.To.Sub(later.From).Seconds()))
			}
		}
	}
	return violations
}
