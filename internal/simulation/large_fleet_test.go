package simulation

import "testing"

// TestLargeFleet plays a fleet of four thousand machines through the end of its leader, a
// wave of reconnections, and a failover of everything by one controller left alone. What
// a heartbeat costs may not grow with the fleet, nor what a round costs for each machine.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	type cost struct{ heartbeat, round, mostRound float64 } // the latter two for each machine
	play := func(machines int, seed uint64) cost {
		s := New(Plan{Seed: seed, Nodes: 3, Machines: machines, InitialMachines: machines, Jobs: machines / 8, Large: true, ReconnectionWaves: true, Teams: oneTeam(), ActiveTime: 90 * sec, RecoveryTime: 300 * sec})
		s.Run()
		reportViolations(t, s)
		up := machines
		if seed != 1 {
			up = s.UpWithSingle // elsewhere idle machines have been returned by then
		}
		if s.CommandedBySingle < up*9/10 {
			t.Errorf("%d of %d machines are commanded by the controller that is left alone", s.CommandedBySingle, up)
		}
		if s.Started == 0 || s.Finished == 0 {
			t.Errorf("nothing ran: %d started, %d finished", s.Started, s.Finished)
		}
		t.Logf("%d machines: %d heartbeats, %.1f visited by each; %d rounds, %.0f by each, %d at most; %d tasks",
			machines, s.Heartbeats.steps, s.Heartbeats.mean(), s.Rounds.steps, s.Rounds.mean(), s.Rounds.maxVisited, s.Finished)
		return cost{s.Heartbeats.mean(), s.Rounds.mean() / float64(machines), float64(s.Rounds.maxVisited) / float64(machines)}
	}
	// The costliest round of one play is chance, so that plays of several seeds are what the
	// large fleet is compared with.
	const plays = 5
	var small cost
	for seed := range uint64(plays) {
		c := play(1000, seed+1)
		small.heartbeat += c.heartbeat / plays
		small.round += c.round / plays
		small.mostRound += c.mostRound / plays
	}
	large := play(4000, 1)
	if large.heartbeat > small.heartbeat+maxMoreVisited {
		t.Errorf("a heartbeat makes a controller visit %.1f machines, jobs and attempts, at 1000 machines at %.1f", large.heartbeat, small.heartbeat)
	}
	if large.round > 1.5*small.round {
		t.Errorf("a round visits each machine %.2f times, at 1000 machines %.2f times", large.round, small.round)
	}
	if large.mostRound > 2*small.mostRound+1 {
		t.Errorf("the costliest round visits each machine %.1f times, at 1000 machines %.1f times", large.mostRound, small.mostRound)
	}
}

// maxMoreVisited is how many more items a heartbeat may visit in a larger fleet: a bounded number
// of the jobs that wait, of which there are more.
const maxMoreVisited = 20
