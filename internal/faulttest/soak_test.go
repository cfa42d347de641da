package faulttest

import (
	"slices"
	"testing"
	"time"
)

// TestCheckStays: the checker of a soak finds what it is for.
func TestCheckStays(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	cancelledAt := map[string]time.Time{"job-000001": at(10)}
	stay := func(task, machine string, from, to float64) Stay { return Stay{task, machine, at(from), at(to)} }
	for _, tc := range []struct {
		name  string
		stays []Stay
		found int
	}{
		{"gone in time", []Stay{stay("job-000001/0", "vm-1", 1, 19)}, 0},
		{"on for too long", []Stay{stay("job-000001/0", "vm-1", 1, 21)}, 1},
		{"started too late", []Stay{stay("job-000001/0", "vm-1", 25, 26)}, 1},
		{"another job", []Stay{stay("job-000002/0", "vm-1", 1, 50)}, 0},
		{"moved", []Stay{stay("job-000002/0", "vm-1", 1, 5), stay("job-000002/0", "vm-2", 5, 9)}, 0},
		{"twice", []Stay{stay("job-000002/0", "vm-1", 1, 5), stay("job-000002/0", "vm-2", 4, 9)}, 1},
		{"again on its machine", []Stay{stay("job-000002/0", "vm-1", 1, 5), stay("job-000002/0", "vm-1", 4, 9)}, 0},
	} {
		if got := CheckStays(tc.stays, cancelledAt, 10*time.Second); len(got) != tc.found {
			t.Errorf("%s: %d breaks, want %d: %v", tc.name, len(got), tc.found, got)
		}
	}
}

// TestSoakTroubles: a soak's faults come of its seed alone, and are of every kind.
func TestSoakFaults(t *testing.T) {
	kinds := map[FaultKind]int{}
	for seed := range uint64(20) {
		p := SoakPlan{Seed: seed, Nodes: 3, Workers: 60, Length: time.Minute}
		list := p.Faults()
		if again := p.Faults(); !slices.Equal(list, again) {
			t.Fatalf("seed %d: two plans differ", seed)
		}
		for _, tr := range list {
			kinds[tr.Kind]++
			if tr.Node == tr.Other || tr.At > p.Length {
				t.Errorf("seed %d: %s", seed, tr)
			}
		}
	}
	if len(kinds) != int(faultKindCount) {
		t.Errorf("%d kinds of %d", len(kinds), faultKindCount)
	}
}
