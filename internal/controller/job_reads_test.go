package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// A shard made no progress beside users' questions (docs/incidents/2026-12-share-stood-still.md).
//
// At 4,000 machines and a state service that takes 60 requests a second, jobs waited for
// over 90 s after all faults, and one was unanswered for 78 s. Each question about a job
// without an owner takes a read of its record. The reads were in one class with
// acceptances, above all but leases, and a class with anything left in it stopped all below.
// "state requests" of seed 1: accept_sent 8,309 and accept_expired 10,715, fleet_sent 45 and
// fleet_expired 261. The deletion of the owner key was among the 261, and until it is
// applied nobody owns the shard, so that questions go on to take reads.

// questions are job status requests of users, for more jobs than can be read.
type questions struct {
	h    *harness
	next int
	ids  int // they are about so many jobs
}

// runBeside runs for a time, with two questions every 20 ms.
func (q *questions) runBeside(d micros.Micros) {
	for until := q.h.now + d; q.h.now < until; {
		for range 2 {
			q.next++
			q.h.jobStatus(questionID(q.next % q.ids))
		}
		q.h.run(20 * ms)
	}
}

func questionID(i int) string { return fmt.Sprintf("job-%06d", 700000+i) }

func fewRequests(c *Config) {
	withPeer(c)
	c.StateRPS, c.WriteRPS = 60, 20
}

// longestWorkWait is how long work of any class may wait beside questions: a record set of TxnOps
// changes at the minimum rate of its class, and what else is due.
const longestWorkWait = 10 * sec

// TestWorkBesideQuestions checks that all other work makes progress beside questions, about one job
// and about many.
func TestWorkBesideQuestions(t *testing.T) {
	for _, tc := range []struct {
		name string
		// begin starts the work once questions have been asked for a while; done reports
		// whether it is finished.
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
			h.submit(jobOf("job-000002", 1))
		}, func(h *harness) bool { return h.keys[wire.JobKey("job-000002")].ModRevision > 0 }},
		{"a machine is recorded", func(h *harness) {
			h.listed = append(h.listed, wire.ListedMachine{ID: "vm-9", Addr: "vm-9", Type: "m", Zone: "a", State: wire.MachineRunning, AgeS: 1})
			h.c.fleet.listNext, h.c.fleet.planNext = h.now, h.now+400*ms
		}, func(h *harness) bool { return h.c.machines["vm-9"] != nil }},
		{"a checkpoint is recorded", func(h *harness) {
			h.c.jobs.open["job-000001"].run.checkpoint.dirty = true
		}, func(h *harness) bool { return h.keys[wire.CheckpointKey("job-000001")].ModRevision > 0 }},
		{"checkpoints are read after a claim", func(h *harness) {
			h.txn(wire.Txn{Changes: []wire.Change{{Delete: ownerKey(0)}}})
		}, func(h *harness) bool { s := h.c.ownership.shards[0]; return s.owned() && s.checkpointsLoaded }},
	} {
		for _, ids := range []int{1, 5000} {
			t.Run(fmt.Sprintf("%s, questions about %d", tc.name, ids), func(t *testing.T) {
				h := newOwnerHarness(t, fewRequests)
				h.runOne()
				q := &questions{h: h, ids: ids}
				q.runBeside(3 * sec)
				began := h.now
				tc.begin(h)
				for !tc.done(h) {
					q.runBeside(100 * ms)
					if h.now > began+longestWorkWait {
						t.Fatalf("not done after %v s beside questions", longestWorkWait.Seconds())
					}
				}
			})
		}
	}
}

// TestLockReleaseBeforeAllElse checks that the deletion of an owner key is of the class of leases:
// it does not wait for any other class, though their queues are full.
func TestLockReleaseBeforeAllElse(t *testing.T) {
	h := newOwnerHarness(t, fewRequests)
	for class := statestore.ClassAccept; class < statestore.ClassCount; class++ {
		for range 100 {
			h.c.askState(class, statestore.GetKey{Key: "x"}, 5*sec, func(statestore.Reply) {})
		}
	}
	s := h.c.ownership.shards[0]
	modRevision := s.ownerEpoch
	h.run(sec) // the burst is used up
	h.c.releaseShard(s)
	h.run(200 * ms)
	if h.keys[ownerKey(0)].ModRevision == modRevision {
		t.Error("the owner key is still there 200 ms after the shard was to be released")
	}
}

// stored returns a job's record.
func (h *harness) stored(id string) (rec wire.JobRecord) {
	if kv, ok := h.keys[wire.JobKey(id)]; ok {
		if err := wire.Decode(kv.Value, &rec); err != nil {
			h.t.Fatal(err)
		}
	}
	return rec
}

// TestQuestionsAreFairAmongJobs checks that no job stays unanswered because another is asked about
// more often, or because more are asked about than can be read at once. Each of 150 jobs is asked
// about every 2 s, and one other a hundred times a second; 150 reads take some 33 s at the least
// part of requests of the class of questions, and the bound is 75 s.
func TestQuestionsAreFairAmongJobs(t *testing.T) {
	const jobs, within = 150, 75 * sec
	h := newOwnerHarness(t, fewRequests)
	answered := map[int]bool{}
	asked := map[ReplyID]int{} // questions without an answer, and the jobs that they are about
	for began := h.now; h.now < began+within && len(answered) < jobs; {
		for range 2 {
			h.jobStatus(questionID(jobs + 1))
		}
		step := int((h.now - began) / (20 * ms))
		for i := step % 100; i < jobs; i += 100 {
			h.jobStatus(questionID(i))
			asked[h.reply] = i
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
		t.Errorf("%d of %d jobs had an answer within %v s", len(answered), jobs, within.Seconds())
	}
}

// TestQuestionWaitsForItsOwnRead checks that an answer is never older than its question: one that
// comes while a read of the same job is in flight waits for a read of its own.
func TestQuestionWaitsForItsOwnRead(t *testing.T) {
	h := newOwnerHarness(t, withPeer)
	h.stateDown = true // what is sent is held
	first := h.jobStatus("job-000777")
	second := h.jobStatus("job-000777")
	if first.Status != 0 || second.Status != 0 {
		t.Fatalf("answered %d and %d at once", first.Status, second.Status)
	}
	firstReply, secondReply := h.reply-1, h.reply
	h.stateDown = false
	held := h.held
	h.held = nil
	found := false
	for _, c := range held {
		if _, ok := c.Req.(statestore.GetKey); !ok || found {
			h.call(c)
			continue
		}
		found = true
		h.put(wire.JobKey("job-000777"), wire.NewJobRecord(new(jobOf("job-000777", 1)), 1)) // after the read, before its answer
		h.result(c, 404, nil)
	}
	h.run(200 * ms)
	if got := h.answers[firstReply].Status; got != 404 {
		t.Errorf("the first question was answered %d, want what its read found: 404", got)
	}
	if got := h.answers[secondReply].Status; got != 200 {
		t.Errorf("the question that came after that read was sent was answered %d, want 200", got)
	}
}

// TestCallsInFlightAreBounded checks the bounds of calls for users. Where the state service or
// another controller is slow, calls pile up until the process takes no more. Those for users stop
// before, so that renewals and watches, and the controllers' own messages, are still sent.
func TestCallsInFlightAreBounded(t *testing.T) {
	const stateRequests, peerQuestions = 6, 4
	limits := func(c *Config) {
		withPeer(c)
		c.MaxStateRequests, c.MaxPeerQuestions = stateRequests, peerQuestions
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
		h.stateDown = true // what is sent is held, without an answer
		for i := range 100 {
			h.jobStatus(questionID(i))
		}
		h.run(sec)
		reads, renewals := 0, 0
		for _, c := range h.held {
			switch c.Req.(type) {
			case statestore.GetKey:
				reads++
			case statestore.RenewLease:
				renewals++
			}
		}
		if reads > stateRequests || renewals == 0 {
			t.Errorf("%d reads are in flight, want at most %d; %d renewals were sent", reads, stateRequests, renewals)
		}
	})
	t.Run("other controller", func(t *testing.T) {
		h := newOwnerHarness(t, limits)
		h.submit(jobOf("job-000001", 1))
		h.put(ownerKey(0), wire.OwnerRecord{Label: "n-1", Incarnation: 99})
		h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{ControllerState: peer.ControllerState{StateServiceOK: true}}}})
		h.peersDown = true
		before := len(h.asked)
		ask(h, "job-000001", sec/5)
		if n := len(h.asked) - before; n == 0 || n > peerQuestions {
			t.Errorf("%d questions to the other controller are in flight, want some and at most %d", n, peerQuestions)
		}
	})
}

// TestRetryAfterFitsBacklog checks that a user who is refused is to try again when all that wait
// can have been read, and soon.
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
				h.jobStatus(questionID(i))
			}
			h.jobStatus(questionID(tc.waiting))
			reply := h.reply
			h.run(statestore.ReadTimeout + 300*ms)
			if a := h.answers[reply]; tc.waiting > 100 && (a.Status != 503 || a.RetryAfterS < tc.least || a.RetryAfterS > tc.most) {
				t.Errorf("answered %d, to try again after %d s, want 503 and %d s", a.Status, a.RetryAfterS, tc.least)
			}
			if got := h.c.retryAfter(); got < tc.least || got > tc.most {
				t.Errorf("%d s with %d jobs waiting, want %d to %d s", got, h.c.reads.Records(), tc.least, tc.most)
			}
		})
	}
}

// TestSubmissionRetriesSoon checks that a submission that can't be accepted in an outage does not
// have to wait for the backlog of questions: its user tries for a minute in all, and each try
// counts. Found by review: with 300 jobs asked about in vain it was to try again after 10 s, not 1.
func TestSubmissionRetriesSoon(t *testing.T) {
	h := newOwnerHarness(t, fewRequests)
	h.stateDown, h.refused = true, true
	for i := range 300 {
		h.jobStatus(questionID(i))
		h.run(20 * ms)
	}
	a := h.ask(func(r ReplyID) Input { return SubmitRequest{Reply: r, Job: jobOf("job-000002", 1)} })
	reply := h.reply
	h.run(2 * sec)
	if a = h.answers[reply]; a.Status != 503 || a.RetryAfterS != 1 {
		t.Errorf("answered %d, to try again after %d s, want 503 and 1 s", a.Status, a.RetryAfterS)
	}
}

// TestCancelRequestRetriesSoon checks the same as TestSubmissionRetriesSoon for a cancellation that
// can't be recorded, at the job's owner.
func TestCancelRequestRetriesSoon(t *testing.T) {
	h := newOwnerHarness(t, fewRequests)
	h.submit(jobOf("job-000002", 1))
	h.stateDown, h.refused = true, true
	for i := range 100 { // not for so long that the lease is over
		h.jobStatus(questionID(i))
		h.run(20 * ms)
	}
	h.cancel("job-000002")
	reply := h.reply
	h.run(sec)
	if a := h.answers[reply]; a.Status != 503 || a.RetryAfterS != 1 {
		t.Errorf("answered %d, to try again after %d s, want 503 and 1 s", a.Status, a.RetryAfterS)
	}
}
