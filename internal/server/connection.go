package server

import (
	"container/list"
	"errors"
	"net/http"
	"runtime"
	"time"

	"garnethitch/internal/http1"

	"github.com/panjf2000/gnet/v2"
)

const (
	// maxHeadBytes bounds the start line and header fields of a request.
	maxHeadBytes = 8 << 10
	// maxFramingBytes bounds the bytes of a buffered request beside its body: head, chunk
	// sizes and trailers.
	maxFramingBytes = 2 * maxHeadBytes
	// maxDiscardedBytes bounds the bytes that are read and discarded of a request that was
	// refused because of its size.
	maxDiscardedBytes = 1 << 20
	// maxUnreadBytes bounds the responses buffered for a client that does not read them.
	maxUnreadBytes = 256 << 10
	// discardTimeout bounds the time for which the rest of a refused request is read and
	// discarded.
	discardTimeout = 2 * time.Second
	// requestsPerYield is the number of requests after which the event loop yields the
	// processor to other goroutines. On a single thread a backlog of heartbeats would
	// otherwise delay the renewal of the controller's lease.
	requestsPerYield = 8
)

// conn is one connection. Its fields are guarded by Server.mu.
type conn struct {
	stream         gnet.Conn
	listener       Listener
	input          []byte // received but not parsed yet
	output         []byte // responses that are not written yet
	awaitingReply  bool   // the handler has a request and has not replied yet
	receiving      bool   // receive is running and will write output
	refused        bool   // a request was too large; the rest of it is discarded
	discardedBytes int    // input discarded since the refusal
	closing        bool   // to be closed once output is written
	closed         bool
	evicted        bool          // closing to make room for another connection
	evictableEntry *list.Element // in Server.evictable; nil if the connection must not be evicted
	requestStarted time.Time     // when an incomplete request began, or a request was refused
	lastUsed       time.Time     // when the connection was opened or input last arrived
}

// receive handles input and returns the output to write now, which is valid until the next
// call. Only the event loop calls it.
func (s *Server) receive(c *conn, in []byte) ([]byte, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if c.refused {
		c.discard(in)
		return c.takeOutput()
	}
	if len(in) > 0 {
		s.recordInput(c, now)
	}
	buffered := len(c.input) > 0
	if buffered {
		if !s.bufferInput(c, in) {
			return c.takeOutput()
		}
		in = c.input
	}
	used := s.serveRequests(c, in, now)
	if !c.closing && !c.refused && !c.closed {
		s.keepUnparsed(c, in, used, buffered)
	}
	return c.takeOutput()
}

// discard drops input of a refused request. If the connection were closed immediately instead,
// it would be reset before the client has read the response.
func (c *conn) discard(in []byte) {
	c.discardedBytes += len(in)
	if c.discardedBytes > maxDiscardedBytes {
		c.closing = true
	}
}

// recordInput updates the times and the eviction order of a connection that has received input.
func (s *Server) recordInput(c *conn, now time.Time) {
	c.lastUsed = now
	if c.evictableEntry != nil {
		s.evictable.MoveToBack(c.evictableEntry)
	}
	if len(c.input) == 0 {
		c.requestStarted = now
	}
}

// bufferInput stores input that cannot be handled yet: that of an incomplete request, or of a
// request that must wait for the response to the previous one. If the input would exceed the
// bounds, bufferInput returns false and the connection will be closed.
func (s *Server) bufferInput(c *conn, in []byte) bool {
	maxConnBytes := s.cfg.MaxBodyBytes[c.listener] + maxFramingBytes
	if len(c.input)+len(in) > maxConnBytes || s.bufferedBytes+int64(len(in)) > s.cfg.MaxBufferedBytes {
		c.closing = true
		return false
	}
	s.bufferedBytes += int64(len(in))
	c.input = append(c.input, in...)
	return true
}

// keepUnparsed stores the input after the first used bytes. buffered is true if in is c.input.
func (s *Server) keepUnparsed(c *conn, in []byte, used int, buffered bool) {
	switch {
	case !buffered && used < len(in):
		s.bufferInput(c, in[used:])
	case buffered && used > 0:
		s.bufferedBytes -= int64(used)
		c.input = append(c.input[:0], in[used:]...)
		if len(c.input) == 0 {
			c.input = nil
		}
	}
}

// takeOutput returns the output to write now, and whether to close the connection after it.
func (c *conn) takeOutput() ([]byte, gnet.Action) {
	out := c.output
	c.output = nil
	if c.closing && !c.awaitingReply {
		return out, gnet.Close
	}
	return out, gnet.None
}

// serveRequests hands the requests in the input to the handler, until one is incomplete or is not
// answered immediately. It returns the number of bytes consumed.
func (s *Server) serveRequests(c *conn, in []byte, now time.Time) int {
	if c.output == nil {
		c.output = s.scratch[:0]
	}
	c.receiving = true
	used := 0
	for !c.awaitingReply && !c.closing && !c.refused && used < len(in) {
		n := s.serveRequest(c, in[used:], now)
		if n == 0 {
			break
		}
		used += n
	}
	c.receiving = false
	return used
}

// serveRequest parses one request and passes it to the handler. It returns the number of bytes
// consumed, or 0 if the request is incomplete or refused. s.mu is held on entry and on return,
// but not while the handler runs.
func (s *Server) serveRequest(c *conn, in []byte, now time.Time) int {
	msg, n, err := http1.ParseRequest(in, http1.Limits{HeadBytes: maxHeadBytes, BodyBytes: s.cfg.MaxBodyBytes[c.listener]})
	if errors.Is(err, http1.ErrIncomplete) {
		return 0
	}
	if err != nil {
		s.refuse(c, statusOf(err), now)
		return 0
	}
	c.requestStarted = now
	c.awaitingReply = true
	reply := &Reply{server: s, conn: c, closeAfter: msg.Close}
	s.mu.Unlock()
	s.cfg.Handler(Request{Listener: c.listener, Message: msg, reply: reply})
	s.handled++
	if s.handled%requestsPerYield == 0 {
		runtime.Gosched()
	}
	s.mu.Lock()
	return n
}

// refuse responds with an error status to a request that cannot be parsed. The connection is
// closed after the response. If the body is too large, further input is discarded first, until
// the client closes the connection, maxDiscardedBytes are exceeded or discardTimeout has passed.
func (s *Server) refuse(c *conn, status int, now time.Time) {
	c.output = http1.AppendResponse(c.output, status, "", nil, 0, true)
	c.refused = status == http.StatusRequestEntityTooLarge
	c.closing = !c.refused
	s.bufferedBytes -= int64(len(c.input))
	c.input = nil
	c.requestStarted = now
}

// statusOf returns the HTTP status for a parse error.
func statusOf(err error) int {
	switch {
	case errors.Is(err, http1.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, http1.ErrHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusBadRequest
}

// closeExpired closes connections that have been idle for too long, or on which a request has
// been incomplete or being discarded for too long.
func (s *Server) closeExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	for c := range s.conns {
		if s.expired(c, now) {
			c.closing = true
			_ = c.stream.Wake(nil)
		}
	}
}

// expired reports whether a connection is to be closed because it has timed out.
func (s *Server) expired(c *conn, now time.Time) bool {
	incomplete := len(c.input) > 0 && !c.awaitingReply && now.Sub(c.requestStarted) > s.cfg.RequestTimeout
	idle := !c.awaitingReply && now.Sub(c.lastUsed) > s.cfg.IdleTimeout
	discarded := c.refused && now.Sub(c.requestStarted) > discardTimeout
	return incomplete || idle || discarded
}
