package statestore

import (
	"cmp"
	"slices"

	"garnethitch/internal/controller/ratelimit"
	"garnethitch/internal/micros"
)

const (
	// UsableFraction is the part of the state service's limits that all controllers together
	// use: the clocks of the service and of a controller may drift apart, and what is sent
	// evenly may arrive in a bunch.
	UsableFraction = 0.95

	// LeaseFraction is the part of a controller's requests that ClassLease takes at most.
	LeaseFraction = 0.5

	// maxQueuedPerClass bounds the requests that wait in one class.
	maxQueuedPerClass = 256
)

// minimumRate is the least part of a controller's requests and writes that a class gets,
// whatever waits in the classes above it.
type minimumRate struct{ requests, writes float64 }

// minimumRates holds the minimum rates of the classes below ClassLease, which always goes
// first. The requests add up to what leases leave; the writes leave a tenth, since claims take
// few. A rate that a class does not use goes to the others by urgency.
var minimumRates = [ClassCount]minimumRate{
	ClassAccept:     {requests: 0.08, writes: 0.35},
	ClassEnd:        {requests: 0.10, writes: 0.20},
	ClassDependents: {requests: 0.04, writes: 0.05},
	ClassFleet:      {requests: 0.08, writes: 0.20},
	ClassCheckpoint: {requests: 0.05, writes: 0.10},
	ClassUserRead:   {requests: 0.15},
}

// Limits are what a Queue keeps to.
type Limits struct {
	// RequestRate and WriteRate are what the state service takes from all controllers
	// together, in requests and in changes a second.
	RequestRate, WriteRate float64
	// Controllers is the number of controllers that divide the rates.
	Controllers int
	// MaxInFlight bounds the requests below ClassLease that have no answer yet; 0: no bound.
	MaxInFlight int
}

// Queue holds the requests to the state service that wait for their turn. ClassLease goes
// first; then the classes whose minimum rate is due, the one due longest first; then the
// others by urgency. A transaction that has its turn and waits for the write limit holds back
// other transactions, but no reads.
type Queue struct {
	requests, writes      ratelimit.Bucket
	inFlight, maxInFlight int // of the classes below ClassLease
	waiting               [ClassCount][]Request
	// dueAt is when the minimum rate of a class is due again.
	dueAt    [ClassCount]micros.Micros
	counters [ClassCount]classCounters
}

// NewQueue returns an empty queue for one of the controllers.
func NewQueue(limits Limits) *Queue {
	controllers := float64(limits.Controllers)
	return &Queue{
		requests:    ratelimit.NewBucket(limits.RequestRate * UsableFraction / controllers),
		writes:      ratelimit.NewBucket(limits.WriteRate * UsableFraction / controllers),
		maxInFlight: limits.MaxInFlight,
	}
}

// StartAt sets the time from which on the limits are counted.
func (q *Queue) StartAt(now micros.Micros) {
	q.requests.StartAt(now)
	q.writes.StartAt(now)
}

// RequestRate returns the requests a second that the controller may send.
func (q *Queue) RequestRate() float64 { return q.requests.Rate() }

// WriteRate returns the changes a second that the controller may send.
func (q *Queue) WriteRate() float64 { return q.writes.Rate() }

// Push queues a request. It returns false if the queue of its class is full.
func (q *Queue) Push(class Class, request Request) bool {
	if q.Waiting(class) >= maxQueuedPerClass {
		q.CountRejected(class, 1)
		return false
	}
	request.class = class
	q.waiting[class] = append(q.waiting[class], request)
	return true
}

// Waiting returns the number of requests of a class that wait.
func (q *Queue) Waiting(class Class) int { return len(q.waiting[class]) }

// Clear removes all requests of a class. Their Done is not called.
func (q *Queue) Clear(class Class) { q.waiting[class] = nil }

// CountRejected counts n requests as rejected.
func (q *Queue) CountRejected(class Class, n int) { q.counters[class].rejected += uint64(n) }

// CountExpired counts n requests as expired.
func (q *Queue) CountExpired(class Class, n int) { q.counters[class].expired += uint64(n) }

// Empty reports whether no request waits.
func (q *Queue) Empty() bool {
	for class := range ClassCount {
		if q.Waiting(class) > 0 {
			return false
		}
	}
	return true
}

// HasSpareRequests reports whether no request waits and half of a second's requests are left.
func (q *Queue) HasSpareRequests(now micros.Micros) bool {
	q.requests.Refill(now)
	return q.Empty() && q.requests.Tokens() >= q.requests.Burst()/2
}

// Expire removes a request that is first in its class and has expired. The caller calls its
// Done.
func (q *Queue) Expire(now micros.Micros) (request Request, ok bool) {
	for class := range ClassCount {
		if waiting := q.waiting[class]; len(waiting) > 0 && now > waiting[0].ExpiresAt {
			q.CountExpired(class, 1)
			return q.remove(class, 0), true
		}
	}
	return Request{}, false
}

// Next removes the request that is to be sent now. The caller sends it, calls Answered when it
// is over, and then its Done. If there is none, wait is how long until there may be one; 0 if
// nothing waits, or nothing may be sent before an answer comes.
func (q *Queue) Next(now micros.Micros) (request Request, ok bool, wait micros.Micros) {
	q.requests.Refill(now)
	q.writes.Refill(now)
	order := q.sendOrder(now)
	if len(order) == 0 {
		return Request{}, false, 0
	}
	if wait := q.requests.Until(1); wait > 0 {
		return Request{}, false, wait
	}
	writesBlocked := false // for a transaction that goes before
	for _, class := range order {
		i, writeWait := q.firstSendable(class, writesBlocked)
		if writeWait > 0 && (wait == 0 || writeWait < wait) {
			wait = writeWait
		}
		if i >= 0 {
			return q.send(now, class, i), true, 0
		}
		writesBlocked = true
	}
	return Request{}, false, wait
}

// Answered notes that a request which was sent is over.
func (q *Queue) Answered(request Request) {
	if request.class != ClassLease {
		q.inFlight--
	}
}

// atInFlightLimit reports whether as many requests below ClassLease are in flight as may be.
func (q *Queue) atInFlightLimit() bool { return q.maxInFlight > 0 && q.inFlight >= q.maxInFlight }

// sendOrder returns the classes in which requests wait, in the order of their sendOrder; ClassLease
// alone while the queue is full.
func (q *Queue) sendOrder(now micros.Micros) []Class {
	var order, due, rest []Class
	if q.Waiting(ClassLease) > 0 {
		order = append(order, ClassLease)
	}
	if q.atInFlightLimit() {
		return order
	}
	for class := ClassLease + 1; class < ClassCount; class++ {
		switch {
		case q.Waiting(class) == 0:
		case q.dueAt[class] <= now:
			due = append(due, class)
		default:
			rest = append(rest, class)
		}
	}
	slices.SortStableFunc(due, func(a, b Class) int { return cmp.Compare(q.dueAt[a], q.dueAt[b]) })
	return append(append(order, due...), rest...)
}

// firstSendable returns the index of the first request of a class that the limits allow now, -1
// if there is none. blocked is how long the first transaction waits for the write limit, if it
// waits for that alone.
func (q *Queue) firstSendable(class Class, writesBlocked bool) (i int, writeWait micros.Micros) {
	for i, request := range q.waiting[class] {
		if request.Writes == 0 {
			return i, writeWait
		}
		if writesBlocked {
			continue
		}
		if writeWait = q.writes.Until(request.Writes); writeWait == 0 {
			return i, 0
		}
		writesBlocked = true
	}
	return -1, writeWait
}

// send removes a request and takes its tokens. One that passes the first of its class does not
// use up the turn of the class.
func (q *Queue) send(now micros.Micros, class Class, i int) Request {
	request := q.remove(class, i)
	if class != ClassLease {
		q.inFlight++
	}
	q.requests.Take(1)
	q.writes.Take(request.Writes)
	if i == 0 {
		q.dueAt[class] = now + q.minimumRateInterval(class, request.Writes)
	}
	count := &q.counters[class]
	count.sent++
	count.longestWait = max(count.longestWait, now-request.QueuedAt)
	return request
}

// remove takes the request at an index out of its class's queue.
func (q *Queue) remove(class Class, i int) Request {
	request := q.waiting[class][i]
	q.waiting[class] = slices.Delete(q.waiting[class], i, i+1)
	return request
}

// minimumRateInterval returns how long a request with so many writes takes at the minimum rate of its
// class.
func (q *Queue) minimumRateInterval(class Class, writes float64) micros.Micros {
	minimum := minimumRates[class]
	var seconds float64
	if minimum.requests > 0 {
		seconds = 1 / (minimum.requests * q.RequestRate())
	}
	if minimum.writes > 0 {
		seconds = max(seconds, writes/(minimum.writes*q.WriteRate()))
	}
	return micros.FromSeconds(seconds)
}
