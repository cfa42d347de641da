package faulttest

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"garnethitch/internal/wire"
)

const (
	// heldFraction of the requests of a controller that is cut off are executed after the cut.
	// The others are lost.
	heldFraction = 0.3
	// lateFraction of a controller's transactions are executed late during FaultLateWrites.
	lateFraction = 0.3
	// A late transaction is executed minLateDelay to minLateDelay+lateDelaySpread after it
	// arrived. Its connection is closed after lateConnectionTimeout.
	minLateDelay          = 200 * time.Millisecond
	lateDelaySpread       = 2000 * time.Millisecond
	lateConnectionTimeout = 2 * time.Second
)

// stateFaults are the faults of the state service that one controller sees, with their ends. The
// cluster's lock guards them.
type stateFaults struct {
	cutUntil         time.Time // no answers; some requests are executed afterwards
	refuseUntil      time.Time // status 503 for all requests but watches, which wait
	refuseJobsUntil  time.Time // status 429 for reads and watches of jobs
	delayWritesUntil time.Time // some transactions are executed late, without an answer
}

// stateProxy serves the state service to one controller, with that controller's faults.
type stateProxy struct{ node *node }

func (p *stateProxy) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	c := p.node.cluster
	c.mu.Lock()
	faults := p.node.faults
	c.mu.Unlock()
	now := time.Now()
	switch {
	case now.Before(faults.refuseUntil):
		p.refuse(rw, r, faults.refuseUntil)
	case now.Before(faults.refuseJobsUntil) && readsJobs(r):
		rw.WriteHeader(http.StatusTooManyRequests)
	case now.Before(faults.delayWritesUntil) && isTransaction(r) && c.chance(lateFraction):
		p.executeLate(r)
	default:
		p.serve(rw, r, faults.cutUntil)
	}
}

// refuse answers with status 503. Watches wait and get no answer, as in an outage.
func (p *stateProxy) refuse(rw http.ResponseWriter, r *http.Request, until time.Time) {
	if strings.HasPrefix(r.URL.Path, wire.PathWatch) {
		p.node.cluster.pause(time.Until(until))
		panic(http.ErrAbortHandler)
	}
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// executeLate executes a request after a delay, and never answers it.
func (p *stateProxy) executeLate(r *http.Request) {
	c := p.node.cluster
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	again := r.Clone(c.ctx)
	again.Body = io.NopCloser(bytes.NewReader(body))
	delay := minLateDelay + time.Duration(c.draw(int(lateDelaySpread.Milliseconds())))*time.Millisecond
	time.AfterFunc(delay, func() { c.server.ServeHTTP(discardResponse{}, again) })
	c.pause(lateConnectionTimeout)
	panic(http.ErrAbortHandler)
}

// serve passes a request on to the state service, unless the request or its answer is lost.
func (p *stateProxy) serve(rw http.ResponseWriter, r *http.Request, cutUntil time.Time) {
	c := p.node.cluster
	lost := c.plan.LostAnswerFraction > 0 && isTransaction(r) && c.chance(c.plan.LostAnswerFraction)
	if cut := time.Until(cutUntil); cut > 0 {
		held := c.chance(heldFraction) && c.pause(cut)
		if !held {
			panic(http.ErrAbortHandler)
		}
		lost = true
	}
	if lost {
		c.server.ServeHTTP(discardResponse{}, r)
		panic(http.ErrAbortHandler)
	}
	c.server.ServeHTTP(rw, r)
}

func isTransaction(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, wire.PathTxn) }

// readsJobs reports whether a request reads or watches jobs.
func readsJobs(r *http.Request) bool {
	ofKey := strings.HasPrefix(r.URL.Path, wire.PathKeys+"/"+wire.PrefixJob)
	ofPrefix := strings.HasPrefix(r.URL.Query().Get("starts"), wire.PrefixJob)
	return ofKey || ofPrefix
}

// discardResponse is a ResponseWriter that discards a lost answer.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}
