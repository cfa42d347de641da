package controller

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// maxWaitBesideMachine is how long an accepted job may wait beside a machine that fits.
const maxWaitBesideMachine = 90 * sec

// failStartedTasks sends heartbeats of a machine, one each two seconds, in which each started task
// has failed. It returns when the given number of tasks has failed, and the next sequence number.
func (h *harness) failStartedTasks(id string, seq, fencingToken uint64, failures int) uint64 {
	h.t.Helper()
	var failed []wire.TaskStatus
	for range 20 {
		h.dropWorkerCalls()
		_, body := h.heartbeat(heartbeatFrom(id, 1, seq, fencingToken, failed...))
		seq++
		failed = nil
		starts := startCommands(body.Commands)
		for _, status := range taskStatuses(starts, wire.TaskExited) {
			status.ExitReason = wire.ExitError
			failed = append(failed, status)
		}
		if failures -= len(starts); failures <= 0 {
			h.run(2 * sec)
			h.dropWorkerCalls()
			h.heartbeat(heartbeatFrom(id, 1, seq, fencingToken, failed...))
			return seq + 1
		}
		h.run(2 * sec)
	}
	h.t.Fatalf("%d more tasks should have been started on %s", failures, id)
	return 0
}

// TestAvoidedMachineIsTriedAgain guards against a job that waits for ever beside the only machine,
// on which its task failed twice: the job avoids the machine for avoidancePeriod and then runs there
// again, also if it needs the capacity that others leave.
func TestAvoidedMachineIsTriedAgain(t *testing.T) {
	h := newHarness(t, nil)
	fencingToken := h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 1))
	seq := h.failStartedTasks("vm-1", 10, fencingToken, 2)
	failedAt, startedAt := h.now, micros.Micros(0)
	for startedAt == 0 && h.now < failedAt+maxWaitBesideMachine {
		h.run(2 * sec)
		h.dropWorkerCalls()
		_, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken))
		seq++
		if len(startCommands(body.Commands)) > 0 {
			startedAt = h.now
		}
	}
	switch waited := startedAt - failedAt; {
	case startedAt == 0:
		t.Errorf("the task was not started again within %v s", maxWaitBesideMachine.Seconds())
	case waited < avoidancePeriod-2*sec:
		t.Errorf("the task was started again after %v s, so that the machine was not avoided", waited.Seconds())
	}
}

// TestAvoidedMachineIsReserved guards against a job that never finds capacity on the only machine in
// use, because its tasks failed there long ago: capacity is reserved for the job once
// avoidancePeriod is over.
func TestAvoidedMachineIsReserved(t *testing.T) {
	h := newHarness(t, nil)
	h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 1))
	h.c.now = h.now
	j, m := h.c.jobs.open["job-000001"], h.c.machines["vm-1"]
	j.run.recordMachineFailure(m, h.now)
	if h.c.reservable(j, m, nil) {
		t.Error("capacity is reserved on the machine right after the failure")
	}
	j.run.recordMachineFailure(m, h.now-avoidancePeriod)
	if !h.c.reservable(j, m, nil) {
		t.Error("no capacity is reserved on the machine after avoidancePeriod")
	}
}

// TestThrottledJobWantsMachine guards against a job that failed on three machines and never gets
// another one to be tried on, because it is no demand, or whose other tasks wait for as long as the
// first one runs: it counts as one waiting task, and may try it, whenever no task is being tried or
// those that are have run well.
func TestThrottledJobWantsMachine(t *testing.T) {
	for _, tc := range []struct {
		name   string
		active int
		ran    micros.Micros
		want   int
	}{
		{"nothing is tried", 0, 0, 1},
		{"a task has just been started", 1, 0, 0},
		{"a task runs well", 1, 6 * sec, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, nil)
			for _, id := range []string{"vm-1", "vm-2", "vm-3"} {
				h.reconcileMachine(id)
			}
			h.submit(newSubmission("job-000001", 5))
			h.dropWorkerCalls()
			j := h.c.jobs.open["job-000001"]
			clear(j.run.active)
			for _, id := range []string{"vm-1", "vm-2", "vm-3"} {
				h.c.recordFailure(&attempt{job: j, machine: h.c.machines[id], index: 0})
			}
			for i := range tc.active {
				j.run.active[i] = &attempt{job: j, machine: h.c.machines["vm-1"], runAt: h.now - tc.ran}
			}
			h.c.queue(h.c.ownership.shards[0])
			count := 0
			groups, _ := h.c.waitingTasksOf(h.c.ownership.shards[0])
			for _, group := range groups {
				count += group.Count
			}
			if count != tc.want {
				t.Errorf("%d tasks wait for machines, want %d", count, tc.want)
			}
			h.c.now = j.run.nextRetryAt
			if got := !h.c.waitsForRetry(j); got != (tc.want > 0) {
				t.Errorf("a task may be tried once the backoff is over: %v, want %v", got, tc.want > 0)
			}
		})
	}
}
