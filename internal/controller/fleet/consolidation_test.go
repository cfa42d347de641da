package fleet

import (
	"slices"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

func TestConsolidationChoose(t *testing.T) {
	candidate := func(id string, busy float64, left, lost micros.Micros) DrainCandidate {
		return DrainCandidate{Machine: peer.Machine{ID: id, BusyCPUs: busy, RemainingUS: int64(left), LostWorkUS: int64(lost)}, CPUs: 16}
	}
	long := 100 * micros.Second
	for _, tc := range []struct {
		name       string
		have, need float64
		all        int // machines
		draining   int
		candidates []DrainCandidate
		want       []string
	}{
		{"mostly unused for a long time", 320, 0, 20, 0, []DrainCandidate{candidate("vm-1", 4, long, 0)}, []string{"vm-1"}},
		{"the largest gain first, at most one in twenty at a time", 320, 0, 20, 0, []DrainCandidate{candidate("vm-1", 4, long, 0), candidate("vm-2", 2, long, 0)}, []string{"vm-2"}},
		{"two of forty", 640, 0, 40, 0, []DrainCandidate{candidate("vm-1", 4, long, 0), candidate("vm-2", 2, long, 0)}, []string{"vm-2", "vm-1"}},
		{"one is already being drained", 320, 0, 20, 1, []DrainCandidate{candidate("vm-1", 4, long, 0)}, nil},
		{"mostly used", 320, 0, 20, 0, []DrainCandidate{candidate("vm-1", 9, long, 0)}, nil},
		{"empty soon", 320, 0, 20, 0, []DrainCandidate{candidate("vm-1", 1, 29*micros.Second, 0)}, nil},
		{"gain enough", 320, 0, 20, 0, []DrainCandidate{candidate("vm-1", 8, 30*micros.Second, 0)}, []string{"vm-1"}},
		{"little gain", 320, 0, 20, 0, []DrainCandidate{candidate("vm-1", 8, 30*micros.Second, 20*micros.Second)}, nil},
		{"too much work would be repeated", 320, 0, 20, 0, []DrainCandidate{candidate("vm-1", 4, long, 400*micros.Second)}, nil},
		{"all CPUs are needed", 320, 310, 20, 0, []DrainCandidate{candidate("vm-1", 4, long, 0)}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := Consolidation{Have: tc.have, Need: tc.need}
			d := &peer.Demand{TotalMachines: tc.all, CPUs: tc.have, BusyCPUs: tc.have / 2}
			var got []string
			for _, m := range c.Choose(d, tc.candidates, tc.draining) {
				got = append(got, m.ID)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("drained %v, want %v", got, tc.want)
			}
			if left := tc.have - float64(16*len(tc.want)); c.Have != left {
				t.Errorf("%v CPUs are left, want %v", c.Have, left)
			}
		})
	}
}

// TestConsolidationNeedsFreeCapacity checks that a machine is drained only if its tasks fit into
// the free capacity of other machines.
func TestConsolidationNeedsFreeCapacity(t *testing.T) {
	m := DrainCandidate{Machine: peer.Machine{ID: "vm-1", BusyCPUs: 4, RemainingUS: int64(100 * micros.Second)}, CPUs: 16}
	for _, tc := range []struct {
		name string
		free float64
		want int
	}{{"just enough elsewhere", 16, 1}, {"too little elsewhere", 15, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			c := Consolidation{Have: 320}
			d := &peer.Demand{TotalMachines: 20, CPUs: 320, BusyCPUs: 320 - tc.free}
			if got := c.Choose(d, []DrainCandidate{m}, 0); len(got) != tc.want {
				t.Errorf("%d drained, want %d", len(got), tc.want)
			}
		})
	}
}
