package controller

import (
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// newStateReads returns the reader of job records for user requests.
func (c *Controller) newStateReads() *statestore.ReadCoalescer {
	return statestore.NewReadCoalescer(statestore.ReadCoalescerConfig{
		Queue:       c.stateQueue,
		MaxRecords:  c.cfg.MaxOpenJobs,
		NewRequest:  func(id string) any { return statestore.GetKey{Key: wire.JobKey(id)} },
		HandleReply: c.applyJobRead,
		Defer:       c.deferToStepEnd,
	})
}

// queueStateRequest queues a request to the state service. done is called exactly once. If the queue
// is full or the request expires in it, the reply passed to done has NotSent set.
func (sc *stepContext) queueStateRequest(class statestore.Class, body any, timeout micros.Micros, done func(statestore.Reply)) {
	request := statestore.Request{
		Body:      body,
		Timeout:   timeout,
		QueuedAt:  sc.now,
		ExpiresAt: sc.now + timeout,
		Done:      done,
	}
	if txn, ok := body.(wire.Txn); ok {
		request.Writes = float64(txn.Writes())
	}
	if !sc.stateQueue.Push(class, request) {
		sc.deferToStepEnd(func() { done(statestore.Reply{NotSent: true}) })
	}
}

// sendQueuedStateRequests sends as many queued requests to the state service as the limits allow,
// and drops the expired ones.
func (c *Controller) sendQueuedStateRequests() {
	for {
		c.userReads.QueueNext(c.now)
		if expired, ok := c.stateQueue.Expire(c.now); ok {
			c.deferToStepEnd(func() { expired.Done(statestore.Reply{NotSent: true}) })
			continue
		}
		request, ok, wait := c.stateQueue.Next(c.now)
		if !ok {
			if wait > 0 {
				c.wakeIn(wait)
			}
			return
		}
		c.sendStateRequest(request)
	}
}

// sendStateRequest sends a request to the state service.
func (sc *stepContext) sendStateRequest(request statestore.Request) {
	if request.Sent != nil {
		request.Sent()
	}
	sc.sendCall(Call{To: ToState, Req: request.Body, Timeout: request.Timeout}, func(r Result) {
		sc.stateQueue.Answered(request)
		request.Done(statestore.Reply{Status: r.Status, Body: r.Body, NotSent: r.NotSent})
	})
}

// hasSpareRequests reports whether no request to the state service is waiting and at least half of a
// second's requests are unused.
func (c *Controller) hasSpareRequests() bool {
	return c.userReads.Waiting() == 0 && c.stateQueue.HasSpareRequests(c.now)
}

// readJobForUser reads a job's record on behalf of a user.
func (c *Controller) readJobForUser(id string, done func(statestore.Lookup)) {
	c.userReads.Read(c.now, id, done)
}

// retryAfter returns the Retry-After time in seconds for a user whose request is refused now.
func (c *Controller) retryAfter() int { return c.userReads.RetryAfter() }

// StateRequests returns the metrics of the requests to the state service by class, the most urgent
// class first.
func (c *Controller) StateRequests() []statestore.ClassMetrics {
	metrics := c.stateQueue.Metrics(c.now)
	// At most one of the waiting reads is in the queue.
	metrics[statestore.ClassUserRead].Depth = c.userReads.Waiting()
	return metrics
}

// logStateRequests logs the metrics of all classes that were used. The level is Info if requests were
// dropped unsent since the last line, and Debug otherwise.
func (c *Controller) logStateRequests() {
	level, unsent := Debug, uint64(0)
	var args []any
	for _, m := range c.StateRequests() {
		unsent += m.Expired + m.Rejected
		if m.Sent+m.Expired+m.Rejected == 0 && m.Depth == 0 {
			continue
		}
		class := m.Class.String()
		args = append(args, class+"_sent", m.Sent, class+"_waiting", m.Depth, class+"_oldest_ms", m.OldestWait.Millis(),
			class+"_longest_ms", m.LongestWait.Millis(), class+"_expired", m.Expired, class+"_rejected", m.Rejected)
	}
	if unsent > c.unsentRequestsLogged {
		c.unsentRequestsLogged = unsent
		level = Info
	}
	c.log(level, "state requests", args...)
}
