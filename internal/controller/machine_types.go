package controller

import (
	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/wire"
)

// machineTypes holds the machine types that the cloud offers. It is empty until they are known.
type machineTypes struct {
	byName map[string]wire.MachineType
	names  []string // sorted
}

// newMachineTypes returns the machine types with the given names.
func newMachineTypes(byName map[string]wire.MachineType) machineTypes {
	return machineTypes{byName: byName, names: sortedKeys(byName)}
}

// known reports whether the machine types are known.
func (t *machineTypes) known() bool { return len(t.byName) > 0 }

// of returns the type of a machine, or a type without capacity if it is not known.
func (t *machineTypes) of(m *machine) wire.MachineType { return t.byName[m.rec.Type] }

// cpusOf returns the number of CPUs of a machine, or 0 if its type is not known.
func (t *machineTypes) cpusOf(m *machine) float64 { return t.byName[m.rec.Type].CPUs }

// occupiedCPUs returns how many CPUs of a machine type are taken up by the given resources: the
// same fraction of the CPUs as of the resource of which the largest fraction is taken.
func occupiedCPUs(machineType wire.MachineType, used scheduling.Resources) float64 {
	occupied := used.CPUs
	if machineType.MemGB > 0 {
		occupied = max(occupied, used.MemGB/machineType.MemGB*machineType.CPUs)
	}
	if machineType.GPUs > 0 {
		occupied = max(occupied, used.GPUs/machineType.GPUs*machineType.CPUs)
	}
	return occupied
}

// taskSize returns how many CPUs of a machine a task takes up, on the type on which these are the
// fewest. A task counts at least as one of the tasks that a machine may hold.
func (t *machineTypes) taskSize(sub *wire.Submission) float64 {
	size, found := 0.0, false
	for _, name := range t.names {
		machineType := t.byName[name]
		if !typeAllowed(sub, name) || !fitsType(sub, machineType) {
			continue
		}
		onType := max(occupiedCPUs(machineType, resourcesOf(sub)), machineType.CPUs/maxTasksPerMachine)
		if !found || onType < size {
			size, found = onType, true
		}
	}
	return max(size, sub.CPUs)
}
