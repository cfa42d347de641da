// Package http1 parses and writes the part of HTTP/1.1 that garnethitch
// speaks, for servers and clients alike: one message at a time, bodies framed
// by Content-Length or chunks, no upgrades, no pipelining.
//
// The parser works on a growing buffer: it is asked again with more bytes until
// it either has a whole message or knows that the message is broken.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Limits bound what a peer can make us hold.
type Limits struct {
	Head int // bytes of start line and header fields
	Body int // bytes of body
}

// Errors that a parse can end in. ErrShort asks for more bytes; the others are final.
var (
	ErrShort     = errors.New("http1: message incomplete")
	ErrMalformed = errors.New("http1: malformed message")
	ErrHeadLarge = errors.New("http1: header section too large")
	ErrBodyLarge = errors.New("http1: body too large")
)

// Message is one parsed request or response. Its byte slices are copies or
// strings, never views of the caller's buffer.
type Message struct {
	Method, Path, Query string // requests
	Status              int    // responses
	Body                []byte
	Close               bool // the sender will close the connection
	RetryAfter          string
}

var crlf = []byte("\r\n")

// ParseRequest reads a request from the start of buf and returns it with the
// number of bytes that it took.
func ParseRequest(buf []byte, lim Limits) (Message, int, error) {
	var msg Message
	line, rest, err := cutLine(buf, lim.Head)
	if err != nil {
		return msg, 0, err
	}
	first := bytes.IndexByte(line, ' ')
	last := bytes.LastIndexByte(line, ' ')
	if first <= 0 || last <= first+1 {
		return msg, 0, ErrMalformed
	}
	method, target, version := line[:first], line[first+1:last], line[last+1:]
	if !isToken(method) || len(method) > 16 {
		return msg, 0, ErrMalformed
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		msg.Close = true
	default:
		return msg, 0, ErrMalformed
	}
	if target[0] != '/' {
		return msg, 0, ErrMalformed
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f {
			return msg, 0, ErrMalformed
		}
	}
	path, query, _ := bytes.Cut(target, []byte("?"))
	msg.Method, msg.Path, msg.Query = string(method), string(path), string(query)
	n, err := parseRest(&msg, buf, rest, lim, false)
	return msg, n, err
}

// ParseResponse reads a response from the start of buf. Interim 1xx responses
// are not expected by our protocols and count as malformed.
func ParseResponse(buf []byte, lim Limits) (Message, int, error) {
	var msg Message
	line, rest, err := cutLine(buf, lim.Head)
	if err != nil {
		return msg, 0, err
	}
	if len(line) < 12 || line[8] != ' ' || (len(line) > 12 && line[12] != ' ') {
		return msg, 0, ErrMalformed
	}
	switch string(line[:8]) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		msg.Close = true
	default:
		return msg, 0, ErrMalformed
	}
	status, ok := parseDigits(line[9:12])
	if !ok || status < 200 || status > 599 {
		return msg, 0, ErrMalformed
	}
	msg.Status = status
	n, err := parseRest(&msg, buf, rest, lim, true)
	return msg, n, err
}

// parseRest reads header fields from offset at of buf, then the body.
func parseRest(msg *Message, buf []byte, at int, lim Limits, response bool) (int, error) {
	length, chunked := -1, false
	for fields := 0; ; fields++ {
		if fields > 100 {
			return 0, ErrHeadLarge
		}
		line, n, err := cutLine(buf[at:], lim.Head-at)
		if err != nil {
			return 0, err
		}
		at += n
		if len(line) == 0 {
			break
		}
		colon := bytes.IndexByte(line, ':')
		if colon <= 0 || !isToken(line[:colon]) {
			return 0, ErrMalformed
		}
		value := bytes.Trim(line[colon+1:], " \t")
		switch {
		case foldEqual(line[:colon], "content-length"):
			v, ok := parseDigits(value)
			if !ok || (length >= 0 && length != v) {
				return 0, ErrMalformed
			}
			length = v
		case foldEqual(line[:colon], "transfer-encoding"):
			if !foldEqual(value, "chunked") || chunked {
				return 0, ErrMalformed
			}
			chunked = true
		case foldEqual(line[:colon], "connection"):
			for _, option := range bytes.Split(value, []byte(",")) {
				option = bytes.Trim(option, " \t")
				if foldEqual(option, "close") {
					msg.Close = true
				} else if foldEqual(option, "keep-alive") && !msg.Close {
					msg.Close = false
				}
			}
		case foldEqual(line[:colon], "retry-after"):
			msg.RetryAfter = string(value)
		}
	}
	switch {
	case chunked && length >= 0:
		return 0, ErrMalformed
	case chunked:
		return parseChunks(msg, buf, at, lim)
	case length < 0:
		if response && msg.Status != 204 && msg.Status != 304 {
			// A body that ends with the connection cannot be told from a cut one.
			return 0, ErrMalformed
		}
		return at, nil
	case length > lim.Body:
		return 0, ErrBodyLarge
	case len(buf)-at < length:
		return 0, ErrShort
	}
	msg.Body = bytes.Clone(buf[at : at+length])
	return at + length, nil
}

func parseChunks(msg *Message, buf []byte, at int, lim Limits) (int, error) {
	const line = 64
	for {
		size, n, err := cutLine(buf[at:], line)
		if err != nil {
			return 0, chunkErr(err)
		}
		digits, _, _ := bytes.Cut(size, []byte(";"))
		v, perr := strconv.ParseUint(string(bytes.Trim(digits, " \t")), 16, 31)
		if perr != nil {
			return 0, ErrMalformed
		}
		at += n
		if v == 0 {
			// Trailers are skipped, within the same bound as header fields.
			start := at
			for {
				field, n, err := cutLine(buf[at:], lim.Head-(at-start))
				if err != nil {
					return 0, err
				}
				at += n
				if len(field) == 0 {
					return at, nil
				}
			}
		}
		if len(msg.Body)+int(v) > lim.Body {
			return 0, ErrBodyLarge
		}
		if len(buf)-at < int(v)+2 {
			return 0, ErrShort
		}
		if !bytes.Equal(buf[at+int(v):at+int(v)+2], crlf) {
			return 0, ErrMalformed
		}
		msg.Body = append(msg.Body, buf[at:at+int(v)]...)
		at += int(v) + 2
	}
}

func chunkErr(err error) error {
	if errors.Is(err, ErrHeadLarge) {
		return ErrMalformed
	}
	return err
}

// cutLine gives the line at the start of buf without its CRLF, and the offset
// after it. A bare LF is refused: two readers could disagree about it.
func cutLine(buf []byte, limit int) (line []byte, next int, err error) {
	i := bytes.IndexByte(buf, '\n')
	if i < 0 {
		if len(buf) > limit {
			return nil, 0, ErrHeadLarge
		}
		return nil, 0, ErrShort
	}
	if i+1 > limit {
		return nil, 0, ErrHeadLarge
	}
	if i == 0 || buf[i-1] != '\r' {
		return nil, 0, ErrMalformed
	}
	line = buf[:i-1]
	if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
		return nil, 0, ErrMalformed
	}
	return line, i + 1, nil
}

func parseDigits(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > 9 {
		return 0, false
	}
	v := 0
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		v = v*10 + int(d-'0')
	}
	return v, true
}

func isToken(b []byte) bool {
	if len(b) == 0 {
		return false
	}
	for _, c := range b {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return true
}

// foldEqual compares b with a lower-case ASCII word without allocating.
func foldEqual(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i := range b {
		c := b[i]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// AppendRequest writes a request with a body of the given content type.
func AppendRequest(dst []byte, method, target, host, contentType string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	dst = append(dst, "\r\n"...)
	if len(body) > 0 {
		dst = append(dst, "Content-Type: "...)
		dst = append(dst, contentType...)
		dst = append(dst, "\r\n"...)
	}
	if len(body) > 0 || method == "POST" {
		dst = appendLength(dst, len(body))
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

// AppendResponse writes a response. retryAfter is in whole seconds, 0 for none.
func AppendResponse(dst []byte, status int, contentType string, body []byte, retryAfter int, closing bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reason(status)...)
	dst = append(dst, "\r\n"...)
	if len(body) > 0 {
		dst = append(dst, "Content-Type: "...)
		dst = append(dst, contentType...)
		dst = append(dst, "\r\n"...)
	}
	if retryAfter > 0 {
		dst = append(dst, "Retry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
		dst = append(dst, "\r\n"...)
	}
	if closing {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = appendLength(dst, len(body))
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

func appendLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, "\r\n"...)
}

func reason(status int) string {
	switch status {
	case 200:
		return "OK"
	case 201:
		return "Created"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 409:
		return "Conflict"
	case 413:
		return "Content Too Large"
	case 421:
		return "Misdirected Request"
	case 422:
		return "Unprocessable Content"
	case 429:
		return "Too Many Requests"
	case 431:
		return "Request Header Fields Too Large"
	case 503:
		return "Service Unavailable"
	}
	return fmt.Sprintf("Status %d", status)
}
