package http1

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	// maxChunkLineBytes bounds the line that gives a chunk's size.
	maxChunkLineBytes = 64
	// chunkSizeBits bounds a chunk's size so that it fits into an int on every platform.
	chunkSizeBits = 31
)

var crlf = []byte("\r\n")

// parseChunks parses a chunked body that starts at an offset in buf, and appends its data to
// msg.Body. It returns the offset after the body.
func parseChunks(msg *Message, buf []byte, offset int, limits Limits) (int, error) {
	for {
		size, n, err := parseChunkSize(buf[offset:])
		if err != nil {
			return 0, err
		}
		offset += n
		if size == 0 {
			return skipTrailers(buf, offset, limits)
		}
		if len(msg.Body)+size > limits.BodyBytes {
			return 0, ErrBodyTooLarge
		}
		end := offset + size
		next := end + len(crlf)
		if len(buf) < next {
			return 0, ErrIncomplete
		}
		if !bytes.Equal(buf[end:next], crlf) {
			return 0, ErrMalformed
		}
		msg.Body = append(msg.Body, buf[offset:end]...)
		offset = next
	}
}

// parseChunkSize parses the line before a chunk. It returns the chunk's size and the length of
// the line, both in bytes.
func parseChunkSize(buf []byte) (size, n int, err error) {
	line, n, err := cutLine(buf, maxChunkLineBytes)
	if errors.Is(err, ErrHeadTooLarge) {
		return 0, 0, ErrMalformed
	}
	if err != nil {
		return 0, 0, err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	value, err := strconv.ParseUint(string(bytes.Trim(digits, " \t")), 16, chunkSizeBits)
	if err != nil {
		return 0, 0, ErrMalformed
	}
	return int(value), n, nil
}

// skipTrailers returns the offset after the trailer fields that start at an offset in buf.
// Limits.HeadBytes bounds their size too.
func skipTrailers(buf []byte, offset int, limits Limits) (int, error) {
	start := offset
	for {
		line, n, err := cutLine(buf[offset:], limits.HeadBytes-(offset-start))
		if err != nil {
			return 0, err
		}
		offset += n
		if len(line) == 0 {
			return offset, nil
		}
	}
}
