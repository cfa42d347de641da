package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// object is a CBOR map with text keys.
type object map[string]any

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DefaultMapType: nil, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func decode(b []byte, v any) error { return decoder.Unmarshal(b, v) }

// plain turns a decoded CBOR value into one that encoding/json takes, to measure its text.
func plain(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for key, value := range v {
			out[fmt.Sprint(key)] = plain(value)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = plain(v[i])
		}
		return out
	}
	return v
}

// reply writes an answer with a CBOR body; a nil body is empty.
func reply(rw http.ResponseWriter, status int, body any) {
	var b []byte
	if body != nil {
		b = encode(body)
	}
	rw.Header().Set("Content-Type", "application/cbor")
	rw.Header().Set("Content-Length", strconv.Itoa(len(b)))
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

// hang keeps a request unanswered and then drops the connection.
func hang(ctx context.Context, limit time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(limit):
	}
	panic(http.ErrAbortHandler)
}

// serve serves a handler on a free loopback port and returns the address.
func serve(h http.Handler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	srv := &http.Server{Handler: h, ErrorLog: nil}
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String()
}

// freeAddress returns a loopback address whose port is free now. It is below the ports that outgoing
// connections take, so that it stays free while its process is down.
func freeAddress() string {
	for range 200 {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(18_000)))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String()
		}
	}
	cannotRun("no free port")
	return ""
}

// answer is the answer to a request; status is 0 if there was none.
type answer struct {
	status     int
	body       []byte
	retryAfter time.Duration
	err        error
}

func newClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 15 * time.Second, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

var errCut = errors.New("cut off")

// request sends a request with a CBOR body, which may be nil.
func request(client *http.Client, method, address, path string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Content-Type", "application/cbor")
	res, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: err}
	}
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return answer{status: res.StatusCode, body: b, retryAfter: time.Duration(seconds) * time.Second}
}
