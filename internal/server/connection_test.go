package server

import (
	"bufio"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
)

// TestOversizedIncompleteRequest checks that an incomplete request that exceeds the buffer closes
// only the connection on which it arrives.
func TestOversizedIncompleteRequest(t *testing.T) {
	addr := serve(t, 2)
	first, second := dial(t, addr), dial(t, addr)
	get(t, first, "/a")
	_, _ = io.WriteString(second, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\na\r\n", 5000))
	if _, err := io.ReadAll(second); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("reading after an oversized request: %v", err)
	}
	get(t, first, "/b")
}

// TestBadRequestsNotHandled checks that malformed and oversized requests are refused without a call
// of the handler, so that they take no time from heartbeats and lease renewals.
func TestBadRequestsNotHandled(t *testing.T) {
	var handled atomic.Int64
	addr := serveWith(t, 10, func(r Request) {
		handled.Add(1)
		r.Reply().Send(Response{Status: 200})
	})
	bad := []struct {
		name, request string
		status        int
	}{
		{"malformed", "HELLO\r\n\r\n", 400},
		{"large body", "POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413},
		{"large head", "GET /" + strings.Repeat("x", 9000) + " HTTP/1.1\r\n\r\n", 431},
	}
	for i := range 200 {
		tc := bad[i%len(bad)]
		c := dial(t, addr)
		if _, err := io.WriteString(c, tc.request); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != tc.status {
			t.Errorf("request %d, %s: status %d, want %d", i, tc.name, resp.StatusCode, tc.status)
		}
		c.Close()
	}
	if n := handled.Load(); n != 0 {
		t.Errorf("%d bad requests reached the handler", n)
	}
	if resp := get(t, dial(t, addr), "/a"); resp.StatusCode != 200 {
		t.Errorf("status %d for a valid request after the bad ones, want 200", resp.StatusCode)
	}
}

// TestBacklogYields checks that the event loop yields to other goroutines while it serves a backlog
// of requests: a goroutine started by the first request runs before the backlog is finished.
func TestBacklogYields(t *testing.T) {
	procs := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(procs)
	var begun atomic.Bool
	var handled, before atomic.Int64
	addr := serveWith(t, 10, func(r Request) {
		if handled.Add(1) == 1 {
			go begun.Store(true)
		}
		if !begun.Load() {
			before.Add(1)
		}
		r.Reply().Send(Response{Status: 200})
	})
	const backlog = 64
	c := dial(t, addr)
	if _, err := io.WriteString(c, strings.Repeat("GET /a HTTP/1.1\r\n\r\n", backlog)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for range backlog {
		if _, err := http.ReadResponse(in, nil); err != nil {
			t.Fatal(err)
		}
	}
	if n := before.Load(); n > 2*requestsPerYield {
		t.Errorf("%d requests of a backlog of %d were handled before another goroutine ran", n, backlog)
	}
}
