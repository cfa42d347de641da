package controller

import "garnethitch/internal/micros"

// Metrics of the requests to the state service, by class of urgency.

// RequestClassMetrics counts what became of one class of requests to the state service.
type RequestClassMetrics struct {
	Class string
	// Depth is how many wait, Oldest for how long the first of them has.
	Depth  int
	Oldest micros.Micros
	// Sent went out, Expired had waited for too long by their turn, and Rejected found the
	// queue full: the last two were never sent.
	Sent, Expired, Rejected uint64
	// LongestWait is the longest that one which was sent had waited.
	LongestWait micros.Micros
}

// classCounters is what is counted of one class since the start.
type classCounters struct {
	sent, expired, rejected uint64
	longestWait             micros.Micros
}

// StateRequests gives the metrics of the requests to the state service, the most urgent
// class first.
func (c *Controller) StateRequests() []RequestClassMetrics {
	out := make([]RequestClassMetrics, 0, classCount)
	for class, queue := range c.stateQueue.queues {
		count := c.stateQueue.counters[class]
		m := RequestClassMetrics{
			Class: classNames[class], Depth: len(queue),
			Sent: count.sent, Expired: count.expired, Rejected: count.rejected, LongestWait: count.longestWait,
		}
		if len(queue) > 0 {
			m.Oldest = c.now - queue[0].queuedAt
		}
		if requestClass(class) == classQuestion {
			m.Depth = len(c.reads.waiting) // of which one is queued
		}
		out = append(out, m)
	}
	return out
}

// logStateRequests logs the metrics, for all to see while requests are given up unsent.
func (c *Controller) logStateRequests() {
	level, unsent := Debug, uint64(0)
	var args []any
	for _, m := range c.StateRequests() {
		unsent += m.Expired + m.Rejected
		if m.Sent+m.Expired+m.Rejected == 0 && m.Depth == 0 {
			continue
		}
		args = append(args, m.Class+"_sent", m.Sent, m.Class+"_waiting", m.Depth, m.Class+"_oldest_ms", m.Oldest.Millis(),
			m.Class+"_longest_ms", m.LongestWait.Millis(), m.Class+"_expired", m.Expired, m.Class+"_rejected", m.Rejected)
	}
	if unsent > c.stateQueue.unsentLogged {
		c.stateQueue.unsentLogged = unsent
		level = Info
	}
	c.log(level, "state requests", args...)
}
