package garnethitch_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"garnethitch"
)

// TestControllerWithoutServices runs a controller that can reach neither the state service nor the
// cloud. The controller must still respond to every request at once, with the right status.
func TestControllerWithoutServices(t *testing.T) {
	serve, internal := freeAddr(t), freeAddr(t)
	controller, err := garnethitch.New(garnethitch.Config{SettingsPath: writeSettings(t, serve, internal, freeAddr(t))})
	if err != nil {
		t.Fatal(err)
	}
	startController(t, controller)
	waitUntilListening(serve)
	for _, tc := range []struct {
		method, path string
		body         []byte
		want         int
	}{
		{"GET", "/ready", nil, 503},
		{"POST", "/ready", nil, 405},
		{"GET", "/nowhere", nil, 404},
		{"GET", "/submissions", nil, 405},
		{"POST", "/submissions", []byte("{}"), 400},
		{"POST", "/submissions", wellFormedSubmission(), 503},
		{"POST", "/submissions", bytes.Repeat([]byte("x"), 70_000), 413},
		{"GET", "/submissions/", nil, 404},
		{"GET", "/submissions/nonsense", nil, 404},
		{"DELETE", "/submissions/job-000001", nil, 405},
		{"POST", "/submissions/nonsense/withdraw", nil, 404},
		{"GET", "/submissions/job-000001/withdraw", nil, 405},
		{"POST", "/checkin", []byte{0xa0}, 400},
		{"POST", "/checkin", []byte("garbage"), 400},
	} {
		t.Run(tc.method+" "+tc.path+" "+fmt.Sprint(len(tc.body)), func(t *testing.T) {
			req, err := http.NewRequest(tc.method, "http://"+serve+tc.path, bytes.NewReader(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != tc.want {
				t.Errorf("status %d, want %d", resp.StatusCode, tc.want)
			}
			if tc.path == "/submissions" && tc.want == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("the 503 response has no Retry-After header")
			}
		})
	}
	resp, err := http.Post("http://"+internal+"/peer", "application/msgpack", strings.NewReader("\xc1garbage"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != 400 {
		t.Errorf("malformed request from a peer: status %d, want 400", resp.StatusCode)
	}
}

// waitUntilListening returns when the address accepts connections.
func waitUntilListening(addr string) {
	for {
		if conn, err := net.Dial("tcp4", addr); err == nil {
			conn.Close()
			return
		}
	}
}

// wellFormedSubmission returns a submission with all fields except dependencies, encoded in CBOR by
// hand.
func wellFormedSubmission() []byte {
	const (
		mapOf20    = 0xb4
		textByte   = 0x78 // a text string whose length follows in one byte
		one        = 0x01
		null       = 0xf6
		falseValue = 0xf4
	)
	body := []byte{mapOf20}
	text := func(s string) { body = append(append(body, textByte, byte(len(s))), s...) }
	for _, field := range [][2]string{
		{"nameId", "job-000001"}, {"herd", "c"}, {"crew", "t"}, {"gait", "sweep"}, {"rank", "high"}, {"tack", "i"},
	} {
		text(field[0])
		text(field[1])
	}
	for _, key := range []string{"loads", "cpus", "gpus", "memGb", "sizeGb", "haulS", "restS", "stowS", "dueS"} {
		text(key)
		body = append(body, one)
	}
	for _, key := range []string{"breeds", "paddock"} {
		text(key)
		body = append(body, null)
	}
	for _, key := range []string{"oneZone", "apart", "strays"} {
		text(key)
		body = append(body, falseValue)
	}
	return body
}

// TestUnusableSettings checks that New fails for a missing settings file and for an invalid field,
// and names the file or the field.
func TestUnusableSettings(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.toml")
	if _, err := garnethitch.New(garnethitch.Config{SettingsPath: missing}); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("a missing file: error %v, want one that names it", err)
	}
	path := writeSettings(t, "127.0.0.1:1", "nonsense", "127.0.0.1:2")
	if _, err := garnethitch.New(garnethitch.Config{SettingsPath: path}); err == nil || !strings.Contains(err.Error(), "internal_addr") {
		t.Errorf("an invalid address: error %v, want one that names the field", err)
	}
}
