package wire

import "testing"

func TestParseJobPath(t *testing.T) {
	for _, tc := range []struct {
		path   string
		id     string
		action JobAction
	}{
		{"/submissions/job-000412", "job-000412", JobStatus},
		{"/submissions/nonsense", "nonsense", JobStatus},
		{"/submissions/withdraw", "withdraw", JobStatus},
		{"/submissions/job-000412/withdraw", "job-000412", CancelJob},
		{"/submissions//withdraw", "", CancelJob},
		{"/submissions/", "", NoJobAction},
		{"/submissions", "", NoJobAction},
		{"/submissions/job-000412/3", "", NoJobAction},
		{"/submissions/job-000412/", "", NoJobAction},
		{"/submissions/a/b/withdraw", "", NoJobAction},
		{"/elsewhere/job-000412", "", NoJobAction},
	} {
		t.Run(tc.path, func(t *testing.T) {
			if id, action := ParseJobPath(tc.path); id != tc.id || action != tc.action {
				t.Errorf("parsed as %q, %d, want %q, %d", id, action, tc.id, tc.action)
			}
		})
	}
}

// TestTargets checks that paths and queries have the form of the protocol's examples: query values
// are escaped, and the slashes of a key in a path are not.
func TestTargets(t *testing.T) {
	for _, tc := range []struct{ name, got, want string }{
		{"key", KeyPath("a/b"), "/keys/a/b"},
		{"keys", ListKeysTarget("c/", "c/7", 200), "/keys?starts=c%2F&most=200&since=c%2F7"},
		{"first keys", ListKeysTarget("c/", "", 200), "/keys?starts=c%2F&most=200"},
		{"watch", WatchTarget("c/", 431, 10000), "/watch?starts=c%2F&since=431&blockMs=10000"},
		{"lease", RenewLeasePath(7), "/grants/7/extend"},
		{"status of a job", JobStatusPath("job-000412"), "/submissions/job-000412"},
		{"cancellation of a job", CancelJobPath("job-000412"), "/submissions/job-000412/withdraw"},
		{"machines", ListMachinesTarget("vm-000230", 500), "/rentals?most=500&since=vm-000230"},
		{"first machines", ListMachinesTarget("", 500), "/rentals?most=500"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.got != tc.want {
				t.Errorf("got %q, want %q", tc.got, tc.want)
			}
		})
	}
}
