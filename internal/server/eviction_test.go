package server

import (
	"net"
	"testing"
)

// Past MaxConns the longest unused connection that may be evicted is closed for a new
// one; where none may, the new one is refused. Exempt connections stay open.
func TestMaxConns(t *testing.T) {
	addr := serve(t, 3)
	kept, idle, later := dial(t, addr), dial(t, addr), dial(t, addr)
	get(t, kept, "/keep")
	get(t, idle, "/a")
	get(t, later, "/a")
	for i, c := range []net.Conn{dial(t, addr), dial(t, addr)} {
		get(t, c, "/keep")
		gone := []net.Conn{idle, later}[i]
		if _, err := gone.Read(make([]byte, 1)); err == nil {
			t.Errorf("connection %d did not give way", i)
		}
	}
	refused := dial(t, addr)
	if _, err := refused.Read(make([]byte, 1)); err == nil {
		t.Error("a connection beyond the bound is served")
	}
	get(t, kept, "/b")
}

// When few connections are left, those with a Spare answer are closed after it.
func TestCloseIfNearlyFull(t *testing.T) {
	addr := serve(t, 5)
	for i := range 5 {
		if resp := get(t, dial(t, addr), "/spare"); resp.Close != (i == 4) {
			t.Errorf("connection %d of 5: close %v", i+1, resp.Close)
		}
	}
}
