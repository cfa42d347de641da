package server

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"
)

// An address is free unless somebody listens there, and the look leaves nothing that
// takes a client's connection: one that came as a server began was reset.
func TestCheckFree(t *testing.T) {
	addr := freeAddr(t)
	stop, looked := make(chan struct{}), make(chan error, 1)
	go func() {
		for {
			select {
			case <-stop:
				looked <- nil
				return
			default:
			}
			if err := checkFree(addr); err != nil {
				looked <- err
				return
			}
		}
	}()
	for range 2000 {
		if c, err := net.Dial("tcp4", addr); err == nil {
			c.Close()
			t.Error("a client was accepted where nobody serves")
			break
		}
	}
	close(stop)
	if err := <-looked; err != nil {
		t.Errorf("a free address: %v", err)
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if checkFree(addr) == nil {
		t.Error("an address on which somebody listens counts as free")
	}
}

// A server begins on the address of one that has just ended with connections open: what is
// left of these holds the address for a minute, and a controller that was killed could not
// come back before (found by the soak).
func TestBeginsAgainAtOnce(t *testing.T) {
	addr := freeAddr(t)
	for range 2 {
		s := New(Config{
			Addrs: []string{addr}, MaxConns: 10, MaxBody: []int{1000}, MaxHeld: 10_000, Half: time.Hour, Idle: time.Hour,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: time.Now,
			Handler: func(r Request) { r.Reply().Send(Answer{Status: 200}) },
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		var client net.Conn
		for client == nil {
			select {
			case err := <-ended:
				t.Fatalf("does not begin: %v", err)
			default:
				if c, err := net.Dial("tcp4", addr); err == nil {
					client = c
				}
			}
		}
		defer client.Close()
		if resp := ask(t, client, "/a"); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
		cancel() // the server closes first
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
}
