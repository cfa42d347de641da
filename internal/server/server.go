// Package server serves HTTP/1.1 on evio: it parses requests, hands them to a
// handler and writes the answers, which may come later and from any goroutine.
// Connections, buffers and waiting times are bounded.
package server

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"garnethitch/internal/http1"
	"github.com/tidwall/evio"
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
)

// evictions is how many connections may be on their way out to make room for
// new ones. They hold their sockets until then, so MaxConns and these must fit.
const evictions = 32

// Sockets is the most that a server with so many connections holds open.
func Sockets(maxConns int) int { return maxConns + evictions }

// Server is the running state.
type Server struct {
	cfg   Config
	held  atomic.Int64
	conns map[*conn]struct{} // used on the serving goroutine only
	// loose are the connections that give way when there is no place left, the
	// longest unused first: all that Keep was not called for. Serving goroutine only.
	loose    *list.List
	evicting int
	open     atomic.Int64 // len(conns), for answers given elsewhere
	stop     atomic.Bool
}

// conn is one connection. Its fields are guarded by mu, since answers may come
// from any goroutine.
type conn struct {
	mu       sync.Mutex
	ev       evio.Conn
	in       []byte
	out      []byte
	waiting  bool // a request is with the handler
	inData   bool // the serving goroutine is in Data and will pick up out
	closing  bool // close once out is written
	draining int  // bytes dropped since a request was refused for its size
	refused  bool
	closed   bool
	started  time.Time // when the first byte of an incomplete request came
	lastUsed time.Time
	idx      Listener
	place    *list.Element // in loose; nil: it is kept. Serving goroutine only
	evicted  bool          // serving goroutine only
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
	return &Server{cfg: cfg, conns: map[*conn]struct{}{}, loose: list.New()}
}

// Keep says that the request's connection does not give way to others: its
// client counts on it. It is to be called by the handler, before it returns.
func (r *Request) Keep() {
	if c := r.reply.c; c.place != nil {
		r.reply.s.loose.Remove(c.place)
		c.place = nil
	}
}

// Open is how many connections are served.
func (s *Server) Open() int { return int(s.open.Load()) }

// crowded: few places are left.
func (s *Server) crowded() bool { return s.Open() > s.cfg.MaxConns*4/5 }

// makeRoom asks the connection that has been unused for longest, of those that
// give way, to close; false if there is none.
func (s *Server) makeRoom() bool {
	if s.evicting >= evictions {
		return false
	}
	for e := s.loose.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		c.mu.Lock()
		free := !c.waiting
		if free {
			c.closing = true
		}
		c.mu.Unlock()
		if !free {
			continue // it waits for an answer
		}
		s.loose.Remove(e)
		c.place, c.evicted = nil, true
		s.evicting++
		c.ev.Wake()
		return true
	}
	return false
}

// Run serves until ctx ends. If evio's loop ends by itself (it does on any
// error from accept), serving starts anew after a short pause.
func (s *Server) Run(ctx context.Context) error {
	unregister := context.AfterFunc(ctx, func() { s.stop.Store(true) })
	defer unregister()
	addrs := make([]string, len(s.cfg.Addrs))
	for i, a := range s.cfg.Addrs {
		addrs[i] = "tcp://" + a
	}
	for failures := 0; ; {
		began := s.cfg.Now()
		err := evio.Serve(s.events(), addrs...)
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

func (s *Server) events() evio.Events {
	clear(s.conns)
	s.loose.Init()
	s.evicting = 0
	s.open.Store(0)
	return evio.Events{
		NumLoops: 1,
		Opened: func(ec evio.Conn) ([]byte, evio.Options, evio.Action) {
			// A full table would make accept fail, which ends evio's loop: stay below it.
			if len(s.conns)-s.evicting >= s.cfg.MaxConns && !s.makeRoom() {
				return nil, evio.Options{}, evio.Close
			}
			c := &conn{ev: ec, lastUsed: s.cfg.Now(), idx: Listener(ec.AddrIndex())}
			c.place = s.loose.PushBack(c)
			ec.SetContext(c)
			s.conns[c] = struct{}{}
			s.open.Store(int64(len(s.conns)))
			return nil, evio.Options{ReuseInputBuffer: true}, evio.None
		},
		Closed: func(ec evio.Conn, _ error) evio.Action {
			if c, ok := ec.Context().(*conn); ok {
				c.mu.Lock()
				c.closed = true
				s.held.Add(-int64(len(c.in)))
				c.in, c.out = nil, nil
				c.mu.Unlock()
				delete(s.conns, c)
				s.open.Store(int64(len(s.conns)))
				if c.place != nil {
					s.loose.Remove(c.place)
				}
				if c.evicted {
					s.evicting--
				}
			}
			return evio.None
		},
		Data: func(ec evio.Conn, in []byte) ([]byte, evio.Action) {
			c, ok := ec.Context().(*conn)
			if !ok {
				return nil, evio.Close
			}
			return s.data(c, in)
		},
		Tick: func() (time.Duration, evio.Action) {
			if s.stop.Load() {
				return 0, evio.Shutdown
			}
			s.sweep()
			return time.Second, evio.None
		},
	}
}

// data takes input, or is called with none after Wake.
func (s *Server) data(c *conn, in []byte) ([]byte, evio.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
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
		maxBody := s.cfg.MaxBody[c.idx]
		if len(c.in) == 0 {
			c.started = now
		}
		if len(c.in)+len(in) > maxBody+2*maxHead || s.held.Add(int64(len(in))) > s.cfg.MaxHeld {
			if len(c.in)+len(in) <= maxBody+2*maxHead {
				s.held.Add(-int64(len(in)))
			}
			c.closing = true
			return c.take()
		}
		c.in = append(c.in, in...)
	}
	c.inData = true
	for !c.waiting && !c.closing && !c.refused && len(c.in) > 0 {
		if !s.next(c, now) {
			break
		}
	}
	c.inData = false
	return c.take()
}

// take gives what is to be written now. The lock is held.
func (c *conn) take() ([]byte, evio.Action) {
	out := c.out
	c.out = nil
	if c.closing && !c.waiting {
		return out, evio.Close
	}
	return out, evio.None
}

// next parses one request and hands it on; false when more input is needed.
// The lock is held on entry and exit, but not while the handler runs.
func (s *Server) next(c *conn, now time.Time) bool {
	msg, n, err := http1.ParseRequest(c.in, http1.Limits{Head: maxHead, Body: s.cfg.MaxBody[c.idx]})
	switch {
	case errors.Is(err, http1.ErrShort):
		return false
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
		s.held.Add(-int64(len(c.in)))
		c.in, c.started = nil, now
		return false
	}
	s.held.Add(-int64(n))
	c.in = append(c.in[:0], c.in[n:]...)
	if len(c.in) == 0 && cap(c.in) > 4096 {
		c.in = nil
	}
	c.started = now
	c.waiting = true
	reply := &Reply{s: s, c: c, closeAfter: msg.Close}
	c.mu.Unlock()
	s.cfg.Handler(Request{Listener: c.idx, Msg: msg, reply: reply})
	c.mu.Lock()
	return true
}

// Send answers the request; later calls do nothing.
func (r *Reply) Send(a Answer) {
	if r.done.Swap(true) {
		return
	}
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	closing := a.Close || r.closeAfter || a.Spare && r.s.crowded()
	c.out = http1.AppendResponse(c.out, a.Status, a.ContentType, a.Body, a.RetryAfterS, closing)
	c.waiting = false
	if closing {
		c.closing = true
	}
	if !c.inData {
		c.ev.Wake()
	}
}

// sweep closes connections that send nothing or only half a request.
func (s *Server) sweep() {
	now := s.cfg.Now()
	for c := range s.conns {
		c.mu.Lock()
		half := len(c.in) > 0 && !c.waiting && now.Sub(c.started) > s.cfg.Half
		idle := !c.waiting && now.Sub(c.lastUsed) > s.cfg.Idle
		drained := c.refused && now.Sub(c.started) > 2*time.Second
		if half || idle || drained {
			c.closing = true
			c.ev.Wake()
		}
		c.mu.Unlock()
	}
}
