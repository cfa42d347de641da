package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// freeAddr finds a loopback address to listen on.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve runs a server until the test ends. "/later" is answered from another
// goroutine, everything else at once with the body it came with.
func serve(t *testing.T, maxConns int) string {
	return serveWith(t, maxConns, func(r Request) {
		if r.Msg.Path == "/keep" {
			r.Keep()
		}
		answer := func() {
			r.Reply().Send(Answer{Status: 200, Body: append([]byte(r.Msg.Path+" "), r.Msg.Body...), Spare: r.Msg.Path == "/spare"})
		}
		if r.Msg.Path == "/later" {
			go answer()
			return
		}
		answer()
	})
}

func serveWith(t *testing.T, maxConns int, handler Handler) string {
	addr := freeAddr(t)
	s := New(Config{
		Addrs: []string{addr}, MaxConns: maxConns, MaxBody: []int{1000}, MaxHeld: 10_000,
		Half: time.Hour, Idle: time.Hour, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: time.Now, Handler: handler,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return addr
}

// dial connects as soon as the server listens.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	for {
		c, err := net.Dial("tcp4", addr)
		if err == nil {
			t.Cleanup(func() { c.Close() })
			return c
		}
		if t.Context().Err() != nil {
			t.Fatal(err)
		}
	}
}

func TestServing(t *testing.T) {
	addr := serve(t, 100)
	for _, tc := range []struct {
		name  string
		parts []string // written one after the other
		want  []int    // statuses
		body  string   // of the last
		close bool
	}{
		{"one", []string{"GET /a HTTP/1.1\r\n\r\n"}, []int{200}, "/a ", false},
		{"in pieces", []string{"POST /a HT", "TP/1.1\r\nContent-Le", "ngth: 3\r\n\r\nx", "yz"}, []int{200}, "/a xyz", false},
		{"answered later", []string{"GET /later HTTP/1.1\r\n\r\n"}, []int{200}, "/later ", false},
		{"two on one connection", []string{"GET /a HTTP/1.1\r\n\r\n", "GET /later HTTP/1.1\r\n\r\n"}, []int{200, 200}, "/later ", false},
		{"asked to close", []string{"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n"}, []int{200}, "/a ", true},
		{"broken", []string{"HELLO\r\n\r\n"}, []int{400}, "", true},
		{"large body", []string{"POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"}, []int{413}, "", true},
		{"large head", []string{"GET /" + strings.Repeat("x", 9000) + " HTTP/1.1\r\n\r\n"}, []int{431}, "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := dial(t, addr)
			in := bufio.NewReader(c)
			body := ""
			for i, part := range tc.parts {
				if _, err := io.WriteString(c, part); err != nil {
					t.Fatal(err)
				}
				if len(tc.want) > 1 || i == len(tc.parts)-1 {
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						t.Fatal(err)
					}
					b, err := io.ReadAll(resp.Body)
					if err != nil {
						t.Fatal(err)
					}
					body = string(b)
					if want := tc.want[min(i, len(tc.want)-1)]; resp.StatusCode != want {
						t.Errorf("status %d, want %d", resp.StatusCode, want)
					}
				}
			}
			if body != tc.body {
				t.Errorf("body %q, want %q", body, tc.body)
			}
			if tc.close {
				if _, err := in.ReadByte(); err != io.EOF {
					t.Errorf("the connection stays open: %v", err)
				}
			}
		})
	}
}

// ask sends a request on a connection; the path "/keep" makes it one that does
// not give way.
func ask(t *testing.T, c net.Conn, path string) *http.Response {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Past the bound on connections the longest unused one that may give way makes
// room; where none may, the new one is refused. Those that are kept are served on.
func TestBounds(t *testing.T) {
	addr := serve(t, 3)
	kept, idle, later := dial(t, addr), dial(t, addr), dial(t, addr)
	ask(t, kept, "/keep")
	ask(t, idle, "/a")
	ask(t, later, "/a")
	for i, c := range []net.Conn{dial(t, addr), dial(t, addr)} {
		ask(t, c, "/keep")
		gone := []net.Conn{idle, later}[i]
		if _, err := gone.Read(make([]byte, 1)); err == nil {
			t.Errorf("connection %d did not give way", i)
		}
	}
	refused := dial(t, addr)
	if _, err := refused.Read(make([]byte, 1)); err == nil {
		t.Error("a connection beyond the bound is served")
	}
	ask(t, kept, "/b")
}

// Half a request that grows beyond the bound ends the connection.
func TestEndlessRequest(t *testing.T) {
	addr := serve(t, 2)
	first, second := dial(t, addr), dial(t, addr)
	ask(t, first, "/a")
	_, _ = io.WriteString(second, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\na\r\n", 5000))
	if _, err := io.ReadAll(second); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("reading after an endless request: %v", err)
	}
	ask(t, first, "/b")
}

// Many clients at a time get each their own bytes back, whether answered at once
// or later and from elsewhere: no buffer is handed on while it is in use. To be run
// under the race detector as well.
func TestAnswersApart(t *testing.T) {
	addr := serve(t, 100)
	const clients, requests = 20, 60
	ended := make(chan error, clients)
	for i := range clients {
		c := dial(t, addr)
		go func() {
			in := bufio.NewReader(c)
			for n := range requests {
				path, body := []string{"/a", "/later"}[(i+n)%2], strings.Repeat(string(rune('a'+(i+n)%26)), 1+(7*i+31*n)%900)
				if _, err := io.WriteString(c, fmt.Sprintf("POST %s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)); err != nil {
					ended <- err
					return
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					ended <- err
					return
				}
				got, err := io.ReadAll(resp.Body)
				if want := path + " " + body; err != nil || string(got) != want {
					ended <- fmt.Errorf("client %d, request %d: got %q, want %q, %v", i, n, got, want, err)
					return
				}
			}
			ended <- nil
		}()
	}
	for range clients {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// A flood of requests that can't be read, or are too large, is refused without the
// handler, which keeps its time for reports and leases.
func TestBadInputStaysOut(t *testing.T) {
	var handled atomic.Int64
	addr := serveWith(t, 10, func(r Request) {
		handled.Add(1)
		r.Reply().Send(Answer{Status: 200})
	})
	for i := range 200 {
		bad := []string{"HELLO\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", "GET /" + strings.Repeat("x", 9000) + " HTTP/1.1\r\n\r\n"}[i%3]
		c := dial(t, addr)
		if _, err := io.WriteString(c, bad); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if want := []int{400, 413, 431}[i%3]; resp.StatusCode != want {
			t.Errorf("request %d: status %d, want %d", i, resp.StatusCode, want)
		}
		c.Close()
	}
	if n := handled.Load(); n != 0 {
		t.Errorf("%d bad requests reached the handler", n)
	}
	if resp := ask(t, dial(t, addr), "/a"); resp.StatusCode != 200 {
		t.Errorf("a good request after the flood: %d", resp.StatusCode)
	}
}

// A backlog of requests leaves others their turn: what a handler has started in
// the background begins before the backlog is done.
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
		r.Reply().Send(Answer{Status: 200})
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
		t.Errorf("%d requests of a backlog of %d were handled before anybody else had a turn", n, backlog)
	}
}

// When few places are left, clients that can come back are asked to.
func TestSpare(t *testing.T) {
	addr := serve(t, 5)
	for i := range 5 {
		if resp := ask(t, dial(t, addr), "/spare"); resp.Close != (i == 4) {
			t.Errorf("connection %d of 5: close %v", i+1, resp.Close)
		}
	}
}
