package fleet

import (
	"testing"

	"garnethitch/internal/peer"
)

// TestPartitionedZones checks that a zone counts as partitioned only if hardly any of its machines
// send heartbeats while the machines of another zone do, regardless of how many shards report
// machines of the zone.
func TestPartitionedZones(t *testing.T) {
	for _, tc := range []struct {
		name   string
		shards [][]peer.Zone
		want   string
	}{
		{"all connected", [][]peer.Zone{{{Name: "a", All: 100}, {Name: "b", All: 100, Silent: 3}}}, ""},
		{"one is partitioned", [][]peer.Zone{{{Name: "a", All: 100, Silent: 90}, {Name: "b", All: 100, Silent: 3}}}, "a"},
		{"counted over several shards", [][]peer.Zone{{{Name: "a", All: 3, Silent: 3}, {Name: "b", All: 9}}, {{Name: "a", All: 2, Silent: 2}}}, "a"},
		{"a tenth of all machines is silent", [][]peer.Zone{{{Name: "a", All: 100, Silent: 10}, {Name: "b", All: 100, Silent: 10}}}, ""},
		{"half of a zone is silent", [][]peer.Zone{{{Name: "a", All: 100, Silent: 50}, {Name: "b", All: 100}}}, ""},
		{"two silent machines are too few", [][]peer.Zone{{{Name: "a", All: 2, Silent: 2}, {Name: "b", All: 8}}}, ""},
		{"no zone is connected: the fault is not in the zones", [][]peer.Zone{{{Name: "a", All: 100, Silent: 95}, {Name: "b", All: 100, Silent: 96}}}, ""},
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
