package garnethitch

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"garnethitch/internal/wire"
)

// TestPipeline is a user with docs/operations.md at hand: a pipeline is submitted to a
// whole controller, watched, and another one cancelled, over HTTP.
func TestPipeline(t *testing.T) {
	serve, internal := freeAddr(t), freeAddr(t)
	w, elsewhere := startWorld(t, 16, serve)
	c, err := New(Config{SettingsPath: writeSettings(t, serve, internal, elsewhere)})
	if err != nil {
		t.Fatal(err)
	}
	run(t, c)
	w.say("ready")
	do := func(method, path string, body any) (int, string) {
		t.Helper()
		var in io.Reader
		if body != nil {
			b, err := wire.Encode(body)
			if err != nil {
				t.Fatal(err)
			}
			in = bytes.NewReader(b)
		}
		req, err := http.NewRequest(method, "http://"+serve+path, in)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		var a wire.JobAnswer
		if len(b) > 0 {
			if err := wire.Decode(b, &a); err != nil {
				t.Fatal(err)
			}
		}
		return resp.StatusCode, a.State
	}
	job := func(n int, follows any) map[string]any {
		return map[string]any{"nameId": name(n), "herd": "c", "crew": "t", "gait": "sweep", "rank": "standard", "loads": 1,
			"cpus": 1.0, "gpus": 0.0, "memGb": 1.0, "tack": "i", "sizeGb": 1.0, "breeds": nil, "paddock": nil, "oneZone": false, "apart": false,
			"strays": true, "haulS": 5.0, "restS": 0.0, "stowS": 0.0, "dueS": nil, "follows": follows}
	}
	for _, tc := range []struct {
		what   string
		body   map[string]any
		status int
		state  string
	}{
		{"the first", job(501, nil), 201, wire.StatePending},
		{"after the first", job(502, []string{name(501)}), 201, wire.StatePending},
		{"after both", job(503, []string{name(502), name(501), name(502)}), 201, wire.StatePending},
		{"repeated, naming others", job(503, []string{name(999)}), 200, wire.StatePending},
		{"after one that nobody submitted", job(504, []string{name(999)}), 422, ""},
		{"after itself", job(505, []string{name(505)}), 422, ""},
		{"no list", job(506, name(501)), 400, ""},
		{"no ids", job(507, []string{"first"}), 400, ""},
	} {
		if status, state := do("POST", "/submissions", tc.body); status != tc.status || state != tc.state {
			t.Errorf("%s: %d %q, want %d %q", tc.what, status, state, tc.status, tc.state)
		}
	}
	// It runs in order: no later one is done before an earlier one.
	last := ""
	for end := time.Now().Add(30 * time.Second); last != wire.StateDone; {
		if time.Now().After(end) {
			t.Fatalf("the last job is called %q after 30 s", last)
		}
		w.say("turns 16")
		var states [3]string
		for i := 2; i >= 0; i-- { // the last first, so that a job before it can only be further
			_, states[i] = do("GET", "/submissions/"+name(501+i), nil)
		}
		for i := 1; i < 3; i++ {
			if states[i] != wire.StatePending && states[i-1] != wire.StateDone {
				t.Fatalf("states %q: %s went ahead", states, name(501+i))
			}
		}
		last = states[2]
		time.Sleep(50 * time.Millisecond)
	}
	for n, before := range []int{501, 601, 602} { // the first of them after one that is done
		do("POST", "/submissions", job(601+n, []string{name(before)}))
	}
	if status, state := do("POST", "/submissions/"+name(601)+"/withdraw", nil); status != 200 || state != wire.StateCancelled {
		t.Errorf("withdrawal: %d %q", status, state)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		_, second := do("GET", "/submissions/"+name(602), nil)
		status, third := do("GET", "/submissions/"+name(603), nil)
		if second == wire.StateCancelled && third == wire.StateCancelled {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("called %q and %d %q 10 s after the job before them was cancelled", second, status, third)
		}
	}
	if status, state := do("POST", "/submissions", job(604, []string{name(603)})); status != 201 || state != wire.StateCancelled {
		t.Errorf("after a cancelled one: %d %q", status, state)
	}
	if status, state := do("POST", "/submissions/"+name(503)+"/withdraw", nil); status != 200 || state != wire.StateDone {
		t.Errorf("withdrawal of a job that is done: %d %q", status, state)
	}
}

func name(n int) string { return fmt.Sprintf("job-%06d", n) }
