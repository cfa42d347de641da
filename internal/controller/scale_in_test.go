package controller

import (
	"testing"

	"garnethitch/internal/controller/ratelimit"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// Machines of a zone that is cut off are not returned as if they had died one by
// one; dead ones beside them are. In the end they are returned after all.
func TestSilentReturn(t *testing.T) {
	for _, tc := range []struct {
		name  string
		zone  string // of the silent machine
		since micros.Micros
		zones []peer.Zone
		want  bool
	}{
		{"a dead machine", "a", 30 * sec, []peer.Zone{{Name: "a", All: 50, Silent: 5}, {Name: "b", All: 50}}, true},
		{"its zone is cut off", "a", 30 * sec, []peer.Zone{{Name: "a", All: 20, Silent: 20}, {Name: "b", All: 80}}, false},
		{"another zone is", "b", 30 * sec, []peer.Zone{{Name: "a", All: 20, Silent: 20}, {Name: "b", All: 80, Silent: 1}}, true},
		{"its zone is, for minutes", "a", 140 * sec, []peer.Zone{{Name: "a", All: 20, Silent: 20}, {Name: "b", All: 80}}, true},
	} {
		c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10,
			HeartbeatInterval: 10 * sec, WorkerLease: 45 * sec, SilentReturn: -1}, 1)
		c.machines["vm-1"] = &machine{id: "vm-1", rec: machineRecord{Zone: tc.zone}}
		d := &peer.Demand{All: 100, Silent: 21, Zones: tc.zones, Machines: []peer.Machine{{ID: "vm-1", State: peer.MachineSilent, SinceUS: int64(tc.since)}}}
		c.fleet.budget = ratelimit.NewBucket(10)
		c.replaceUnhealthy(map[int]*peer.Demand{0: d})
		if got := c.fleet.returning["vm-1"]; got != tc.want {
			t.Errorf("%s: returned %v, want %v", tc.name, got, tc.want)
		}
	}
}

// A new owner does not know what was returned before its claim: it is told as
// long as it names the machine as silent or in doubt. (A shard was held up for 12 s
// by three machines that had long been returned.)
func TestReturnedIsToldAgain(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Shards = 2
		c.Peers = []string{"n-1"}
		c.MaxMachines = 100
		c.SilentReturn = -1
		c.Teams = []Team{{Name: "t", CPUs: 8}, {Name: "u", CPUs: 4}}
	})
	h.run(8 * sec)
	h.put(ownerKey(1), wire.OwnerRecord{Label: "n-1", Incarnation: 77})
	h.put(wire.MachineRecordSetKey(1, "l-1-1"), wire.MachineRecordSet{Kinds: []wire.MachineKind{{Type: "m", Zone: "a"}}, Machines: []wire.MachineRecord{{ID: "vm-1", Addr: "vm-1"}}})
	if !h.c.leading() {
		t.Fatal("does not lead")
	}
	h.c.fleet.returned["vm-1"] = h.now
	for _, state := range []peer.MachineState{peer.MachineUnreconciled, peer.MachineSilent} {
		p := h.c.peers["n-1"]
		p.returnedMachines = nil
		d := &peer.Demand{Shard: 1, All: 1, Machines: []peer.Machine{{ID: "vm-1", State: state}}}
		h.c.replaceUnhealthy(map[int]*peer.Demand{1: d})
		h.c.replaceUnhealthy(map[int]*peer.Demand{1: d})
		if len(p.returnedMachines) != 1 || p.returnedMachines[0] != "vm-1" {
			t.Errorf("state %d: the new owner is told of %v", state, p.returnedMachines)
		}
	}
}
