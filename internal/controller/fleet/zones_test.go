package fleet

import (
	"testing"

	"garnethitch/internal/peer"
)

// TestPartitionedZones checks that a zone counts as partitioned only if most of its machines are
// silent while the machines of another zone send heartbeats, regardless of how many shards report
// machines of the zone.
func TestPartitionedZones(t *testing.T) {
	for _, tc := range []struct {
		name   string
		shards [][]peer.ZoneMachines
		want   string
	}{
		{"all connected", [][]peer.ZoneMachines{{{Name: "a", TotalMachines: 100}, {Name: "b", TotalMachines: 100, SilentMachines: 3}}}, ""},
		{"one is partitioned", [][]peer.ZoneMachines{{{Name: "a", TotalMachines: 100, SilentMachines: 90}, {Name: "b", TotalMachines: 100, SilentMachines: 3}}}, "a"},
		{"counted over several shards", [][]peer.ZoneMachines{{{Name: "a", TotalMachines: 3, SilentMachines: 3}, {Name: "b", TotalMachines: 9}}, {{Name: "a", TotalMachines: 2, SilentMachines: 2}}}, "a"},
		{"a tenth of all machines is silent", [][]peer.ZoneMachines{{{Name: "a", TotalMachines: 100, SilentMachines: 10}, {Name: "b", TotalMachines: 100, SilentMachines: 10}}}, ""},
		{"half of a zone is silent", [][]peer.ZoneMachines{{{Name: "a", TotalMachines: 100, SilentMachines: 50}, {Name: "b", TotalMachines: 100}}}, ""},
		{"two silent machines are too few", [][]peer.ZoneMachines{{{Name: "a", TotalMachines: 2, SilentMachines: 2}, {Name: "b", TotalMachines: 8}}}, ""},
		{"no zone is connected: the fault is not in the zones", [][]peer.ZoneMachines{{{Name: "a", TotalMachines: 100, SilentMachines: 95}, {Name: "b", TotalMachines: 100, SilentMachines: 96}}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			demands := Demands{}
			for i, zones := range tc.shards {
				demands[i] = &peer.Demand{Shard: i, Zones: zones}
			}
			partitioned := PartitionedZones(demands)
			if len(partitioned) > 1 || (tc.want != "") != (len(partitioned) == 1) || tc.want != "" && !partitioned[tc.want] {
				t.Errorf("partitioned: %v, want %q", partitioned, tc.want)
			}
		})
	}
}
