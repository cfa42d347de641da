package http1

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	// maxChunkLineBytes bounds the line with a chunk's size.
	maxChunkLineBytes = 64
	// chunkSizeBits bounds a chunk's size, so that it fits an int on every platform.
	chunkSizeBits = 31
)

var crlf = []byte("\r\n")

// parseChunks parses a chunked body, which starts at an offset of buf, and returns the
// offset after it.
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

// parseChunkSize parses the line before a chunk, and returns the chunk's size and the
// number of bytes of the line.
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

// skipTrailers returns the offset after the trailers, which are bounded as header fields
// are.
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
