package fleet

import (
	"math"
	"slices"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// minPricedCPUs is the smallest divisor of a machine's price, so that a type without CPUs still
// has a finite price per CPU.
const minPricedCPUs = 0.01

// Kind is a kind of machine: its type, its zone, and whether it is a spot machine. Capacity is
// counted by kind.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// Catalog holds the machine types that the cloud offers.
type Catalog struct {
	Types map[string]wire.MachineType
	Names []string // of the types, in ascending order
}

// CPUPrice returns the price of one CPU of a machine type per hour.
func CPUPrice(machineType wire.MachineType, spot bool) float64 {
	price := machineType.Price
	if spot {
		price = machineType.SpotPrice
	}
	return price / max(machineType.CPUs, minPricedCPUs)
}

// LowestPrice returns the lowest positive price of a CPU per hour, or +Inf if there is none.
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

// LongestBoot returns the boot time of the machine type that boots slowest.
func (c Catalog) LongestBoot() micros.Micros {
	longest := micros.Micros(0)
	for _, machineType := range c.Types {
		longest = max(longest, micros.FromSeconds(machineType.BootS))
	}
	return longest
}

// CPUs returns the total CPUs of the given number of machines of a type.
func (c Catalog) CPUs(machineType string, machines int) float64 {
	return float64(float64(machines) * c.Types[machineType].CPUs)
}

// CanRun reports whether a group's tasks can run on machines of a kind.
func (c Catalog) CanRun(group peer.WaitingTasks, kind Kind) bool {
	machineType, known := c.Types[kind.Type]
	if !known || !allows(group, kind) {
		return false
	}
	need := scheduling.Resources{CPUs: group.CPUs, GPUs: group.GPUs, MemGB: group.MemGB}
	return need.Fits(scheduling.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemGB: machineType.MemGB})
}

// CanRunTask reports whether a starved task can run on machines of a kind.
func (c Catalog) CanRunTask(task *peer.StarvedTask, kind Kind) bool {
	return !slices.Contains(task.ExcludedZones, kind.Zone) && c.CanRun(groupOf(task), kind)
}

// WantedKinds returns a function that reports whether any of the tasks can run on machines of a kind.
func (c Catalog) WantedKinds(tasks []StarvedTask) func(Kind) bool {
	wanted := map[Kind]bool{}
	return func(kind Kind) bool {
		result, known := wanted[kind]
		if !known {
			result = slices.ContainsFunc(tasks, func(task StarvedTask) bool { return c.CanRunTask(&task.StarvedTask, kind) })
			wanted[kind] = result
		}
		return result
	}
}

// groupOf returns a group that consists of a starved task.
func groupOf(task *peer.StarvedTask) peer.WaitingTasks {
	return peer.WaitingTasks{
		Types:   task.Types,
		AnyType: task.AnyType,
		Zone:    task.Zone,
		Spot:    task.Spot,
		CPUs:    task.CPUs,
		GPUs:    task.GPUs,
		MemGB:   task.MemGB,
		Count:   1,
	}
}

// allows reports whether a group's constraints on zone, spot and type admit machines of a kind.
func allows(group peer.WaitingTasks, kind Kind) bool {
	if group.Zone != "" && group.Zone != kind.Zone || kind.Spot && !group.Spot {
		return false
	}
	return group.AnyType || slices.Contains(group.Types, kind.Type)
}

// Useful reports whether any task that waits in a shard can run on a machine of a kind.
func (c Catalog) Useful(demand *peer.Demand, kind Kind) bool {
	for _, group := range demand.WaitingTasks {
		if group.Count > 0 && c.CanRun(group, kind) {
			return true
		}
	}
	return false
}

// UsefulAnywhere reports whether any task that waits in any shard can run on a machine of a kind.
func (c Catalog) UsefulAnywhere(demands Demands, kind Kind) bool {
	for _, demand := range demands {
		if c.Useful(demand, kind) {
			return true
		}
	}
	return false
}

// Constrained reports whether there is a kind of machine on which a group's tasks cannot run.
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
