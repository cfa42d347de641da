package controller

import (
	"testing"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/wire"
)

// TestStaleViewOfJobs checks that a controller that has just claimed a shard with a stale view of
// jobs does not answer from memory for a job that has ended. The simulation found a finished job
// reported as pending.
func TestStaleViewOfJobs(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Peers = []string{"n-1"}; c.Shards = 1 })
	sub := newSubmission("job-000001", 1)
	h.putRecord(wire.JobKey("job-000001"), wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1})
	h.blockedWatchPrefix = wire.PrefixJob // from here on it learns of no change of a job
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
	value, err := wire.Encode(wire.JobRecord{State: wire.StateDone, Tasks: 1})
	if err != nil {
		t.Fatal(err)
	}
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Put: wire.JobKey("job-000001"), Value: value}}})
	h.run(2 * sec)
	if s := h.c.ownership.shards[0]; !s.owned() || s.jobsViewCurrent || h.c.jobs.open["job-000001"] == nil {
		t.Fatalf("test setup: shard %v, job view current %v; want an owned shard with a stale view", s.ownership, s.jobsViewCurrent)
	}
	if s := h.jobState("job-000001"); s != wire.StateDone {
		t.Errorf("answered %q, but the record says done", s)
	}
}

// TestOwnerWithStaleView checks that a new owner that cannot learn which jobs its predecessor ended
// stops answering heartbeats early enough for the tasks of those jobs to be gone in time: the
// predecessor may have confirmed a cancellation to a user just before the failover.
func TestOwnerWithStaleView(t *testing.T) {
	h := newOwnerHarness(t, func(c *Config) {
		withPeer(c)
		c.CancelWithin = 40 * sec
	})
	fencingToken := h.reconcileMachine("vm-1")
	h.submit(newSubmission("job-000001", 1))
	h.blockedWatchPrefix = wire.PrefixJob
	h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
	h.run(2 * sec)
	s := h.c.ownership.shards[0]
	if !s.owned() || s.jobsViewCurrent {
		t.Fatalf("test setup: shard %v, job view current %v; want an owned shard with a stale view", s.ownership, s.jobsViewCurrent)
	}
	complete := h.c.ownership.jobWatch.CompleteAsOf
	// The machine's lease is renewed throughout.
	for seq := uint64(20); h.now < complete+h.c.bounds.StaleViewGrace+4*sec; seq++ {
		h.run(sec / 2)
		status, body := h.heartbeat(heartbeatFrom("vm-1", 1, seq, fencingToken))
		fencingToken = max(fencingToken, body.FencingToken)
		if want := h.now < complete+h.c.bounds.StaleViewGrace; (status == 200) != want {
			t.Fatalf("%v s after its view of jobs was complete a heartbeat was answered %d, want 200 only within StaleViewGrace", (h.now - complete).Seconds(), status)
		}
	}
	h.blockedWatchPrefix = ""
	h.run(2 * sec)
	if status, _ := h.heartbeat(heartbeatFrom("vm-1", 1, 100, fencingToken)); status != 200 {
		t.Errorf("a heartbeat was answered %d once the view of jobs was current, want 200", status)
	}
}

// TestWatchRelists checks that a watch whose response is too large, or whose changes are no
// longer kept, leads to a new listing instead of the same request for ever.
func TestWatchRelists(t *testing.T) {
	for _, status := range []int{410, StatusResponseTooLarge} {
		h := newHarness(t, nil)
		h.blockedWatchPrefix = wire.PrefixJob
		h.submit(newSubmission("job-000001", 1))
		h.putRecord(wire.JobKey("job-000002"), wire.JobRecord{Submission: ptr(newSubmission("job-000002", 1)), State: wire.StatePending, Tasks: 1})
		if h.c.jobs.open["job-000002"] != nil {
			t.Fatal("job-000002 is known although the watch is blocked")
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
			t.Errorf("after status %d the keys were not listed again", status)
		}
	}
}

// TestWatchFractionsFit checks that the watches of every controller together take no more than the
// fraction of requests reserved for the lease class.
func TestWatchFractionsFit(t *testing.T) {
	if controlWatchFraction+jobWatchFraction > statestore.LeaseFraction {
		t.Errorf("watches take %.2f of the requests, leases may take %.2f", controlWatchFraction+jobWatchFraction, statestore.LeaseFraction)
	}
}
