package fleet

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// cpuSeconds converts work in CPU seconds to CPU microseconds, the unit that messages use.
func cpuSeconds(s float64) int64 { return int64(micros.FromSeconds(s)) }

func TestTotalsAdd(t *testing.T) {
	demands := Demands{
		1: {Shard: 1, CPUs: 40, BusyCPUs: 30, BootingCPUs: 8, ArrivalCPUs: 2, RemainingWorkUS: cpuSeconds(60), WaitingTasks: []peer.WaitingTasks{{CPUs: 2, Count: 5, WorkUS: cpuSeconds(50)}}},
		0: {Shard: 0, CPUs: 10, BusyCPUs: 1, ArrivalCPUs: 1, RemainingWorkUS: cpuSeconds(4)},
	}
	totals := Totals{Booting: 4}
	for _, shard := range demands.Shards() {
		totals.Add(demands[shard])
	}
	want := Totals{Work: 60 + 100 + 4, Arrival: 3, Parallel: 30 + 10 + 1, Have: 50, Busy: 31, Booting: 12}
	if totals != want {
		t.Errorf("totals %+v, want %+v", totals, want)
	}
	if !demands.Waiting() || (Demands{0: demands[0]}).Waiting() {
		t.Errorf("waiting: %v, and without shard 1: %v; want true and false", demands.Waiting(), Demands{0: demands[0]}.Waiting())
	}
	if groups := demands.WaitingTasks(); len(groups) != 1 || groups[0].Count != 5 {
		t.Errorf("groups %+v, want one group of 5 tasks", groups)
	}
}

func TestTotalsNeed(t *testing.T) {
	for _, tc := range []struct {
		name   string
		totals Totals
		ratio  float64
		want   float64
	}{
		{"by the backlog", Totals{Work: 3000, Parallel: 500}, 1, 100},
		{"at twice the price, half of it", Totals{Work: 3000, Parallel: 500}, 2, 50},
		{"by the arrival rate", Totals{Work: 30, Arrival: 40, Parallel: 500}, 1, 40},
		{"no more than could be in use", Totals{Work: 30_000, Parallel: 200}, 1, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.totals.Need(30*micros.Second, tc.ratio); got != tc.want {
				t.Errorf("need %v, want %v", got, tc.want)
			}
		})
	}
}

func TestBlockedWork(t *testing.T) {
	waiting := func(tasks int) []peer.WaitingTasks { return []peer.WaitingTasks{{CPUs: 1, Count: tasks}} }
	blocked := int64(40 * micros.Second)
	for _, tc := range []struct {
		name   string
		demand peer.Demand
		want   float64 // CPU seconds
	}{
		{"nothing waits", peer.Demand{CPUs: 100, BlockedUS: blocked}, 0},
		{"free capacity", peer.Demand{CPUs: 100, BlockedUS: blocked, WaitingTasks: waiting(1000)}, 4000},
		{"limited by the waiting tasks", peer.Demand{CPUs: 100, BlockedUS: blocked, WaitingTasks: waiting(10)}, 400},
		{"capacity that becomes free", peer.Demand{CPUs: 100, BusyCPUs: 100, RemainingWorkUS: cpuSeconds(1000), BlockedUS: blocked, WaitingTasks: waiting(1000)}, 3000},
		{"running tasks outlast the blocked time", peer.Demand{CPUs: 100, BusyCPUs: 100, RemainingWorkUS: cpuSeconds(9000), BlockedUS: blocked, WaitingTasks: waiting(1000)}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := BlockedWork(&tc.demand); got != tc.want {
				t.Errorf("blocked %v, want %v", got, tc.want)
			}
		})
	}
}
