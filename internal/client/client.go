// Package client makes outbound HTTP/1.1 calls: one request at a time on a
// connection, connections kept and bounded per address, a deadline on every
// call. It never retries: whoever calls knows whether that is harmless.
package client

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"garnethitch/internal/http1"
)

// Config bounds a client.
type Config struct {
	MaxIdle     int // kept connections per address
	MaxConns    int // open connections over all addresses
	MaxBody     int // bytes of a response body
	IdleTimeout time.Duration
	DialTimeout time.Duration
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
}

// ErrNotSent marks calls of which not a byte was sent.
var ErrNotSent = errors.New("client: not sent")

// ErrBusy means that the bound on connections is reached.
var ErrBusy = errors.New("client: no connection free")

// Client is safe for use by many goroutines.
type Client struct {
	cfg  Config
	mu   sync.Mutex
	open int
	idle map[string][]*idleConn
	kept *list.List // all of them, the one kept for longest first
}

type idleConn struct {
	net.Conn
	addr  string
	since time.Time
	at    *list.Element
}

// New makes a client.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		d := &net.Dialer{KeepAlive: -1}
		cfg.Dial = d.DialContext
	}
	return &Client{cfg: cfg, idle: map[string][]*idleConn{}, kept: list.New()}
}

// Call is one request.
type Call struct {
	Addr, Method, Target, ContentType string
	Body                              []byte
	Timeout                           time.Duration
	MaxBody                           int // 0: the client's
}

// Do makes the call and reads the whole response.
func (c *Client) Do(ctx context.Context, call Call) (http1.Message, error) {
	deadline := time.Now().Add(call.Timeout)
	conn, err := c.get(ctx, call.Addr, deadline)
	if err != nil {
		return http1.Message{}, fmt.Errorf("%w: %s: %w", ErrNotSent, call.Addr, err)
	}
	msg, err := c.exchange(conn, call, deadline)
	if err != nil || msg.Close {
		c.drop(conn)
	} else {
		c.put(call.Addr, conn)
	}
	if err != nil {
		return msg, fmt.Errorf("%s %s: %w", call.Method, call.Target, err)
	}
	return msg, nil
}

func (c *Client) exchange(conn net.Conn, call Call, deadline time.Time) (http1.Message, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return http1.Message{}, err
	}
	req := http1.AppendRequest(make([]byte, 0, 256+len(call.Body)), call.Method, call.Target, call.Addr, call.ContentType, call.Body)
	if _, err := conn.Write(req); err != nil {
		return http1.Message{}, err
	}
	maxBody := call.MaxBody
	if maxBody == 0 {
		maxBody = c.cfg.MaxBody
	}
	lim := http1.Limits{Head: 8 << 10, Body: maxBody}
	buf := make([]byte, 0, 2048)
	for {
		if len(buf) == cap(buf) {
			bigger := make([]byte, len(buf), 2*cap(buf))
			copy(bigger, buf)
			buf = bigger
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			msg, used, perr := http1.ParseResponse(buf, lim)
			switch {
			case perr == nil:
				if used != len(buf) {
					msg.Close = true // something we did not ask for follows
				}
				return msg, nil
			case !errors.Is(perr, http1.ErrShort):
				return msg, perr
			}
		}
		if err != nil {
			return http1.Message{}, err
		}
	}
}

// get takes the most recently used kept connection, or dials.
func (c *Client) get(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	now := time.Now()
	c.mu.Lock()
	for kept := c.idle[addr]; len(kept) > 0; kept = c.idle[addr] {
		ic := kept[len(kept)-1]
		c.unkeep(ic)
		if now.Sub(ic.since) <= c.cfg.IdleTimeout {
			c.mu.Unlock()
			return ic.Conn, nil
		}
		c.open--
		ic.Close()
	}
	if c.open >= c.cfg.MaxConns && !c.evict() {
		c.mu.Unlock()
		return nil, ErrBusy
	}
	c.open++
	c.mu.Unlock()
	limit := now.Add(c.cfg.DialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	dctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	conn, err := c.cfg.Dial(dctx, "tcp4", addr)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, err
	}
	return conn, nil
}

// evict closes the connection that has been kept for longest, so that kept ones
// never keep others from being called (a takeover of 900 machines found all of
// 400 connections kept, and could ask nobody for 10 s). The lock is held.
func (c *Client) evict() bool {
	oldest := c.kept.Front()
	if oldest == nil {
		return false
	}
	c.end(oldest.Value.(*idleConn))
	return true
}

// unkeep takes a connection off those that are kept; end closes it too. The lock
// is held.
func (c *Client) unkeep(ic *idleConn) {
	c.kept.Remove(ic.at)
	kept := c.idle[ic.addr]
	if i := slices.Index(kept, ic); i >= 0 {
		kept = slices.Delete(kept, i, i+1)
	}
	if len(kept) == 0 {
		delete(c.idle, ic.addr)
	} else {
		c.idle[ic.addr] = kept
	}
}

func (c *Client) end(ic *idleConn) {
	c.unkeep(ic)
	ic.Close()
	c.open--
}

func (c *Client) drop(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
}

func (c *Client) put(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.cfg.MaxIdle {
		conn.Close()
		c.open--
		return
	}
	ic := &idleConn{Conn: conn, addr: addr, since: time.Now()}
	ic.at = c.kept.PushBack(ic)
	c.idle[addr] = append(c.idle[addr], ic)
}

// Sweep closes connections that were kept too long.
func (c *Client) Sweep() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.kept.Front(); e != nil; e = c.kept.Front() {
		ic := e.Value.(*idleConn)
		if now.Sub(ic.since) <= c.cfg.IdleTimeout {
			return
		}
		c.end(ic)
	}
}

// Forget closes the kept connections to an address.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle[addr]) > 0 {
		c.end(c.idle[addr][0])
	}
}
