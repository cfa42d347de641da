// Package http1 parses and writes the part of HTTP/1.1 that garnethitch speaks, for
// servers and clients alike: one message at a time, bodies framed by Content-Length or
// chunks (RFC 9112), no upgrades.
//
// The parsers work on a growing buffer: they are called again with more bytes until the
// message is whole or known to be broken.
package http1

import "errors"

// Limits bounds the size of a message.
type Limits struct {
	HeadBytes int // bytes of start line and header fields
	BodyBytes int // bytes of body
}

// ErrIncomplete says that the buffer holds the beginning of a message: parse again with more
// bytes.
var ErrIncomplete = errors.New("http1: message incomplete")

// ErrMalformed says that the bytes are no message, whatever follows.
var ErrMalformed = errors.New("http1: malformed message")

// ErrHeadTooLarge says that start line and header fields exceed Limits.Head or are too many.
var ErrHeadTooLarge = errors.New("http1: header section too large")

// ErrBodyTooLarge says that the body exceeds Limits.Body.
var ErrBodyTooLarge = errors.New("http1: body too large")

// Message is a parsed request or response. It holds no view of the parsed buffer.
type Message struct {
	Method     string // of a request
	Path       string // of a request, not decoded
	Query      string // of a request, not decoded, without the question mark
	Status     int    // of a response
	Body       []byte
	Close      bool   // the sender will close the connection
	RetryAfter string // value of the Retry-After header, empty if there is none
}
