package client

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// answeringDialer returns a dial function and the number of its calls. The connections respond to
// each request with the next of the texts, in a cycle. An empty text closes the connection without
// a response.
func answeringDialer(texts ...string) (dial dialFunc, dials *int) {
	dials = new(int)
	next := 0
	return func(context.Context, string, string) (net.Conn, error) {
		*dials++
		clientEnd, serverEnd := net.Pipe()
		go func() {
			defer serverEnd.Close()
			in := bufio.NewReader(serverEnd)
			for {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				text := texts[next%len(texts)]
				next++
				if text == "" {
					return
				}
				if _, err := serverEnd.Write([]byte(text)); err != nil {
					return
				}
			}
		}()
		return clientEnd, nil
	}, dials
}

func TestDo(t *testing.T) {
	for _, tc := range []struct {
		name  string
		texts []string
		fails []bool
		dials int
	}{
		{"reused connection", []string{okResponse}, []bool{false, false}, 1},
		{"closing answer", []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}, []bool{false, false}, 2},
		{"no answer", []string{"", okResponse}, []bool{true, false}, 2},
		{"not HTTP", []string{"what?\r\n\r\n", okResponse}, []bool{true, false}, 2},
		{"body too large", []string{"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", okResponse}, []bool{true, false}, 2},
		{"bytes after the response", []string{okResponse + "extra", okResponse}, []bool{false, false}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dial, dials := answeringDialer(tc.texts...)
			c := New(Config{MaxIdle: 2, MaxConns: 4, MaxBodyBytes: 50, IdleTimeout: time.Hour, DialTimeout: time.Hour, Dial: dial})
			for i, fails := range tc.fails {
				_, err := c.Do(t.Context(), Call{Addr: "a:1", Method: "GET", Target: "/", Timeout: time.Hour})
				if (err != nil) != fails {
					t.Errorf("call %d: unexpected result, error %v", i, err)
				}
				if errors.Is(err, ErrNotSent) {
					t.Errorf("call %d was sent, but returned ErrNotSent", i)
				}
			}
			if *dials != tc.dials {
				t.Errorf("%d connections opened, want %d", *dials, tc.dials)
			}
		})
	}
}

func TestDoNotSent(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	c := New(Config{MaxConns: 1, MaxBodyBytes: 10, Dial: refuse})
	for range 3 {
		_, err := c.Do(t.Context(), Call{Addr: "a:1", Method: "GET", Target: "/", Timeout: time.Hour})
		if !errors.Is(err, ErrNotSent) || errors.Is(err, ErrBusy) {
			t.Errorf("dial refused: %v, want ErrNotSent without ErrBusy: a failed dial must not count as an open connection", err)
		}
	}
	c = New(Config{MaxConns: 0})
	_, err := c.Do(t.Context(), Call{Addr: "a:1", Timeout: time.Hour})
	if !errors.Is(err, ErrBusy) || !errors.Is(err, ErrNotSent) {
		t.Errorf("no connection free: %v, want ErrBusy and ErrNotSent", err)
	}
}

// TestDoDeadline checks that a call on a connection without a response ends at its deadline.
func TestDoDeadline(t *testing.T) {
	clientEnd, serverEnd := net.Pipe()
	defer serverEnd.Close()
	go func() { _, _ = http.ReadRequest(bufio.NewReader(serverEnd)) }()
	dial := func(context.Context, string, string) (net.Conn, error) { return clientEnd, nil }
	c := New(Config{MaxConns: 1, MaxBodyBytes: 10, DialTimeout: time.Hour, Dial: dial})
	_, err := c.Do(t.Context(), Call{Addr: "a:1", Method: "GET", Target: "/", Timeout: time.Millisecond})
	var netErr net.Error
	if !errors.As(err, &netErr) || !netErr.Timeout() {
		t.Errorf("%v, want a timeout", err)
	}
}
