package simulation

import "testing"

// TestConcurrentFaultsHappen guards against plans that silently inject nothing: each kind of
// concurrent fault and of long outage must occur in at least one of eight runs.
func TestConcurrentFaultsHappen(t *testing.T) {
	var runs []ConcurrentCounts
	for seed := range uint64(8) {
		p := Plan{Seed: seed + 1, Nodes: 3, Machines: 12, Jobs: 30, ConcurrentFaults: true, Teams: fourTeams(), ActiveTime: 90 * sec, RecoveryTime: 300 * sec}
		if seed%4 == 3 {
			p.ConcurrentFaults = false
			p.LongOutage = true
		}
		s := New(p)
		s.Run()
		runs = append(runs, s.Concurrent)
	}
	for _, tc := range []struct {
		name  string
		count func(ConcurrentCounts) int
	}{
		{"writes without an answer", func(c ConcurrentCounts) int { return c.UnansweredWrites }},
		{"replayed heartbeats", func(c ConcurrentCounts) int { return c.ReplayedHeartbeats }},
		{"machines whose heartbeats are lost", func(c ConcurrentCounts) int { return c.CutHeartbeats }},
		{"jobs cancelled", func(c ConcurrentCounts) int { return c.Cancelled }},
		{"jobs cancelled at their end", func(c ConcurrentCounts) int { return c.CancelledAtEnd }},
		{"repeated requests", func(c ConcurrentCounts) int { return c.RepeatedRequests }},
		{"invalid requests", func(c ConcurrentCounts) int { return c.InvalidRequests }},
		{"long outages", func(c ConcurrentCounts) int { return c.LongOutages }},
	} {
		sum := 0
		for _, counts := range runs {
			sum += tc.count(counts)
		}
		if sum == 0 {
			t.Errorf("no %s in eight runs, want at least one", tc.name)
		}
	}
}
