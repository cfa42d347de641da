package http1

import (
	"bytes"
	"net/http"
)

// maxMethodBytes bounds the length of a method's name.
const maxMethodBytes = 16

// Offsets in a status line such as "HTTP/1.1 200 OK": a version, a space, three digits and,
// after another space, an optional reason.
const (
	versionEnd  = len("HTTP/1.1")
	statusStart = versionEnd + 1
	statusEnd   = statusStart + len("200")
)

// maxStatus is the last status code of RFC 9110.
const maxStatus = 599

// ParseRequest parses the request at the start of buf. It returns the request and its length in
// bytes. The error is one of ErrIncomplete, ErrMalformed, ErrHeadTooLarge and ErrBodyTooLarge.
func ParseRequest(buf []byte, limits Limits) (Message, int, error) {
	var msg Message
	line, fieldsStart, err := cutLine(buf, limits.HeadBytes)
	if err != nil {
		return msg, 0, err
	}
	if !parseRequestLine(&msg, line) {
		return msg, 0, ErrMalformed
	}
	n, err := parseFieldsAndBody(&msg, buf, fieldsStart, limits)
	return msg, n, err
}

// ParseResponse parses the response at the start of buf. It returns the response and its length
// in bytes. The error is one of ErrIncomplete, ErrMalformed, ErrHeadTooLarge and ErrBodyTooLarge.
// Interim responses (1xx) are rejected as malformed.
func ParseResponse(buf []byte, limits Limits) (Message, int, error) {
	var msg Message
	line, fieldsStart, err := cutLine(buf, limits.HeadBytes)
	if err != nil {
		return msg, 0, err
	}
	if !parseStatusLine(&msg, line) {
		return msg, 0, ErrMalformed
	}
	n, err := parseFieldsAndBody(&msg, buf, fieldsStart, limits)
	return msg, n, err
}

func parseRequestLine(msg *Message, line []byte) bool {
	firstSpace := bytes.IndexByte(line, ' ')
	lastSpace := bytes.LastIndexByte(line, ' ')
	if firstSpace <= 0 || lastSpace <= firstSpace+1 {
		return false
	}
	method, target, version := line[:firstSpace], line[firstSpace+1:lastSpace], line[lastSpace+1:]
	if !isToken(method) || len(method) > maxMethodBytes {
		return false
	}
	if !parseVersion(msg, version) || !isTarget(target) {
		return false
	}
	path, query, _ := bytes.Cut(target, []byte("?"))
	msg.Method = string(method)
	msg.Path = string(path)
	msg.Query = string(query)
	return true
}

func parseStatusLine(msg *Message, line []byte) bool {
	if len(line) < statusEnd || line[versionEnd] != ' ' || (len(line) > statusEnd && line[statusEnd] != ' ') {
		return false
	}
	if !parseVersion(msg, line[:versionEnd]) {
		return false
	}
	status, ok := parseDigits(line[statusStart:statusEnd])
	if !ok || status < http.StatusOK || status > maxStatus {
		return false
	}
	msg.Status = status
	return true
}

// parseVersion reports whether the version is supported: HTTP/1.1 or HTTP/1.0. The sender of an
// HTTP/1.0 message is taken to close the connection after it.
func parseVersion(msg *Message, version []byte) bool {
	switch string(version) {
	case "HTTP/1.1":
		return true
	case "HTTP/1.0":
		msg.Close = true
		return true
	}
	return false
}

// isTarget reports whether a request target is in origin form and consists of visible ASCII
// characters. The target must not be empty.
func isTarget(target []byte) bool {
	if target[0] != '/' {
		return false
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}
