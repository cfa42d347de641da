package controller

import (
	"fmt"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// A shard stood still beside users' questions (docs/incidents/2026-12-share-stood-still.md).
//
// At 4,000 machines and a state service that takes 60 requests a second, jobs waited for
// over 90 s after all faults, and one was unanswered for 78 s. Each question about a job
// for which nobody speaks takes a read of its record. The reads stood in one class with
// acceptances, above all but leases, and a class with anything left in it stopped all below.
// "state requests" of seed 1: accept_sent 8,309 and accept_expired 10,715, fleet_sent 45 and
// fleet_expired 261. The deletion of the owner key was among the 261, and until it is
// carried out nobody speaks for the shard, so that questions go on to take reads.

// questions are polls from users, more than can be read.
type questions struct {
	h    *harness
	next int
	ids  int // they are about so many jobs
}

// beside lets time pass, with two questions every 20 ms.
func (q *questions) beside(d micros.Micros) {
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

// goesOnWithin is how long work of any class may wait beside questions: a record set of TxnOps
// changes at the least part of the writes that its class is promised, and what else is due.
const goesOnWithin = 10 * sec

// What is not a question goes on beside questions, about one job and about many.
func TestWorkBesideQuestions(t *testing.T) {
	for _, tc := range []struct {
		name string
		// begin starts the work once questions have been asked for a while; done tells
		// whether it is through.
		begin func(h *harness)
		done  func(h *harness) bool
	}{
		{"an owner key is deleted", func(h *harness) {
			h.c.releaseShard(h.c.ownership.shards[0])
		}, func(h *harness) bool {
			return h.keys[ownerKey(0)].ModRevision != h.c.ownership.shards[0].ownerEpoch || !h.c.ownership.shards[0].releasing
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
		{"a Version is recorded", func(h *harness) {
			h.c.jobs.open["job-000001"].run.checkpoint.dirty = true
		}, func(h *harness) bool { return h.keys[wire.CheckpointKey("job-000001")].ModRevision > 0 }},
		{"Versions are read after a claim", func(h *harness) {
			h.txn(wire.Txn{Then: []wire.Change{{Delete: ownerKey(0)}}})
		}, func(h *harness) bool { s := h.c.ownership.shards[0]; return s.active && s.checkpointsLoaded }},
	} {
		for _, ids := range []int{1, 5000} {
			t.Run(fmt.Sprintf("%s, questions about %d", tc.name, ids), func(t *testing.T) {
				h := meet(t, fewRequests)
				h.runOne()
				q := &questions{h: h, ids: ids}
				q.beside(3 * sec)
				began := h.now
				tc.begin(h)
				for !tc.done(h) {
					q.beside(100 * ms)
					if h.now > began+goesOnWithin {
						t.Fatalf("not done after %v s beside questions", goesOnWithin.Seconds())
					}
				}
			})
		}
	}
}

// The deletion of an owner key goes with leases: it does not wait for a turn of any other
// class, though their queues are full of work of their own.
func TestLockReleaseBeforeAllElse(t *testing.T) {
	h := meet(t, fewRequests)
	for class := classAccept; class < classCount; class++ {
		for range 100 {
			h.c.askState(class, GetKey{Key: "x"}, 5*sec, func(Result) {})
		}
	}
	s := h.c.ownership.shards[0]
	modRevision := s.ownerEpoch
	h.run(sec) // the burst is used up
	h.c.releaseShard(s)
	h.run(200 * ms)
	if h.keys[ownerKey(0)].ModRevision == modRevision {
		t.Error("the owner key still stands 200 ms after the share was to be handed back")
	}
}

// stored is a job's record.
func (h *harness) stored(id string) (rec wire.JobRecord) {
	if kv, ok := h.keys[wire.JobKey(id)]; ok {
		if err := wire.Decode(kv.Value, &rec); err != nil {
			h.t.Fatal(err)
		}
	}
	return rec
}

// No job stays unanswered because another is asked about more often, or because more are
// asked about than can be read at once. Each of 150 jobs is asked about every 2 s, and one
// other a hundred times a second; 150 reads take some 33 s at the least part of requests
// that reads are promised, and the stated time is 75 s.
func TestQuestionsAreFairAmongJobs(t *testing.T) {
	const jobs, within = 150, 75 * sec
	h := meet(t, fewRequests)
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

// An answer is never older than its question: one that comes while a read of the same job
// is on its way waits for a read of its own.
func TestQuestionWaitsForItsOwnRead(t *testing.T) {
	h := meet(t, withPeer)
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
		if _, ok := c.Req.(GetKey); !ok || found {
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

// Where the state service or another controller is slow, calls pile up until the process
// takes no more. Those for users stop before, so that renewals and watches, and what
// controllers tell each other, still go out.
func TestCallsUnderWayAreBounded(t *testing.T) {
	const stateCalls, peerAsks = 6, 4
	limits := func(c *Config) {
		withPeer(c)
		c.MaxStateRequests, c.MaxPeerQuestions = stateCalls, peerAsks
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
		h := meet(t, limits)
		h.stateDown = true // what is sent is held, without an answer
		for i := range 100 {
			h.jobStatus(questionID(i))
		}
		h.run(sec)
		reads, renewals := 0, 0
		for _, c := range h.held {
			switch c.Req.(type) {
			case GetKey:
				reads++
			case RenewLease:
				renewals++
			}
		}
		if reads > stateCalls || renewals == 0 {
			t.Errorf("%d reads are under way, want at most %d; %d renewals were sent", reads, stateCalls, renewals)
		}
	})
	t.Run("other controller", func(t *testing.T) {
		h := meet(t, limits)
		h.submit(jobOf("job-000001", 1))
		h.put(ownerKey(0), wire.OwnerRecord{Label: "n-1", Incarnation: 99})
		h.step(PeerRequest{Reply: 900, Req: peer.Request{From: "n-1", Status: &peer.Status{About: peer.About{StateOK: true}}}})
		h.peersDown = true
		before := len(h.asked)
		ask(h, "job-000001", sec/5)
		if n := len(h.asked) - before; n == 0 || n > peerAsks {
			t.Errorf("%d questions are under way to the other controller, want some and at most %d", n, peerAsks)
		}
	})
}

// Who is refused is told to come back when all that wait can have been read, and before long.
func TestRetryAfterFitsBacklog(t *testing.T) {
	for _, tc := range []struct {
		name        string
		waiting     int
		least, most int
	}{
		{"nothing waits", 0, 1, 1},
		{"a few", 8, 2, 3}, // 4.3 reads a second are promised
		{"hundreds", 300, longestRetryAfter, longestRetryAfter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := meet(t, fewRequests)
			h.stateDown = true // nothing is answered
			for i := range tc.waiting {
				h.jobStatus(questionID(i))
			}
			h.jobStatus(questionID(tc.waiting))
			reply := h.reply
			h.run(readTimeout + 300*ms)
			if a := h.answers[reply]; tc.waiting > 100 && (a.Status != 503 || a.RetryAfterS < tc.least || a.RetryAfterS > tc.most) {
				t.Errorf("answered %d, to come back after %d s, want 503 and %d s", a.Status, a.RetryAfterS, tc.least)
			}
			if got := h.c.retryAfter(); got < tc.least || got > tc.most {
				t.Errorf("%d s with %d jobs waiting, want %d to %d s", got, len(h.c.reads.byJob), tc.least, tc.most)
			}
		})
	}
}

// A submission that can't be taken in an outage is not told to wait for the backlog of
// questions: its user tries for a minute in all, and each try counts. Found by reading once more:
// with 300 jobs asked about in vain it was told to come back after 10 s, not 1.
func TestSubmissionRetriesSoon(t *testing.T) {
	h := meet(t, fewRequests)
	h.stateDown, h.refused = true, true
	for i := range 300 {
		h.jobStatus(questionID(i))
		h.run(20 * ms)
	}
	a := h.ask(func(r ReplyID) Input { return SubmitRequest{Reply: r, Job: jobOf("job-000002", 1)} })
	reply := h.reply
	h.run(2 * sec)
	if a = h.answers[reply]; a.Status != 503 || a.RetryAfterS != 1 {
		t.Errorf("answered %d, to come back after %d s, want 503 and 1 s", a.Status, a.RetryAfterS)
	}
}

// Nor is a cancellation that can't be recorded: the same, of the job's owner.
func TestCancelRequestRetriesSoon(t *testing.T) {
	h := meet(t, fewRequests)
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
		t.Errorf("answered %d, to come back after %d s, want 503 and 1 s", a.Status, a.RetryAfterS)
	}
}
