package fleet

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// smallTask returns a starved task of a quarter of a CPU that has waited for some seconds.
func smallTask(job string, seconds int64, noMachine bool) peer.StarvedTask {
	return peer.StarvedTask{Job: job, AnyType: true, Spot: true, CPUs: 0.25, MemGB: 1, WaitedUS: seconds * int64(micros.Second), NoMachine: noMachine}
}

// TestStarvedTasks guards against a task that no threshold ever serves: after maxWait the leader
// serves it, and after maxWaitWithoutMachine where the shard has no machine that could run it.
func TestStarvedTasks(t *testing.T) {
	demands := Demands{
		0: {Shard: 0, StarvedTasks: []peer.StarvedTask{smallTask("job-1", 39, false), smallTask("job-2", 41, false), smallTask("job-3", 9, true)}},
		1: {Shard: 1, StarvedTasks: []peer.StarvedTask{smallTask("job-4", 11, true), smallTask("job-5", 60, false)}},
	}
	want := []string{"job-4", "job-5", "job-2"}
	starved := demands.StarvedTasks()
	if len(starved) != len(want) {
		t.Fatalf("%d tasks are starved, want %v", len(starved), want)
	}
	for i, task := range starved {
		if task.Job != want[i] {
			t.Errorf("task %d is of %s, want %s", i, task.Job, want[i])
		}
	}
}

// TestMachineSearch guards against a task that waits for ever beside a machine of another shard that
// is idle, or idle and of no use to its own shard, and against a machine that is passed to and fro.
func TestMachineSearch(t *testing.T) {
	machine := func(id string, state peer.MachineState, inState, remaining micros.Micros) Machine {
		return Machine{Machine: peer.Machine{ID: id, State: state, InStateUS: int64(inState), RemainingUS: int64(remaining)}, From: 1, Kind: Kind{Type: "small", Zone: "a"}, CPUs: 4}
	}
	idle := machine("vm-1", peer.MachineIdle, micros.Second, 0)
	unused := machine("vm-1", peer.MachineIdle, 21*micros.Second, 0)
	elsewhere := idle
	elsewhere.Kind.Zone = "b"
	own := idle
	own.From = 0
	ownUnused := unused
	ownUnused.From = 0
	withMachine := StarvedTask{StarvedTask: smallTask("job-1", 50, false)}
	excluded := StarvedTask{StarvedTask: smallTask("job-1", 50, true)}
	excluded.ExcludedZones = []string{"a"}
	for _, tc := range []struct {
		name     string
		task     StarvedTask
		waiting  bool // tasks wait in the machine's shard
		machines []Machine
		moved    string
		idle     string // machine that IdleMachine finds
		own      bool   // OwnShardServes
		busy     string // machine that BusyMachine finds
	}{
		{name: "idle in another shard, for a small task", machines: []Machine{idle}, idle: "vm-1"},
		{name: "its shard is about to use it", waiting: true, machines: []Machine{idle}},
		{name: "its shard does not use it", waiting: true, machines: []Machine{unused}, idle: "vm-1"},
		{name: "moved a short time ago", machines: []Machine{idle}, moved: "vm-1"},
		{name: "in a zone in which the job has too many tasks", task: excluded, machines: []Machine{idle}},
		{name: "in another zone", task: excluded, machines: []Machine{elsewhere}, idle: "vm-1"},
		{name: "idle in the task's shard", machines: []Machine{own}, own: true},
		{name: "left unused in the task's shard", machines: []Machine{ownUnused}},
		{name: "busy, tasks wait there, the task has no other machine", waiting: true, machines: []Machine{machine("vm-2", peer.MachineBusy, 0, 9)}, busy: "vm-2"},
		{name: "busy, tasks wait there", task: withMachine, waiting: true, machines: []Machine{machine("vm-2", peer.MachineBusy, 0, 9)}},
		{name: "busy ones", machines: []Machine{machine("vm-2", peer.MachineBusy, 0, 9), machine("vm-3", peer.MachineBusy, 0, 5)}, busy: "vm-3"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			task := tc.task
			if task.Job == "" {
				task.StarvedTask = smallTask("job-1", 50, true)
			}
			demand := &peer.Demand{Shard: 1}
			if tc.waiting {
				demand.WaitingTasks = []peer.WaitingTasks{{AnyType: true, CPUs: 1, MemGB: 1, Count: 1}}
			}
			search := MachineSearch{
				Catalog: testCatalog(), Demands: Demands{0: {}, 1: demand}, Machines: tc.machines, UnusedAfter: 20 * micros.Second,
				MovedRecently: func(id string) bool { return id == tc.moved },
			}
			if got := search.OwnShardServes(&task); got != tc.own {
				t.Errorf("the own shard serves the task: %v, want %v", got, tc.own)
			}
			if m, ok := search.IdleMachine(&task); ok != (tc.idle != "") || m.ID != tc.idle {
				t.Errorf("found idle machine %q, want %q", m.ID, tc.idle)
			}
			if m, ok := search.BusyMachine(&task); ok != (tc.busy != "") || m.ID != tc.busy {
				t.Errorf("found busy machine %q, want %q", m.ID, tc.busy)
			}
		})
	}
}

// TestRentalForTask guards against a starved task for which nothing is rented because the fleet is
// large enough as a whole, because it needs less than minDeficit, or because it needs no CPU.
func TestRentalForTask(t *testing.T) {
	noCPU := smallTask("job-1", 50, true)
	noCPU.CPUs = 0
	tooLarge := smallTask("job-1", 50, true)
	tooLarge.MemGB = 1e6
	for _, tc := range []struct {
		name string
		task peer.StarvedTask
		max  int
		want bool
	}{
		{"a quarter of a CPU", smallTask("job-1", 50, true), 1, true},
		{"no CPU", noCPU, 1, true},
		{"no type has the memory", tooLarge, 1, false},
		{"the fleet may not grow", smallTask("job-1", 50, true), 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			choice := ScaleOut{Catalog: testCatalog(), DrainHorizon: micros.Minute, Totals: Totals{Have: 400}, MaxMachines: tc.max, Unavailable: func(Kind) bool { return false }}
			rental, ok := choice.RentalForTask(&tc.task)
			if ok != tc.want || ok && (rental.Count != 1 || wire.RentalRequest{} == rental) {
				t.Errorf("rented: %v, %+v; want %v", ok, rental, tc.want)
			}
		})
	}
}
