package statestore

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
)

const (
	// ReadTimeout is how long a caller waits for the read to be sent, and how long the read then
	// waits for its answer. Users wait for two seconds.
	ReadTimeout = 900 * micros.Millisecond
	// maxRecordsWaiting is the maximum number of records that wait for a read.
	maxRecordsWaiting = 100
	// maxWaitersPerRecord is the maximum number of callers that wait for the same record.
	maxWaitersPerRecord = 64
	// recordRetention is how long a record keeps its place in the order of reads without a new
	// request for it. Users repeat a request every few seconds, or after the Retry-After time.
	recordRetention = 20 * micros.Second
	// maxRetryAfterSeconds is the longest time, in seconds, after which users are asked to retry.
	// Users give up after a minute.
	maxRetryAfterSeconds = 10
)

// waiter is a caller that waits for a record. done is called with the result of the read.
type waiter struct {
	requestedAt micros.Micros
	done        func(Lookup)
}

// recordRead is a record that has been requested and has not been answered since.
type recordRead struct {
	id              string
	waitingSince    micros.Micros // determines the order of reads
	lastRequestedAt micros.Micros
	waiters         []waiter // callers that came after the last read was sent
}

// compareReadOrder orders records by the time since which they have been waiting, then by ID.
func compareReadOrder(a, b *recordRead) int {
	return cmp.Or(cmp.Compare(a.waitingSince, b.waitingSince), cmp.Compare(a.id, b.id))
}

// ReadCoalescerConfig holds the dependencies and bounds of a ReadCoalescer.
type ReadCoalescerConfig struct {
	// Queue receives the reads as requests of ClassUserRead.
	Queue *Queue
	// MaxRecords is the maximum number of records that keep a place in the order of reads.
	MaxRecords int
	// NewRequest returns the body of the request that reads the record with the given ID.
	NewRequest func(id string) any
	// HandleReply processes the reply to a read and returns its result.
	HandleReply func(Reply) Lookup
	// Defer runs a function after the current call into ReadCoalescer has returned.
	Defer func(func())
}

// ReadCoalescer merges reads of the same record on behalf of users, who may send more requests
// than the limits of the state service allow. At most one read of a record is in flight; it
// answers all callers that came before it was sent. Records are read in the order in which they
// were first requested since their last answer, regardless of how often they are requested. A
// caller that cannot be answered in time is refused, but the record keeps its place in the order
// for the next request.
type ReadCoalescer struct {
	config  ReadCoalescerConfig
	records map[string]*recordRead
	// waiting holds the records that have waiters and no read in flight, in the order of their
	// reads.
	waiting []*recordRead
	// queued is the record whose read is in the queue. It was first in waiting when it was queued.
	queued *recordRead
	// inFlight holds the records whose read has not been answered yet. They may have waiters for
	// the next read.
	inFlight []*recordRead
	// sweepAt is when records that are no longer requested are dropped next.
	sweepAt micros.Micros
	// nextExpiry is a lower bound of the time at which the next waiter expires.
	nextExpiry micros.Micros
}

// NewReadCoalescer returns a ReadCoalescer without waiters.
func NewReadCoalescer(config ReadCoalescerConfig) *ReadCoalescer {
	return &ReadCoalescer{config: config, records: map[string]*recordRead{}}
}

// Waiting returns the number of records that wait for a read.
func (r *ReadCoalescer) Waiting() int { return len(r.waiting) }

// Records returns the number of records that have been requested and not been answered.
func (r *ReadCoalescer) Records() int { return len(r.records) }

// RetryAfter returns the number of seconds after which a user who is refused now should retry. By
// then all requested records can have been read, unless that takes longer than
// maxRetryAfterSeconds.
func (r *ReadCoalescer) RetryAfter() int {
	rate := minimumRates[ClassUserRead].requests * r.config.Queue.RequestRate()
	return min(1+int(float64(len(r.records))/rate), maxRetryAfterSeconds)
}

// Read requests a record. done is called exactly once with the result of the read. If a bound on
// records or waiters is reached, or ReadTimeout passes before the read is sent, done is called with
// LookupFailed. That may happen before Read returns.
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

// addWaiting adds a record with waiters to the records that wait for a read. If that exceeds
// maxRecordsWaiting, the waiters of the last record are refused.
func (r *ReadCoalescer) addWaiting(record *recordRead) {
	i, _ := slices.BinarySearchFunc(r.waiting, record, compareReadOrder)
	r.waiting = slices.Insert(r.waiting, i, record)
	if len(r.waiting) <= maxRecordsWaiting {
		return
	}
	last := r.waiting[maxRecordsWaiting]
	r.waiting = r.waiting[:maxRecordsWaiting]
	r.config.Queue.CountRejected(ClassUserRead, len(last.waiters))
	r.refuseOldest(last, len(last.waiters))
}

// refuseOldest refuses the n oldest waiters of a record.
func (r *ReadCoalescer) refuseOldest(record *recordRead, n int) {
	for _, refused := range record.waiters[:n] {
		r.config.Defer(func() { refused.done(LookupFailed) })
	}
	record.waiters = record.waiters[n:]
}

// QueueNext expires waiters, drops records that are no longer requested, and queues the read of
// the record that is first in order.
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

// push adds the read of a record to the request queue.
func (r *ReadCoalescer) push(record *recordRead) {
	var waiters []waiter // answered by this read
	r.config.Queue.Push(ClassUserRead, Request{
		Body:      r.config.NewRequest(record.id),
		Timeout:   ReadTimeout,
		QueuedAt:  record.waiters[0].requestedAt,
		ExpiresAt: micros.Never,
		Sent:      func() { waiters = r.readSent(record) },
		Done:      func(reply Reply) { r.readAnswered(record, waiters, reply) },
	})
}

// readSent records that the read of a record was sent, and returns the waiters that it answers.
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

// readAnswered processes the reply to a read and passes the result to the waiters.
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

// expireWaiters refuses all waiters that have waited longer than ReadTimeout.
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

// expireWaitersOf refuses the waiters of a record that have waited longer than ReadTimeout.
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

// dropAbandoned drops records that have no waiters and no read in flight, and that have not been
// requested for recordRetention.
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
