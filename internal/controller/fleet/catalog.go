package fleet

import (
	"math"
	"slices"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// minPricedCPUs is the least number of CPUs by which a machine's price is divided.
const minPricedCPUs = 0.01

// Kind is what capacity is counted by.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// Catalog is what the cloud offers.
type Catalog struct {
	Types map[string]wire.MachineType
	Names []string // of the types, in ascending order
}

// CPUPrice returns the price of a CPU for an hour.
func CPUPrice(mt wire.MachineType, spot bool) float64 {
	price := mt.Price
	if spot {
		price = mt.SpotPrice
	}
	return price / max(mt.CPUs, minPricedCPUs)
}

// LowestPrice returns the lowest price of a CPU that costs anything; +Inf if there is none.
func (c Catalog) LowestPrice() float64 {
	lowest := math.Inf(1)
	for _, mt := range c.Types {
		for _, spot := range []bool{true, false} {
			if price := CPUPrice(mt, spot); price > 0 {
				lowest = min(lowest, price)
			}
		}
	}
	return lowest
}

// LongestBoot returns how long the machines of the slowest type boot.
func (c Catalog) LongestBoot() micros.Micros {
	longest := micros.Micros(0)
	for _, mt := range c.Types {
		longest = max(longest, micros.FromSeconds(mt.BootS))
	}
	return longest
}

// CPUs returns the CPUs of so many machines of a type.
func (c Catalog) CPUs(machineType string, machines int) float64 {
	return float64(machines) * c.Types[machineType].CPUs
}

// Hosts reports whether a group's tasks could run on machines of a kind.
func (c Catalog) Hosts(g peer.WaitingTasks, k Kind) bool {
	mt, known := c.Types[k.Type]
	if !known || !allows(g, k) {
		return false
	}
	need := scheduling.Resources{CPUs: g.CPUs, GPUs: g.GPUs, MemGB: g.MemGB}
	return need.Fits(scheduling.Resources{CPUs: mt.CPUs, GPUs: mt.GPUs, MemGB: mt.MemGB})
}

// allows reports whether a group's constraints admit machines of a kind.
func allows(g peer.WaitingTasks, k Kind) bool {
	if g.Zone != "" && g.Zone != k.Zone || k.Spot && !g.Spot {
		return false
	}
	return g.AnyType || slices.Contains(g.Types, k.Type)
}

// Useful reports whether tasks that wait in a shard could use a machine of a kind.
func (c Catalog) Useful(d *peer.Demand, k Kind) bool {
	for _, g := range d.WaitingTasks {
		if g.Count > 0 && c.Hosts(g, k) {
			return true
		}
	}
	return false
}

// UsefulAnywhere reports whether tasks that wait in any shard could use a machine of a kind.
func (c Catalog) UsefulAnywhere(demands Demands, k Kind) bool {
	for _, d := range demands {
		if c.Useful(d, k) {
			return true
		}
	}
	return false
}

// Constrained reports whether a group's tasks cannot run on machines of every kind.
func (c Catalog) Constrained(g peer.WaitingTasks) bool {
	for _, name := range c.Names {
		for _, zone := range c.Types[name].Zones {
			if !c.Hosts(g, Kind{name, zone, true}) || !c.Hosts(g, Kind{name, zone, false}) {
				return true
			}
		}
	}
	return false
}
