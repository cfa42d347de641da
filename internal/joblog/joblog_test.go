package joblog

import (
	"io"
	"strings"
	"testing"
)

// TestWrite checks that the output contains all lines about the job from all controllers, lines
// about machines that ran its tasks, and lines about which controller was entitled to issue
// commands to them, and that it contains no lines about other jobs.
func TestWrite(t *testing.T) {
	logs := map[string]string{
		"n-0": `time=2026-12-03T10:00:01.000Z level=INFO msg="lease granted" lease=4
time=2026-12-03T10:00:02.000Z level=INFO msg="shard entitlement" shard=1 epoch=9 may_command=true reason=current_view
time=2026-12-03T10:00:02.000Z level=INFO msg="shard entitlement" shard=2 epoch=9 may_command=true reason=current_view
time=2026-12-03T10:00:05.000Z level=INFO msg="job cancelled" job=job-000001 from=record shard=1
time=2026-12-03T10:00:07.000Z level=DEBUG msg="task exited" task=job-000001/3 machine=vm-1 reason=halted
`,
		"n-1": `time=2026-12-03T10:00:04.000Z level=INFO msg="job cancellation requested" job=job-000001 shard=1
time=2026-12-03T10:00:06.000Z level=DEBUG msg=report machine=vm-1 answered=true
time=2026-12-03T10:00:06.000Z level=DEBUG msg=report machine=vm-2 answered=true
time=2026-12-03T10:00:06.500Z level=DEBUG msg="task exited" task=job-000012/3 machine=vm-1 reason=done
a line of something else
`,
	}
	var in []Log
	for _, name := range []string{"n-0", "n-1"} {
		in = append(in, Log{Controller: name, Open: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(logs[name])), nil }})
	}
	var out strings.Builder
	if err := Write(&out, "job-000001", "", in); err != nil {
		t.Fatal(err)
	}
	want := `10:00:01.000  n-0  lease granted lease=4
10:00:02.000  n-0  shard entitlement shard=1 epoch=9 may_command=true reason=current_view
10:00:04.000  n-1  job cancellation requested job=job-000001 shard=1
10:00:05.000  n-0  job cancelled job=job-000001 from=record shard=1
10:00:06.000  n-1  report machine=vm-1 answered=true
10:00:07.000  n-0  task exited task=job-000001/3 machine=vm-1 reason=halted
`
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
	out.Reset()
	if err := Write(&out, "job-000001", "vm-9", in); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "vm-1") || !strings.Contains(out.String(), "job cancelled") {
		t.Errorf("restricted to vm-9, want lines about the job but none about vm-1:\n%s", out.String())
	}
}
