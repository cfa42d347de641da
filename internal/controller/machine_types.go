package controller

import "garnethitch/internal/wire"

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
