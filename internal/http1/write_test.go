package http1

import "testing"

// TestAppendRoundTrip checks that the parsers return what AppendRequest and AppendResponse were
// given.
func TestAppendRoundTrip(t *testing.T) {
	req := AppendRequest(nil, "POST", "/a?b=c", "h:1", "application/cbor", []byte("xyz"))
	msg, n, err := ParseRequest(req, limits)
	if err != nil || n != len(req) || msg.Path != "/a" || msg.Query != "b=c" || string(msg.Body) != "xyz" {
		t.Errorf("request parsed back as %+v, %d of %d bytes, %v", msg, n, len(req), err)
	}
	resp := AppendResponse(nil, 503, "application/cbor", []byte("no"), 4, true)
	msg, n, err = ParseResponse(resp, limits)
	if err != nil || n != len(resp) || msg.Status != 503 || msg.RetryAfter != "4" || !msg.Close || string(msg.Body) != "no" {
		t.Errorf("response parsed back as %+v, %d of %d bytes, %v", msg, n, len(resp), err)
	}
}
