package controller

import (
	"testing"

	"garnethitch/internal/wire"
)

// TestSubmissionsAndStatusRequests checks the answers to submissions and status requests for known
// and unknown jobs.
func TestSubmissionsAndStatusRequests(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Teams = []Team{{Name: "t", CPUsMax: 3}, {Name: "u"}} })
	change := func(f func(*wire.Submission)) wire.Submission {
		s := newSubmission("job-000001", 2)
		f(&s)
		return s
	}
	for _, tc := range []struct {
		name string
		job  wire.Submission
		want int
	}{
		{"unknown team", change(func(s *wire.Submission) { s.Team = "x" }), 422},
		{"larger than any machine", change(func(s *wire.Submission) { s.Team = "u"; s.CPUs = 5 }), 422},
		{"larger than the team's limit", change(func(s *wire.Submission) { s.CPUs = 4 }), 422},
		{"no type allowed", change(func(s *wire.Submission) { s.Types = []string{} }), 422},
		{"unknown zone", change(func(s *wire.Submission) { s.Zone = "z" }), 422},
		{"good", change(func(s *wire.Submission) {}), 201},
		{"repeated", change(func(s *wire.Submission) {}), 200},
		{"accepted, and now of an unknown team", change(func(s *wire.Submission) { s.Team = "x" }), 200},
	} {
		if a := h.submit(tc.job); a.Status != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, a.Status, tc.want)
		}
	}
	if a := h.request(func(r ReplyID) Input {
		return SubmitRequest{Reply: r, Err: &wire.SubmissionError{ID: "job-000001", Reason: "x"}}
	}); a.Status != 200 {
		t.Errorf("a malformed repeat of an accepted submission is answered %d, want 200", a.Status)
	}
	if a := h.request(func(r ReplyID) Input { return SubmitRequest{Reply: r, Err: &wire.SubmissionError{Reason: "x"}} }); a.Status != 400 {
		t.Errorf("a malformed submission is answered %d, want 400", a.Status)
	}
	for id, want := range map[string]int{"job-000001": 200, "job-000002": 404, "nonsense": 404} {
		if a := h.jobStatus(id); a.Status != want {
			t.Errorf("status of %s: %d, want %d", id, a.Status, want)
		}
	}
	h.stateDown = true
	if a := h.submit(newSubmission("job-000003", 1)); a.Status != 0 {
		t.Errorf("answered %d while the outcome is not known, want no answer yet", a.Status)
	}
	h.run(2 * sec) // neither the write nor the read that would resolve it is answered
	for _, c := range h.unansweredStateCalls {
		h.step(Result{ID: c.ID})
	}
	h.run(2 * sec)
	for _, c := range h.unansweredStateCalls {
		h.step(Result{ID: c.ID})
	}
	if a := h.answers[h.lastReply]; a.Status != 503 || a.RetryAfterS < 1 {
		t.Errorf("with an unknown outcome: answered %d, retry after %d s; want 503 and a retry time", a.Status, a.RetryAfterS)
	}
}

// TestFullJobTable checks the bounds of the job table: a new job is refused with a retry time, a
// submission of a known job is answered as before, and a final state that was evicted from memory is
// read again.
func TestFullJobTable(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.MaxOpenJobs, c.MaxFinalJobs = 3, 2 })
	ids := []string{"job-000001", "job-000002", "job-000003", "job-000004"}
	for i, id := range ids {
		a := h.submit(newSubmission(id, 1))
		if want := 201; i < 3 && a.Status != want {
			t.Errorf("%s answered %d, want %d", id, a.Status, want)
		}
		if i == 3 && (a.Status != 429 || a.RetryAfterS < 1) {
			t.Errorf("with a full table: answered %d, retry after %d s; want 429 and a retry time", a.Status, a.RetryAfterS)
		}
	}
	if a := h.submit(newSubmission(ids[0], 1)); a.Status != 200 {
		t.Errorf("with a full table: the submission of a known job is answered %d, want 200", a.Status)
	}
	for _, id := range ids[:3] {
		if a := h.request(func(r ReplyID) Input { return CancelRequest{Reply: r, ID: id} }); a.Status != 200 {
			t.Errorf("the cancellation of %s is answered %d, want 200", id, a.Status)
		}
	}
	if n := len(h.c.jobs.finals.byID); n != 2 {
		t.Errorf("%d final states kept, want 2", n)
	}
	for _, id := range ids[:3] {
		if state := h.jobState(id); state != wire.StateCancelled {
			t.Errorf("%s is in state %q, want cancelled", id, state)
		}
	}
	if a := h.submit(newSubmission(ids[3], 1)); a.Status != 201 {
		t.Errorf("with space in the table again: answered %d, want 201", a.Status)
	}
}

// TestUnacceptableSubmissions checks that a submission that can't be accepted is answered 400 or 422
// only if its job was certainly never accepted. For an accepted job no controller answers 400 or 422,
// whatever faults occur.
func TestUnacceptableSubmissions(t *testing.T) {
	malformed := func(r ReplyID) Input {
		return SubmitRequest{Reply: r, Err: &wire.SubmissionError{ID: "job-000001", Reason: "x"}}
	}
	tooLarge := func(r ReplyID) Input {
		s := newSubmission("job-000001", 1)
		s.CPUs = 1000
		return SubmitRequest{Reply: r, Job: s}
	}
	noTeam := func(r ReplyID) Input {
		s := newSubmission("job-000001", 1)
		s.Team = "x"
		return SubmitRequest{Reply: r, Job: s}
	}
	for _, tc := range []struct {
		name  string
		setUp func(h *harness)
		ask   func(ReplyID) Input
		want  int
		state wire.JobState
	}{
		{"malformed, unknown", nil, malformed, 400, ""},
		{"fits nothing, unknown", nil, tooLarge, 422, ""},
		{"no such team, unknown", nil, noTeam, 422, ""},
		{"malformed, accepted by another controller", recordAccepted, malformed, 200, wire.StatePending},
		{"fits nothing, accepted by another controller", recordAccepted, tooLarge, 200, wire.StatePending},
		{"malformed, done and evicted from memory", recordDone, malformed, 200, wire.StateDone},
		{"fits nothing, done and evicted from memory", recordDone, tooLarge, 200, wire.StateDone},
		{"malformed, no state service", func(h *harness) { h.stateDown, h.stateRefuses = true, true }, malformed, 503, ""},
		{"fits nothing, no state service", func(h *harness) { h.stateDown, h.stateRefuses = true, true }, tooLarge, 503, ""},
		{"fits nothing, types not known", func(h *harness) { h.c.types = machineTypes{} }, tooLarge, 503, ""},
		{"cancelled though done", recordDone, func(r ReplyID) Input { return CancelRequest{Reply: r, ID: "job-000001"} }, 200, wire.StateDone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, withPeer)
			h.blockedWatchPrefix = wire.PrefixJob // the watch delivers no job to this controller
			h.run(sec)
			if tc.setUp != nil {
				tc.setUp(h)
			}
			a := h.request(tc.ask)
			b, _ := a.Body.(wire.JobAnswer)
			if a.Status != tc.want || b.State != tc.state {
				t.Errorf("answered %d %q, want %d %q", a.Status, b.State, tc.want, tc.state)
			}
			if a.Status == 503 && a.RetryAfterS < 1 {
				t.Error("503 without a retry time")
			}
		})
	}
}

// recordAccepted stores the record of an accepted job as another controller would.
func recordAccepted(h *harness) {
	sub := newSubmission("job-000001", 1)
	h.putRecord(wire.JobKey("job-000001"), wire.JobRecord{Submission: &sub, State: wire.StatePending, Tasks: 1})
}

// recordDone stores the record of a done job as another controller would.
func recordDone(h *harness) {
	h.putRecord(wire.JobKey("job-000001"), wire.JobRecord{State: wire.StateDone, Tasks: 1})
}
