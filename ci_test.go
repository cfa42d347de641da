package garnethitch_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// knownRedModule is the source of a test file with failing, passing and skipped tests, to which the
// entries of a list of known failures refer.
const knownRedModule = `package sample

import "testing"

func TestFails(t *testing.T)  { t.Error("fails") }
func TestPasses(t *testing.T) {}
func TestSkipped(t *testing.T) { t.Skip() }
func TestParts(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad.one", func(t *testing.T) { t.Error("fails") })
}
`

// TestKnownRed checks that .ci/known-red accepts an entry of KNOWN-RED.txt only if it has the
// required form and names a test that fails. A test listed as failing at times may also pass.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs(".ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	const rest = ": go test ./... -run X; seed 3; it was seen to fail; issue 32\n"
	for _, tc := range []struct {
		name, list, source string
		ok                 bool
		want               string // contained in the output
	}{
		{"fails", "TestFails" + rest, knownRedModule, true, "^TestFails$\n"},
		{"two, no seed", "TestFails" + rest + "TestParts: go test .; no seed; seen; issue 1\n", knownRedModule, true, "^TestFails$|^TestParts$\n"},
		{"a part of a test", "TestParts/bad.one" + rest, knownRedModule, true, `^TestParts$/^bad\.one$` + "\n"},
		{"passes", "TestPasses" + rest, knownRedModule, false, "TestPasses passes"},
		{"passes this time", "TestPasses (at times)" + rest, knownRedModule, true, "^TestPasses$\n"},
		{"fails this time", "TestFails (at times)" + rest, knownRedModule, true, "^TestFails$\n"},
		{"does not exist", "TestAbsent" + rest, knownRedModule, false, "does not exist"},
		{"does not exist, at times", "TestAbsent (at times)" + rest, knownRedModule, false, "does not exist"},
		{"is skipped", "TestSkipped" + rest, knownRedModule, false, "is skipped"},
		{"does not build", "TestFails" + rest, knownRedModule + "func broken() { return 1 }\n", false, "does not build"},
		{"no issue", "TestFails: go test .; seed 3; it was seen to fail\n", knownRedModule, false, "not of the form"},
		{"no command", "TestFails: seed 3; it was seen to fail; issue 32\n", knownRedModule, false, "not of the form"},
		{"no seed named", "TestFails: go test .; it was seen to fail; issue 32\n", knownRedModule, false, "not of the form"},
		{"no test's name", "Fails" + rest, knownRedModule, false, "not of the form"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for name, text := range map[string]string{"go.mod": "module sample\n\ngo 1.26\n", "sample_test.go": tc.source, "list": tc.list} {
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.Command("bash", script, "list")
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if (err == nil) != tc.ok || !strings.Contains(string(out), tc.want) {
				t.Errorf("error %v, output %q, want success: %v and output with %q", err, out, tc.ok, tc.want)
			}
		})
	}
}
