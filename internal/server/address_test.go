package server

import (
	"context"
	"net"
	"net/http"
	"testing"
)

// TestCheckFree checks that an address is free unless a socket listens on it, and that the check
// never accepts a client's connection, which would then be reset.
func TestCheckFree(t *testing.T) {
	addr := freeAddr(t)
	stop, checked := make(chan struct{}), make(chan error, 1)
	go func() {
		for {
			select {
			case <-stop:
				checked <- nil
				return
			default:
			}
			if err := checkFree(addr); err != nil {
				checked <- err
				return
			}
		}
	}()
	for range 2000 {
		if c, err := net.Dial("tcp4", addr); err == nil {
			c.Close()
			t.Error("a client was accepted on an address without a server")
			break
		}
	}
	close(stop)
	if err := <-checked; err != nil {
		t.Errorf("a free address is reported as in use: %v", err)
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if checkFree(addr) == nil {
		t.Error("an address with a listening socket is reported as free")
	}
}

// TestRestartOnSameAddress checks that a server starts on the address of one that has just ended
// with open connections. Sockets in TIME_WAIT keep such an address in use for a minute. The soak
// found that a controller that had been killed could not restart during that minute.
func TestRestartOnSameAddress(t *testing.T) {
	addr := freeAddr(t)
	for range 2 {
		s := New(testConfig(addr, 10, func(r Request) { r.Reply().Send(Response{Status: http.StatusOK}) }))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		var client net.Conn
		for client == nil {
			select {
			case err := <-ended:
				t.Fatalf("the server does not start: %v", err)
			default:
				if c, err := net.Dial("tcp4", addr); err == nil {
					client = c
				}
			}
		}
		defer client.Close()
		if resp := get(t, client, "/a"); resp.StatusCode != 200 {
			t.Errorf("status %d, want 200", resp.StatusCode)
		}
		cancel() // the server closes first
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
}
