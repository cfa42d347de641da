package http1

import "bytes"

// maxDigits bounds the length of a decimal number so that it fits into an int on every platform.
const maxDigits = 9

// cutLine returns the line at the start of buf without its CRLF, and the offset after the CRLF.
// It returns ErrHeadTooLarge if the line with its CRLF is longer than limit bytes. A bare LF is
// malformed, because parsers disagree on whether it ends a line.
func cutLine(buf []byte, limit int) (line []byte, next int, err error) {
	lf := bytes.IndexByte(buf, '\n')
	if lf < 0 {
		if len(buf) > limit {
			return nil, 0, ErrHeadTooLarge
		}
		return nil, 0, ErrIncomplete
	}
	if lf+1 > limit {
		return nil, 0, ErrHeadTooLarge
	}
	if lf == 0 || buf[lf-1] != '\r' {
		return nil, 0, ErrMalformed
	}
	line = buf[:lf-1]
	if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
		return nil, 0, ErrMalformed
	}
	return line, lf + 1, nil
}

// parseDigits parses a decimal number of at most maxDigits digits. It returns false if b is not
// such a number.
func parseDigits(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > maxDigits {
		return 0, false
	}
	value := 0
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		value = value*10 + int(d-'0')
	}
	return value, true
}

// isToken reports whether b is a token as defined by RFC 9110. Methods and field names are tokens.
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

// foldEqual reports whether b equals lower, a lower-case ASCII word, ignoring case. It does not
// allocate.
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
