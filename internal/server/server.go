// Package server serves HTTP/1.1 on a single gnet event loop. It parses requests,
// hands each to a Handler on the loop's goroutine and writes the answers, which may
// be given later and from any goroutine. The number of connections, the memory held
// for them and the time they may take are bounded.
package server

import (
	"container/list"
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Listener is the index of an address in Config.Addrs.
type Listener int

// Config holds the addresses, bounds and dependencies of a Server.
type Config struct {
	Addrs            []string         // IP:port each; the index is the Listener
	MaxConns         int              // connections served at a time
	MaxBodyBytes     []int            // bytes of a request body, by Listener
	MaxBufferedBytes int64            // bytes of buffered input over all connections
	RequestTimeout   time.Duration    // longest time in which a request must arrive whole
	IdleTimeout      time.Duration    // longest time that a connection may go unused
	Log              *slog.Logger     // also takes what gnet logs
	Handler          Handler          // takes every well-formed request
	Now              func() time.Time // the clock
}

const (
	// stableRunTime is how long the event loop must have run for the restarts before
	// it to be forgotten.
	stableRunTime = 10 * time.Second
	// restartDelay is the pause before a failed event loop is started again.
	restartDelay = 250 * time.Millisecond
	// maxRestarts is how many short runs in a row are followed by another.
	maxRestarts = 20
	// sweepInterval is the time between checks for connections that took too long.
	sweepInterval = time.Second
)

// Server accepts connections and serves the requests on them. New makes one.
type Server struct {
	gnet.BuiltinEventEngine
	cfg       Config
	listeners map[string]Listener // by address; never changed
	stop      atomic.Bool
	openConns atomic.Int64 // len(conns), readable without the lock
	handled   uint         // requests so far; event loop only

	mu            sync.Mutex // guards all that follows, and every conn
	conns         map[*conn]struct{}
	bufferedBytes int64      // of all conns' in
	evictable     *list.List // of *conn, the longest unused first
	evicting      int        // connections told to close and not yet closed
	// scratch is the buffer for answers that are given while their request is being
	// handled. gnet copies what it cannot send at once.
	scratch []byte
}

// New makes a Server, which does nothing before Run.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, conns: map[*conn]struct{}{}, evictable: list.New(), listeners: map[string]Listener{}}
	for i, addr := range cfg.Addrs {
		s.listeners[addr] = Listener(i)
	}
	return s
}

// OpenConns returns the number of connections that are open. It may be called from any
// goroutine.
func (s *Server) OpenConns() int { return int(s.openConns.Load()) }

// Run serves until ctx is done, and then returns nil. An event loop that ends by itself,
// as gnet's does on an error from accept, is started again after a pause. Run returns
// an error if an address is in use, or if the loop fails time after time.
func (s *Server) Run(ctx context.Context) error {
	unregister := context.AfterFunc(ctx, func() { s.stop.Store(true) })
	defer unregister()
	urls, err := s.listenURLs()
	if err != nil {
		return err
	}
	failures := 0
	for {
		started := s.cfg.Now()
		err := s.runEventLoop(urls)
		if s.stop.Load() {
			return nil
		}
		if s.cfg.Now().Sub(started) > stableRunTime {
			failures = 0
		}
		failures++
		s.cfg.Log.Error("serving ended, starting again", "error", err)
		if failures > maxRestarts && err != nil {
			return fmt.Errorf("serve %v: %w", s.cfg.Addrs, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
	}
}

// listenURLs returns the addresses as gnet takes them. gnet listens with SO_REUSEPORT,
// so that one loop accepts and serves; a second process on the same address must fail
// all the same rather than take half of the connections.
func (s *Server) listenURLs() ([]string, error) {
	urls := make([]string, len(s.cfg.Addrs))
	for i, addr := range s.cfg.Addrs {
		urls[i] = "tcp4://" + addr
		if err := checkFree(addr); err != nil {
			return nil, fmt.Errorf("serve %s: %w", addr, err)
		}
	}
	return urls, nil
}

func (s *Server) runEventLoop(urls []string) error {
	s.reset()
	return gnet.Rotate(s, urls,
		gnet.WithReusePort(true),
		gnet.WithReuseAddr(true),
		gnet.WithNumEventLoop(1),
		gnet.WithTicker(true),
		gnet.WithLogger(gnetLogger{s.cfg.Log}))
}

// reset forgets the connections of an earlier event loop.
func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.conns)
	s.evictable.Init()
	s.evicting = 0
	s.bufferedBytes = 0
	s.openConns.Store(0)
}

// OnOpen registers a new connection, or refuses it when there are too many. It is
// called by gnet.
func (s *Server) OnOpen(stream gnet.Conn) ([]byte, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Without free file descriptors accept fails, which ends gnet's loop.
	if len(s.conns)-s.evicting >= s.cfg.MaxConns && !s.evictLongestUnused() {
		return nil, gnet.Close
	}
	c := &conn{stream: stream, lastUsed: s.cfg.Now(), listener: s.listeners[stream.LocalAddr().String()]}
	c.evictableEntry = s.evictable.PushBack(c)
	stream.SetContext(c)
	s.conns[c] = struct{}{}
	s.openConns.Store(int64(len(s.conns)))
	return nil, gnet.None
}

// OnClose forgets a connection. It is called by gnet.
func (s *Server) OnClose(stream gnet.Conn, _ error) gnet.Action {
	c, ok := stream.Context().(*conn)
	if !ok {
		return gnet.None
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closed = true
	s.bufferedBytes -= int64(len(c.input))
	c.input, c.output = nil, nil
	delete(s.conns, c)
	s.openConns.Store(int64(len(s.conns)))
	s.exemptFromEviction(c)
	if c.evicted {
		s.evicting--
	}
	return gnet.None
}

// OnTraffic serves what a connection has received and writes what is ready for it.
// It is called by gnet, without input after a Wake.
func (s *Server) OnTraffic(stream gnet.Conn) gnet.Action {
	in, err := stream.Next(-1)
	c, ok := stream.Context().(*conn)
	if !ok || err != nil {
		return gnet.Close
	}
	out, action := s.receive(c, in)
	if len(out) == 0 {
		return action
	}
	if _, err := stream.Write(out); err != nil {
		return gnet.None // gnet has closed it
	}
	if stream.OutboundBuffered() > maxUnreadBytes {
		return gnet.Close
	}
	return action
}

// OnTick closes connections that took too long, and ends the loop once the server
// is to stop. It is called by gnet.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if s.stop.Load() {
		return 0, gnet.Shutdown
	}
	s.closeExpired()
	return sweepInterval, gnet.None
}
