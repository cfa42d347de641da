package faulttest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// TaskRun is the time that a task was on a machine.
type TaskRun struct {
	Task, Machine string
	From, To      time.Time // To is zero while it lasts
}

// job returns the job that the task is of.
func (r TaskRun) job() string {
	job, _, _ := strings.Cut(r.Task, "/")
	return job
}

// taskRuns records where tasks were, and when.
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

// end records the end of a run. Only the first end counts; nil is no run.
func (r *taskRuns) end(run *TaskRun, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run != nil && run.To.IsZero() {
		run.To = at
	}
}

// all returns the runs by task and start; those that last end now.
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

// CheckTaskRuns finds tasks that ran on for longer than cancel after their job was reported as
// cancelled, and tasks that started on one machine while they were on another. The runs are
// by task and start; cancelledAt is by job.
func CheckTaskRuns(runs []TaskRun, cancelledAt map[string]time.Time, cancel time.Duration) (violations []string) {
	for i, run := range runs {
		if at, ok := cancelledAt[run.job()]; ok && run.To.Sub(at) > cancel {
			violations = append(violations, fmt.Sprintf("ran_cancelled: %s was on %s until %.1f s after its job was called cancelled", run.Task, run.Machine, run.To.Sub(at).Seconds()))
		}
		for _, later := range runs[i+1:] {
			if later.Task != run.Task {
				break
			}
			if later.Machine != run.Machine && later.From.Before(run.To) {
				violations = append(violations, fmt.Sprintf("ran_twice: %s started on %s while it was on %s for another %.1f s", run.Task, later.Machine, run.Machine, run.To.Sub(later.From).Seconds()))
			}
		}
	}
	return violations
}
