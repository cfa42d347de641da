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
	// maxFramingBytes bounds what a buffered request takes beyond its body: head, chunk
	// sizes and trailers.
	maxFramingBytes = 2 * maxHeadBytes
	// maxDiscardedBytes bounds what is read and dropped of a request that is refused for
	// its size.
	maxDiscardedBytes = 1 << 20
	// maxUnreadBytes bounds the answers that a client has asked for and does not read.
	maxUnreadBytes = 256 << 10
	// discardTimeout is how long the rest of a refused request is read and dropped.
	discardTimeout = 2 * time.Second
	// requestsPerYield is the number of requests after which other goroutines get the
	// processor. On a single thread a backlog of heartbeats would otherwise delay the
	// renewal of the controller's own lease.
	requestsPerYield = 8
)

// conn is one connection, guarded by its server's lock.
type conn struct {
	stream         gnet.Conn
	listener       Listener
	input          []byte // input that is not yet parsed
	output         []byte // answers that are not yet written
	awaitingReply  bool   // a request is with the handler
	receiving      bool   // receive is running and will write out
	refused        bool   // a request was too large; the rest of it is dropped
	discardedBytes int    // input dropped since then
	closing        bool   // to be closed once out is written
	closed         bool
	evicted        bool          // closing to let another connection in
	evictableEntry *list.Element // in Server.evictable; nil if it must not be evicted
	requestStarted time.Time     // when the first byte of an incomplete request came
	lastUsed       time.Time
}

// receive handles input and returns what is to be written now, which is valid until
// the next call. Only the event loop calls it.
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

// discard drops input of a refused request. Closing at once would reset the connection
// before the client has read the answer.
func (c *conn) discard(in []byte) {
	c.discardedBytes += len(in)
	if c.discardedBytes > maxDiscardedBytes {
		c.closing = true
	}
}

func (s *Server) recordInput(c *conn, now time.Time) {
	c.lastUsed = now
	if c.evictableEntry != nil {
		s.evictable.MoveToBack(c.evictableEntry)
	}
	if len(c.input) == 0 {
		c.requestStarted = now
	}
}

// bufferInput keeps input of an incomplete request, or of one that must wait for the
// answer to the one before it. It returns false, and has the connection closed, if
// that would exceed the bounds.
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

// keepUnparsed keeps the input after the first used bytes. If buffered, in is the
// connection's own buffer.
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

// takeOutput returns what is to be written now, and whether to close after it.
func (c *conn) takeOutput() ([]byte, gnet.Action) {
	out := c.output
	c.output = nil
	if c.closing && !c.awaitingReply {
		return out, gnet.Close
	}
	return out, gnet.None
}

// serveRequests hands on the requests in the input, until one is incomplete or waits
// for its answer. It returns the number of bytes that they took.
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

// serveRequest parses one request and hands it to the handler. It returns the number
// of bytes that the request took, 0 if it is incomplete or refused. The lock is held
// on entry and on return, but not while the handler runs.
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

// refuse answers a request that cannot be parsed and has the connection closed.
func (s *Server) refuse(c *conn, status int, now time.Time) {
	c.output = http1.AppendResponse(c.output, status, "", nil, 0, true)
	c.refused = status == http.StatusRequestEntityTooLarge
	c.closing = !c.refused
	s.bufferedBytes -= int64(len(c.input))
	c.input = nil
	c.requestStarted = now
}

// statusOf returns the status that answers a request with a parse error.
func statusOf(err error) int {
	switch {
	case errors.Is(err, http1.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, http1.ErrHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusBadRequest
}

// closeExpired closes connections that are idle, or whose request is incomplete or
// being discarded, for too long.
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

func (s *Server) expired(c *conn, now time.Time) bool {
	incomplete := len(c.input) > 0 && !c.awaitingReply && now.Sub(c.requestStarted) > s.cfg.RequestTimeout
	idle := !c.awaitingReply && now.Sub(c.lastUsed) > s.cfg.IdleTimeout
	discarded := c.refused && now.Sub(c.requestStarted) > discardTimeout
	return incomplete || idle || discarded
}
