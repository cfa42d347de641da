package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// requestClass orders requests to the state service by urgency, the most urgent first.
type requestClass int

const (
	// classLease is what authority hangs on: renewals, claims, letting go of a lock, and
	// the watches and listings by which this node follows them.
	classLease requestClass = iota
	classAccept
	classEnd
	classDependents
	classFleet
	classCheckpoint
	// classQuestion is reads of job records for users, whose number nobody here bounds.
	classQuestion
	classCount
)

// classNames are the words of the log and of the metrics.
var classNames = [classCount]string{
	classLease:      "lease",
	classAccept:     "accept",
	classEnd:        "end",
	classDependents: "dependents",
	classFleet:      "fleet",
	classCheckpoint: "checkpoint",
	classQuestion:   "question",
}

// minimumRate is the least part of this node's requests and writes that a class gets, whatever
// waits in the classes above it.
type minimumRate struct{ requests, writes float64 }

// minimumRates of the classes below leases, which go first always. They add up to half of the
// requests, since leases and watches may take the other half (see watchParts), and to nine
// tenths of the writes, since claims take few. What is promised and not used goes by urgency.
var minimumRates = [classCount]minimumRate{
	classAccept:     {requests: 0.08, writes: 0.35},
	classEnd:        {requests: 0.10, writes: 0.20},
	classDependents: {requests: 0.04, writes: 0.05},
	classFleet:      {requests: 0.08, writes: 0.20},
	classCheckpoint: {requests: 0.05, writes: 0.10},
	classQuestion:   {requests: 0.15},
}

// maxQueued bounds the queue of each class; what comes on top fails at once.
const maxQueued = 256

// queued is a request that waits for its turn.
type queued struct {
	req     any
	writes  float64
	timeout micros.Micros
	// queuedAt is when it was queued; it is not sent after expires.
	queuedAt, expires micros.Micros
	// sent, if set, is called when it is sent.
	sent func()
	done func(Result)
}

// bucket is a fencing token bucket.
type bucket struct {
	rate, burst, tokens float64
	at                  micros.Micros
}

func newBucket(rate float64) bucket {
	return bucket{rate: rate, burst: max(rate, 1), tokens: max(rate, 1)}
}

func (b *bucket) refill(now micros.Micros) {
	if now > b.at {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// until says how long until n tokens are there (n may exceed the burst: then a
// full bucket has to do).
func (b *bucket) until(n float64) micros.Micros {
	n = min(n, b.burst)
	if b.tokens >= n {
		return 0
	}
	return micros.FromSeconds((n-b.tokens)/b.rate) + 1
}

// stateQueue keeps this node to its part of the state service's limits, and divides that
// among the classes: leases first; then a class whose promise is due, the one due longest
// first; then by urgency. A transaction that has its turn and waits for the write limit
// holds back other writes, but no reads. Where answers are slow, the requests under way are
// bounded, leases excepted.
type stateQueue struct {
	requests, writes bucket
	// underWay counts the requests beside leases that are not answered yet, mostUnderWay
	// bounds them; 0: no bound.
	underWay, mostUnderWay int
	queues                 [classCount][]queued
	// dueAt is when the promise to a class is due again: after each request, by the
	// time that the request takes of what the class is promised.
	dueAt        [classCount]micros.Micros
	counters     [classCount]classCounters
	unsentLogged uint64 // how many had been given up unsent when that was last logged
}

// push queues a request; false if the queue of its class is full.
func (q *stateQueue) push(class requestClass, item queued) bool {
	if len(q.queues[class]) >= maxQueued {
		q.counters[class].rejected++
		return false
	}
	q.queues[class] = append(q.queues[class], item)
	return true
}

// waiting is how many requests of a class wait.
func (q *stateQueue) waiting(class requestClass) int { return len(q.queues[class]) }

// full: as many requests beside leases are under way as may be.
func (q *stateQueue) full() bool { return q.mostUnderWay > 0 && q.underWay >= q.mostUnderWay }

// clear takes off all requests of a class; nobody is told.
func (q *stateQueue) clear(class requestClass) { q.queues[class] = nil }

// empty: no request waits.
func (q *stateQueue) empty() bool {
	for class := range classCount {
		if q.waiting(class) > 0 {
			return false
		}
	}
	return true
}

// expire takes off a request that stands first in its class and has waited for too long.
func (q *stateQueue) expire(now micros.Micros) (item queued, ok bool) {
	for class := range classCount {
		if queue := q.queues[class]; len(queue) > 0 && now > queue[0].expires {
			q.counters[class].expired++
			return q.remove(class, 0), true
		}
	}
	return queued{}, false
}

// next takes off the request that is to be sent now. If there is none, wait says how long
// until there may be; 0 if nothing waits, or nothing may go before an answer comes.
func (q *stateQueue) next(now micros.Micros) (item queued, ok bool, wait micros.Micros) {
	q.requests.refill(now)
	q.writes.refill(now)
	order := q.order(now)
	if len(order) == 0 {
		return queued{}, false, 0
	}
	if wait := q.requests.until(1); wait > 0 {
		return queued{}, false, wait
	}
	writesHeld := false // for a transaction that goes before
	for _, class := range order {
		i, blocked := q.firstSendable(class, writesHeld)
		if blocked > 0 && (wait == 0 || blocked < wait) {
			wait = blocked
		}
		if i >= 0 {
			return q.send(now, class, i), true, 0
		}
		writesHeld = true
	}
	return queued{}, false, wait
}

// order lists the classes in which something waits, in the order of their turns; leases
// alone while as much else is under way as may be.
func (q *stateQueue) order(now micros.Micros) []requestClass {
	var order, due, rest []requestClass
	if q.waiting(classLease) > 0 {
		order = append(order, classLease)
	}
	if q.full() {
		return order
	}
	for class := classLease + 1; class < classCount; class++ {
		switch {
		case len(q.queues[class]) == 0:
		case q.dueAt[class] <= now:
			due = append(due, class)
		default:
			rest = append(rest, class)
		}
	}
	slices.SortStableFunc(due, func(a, b requestClass) int { return cmp.Compare(q.dueAt[a], q.dueAt[b]) })
	return append(append(order, due...), rest...)
}

// firstSendable gives the place of the request of a class that the limits allow now, -1 if
// there is none; blocked is how long the first one waits for the write limit, if it waits
// for that alone. A read does not wait behind a transaction that does.
func (q *stateQueue) firstSendable(class requestClass, writesHeld bool) (i int, blocked micros.Micros) {
	for i, item := range q.queues[class] {
		if item.writes == 0 {
			return i, blocked
		}
		if writesHeld {
			continue
		}
		if blocked = q.writes.until(item.writes); blocked == 0 {
			return i, 0
		}
		writesHeld = true
	}
	return -1, blocked
}

// send takes a request off its queue and pays for it. What passes the first of its class
// leaves that one's turn as it is.
func (q *stateQueue) send(now micros.Micros, class requestClass, i int) queued {
	item := q.remove(class, i)
	if class != classLease {
		q.underWay++
		done := item.done
		item.done = func(res Result) {
			q.underWay--
			done(res)
		}
	}
	q.requests.tokens--
	q.writes.tokens -= item.writes
	if i == 0 {
		q.dueAt[class] = now + q.turnaround(class, item.writes)
	}
	count := &q.counters[class]
	count.sent++
	count.longestWait = max(count.longestWait, now-item.queuedAt)
	return item
}

func (q *stateQueue) remove(class requestClass, i int) queued {
	item := q.queues[class][i]
	q.queues[class] = slices.Delete(q.queues[class], i, i+1)
	return item
}

// turnaround is how long a request with so many writes takes of what its class is promised.
func (q *stateQueue) turnaround(class requestClass, writes float64) micros.Micros {
	p := minimumRates[class]
	var seconds float64
	if p.requests > 0 {
		seconds = 1 / (p.requests * q.requests.rate)
	}
	if p.writes > 0 {
		seconds = max(seconds, writes/(p.writes*q.writes.rate))
	}
	return micros.FromSeconds(seconds)
}

// leaseFraction is the part of the requests that leases and watches take at most.
const leaseFraction = 0.5

// worstWait is how long the first request of a class below leases waits at most, whatever
// the other classes hold, if no transaction has more than so many changes: until its class
// is due again, and for one request of each other class that is due before.
func (q *stateQueue) worstWait(class requestClass, changes float64) micros.Micros {
	if minimumRates[class].writes == 0 {
		changes = 0 // reads wait for no writes
	}
	writers := 0.0
	for _, p := range minimumRates {
		if p.writes > 0 {
			writers++
		}
	}
	requests := micros.FromSeconds(float64(classCount) / (q.requests.rate * (1 - leaseFraction)))
	return q.turnaround(class, changes) + requests + micros.FromSeconds(writers*changes/q.writes.rate)
}

// askState queues a request to the state service. done is called exactly
// once, with status 0 if no answer came or the request was never sent.
func (c *Controller) askState(class requestClass, req any, timeout micros.Micros, done func(Result)) {
	item := queued{req: req, timeout: timeout, queuedAt: c.now, expires: c.now + timeout, done: done}
	if txn, ok := req.(wire.Txn); ok {
		item.writes = float64(txn.Writes())
	}
	if !c.stateQueue.push(class, item) {
		c.later(func() { done(Result{NotSent: true}) })
	}
}

// drainState sends what the limits allow.
func (c *Controller) drainState() {
	for {
		c.offerRead()
		if item, ok := c.stateQueue.expire(c.now); ok {
			c.later(func() { item.done(Result{NotSent: true}) })
			continue
		}
		item, ok, wait := c.stateQueue.next(c.now)
		if !ok {
			if wait > 0 {
				c.wakeIn(wait)
			}
			return
		}
		if item.sent != nil {
			item.sent()
		}
		c.call(Call{To: ToState, Req: item.req, Timeout: item.timeout}, item.done)
	}
}

// hasSpareRequests: half of a second's requests to the state service are left, and
// nothing waits for its turn.
func (c *Controller) hasSpareRequests() bool {
	q := &c.stateQueue
	q.requests.refill(c.now)
	return q.empty() && len(c.reads.waiting) == 0 && q.requests.tokens >= q.requests.burst/2
}
