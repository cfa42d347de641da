// Package server implements an HTTP/1.1 server on a single gnet event loop. It parses requests,
// passes each to a Handler on the loop's goroutine, and writes the responses, which may be given
// later and from any goroutine. The number of connections, their memory and the time that a
// request or an idle connection may take are bounded.
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
	MaxConns         int              // maximum number of connections served at a time
	MaxBodyBytes     []int            // maximum size of a request body, by Listener
	MaxBufferedBytes int64            // maximum size of buffered input over all connections
	RequestTimeout   time.Duration    // maximum time from the first byte of a request to its last
	IdleTimeout      time.Duration    // maximum time without input, unless a response is pending
	Log              *slog.Logger     // also receives gnet's log lines
	Handler          Handler          // called for every well-formed request
	Now              func() time.Time // the clock
}

const (
	// stableRunTime is the running time of the event loop after which earlier failures are no
	// longer counted.
	stableRunTime = 10 * time.Second
	// restartDelay is the pause before a failed event loop is restarted.
	restartDelay = 250 * time.Millisecond
	// maxRestarts is the number of consecutive restarts, without a run of stableRunTime, after
	// which the server gives up.
	maxRestarts = 20
	// sweepInterval is the time between checks for connections that have timed out.
	sweepInterval = time.Second
)

// Server accepts connections and serves the requests on them. Use New to create one.
type Server struct {
	gnet.BuiltinEventEngine
	cfg       Config
	listeners map[string]Listener // by address; not modified after New
	stop      atomic.Bool
	openConns atomic.Int64 // len(conns), readable without mu
	handled   uint         // requests handled so far; used by the event loop only

	mu            sync.Mutex // guards the fields below and every conn
	conns         map[*conn]struct{}
	bufferedBytes int64      // total length of conn.input over all connections
	evictable     *list.List // of *conn, the longest unused first
	evicting      int        // connections that are being evicted and are not closed yet
	// scratch is reused as the output buffer for responses that are given while their request
	// is being handled. gnet copies the bytes that it cannot send immediately.
	scratch []byte
}

// New returns a Server. It does not accept connections before Run is called.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, conns: map[*conn]struct{}{}, evictable: list.New(), listeners: map[string]Listener{}}
	for i, addr := range cfg.Addrs {
		s.listeners[addr] = Listener(i)
	}
	return s
}

// OpenConns returns the number of open connections. It may be called from any goroutine.
func (s *Server) OpenConns() int { return int(s.openConns.Load()) }

// Run serves until ctx is done, and then returns nil. If the event loop ends for another reason,
// such as an error from accept, Run restarts it after a pause. Run returns an error if an address
// is in use, or if the loop fails more than maxRestarts times in a row.
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
		s.cfg.Log.Error("event loop ended, restarting it", "error", err)
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

// listenURLs returns the addresses in the form that gnet expects, and an error if one is in use.
// gnet listens with SO_REUSEPORT so that one event loop both accepts and serves connections.
// Without the check, a second process could therefore listen on the same address and would
// receive half of the connections.
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

// reset discards the state of the connections of an earlier event loop.
func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.conns)
	s.evictable.Init()
	s.evicting = 0
	s.bufferedBytes = 0
	s.openConns.Store(0)
}

// OnOpen is called by gnet for a new connection. It registers the connection, or refuses it if
// there are too many.
func (s *Server) OnOpen(stream gnet.Conn) ([]byte, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The bound keeps file descriptors free. If none were free, accept would fail and gnet's event
	// loop would end.
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

// OnClose is called by gnet for a closed connection, and unregisters it.
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

// OnTraffic is called by gnet when a connection has received input and, without input, after a
// call of Wake. It handles the input and writes the pending output.
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
		return gnet.None // gnet has closed the connection
	}
	if stream.OutboundBuffered() > maxUnreadBytes {
		return gnet.Close
	}
	return action
}

// OnTick is called by gnet at intervals. It closes connections that have timed out, and ends the
// event loop once the server is to stop.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if s.stop.Load() {
		return 0, gnet.Shutdown
	}
	s.closeExpired()
	return sweepInterval, gnet.None
}
