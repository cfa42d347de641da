package controller

import (
	"math"
	"slices"
	"testing"

	"garnethitch/internal/wire"
)

// TestUsableTypes checks that invalid machine types are left out, and that zones are sorted without
// duplicates.
func TestUsableTypes(t *testing.T) {
	good := wire.MachineType{Name: "m", CPUs: 4, MemGB: 8, Price: 1, SpotPrice: 0.5, Zones: []string{"b", "a", "b"}}
	with := func(change func(*wire.MachineType)) wire.MachineType {
		mt := good
		mt.Zones = slices.Clone(good.Zones)
		change(&mt)
		return mt
	}
	for _, tc := range []struct {
		name string
		mt   wire.MachineType
		want bool
	}{
		{"complete", with(func(*wire.MachineType) {}), true},
		{"free of charge", with(func(mt *wire.MachineType) { mt.Price, mt.SpotPrice = 0, 0 }), true},
		{"without a name", with(func(mt *wire.MachineType) { mt.Name = "" }), false},
		{"negative CPUs", with(func(mt *wire.MachineType) { mt.CPUs = -1 }), false},
		{"negative GPUs", with(func(mt *wire.MachineType) { mt.GPUs = -1 }), false},
		{"memory that is no number", with(func(mt *wire.MachineType) { mt.MemGB = math.NaN() }), false},
		{"negative price", with(func(mt *wire.MachineType) { mt.Price = -1 }), false},
		{"spot price that is no number", with(func(mt *wire.MachineType) { mt.SpotPrice = math.NaN() }), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			types := usableTypes(wire.MachineTypes{Types: []wire.MachineType{tc.mt}})
			got, usable := types[tc.mt.Name]
			if usable != tc.want {
				t.Fatalf("usable: %v, want %v", usable, tc.want)
			}
			if usable && !slices.Equal(got.Zones, []string{"a", "b"}) {
				t.Errorf("zones %v, want a and b", got.Zones)
			}
		})
	}
}

// TestListIsReadByPages checks that a machine on two pages of a list counts once, that the pages
// replace the former list only when the last one is read, and that a failed read keeps it.
func TestListIsReadByPages(t *testing.T) {
	h := newHarness(t, nil)
	h.c.fleet.reset()
	f := &h.c.fleet
	page := func(more bool, ids ...string) Result {
		list := &wire.MachineList{More: more}
		for _, id := range ids {
			list.Machines = append(list.Machines, wire.ListedMachine{ID: id})
		}
		return Result{Status: 200, Body: list}
	}
	f.listReadStartedAt = h.now
	h.c.handleListPage(page(true, "vm-1", "vm-2"))
	if f.listedAt != 0 || f.lastReadID != "vm-2" {
		t.Errorf("after the first page: listed at %v, last ID read %q", f.listedAt, f.lastReadID)
	}
	h.c.handleListPage(page(false, "vm-2", "vm-3"))
	if f.listedAt != h.now || f.lastReadID != "" || !slices.Equal(f.listedIDs, []string{"vm-1", "vm-2", "vm-3"}) {
		t.Errorf("after the last page: listed at %v, last ID read %q, IDs %v", f.listedAt, f.lastReadID, f.listedIDs)
	}
	f.lastReadID = "vm-2"
	h.c.handleListPage(Result{Status: 503})
	if f.lastReadID != "" || len(f.listed) != 3 {
		t.Errorf("after a failed read: last ID read %q, %d machines listed", f.lastReadID, len(f.listed))
	}
}
