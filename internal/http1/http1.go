// Package http1 parses and writes the subset of HTTP/1.1 that garnethitch uses, for both servers
// and clients. It handles one message at a time, with a body framed by Content-Length or chunked
// encoding (RFC 9112). It does not support upgrades.
//
// The parsers work on a growing buffer: the caller calls them again with more bytes until the
// message is complete or known to be malformed.
package http1

import "errors"

// Limits bounds the size of a message.
type Limits struct {
	HeadBytes int // maximum size of the start line and header fields
	BodyBytes int // maximum size of the body
}

// ErrIncomplete is returned if the buffer ends within a message. The caller parses again once it
// has more bytes.
var ErrIncomplete = errors.New("http1: message incomplete")

// ErrMalformed is returned if the buffer does not begin with a valid message, whatever bytes
// follow.
var ErrMalformed = errors.New("http1: malformed message")

// ErrHeadTooLarge is returned if the start line and header fields exceed Limits.HeadBytes, or if
// there are too many header fields.
var ErrHeadTooLarge = errors.New("http1: header section too large")

// ErrBodyTooLarge is returned if the body exceeds Limits.BodyBytes.
var ErrBodyTooLarge = errors.New("http1: body too large")

// Message is a parsed request or response. It does not refer to the parsed buffer.
type Message struct {
	Method     string // requests only
	Path       string // requests only; not decoded
	Query      string // requests only; not decoded, without the question mark
	Status     int    // responses only
	Body       []byte
	Close      bool   // the sender will close the connection after the message
	RetryAfter string // value of the Retry-After header; empty if there is none
}
