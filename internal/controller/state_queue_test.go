package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"garnethitch/internal/micros"
)

// testQueue is a queue with limits, as New makes it for one of several controllers.
func testQueue(requests, writes float64) *stateQueue {
	return &stateQueue{requests: newBucket(requests), writes: newBucket(writes)}
}

func (q *stateQueue) pushTest(class requestClass, name string, writes float64, expires micros.Micros) bool {
	return q.push(class, queued{req: name, writes: writes, expires: expires})
}

// sentUntil plays time and gives what is sent, by name.
func (q *stateQueue) sentUntil(from, to micros.Micros) (names []string) {
	for now := from; now <= to; now += 10 * ms {
		for {
			if _, ok := q.expire(now); ok {
				continue
			}
			item, ok, _ := q.next(now)
			if !ok {
				break
			}
			names = append(names, item.req.(string))
		}
	}
	return names
}

// TestStateQueue: the order of requests to the state service, one rule a row.
func TestStateQueue(t *testing.T) {
	const never = micros.Never
	for _, tc := range []struct {
		name  string
		fill  func(q *stateQueue)
		until micros.Micros
		want  string
	}{
		{"by urgency, each class once while its promise is due", func(q *stateQueue) {
			for class := classCount - 1; class >= classLease; class-- {
				q.pushTest(class, classNames[class], 0, never)
			}
		}, 0, "lease accept end dependents fleet checkpoint question"},
		{"leases before all else", func(q *stateQueue) {
			q.requests.tokens = 2
			q.pushTest(classQuestion, "question", 0, never)
			for range 2 {
				q.pushTest(classLease, "lease", 0, never)
			}
		}, 0, "lease lease"},
		{"what is promised first, then by urgency", func(q *stateQueue) {
			q.requests.tokens = 4
			for range 3 {
				q.pushTest(classAccept, "accept", 0, never)
				q.pushTest(classQuestion, "question", 0, never)
			}
		}, 0, "accept question accept accept"},
		{"a renewal passes a claim that waits for the write limit", func(q *stateQueue) {
			q.writes.tokens = 0
			q.pushTest(classLease, "claim", 1, never)
			q.pushTest(classLease, "renewal", 0, never)
		}, 0, "renewal"},
		{"reads pass a transaction that waits, writes do not", func(q *stateQueue) {
			q.writes.tokens = 1
			q.pushTest(classAccept, "large", 5, never)
			q.pushTest(classEnd, "small", 1, never)
			q.pushTest(classQuestion, "question", 0, never)
		}, 0, "question"},
		{"a transaction larger than the burst goes with a full bucket", func(q *stateQueue) {
			q.writes.tokens = 0
			q.pushTest(classFleet, "large", 40, never)
			q.pushTest(classAccept, "accept", 1, never)
		}, 6 * sec, "accept large"},
		{"what has waited for too long is not sent", func(q *stateQueue) {
			q.requests.tokens = 0
			q.pushTest(classEnd, "old", 0, -1)
			q.pushTest(classEnd, "new", 0, never)
		}, sec, "new"},
		{"a burst is a second's worth, and then the rate", func(q *stateQueue) {
			for range 60 {
				q.pushTest(classEnd, "x", 0, never)
			}
		}, sec/2 + 20*ms, strings.TrimSpace(strings.Repeat("x ", 45))},
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

// TestStateQueueFull: a class whose queue is full refuses, the others do not.
func TestStateQueueFull(t *testing.T) {
	q := testQueue(30, 10)
	for range maxQueued {
		if !q.pushTest(classCheckpoint, "v", 1, micros.Never) {
			t.Fatal("refused before the queue is full")
		}
	}
	if q.pushTest(classCheckpoint, "v", 1, micros.Never) || !q.pushTest(classEnd, "e", 1, micros.Never) {
		t.Error("taken beyond the bound, or another class refused")
	}
	if got := q.counters[classCheckpoint].rejected; got != 1 {
		t.Errorf("%d counted as rejected", got)
	}
}

// stateLimits are settings under which the promises are checked: those of the deployments,
// and small ones, of one of so many controllers.
var stateLimits = []struct {
	rps, writeRPS float64
	nodes         int
	changes       float64 // of one transaction
}{
	{150, 25, 3, 8}, {150, 18, 3, 4}, {200, 40, 3, 24}, {200, 28, 3, 8}, {60, 20, 3, 8}, {60, 20, 2, 8}, {300, 80, 1, 8}, {30, 6, 5, 8},
}

// TestWorstWait: whatever the other classes hold, leases included, a request waits no longer
// than the settings say, and none of the classes goes without.
func TestWorstWait(t *testing.T) {
	for _, limits := range stateLimits {
		for class := classLease + 1; class < classCount; class++ {
			t.Run(fmt.Sprintf("%v/%s", limits, classNames[class]), func(t *testing.T) {
				part := usableFraction / float64(limits.nodes)
				q := testQueue(limits.rps*part, limits.writeRPS*part)
				most := q.worstWait(class, limits.changes)
				last, longest, sent := micros.Micros(0), micros.Micros(0), 0
				leases := 0.0
				for now := micros.Micros(0); now < 10*most; now += 10 * ms {
					if leases += q.requests.rate * leaseFraction * 0.01; leases >= 1 {
						leases--
						q.pushTest(classLease, "lease", 0, micros.Never)
					}
					for other := classLease + 1; other < classCount; other++ {
						for q.waiting(other) < 20 {
							writes := limits.changes
							if minimumRates[other].writes == 0 {
								writes = 0
							}
							q.pushTest(other, classNames[other], writes, micros.Never)
						}
					}
					for {
						item, ok, _ := q.next(now)
						if !ok {
							break
						}
						if item.req == classNames[class] {
							longest, last, sent = max(longest, now-last), now, sent+1
						}
					}
				}
				if sent < 5 || longest > most {
					t.Errorf("%d sent, with up to %.2f s between them, want at most %.2f s", sent, longest.Seconds(), most.Seconds())
				}
			})
		}
	}
}

// TestMinimumRatesFit: what is promised does not come to more than there is beside leases.
func TestMinimumRatesFit(t *testing.T) {
	var sum minimumRate
	for _, p := range minimumRates {
		sum.requests += p.requests
		sum.writes += p.writes
	}
	if sum.requests > 1-leaseFraction+eps || sum.writes > 0.9+eps || controlWatchFraction+jobWatchFraction > leaseFraction {
		t.Errorf("promised are %.2f of the requests and %.2f of the writes, watches take %.2f", sum.requests, sum.writes, controlWatchFraction+jobWatchFraction)
	}
	if slices.ContainsFunc(minimumRates[classAccept:], func(p minimumRate) bool { return p.requests <= 0 }) {
		t.Error("a class is promised nothing")
	}
}
