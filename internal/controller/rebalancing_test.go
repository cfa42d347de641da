package controller

import (
	"testing"

	"garnethitch/internal/controller/ratelimit"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// A zone counts as cut off only if hardly any of its machines is heard while
// another zone's are, however many rows the owners name.
func TestPartitionedZones(t *testing.T) {
	for _, tc := range []struct {
		name   string
		shards [][]peer.Zone
		dark   string
	}{
		{"all heard", [][]peer.Zone{{{Name: "a", All: 100}, {Name: "b", All: 100, Silent: 3}}}, ""},
		{"one is cut off", [][]peer.Zone{{{Name: "a", All: 100, Silent: 90}, {Name: "b", All: 100, Silent: 3}}}, "a"},
		{"over several shares", [][]peer.Zone{{{Name: "a", All: 3, Silent: 3}, {Name: "b", All: 9}}, {{Name: "a", All: 2, Silent: 2}}}, "a"},
		{"a tenth of all has died", [][]peer.Zone{{{Name: "a", All: 100, Silent: 10}, {Name: "b", All: 100, Silent: 10}}}, ""},
		{"half of a zone", [][]peer.Zone{{{Name: "a", All: 100, Silent: 50}, {Name: "b", All: 100}}}, ""},
		{"two machines say nothing of a zone", [][]peer.Zone{{{Name: "a", All: 2, Silent: 2}, {Name: "b", All: 8}}}, ""},
		{"nobody is heard: it is not the zone", [][]peer.Zone{{{Name: "a", All: 100, Silent: 95}, {Name: "b", All: 100, Silent: 96}}}, ""},
	} {
		c := New(Config{Label: "a", Shards: len(tc.shards), Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10}, 1)
		demand := map[int]*peer.Demand{}
		for i, zones := range tc.shards {
			demand[i] = &peer.Demand{Shard: i, Zones: zones}
		}
		partitioned := c.partitionedZones(demand)
		if len(partitioned) > 1 || (tc.dark != "") != (len(partitioned) == 1) || tc.dark != "" && !partitioned[tc.dark] {
			t.Errorf("%s: %v are dark, want %q", tc.name, partitioned, tc.dark)
		}
	}
}

// Machines that can't be reached hold up a failover: they are returned if what
// stands still meanwhile is worth more than they are, and not if it is rather the
// owner that can't reach them.
func TestUnreconciledReturn(t *testing.T) {
	for _, tc := range []struct {
		name         string
		unreconciled int // of 100 machines with 4 CPUs
		held         micros.Micros
		busy         float64
		wait         int
		since        micros.Micros // for those asked twice
		dark         bool
		want         bool
	}{
		{"one of many", 1, 40 * sec, 300, 1000, 6 * sec, false, true},
		{"a fifth, for long", 20, 40 * sec, 200, 1000, 6 * sec, false, true},
		{"a fifth, for a moment only", 20, 5 * sec, 200, 1000, 6 * sec, false, false},
		{"nothing waits", 20, 40 * sec, 200, 0, 6 * sec, false, false},
		{"not asked twice yet", 20, 40 * sec, 200, 1000, 0, false, false},
		{"most of them: rather the owner's network", 60, 60 * sec, 0, 1000, 6 * sec, false, false},
		{"most of them, in a zone that is cut off", 60, 60 * sec, 0, 10000, 6 * sec, true, true},
	} {
		c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10,
			HeartbeatInterval: 10 * sec, WorkerLease: 45 * sec, SilentReturn: -1}, 1)
		c.types = map[string]wire.MachineType{"m": {Name: "m", CPUs: 4, BootS: 5}}
		d := &peer.Demand{All: 100, Unreconciled: tc.unreconciled, BlockedUS: int64(tc.held), CPUs: float64(4 * (100 - tc.unreconciled)), Busy: tc.busy,
			RunLeftUS: int64(tc.busy * 20e6), Groups: []peer.Group{{Any: true, CPUs: 1, Waiting: tc.wait}},
			Zones: []peer.Zone{{Name: "a", All: tc.unreconciled}, {Name: "b", All: 100 - tc.unreconciled}}}
		if tc.dark {
			d.Zones[0].Silent = tc.unreconciled
		}
		for i := range tc.unreconciled {
			id := machineName(i)
			c.machines[id] = &machine{id: id, rec: machineRecord{Zone: "a", Type: "m"}}
			d.Machines = append(d.Machines, peer.Machine{ID: id, State: peer.MachineUnreconciled, SinceUS: int64(tc.since)})
		}
		c.fleet.budget = ratelimit.NewBucket(10)
		c.replaceUnhealthy(map[int]*peer.Demand{0: d})
		if got := len(c.fleet.returning) == tc.unreconciled; got != tc.want || !tc.want && len(c.fleet.returning) > 0 {
			t.Errorf("%s: %d returned, want it: %v", tc.name, len(c.fleet.returning), tc.want)
		}
	}
}
