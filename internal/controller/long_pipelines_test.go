package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// maxPipeline is the number of jobs of a pipeline whose last one names all others in a value of
// 8 KiB.
const maxPipeline = 590

// maxVisitsPerName bounds the visits of a step for each name in the records that it reads.
const maxVisitsPerName = 4

// recordPipeline stores n jobs as another controller would. Each depends on all earlier ones. The
// last one has a high priority and a deadline. It returns the deadline as a time of day.
func (h *harness) recordPipeline(n int) (deadline micros.Micros) {
	for i := range n {
		s := dependentSubmission(chainID(i), 1, jobIDs(100, i)...)
		s.Priority = "best_effort"
		if i == n-1 {
			s.Priority, s.DeadlineS = "high", new(20_000.0)
			deadline = micros.Micros(h.now.Millis())*ms + 20_000*sec
		}
		h.record(s)
	}
	return deadline
}

// checkPipeline checks that all open jobs of a pipeline of n jobs have the priority of the last one
// and a deadline that leaves each later job its run time of 10 s.
func (h *harness) checkPipeline(n int, deadline micros.Micros) {
	h.t.Helper()
	for i := range n {
		j := h.c.jobs.open[chainID(i)]
		if j == nil {
			h.t.Fatalf("%s is not open", chainID(i))
		}
		if want := deadline - micros.Micros(n-1-i)*10*sec; j.priority != wire.PriorityHigh || j.deadline != want {
			h.t.Fatalf("%s: priority %d, due %v, want high and %v", j.id, j.priority, j.deadline, want)
		}
	}
}

// restarted returns a harness with a new process of the same node and the same state service.
func (h *harness) restarted() *harness {
	successor := newHarness(h.t, withPeer)
	successor.c = New(successor.c.cfg, 2)
	successor.now, successor.revision, successor.keys, successor.events = h.now, h.revision, h.keys, h.events
	successor.watches, successor.workerCalls, successor.maxVisited = nil, nil, 0
	successor.run(20 * sec)
	return successor
}

// TestWorkOfLongPipelines guards against a pipeline in which each job names all earlier ones keeping
// a controller busy in one step: a deadline at its end, an end, a cancellation, a status request
// and a restart must each cost a step no more than the names that it reads and a constant.
func TestWorkOfLongPipelines(t *testing.T) {
	for _, n := range []int{100, 200, 400, maxPipeline} {
		h := newOwnerHarness(t, withPeer)
		names := n * (n - 1) / 2
		check := func(what string, namesRead int) {
			t.Helper()
			if limit := uint64(maxVisitsPerName*namesRead + 2*maxNamesPerStep); h.maxVisited > limit {
				t.Errorf("%d jobs: %s: a step visits %d, want at most %d", n, what, h.maxVisited, limit)
			}
			h.maxVisited = 0
		}
		before := h.c.visited
		deadline := h.recordPipeline(n)
		h.run(5 * sec)
		check("submission", n)
		h.checkPipeline(n, deadline)
		if got := h.c.visited - before; got > uint64(maxVisitsPerName*names+2*maxNamesPerStep) {
			t.Errorf("%d jobs: %d visits in all for %d names", n, got, names)
		}
		if s := h.jobState(chainID(n - 1)); s != wire.StatePending {
			t.Errorf("%d jobs: the last job is in state %q, want pending", n, s)
		}
		check("status request", 1)

		h = h.restarted()
		check("restart", names)
		h.checkPipeline(n, deadline)

		h.recordEnd(chainID(0), wire.StateDone, 0)
		check("end of the first job", n)
		h.recordEnd(chainID(n-1), wire.StateCancelled, 0)
		h.run(5 * sec)
		check("cancellation of the last job", n)
		if j := h.c.jobs.open[chainID(1)]; j.priority != wire.PriorityLow || j.deadline != micros.Never || j.blocked() {
			t.Errorf("%d jobs: the second job still has priority %d, due %v, or is blocked", n, j.priority, j.deadline)
		}
		h.recordEnd(chainID(1), wire.StateCancelled, 0)
		check("cancellation of the second job", names)
		h.run(60 * sec)
		if open := len(h.c.jobs.open); open > 0 {
			t.Errorf("%d jobs: %d are open after the cancellation of the second one", n, open)
		}
		check("cancellation of all others", n)
	}
}

// TestWorkOfUnknownDependencies guards against each maintenance run searching all dependents of all
// dependencies whose ends are not in memory, at a controller that owns none of the dependents. Once it
// owns them, it reads the ends.
func TestWorkOfUnknownDependencies(t *testing.T) {
	const n = 150
	h := newOwnerHarness(t, withPeer)
	h.unreadablePrefix = wire.PrefixJob
	for i := range n {
		h.record(dependentSubmission(chainID(n+i), 1, jobIDs(100, n)...))
	}
	for i := range n {
		h.c.stopRun(h.c.jobs.open[chainID(n+i)])
	}
	h.run(3 * sec)
	h.maxVisited = 0
	h.run(5 * sec)
	if h.maxVisited > n {
		t.Errorf("a step visits %d, want at most %d", h.maxVisited, n)
	}
	h.unreadablePrefix = ""
	for i := range n {
		h.keys[wire.JobKey(chainID(i))] = wire.KeyValue{Key: wire.JobKey(chainID(i)), ModRevision: 1, Value: encoded(t, wire.JobRecord{State: wire.StateDone, Tasks: 1})}
		h.c.startRun(h.c.ownership.shards[0], h.c.jobs.open[chainID(n+i)])
	}
	h.run(micros.Minute)
	if j := h.c.jobs.open[chainID(n)]; j.blocked() {
		t.Errorf("%d dependencies are unknown a minute after the jobs have become this node's", len(j.unmetDependencies))
	}
}

// BenchmarkPipeline shows how the cost of a pipeline grows in which each job names all earlier ones
// and the last one has a deadline. Compare visits and allocations for each name rather than times.
func BenchmarkPipeline(b *testing.B) {
	for _, n := range []int{100, 200, 400, maxPipeline} {
		b.Run(fmt.Sprintf("%d jobs", n), func(b *testing.B) {
			b.ReportAllocs()
			names := float64(n * (n - 1) / 2)
			for range b.N {
				h := newLargeHarness(b, 1, 1, 1)
				h.c.maintenance.lastRunAt = h.now
				h.maxVisited = 0
				before := h.c.visited
				h.recordPipeline(n)
				for h.c.jobs.priorityUpdates.Len() > 0 {
					h.step(Tick{})
				}
				b.ReportMetric(float64(h.c.visited-before)/names, "visits/name")
				b.ReportMetric(float64(h.maxVisited), "visits/step")
			}
		})
	}
}
