package digest

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/simulation"
)

// readRecorded reads the lines of the file that "go run ./internal/measure digest" prints.
func readRecorded(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("testdata/digest.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if lines[0] != Header {
		t.Errorf("the first line of the file is %q, want %q", lines[0], Header)
	}
	return lines[1:]
}

// TestBehaviourIsPreserved guards against refactorings that change the controllers' messages: it
// runs a few small plans and compares their digests with the recorded ones. The other recorded
// digests are checked by comparing the whole file with the output of "go run ./internal/measure
// digest".
func TestBehaviourIsPreserved(t *testing.T) {
	lines := readRecorded(t)
	plans := simulation.RulePlans()
	for _, name := range []string{
		"no faults, sharded by job",
		"faults, sharded by team",
		"concurrent faults, sharded by team",
		"stale jobs, sharded by job",
		"DAGs and faults, sharded by job",
		"upgrade, sharded by job",
		"upgrade from the previous release and concurrent faults",
		"groups and concurrent faults, sharded by team",
		"groups, upgrade from a release without groups, and back",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := slices.IndexFunc(plans, func(p simulation.NamedPlan) bool { return p.Name == name })
			if i < 0 {
				t.Fatal("RulePlans has no plan of this name")
			}
			got, err := Compute(Run{Plan: plans[i], Seed: 1})
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(lines, got.String()) {
				t.Errorf("%q is not among the recorded digests", got)
			}
		})
	}
}

// TestEveryRunIsRecorded checks that the file has a line for each run that Runs lists by default, in
// the same order.
func TestEveryRunIsRecorded(t *testing.T) {
	t.Parallel()
	lines := readRecorded(t)
	runs := Runs(simulation.RulePlans(), "", 0)
	if len(lines) != len(runs) {
		t.Fatalf("%d digests are recorded, want %d", len(lines), len(runs))
	}
	for i, run := range runs {
		name := Digest{Plan: run.Plan.Name, Seed: run.Seed}.String()
		name = strings.TrimSuffix(name, " 0 ")
		if !strings.HasPrefix(lines[i], name+" ") {
			t.Errorf("line %d is %q, want the line of %s", i, lines[i], name)
		}
	}
}

// TestRecorderChangesNothing checks that a run goes the same way with and without a recorder.
func TestRecorderChangesNothing(t *testing.T) {
	t.Parallel()
	for _, plan := range simulation.RulePlans()[:4] {
		plain := simulation.New(plan.WithSeed(1))
		plain.Run()
		recorded := simulation.New(plan.WithSeed(1))
		recorded.OnSend = newRecorder().record
		recorded.Run()
		if outcomeOf(plain) != outcomeOf(recorded) {
			t.Errorf("%s: outcome %+v without a recorder, %+v with one", plan.Name, outcomeOf(plain), outcomeOf(recorded))
		}
	}
}

// outcome summarizes a run for comparison.
type outcome struct {
	started    int
	finished   int
	restarts   int
	duplicates int
	violations int
	waited     micros.Micros
	requests   string
}

func outcomeOf(sim *simulation.Simulation) outcome {
	return outcome{
		started:    sim.Started,
		finished:   sim.Finished,
		restarts:   sim.Restarts,
		duplicates: sim.DuplicateHeartbeats,
		violations: len(sim.Violations),
		waited:     sim.LongestInputWait,
		requests:   fmt.Sprint(sim.StateRequests()),
	}
}
