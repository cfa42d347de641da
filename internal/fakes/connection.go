package fakes

import (
	"net"
	"time"

	"garnethitch/internal/http1"
	"garnethitch/internal/wire"
)

// Sizes in bytes: the largest head and body of a response that a Connection accepts, and how
// much it reads at a time.
const (
	maxResponseHead = 8 << 10
	maxResponseBody = 64 << 10
	readChunk       = 8 << 10
)

// Connection is a connection to a controller that is kept open between requests. After an error
// the next request opens a new one.
type Connection struct {
	address string
	timeout time.Duration // of dialing, and of a whole request; 0: none
	conn    net.Conn
	buffer  []byte
}

// NewConnection returns a connection to an address. The first request opens it. The timeout
// applies to dialing, and to each request with its response; 0 means no timeout.
func NewConnection(address string, timeout time.Duration) *Connection {
	return &Connection{address: address, timeout: timeout}
}

// RequestOnce sends one request on a new connection, and closes the connection.
func RequestOnce(address string, timeout time.Duration, method, path string, body []byte) (http1.Message, error) {
	c := NewConnection(address, timeout)
	defer c.close()
	return c.Request(method, path, body)
}

// Request sends a request and returns the response. It closes the connection after an error, or
// if the response asks for that.
func (c *Connection) Request(method, path string, body []byte) (http1.Message, error) {
	msg, err := c.exchange(method, path, body)
	if err != nil || msg.Close {
		c.close()
	}
	return msg, err
}

func (c *Connection) exchange(method, path string, body []byte) (http1.Message, error) {
	if err := c.open(); err != nil {
		return http1.Message{}, err
	}
	if c.timeout > 0 {
		if err := c.conn.SetDeadline(time.Now().Add(c.timeout)); err != nil {
			return http1.Message{}, err
		}
	}
	if _, err := c.conn.Write(http1.AppendRequest(nil, method, path, c.address, wire.ContentType, body)); err != nil {
		return http1.Message{}, err
	}
	return c.readResponse()
}

func (c *Connection) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", c.address, c.timeout)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

func (c *Connection) readResponse() (http1.Message, error) {
	c.buffer = c.buffer[:0]
	chunk := make([]byte, readChunk)
	for {
		n, err := c.conn.Read(chunk)
		c.buffer = append(c.buffer, chunk[:n]...)
		msg, _, parseErr := http1.ParseResponse(c.buffer, http1.Limits{HeadBytes: maxResponseHead, BodyBytes: maxResponseBody})
		if parseErr == nil {
			return msg, nil
		}
		if err != nil {
			return msg, err
		}
	}
}

func (c *Connection) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
