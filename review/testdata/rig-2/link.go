package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy from one controller to another's internal address.
type link struct {
	to      *node
	address string
	mu      sync.Mutex
	held    bool // packets are held back and delivered later
	refuse  bool // connections are refused (closed at once)
}

func newLink(to *node) *link {
	l := &link{to: to}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	l.address = ln.Addr().String()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l
}

func (l *link) set(held, refuse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.refuse = held, refuse
}

func (l *link) wait() (refused bool) {
	for {
		l.mu.Lock()
		held, refuse := l.held, l.refuse
		l.mu.Unlock()
		if !held || l.to.w.over() {
			return refuse
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *link) carry(conn net.Conn) {
	defer conn.Close()
	if l.wait() {
		return
	}
	onward, err := net.DialTimeout("tcp4", l.to.internalAddr, 2*time.Second)
	if err != nil {
		return
	}
	defer onward.Close()
	go l.copy(conn, onward)
	l.copy(onward, conn)
}

func (l *link) copy(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if l.wait() {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
