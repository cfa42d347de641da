package fleet

import (
	"maps"
	"testing"

	"garnethitch/internal/peer"
)

func TestTargetCPUs(t *testing.T) {
	demand := func(guarantee, busy float64, waiting int, work float64) *peer.Demand {
		d := &peer.Demand{GuaranteedCPUs: guarantee, BusyCPUs: busy, RemainingWorkUS: cpuSeconds(work)}
		if waiting > 0 {
			d.WaitingTasks = []peer.WaitingTasks{{CPUs: 1, Count: waiting}}
		}
		return d
	}
	for _, tc := range []struct {
		name    string
		demands Demands
		total   float64
		want    map[int]float64
	}{
		{"by unfinished work", Demands{0: demand(0, 0, 100, 300), 1: demand(0, 0, 100, 100)}, 40, map[int]float64{0: 30, 1: 10}},
		{"guarantees first", Demands{0: demand(0, 0, 100, 300), 1: demand(20, 0, 100, 0)}, 40, map[int]float64{0: 20, 1: 20}},
		{"guaranteed CPUs limited to what the shard can use", Demands{0: demand(0, 0, 100, 300), 1: demand(20, 2, 3, 0)}, 40, map[int]float64{0: 35, 1: 5}},
		{"CPUs that one shard cannot use go to the other", Demands{0: demand(0, 5, 5, 300), 1: demand(0, 0, 100, 100)}, 40, map[int]float64{0: 10, 1: 30}},
		{"no work", Demands{0: demand(0, 0, 0, 0)}, 40, map[int]float64{}},
		{"no CPUs to distribute", Demands{0: demand(0, 0, 100, 300)}, 0, map[int]float64{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := TargetCPUs(tc.demands, tc.total); !maps.Equal(got, tc.want) {
				t.Errorf("targets %v, want %v", got, tc.want)
			}
		})
	}
}
