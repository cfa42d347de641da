package controller

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

func ptr[T any](v T) *T { return &v }

// TestOverdueJobStarts checks that a job that has waited too long gets one task started ahead of
// all other jobs, even if it needs a whole machine and small tasks take all capacity that becomes
// free.
func TestOverdueJobStarts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		cpus   float64
		within micros.Micros
		ends   int // tasks that end in each half second
		want   bool
	}{
		{"small tasks", 1, 30 * sec, 1, true},
		{"small tasks, much capacity at once", 1, 30 * sec, 4, true},
		{"a whole machine", 4, 30 * sec, 1, true},
		{"no limit set", 4, 0, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.BeginWithin = tc.within })
			fencingToken := h.reconcileMachine("vm-1")
			h.submit(newSubmission("job-000001", 4000)) // more than enough to fill the machine all the time
			big := newSubmission("job-000002", 50)
			big.CPUs, big.MemGB, big.Priority = tc.cpus, 4, "best_effort"
			h.submit(big)
			h.dropWorkerCalls()
			seq := uint64(10)
			var running []wire.TaskStatus
			begun := 0
			for range 120 { // some tasks end in each half second
				h.run(sec / 2)
				h.dropWorkerCalls()
				seq++
				ends := min(tc.ends, len(running))
				for i := range ends {
					running[i].State, running[i].ExitReason = wire.TaskExited, wire.ExitDone
				}
				_, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken, running...))
				running = running[ends:]
				for _, cmd := range startCommands(body.Commands) {
					running = append(running, wire.TaskStatus{Task: cmd.Task, Attempt: cmd.Attempt, State: wire.TaskRunning})
					if id, _, _ := wire.ParseTaskName(cmd.Task); id == big.ID {
						begun++
					}
				}
			}
			if (begun > 0) != tc.want {
				t.Errorf("%d tasks of the overdue job were started, want one if BeginWithin is set and none otherwise", begun)
			}
			if begun > 1 {
				t.Errorf("%d tasks of the overdue job were started, want at most one", begun)
			}
		})
	}
}

// TestOnlyStartIsStoppedLast checks that the only active attempt of an overdue job is the last to
// be preempted.
func TestOnlyStartIsStoppedLast(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.BeginWithin = 30 * sec })
	newAttempt := func(waited micros.Micros, others int) *attempt {
		sub := newSubmission("job-000001", 10)
		j := &job{sub: &sub, rec: wire.JobRecord{AcceptedMS: (h.now - waited).Millis()}, run: &run{stopsByTask: map[int]int{}, active: map[int]*attempt{}}}
		att := &attempt{job: j, runAt: h.now - sec, tracked: true}
		for i := range 1 + others {
			j.run.active[i] = att
		}
		return att
	}
	h.c.now, h.c.wall = h.now, h.now
	if a, b := h.c.preemptionPolicy.loss(newAttempt(sec, 0)), h.c.preemptionPolicy.loss(newAttempt(40*sec, 0)); a >= b {
		t.Errorf("loss %v of the only task of a young job, %v of an overdue job; want less for the young job", a, b)
	}
	if a, b := h.c.preemptionPolicy.loss(newAttempt(40*sec, 0)), h.c.preemptionPolicy.loss(newAttempt(40*sec, 3)); a <= b {
		t.Errorf("loss %v of an only task, %v of one of several; want more for the only one", a, b)
	}
}

// TestOverdue checks that a job is overdue once it has waited too long with no task running or
// done.
func TestOverdue(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.BeginWithin = 30 * sec })
	h.c.wall = 1000 * sec
	for _, tc := range []struct {
		name   string
		waited micros.Micros
		run    run
		want   bool
	}{
		{"young", 20 * sec, run{}, false},
		{"nothing started", 40 * sec, run{}, true},
		{"its only start was stopped", 40 * sec, run{firstRunAt: sec}, true},
		{"a task is running", 40 * sec, run{active: map[int]*attempt{0: {}}}, false},
		{"a task is done", 40 * sec, run{doneCount: 1}, false},
		{"it fails on every machine", 40 * sec, run{nextRetryAt: sec}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			j := &job{rec: wire.JobRecord{AcceptedMS: (h.c.wall - tc.waited).Millis()}, run: &tc.run}
			if got := h.c.overdue(j); got != tc.want {
				t.Errorf("overdue: %v, want %v", got, tc.want)
			}
		})
	}
}
