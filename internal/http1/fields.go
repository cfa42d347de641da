package http1

import (
	"bytes"
	"net/http"
)

// maxFields bounds the number of header fields.
const maxFields = 100

// unknownLength is the content length of a message without a Content-Length field.
const unknownLength = -1

// framing describes how the end of the body is found, according to the header fields.
type framing struct {
	length  int // bytes, or unknownLength
	chunked bool
}

// parseFieldsAndBody parses the header fields that start at an offset in buf, and the body
// after them. It returns the offset after the message.
func parseFieldsAndBody(msg *Message, buf []byte, offset int, limits Limits) (int, error) {
	body := framing{length: unknownLength}
	for fields := 0; ; fields++ {
		if fields > maxFields {
			return 0, ErrHeadTooLarge
		}
		line, n, err := cutLine(buf[offset:], limits.HeadBytes-offset)
		if err != nil {
			return 0, err
		}
		offset += n
		if len(line) == 0 {
			return parseBody(msg, buf, offset, body, limits)
		}
		if !parseField(msg, &body, line) {
			return 0, ErrMalformed
		}
	}
}

// parseField parses one header field into msg or body. It returns false if the line is malformed
// or contradicts an earlier field.
func parseField(msg *Message, body *framing, line []byte) bool {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) {
		return false
	}
	name, value := line[:colon], bytes.Trim(line[colon+1:], " \t")
	switch {
	case foldEqual(name, "content-length"):
		length, ok := parseDigits(value)
		if !ok || (body.length != unknownLength && body.length != length) {
			return false
		}
		body.length = length
	case foldEqual(name, "transfer-encoding"):
		if !foldEqual(value, "chunked") || body.chunked {
			return false
		}
		body.chunked = true
	case foldEqual(name, "connection"):
		parseConnection(msg, value)
	case foldEqual(name, "retry-after"):
		msg.RetryAfter = string(value)
	}
	return true
}

// parseConnection sets msg.Close if the value of a Connection field contains "close".
func parseConnection(msg *Message, value []byte) {
	for _, option := range bytes.Split(value, []byte(",")) {
		if foldEqual(bytes.Trim(option, " \t"), "close") {
			msg.Close = true
		}
	}
}

// parseBody parses the body that starts at an offset in buf, and returns the offset after it.
func parseBody(msg *Message, buf []byte, offset int, body framing, limits Limits) (int, error) {
	switch {
	case body.chunked && body.length != unknownLength:
		return 0, ErrMalformed
	case body.chunked:
		return parseChunks(msg, buf, offset, limits)
	case body.length == unknownLength:
		if !mayOmitLength(msg) {
			return 0, ErrMalformed
		}
		return offset, nil
	case body.length > limits.BodyBytes:
		return 0, ErrBodyTooLarge
	case len(buf)-offset < body.length:
		return 0, ErrIncomplete
	}
	end := offset + body.length
	msg.Body = bytes.Clone(buf[offset:end])
	return end, nil
}

// mayOmitLength reports whether a message without framing has no body. A response whose body
// ends with the connection is rejected, because a complete body could not be distinguished from
// a truncated one.
func mayOmitLength(msg *Message) bool {
	isRequest := msg.Status == 0
	return isRequest || msg.Status == http.StatusNoContent || msg.Status == http.StatusNotModified
}
