// Package server serves HTTP/1.1 on gnet: it parses requests, hands them to a
// handler and writes the answers, which may come later and from any goroutine.
// Connections, buffers and waiting times are bounded.
//
// gnet is the nearest kin of evio, which spends two calls of epoll_ctl and one of
// epoll_wait on each answer: an answer given at once is written at once here.
// docs/account.md has the counts.
package server

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"garnethitch/internal/http1"
	"github.com/panjf2000/gnet/v2"
)

// Listener numbers the addresses that a server listens on.
type Listener int

// Request is one parsed request with the way to answer it.
type Request struct {
	Listener Listener
	Msg      http1.Message
	reply    *Reply
}

// Reply returns the handle by which the request is answered, once.
func (r *Request) Reply() *Reply { return r.reply }

// Answer is a response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	RetryAfterS int
	Close       bool
	// Spare closes the connection if few places are left: whoever asks again only
	// after a while needs no kept one, and the number open at a time then follows
	// the rate of requests, not the number of clients.
	Spare bool
}

// Handler is called on the serving goroutine for each request; it must not
// block. The answer may be given before or after it returns.
type Handler func(Request)

// Config of a server.
type Config struct {
	Addrs    []string // IP:port, in the order of Listener numbers
	MaxConns int
	MaxBody  []int         // by Listener
	MaxHeld  int64         // bytes of unparsed input held over all connections
	Half     time.Duration // a request must arrive whole within this
	Idle     time.Duration // a connection may be without a request for this
	Log      *slog.Logger
	Handler  Handler
	Now      func() time.Time
}

const (
	maxHead  = 8 << 10
	maxDrain = 1 << 20
	// maxUnread bounds the answers that a client has asked for and does not read.
	maxUnread = 256 << 10
)

// yieldEvery is after how many requests others get their turn. With one running
// thread a backlog of hundreds of reports would else keep the renewal of our own
// lease from being written, and its answer from being read.
const yieldEvery = 8

// evictions is how many connections may be on their way out to make room for
// new ones. They hold their sockets until then, so MaxConns and these must fit.
const evictions = 32

// Sockets is the most that a server with so many connections holds open.
func Sockets(maxConns int) int { return maxConns + evictions }

// Server is the running state.
type Server struct {
	gnet.BuiltinEventEngine
	cfg     Config
	stop    atomic.Bool
	handled uint         // requests; serving goroutine only
	open    atomic.Int64 // len(conns), for answers given elsewhere

	mu    sync.Mutex // guards all that follows, and every conn
	held  int64
	conns map[*conn]struct{}
	// loose are the connections that give way when there is no place left, the
	// longest unused first: all that Keep was not called for.
	loose    *list.List
	evicting int
	scratch  []byte // for answers given at once; they are copied where they can't be sent whole
	index    map[string]Listener
}

// conn is one connection, guarded by its server's lock.
type conn struct {
	ev       gnet.Conn
	in       []byte // an incomplete request
	out      []byte
	waiting  bool // a request is with the handler
	inData   bool // the serving goroutine is in data and will pick up out
	closing  bool // close once out is written
	draining int  // bytes dropped since a request was refused for its size
	refused  bool
	closed   bool
	started  time.Time // when the first byte of an incomplete request came
	lastUsed time.Time
	idx      Listener
	place    *list.Element // in loose; nil: it is kept
	evicted  bool
}

// Reply answers one request.
type Reply struct {
	s    *Server
	c    *conn
	done atomic.Bool
	// closeAfter: the client asked for it.
	closeAfter bool
}

// New makes a server; Run starts it.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, conns: map[*conn]struct{}{}, loose: list.New(), index: map[string]Listener{}}
	for i, a := range cfg.Addrs {
		s.index[a] = Listener(i)
	}
	return s
}

// Keep says that the request's connection does not give way to others: its
// client counts on it.
func (r *Request) Keep() {
	s := r.reply.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unloose(r.reply.c)
}

func (s *Server) unloose(c *conn) {
	if c.place != nil {
		s.loose.Remove(c.place)
		c.place = nil
	}
}

// Open is how many connections are served.
func (s *Server) Open() int { return int(s.open.Load()) }

// crowded: few places are left.
func (s *Server) crowded() bool { return s.Open() > s.cfg.MaxConns*4/5 }

// makeRoom asks the connection that has been unused for longest, of those that
// give way, to close; false if there is none. The lock is held.
func (s *Server) makeRoom() bool {
	if s.evicting >= evictions {
		return false
	}
	for e := s.loose.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if c.waiting {
			continue // it waits for an answer
		}
		s.unloose(c)
		c.closing, c.evicted = true, true
		s.evicting++
		_ = c.ev.Wake(nil)
		return true
	}
	return false
}

// Run serves until ctx ends. If gnet's loop ends by itself (it does on an error
// from accept), serving starts anew after a short pause.
func (s *Server) Run(ctx context.Context) error {
	unregister := context.AfterFunc(ctx, func() { s.stop.Store(true) })
	defer unregister()
	addrs := make([]string, len(s.cfg.Addrs))
	for i, a := range s.cfg.Addrs {
		addrs[i] = "tcp4://" + a
		// gnet shares the address, so that one loop accepts and serves; a second
		// process on it must fail all the same, not take half of the connections.
		if err := checkFree(a); err != nil {
			return fmt.Errorf("serve %s: %w", a, err)
		}
	}
	for failures := 0; ; {
		began := s.cfg.Now()
		s.reset()
		err := gnet.Rotate(s, addrs, gnet.WithReusePort(true), gnet.WithReuseAddr(true), gnet.WithNumEventLoop(1), gnet.WithTicker(true),
			gnet.WithLogger(logger{s.cfg.Log}))
		if s.stop.Load() {
			return nil
		}
		if s.cfg.Now().Sub(began) > 10*time.Second {
			failures = 0
		}
		failures++
		s.cfg.Log.Error("serving ended, starting again", "error", err)
		if failures > 20 && err != nil {
			return fmt.Errorf("serve %v: %w", s.cfg.Addrs, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(250 * time.Millisecond):
		}
	}
}

func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.conns)
	s.loose.Init()
	s.evicting, s.held = 0, 0
	s.open.Store(0)
}

// OnOpen takes a connection.
func (s *Server) OnOpen(ev gnet.Conn) ([]byte, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A full table would make accept fail, which ends gnet's loop: stay below it.
	if len(s.conns)-s.evicting >= s.cfg.MaxConns && !s.makeRoom() {
		return nil, gnet.Close
	}
	c := &conn{ev: ev, lastUsed: s.cfg.Now(), idx: s.index[ev.LocalAddr().String()]}
	c.place = s.loose.PushBack(c)
	ev.SetContext(c)
	s.conns[c] = struct{}{}
	s.open.Store(int64(len(s.conns)))
	return nil, gnet.None
}

// OnClose lets a connection go.
func (s *Server) OnClose(ev gnet.Conn, _ error) gnet.Action {
	c, ok := ev.Context().(*conn)
	if !ok {
		return gnet.None
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closed = true
	s.held -= int64(len(c.in))
	c.in, c.out = nil, nil
	delete(s.conns, c)
	s.open.Store(int64(len(s.conns)))
	s.unloose(c)
	if c.evicted {
		s.evicting--
	}
	return gnet.None
}

// OnTraffic takes input, or is called with none after Wake.
func (s *Server) OnTraffic(ev gnet.Conn) gnet.Action {
	in, err := ev.Next(-1)
	c, ok := ev.Context().(*conn)
	if !ok || err != nil {
		return gnet.Close
	}
	out, action := s.data(c, in)
	if len(out) > 0 {
		if _, err := ev.Write(out); err != nil {
			return gnet.None // gnet has closed it
		}
		if ev.OutboundBuffered() > maxUnread {
			return gnet.Close
		}
	}
	return action
}

// OnTick looks at what time does to connections.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if s.stop.Load() {
		return 0, gnet.Shutdown
	}
	s.sweep()
	return time.Second, gnet.None
}

// data takes input and gives what is to be written now. What it gives is valid
// until the next call; only the serving goroutine calls it.
func (s *Server) data(c *conn, in []byte) ([]byte, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if c.refused {
		// Closing at once would reset the connection before the answer is read.
		if c.draining += len(in); c.draining > maxDrain {
			c.closing = true
		}
		return c.take()
	}
	if len(in) > 0 {
		c.lastUsed = now
		if c.place != nil {
			s.loose.MoveToBack(c.place)
		}
	}
	fresh := len(c.in) == 0 // then whole requests need not be copied
	if fresh && len(in) > 0 {
		c.started = now
	}
	if !fresh {
		if !s.hold(c, in) {
			return c.take()
		}
		in = c.in
	}
	if c.out == nil {
		c.out = s.scratch[:0]
	}
	c.inData = true
	used := 0
	for !c.waiting && !c.closing && !c.refused && used < len(in) {
		n := s.next(c, in[used:], now)
		if n == 0 {
			break
		}
		used += n
	}
	c.inData = false
	if !c.closing && !c.refused && !c.closed {
		switch {
		case fresh && used < len(in):
			s.hold(c, in[used:])
		case !fresh && used > 0:
			s.held -= int64(used)
			c.in = append(c.in[:0], c.in[used:]...)
			if len(c.in) == 0 {
				c.in = nil
			}
		}
	}
	return c.take()
}

// hold keeps input of an incomplete request, or of one that must wait for the
// answer to the one before; past the bounds the connection ends.
func (s *Server) hold(c *conn, in []byte) bool {
	if len(c.in)+len(in) > s.cfg.MaxBody[c.idx]+2*maxHead || s.held+int64(len(in)) > s.cfg.MaxHeld {
		c.closing = true
		return false
	}
	s.held += int64(len(in))
	c.in = append(c.in, in...)
	return true
}

// take gives what is to be written now.
func (c *conn) take() ([]byte, gnet.Action) {
	out := c.out
	c.out = nil
	if c.closing && !c.waiting {
		return out, gnet.Close
	}
	return out, gnet.None
}

// next parses one request and hands it on; it gives how many bytes that took, 0
// when more input is needed. The lock is held on entry and exit, but not while
// the handler runs.
func (s *Server) next(c *conn, in []byte, now time.Time) int {
	msg, n, err := http1.ParseRequest(in, http1.Limits{Head: maxHead, Body: s.cfg.MaxBody[c.idx]})
	switch {
	case errors.Is(err, http1.ErrShort):
		return 0
	case err != nil:
		status := 400
		if errors.Is(err, http1.ErrBodyLarge) {
			status = 413
		} else if errors.Is(err, http1.ErrHeadLarge) {
			status = 431
		}
		c.out = http1.AppendResponse(c.out, status, "", nil, 0, true)
		c.refused = status == 413
		c.closing = !c.refused
		s.held -= int64(len(c.in))
		c.in, c.started = nil, now
		return 0
	}
	c.started = now
	c.waiting = true
	reply := &Reply{s: s, c: c, closeAfter: msg.Close}
	s.mu.Unlock()
	s.cfg.Handler(Request{Listener: c.idx, Msg: msg, reply: reply})
	if s.handled++; s.handled%yieldEvery == 0 {
		runtime.Gosched()
	}
	s.mu.Lock()
	return n
}

// Send answers the request; later calls do nothing.
func (r *Reply) Send(a Answer) {
	if r.done.Swap(true) {
		return
	}
	s, c := r.s, r.c
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return
	}
	closing := a.Close || r.closeAfter || a.Spare && s.crowded()
	c.out = http1.AppendResponse(c.out, a.Status, a.ContentType, a.Body, a.RetryAfterS, closing)
	c.waiting = false
	if closing {
		c.closing = true
	}
	if c.inData {
		s.scratch = c.out // which may have grown
	} else {
		_ = c.ev.Wake(nil)
	}
}

// sweep closes connections that send nothing or only half a request.
func (s *Server) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	for c := range s.conns {
		half := len(c.in) > 0 && !c.waiting && now.Sub(c.started) > s.cfg.Half
		idle := !c.waiting && now.Sub(c.lastUsed) > s.cfg.Idle
		drained := c.refused && now.Sub(c.started) > 2*time.Second
		if half || idle || drained {
			c.closing = true
			_ = c.ev.Wake(nil)
		}
	}
}

// logger passes gnet's own lines on.
type logger struct{ log *slog.Logger }

func (l logger) Debugf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }
func (l logger) Infof(format string, args ...any)  { l.Debugf(format, args...) }
func (l logger) Warnf(format string, args ...any)  { l.Debugf(format, args...) }
func (l logger) Errorf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }
func (l logger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }
