package peer

import "strconv"

// MachineState is what an owner tells the leader of a machine's state. It is sent as an
// integer.
type MachineState int

// States of a machine.
const (
	MachineIdle      MachineState = 1 // it has no task
	MachineSilent    MachineState = 2 // its heartbeats are overdue
	MachineUnhealthy MachineState = 3 // to be replaced: it fails or slows tasks, or is being reclaimed
	MachineBusy      MachineState = 4 // it has tasks
	MachineDraining  MachineState = 5 // no task starts on it, and it is released once it is empty
	MachineBooting   MachineState = 6 // rented, and no heartbeat has come yet
	// MachineUnreconciled was recorded at a failover and has not been reconciled yet: it
	// blocks the jobs that may have tasks on it.
	MachineUnreconciled MachineState = 7
)

// String returns the state's name; that of an unknown state is its number.
func (s MachineState) String() string {
	switch s {
	case MachineIdle:
		return "idle"
	case MachineSilent:
		return "silent"
	case MachineUnhealthy:
		return "unhealthy"
	case MachineBusy:
		return "busy"
	case MachineDraining:
		return "draining"
	case MachineBooting:
		return "booting"
	case MachineUnreconciled:
		return "unreconciled"
	}
	return strconv.Itoa(int(s))
}
