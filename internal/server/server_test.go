package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// freeAddr returns a loopback address on which no socket listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve runs a server until the test ends and returns its address. The server echoes path and
// body: from another goroutine for "/later", else before the handler returns. "/keep" exempts
// the connection from eviction, "/close-if-nearly-full" sets Response.CloseIfNearlyFull.
func serve(t *testing.T, maxConns int) string {
	t.Helper()
	return serveWith(t, maxConns, func(r Request) {
		if r.Message.Path == "/keep" {
			r.ExemptFromEviction()
		}
		answer := func() {
			body := append([]byte(r.Message.Path+" "), r.Message.Body...)
			r.Reply().Send(Response{Status: http.StatusOK, Body: body, CloseIfNearlyFull: r.Message.Path == "/close-if-nearly-full"})
		}
		if r.Message.Path == "/later" {
			go answer()
			return
		}
		answer()
	})
}

// serveWith runs a server with the given handler until the test ends.
func serveWith(t *testing.T, maxConns int, handler Handler) string {
	t.Helper()
	addr := freeAddr(t)
	s := New(testConfig(addr, maxConns, handler))
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

// testConfig returns a configuration with small buffers and with timeouts that no test reaches.
func testConfig(addr string, maxConns int, handler Handler) Config {
	return Config{
		Addrs:            []string{addr},
		MaxConns:         maxConns,
		MaxBodyBytes:     []int{1000},
		MaxBufferedBytes: 10_000,
		RequestTimeout:   time.Hour,
		IdleTimeout:      time.Hour,
		Log:              slog.New(slog.DiscardHandler),
		Now:              time.Now,
		Handler:          handler,
	}
}

// dial connects to a server, waiting until the server listens.
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

// get sends a GET request on a connection and returns the response.
func get(t *testing.T, c net.Conn, path string) *http.Response {
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

// readResponse returns the status and body of the next response on a connection.
func readResponse(t *testing.T, in *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func TestServeRequests(t *testing.T) {
	addr := serve(t, 100)
	for _, tc := range []struct {
		name   string
		parts  []string // written one after the other
		want   []int    // statuses
		body   string   // of the last response
		closes bool
	}{
		{"one", []string{"GET /a HTTP/1.1\r\n\r\n"}, []int{200}, "/a ", false},
		{"in pieces", []string{"POST /a HT", "TP/1.1\r\nContent-Le", "ngth: 3\r\n\r\nx", "yz"}, []int{200}, "/a xyz", false},
		{"answered later", []string{"GET /later HTTP/1.1\r\n\r\n"}, []int{200}, "/later ", false},
		{"two on one connection", []string{"GET /a HTTP/1.1\r\n\r\n", "GET /later HTTP/1.1\r\n\r\n"}, []int{200, 200}, "/later ", false},
		{"asked to close", []string{"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n"}, []int{200}, "/a ", true},
		{"malformed", []string{"HELLO\r\n\r\n"}, []int{400}, "", true},
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
				if len(tc.want) == 1 && i < len(tc.parts)-1 {
					continue
				}
				var status int
				status, body = readResponse(t, in)
				if want := tc.want[min(i, len(tc.want)-1)]; status != want {
					t.Errorf("status %d, want %d", status, want)
				}
			}
			if body != tc.body {
				t.Errorf("body %q, want %q", body, tc.body)
			}
			if tc.closes {
				if _, err := in.ReadByte(); err != io.EOF {
					t.Errorf("the connection is not closed: %v", err)
				}
			}
		})
	}
}

// TestConcurrentAnswers checks that concurrent clients get their own bytes back, whether the
// response is given in the handler or later from another goroutine. It fails if a buffer is reused
// while it is still in use. It should also be run under the race detector.
func TestConcurrentAnswers(t *testing.T) {
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
