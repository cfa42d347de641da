package controller

import (
	"testing"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/wire"
)

// TestStaleViewOfJobs checks that a controller that has just claimed a shard with an old view of
// jobs does not answer for one that has long ended (found by the simulation: a finished job was
// called pending).
func TestStaleViewOfJobs(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"}; c.Shards = 1 })
	sub := newSubmission("job-000001", 1)
	h.put(wire.JobKey("job-000001"), wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1})
	h.blockedWatchPrefix = wire.PrefixJob // from here on it learns of no job
	h.txn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
	value, err := wire.Encode(wire.JobRecord{State: wire.StateDone, Tasks: 1})
	if err != nil {
		t.Fatal(err)
	}
	h.txn(wire.Txn{Changes: []wire.Change{{Put: wire.JobKey("job-000001"), Value: value}}})
	h.run(2 * sec)
	if s := h.c.ownership.shards[0]; !s.owned() || s.jobsViewCurrent || h.c.jobs.open["job-000001"] == nil {
		t.Fatalf("%v, current %v: the case is not what it should be", s.ownership, s.jobsViewCurrent)
	}
	if s := h.jobState("job-000001"); s != wire.StateDone {
		t.Errorf("answered %q, but the record says done", s)
	}
}

// TestOwnerWithStaleView checks that a new owner that can't learn which jobs its predecessor ended
// stops answering heartbeats in time for their tasks to be gone: the former one may have answered
// its users right before.
func TestOwnerWithStaleView(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.CancelWithin = 40 * sec
	})
	fencingToken := h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 1))
	h.blockedWatchPrefix = wire.PrefixJob
	h.txn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(2 * sec)
	s := h.c.ownership.shards[0]
	if !s.owned() || s.jobsViewCurrent {
		t.Fatalf("%v, current %v: the case is not what it should be", s.ownership, s.jobsViewCurrent)
	}
	complete := h.c.ownership.jobWatch.CompleteAsOf
	for seq := uint64(20); h.now < complete+h.c.bounds.StaleViewGrace+4*sec; seq++ { // it can renew all the time
		h.run(sec / 2)
		status, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken))
		fencingToken = max(fencingToken, body.FencingToken)
		if want := h.now < complete+h.c.bounds.StaleViewGrace; (status == 200) != want {
			t.Fatalf("%v s after its view of jobs was complete a heartbeat was answered %d", (h.now - complete).Seconds(), status)
		}
	}
	h.blockedWatchPrefix = ""
	h.run(2 * sec)
	if status, _ := h.heartbeat(heartbeatFrom("vm-1", 1, 100, fencingToken)); status != 200 {
		t.Errorf("a heartbeat was answered %d once the view of jobs was current", status)
	}
}

// TestWatchMustListAgain checks that a watch whose answer is too large, or whose changes are no
// longer kept, leads to a fresh listing, not to the same request for ever.
func TestWatchMustListAgain(t *testing.T) {
	for _, status := range []int{410, TooLarge} {
		h := newHarness(t, nil)
		h.blockedWatchPrefix = wire.PrefixJob
		h.submit(newSubmission("job-000001", 1))
		h.put(wire.JobKey("job-000002"), wire.JobRecord{Submission: ptr(newSubmission("job-000002", 1)), State: wire.StatePending, Tasks: 1})
		if h.c.jobs.open["job-000002"] != nil {
			t.Fatal("known without the watch")
		}
		for i, w := range h.watches {
			if w.Req.(statestore.WatchKeys).Prefix == wire.PrefixJob {
				h.watches = append(h.watches[:i], h.watches[i+1:]...)
				h.step(Result{ID: w.ID, Status: status})
				break
			}
		}
		h.run(sec)
		if h.c.jobs.open["job-000002"] == nil {
			t.Errorf("after status %d the keys were not listed anew", status)
		}
	}
}

// TestWatchFractionsFit checks that the watches that every controller holds take no more than the
// part of the requests that is left to leases.
func TestWatchFractionsFit(t *testing.T) {
	if controlWatchFraction+jobWatchFraction > statestore.LeaseFraction {
		t.Errorf("watches take %.2f of the requests, leases may take %.2f", controlWatchFraction+jobWatchFraction, statestore.LeaseFraction)
	}
}
