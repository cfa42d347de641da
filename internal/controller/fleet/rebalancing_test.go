package fleet

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// rebalancingDemands returns two shards with 80 CPUs each. In shard 0, the given number of one-CPU
// tasks wait. In shard 1, no tasks wait and the given number of CPUs is busy.
func rebalancingDemands(waiting int, busy float64) Demands {
	return Demands{
		0: {Shard: 0, CPUs: 80, BusyCPUs: 80, RemainingWorkUS: cpuSeconds(800), WaitingTasks: []peer.WaitingTasks{{AnyType: true, Spot: true, CPUs: 1, MemGB: 1, Count: waiting, WorkUS: cpuSeconds(float64(10 * waiting))}}},
		1: {Shard: 1, CPUs: 80, BusyCPUs: busy, RemainingWorkUS: cpuSeconds(10 * busy)},
	}
}

func movable(id string, state peer.MachineState, busy float64, left micros.Micros) Machine {
	return Machine{
		Machine: peer.Machine{ID: id, State: state, BusyCPUs: busy, RemainingUS: int64(left)},
		From:    1,
		Kind:    Kind{Type: "small", Zone: "a"},
		CPUs:    4,
	}
}

func TestRebalancingMoves(t *testing.T) {
	idle := movable("vm-1", peer.MachineIdle, 0, 0)
	gpuOnly := rebalancingDemands(100, 40)
	gpuOnly[0].WaitingTasks[0].GPUs = 1
	for _, tc := range []struct {
		name     string
		demands  Demands
		machines []Machine
		want     []string // machines that move to shard 0, in order
	}{
		{"idle machine to where tasks wait", rebalancingDemands(100, 40), []Machine{idle}, []string{"vm-1"}},
		{"nothing waits", rebalancingDemands(0, 40), []Machine{idle}, nil},
		{"its type cannot run the waiting tasks", gpuOnly, []Machine{idle}, nil},
		{"idle machines first, then those that empty soonest", rebalancingDemands(100, 40),
			[]Machine{movable("vm-3", peer.MachineBusy, 1, 9*micros.Second), movable("vm-2", peer.MachineBusy, 1, 5*micros.Second), idle}, []string{"vm-1", "vm-2", "vm-3"}},
		{"no more machines than the waiting tasks need", rebalancingDemands(4, 40), []Machine{idle, movable("vm-2", peer.MachineIdle, 0, 0)}, []string{"vm-1"}},
		{"spare capacity: drained regardless of how long that takes", rebalancingDemands(100, 40), []Machine{movable("vm-2", peer.MachineBusy, 1, micros.Minute)}, []string{"vm-2"}},
		{"full machines: at most two that are empty soon", rebalancingDemands(1000, 80),
			[]Machine{movable("vm-2", peer.MachineBusy, 4, 5*micros.Second), movable("vm-3", peer.MachineBusy, 4, 6*micros.Second), movable("vm-4", peer.MachineBusy, 4, 7*micros.Second)},
			[]string{"vm-2", "vm-3"}},
		{"full machines that are not empty soon", rebalancingDemands(1000, 80), []Machine{movable("vm-2", peer.MachineBusy, 4, 16*micros.Second)}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			moves := NewRebalancing(testCatalog(), tc.demands).Moves(tc.machines)
			var got []string
			for _, move := range moves {
				got = append(got, move.Machine.ID)
				if move.To != 0 || move.Drain != (move.Machine.State == peer.MachineBusy) {
					t.Errorf("move %+v, want shard 0 as its destination, and a drain of busy machines only", move)
				}
			}
			if len(got) != len(tc.want) {
				t.Fatalf("moved %v, want %v", got, tc.want)
			}
			for i := range got {
				if got[i] != tc.want[i] {
					t.Errorf("moved %v, want %v", got, tc.want)
				}
			}
		})
	}
}

// TestRebalancingDraining checks that a machine that is being drained for another shard is counted
// as capacity of that shard and among the machines that maxDraining limits.
func TestRebalancingDraining(t *testing.T) {
	r := NewRebalancing(testCatalog(), rebalancingDemands(1000, 80))
	for _, id := range []string{"vm-8", "vm-9"} {
		r.AddDraining(movable(id, peer.MachineDraining, 4, 5*micros.Second), 0)
	}
	if moves := r.Moves([]Machine{movable("vm-2", peer.MachineBusy, 4, 5*micros.Second)}); len(moves) != 0 {
		t.Errorf("a third machine is drained although maxDraining is 2: %+v", moves)
	}
	r = NewRebalancing(testCatalog(), rebalancingDemands(4, 40))
	r.AddDraining(movable("vm-8", peer.MachineDraining, 1, 5*micros.Second), 0)
	if moves := r.Moves([]Machine{movable("vm-1", peer.MachineIdle, 0, 0)}); len(moves) != 0 {
		t.Errorf("more machines move than the waiting tasks need: %+v", moves)
	}
}

func TestRebalancingNeededInOwnShard(t *testing.T) {
	demands := rebalancingDemands(1000, 80)
	m := movable("vm-2", peer.MachineDraining, 4, 0)
	if NewRebalancing(testCatalog(), demands).NeededInOwnShard(m) {
		t.Error("needed in its own shard although nothing waits there")
	}
	m.From = 0
	if !NewRebalancing(testCatalog(), demands).NeededInOwnShard(m) {
		t.Error("not needed in its own shard although tasks wait and machines are missing there")
	}
	demands[1].WaitingTasks = []peer.WaitingTasks{{AnyType: true, CPUs: 1, Count: 1000, WorkUS: cpuSeconds(90_000)}}
	if NewRebalancing(testCatalog(), demands).NeededInOwnShard(m) {
		t.Error("needed in its own shard although the shard has more than its target")
	}
}
