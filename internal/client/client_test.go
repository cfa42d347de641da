package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// answering gives a dialer whose connections answer each request with the next
// of the texts; an empty text closes without an answer.
func answering(texts ...string) (func(context.Context, string, string) (net.Conn, error), *int) {
	dials, next := new(int), 0
	return func(context.Context, string, string) (net.Conn, error) {
		*dials++
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			in := bufio.NewReader(theirs)
			for {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				text := texts[next%len(texts)]
				next++
				if text == "" {
					return
				}
				if _, err := theirs.Write([]byte(text)); err != nil {
					return
				}
			}
		}()
		return ours, nil
	}, dials
}

func TestDo(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for _, tc := range []struct {
		name  string
		texts []string
		fails []bool
		dials int
	}{
		{"kept connection", []string{ok}, []bool{false, false}, 1},
		{"closing answer", []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}, []bool{false, false}, 2},
		{"no answer", []string{"", ok}, []bool{true, false}, 2},
		{"not HTTP", []string{"what?\r\n\r\n", ok}, []bool{true, false}, 2},
		{"body too large", []string{"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", ok}, []bool{true, false}, 2},
		{"more than was asked for", []string{ok + "extra", ok}, []bool{false, false}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dial, dials := answering(tc.texts...)
			c := New(Config{MaxIdle: 2, MaxConns: 4, MaxBody: 50, IdleTimeout: time.Hour, DialTimeout: time.Hour, Dial: dial})
			for i, fails := range tc.fails {
				_, err := c.Do(t.Context(), Call{Addr: "a:1", Method: "GET", Target: "/", Timeout: time.Hour})
				if (err != nil) != fails {
					t.Errorf("call %d: %v", i, err)
				}
				if errors.Is(err, ErrNotSent) {
					t.Errorf("call %d was sent, but is said not to be", i)
				}
			}
			if *dials != tc.dials {
				t.Errorf("%d connections made, want %d", *dials, tc.dials)
			}
		})
	}
}

func TestNotSent(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	c := New(Config{MaxConns: 1, MaxBody: 10, Dial: refuse})
	for range 3 {
		if _, err := c.Do(t.Context(), Call{Addr: "a:1", Method: "GET", Target: "/", Timeout: time.Hour}); !errors.Is(err, ErrNotSent) || errors.Is(err, ErrBusy) {
			t.Errorf("refused: %v, want not sent, and the connection's place given back", err)
		}
	}
	c = New(Config{MaxConns: 0})
	if _, err := c.Do(t.Context(), Call{Addr: "a:1", Timeout: time.Hour}); !errors.Is(err, ErrBusy) || !errors.Is(err, ErrNotSent) {
		t.Errorf("no place: %v, want busy and not sent", err)
	}
}

// A deadline ends a call on a silent connection.
func TestDeadline(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	go func() { _, _ = http.ReadRequest(bufio.NewReader(theirs)) }()
	c := New(Config{MaxConns: 1, MaxBody: 10, DialTimeout: time.Hour, Dial: func(context.Context, string, string) (net.Conn, error) { return ours, nil }})
	_, err := c.Do(t.Context(), Call{Addr: "a:1", Method: "GET", Target: "/", Timeout: time.Millisecond})
	var ne net.Error
	if !errors.As(err, &ne) || !ne.Timeout() {
		t.Errorf("%v, want a timeout", err)
	}
}

// Kept connections never keep other addresses from being called: the one kept
// for longest makes room.
func TestKeptGiveWay(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	texts := make([]string, 20)
	for i := range texts {
		texts[i] = ok
	}
	dial, dials := answering(texts...)
	c := New(Config{MaxIdle: 1, MaxConns: 4, MaxBody: 50, IdleTimeout: time.Hour, DialTimeout: time.Hour, Dial: dial})
	ask := func(i int) {
		addr := fmt.Sprintf("a:%d", i)
		if _, err := c.Do(t.Context(), Call{Addr: addr, Method: "GET", Target: "/", Timeout: time.Hour}); err != nil {
			t.Errorf("%s: %v", addr, err)
		}
	}
	for i := range 10 {
		ask(i)
	}
	if ask(9); *dials != 10 || c.open != 4 {
		t.Errorf("%d connections made, %d open, want 10 and 4", *dials, c.open)
	}
	if ask(0); *dials != 11 {
		t.Errorf("%d connections made, want 11: the oldest gave way", *dials)
	}
}
