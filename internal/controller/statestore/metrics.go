package statestore

import "garnethitch/internal/micros"

// ClassMetrics holds the metrics of the requests of one class.
type ClassMetrics struct {
	Class Class
	// Depth is the number of waiting requests. OldestWait is how long the first of them has been
	// waiting.
	Depth      int
	OldestWait micros.Micros
	// Sent counts the requests that were sent, Expired those that waited too long, and Rejected
	// those that found the queue full. Expired and rejected requests were never sent.
	Sent, Expired, Rejected uint64
	// LongestWait is the longest time that a sent request had spent in the queue.
	LongestWait micros.Micros
}

// classCounters counts the requests of one class since the start.
type classCounters struct {
	sent, expired, rejected uint64
	longestWait             micros.Micros
}

// Metrics returns the metrics of all classes, the most urgent class first.
func (q *Queue) Metrics(now micros.Micros) []ClassMetrics {
	metrics := make([]ClassMetrics, 0, ClassCount)
	for class := range ClassCount {
		count := q.counters[class]
		m := ClassMetrics{
			Class:       class,
			Depth:       q.Waiting(class),
			Sent:        count.sent,
			Expired:     count.expired,
			Rejected:    count.rejected,
			LongestWait: count.longestWait,
		}
		if m.Depth > 0 {
			m.OldestWait = now - q.waiting[class][0].QueuedAt
		}
		metrics = append(metrics, m)
	}
	return metrics
}
