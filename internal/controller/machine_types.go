package controller

import "garnethitch/internal/wire"

// machineTypes are the machine types that the cloud offers; none before they are known.
type machineTypes struct {
	byName map[string]wire.MachineType
	names  []string // sorted
}

// newMachineTypes returns machine types that are known.
func newMachineTypes(byName map[string]wire.MachineType) machineTypes {
	return machineTypes{byName: byName, names: sortedKeys(byName)}
}

// known reports whether there are any.
func (t *machineTypes) known() bool { return len(t.byName) > 0 }

// of returns the type of a machine; one without capacity if it is not known.
func (t *machineTypes) of(m *machine) wire.MachineType { return t.byName[m.rec.Type] }

// cpusOf returns the CPUs of a machine; 0 if its type is not known.
func (t *machineTypes) cpusOf(m *machine) float64 { return t.byName[m.rec.Type].CPUs }
