package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// seeds returns n, or the number of seeds that the environment variable GARNETHITCH_SEEDS sets.
func seeds(n int) int {
	if v, err := strconv.Atoi(os.Getenv("GARNETHITCH_SEEDS")); err == nil && v > 0 {
		return v
	}
	return n
}

// newTraced prepares a run, whose trace goes to the test's log if GARNETHITCH_TRACE is set.
func newTraced(t *testing.T, p Plan) *Simulation {
	t.Helper()
	s := New(p)
	if os.Getenv("GARNETHITCH_TRACE") != "" {
		s.Trace = func(line string) { t.Log(line) }
		s.cfg.LogHeartbeats = true
	}
	return s
}

// reportViolations fails the test for each rule that was broken.
func reportViolations(t *testing.T, s *Simulation) {
	t.Helper()
	for _, violation := range s.Violations {
		t.Error(violation)
	}
}

// TestRules plays runs with faults and checks every rule at every step, and
// that all work is done once the faults are over.
func TestRules(t *testing.T) {
	for _, plan := range RulePlans() {
		for seed := range seeds(plan.Seeds) {
			t.Run(fmt.Sprintf("%s/%d", plan.Name, seed), func(t *testing.T) {
				t.Parallel()
				playAndCheck(t, plan.WithSeed(uint64(seed)+1))
			})
		}
	}
}

// playAndCheck plays a run, and checks that no rule was broken and that it was what its plan says.
func playAndCheck(t *testing.T, p Plan) {
	t.Helper()
	s := newTraced(t, p)
	s.Run()
	reportViolations(t, s)
	checkPlanTookEffect(t, s)
	if s.ReturnedBusy > 0 {
		t.Errorf("%d machines returned with work on them, though nothing was wrong with them", s.ReturnedBusy)
	}
	if s.Started == 0 || s.Finished == 0 {
		t.Errorf("nothing ran: %d started, %d finished", s.Started, s.Finished)
	}
}

// checkPlanTookEffect checks that a run was what its plan says.
func checkPlanTookEffect(t *testing.T, s *Simulation) {
	t.Helper()
	p := s.plan
	passed := len(s.Violations) == 0
	if p.FleetFaults && (s.ZoneCuts < 3 || p.Machines > 100 && (s.Died == 0 || s.Hung == 0)) {
		t.Errorf("too little happened: %d zone cuts, %d dead, %d hung, %d frozen", s.ZoneCuts, s.Died, s.Hung, s.Frozen)
	}
	if p.SlowStep > 0 && s.LongestInputWait < 3*p.SlowStep {
		t.Errorf("nothing had to wait: %v s at most", s.LongestInputWait.Seconds())
	}
	if p.StaleJobs && passed && (s.StaleEpisodes < 2 || s.Concurrent.Cancelled == 0) {
		t.Errorf("too little happened: %d episodes of stale views, %d jobs cancelled", s.StaleEpisodes, s.Concurrent.Cancelled)
	}
	if p.StatusRequestRate > 0 && passed && (s.StatusRequests < 1000 || s.RefusedRequests < 100) {
		t.Errorf("too little happened: %d status requests, %d refused", s.StatusRequests, s.RefusedRequests)
	}
	if p.DAGs > 0 && !p.ConcurrentFaults && !p.Faults && s.DependentStarts == 0 {
		t.Error("no task started after others")
	}
	if p.Groups != nil && !p.Rollback && (s.LimitsSet == 0 || s.GroupWrites < 10) {
		t.Errorf("operators set %d limits, records of groups were written %d times", s.LimitsSet, s.GroupWrites)
	}
}

// TestSameSeed checks that two runs of one seed are equal, so that a failure can be repeated.
func TestSameSeed(t *testing.T) {
	play := func() string {
		s := New(Plan{Seed: 5, Nodes: 3, Machines: 8, Jobs: 15, Faults: true, Teams: fourTeams(), ActiveTime: 60 * sec, RecoveryTime: 200 * sec})
		s.Run()
		return fmt.Sprint(s.now, s.Started, s.Finished, s.Restarts, s.state.Revision(), s.Violations)
	}
	if a, b := play(), play(); a != b {
		t.Errorf("two runs of one seed differ:\n%s\n%s", a, b)
	}
}
