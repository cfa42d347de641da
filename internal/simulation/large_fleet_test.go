package simulation

import "testing"

// TestLargeFleet guards against controller steps that visit too much in a large fleet, by comparing
// runs with 1000 and 4000 machines. In each run the leader crashes, all controllers crash so that
// all workers reconnect, and one remaining controller takes over everything. The cost of a
// heartbeat must not grow with the fleet, and neither must the cost of a round for each machine.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	// cost holds the mean cost of a heartbeat, and the mean and the highest cost of a round per
	// machine.
	type cost struct{ heartbeat, round, mostRound float64 }
	run := func(machines int, seed uint64) cost {
		s := New(Plan{Seed: seed, Nodes: 3, Machines: machines, InitialMachines: machines, Jobs: machines / 8, Large: true, ReconnectionWaves: true, Teams: oneTeam(), ActiveTime: 90 * sec, RecoveryTime: 300 * sec})
		s.Run()
		reportViolations(t, s)
		up := machines
		if seed != 1 {
			up = s.UpWithSingle // with other seeds idle machines may have been returned by then
		}
		if s.CommandedBySingle < up*9/10 {
			t.Errorf("the single remaining controller commands %d of %d machines, want at least nine tenths", s.CommandedBySingle, up)
		}
		if s.Started == 0 || s.Finished == 0 {
			t.Errorf("%d tasks started and %d finished, want at least one of each", s.Started, s.Finished)
		}
		t.Logf("%d machines: %d heartbeats, each visits %.1f items on average; %d rounds, each visits %.0f on average, %d at most; %d tasks finished",
			machines, s.Heartbeats.steps, s.Heartbeats.mean(), s.Rounds.steps, s.Rounds.mean(), s.Rounds.maxVisited, s.Finished)
		return cost{s.Heartbeats.mean(), s.Rounds.mean() / float64(machines), float64(s.Rounds.maxVisited) / float64(machines)}
	}
	// The cost of the costliest round depends on chance. The large fleet is therefore compared with
	// the average over several seeds of the small one.
	const runs = 5
	var small cost
	for seed := range uint64(runs) {
		c := run(1000, seed+1)
		small.heartbeat += c.heartbeat / runs
		small.round += c.round / runs
		small.mostRound += c.mostRound / runs
	}
	large := run(4000, 1)
	if large.heartbeat > small.heartbeat+maxMoreVisited {
		t.Errorf("with 4000 machines a heartbeat visits %.1f machines, jobs and attempts, with 1000 machines %.1f, want at most maxMoreVisited more", large.heartbeat, small.heartbeat)
	}
	if large.round > 1.5*small.round {
		t.Errorf("with 4000 machines a round visits %.2f items per machine, with 1000 machines %.2f, want at most 1.5 times as many", large.round, small.round)
	}
	if large.mostRound > 2*small.mostRound+1 {
		t.Errorf("with 4000 machines the costliest round visits %.1f items per machine, with 1000 machines %.1f, want at most twice as many plus one", large.mostRound, small.mostRound)
	}
}

// maxMoreVisited is how many more items a heartbeat may visit in the larger fleet. A heartbeat
// visits a bounded number of waiting jobs, and the larger fleet has more of them.
const maxMoreVisited = 20
