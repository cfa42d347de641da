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
	// maxReadsWaiting bounds the records that wait for a read.
	maxReadsWaiting = 100
	// maxQuestions bounds the questions about one record.
	maxQuestions = 64
	// placeKept is how long a record keeps its place without being asked about: users ask
	// again every few seconds, or after the time they are given.
	placeKept = 20 * micros.Second
	// longestRetryAfter bounds, in seconds, the time after which users are to try again:
	// they give up after a minute.
	longestRetryAfter = 10
)

// question waits for a record. done is called with what the read found.
type question struct {
	askedAt micros.Micros
	done    func(Lookup)
}

// read is a record that has been asked about and has had no answer since.
type read struct {
	id          string
	since       micros.Micros // decides its turn
	lastAskedAt micros.Micros
	questions   []question // that came since the last read was sent
}

// compareTurns orders records by their turns.
func compareTurns(a, b *read) int {
	return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.id, b.id))
}

// ReadsConfig is what Reads works with.
type ReadsConfig struct {
	// Queue takes the reads, as requests of ClassQuestion.
	Queue *Queue
	// MaxRecords bounds the records that keep a place.
	MaxRecords int
	// NewRequest returns the body of the request that reads a record.
	NewRequest func(id string) any
	// Learn takes in the reply to a read and returns what it found.
	Learn func(Reply) Lookup
	// Defer runs a function once the caller of Reads has returned.
	Defer func(func())
}

// Reads coalesces reads of records on behalf of users, who may ask for more than the limits
// allow. At most one read of a record is in flight; it answers all questions that came before
// it was sent. Records have their turns in the order in which they were first asked about since
// they last had an answer, however often that is. A question that can't be answered in time is
// refused; the record keeps its place for when it is asked about again.
type Reads struct {
	config  ReadsConfig
	records map[string]*read
	// waiting have questions and no read in flight, in the order of their turns.
	waiting []*read
	// offered is the first of waiting, whose read is in the queue.
	offered *read
	// inFlight have a read that is not answered yet, and perhaps questions for the next.
	inFlight []*read
	// sweepAt is when places that nobody asks about are given up next.
	sweepAt micros.Micros
	// nextExpiry is a time before which no question expires.
	nextExpiry micros.Micros
}

// NewReads returns reads without questions.
func NewReads(config ReadsConfig) *Reads {
	return &Reads{config: config, records: map[string]*read{}}
}

// Waiting returns the number of records that wait for a read.
func (r *Reads) Waiting() int { return len(r.waiting) }

// Records returns the number of records that have been asked about and not been answered.
func (r *Reads) Records() int { return len(r.records) }

// RetryAfter returns after how many seconds a user who is refused now is to try again: when
// all records that were asked about can have been read.
func (r *Reads) RetryAfter() int {
	rate := minimumRates[ClassQuestion].requests * r.config.Queue.RequestRate()
	return min(1+int(float64(len(r.records))/rate), longestRetryAfter)
}

// Ask asks for a record. done is called once, with what the read found; at once
// if the question is refused for want of a place.
func (r *Reads) Ask(now micros.Micros, id string, done func(Lookup)) {
	record := r.records[id]
	if record == nil {
		if len(r.records) >= r.config.MaxRecords {
			done(LookupFailed)
			return
		}
		record = &read{id: id, since: now}
		r.records[id] = record
	}
	record.lastAskedAt = now
	if len(record.questions) >= maxQuestions {
		done(LookupFailed)
		return
	}
	record.questions = append(record.questions, question{askedAt: now, done: done})
	r.nextExpiry = min(r.nextExpiry, now+ReadTimeout)
	if len(record.questions) == 1 && !slices.Contains(r.inFlight, record) {
		r.awaitTurn(record)
	}
}

// awaitTurn puts a record with questions among those that wait. If these are too many, the
// questions about the last of them are refused.
func (r *Reads) awaitTurn(record *read) {
	i, _ := slices.BinarySearchFunc(r.waiting, record, compareTurns)
	r.waiting = slices.Insert(r.waiting, i, record)
	if len(r.waiting) <= maxReadsWaiting {
		return
	}
	last := r.waiting[maxReadsWaiting]
	r.waiting = r.waiting[:maxReadsWaiting]
	r.config.Queue.CountRejected(ClassQuestion, len(last.questions))
	r.refuse(last, len(last.questions))
}

// refuse refuses the n oldest questions about a record.
func (r *Reads) refuse(record *read, n int) {
	for _, refused := range record.questions[:n] {
		r.config.Defer(func() { refused.done(LookupFailed) })
	}
	record.questions = record.questions[n:]
}

// Offer queues the read whose turn it is.
func (r *Reads) Offer(now micros.Micros) {
	r.expireQuestions(now)
	r.dropUnasked(now)
	var first *read
	if len(r.waiting) > 0 {
		first = r.waiting[0]
	}
	if first == r.offered {
		return
	}
	r.config.Queue.Clear(ClassQuestion)
	r.offered = first
	if first != nil {
		r.push(first)
	}
}

// push queues the read of a record.
func (r *Reads) push(record *read) {
	var questions []question // that the read answers
	r.config.Queue.Push(ClassQuestion, Request{
		Body:      r.config.NewRequest(record.id),
		Timeout:   ReadTimeout,
		QueuedAt:  record.questions[0].askedAt,
		ExpiresAt: micros.Never,
		Sent:      func() { questions = r.sent(record) },
		Done:      func(reply Reply) { r.answered(record, questions, reply) },
	})
}

// sent takes the read of a record as sent and returns the questions that it answers.
func (r *Reads) sent(record *read) []question {
	questions := record.questions
	record.questions = nil
	if i := slices.Index(r.waiting, record); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
	r.offered = nil
	r.inFlight = append(r.inFlight, record)
	return questions
}

// answered passes on what a read found.
func (r *Reads) answered(record *read, questions []question, reply Reply) {
	r.inFlight = slices.DeleteFunc(r.inFlight, func(other *read) bool { return other == record })
	found := r.config.Learn(reply)
	switch {
	case len(record.questions) > 0:
		if found != LookupFailed {
			record.since = record.questions[0].askedAt
		}
		r.awaitTurn(record)
	case found != LookupFailed:
		delete(r.records, record.id)
	}
	for _, question := range questions {
		question.done(found)
	}
}

// expireQuestions refuses the questions that have waited for too long.
func (r *Reads) expireQuestions(now micros.Micros) {
	if now <= r.nextExpiry {
		return
	}
	r.nextExpiry = micros.Never
	for _, record := range slices.Concat(r.waiting, r.inFlight) {
		r.expireQuestionsOf(now, record)
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(record *read) bool { return len(record.questions) == 0 })
}

// expireQuestionsOf refuses the questions about a record that have waited for too long.
func (r *Reads) expireQuestionsOf(now micros.Micros, record *read) {
	expired := 0
	for expired < len(record.questions) && now > record.questions[expired].askedAt+ReadTimeout {
		expired++
	}
	r.config.Queue.CountExpired(ClassQuestion, expired)
	r.refuse(record, expired)
	if len(record.questions) > 0 {
		r.nextExpiry = min(r.nextExpiry, record.questions[0].askedAt+ReadTimeout)
	}
}

// dropUnasked gives up the places of records that nobody asks about any more.
func (r *Reads) dropUnasked(now micros.Micros) {
	if len(r.records) == 0 || now < r.sweepAt {
		return
	}
	r.sweepAt = now + placeKept/4
	for id, record := range r.records {
		unasked := len(record.questions) == 0 && now > record.lastAskedAt+placeKept
		if unasked && !slices.Contains(r.inFlight, record) {
			delete(r.records, id)
		}
	}
}
