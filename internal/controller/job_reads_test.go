package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// These tests guard against an incident in which a shard made no progress while users requested the
// status of jobs (docs/incidents/2026-12-share-stood-still.md).
//
// With 4,000 machines and a state service limited to 60 requests a second, jobs waited for over 90 s
// after the last fault, and one status request was unanswered for 78 s. Each status request for a
// job without an owner takes a read of its record. These reads were in the same class as
// acceptances, whose priority is second only to leases, and a class with a backlog blocked all
// classes below it. With seed 1, the log line "state requests" showed accept_sent 8,309 and
// accept_expired 10,715, fleet_sent 45 and fleet_expired 261. The deletion of the owner key was among
// the 261. Until it is applied no controller owns the shard, so status requests continue to take
// reads.

// statusRequestLoad sends users' job status requests for more jobs than can be read.
type statusRequestLoad struct {
	h    *harness
	next int
	ids  int // number of different jobs in the requests
}

// run runs the harness for a duration and sends two status requests every 20 ms.
func (q *statusRequestLoad) run(d micros.Micros) {
	for until := q.h.now + d; q.h.now < until; {
		for range 2 {
			q.next++
			q.h.jobStatus(requestedJobID(q.next % q.ids))
		}
		q.h.run(20 * ms)
	}
}

// requestedJobID returns the id of job i that status requests are about. No such job is stored.
func requestedJobID(i int) string { return fmt.Sprintf("job-%06d", 700000+i) }

// fewRequests configures a controller with a peer and a low rate limit of the state service.
func fewRequests(c *Config) {
	withPeer(c)
	c.StateRPS, c.WriteRPS = 60, 20
}

// longestWorkWait is how long work of any class may wait while status requests arrive. It is long
// enough for a record set of TxnOps changes at the minimum rate of its class, and for other due work.
const longestWorkWait = 10 * sec

// TestWorkBesideStatusRequests checks that all other work makes progress while status requests for
// one job or for many jobs arrive.
func TestWorkBesideStatusRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		// begin starts the work after status requests have arrived for a while. done reports whether
		// the work is finished.
		begin func(h *harness)
		done  func(h *harness) bool
	}{
		{"an owner key is deleted", func(h *harness) {
			h.c.releaseShard(h.c.ownership.shards[0])
		}, func(h *harness) bool {
			return h.keys[ownerKey(0)].ModRevision != h.c.ownership.shards[0].ownerEpoch || !h.c.ownership.shards[0].releasing()
		}},
		{"a cancellation is recorded", func(h *harness) {
			h.cancel("job-000001")
		}, func(h *harness) bool { return h.stored("job-000001").State == wire.StateCancelled }},
		{"a job is accepted", func(h *harness) {
			h.submit(newSubmission("job-000002", 1))
		}, func(h *harness) bool { return h.keys[wire.JobKey("job-000002")].ModRevision > 0 }},
		{"a machine is recorded", func(h *harness) {
			h.cloudMachines = append(h.cloudMachines, wire.ListedMachine{ID: "vm-9", Addr: "vm-9", Type: "m", Zone: "a", State: wire.MachineRunning, AgeS: 1})
			h.c.fleet.nextListAt, h.c.fleet.nextPlanAt = h.now, h.now+400*ms
		}, func(h *harness) bool { return h.c.machines["vm-9"] != nil }},
		{"a checkpoint is recorded", func(h *harness) {
			h.c.jobs.open["job-000001"].run.checkpoint.dirty = true
		}, func(h *harness) bool { return h.keys[wire.CheckpointKey("job-000001")].ModRevision > 0 }},
		{"checkpoints are read after a claim", func(h *harness) {
			h.applyTxn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
		}, func(h *harness) bool { s := h.c.ownership.shards[0]; return s.owned() && s.checkpointsLoaded }},
	} {
		for _, ids := range []int{1, 5000} {
			t.Run(fmt.Sprintf("%s, status requests about %d", tc.name, ids), func(t *testing.T) {
				h := newOwnerHarness(t, fewRequests)
				h.runOneTask()
				q := &statusRequestLoad{h: h, ids: ids}
				q.run(3 * sec)
				began := h.now
				tc.begin(h)
				for !tc.done(h) {
					q.run(100 * ms)
					if h.now > began+longestWorkWait {
						t.Fatalf("not done after %v s of status requests", longestWorkWait.Seconds())
					}
				}
			})
		}
	}
}

// TestOwnerKeyDeletionHasPriority checks that the deletion of an owner key belongs to the class of
// leases: it does not wait for any other class, even if their queues are full.
func TestOwnerKeyDeletionHasPriority(t *testing.T) {
	h := newOwnerHarness(t, fewRequests)
	for class := statestore.ClassAccept; class < statestore.ClassCount; class++ {
		for range 100 {
			h.c.queueStateRequest(class, statestore.GetKey{Key: "x"}, 5*sec, func(statestore.Reply) {})
		}
	}
	s := h.c.ownership.shards[0]
	modRevision := s.ownerEpoch
	h.run(sec) // the burst is used up
	h.c.releaseShard(s)
	h.run(200 * ms)
	if h.keys[ownerKey(0)].ModRevision == modRevision {
		t.Error("the owner key is still stored 200 ms after the release of the shard was requested")
	}
}

// stored returns the record of a job from the store; the zero value if there is none.
func (h *harness) stored(id string) (rec wire.JobRecord) {
	if kv, ok := h.keys[wire.JobKey(id)]; ok {
		if err := wire.Decode(kv.Value, &rec); err != nil {
			h.t.Fatal(err)
		}
	}
	return rec
}

// TestStatusRequestsAreFairAmongJobs checks that status requests for a job are answered even if the
// status of another job is requested more often, or the status of more jobs than can be read at
// once. The status of each of 150 jobs is requested every 2 s, and the status of one other job a
// hundred times a second.
// 150 reads take about 33 s at the minimum rate of the class of status requests; the bound is 75 s.
func TestStatusRequestsAreFairAmongJobs(t *testing.T) {
	const jobs, within = 150, 75 * sec
	h := newOwnerHarness(t, fewRequests)
	answered := map[int]bool{}
	asked := map[ReplyID]int{} // job number by reply, of the requests without an answer
	for began := h.now; h.now < began+within && len(answered) < jobs; {
		for range 2 {
			h.jobStatus(requestedJobID(jobs + 1))
		}
		step := int((h.now - began) / (20 * ms))
		for i := step % 100; i < jobs; i += 100 {
			h.jobStatus(requestedJobID(i))
			asked[h.lastReply] = i
		}
		h.run(20 * ms)
		for reply, i := range asked {
			switch h.answers[reply].Status {
			case 0:
				continue // not yet
			case 404:
				answered[i] = true
			}
			delete(asked, reply)
		}
	}
	if len(answered) < jobs {
		t.Errorf("%d of %d jobs had an answer within %v s, want all", len(answered), jobs, within.Seconds())
	}
}

// TestStatusRequestWaitsForLaterRead checks that an answer is never older than its request: a request
// that comes while a read of the same job is in flight waits for a later read.
func TestStatusRequestWaitsForLaterRead(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	h.stateDown = true // requests are held without an answer
	first := h.jobStatus("job-000777")
	second := h.jobStatus("job-000777")
	if first.Status != 0 || second.Status != 0 {
		t.Fatalf("answered %d and %d at once, want no answer yet", first.Status, second.Status)
	}
	firstReply, secondReply := h.lastReply-1, h.lastReply
	h.stateDown = false
	held := h.unansweredStateCalls
	h.unansweredStateCalls = nil
	found := false
	for _, c := range held {
		if _, ok := c.Req.(statestore.GetKey); !ok || found {
			h.handleCall(c)
			continue
		}
		found = true
		// The record is written after the read, but before the answer to the read arrives.
		h.putRecord(wire.JobKey("job-000777"), wire.NewJobRecord(new(newSubmission("job-000777", 1)), 1))
		h.answerCall(c, 404, nil)
	}
	h.run(200 * ms)
	if got := h.answers[firstReply].Status; got != 404 {
		t.Errorf("the first status request was answered %d, want the result of its read: 404", got)
	}
	if got := h.answers[secondReply].Status; got != 200 {
		t.Errorf("the status request that came after the first read was sent is answered %d, want 200", got)
	}
}

// TestCallsInFlightAreBounded checks the bounds on calls on behalf of users. If the state service or
// another controller is slow, calls accumulate until the process can't make any more. Calls for users
// stop before that, so that lease renewals, watches and messages between controllers are still sent.
func TestCallsInFlightAreBounded(t *testing.T) {
	const maxStateRequests, maxForwarded = 6, 4
	limits := func(c *Config) {
		withPeer(c)
		c.MaxStateRequests, c.MaxForwardedRequests = maxStateRequests, maxForwarded
	}
	ask := func(h *harness, id string, d micros.Micros) {
		for until := h.now + d; h.now < until; {
			for range 5 {
				h.jobStatus(id)
			}
			h.run(20 * ms)
		}
	}
	t.Run("state service", func(t *testing.T) {
		h := newOwnerHarness(t, limits)
		h.stateDown = true // requests are held without an answer
		for i := range 100 {
			h.jobStatus(requestedJobID(i))
		}
		h.run(sec)
		reads, renewals := 0, 0
		for _, c := range h.unansweredStateCalls {
			switch c.Req.(type) {
			case statestore.GetKey:
				reads++
			case statestore.RenewLease:
				renewals++
			}
		}
		if reads > maxStateRequests || renewals == 0 {
			t.Errorf("%d reads are in flight, want at most %d; %d lease renewals were sent, want some", reads, maxStateRequests, renewals)
		}
	})
	t.Run("other controller", func(t *testing.T) {
		h := newOwnerHarness(t, limits)
		h.submit(newSubmission("job-000001", 1))
		h.putRecord(ownerKey(0), wire.OwnerRecord{Label: "n-1", Incarnation: 99})
		h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateReachable: true}}}})
		h.peersDown = true
		before := len(h.jobRequests)
		ask(h, "job-000001", sec/5)
		if n := len(h.jobRequests) - before; n == 0 || n > maxForwarded {
			t.Errorf("%d requests to the other controller are in flight, want some and at most %d", n, maxForwarded)
		}
	})
}

// TestRetryAfterFitsBacklog checks the retry time for a user who is refused: it suffices to read all
// jobs that wait, and is no longer than necessary.
func TestRetryAfterFitsBacklog(t *testing.T) {
	for _, tc := range []struct {
		name        string
		waiting     int
		least, most int
	}{
		{"nothing waits", 0, 1, 1},
		{"a few", 8, 2, 3}, // at the minimum rate of 4.3 reads a second
		{"hundreds", 300, 10, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, fewRequests)
			h.stateDown = true // nothing is answered
			for i := range tc.waiting {
				h.jobStatus(requestedJobID(i))
			}
			h.jobStatus(requestedJobID(tc.waiting))
			reply := h.lastReply
			h.run(statestore.ReadTimeout + 300*ms)
			if a := h.answers[reply]; tc.waiting > 100 && (a.Status != 503 || a.RetryAfterS < tc.least || a.RetryAfterS > tc.most) {
				t.Errorf("answered %d, retry after %d s, want 503 and %d s", a.Status, a.RetryAfterS, tc.least)
			}
			if got := h.c.retryAfter(); got < tc.least || got > tc.most {
				t.Errorf("retry after %d s with %d jobs waiting, want %d to %d s", got, h.c.userReads.Records(), tc.least, tc.most)
			}
		})
	}
}

// TestSubmissionRetriesSoon checks that the retry time of a submission that can't be accepted during
// an outage does not depend on the backlog of status requests: the user tries for only a minute, and
// each try counts. A review found that with 300 unanswered status requests the retry time was 10 s
// instead of 1 s.
func TestSubmissionRetriesSoon(t *testing.T) {
	h := newOwnerHarness(t, fewRequests)
	h.stateDown, h.stateRefuses = true, true
	for i := range 300 {
		h.jobStatus(requestedJobID(i))
		h.run(20 * ms)
	}
	a := h.request(func(r ReplyID) Input { return SubmitRequest{Reply: r, Job: newSubmission("job-000002", 1)} })
	reply := h.lastReply
	h.run(2 * sec)
	if a = h.answers[reply]; a.Status != 503 || a.RetryAfterS != 1 {
		t.Errorf("the submission is answered %d, retry after %d s, want 503 and 1 s", a.Status, a.RetryAfterS)
	}
}

// TestCancelRequestRetriesSoon checks, at the job's owner, that the retry time of a cancellation that
// can't be recorded does not depend on the backlog of status requests either.
func TestCancelRequestRetriesSoon(t *testing.T) {
	h := newOwnerHarness(t, fewRequests)
	h.submit(newSubmission("job-000002", 1))
	h.stateDown, h.stateRefuses = true, true
	for i := range 100 { // short enough that the lease does not end
		h.jobStatus(requestedJobID(i))
		h.run(20 * ms)
	}
	h.cancel("job-000002")
	reply := h.lastReply
	h.run(sec)
	if a := h.answers[reply]; a.Status != 503 || a.RetryAfterS != 1 {
		t.Errorf("the cancellation is answered %d, retry after %d s, want 503 and 1 s", a.Status, a.RetryAfterS)
	}
}
