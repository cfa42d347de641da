package statestore

import (
	"net/http"
	"testing"

	"garnethitch/internal/micros"
)

// newTestReadCoalescer returns a ReadCoalescer and its queue, which lets 100 requests through at
// once.
func newTestReadCoalescer(maxRecords int) (*ReadCoalescer, *Queue) {
	q := testQueue(100, 10)
	return NewReadCoalescer(ReadCoalescerConfig{
		Queue:       q,
		MaxRecords:  maxRecords,
		NewRequest:  func(id string) any { return id },
		HandleReply: lookupByStatus,
		Defer:       func(f func()) { f() },
	}), q
}

// lookupByStatus derives the result of a read from the HTTP status of the reply alone.
func lookupByStatus(r Reply) Lookup {
	switch r.Status {
	case http.StatusOK:
		return LookupFound
	case http.StatusNotFound:
		return LookupMissing
	}
	return LookupFailed
}

// sendNext sends the read of the record that is first in order.
func sendNext(t *testing.T, r *ReadCoalescer, q *Queue, now micros.Micros) Request {
	t.Helper()
	r.QueueNext(now)
	request, ok, _ := q.Next(now)
	if !ok {
		t.Fatal("no read is sent")
	}
	request.Sent()
	return request
}

// TestReadCoalescerMergesReads checks that a read answers all callers that came before it was
// sent, and none that came later.
func TestReadCoalescerMergesReads(t *testing.T) {
	r, q := newTestReadCoalescer(10)
	var answers []string
	ask := func(name string) {
		r.Read(0, "a", func(Lookup) { answers = append(answers, name) })
	}
	ask("first")
	ask("second")
	read := sendNext(t, r, q, 0)
	ask("late")
	r.QueueNext(0)
	if _, ok, _ := q.Next(0); ok {
		t.Error("a second read is sent while the first is in flight")
	}
	q.Answered(read)
	read.Done(Reply{Status: 200})
	if len(answers) != 2 || answers[0] != "first" || answers[1] != "second" {
		t.Fatalf("answered %q, want first and second", answers)
	}
	read = sendNext(t, r, q, 0)
	q.Answered(read)
	read.Done(Reply{Status: 404})
	if len(answers) != 3 || answers[2] != "late" {
		t.Errorf("answered %q, want late at the end", answers)
	}
	if r.Records() != 0 {
		t.Errorf("%d records are kept after their answers", r.Records())
	}
}

// TestReadCoalescerOrder checks that records are read in the order in which they were first
// requested, and keep their place while they have no answer.
func TestReadCoalescerOrder(t *testing.T) {
	r, q := newTestReadCoalescer(10)
	ask := func(now micros.Micros, id string) { r.Read(now, id, func(Lookup) {}) }
	ask(0, "old")
	late := ReadTimeout + 1
	ask(late-2, "new")
	r.QueueNext(late) // the first request for old has expired
	ask(late, "old")
	if read := sendNext(t, r, q, late); read.Body != "old" {
		t.Errorf("read first is %v, want old", read.Body)
	}
	if read := sendNext(t, r, q, late); read.Body != "new" {
		t.Errorf("read second is %v, want new", read.Body)
	}
}

// TestReadCoalescerBounds checks that a caller beyond any of the bounds is refused. Refusals because
// too many records wait, or because the time is over, must be counted.
func TestReadCoalescerBounds(t *testing.T) {
	refused := func(r *ReadCoalescer, now micros.Micros, id string) bool {
		status := Lookup(-1)
		r.Read(now, id, func(got Lookup) { status = got })
		return status == LookupFailed
	}
	t.Run("records", func(t *testing.T) {
		r, _ := newTestReadCoalescer(2)
		if refused(r, 0, "a") || refused(r, 0, "b") || !refused(r, 0, "c") {
			t.Error("want only the third record refused")
		}
	})
	t.Run("waiters of a record", func(t *testing.T) {
		r, _ := newTestReadCoalescer(2)
		for range maxWaitersPerRecord {
			if refused(r, 0, "a") {
				t.Fatal("refused within the bound")
			}
		}
		if !refused(r, 0, "a") {
			t.Error("accepted beyond the bound")
		}
	})
	t.Run("records that wait", func(t *testing.T) {
		r, q := newTestReadCoalescer(2 * maxRecordsWaiting)
		for i := range maxRecordsWaiting {
			if refused(r, micros.Micros(i), string(rune('a'+i))) {
				t.Fatal("refused within the bound")
			}
		}
		if !refused(r, micros.Second, "last") {
			t.Error("accepted beyond the bound")
		}
		if got := q.Metrics(0)[ClassUserRead].Rejected; got != 1 {
			t.Errorf("%d counted as rejected, want 1", got)
		}
	})
	t.Run("time", func(t *testing.T) {
		r, q := newTestReadCoalescer(2)
		status := Lookup(-1)
		r.Read(0, "a", func(got Lookup) { status = got })
		if r.QueueNext(ReadTimeout); status != -1 {
			t.Error("refused before the timeout")
		}
		if r.QueueNext(ReadTimeout + 1); status != LookupFailed {
			t.Errorf("found %v after the timeout, want no answer", status)
		}
		if got := q.Metrics(0)[ClassUserRead].Expired; got != 1 {
			t.Errorf("%d counted as expired, want 1", got)
		}
		if r.QueueNext(ReadTimeout + 2 + recordRetention); r.Records() != 0 {
			t.Errorf("%d records are kept although nobody requests them", r.Records())
		}
	})
}
