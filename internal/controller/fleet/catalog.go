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
func CPUPrice(machineType wire.MachineType, spot bool) float64 {
	price := machineType.Price
	if spot {
		price = machineType.SpotPrice
	}
	return price / max(machineType.CPUs, minPricedCPUs)
}

// LowestPrice returns the lowest price of a CPU that costs anything; +Inf if there is none.
func (c Catalog) LowestPrice() float64 {
	lowest := math.Inf(1)
	for _, machineType := range c.Types {
		for _, spot := range []bool{true, false} {
			if price := CPUPrice(machineType, spot); price > 0 {
				lowest = min(lowest, price)
			}
		}
	}
	return lowest
}

// LongestBoot returns how long the machines of the slowest type boot.
func (c Catalog) LongestBoot() micros.Micros {
	longest := micros.Micros(0)
	for _, machineType := range c.Types {
		longest = max(longest, micros.FromSeconds(machineType.BootS))
	}
	return longest
}

// CPUs returns the CPUs of so many machines of a type.
func (c Catalog) CPUs(machineType string, machines int) float64 {
	return float64(machines) * c.Types[machineType].CPUs
}

// CanRun reports whether a group's tasks could run on machines of a kind.
func (c Catalog) CanRun(group peer.WaitingTasks, kind Kind) bool {
	machineType, known := c.Types[kind.Type]
	if !known || !allows(group, kind) {
		return false
	}
	need := scheduling.Resources{CPUs: group.CPUs, GPUs: group.GPUs, MemGB: group.MemGB}
	return need.Fits(scheduling.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemGB: machineType.MemGB})
}

// allows reports whether a group's constraints admit machines of a kind.
func allows(group peer.WaitingTasks, kind Kind) bool {
	if group.Zone != "" && group.Zone != kind.Zone || kind.Spot && !group.Spot {
		return false
	}
	return group.Any || slices.Contains(group.Types, kind.Type)
}

// Useful reports whether tasks that wait in a shard could use a machine of a kind.
func (c Catalog) Useful(demand *peer.Demand, kind Kind) bool {
	for _, group := range demand.Groups {
		if group.Waiting > 0 && c.CanRun(group, kind) {
			return true
		}
	}
	return false
}

// UsefulAnywhere reports whether tasks that wait in any shard could use a machine of a kind.
func (c Catalog) UsefulAnywhere(demands Demands, kind Kind) bool {
	for _, demand := range demands {
		if c.Useful(demand, kind) {
			return true
		}
	}
	return false
}

// Constrained reports whether a group's tasks cannot run on machines of every kind.
func (c Catalog) Constrained(group peer.WaitingTasks) bool {
	for _, name := range c.Names {
		for _, zone := range c.Types[name].Zones {
			if !c.CanRun(group, Kind{name, zone, true}) || !c.CanRun(group, Kind{name, zone, false}) {
				return true
			}
		}
	}
	return false
}
