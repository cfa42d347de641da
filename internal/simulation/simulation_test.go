package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"garnethitch/internal/controller"
)

// seeds lets a longer search be asked for: GARNETHITCH_SEEDS=500.
func seeds(n int) int {
	if v, err := strconv.Atoi(os.Getenv("GARNETHITCH_SEEDS")); err == nil && v > 0 {
		return v
	}
	return n
}

// TestRules plays days with faults and checks every rule at every step, and
// that all work is done once the faults are over.
func TestRules(t *testing.T) {
	for _, r := range RulePlans() {
		for seed := range seeds(r.Seeds) {
			t.Run(fmt.Sprintf("%s/%d", r.Name, seed), func(t *testing.T) {
				t.Parallel()
				playByTheRules(t, r.WithSeed(uint64(seed)+1))
			})
		}
	}
}

// playByTheRules plays a run, and checks that no rule was broken and that it was what its
// plan says.
func playByTheRules(t *testing.T, p Plan) {
	s := New(p)
	if os.Getenv("GARNETHITCH_TRACE") != "" {
		s.Trace = func(line string) { t.Log(line) }
		s.cfg.LogHeartbeats = true
	}
	s.Run()
	for _, b := range s.Broken {
		t.Error(b)
	}
	if p.Fleet && (s.ZoneCuts < 3 || p.Machines > 100 && (s.Died == 0 || s.Hung == 0)) {
		t.Errorf("too little happened: %d zone cuts, %d dead, %d hung, %d frozen", s.ZoneCuts, s.Died, s.Hung, s.Frozen)
	}
	if p.Slow > 0 && s.Waited < 3*p.Slow {
		t.Errorf("nothing had to wait: %v s at most", s.Waited.Seconds())
	}
	if p.Stale && len(s.Broken) == 0 && (s.Stale < 2 || s.concurrent.Cancelled == 0) {
		t.Errorf("too little happened: controllers knew little %d times, %d jobs cancelled", s.Stale, s.concurrent.Cancelled)
	}
	if p.Questions > 0 && len(s.Broken) == 0 && (s.Questions < 1000 || s.Refused < 100) {
		t.Errorf("too little happened: %d questions, %d refused", s.Questions, s.Refused)
	}
	if p.DAGs > 0 && !p.ConcurrentFaults && !p.Faults && s.DependentStarts == 0 {
		t.Error("no task started after others")
	}
	if p.Groups != nil && !p.RollBack && (s.LimitsSet == 0 || s.GroupWrites < 10) {
		t.Errorf("operators set %d limits, records of groups were written %d times", s.LimitsSet, s.GroupWrites)
	}
	if s.Wasted > 0 {
		t.Errorf("%d machines returned with work on them, though nothing was wrong with them", s.Wasted)
	}
	if s.Started == 0 || s.Finished == 0 {
		t.Errorf("nothing ran: %d started, %d finished", s.Started, s.Finished)
	}
}

// TestLargeFleet plays a fleet of four thousand machines through the end of its leader, a
// wave of reconnections, and a failover of everything by one controller left alone. What
// a heartbeat costs may not grow with the fleet, nor what a round costs for each machine.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	type cost struct{ report, round, mostRound float64 } // the latter two for each machine
	play := func(machines int, seed uint64) cost {
		s := New(Plan{Seed: seed, Nodes: 3, Machines: machines, Up: machines, Jobs: machines / 8, Grown: true, Waves: true, Teams: oneTeam, Length: 90 * sec, Rest: 300 * sec})
		s.Run()
		for _, b := range s.Broken {
			t.Error(b)
		}
		up := machines
		if seed != 1 {
			up = s.UpAlone // elsewhere idle machines have been returned by then
		}
		if s.MostAlone < up*9/10 {
			t.Errorf("%d of %d machines are commanded by the controller that is left alone", s.MostAlone, up)
		}
		if s.Started == 0 || s.Finished == 0 {
			t.Errorf("nothing ran: %d started, %d finished", s.Started, s.Finished)
		}
		t.Logf("%d machines: %d reports, %.1f looked at by each; %d rounds, %.0f by each, %d at most; %d tasks",
			machines, s.Heartbeats.steps, s.Heartbeats.mean(), s.Rounds.steps, s.Rounds.mean(), s.Rounds.most, s.Finished)
		return cost{s.Heartbeats.mean(), s.Rounds.mean() / float64(machines), float64(s.Rounds.most) / float64(machines)}
	}
	// The costliest round of one play is chance: with a thousand machines it looks 2.6 to
	// 7 times at each, so that plays of several seeds are what the large fleet is held to.
	const plays = 5
	var small cost
	for seed := range uint64(plays) {
		c := play(1000, seed+1)
		small.report += c.report / plays
		small.round += c.round / plays
		small.mostRound += c.mostRound / plays
	}
	large := play(4000, 1)
	if large.report > small.report+maxMoreLooked {
		t.Errorf("a report makes a controller look at %.1f machines, jobs and attempts, at 1000 machines at %.1f", large.report, small.report)
	}
	if large.round > 1.5*small.round {
		t.Errorf("a round looks %.2f times at each machine, at 1000 machines %.2f times", large.round, small.round)
	}
	if large.mostRound > 2*small.mostRound+1 {
		t.Errorf("the costliest round looks %.1f times at each machine, at 1000 machines %.1f times", large.mostRound, small.mostRound)
	}
}

// maxMoreLooked is how much more a heartbeat may look at in a larger fleet: a bounded number
// of the jobs that wait, of which there are more.
const maxMoreLooked = 20

// TestCascades cancels one of many jobs that need each other: as many as the settings allow
// for stand as cancelled within the time of a cancellation, whatever happens to their
// owner, and the rules hold meanwhile.
func TestCascades(t *testing.T) {
	for _, tc := range []struct {
		name    string
		teams   []controller.Team
		cascade Cascade
	}{
		{"wide", fourTeam, Cascade{Shape: Wide, Dependents: 900}},
		{"wide, jobs parted", oneTeam, Cascade{Shape: Wide, Dependents: 900}},
		{"wide, limits lowered before", fourTeam, Cascade{Shape: Wide, Dependents: 900, Limited: true}},
		{"wide, limits lowered meanwhile", fourTeam, Cascade{Shape: Wide, Dependents: 900, Fault: LimitsLowered}},
		{"wide, the owner ends", fourTeam, Cascade{Shape: Wide, Dependents: 400, Fault: OwnerEnds}},
		{"wide, the owner returns at once", fourTeam, Cascade{Shape: Wide, Dependents: 900, Fault: OwnerReturns}},
		{"wide, the owner is cut off", fourTeam, Cascade{Shape: Wide, Dependents: 400, Fault: OwnerCutOff}},
		{"wide, the owner is refused", fourTeam, Cascade{Shape: Wide, Dependents: 400, Fault: OwnerRefused, Limited: true}},
		{"deep", fourTeam, Cascade{Shape: Deep, Dependents: 200}},
		{"deep, jobs parted, from the middle", oneTeam, Cascade{Shape: Deep, Dependents: 200, Middle: true}},
		{"deep, the owner ends", fourTeam, Cascade{Shape: Deep, Dependents: 200, Fault: OwnerEnds}},
		{"deep, the owner is refused", oneTeam, Cascade{Shape: Deep, Dependents: 200, Fault: OwnerRefused}},
		{"diamonds, from the middle", fourTeam, Cascade{Shape: Diamonds, Dependents: 300, Middle: true}},
		{"diamonds, the owner returns at once", oneTeam, Cascade{Shape: Diamonds, Dependents: 300, Fault: OwnerReturns, Limited: true}},
		{"wide, during a roll from the last landing", fourTeam, Cascade{Shape: Wide, Dependents: 300, Roll: LastLanded}},
		{"deep, during a roll from the last landing", oneTeam, Cascade{Shape: Deep, Dependents: 200, Roll: LastLanded}},
		{"diamonds, the owner is cut off", fourTeam, Cascade{Shape: Diamonds, Dependents: 300, Fault: OwnerCutOff}},
	} {
		for seed := range seeds(1) {
			t.Run(fmt.Sprintf("%s/%d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				s := New(Plan{Seed: uint64(seed) + 1, Nodes: 3, Machines: 4, Cascade: &tc.cascade, Roll: tc.cascade.Roll, Teams: tc.teams, Length: 90 * sec, Rest: 300 * sec})
				if most := s.bound(tc.cascade); tc.cascade.Dependents > most {
					t.Fatalf("%d dependents, %d fit into the time", tc.cascade.Dependents, most)
				}
				if os.Getenv("GARNETHITCH_TRACE") != "" {
					s.Trace = func(line string) { t.Log(line) }
				}
				s.Run()
				for _, b := range s.Broken {
					t.Error(b)
				}
				if least := tc.cascade.Dependents / 3; s.CascadeCancelled < least {
					t.Errorf("%d jobs were cancelled, want %d at least", s.CascadeCancelled, least)
				}
			})
		}
	}
}

// TestSameSeed: a run must repeat exactly, or failures can't be looked into.
func TestSameSeed(t *testing.T) {
	play := func() string {
		s := New(Plan{Seed: 5, Nodes: 3, Machines: 8, Jobs: 15, Faults: true, Teams: fourTeam, Length: 60 * sec, Rest: 200 * sec})
		s.Run()
		return fmt.Sprint(s.now, s.Started, s.Finished, s.Restarts, s.state.Revision(), s.Broken)
	}
	if a, b := play(), play(); a != b {
		t.Errorf("two runs of one seed differ:\n%s\n%s", a, b)
	}
}

// TestConcurrentFaultsHappen: what a plan of meetings is made of does take place.
func TestConcurrentFaultsHappen(t *testing.T) {
	var sum concurrentFaults
	for seed := range uint64(8) {
		p := Plan{Seed: seed + 1, Nodes: 3, Machines: 12, Jobs: 30, ConcurrentFaults: true, Teams: fourTeam, Length: 90 * sec, Rest: 300 * sec}
		if seed%4 == 3 {
			p.ConcurrentFaults, p.Gap = false, true
		}
		s := New(p)
		s.Run()
		m := s.concurrent
		for _, n := range []struct{ sum, of *int }{
			{&sum.Late, &m.Late}, {&sum.Kept, &m.Kept}, {&sum.CutReports, &m.CutReports}, {&sum.Cancelled, &m.Cancelled},
			{&sum.AtEnd, &m.AtEnd}, {&sum.Looks, &m.Looks}, {&sum.Odd, &m.Odd}, {&sum.Gaps, &m.Gaps},
		} {
			*n.sum += *n.of
		}
	}
	for name, n := range map[string]int{
		"writes without an answer": sum.Late, "kept reports": sum.Kept, "machines cut off from reporting": sum.CutReports, "jobs cancelled": sum.Cancelled,
		"jobs cancelled at their end": sum.AtEnd, "close looks": sum.Looks, "odd requests": sum.Odd, "gaps": sum.Gaps,
	} {
		if n == 0 {
			t.Errorf("no %s in eight runs", name)
		}
	}
}
