package controller

import (
	"testing"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// What is rented, from what waits and what is there.
func TestNextScaleOut(t *testing.T) {
	any := func(waiting int, cpus, seconds float64) peer.Group {
		return peer.Group{Any: true, Spot: true, CPUs: cpus, MemGB: 1, Waiting: waiting, WorkUS: int64(float64(waiting) * seconds * 1e6)}
	}
	ordinary := any(4, 1, 300)
	ordinary.Spot = false
	for _, tc := range []struct {
		name   string
		group  peer.Group
		want   fleet.Sums
		free   map[kind]float64
		refuse bool // no spot machines for now
		spot   bool
		count  int    // 0: nothing
		dark   string // a zone that is cut off
	}{
		{"nothing waits", any(0, 1, 10), fleet.Sums{}, nil, false, false, 0, ""},
		{"a large backlog: as many as one call takes", any(10_000, 1, 100), fleet.Sums{Work: 1e6, Parallel: 10_000}, nil, false, true, 50, ""},
		{"enough is on its way", any(100, 1, 100), fleet.Sums{Work: 1e4, Parallel: 100, Have: 400}, nil, false, false, 0, ""},
		{"little work and no machine at all (stuck for 300 s in the simulation)", any(2, 1, 6), fleet.Sums{Work: 12, Parallel: 2}, nil, false, true, 1, ""},
		{"dear machines only for work that would wait long", any(100, 1, 60), fleet.Sums{Work: 6000, Parallel: 100, Have: 100}, nil, true, false, 0, ""},
		{"dear machines for a long backlog", any(400, 1, 600), fleet.Sums{Work: 240_000, Parallel: 400, Have: 100}, nil, true, false, 50, ""},
		{"the fleet is large, but none of it can be used (stuck for 300 s)", ordinary, fleet.Sums{Work: 1200, Parallel: 304, Have: 400}, nil, false, false, 1, ""},
		{"a zone is cut off: what is rented there could not report", any(100, 1, 100), fleet.Sums{Work: 1e4, Parallel: 100}, nil, false, false, 0, "a"},
		{"another zone is cut off", any(100, 1, 100), fleet.Sums{Work: 1e4, Parallel: 100}, nil, false, true, 25, "b"},
		{"one that can be used idles", ordinary, fleet.Sums{Work: 1200, Parallel: 304, Have: 400}, map[kind]float64{{Type: "m", Zone: "a", Spot: false}: 40}, false, false, 0, ""},
	} {
		c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10, DrainHorizon: 30 * sec}, 1)
		c.types = map[string]wire.MachineType{"m": {Name: "m", CPUs: 4, MemGB: 8, Price: 2, SpotPrice: 1, Zones: []string{"a"}}}
		c.typeIndex.names = []string{"m"}
		if tc.refuse {
			c.fleet.refused[kind{Type: "m", Zone: "a", Spot: true}] = &refusal{until: sec}
		}
		free := tc.free
		if free == nil {
			free = map[kind]float64{}
		}
		choice := fleet.ScaleOut{
			Catalog:        c.catalog(),
			DrainHorizon:   c.cfg.DrainHorizon,
			Sums:           tc.want,
			Groups:         []peer.Group{tc.group},
			Free:           free,
			MachinesInZone: map[string]int{},
			MaxMachines:    1000,
			Unavailable:    c.unavailable(map[string]bool{tc.dark: true}),
		}
		req, ok := choice.Next()
		if ok != (tc.count > 0) || ok && (req.Count != tc.count || req.Spot != tc.spot) {
			t.Errorf("%s: %v %+v, want %d, spot %v", tc.name, ok, req, tc.count, tc.spot)
		}
	}
}
