package statestore

import (
	"cmp"
	"slices"

	"garnethitch/internal/controller/ratelimit"
	"garnethitch/internal/micros"
)

const (
	// UsableFraction is the fraction of the state service's limits that all controllers together
	// use. The rest absorbs drift between the clocks of the service and of a controller, and
	// requests that are sent evenly but arrive in a burst.
	UsableFraction = 0.95

	// LeaseFraction is the largest fraction of a controller's request rate that ClassLease uses.
	LeaseFraction = 0.5

	// maxQueuedPerClass is the maximum number of waiting requests in a class.
	maxQueuedPerClass = 256
)

// minimumRate is the fraction of a controller's request rate and write rate that a class is
// guaranteed, regardless of what waits in more urgent classes.
type minimumRate struct{ requests, writes float64 }

// minimumRates holds the minimum rates of the classes below ClassLease. ClassLease needs none
// because it is always served first. The request fractions add up to what ClassLease leaves. The
// write fractions leave a tenth for ClassLease, because claims need few writes. Rate that a class
// does not use goes to the other classes in order of urgency.
var minimumRates = [ClassCount]minimumRate{
	ClassAccept:     {requests: 0.08, writes: 0.35},
	ClassEnd:        {requests: 0.10, writes: 0.20},
	ClassDependents: {requests: 0.04, writes: 0.05},
	ClassFleet:      {requests: 0.08, writes: 0.20},
	ClassCheckpoint: {requests: 0.05, writes: 0.10},
	ClassUserRead:   {requests: 0.15},
}

// Limits holds the rate limits and bounds of a Queue.
type Limits struct {
	// RequestRate and WriteRate are the limits of the state service for all controllers together,
	// in requests per second and in changes per second.
	RequestRate, WriteRate float64
	// Controllers is the number of controllers that share the rates.
	Controllers int
	// MaxInFlight is the maximum number of unanswered requests below ClassLease; 0 means no limit.
	MaxInFlight int
}

// Queue holds requests to the state service until they may be sent. ClassLease is served first,
// then the classes whose minimum rate is due, beginning with the one that has been due for the
// longest time, then the others in order of urgency. A transaction that is next but waits for the
// write limit holds back other transactions; reads pass it.
type Queue struct {
	requests, writes      ratelimit.Bucket
	inFlight, maxInFlight int // only the classes below ClassLease
	waiting               [ClassCount][]Request
	// dueAt is when each class is next entitled to send a request at its minimum rate.
	dueAt    [ClassCount]micros.Micros
	counters [ClassCount]classCounters
}

// NewQueue returns an empty queue for one of the controllers that share the limits.
func NewQueue(limits Limits) *Queue {
	controllers := float64(limits.Controllers)
	return &Queue{
		requests:    ratelimit.NewBucket(limits.RequestRate * UsableFraction / controllers),
		writes:      ratelimit.NewBucket(limits.WriteRate * UsableFraction / controllers),
		maxInFlight: limits.MaxInFlight,
	}
}

// StartAt sets the time from which the limits apply.
func (q *Queue) StartAt(now micros.Micros) {
	q.requests.StartAt(now)
	q.writes.StartAt(now)
}

// RequestRate returns the number of requests per second that the controller may send.
func (q *Queue) RequestRate() float64 { return q.requests.Rate() }

// WriteRate returns the number of changes per second that the controller may send.
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

// Waiting returns the number of waiting requests of a class.
func (q *Queue) Waiting(class Class) int { return len(q.waiting[class]) }

// Clear removes all waiting requests of a class without calling their Done functions.
func (q *Queue) Clear(class Class) { q.waiting[class] = nil }

// CountRejected counts n requests as rejected.
func (q *Queue) CountRejected(class Class, n int) { q.counters[class].rejected += uint64(n) }

// CountExpired counts n requests as expired.
func (q *Queue) CountExpired(class Class, n int) { q.counters[class].expired += uint64(n) }

// Empty reports whether no request is waiting.
func (q *Queue) Empty() bool {
	for class := range ClassCount {
		if q.Waiting(class) > 0 {
			return false
		}
	}
	return true
}

// HasSpareRequests reports whether no request is waiting and at least half of the request tokens
// of a full bucket are left.
func (q *Queue) HasSpareRequests(now micros.Micros) bool {
	q.requests.Refill(now)
	return q.Empty() && q.requests.Tokens() >= q.requests.Burst()/2
}

// Expire removes and returns a request that is first in its class and has expired. The caller must
// call the request's Done function.
func (q *Queue) Expire(now micros.Micros) (request Request, ok bool) {
	for class := range ClassCount {
		if waiting := q.waiting[class]; len(waiting) > 0 && now > waiting[0].ExpiresAt {
			q.CountExpired(class, 1)
			return q.remove(class, 0), true
		}
	}
	return Request{}, false
}

// Next removes and returns the request to send now. The caller sends it, calls Answered when it is
// completed or has failed, and then calls the request's Done function. If no request may be sent,
// wait is how long until one may be; wait is 0 if no request is waiting, or if nothing may be sent
// before an answer arrives.
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
	writesBlocked := false // true once a class served earlier could not send its first transaction
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

// Answered records that a sent request is completed or has failed.
func (q *Queue) Answered(request Request) {
	if request.class != ClassLease {
		q.inFlight--
	}
}

// atInFlightLimit reports whether the maximum number of requests below ClassLease is in flight.
func (q *Queue) atInFlightLimit() bool { return q.maxInFlight > 0 && q.inFlight >= q.maxInFlight }

// sendOrder returns the classes with waiting requests in the order in which they are served. It
// returns at most ClassLease while the in-flight limit is reached.
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

// firstSendable returns the index of the first request of a class that the limits allow now, or -1
// if there is none. writeWait is how long the first transaction must wait if it waits only for the
// write limit.
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

// send removes a request and takes its tokens. A request that overtakes the first request of its
// class does not use up the class's minimum rate.
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

// remove removes and returns the request at index i of a class.
func (q *Queue) remove(class Class, i int) Request {
	request := q.waiting[class][i]
	q.waiting[class] = slices.Delete(q.waiting[class], i, i+1)
	return request
}

// minimumRateInterval returns the time that the minimum rate of a class allots to a request with
// the given number of writes.
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
