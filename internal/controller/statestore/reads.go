package statestore

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
)

const (
	// ReadTimeout is how long a question may wait for its read to be sent, and the read for
	// its answer. Users wait for two seconds.
	ReadTimeout = 900 * micros.Millisecond
	// maxRecordsWaiting bounds the records that wait for a read.
	maxRecordsWaiting = 100
	// maxWaitersPerRecord bounds the questions about one record.
	maxWaitersPerRecord = 64
	// recordRetention is how long a record keeps its place without being asked about: users ask
	// again every few seconds, or after the time they are given.
	recordRetention = 20 * micros.Second
	// maxRetryAfterSeconds bounds, in seconds, the time after which users are to try again:
	// they give up after a minute.
	maxRetryAfterSeconds = 10
)

// waiter waits for a record. done is called with what the read found.
type waiter struct {
	requestedAt micros.Micros
	done        func(Lookup)
}

// recordRead is a record that has been asked about and has had no answer since.
type recordRead struct {
	id              string
	waitingSince    micros.Micros // decides its turn
	lastRequestedAt micros.Micros
	waiters         []waiter // that came since the last read was sent
}

// compareTurns orders records by their turns.
func compareTurns(a, b *recordRead) int {
	return cmp.Or(cmp.Compare(a.waitingSince, b.waitingSince), cmp.Compare(a.id, b.id))
}

// ReadCoalescerConfig is what Reads works with.
type ReadCoalescerConfig struct {
	// Queue takes the reads, as requests of ClassQuestion.
	Queue *Queue
	// MaxRecords bounds the records that keep a place.
	MaxRecords int
	// NewRequest returns the body of the request that reads a record.
	NewRequest func(id string) any
	// HandleReply takes in the reply to a read and returns what it found.
	HandleReply func(Reply) Lookup
	// Defer runs a function once the caller of Reads has returned.
	Defer func(func())
}

// ReadCoalescer coalesces reads of records on behalf of users, who may ask for more than the limits
// allow. At most one read of a record is in flight; it answers all questions that came before
// it was sent. Records have their turns in the order in which they were first asked about since
// they last had an answer, however often that is. A question that can't be answered in time is
// refused; the record keeps its place for when it is asked about again.
type ReadCoalescer struct {
	config  ReadCoalescerConfig
	records map[string]*recordRead
	// waiting have questions and no read in flight, in the order of their turns.
	waiting []*recordRead
	// queued is the first of waiting, whose read is in the queue.
	queued *recordRead
	// inFlight have a read that is not answered yet, and perhaps questions for the next.
	inFlight []*recordRead
	// sweepAt is when places that nobody asks about are given up next.
	sweepAt micros.Micros
	// nextExpiry is a time before which no question expires.
	nextExpiry micros.Micros
}

// NewReadCoalescer returns reads without questions.
func NewReadCoalescer(config ReadCoalescerConfig) *ReadCoalescer {
	return &ReadCoalescer{config: config, records: map[string]*recordRead{}}
}

// Waiting returns the number of records that wait for a read.
func (r *ReadCoalescer) Waiting() int { return len(r.waiting) }

// Records returns the number of records that have been asked about and not been answered.
func (r *ReadCoalescer) Records() int { return len(r.records) }

// RetryAfter returns after how many seconds a user who is refused now is to try again: when
// all records that were asked about can have been read.
func (r *ReadCoalescer) RetryAfter() int {
	rate := minimumRates[ClassUserRead].requests * r.config.Queue.RequestRate()
	return min(1+int(float64(len(r.records))/rate), maxRetryAfterSeconds)
}

// Read asks for a record. done is called once, with what the read found; at once
// if the question is refused for want of a place.
func (r *ReadCoalescer) Read(now micros.Micros, id string, done func(Lookup)) {
	record := r.records[id]
	if record == nil {
		if len(r.records) >= r.config.MaxRecords {
			done(LookupFailed)
			return
		}
		record = &recordRead{id: id, waitingSince: now}
		r.records[id] = record
	}
	record.lastRequestedAt = now
	if len(record.waiters) >= maxWaitersPerRecord {
		done(LookupFailed)
		return
	}
	record.waiters = append(record.waiters, waiter{requestedAt: now, done: done})
	r.nextExpiry = min(r.nextExpiry, now+ReadTimeout)
	if len(record.waiters) == 1 && !slices.Contains(r.inFlight, record) {
		r.addWaiting(record)
	}
}

// addWaiting puts a record with questions among those that wait. If these are too many, the
// questions about the last of them are refused.
func (r *ReadCoalescer) addWaiting(record *recordRead) {
	i, _ := slices.BinarySearchFunc(r.waiting, record, compareTurns)
	r.waiting = slices.Insert(r.waiting, i, record)
	if len(r.waiting) <= maxRecordsWaiting {
		return
	}
	last := r.waiting[maxRecordsWaiting]
	r.waiting = r.waiting[:maxRecordsWaiting]
	r.config.Queue.CountRejected(ClassUserRead, len(last.waiters))
	r.refuseOldest(last, len(last.waiters))
}

// refuseOldest refuses the n oldest questions about a record.
func (r *ReadCoalescer) refuseOldest(record *recordRead, n int) {
	for _, refused := range record.waiters[:n] {
		r.config.Defer(func() { refused.done(LookupFailed) })
	}
	record.waiters = record.waiters[n:]
}

// QueueNext queues the read whose turn it is.
func (r *ReadCoalescer) QueueNext(now micros.Micros) {
	r.expireWaiters(now)
	r.dropAbandoned(now)
	var first *recordRead
	if len(r.waiting) > 0 {
		first = r.waiting[0]
	}
	if first == r.queued {
		return
	}
	r.config.Queue.Clear(ClassUserRead)
	r.queued = first
	if first != nil {
		r.push(first)
	}
}

// push queues the read of a record.
func (r *ReadCoalescer) push(record *recordRead) {
	var waiters []waiter // that the read answers
	r.config.Queue.Push(ClassUserRead, Request{
		Body:      r.config.NewRequest(record.id),
		Timeout:   ReadTimeout,
		QueuedAt:  record.waiters[0].requestedAt,
		ExpiresAt: micros.Never,
		Sent:      func() { waiters = r.readSent(record) },
		Done:      func(reply Reply) { r.readAnswered(record, waiters, reply) },
	})
}

// readSent takes the read of a record as readSent and returns the questions that it answers.
func (r *ReadCoalescer) readSent(record *recordRead) []waiter {
	waiters := record.waiters
	record.waiters = nil
	if i := slices.Index(r.waiting, record); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
	r.queued = nil
	r.inFlight = append(r.inFlight, record)
	return waiters
}

// readAnswered passes on what a read found.
func (r *ReadCoalescer) readAnswered(record *recordRead, waiters []waiter, reply Reply) {
	r.inFlight = slices.DeleteFunc(r.inFlight, func(other *recordRead) bool { return other == record })
	found := r.config.HandleReply(reply)
	switch {
	case len(record.waiters) > 0:
		if found != LookupFailed {
			record.waitingSince = record.waiters[0].requestedAt
		}
		r.addWaiting(record)
	case found != LookupFailed:
		delete(r.records, record.id)
	}
	for _, waiter := range waiters {
		waiter.done(found)
	}
}

// expireWaiters refuses the questions that have waited for too long.
func (r *ReadCoalescer) expireWaiters(now micros.Micros) {
	if now <= r.nextExpiry {
		return
	}
	r.nextExpiry = micros.Never
	for _, record := range slices.Concat(r.waiting, r.inFlight) {
		r.expireWaitersOf(now, record)
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(record *recordRead) bool { return len(record.waiters) == 0 })
}

// expireWaitersOf refuses the questions about a record that have waited for too long.
func (r *ReadCoalescer) expireWaitersOf(now micros.Micros, record *recordRead) {
	expired := 0
	for expired < len(record.waiters) && now > record.waiters[expired].requestedAt+ReadTimeout {
		expired++
	}
	r.config.Queue.CountExpired(ClassUserRead, expired)
	r.refuseOldest(record, expired)
	if len(record.waiters) > 0 {
		r.nextExpiry = min(r.nextExpiry, record.waiters[0].requestedAt+ReadTimeout)
	}
}

// dropAbandoned gives up the places of records that nobody asks about any more.
func (r *ReadCoalescer) dropAbandoned(now micros.Micros) {
	if len(r.records) == 0 || now < r.sweepAt {
		return
	}
	r.sweepAt = now + recordRetention/4
	for id, record := range r.records {
		unasked := len(record.waiters) == 0 && now > record.lastRequestedAt+recordRetention
		if unasked && !slices.Contains(r.inFlight, record) {
			delete(r.records, id)
		}
	}
}
