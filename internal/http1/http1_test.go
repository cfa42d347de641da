package http1

import (
	"errors"
	"strings"
	"testing"
)

var limits = Limits{HeadBytes: 512, BodyBytes: 64}

func TestParseRequest(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		err      error
		method   string
		path     string
		query    string
		body     string
		closes   bool
		rest     string
	}{
		{name: "get", in: "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", method: "GET", path: "/ready"},
		{name: "query", in: "GET /keys?starts=a%2F&most=2 HTTP/1.1\r\n\r\n", method: "GET", path: "/keys", query: "starts=a%2F&most=2"},
		{name: "body", in: "POST /x HTTP/1.1\r\ncontent-LENGTH: 3\r\n\r\nabc", method: "POST", path: "/x", body: "abc"},
		{name: "bytes after the message", in: "POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nabc", method: "POST", path: "/x", body: "a", rest: "bc"},
		{name: "chunks", in: "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;q=1\r\nc\r\n0\r\nT: v\r\n\r\n", method: "POST", path: "/x", body: "abc"},
		{name: "close", in: "GET / HTTP/1.1\r\nConnection: keep-alive, Close\r\n\r\n", method: "GET", path: "/", closes: true},
		{name: "old version closes", in: "GET / HTTP/1.0\r\n\r\n", method: "GET", path: "/", closes: true},
		{name: "nothing", in: "", err: ErrIncomplete},
		{name: "half a line", in: "GET /re", err: ErrIncomplete},
		{name: "half a head", in: "GET / HTTP/1.1\r\nHost: a\r\n", err: ErrIncomplete},
		{name: "half a body", in: "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab", err: ErrIncomplete},
		{name: "half a chunk", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", err: ErrIncomplete},
		{name: "bare line feed", in: "GET / HTTP/1.1\nHost: a\n\n", err: ErrMalformed},
		{name: "no version", in: "GET /\r\n\r\n", err: ErrMalformed},
		{name: "other version", in: "GET / HTTP/2.0\r\n\r\n", err: ErrMalformed},
		{name: "absolute target", in: "GET http://a/ HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "space in target", in: "GET /a b HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "two lengths", in: "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", err: ErrMalformed},
		{name: "negative length", in: "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", err: ErrMalformed},
		{name: "length and chunks", in: "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", err: ErrMalformed},
		{name: "other coding", in: "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", err: ErrMalformed},
		{name: "folded field", in: "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", err: ErrMalformed},
		{name: "field without a name", in: "GET / HTTP/1.1\r\n: b\r\n\r\n", err: ErrMalformed},
		{name: "space before colon", in: "GET / HTTP/1.1\r\nHost : b\r\n\r\n", err: ErrMalformed},
		{name: "bad chunk size", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", err: ErrMalformed},
		{name: "huge chunk size", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n", err: ErrMalformed},
		{name: "chunk not closed", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", err: ErrMalformed},
		{name: "long body", in: "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", err: ErrBodyTooLarge},
		{name: "long chunks", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n", err: ErrBodyTooLarge},
		{name: "long head", in: "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 600) + "\r\n\r\n", err: ErrHeadTooLarge},
		{name: "endless line", in: "GET /" + strings.Repeat("x", 600), err: ErrHeadTooLarge},
		{name: "many fields", in: "GET / HTTP/1.1\r\n" + strings.Repeat("A:\r\n", 110) + "\r\n", err: ErrHeadTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			msg, n, err := ParseRequest([]byte(tc.in), limits)
			if !errors.Is(err, tc.err) {
				t.Fatalf("error %v, want %v", err, tc.err)
			}
			if err != nil {
				return
			}
			if msg.Method != tc.method || msg.Path != tc.path || msg.Query != tc.query || string(msg.Body) != tc.body || msg.Close != tc.closes {
				t.Errorf("got %+v with body %q", msg, msg.Body)
			}
			if rest := tc.in[n:]; rest != tc.rest {
				t.Errorf("bytes after the message %q, want %q", rest, tc.rest)
			}
		})
	}
}

func TestParseResponse(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		err      error
		status   int
		body     string
		retry    string
	}{
		{name: "ok", in: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", status: 200, body: "hi"},
		{name: "no reason", in: "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n", status: 404},
		{name: "retry", in: "HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n", status: 503, retry: "7"},
		{name: "no content", in: "HTTP/1.1 204 Empty\r\n\r\n", status: 204},
		{name: "unframed body", in: "HTTP/1.1 200 OK\r\n\r\nhi", err: ErrMalformed},
		{name: "interim", in: "HTTP/1.1 100 Continue\r\n\r\n", err: ErrMalformed},
		{name: "not http", in: "SSH-2.0-x\r\n\r\n", err: ErrMalformed},
		{name: "status not a number", in: "HTTP/1.1 2x0 OK\r\n\r\n", err: ErrMalformed},
		{name: "half", in: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh", err: ErrIncomplete},
	} {
		t.Run(tc.name, func(t *testing.T) {
			msg, _, err := ParseResponse([]byte(tc.in), limits)
			if !errors.Is(err, tc.err) {
				t.Fatalf("error %v, want %v", err, tc.err)
			}
			if err == nil && (msg.Status != tc.status || string(msg.Body) != tc.body || msg.RetryAfter != tc.retry) {
				t.Errorf("got %+v with body %q", msg, msg.Body)
			}
		})
	}
}

// FuzzParse checks that no input makes the parsers panic or exceed their limits, and that the bytes
// after a message do not change how it is parsed.
func FuzzParse(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	f.Fuzz(func(t *testing.T, in []byte) {
		for _, parse := range []func([]byte, Limits) (Message, int, error){ParseRequest, ParseResponse} {
			msg, n, err := parse(in, limits)
			if err != nil {
				continue
			}
			if n < 1 || n > len(in) || len(msg.Body) > limits.BodyBytes {
				t.Fatalf("parsed %d of %d bytes, body of %d bytes", n, len(in), len(msg.Body))
			}
			again, m, err := parse(in[:n], limits)
			if err != nil || m != n || string(again.Body) != string(msg.Body) {
				t.Fatalf("without the bytes after it the message is parsed differently: %d bytes, error %v", m, err)
			}
		}
	})
}
