package controller

import (
	"testing"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// TestNextScaleOut checks which machines are rented for which waiting tasks and existing machines.
func TestNextScaleOut(t *testing.T) {
	waiting := func(tasks int, cpus, seconds float64) peer.WaitingTasks {
		return peer.WaitingTasks{AnyType: true, Spot: true, CPUs: cpus, MemGB: 1, Count: tasks, WorkUS: int64(float64(tasks) * seconds * 1e6)}
	}
	noSpot := waiting(4, 1, 300)
	noSpot.Spot = false
	spot := fleet.Kind{Type: "m", Zone: "a", Spot: true}
	onDemand := fleet.Kind{Type: "m", Zone: "a", Spot: false}
	for _, tc := range []struct {
		name        string
		group       peer.WaitingTasks
		totals      fleet.Totals
		free        map[fleet.Kind]float64
		spotRefused bool
		partitioned string // name of the partitioned zone; empty: none
		wantSpot    bool
		wantCount   int // number of machines; 0: no rental
	}{
		{name: "nothing waits", group: waiting(0, 1, 10)},
		{
			name:     "a large backlog: as many as one rental takes",
			group:    waiting(10_000, 1, 100),
			totals:   fleet.Totals{Work: 1e6, Parallel: 10_000},
			wantSpot: true, wantCount: 50,
		},
		{
			name:   "enough machines are booting",
			group:  waiting(100, 1, 100),
			totals: fleet.Totals{Work: 1e4, Parallel: 100, Have: 400},
		},
		{
			name:     "little work, no machines",
			group:    waiting(2, 1, 6),
			totals:   fleet.Totals{Work: 12, Parallel: 2},
			wantSpot: true, wantCount: 1,
		},
		{
			name:        "expensive machines only for work that would wait long",
			group:       waiting(100, 1, 60),
			totals:      fleet.Totals{Work: 6000, Parallel: 100, Have: 100},
			spotRefused: true,
		},
		{
			name:        "expensive machines for a long backlog",
			group:       waiting(400, 1, 600),
			totals:      fleet.Totals{Work: 240_000, Parallel: 400, Have: 100},
			spotRefused: true,
			wantCount:   50,
		},
		{
			name:      "the fleet is large, but none of it can be used",
			group:     noSpot,
			totals:    fleet.Totals{Work: 1200, Parallel: 304, Have: 400},
			wantCount: 1,
		},
		{
			name:        "a zone is partitioned: what is rented there could not send heartbeats",
			group:       waiting(100, 1, 100),
			totals:      fleet.Totals{Work: 1e4, Parallel: 100},
			partitioned: "a",
		},
		{
			name:        "another zone is partitioned",
			group:       waiting(100, 1, 100),
			totals:      fleet.Totals{Work: 1e4, Parallel: 100},
			partitioned: "b",
			wantSpot:    true, wantCount: 25,
		},
		{
			name:   "a usable machine is idle",
			group:  noSpot,
			totals: fleet.Totals{Work: 1200, Parallel: 304, Have: 400},
			free:   map[fleet.Kind]float64{onDemand: 40},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10, DrainHorizon: 30 * sec}, 1)
			c.types = newMachineTypes(map[string]wire.MachineType{"m": {Name: "m", CPUs: 4, MemGB: 8, Price: 2, SpotPrice: 1, Zones: []string{"a"}}})
			if tc.spotRefused {
				c.fleet.refused[spot] = &refusal{until: sec}
			}
			free := tc.free
			if free == nil {
				free = map[fleet.Kind]float64{}
			}
			choice := fleet.ScaleOut{
				Catalog:        c.catalog(),
				DrainHorizon:   c.cfg.DrainHorizon,
				Totals:         tc.totals,
				WaitingTasks:   []peer.WaitingTasks{tc.group},
				Free:           free,
				MachinesInZone: map[string]int{},
				MaxMachines:    1000,
				Unavailable:    c.fleet.unavailable(map[string]bool{tc.partitioned: true}),
			}
			rental, ok := choice.Next()
			if ok != (tc.wantCount > 0) || ok && (rental.Count != tc.wantCount || rental.Spot != tc.wantSpot) {
				t.Errorf("rented: %v, %+v; want %d machines, spot %v", ok, rental, tc.wantCount, tc.wantSpot)
			}
		})
	}
}
