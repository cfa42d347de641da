package client

import (
	"container/list"
	"context"
	"net"
	"slices"
	"time"
)

// idleConn is an open connection that is not used by a call.
type idleConn struct {
	net.Conn
	addr      string
	idleSince time.Time
	entry     *list.Element // in Client.idleByAge
}

// connect returns the most recently used idle connection to addr, or opens a new one.
func (c *Client) connect(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	now := time.Now()
	conn, err := c.reuseOrReserve(addr, now)
	if conn != nil || err != nil {
		return conn, err
	}
	dialDeadline := now.Add(c.cfg.DialTimeout)
	if deadline.Before(dialDeadline) {
		dialDeadline = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, dialDeadline)
	defer cancel()
	conn, err = c.cfg.Dial(ctx, "tcp4", addr)
	if err != nil {
		c.unreserve()
		return nil, err
	}
	return conn, nil
}

// reuseOrReserve returns an idle connection to addr. If there is none, it counts a new connection
// as open and returns nil, and the caller must dial. It returns ErrBusy if Config.MaxConns
// connections are in use.
func (c *Client) reuseOrReserve(addr string, now time.Time) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conns := c.idle[addr]; len(conns) > 0; conns = c.idle[addr] {
		newest := conns[len(conns)-1]
		if !c.expired(newest, now) {
			c.removeIdle(newest)
			return newest.Conn, nil
		}
		c.closeIdle(newest)
	}
	if c.openConns >= c.cfg.MaxConns && !c.evictLongestIdle() {
		return nil, ErrBusy
	}
	c.openConns++
	return nil, nil
}

// unreserve undoes the reservation of a connection that could not be opened.
func (c *Client) unreserve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openConns--
}

// release makes a connection idle after a call, or closes it if there are Config.MaxIdle idle
// connections to its address already.
func (c *Client) release(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.cfg.MaxIdle {
		conn.Close()
		c.openConns--
		return
	}
	idle := &idleConn{Conn: conn, addr: addr, idleSince: time.Now()}
	idle.entry = c.idleByAge.PushBack(idle)
	c.idle[addr] = append(c.idle[addr], idle)
}

// discard closes a connection after a call.
func (c *Client) discard(conn net.Conn) {
	conn.Close()
	c.unreserve()
}

// expired reports whether a connection has been idle for too long.
func (c *Client) expired(idle *idleConn, now time.Time) bool {
	return now.Sub(idle.idleSince) > c.cfg.IdleTimeout
}

// evictLongestIdle closes the connection that has been idle for the longest time, so that idle
// connections never prevent calls to other addresses. It returns false if there is none. c.mu
// must be held.
func (c *Client) evictLongestIdle() bool {
	oldest := c.idleByAge.Front()
	if oldest == nil {
		return false
	}
	c.closeIdle(oldest.Value.(*idleConn))
	return true
}

// closeIdle closes an idle connection. c.mu must be held.
func (c *Client) closeIdle(idle *idleConn) {
	c.removeIdle(idle)
	idle.Close()
	c.openConns--
}

// removeIdle removes a connection from the idle connections without closing it. c.mu must be
// held.
func (c *Client) removeIdle(idle *idleConn) {
	c.idleByAge.Remove(idle.entry)
	conns := c.idle[idle.addr]
	if i := slices.Index(conns, idle); i >= 0 {
		conns = slices.Delete(conns, i, i+1)
	}
	if len(conns) == 0 {
		delete(c.idle, idle.addr)
	} else {
		c.idle[idle.addr] = conns
	}
}

// CloseExpired closes the connections that have been idle for longer than Config.IdleTimeout.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for entry := c.idleByAge.Front(); entry != nil; entry = c.idleByAge.Front() {
		idle := entry.Value.(*idleConn)
		if !c.expired(idle, now) {
			return
		}
		c.closeIdle(idle)
	}
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle[addr]) > 0 {
		c.closeIdle(c.idle[addr][0])
	}
}
