package server

import (
	"net"
	"testing"
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
