package core

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Order in which requests to the state service get their turn.
const (
	prioLease = iota
	prioAccept
	prioEnd
	prioDependents
	prioFleet
	prioVersion
	prioCount
)

// maxQueued bounds each turn's queue; what comes on top fails at once.
const maxQueued = 256

type queued struct {
	req     any
	writes  float64
	timeout micros.Micros
	// queuedAt is when it was queued; it is not sent after expires.
	queuedAt, expires micros.Micros
	done              func(Result)
}

// bucket is a token bucket.
type bucket struct {
	rate, burst, level float64
	at                 micros.Micros
}

func newBucket(rate float64) bucket {
	return bucket{rate: rate, burst: max(rate, 1), level: max(rate, 1)}
}

func (b *bucket) fill(now micros.Micros) {
	if now > b.at {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// until says how long until n tokens are there (n may exceed the burst: then a
// full bucket has to do).
func (b *bucket) until(n float64) micros.Micros {
	n = min(n, b.burst)
	if b.level >= n {
		return 0
	}
	return micros.FromSeconds((n-b.level)/b.rate) + 1
}

// stateQueue keeps this node to its part of the state service's limits.
type stateQueue struct {
	requests, writes bucket
	queues           [prioCount][]queued
	counters         [prioCount]classCounters
	unsentLogged     uint64 // how many had been given up unsent when that was last logged
}

// askState queues a request to the state service. done is called exactly
// once, with status 0 if no answer came or the request was never sent.
func (c *Core) askState(prio int, req any, timeout micros.Micros, done func(Result)) {
	q := &c.stateq.queues[prio]
	if len(*q) >= maxQueued {
		c.stateq.counters[prio].rejected++
		c.later(func() { done(Result{NotSent: true}) })
		return
	}
	writes := 0.0
	if t, ok := req.(wire.Txn); ok {
		writes = float64(t.Writes())
	}
	*q = append(*q, queued{req: req, writes: writes, timeout: timeout, queuedAt: c.now, expires: c.now + timeout, done: done})
}

// drainState sends what the limits allow.
func (c *Core) drainState() {
	s := &c.stateq
	s.requests.fill(c.now)
	s.writes.fill(c.now)
	for prio := range s.queues {
		q, count := s.queues[prio], &s.counters[prio]
		sent := 0
		for _, item := range q {
			if c.now > item.expires {
				count.expired++
				done := item.done
				c.later(func() { done(Result{NotSent: true}) })
				sent++
				continue
			}
			wait := max(s.requests.until(1), s.writes.until(item.writes))
			if wait > 0 {
				c.wakeIn(wait)
				break
			}
			count.sent++
			count.longestWait = max(count.longestWait, c.now-item.queuedAt)
			s.requests.level--
			s.writes.level -= item.writes
			c.call(Call{To: ToState, Req: item.req, Timeout: item.timeout}, item.done)
			sent++
		}
		rest := copy(q, q[sent:])
		clear(q[rest:])
		s.queues[prio] = q[:rest]
		if rest > 0 {
			return // what is less urgent waits behind it
		}
	}
}

// hasSpareRequests: half of a second's requests to the state service are left, and
// nothing waits for its turn.
func (c *Core) hasSpareRequests() bool {
	q := &c.stateq
	q.requests.fill(c.now)
	for prio := range q.queues {
		if len(q.queues[prio]) > 0 {
			return false
		}
	}
	return q.requests.level >= q.requests.burst/2
}

// stateQueued says how much waits in the queues that users' requests use.
func (c *Core) stateQueued() int {
	return len(c.stateq.queues[prioAccept])
}
