package faulttest

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	linkDialTimeout = time.Second
	linkBufferBytes = 32 << 10
	// linkPollInterval is how often a link that holds data back checks whether it still has to.
	linkPollInterval = 50 * time.Millisecond
)

// link is a TCP proxy from one controller to another. It can hold data back and break
// connections.
type link struct {
	from, to   int // indexes of controllers
	target     string
	mu         sync.Mutex
	heldUntil  time.Time
	resetUntil time.Time
}

// addressFor returns the address at which one controller reaches another. If controllers run as
// separate processes, this is the address of a link.
func (c *Cluster) addressFor(from, to *node) (string, error) {
	if c.plan.Binary == "" {
		return to.settings.InternalAddr, nil
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("test cluster: link: %w", err)
	}
	l := &link{from: from.id, to: to.id, target: to.settings.InternalAddr}
	c.links = append(c.links, l)
	context.AfterFunc(c.ctx, func() { ln.Close() })
	go l.accept(ln)
	return ln.Addr().String(), nil
}

// accept forwards connections until the listener is closed.
func (l *link) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

// forward forwards a connection to the target, in both directions, until one direction ends.
func (l *link) forward(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp4", l.target, linkDialTimeout)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{in, out}, {out, in}} {
		go func() {
			l.copyData(direction[0], direction[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// copyData copies data until the connection ends or the link breaks it.
func (l *link) copyData(from, to net.Conn) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !l.waitWhileHeld() {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitWhileHeld waits while the link holds data back. It returns false if the link breaks
// connections.
func (l *link) waitWhileHeld() bool {
	for {
		l.mu.Lock()
		held, reset := time.Until(l.heldUntil), time.Until(l.resetUntil)
		l.mu.Unlock()
		if reset > 0 {
			return false
		}
		if held <= 0 {
			return true
		}
		time.Sleep(min(held, linkPollInterval))
	}
}

// hold makes the link hold data back for d.
func (l *link) hold(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil = time.Now().Add(d)
}

// reset makes the link break connections for d.
func (l *link) reset(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetUntil = time.Now().Add(d)
}
