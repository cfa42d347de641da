package statestore

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"garnethitch/internal/controller/ratelimit"
	"garnethitch/internal/micros"
)

// testQueue returns an empty queue with the given rates, in requests and changes per second.
func testQueue(requests, writes float64) *Queue {
	return &Queue{requests: ratelimit.NewBucket(requests), writes: ratelimit.NewBucket(writes)}
}

// setTokens sets the tokens that a full bucket has left.
func setTokens(b *ratelimit.Bucket, tokens float64) { b.Take(b.Tokens() - tokens) }

// pushTest queues a request whose body is the given name.
func (q *Queue) pushTest(class Class, name string, writes float64, expires micros.Micros) bool {
	return q.Push(class, Request{Body: name, Writes: writes, ExpiresAt: expires})
}

// sentUntil returns the names of the requests that are sent in the given time range.
func (q *Queue) sentUntil(from, to micros.Micros) (names []string) {
	for now := from; now <= to; now += 10 * micros.Millisecond {
		for {
			if _, ok := q.Expire(now); ok {
				continue
			}
			request, ok, _ := q.Next(now)
			if !ok {
				break
			}
			names = append(names, request.Body.(string))
		}
	}
	return names
}

// TestQueueOrder checks the order in which requests are sent. Each case covers one rule.
func TestQueueOrder(t *testing.T) {
	const never = micros.Never
	for _, tc := range []struct {
		name  string
		fill  func(q *Queue)
		until micros.Micros
		want  string
	}{
		{"by urgency, each class once while its minimum rate is due", func(q *Queue) {
			for class := ClassCount - 1; class >= ClassLease; class-- {
				q.pushTest(class, classNames[class], 0, never)
			}
		}, 0, "lease accept end dependents fleet checkpoint question"},
		{"leases before all else", func(q *Queue) {
			setTokens(&q.requests, 2)
			q.pushTest(ClassUserRead, "question", 0, never)
			for range 2 {
				q.pushTest(ClassLease, "lease", 0, never)
			}
		}, 0, "lease lease"},
		{"minimum rates first, then by urgency", func(q *Queue) {
			setTokens(&q.requests, 4)
			for range 3 {
				q.pushTest(ClassAccept, "accept", 0, never)
				q.pushTest(ClassUserRead, "question", 0, never)
			}
		}, 0, "accept question accept accept"},
		{"a renewal passes a claim that waits for the write limit", func(q *Queue) {
			setTokens(&q.writes, 0)
			q.pushTest(ClassLease, "claim", 1, never)
			q.pushTest(ClassLease, "renewal", 0, never)
		}, 0, "renewal"},
		{"reads pass a transaction that waits, writes do not", func(q *Queue) {
			setTokens(&q.writes, 1)
			q.pushTest(ClassAccept, "large", 5, never)
			q.pushTest(ClassEnd, "small", 1, never)
			q.pushTest(ClassUserRead, "question", 0, never)
		}, 0, "question"},
		{"a transaction larger than the burst is sent once the bucket is full", func(q *Queue) {
			setTokens(&q.writes, 0)
			q.pushTest(ClassFleet, "large", 40, never)
			q.pushTest(ClassAccept, "accept", 1, never)
		}, 6 * micros.Second, "accept large"},
		{"an expired request is not sent", func(q *Queue) {
			setTokens(&q.requests, 0)
			q.pushTest(ClassEnd, "old", 0, -1)
			q.pushTest(ClassEnd, "new", 0, never)
		}, micros.Second, "new"},
		{"one second of requests at once, then at the rate", func(q *Queue) {
			for range 60 {
				q.pushTest(ClassEnd, "x", 0, never)
			}
		}, micros.Second/2 + 20*micros.Millisecond, strings.TrimSpace(strings.Repeat("x ", 45))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := testQueue(30, 10)
			tc.fill(q)
			if got := strings.Join(q.sentUntil(0, tc.until), " "); got != tc.want {
				t.Errorf("sent %q, want %q", got, tc.want)
			}
		})
	}
}

// TestQueueFull checks that a class whose queue is full rejects requests while other classes still
// accept them.
func TestQueueFull(t *testing.T) {
	q := testQueue(30, 10)
	for range maxQueuedPerClass {
		if !q.pushTest(ClassCheckpoint, "v", 1, micros.Never) {
			t.Fatal("rejected before the queue is full")
		}
	}
	if q.pushTest(ClassCheckpoint, "v", 1, micros.Never) || !q.pushTest(ClassEnd, "e", 1, micros.Never) {
		t.Error("accepted beyond the bound, or another class rejected")
	}
	if got := q.counters[ClassCheckpoint].rejected; got != 1 {
		t.Errorf("%d counted as rejected, want 1", got)
	}
}

// worstWait returns an upper bound of the time that the first request of a class below ClassLease
// waits, regardless of what the other classes hold, if no transaction has more than the given
// number of changes. The request waits until its class is due again, and then for one request of
// each other class that is due earlier.
func (q *Queue) worstWait(class Class, changes float64) micros.Micros {
	if minimumRates[class].writes == 0 {
		changes = 0 // reads do not wait for the write limit
	}
	writers := 0.0
	for _, minimum := range minimumRates {
		if minimum.writes > 0 {
			writers++
		}
	}
	requests := micros.FromSeconds(float64(ClassCount) / (q.RequestRate() * (1 - LeaseFraction)))
	return q.minimumRateInterval(class, changes) + requests + micros.FromSeconds(writers*changes/q.WriteRate())
}

// stateLimits holds limits under which the minimum rates are checked: the limits of real
// deployments, and small limits that are shared by the given number of controllers.
var stateLimits = []struct {
	rps, writeRPS float64
	nodes         int
	changes       float64 // of one transaction
}{
	{150, 25, 3, 8}, {150, 18, 3, 4}, {200, 40, 3, 24}, {200, 28, 3, 8}, {60, 20, 3, 8}, {60, 20, 2, 8}, {300, 80, 1, 8}, {30, 6, 5, 8},
}

// TestWorstWait checks that no request waits longer than worstWait and that every class is served,
// while all other classes, including ClassLease, always have requests waiting.
func TestWorstWait(t *testing.T) {
	for _, limits := range stateLimits {
		for class := ClassLease + 1; class < ClassCount; class++ {
			t.Run(fmt.Sprintf("%v/%s", limits, classNames[class]), func(t *testing.T) {
				share := UsableFraction / float64(limits.nodes)
				q := testQueue(limits.rps*share, limits.writeRPS*share)
				bound := q.worstWait(class, limits.changes)
				last, longest, sent := micros.Micros(0), micros.Micros(0), 0
				leases := 0.0
				for now := micros.Micros(0); now < 10*bound; now += 10 * micros.Millisecond {
					if leases += q.RequestRate() * LeaseFraction * 0.01; leases >= 1 {
						leases--
						q.pushTest(ClassLease, "lease", 0, micros.Never)
					}
					for other := ClassLease + 1; other < ClassCount; other++ {
						for q.Waiting(other) < 20 {
							writes := limits.changes
							if minimumRates[other].writes == 0 {
								writes = 0
							}
							q.pushTest(other, classNames[other], writes, micros.Never)
						}
					}
					for {
						request, ok, _ := q.Next(now)
						if !ok {
							break
						}
						if request.Body == classNames[class] {
							longest, last, sent = max(longest, now-last), now, sent+1
						}
					}
				}
				if sent < 5 || longest > bound {
					t.Errorf("%d sent, with up to %.2f s between them, want at most %.2f s", sent, longest.Seconds(), bound.Seconds())
				}
			})
		}
	}
}

// TestMinimumRatesFit checks that the minimum rates add up to no more than ClassLease leaves.
func TestMinimumRatesFit(t *testing.T) {
	const roundingError = 1e-9
	var sum minimumRate
	for _, minimum := range minimumRates {
		sum.requests += minimum.requests
		sum.writes += minimum.writes
	}
	if sum.requests > 1-LeaseFraction+roundingError || sum.writes > 0.9+roundingError {
		t.Errorf("minimum rates add up to %.2f of the requests and %.2f of the writes", sum.requests, sum.writes)
	}
	if slices.ContainsFunc(minimumRates[ClassAccept:], func(minimum minimumRate) bool { return minimum.requests <= 0 }) {
		t.Error("a class has no minimum rate of requests")
	}
}
