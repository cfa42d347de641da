package server

import (
	"sync/atomic"

	"garnethitch/internal/http1"
)

// Handler is called on the event loop's goroutine for each request, and must not block.
// It may answer the request before it returns or later.
type Handler func(Request)

// Request is a parsed request together with the means to answer it.
type Request struct {
	Listener Listener // the address that it came to
	Message  http1.Message
	reply    *Reply
}

// Reply returns the handle by which the request is answered.
func (r *Request) Reply() *Reply { return r.reply }

// ExemptFromEviction exempts the request's connection from eviction when a new connection finds
// the server full.
func (r *Request) ExemptFromEviction() {
	s := r.reply.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exemptFromEviction(r.reply.conn)
}

// Response is a response.
type Response struct {
	Status            int
	ContentType       string // of Body, if there is one
	Body              []byte
	RetryAfterSeconds int  // seconds; 0: no Retry-After header
	Close             bool // close the connection after the answer
	// CloseIfNearlyFull closes the connection after the answer if the server is crowded. It suits
	// clients that ask again only after a while: the number of their open connections
	// then follows their rate of requests and not their number.
	CloseIfNearlyFull bool
}

// Reply is the handle by which one request is answered, from any goroutine.
type Reply struct {
	server     *Server
	conn       *conn
	sent       atomic.Bool
	closeAfter bool // the client has asked for it
}

// Send answers the request. Only the first call has an effect, and none if the
// connection is closed.
func (r *Reply) Send(answer Response) {
	if r.sent.Swap(true) {
		return
	}
	s, c := r.server, r.conn
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return
	}
	closing := answer.Close || r.closeAfter || answer.CloseIfNearlyFull && s.nearlyFull()
	c.output = http1.AppendResponse(c.output, answer.Status, answer.ContentType, answer.Body, answer.RetryAfterSeconds, closing)
	c.awaitingReply = false
	if closing {
		c.closing = true
	}
	if c.receiving {
		s.scratch = c.output // append may have moved it
	} else {
		_ = c.stream.Wake(nil)
	}
}
