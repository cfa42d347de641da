package controller

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestPreemptedCapacityIsReserved checks that capacity that is being freed for one job is not given
// to another job. The other job's task would only be preempted next: without the reservation the
// simulation saw forty stops a second.
func TestPreemptedCapacityIsReserved(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1") // four CPUs
	job := func(id, priority string, tasks int, cpus float64) {
		s := newSubmission(id, tasks)
		s.Priority, s.CPUs = priority, cpus
		h.submit(s)
	}
	job("job-000001", "standard", 1, 2)
	job("job-000002", "best_effort", 2, 2) // the second task does not fit and waits
	h.dropWorkerCalls()
	_, body := h.heartbeat(heartbeatFrom("vm-1", 1, 10, fencingToken))
	running := map[string]wire.TaskStatus{}
	for _, c := range startCommands(body.Commands) {
		running[c.Task] = wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
	}
	first, second := running["job-000001/0"], running["job-000002/0"]
	if first.Attempt == 0 || second.Attempt == 0 {
		t.Fatalf("running tasks: %v, want job-000001/0 and job-000002/0", running)
	}
	h.heartbeat(heartbeatFrom("vm-1", 1, 11, fencingToken, first, second))
	job("job-000003", "standard", 1, 3) // stopping job-000002 would not free enough
	h.run(2 * sec)
	// job-000001 ends: what it frees and what job-000002 holds are enough together.
	first.State, first.ExitReason = wire.TaskExited, wire.ExitDone
	_, body = h.heartbeat(heartbeatFrom("vm-1", 1, 12, fencingToken, first, second))
	stops := 0
	for _, c := range body.Commands {
		if c.Op == wire.OpStop {
			stops++
		}
		if c.Op == wire.OpStart {
			t.Errorf("%s was started in capacity that is being freed for another job", c.Task)
		}
	}
	if stops != 1 {
		t.Errorf("%d tasks were stopped, want 1: %v", stops, body.Commands)
	}
}

// TestDeadlineNear checks that a job that can only just meet its deadline preempts others at once
// and without time to save. A job that has time left, or that cannot meet its deadline any more,
// does not.
func TestDeadlineNear(t *testing.T) {
	deadline := func(s float64) *float64 { return &s }
	for _, tc := range []struct {
		name     string
		deadline *float64
		within   micros.Micros // objective of the job's class
		want     bool
	}{
		{"no deadline", nil, 0, false},
		{"enough time", deadline(100), 0, false},
		{"must start within seconds", deadline(15), 0, true}, // expected to run 10 s
		{"objective of the class is near", nil, 18 * sec, true},
		{"the earlier of both counts", deadline(100), 18 * sec, true},
		{"already too late", deadline(5), 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.FinishWithin = map[string]micros.Micros{"c": tc.within} })
			s := newSubmission("job-000001", 1)
			s.DeadlineS = tc.deadline
			h.submit(s)
			j := h.c.jobs.open["job-000001"]
			if got := h.c.preemptionPolicy.deadlineNear(j); got != tc.want {
				t.Errorf("deadline near: %v, want %v", got, tc.want)
			}
			low := newSubmission("job-000002", 1)
			low.Priority, low.CheckpointS, low.SaveS = "best_effort", 5, 2
			h.submit(low)
			victim := &attempt{job: h.c.jobs.open["job-000002"], state: attemptRunning}
			if got := h.c.preemptionPolicy.stopMode(victim, j) == stopImmediate; got != tc.want {
				t.Errorf("stopped without saving: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestPreemptionLoss checks that the loss of stopping a task grows with its completed work,
// priority, length and earlier stops.
func TestPreemptionLoss(t *testing.T) {
	h := newHarness(t, nil)
	newAttempt := func(priority string, ran, estimate micros.Micros, stops int) *attempt {
		sub := newSubmission("job-000001", 1)
		sub.Priority, sub.EstimateS = priority, estimate.Seconds()
		prio, _ := wire.PriorityOf(priority)
		return &attempt{job: &job{sub: &sub, priority: prio, run: &run{stopsByTask: map[int]int{0: stops}}}, runAt: h.now - ran}
	}
	h.c.now = h.now
	for _, tc := range []struct {
		name       string
		less, more *attempt
	}{
		{"less work done", newAttempt("standard", 2*sec, 10*sec, 0), newAttempt("standard", 9*sec, 10*sec, 0)},
		{"lower priority", newAttempt("best_effort", 5*sec, 10*sec, 0), newAttempt("standard", 5*sec, 10*sec, 0)},
		{"shorter", newAttempt("standard", 5*sec, 10*sec, 0), newAttempt("standard", 5*sec, 200*sec, 0)},
		{"never stopped before, though it ran for longer", newAttempt("standard", 20*sec, 40*sec, 0), newAttempt("standard", 3*sec, 40*sec, 1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if a, b := h.c.preemptionPolicy.loss(tc.less), h.c.preemptionPolicy.loss(tc.more); a >= b {
				t.Errorf("loss %v, want less than %v", a, b)
			}
		})
	}
}

// TestMaxPreemptionLoss checks that a waiting task may cause only a small loss at first, and any
// loss once capacity has not become free by itself for a while.
func TestMaxPreemptionLoss(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.StartWithin = map[string]micros.Micros{"now": 6 * sec, "soon": 40 * sec} })
	for _, tc := range []struct {
		name   string
		class  string
		waited micros.Micros
		small  bool
	}{
		{"prompt objective, at once", "now", 0, true},
		{"prompt objective, within half of it", "now", 2 * sec, true},
		{"prompt objective, past half of it", "now", 4 * sec, false},
		{"longer objective, within half of it after the delay", "soon", 20 * sec, true},
		{"longer objective, past half of it after the delay", "soon", 25 * sec, false},
		{"no objective, within seconds", "other", 3 * sec, true},
		{"no objective, later", "other", 7 * sec, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sub := newSubmission("job-000001", 1)
			sub.Class = tc.class
			h.c.now = h.now
			j := &job{sub: &sub, deadline: micros.Never, run: &run{arrivedAt: h.now - tc.waited}}
			if got := h.c.preemptionPolicy.maxLoss(j) == smallLoss; got != tc.small {
				t.Errorf("class %s after %v s: small loss only: %v, want %v", tc.class, tc.waited.Seconds(), got, tc.small)
			}
		})
	}
}
