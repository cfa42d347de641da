package server

import (
	"sync/atomic"

	"garnethitch/internal/http1"
)

// Handler handles a request. It is called on the event loop's goroutine and must not block. It
// may reply to the request before it returns or later.
type Handler func(Request)

// Request is a parsed request together with the handle for replying to it.
type Request struct {
	Listener Listener // the address at which the request arrived
	Message  http1.Message
	reply    *Reply
}

// Reply returns the handle for replying to the request.
func (r *Request) Reply() *Reply { return r.reply }

// ExemptFromEviction exempts the request's connection from being closed to make room for a new
// connection when the server is full.
func (r *Request) ExemptFromEviction() {
	s := r.reply.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exemptFromEviction(r.reply.conn)
}

// Response is the response to a request.
type Response struct {
	Status            int
	ContentType       string // media type of Body; not sent without a body
	Body              []byte
	RetryAfterSeconds int  // 0: no Retry-After header
	Close             bool // close the connection after the response
	// CloseIfNearlyFull closes the connection after the response if the server is nearly full.
	// It suits clients that send their next request only after a while: the number of their
	// open connections then depends on their request rate and not on their number.
	CloseIfNearlyFull bool
}

// Reply is the handle for replying to one request. It may be used from any goroutine.
type Reply struct {
	server     *Server
	conn       *conn
	sent       atomic.Bool
	closeAfter bool // the client has asked to close the connection
}

// Send sends the response to the request. Only the first call has an effect. If the connection
// is already closed, Send does nothing.
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
		s.scratch = c.output // append may have reallocated the buffer
	} else {
		_ = c.stream.Wake(nil)
	}
}
