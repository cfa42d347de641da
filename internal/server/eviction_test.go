package server

import (
	"net"
	"testing"
)

// TestMaxConns checks that at MaxConns a new connection evicts the one that has been unused for the
// longest time. Connections exempt from eviction stay open; if all are exempt, the new connection
// is refused.
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
			t.Errorf("connection %d was not evicted", i)
		}
	}
	refused := dial(t, addr)
	if _, err := refused.Read(make([]byte, 1)); err == nil {
		t.Error("a connection beyond MaxConns is served")
	}
	get(t, kept, "/b")
}

// TestCloseIfNearlyFull checks that a response with CloseIfNearlyFull closes its connection only
// when few more connections can be opened.
func TestCloseIfNearlyFull(t *testing.T) {
	addr := serve(t, 5)
	for i := range 5 {
		if resp := get(t, dial(t, addr), "/close-if-nearly-full"); resp.Close != (i == 4) {
			t.Errorf("connection %d of 5: closed %v, want only the last one closed", i+1, resp.Close)
		}
	}
}
