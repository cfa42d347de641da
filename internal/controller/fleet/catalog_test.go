package fleet

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// testCatalog offers a small type in two zones, and a large type with GPUs in one of them.
func testCatalog() Catalog {
	return Catalog{
		Types: map[string]wire.MachineType{
			"large": {Name: "large", CPUs: 16, GPUs: 2, MemGB: 64, Price: 16, SpotPrice: 8, BootS: 40, Zones: []string{"a"}},
			"small": {Name: "small", CPUs: 4, MemGB: 8, Price: 2, SpotPrice: 1, BootS: 20, Zones: []string{"a", "b"}},
		},
		Names: []string{"large", "small"},
	}
}

func TestCatalogCanRun(t *testing.T) {
	task := peer.WaitingTasks{AnyType: true, Spot: true, CPUs: 1, MemGB: 1, Count: 1}
	with := func(change func(*peer.WaitingTasks)) peer.WaitingTasks {
		g := task
		change(&g)
		return g
	}
	small := Kind{Type: "small", Zone: "a", Spot: true}
	for _, tc := range []struct {
		name  string
		group peer.WaitingTasks
		kind  Kind
		want  bool
	}{
		{"any machine", task, small, true},
		{"unknown type", task, Kind{Type: "huge", Zone: "a"}, false},
		{"its zone", with(func(g *peer.WaitingTasks) { g.Zone = "a" }), small, true},
		{"another zone", with(func(g *peer.WaitingTasks) { g.Zone = "b" }), small, false},
		{"its type", with(func(g *peer.WaitingTasks) { g.AnyType, g.Types = false, []string{"small"} }), small, true},
		{"another type", with(func(g *peer.WaitingTasks) { g.AnyType, g.Types = false, []string{"large"} }), small, false},
		{"no type at all", with(func(g *peer.WaitingTasks) { g.AnyType = false }), small, false},
		{"no spot machines", with(func(g *peer.WaitingTasks) { g.Spot = false }), small, false},
		{"no spot machines, on a machine that is not spot", with(func(g *peer.WaitingTasks) { g.Spot = false }), Kind{Type: "small", Zone: "a"}, true},
		{"all CPUs", with(func(g *peer.WaitingTasks) { g.CPUs = 4 }), small, true},
		{"too many CPUs", with(func(g *peer.WaitingTasks) { g.CPUs = 5 }), small, false},
		{"too much memory", with(func(g *peer.WaitingTasks) { g.MemGB = 9 }), small, false},
		{"a GPU on a machine without one", with(func(g *peer.WaitingTasks) { g.GPUs = 1 }), small, false},
		{"a GPU", with(func(g *peer.WaitingTasks) { g.GPUs = 1 }), Kind{Type: "large", Zone: "a"}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := testCatalog()
			if got := c.CanRun(tc.group, tc.kind); got != tc.want {
				t.Errorf("can run: %v, want %v", got, tc.want)
			}
			demands := Demands{3: {Shard: 3, WaitingTasks: []peer.WaitingTasks{tc.group}}}
			if got := c.UsefulAnywhere(demands, tc.kind); got != tc.want {
				t.Errorf("useful: %v, want %v", got, tc.want)
			}
			demands[3].WaitingTasks[0].Count = 0
			if c.UsefulAnywhere(demands, tc.kind) {
				t.Error("useful although nothing waits")
			}
		})
	}
}

func TestCatalogConstrained(t *testing.T) {
	c := testCatalog()
	if g := (peer.WaitingTasks{AnyType: true, Spot: true, CPUs: 4, MemGB: 8}); c.Constrained(g) {
		t.Error("constrained although it runs on all kinds")
	}
	if g := (peer.WaitingTasks{AnyType: true, Spot: true, CPUs: 5, MemGB: 8}); !c.Constrained(g) {
		t.Error("not constrained although it needs the large type")
	}
	if g := (peer.WaitingTasks{AnyType: true, CPUs: 1}); !c.Constrained(g) {
		t.Error("not constrained although it runs on no spot machine")
	}
}

func TestCatalogFigures(t *testing.T) {
	c := testCatalog()
	if got := c.LowestPrice(); got != 0.25 {
		t.Errorf("lowest price %v, want 0.25", got)
	}
	if got := c.LongestBoot(); got != 40*micros.Second {
		t.Errorf("longest boot %v s, want 40", got.Seconds())
	}
	if got := c.CPUs("small", 3); got != 12 {
		t.Errorf("%v CPUs, want 12", got)
	}
	if got := CPUPrice(wire.MachineType{Price: 2}, false); got != 200 {
		t.Errorf("price %v of a machine without CPUs, want 200", got)
	}
}
