// Package client makes outbound HTTP/1.1 calls over pooled connections. A connection carries one
// request at a time and is reused as long as the server allows it. Every call has a deadline.
// Calls are never retried, because only the caller knows whether a retry is safe.
package client

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"garnethitch/internal/http1"
)

const (
	// maxHeadBytes bounds the status line and header fields of a response.
	maxHeadBytes = 8 << 10
	// requestHeadCapacity is the buffer space in bytes reserved for the head of a request.
	requestHeadCapacity = 256
	// initialResponseCapacity is the initial size in bytes of the buffer for a response.
	initialResponseCapacity = 2048
)

// ErrNotSent is returned, wrapped, for a call of which no byte was sent.
var ErrNotSent = errors.New("client: not sent")

// ErrBusy is returned, wrapped together with ErrNotSent, if Config.MaxConns connections are in use.
var ErrBusy = errors.New("client: no connection free")

// Config configures a Client.
type Config struct {
	MaxIdle      int           // maximum number of idle connections per address
	MaxConns     int           // maximum number of open connections over all addresses
	MaxBodyBytes int           // maximum size of a response body
	IdleTimeout  time.Duration // maximum time that a connection stays idle
	DialTimeout  time.Duration // maximum time to connect, within the call's deadline
	// Dial opens connections. If it is nil, a net.Dialer without TCP keep-alive is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client makes calls. It is safe for concurrent use.
type Client struct {
	cfg       Config
	mu        sync.Mutex             // guards the fields below
	openConns int                    // number of connections that are in use, idle or being dialed
	idle      map[string][]*idleConn // by address, the longest idle first
	idleByAge *list.List             // of *idleConn over all addresses, the longest idle first
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		dialer := &net.Dialer{KeepAlive: -1}
		cfg.Dial = dialer.DialContext
	}
	return &Client{cfg: cfg, idle: map[string][]*idleConn{}, idleByAge: list.New()}
}

// Call is one request.
type Call struct {
	Addr         string // IP:port
	Method       string
	Target       string // path and query
	ContentType  string // media type of Body; not sent without a body
	Body         []byte
	Timeout      time.Duration // for the whole call
	MaxBodyBytes int           // maximum size of the response body; 0: Config.MaxBodyBytes
}

// Do makes the call and reads the whole response. If the error is ErrNotSent, the server has
// received nothing of the call. After any other error the server may have executed the call.
func (c *Client) Do(ctx context.Context, call Call) (http1.Message, error) {
	deadline := time.Now().Add(call.Timeout)
	conn, err := c.connect(ctx, call.Addr, deadline)
	if err != nil {
		return http1.Message{}, fmt.Errorf("%w: %s: %w", ErrNotSent, call.Addr, err)
	}
	msg, err := c.exchange(conn, call, deadline)
	if err != nil || msg.Close {
		c.discard(conn)
	} else {
		c.release(call.Addr, conn)
	}
	if err != nil {
		return msg, fmt.Errorf("%s %s: %w", call.Method, call.Target, err)
	}
	return msg, nil
}

// exchange sends the request on a connection and reads the response.
func (c *Client) exchange(conn net.Conn, call Call, deadline time.Time) (http1.Message, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return http1.Message{}, err
	}
	request := make([]byte, 0, requestHeadCapacity+len(call.Body))
	request = http1.AppendRequest(request, call.Method, call.Target, call.Addr, call.ContentType, call.Body)
	if _, err := conn.Write(request); err != nil {
		return http1.Message{}, err
	}
	maxBody := call.MaxBodyBytes
	if maxBody == 0 {
		maxBody = c.cfg.MaxBodyBytes
	}
	return readResponse(conn, http1.Limits{HeadBytes: maxHeadBytes, BodyBytes: maxBody})
}

func readResponse(conn net.Conn, limits http1.Limits) (http1.Message, error) {
	buf := make([]byte, 0, initialResponseCapacity)
	for {
		if len(buf) == cap(buf) {
			buf = doubleCapacity(buf)
		}
		n, readErr := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			msg, used, err := http1.ParseResponse(buf, limits)
			if err == nil && used != len(buf) {
				msg.Close = true // the surplus bytes belong to no request: do not reuse the connection
			}
			if !errors.Is(err, http1.ErrIncomplete) {
				return msg, err
			}
		}
		if readErr != nil {
			return http1.Message{}, readErr
		}
	}
}

func doubleCapacity(buf []byte) []byte {
	bigger := make([]byte, len(buf), 2*cap(buf))
	copy(bigger, buf)
	return bigger
}
