package garnethitch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func writeSettings(t testing.TB, serve, internal, elsewhere string) string {
	path := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf(`
label = "n-0"
site = "a"
serve_on = %q
internal_addr = %q
[endpoints]
cloud = %q
state = %q
[cluster]
nodes = 1
zones = ["a"]
[[cluster.teams]]
name = "t"
[cluster.workers]
report_s = 3.0
lease_s = 45.0
cancel_s = 70.0
[cluster.state]
rps = 150.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 8
[cluster.cloud]
rps = 5.0
list_lag_s = 3.0
[cluster.resources]
core_share = 0.24
ram_mb = 451.0
sockets = 5000
`, serve, internal, elsewhere, elsewhere)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// run lets a controller run until the test ends.
func run(tb testing.TB, c *Controller) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			tb.Error(err)
		}
	})
}

// TestAlone runs a whole controller that reaches neither the state service nor
// the cloud: it must answer everything at once, and nothing wrongly.
func TestAlone(t *testing.T) {
	serve, internal := freeAddr(t), freeAddr(t)
	c, err := New(Config{SettingsPath: writeSettings(t, serve, internal, freeAddr(t))})
	if err != nil {
		t.Fatal(err)
	}
	run(t, c)
	for { // until it listens
		if conn, err := net.Dial("tcp4", serve); err == nil {
			conn.Close()
			break
		}
	}
	// {"nameId": "job-000001", ...} in CBOR, by hand: all fields.
	good := []byte{0xb4}
	text := func(s string) { good = append(append(good, 0x78, byte(len(s))), s...) }
	for _, kv := range [][2]string{{"nameId", "job-000001"}, {"herd", "c"}, {"crew", "t"}, {"gait", "sweep"}, {"rank", "high"}, {"tack", "i"}} {
		text(kv[0])
		text(kv[1])
	}
	for _, k := range []string{"loads", "cpus", "gpus", "memGb", "sizeGb", "haulS", "restS", "stowS", "dueS"} {
		text(k)
		good = append(good, 0x01)
	}
	for _, k := range []string{"breeds", "paddock"} {
		text(k)
		good = append(good, 0xf6)
	}
	for _, k := range []string{"oneZone", "apart", "strays"} {
		text(k)
		good = append(good, 0xf4)
	}
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
		{"POST", "/submissions", good, 503},
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
				t.Error("no time to come back")
			}
		})
	}
	resp, err := http.Post("http://"+internal+"/peer", "application/msgpack", strings.NewReader("\xc1garbage"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 400 {
		t.Errorf("garbage from a peer: %d, want 400", resp.StatusCode)
	}
}

func TestBadSettings(t *testing.T) {
	if _, err := New(Config{SettingsPath: filepath.Join(t.TempDir(), "none.toml")}); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("a missing file: %v", err)
	}
	path := writeSettings(t, "127.0.0.1:1", "nonsense", "127.0.0.1:2")
	if _, err := New(Config{SettingsPath: path}); err == nil || !strings.Contains(err.Error(), "internal_addr") {
		t.Errorf("a bad address: %v", err)
	}
}
