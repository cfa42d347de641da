package faulttest

import (
	"slices"
	"testing"
	"time"
)

// TestSoakFaults checks that a plan always gives the same faults, that faults of every kind occur,
// and that each begins during the soak and names two different controllers.
func TestSoakFaults(t *testing.T) {
	kinds := map[FaultKind]int{}
	for seed := range uint64(20) {
		p := SoakPlan{Seed: seed, Nodes: 3, Workers: 60, Length: time.Minute}
		list := p.Faults()
		if again := p.Faults(); !slices.Equal(list, again) {
			t.Fatalf("seed %d: the same plan gives different faults", seed)
		}
		for _, fault := range list {
			kinds[fault.Kind]++
			if fault.Node == fault.Other || fault.At > p.Length {
				t.Errorf("seed %d: fault %s, want two different nodes and a time within the soak", seed, fault)
			}
		}
	}
	if len(kinds) != int(faultKindCount) {
		t.Errorf("%d kinds of faults occur, want %d", len(kinds), faultKindCount)
	}
}
