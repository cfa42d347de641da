package garnethitch_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"garnethitch"
	"garnethitch/internal/wire"
)

// user sends users' requests to the controller at an address. docs/operations.md describes the
// requests.
type user struct {
	t    *testing.T
	addr string
}

// do sends a request and returns the status of the response and the job state in its body.
func (u user) do(method, path string, body any) (status int, state wire.JobState) {
	u.t.Helper()
	var in io.Reader
	if body != nil {
		encoded, err := wire.Encode(body)
		if err != nil {
			u.t.Fatal(err)
		}
		in = bytes.NewReader(encoded)
	}
	req, err := http.NewRequest(method, "http://"+u.addr+path, in)
	if err != nil {
		u.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		u.t.Fatal(err)
	}
	defer resp.Body.Close()
	encoded, err := io.ReadAll(resp.Body)
	if err != nil {
		u.t.Fatal(err)
	}
	var answer wire.JobAnswer
	if len(encoded) > 0 {
		if err := wire.Decode(encoded, &answer); err != nil {
			u.t.Fatal(err)
		}
	}
	return resp.StatusCode, answer.State
}

// submit submits a job.
func (u user) submit(job map[string]any) (status int, state wire.JobState) {
	u.t.Helper()
	return u.do("POST", "/submissions", job)
}

// status requests the state of the job with the given number.
func (u user) status(n int) (status int, state wire.JobState) {
	u.t.Helper()
	return u.do("GET", "/submissions/"+jobID(n), nil)
}

// cancel requests the cancellation of the job with the given number.
func (u user) cancel(n int) (status int, state wire.JobState) {
	u.t.Helper()
	return u.do("POST", "/submissions/"+jobID(n)+"/withdraw", nil)
}

// jobID returns the ID of the job with the given number.
func jobID(n int) string { return fmt.Sprintf("job-%06d", n) }

// dependentJob returns a submission with the given dependencies, which may be malformed.
func dependentJob(n int, dependencies any) map[string]any {
	return map[string]any{
		"nameId": jobID(n), "herd": "c", "crew": "t", "gait": "sweep", "rank": "standard", "loads": 1,
		"cpus": 1.0, "gpus": 0.0, "memGb": 1.0, "tack": "i", "sizeGb": 1.0, "breeds": nil, "paddock": nil,
		"oneZone": false, "apart": false, "strays": true, "haulS": 5.0, "restS": 0.0, "stowS": 0.0, "dueS": nil,
		"follows": dependencies,
	}
}

// TestDependencies submits dependent jobs to a complete controller over HTTP and checks that they
// run in order, and that jobs are cancelled together with the job that they depend on.
func TestDependencies(t *testing.T) {
	serve, internal := freeAddr(t), freeAddr(t)
	p, services := startFakes(t, 16, serve)
	controller, err := garnethitch.New(garnethitch.Config{SettingsPath: writeSettings(t, serve, internal, services)})
	if err != nil {
		t.Fatal(err)
	}
	startController(t, controller)
	p.send("ready")
	u := user{t, serve}
	checkDependentSubmissions(u)
	checkRunsInOrder(u, p)
	checkCancellationCascade(u)
	if status, state := u.cancel(503); status != 200 || state != wire.StateDone {
		t.Errorf("cancellation of a job that is done: status %d, state %q, want 200 and done", status, state)
	}
}

// checkDependentSubmissions checks the responses to valid and invalid submissions with dependencies.
func checkDependentSubmissions(u user) {
	u.t.Helper()
	for _, tc := range []struct {
		name   string
		job    map[string]any
		status int
		state  wire.JobState
	}{
		{"no dependencies", dependentJob(501, nil), 201, wire.StatePending},
		{"one dependency", dependentJob(502, []string{jobID(501)}), 201, wire.StatePending},
		{"two, one named twice", dependentJob(503, []string{jobID(502), jobID(501), jobID(502)}), 201, wire.StatePending},
		{"repeated with other dependencies", dependentJob(503, []string{jobID(999)}), 200, wire.StatePending},
		{"on a job that was never submitted", dependentJob(504, []string{jobID(999)}), 422, ""},
		{"on itself", dependentJob(505, []string{jobID(505)}), 422, ""},
		{"not a list", dependentJob(506, jobID(501)), 400, ""},
		{"not a job ID", dependentJob(507, []string{"first"}), 400, ""},
	} {
		if status, state := u.submit(tc.job); status != tc.status || state != tc.state {
			u.t.Errorf("%s: status %d, state %q, want status %d, state %q", tc.name, status, state, tc.status, tc.state)
		}
	}
}

// checkRunsInOrder checks that none of the three jobs starts before the job that it depends on is
// done. It returns when the last job is done.
func checkRunsInOrder(u user, p *fakesProcess) {
	u.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for last := wire.JobState(""); last != wire.StateDone; {
		if time.Now().After(deadline) {
			u.t.Fatalf("the last job is in state %q after 30 s, want done", last)
		}
		p.send("turns 16")
		var states [3]wire.JobState
		for i := 2; i >= 0; i-- { // a dependency after its dependent, so that its state is no older
			_, states[i] = u.status(501 + i)
		}
		for i := 1; i < 3; i++ {
			if states[i] != wire.StatePending && states[i-1] != wire.StateDone {
				u.t.Fatalf("states %q: %s started before its dependency was done", states, jobID(501+i))
			}
		}
		last = states[2]
		time.Sleep(50 * time.Millisecond)
	}
}

// checkCancellationCascade checks that all direct and indirect dependents of a cancelled job are
// cancelled, whether they were submitted before or after the cancellation.
func checkCancellationCascade(u user) {
	u.t.Helper()
	for n, dependency := range []int{501, 601, 602} { // 501 is done
		u.submit(dependentJob(601+n, []string{jobID(dependency)}))
	}
	if status, state := u.cancel(601); status != 200 || state != wire.StateCancelled {
		u.t.Errorf("cancellation: status %d, state %q, want 200 and cancelled", status, state)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		_, second := u.status(602)
		status, third := u.status(603)
		if second == wire.StateCancelled && third == wire.StateCancelled {
			break
		}
		if time.Now().After(deadline) {
			u.t.Fatalf("second job in state %q, third with status %d and state %q, 10 s after their dependency was cancelled", second, status, third)
		}
	}
	if status, state := u.submit(dependentJob(604, []string{jobID(603)})); status != 201 || state != wire.StateCancelled {
		u.t.Errorf("submitted after the cancellation: status %d, state %q, want 201 and cancelled", status, state)
	}
}
