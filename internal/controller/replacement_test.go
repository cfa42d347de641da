package controller

import (
	"testing"

	"garnethitch/internal/controller/ratelimit"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestUnreconciledReturn checks that unreachable machines that block a failover are returned if the
// work that they block is worth more than what replacing them costs, but not if the owner's network
// is the likely cause.
func TestUnreconciledReturn(t *testing.T) {
	for _, tc := range []struct {
		name         string
		unreconciled int // of 100 machines with 4 CPUs
		blocked      micros.Micros
		busy         float64
		wait         int
		since        micros.Micros // reported time unreconciled; 0: fewer than two commands unanswered
		partitioned  bool
		want         bool
	}{
		{"one of many", 1, 40 * sec, 300, 1000, 6 * sec, false, true},
		{"a fifth, for long", 20, 40 * sec, 200, 1000, 6 * sec, false, true},
		{"a fifth, for a moment only", 20, 5 * sec, 200, 1000, 6 * sec, false, false},
		{"nothing waits", 20, 40 * sec, 200, 0, 6 * sec, false, false},
		{"fewer than two commands unanswered", 20, 40 * sec, 200, 1000, 0, false, false},
		{"most of them: more likely the owner's network", 60, 60 * sec, 0, 1000, 6 * sec, false, false},
		{"most of them, in a partitioned zone", 60, 60 * sec, 0, 10000, 6 * sec, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10,
				HeartbeatInterval: 10 * sec, WorkerLease: 45 * sec, SilentReturn: -1}, 1)
			c.types = newMachineTypes(map[string]wire.MachineType{"m": {Name: "m", CPUs: 4, BootS: 5}})
			d := &peer.Demand{TotalMachines: 100, UnreconciledMachines: tc.unreconciled, BlockedUS: int64(tc.blocked), CPUs: float64(4 * (100 - tc.unreconciled)), BusyCPUs: tc.busy,
				RemainingWorkUS: int64(tc.busy * 20e6), WaitingTasks: []peer.WaitingTasks{{AnyType: true, CPUs: 1, Count: tc.wait}},
				Zones: []peer.ZoneMachines{{Name: "a", TotalMachines: tc.unreconciled}, {Name: "b", TotalMachines: 100 - tc.unreconciled}}}
			if tc.partitioned {
				d.Zones[0].SilentMachines = tc.unreconciled
			}
			for i := range tc.unreconciled {
				id := machineName(i)
				c.machines[id] = &machine{id: id, rec: machineRecord{Zone: "a", Type: "m"}}
				d.Machines = append(d.Machines, peer.Machine{ID: id, State: peer.MachineUnreconciled, InStateUS: int64(tc.since)})
			}
			c.fleet.cloudBudget = ratelimit.NewBucket(10)
			c.replaceUnhealthy(map[int]*peer.Demand{0: d})
			if got := len(c.fleet.returning) == tc.unreconciled; got != tc.want || !tc.want && len(c.fleet.returning) > 0 {
				t.Errorf("%d machines returned, want a return: %v", len(c.fleet.returning), tc.want)
			}
		})
	}
}

// TestSilentReturn checks that silent machines of a partitioned zone are not returned like failed
// ones, but only after a longer time. Failed machines of other zones are returned meanwhile.
func TestSilentReturn(t *testing.T) {
	for _, tc := range []struct {
		name  string
		zone  string // of the silent machine
		since micros.Micros
		zones []peer.ZoneMachines
		want  bool
	}{
		{"a dead machine", "a", 30 * sec, []peer.ZoneMachines{{Name: "a", TotalMachines: 50, SilentMachines: 5}, {Name: "b", TotalMachines: 50}}, true},
		{"the machine's zone is partitioned", "a", 30 * sec, []peer.ZoneMachines{{Name: "a", TotalMachines: 20, SilentMachines: 20}, {Name: "b", TotalMachines: 80}}, false},
		{"another zone is partitioned", "b", 30 * sec, []peer.ZoneMachines{{Name: "a", TotalMachines: 20, SilentMachines: 20}, {Name: "b", TotalMachines: 80, SilentMachines: 1}}, true},
		{"the machine's zone is partitioned, for minutes", "a", 140 * sec, []peer.ZoneMachines{{Name: "a", TotalMachines: 20, SilentMachines: 20}, {Name: "b", TotalMachines: 80}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10,
				HeartbeatInterval: 10 * sec, WorkerLease: 45 * sec, SilentReturn: -1}, 1)
			c.machines["vm-1"] = &machine{id: "vm-1", rec: machineRecord{Zone: tc.zone}}
			d := &peer.Demand{TotalMachines: 100, SilentMachines: 21, Zones: tc.zones, Machines: []peer.Machine{{ID: "vm-1", State: peer.MachineSilent, InStateUS: int64(tc.since)}}}
			c.fleet.cloudBudget = ratelimit.NewBucket(10)
			c.replaceUnhealthy(map[int]*peer.Demand{0: d})
			if got := c.fleet.returning["vm-1"]; got != tc.want {
				t.Errorf("returned: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestReturnNoticeIsRepeated checks that the owner of a shard is notified of a returned machine as
// long as its demand names the machine as silent or unreconciled. A new owner does not know what was
// returned before its claim: three machines that had long been returned blocked a shard for 12 s.
func TestReturnNoticeIsRepeated(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Shards = 2
		c.Peers = []string{"n-1"}
		c.MaxMachines = 100
		c.SilentReturn = -1
		c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}}
	})
	h.run(8 * sec)
	h.putRecord(ownerKey(1), wire.OwnerRecord{Label: "n-1", Incarnation: 77})
	h.putRecord(wire.MachineRecordSetKey(1, "l-1-1"), wire.MachineRecordSet{Kinds: []wire.MachineKind{{Type: "m", Zone: "a"}}, Machines: []wire.MachineRecord{{ID: "vm-1", Addr: "vm-1"}}})
	if !h.c.ownership.mayLead() {
		t.Fatal("setup failed: this node is not the leader")
	}
	h.c.fleet.returned["vm-1"] = h.now
	for _, state := range []peer.MachineState{peer.MachineUnreconciled, peer.MachineSilent} {
		p := h.c.peers["n-1"]
		p.pendingReturnedMachines = nil
		d := &peer.Demand{Shard: 1, TotalMachines: 1, Machines: []peer.Machine{{ID: "vm-1", State: state}}}
		h.c.replaceUnhealthy(map[int]*peer.Demand{1: d})
		h.c.replaceUnhealthy(map[int]*peer.Demand{1: d})
		if len(p.pendingReturnedMachines) != 1 || p.pendingReturnedMachines[0] != "vm-1" {
			t.Errorf("state %d: the new owner is notified of %v, want vm-1", state, p.pendingReturnedMachines)
		}
	}
}
