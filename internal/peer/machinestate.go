package peer

import "strconv"

// MachineState is the state of a machine as its owner reports it to the leader. It is encoded
// as an integer.
type MachineState int

// States of a machine.
const (
	MachineIdle      MachineState = 1 // has no tasks
	MachineSilent    MachineState = 2 // its heartbeats are overdue, or replies do not reach it
	MachineUnhealthy MachineState = 3 // to be replaced: fails or slows tasks, or is being reclaimed
	MachineBusy      MachineState = 4 // has tasks
	MachineDraining  MachineState = 5 // starts no new tasks, and is released once it is empty
	MachineBooting   MachineState = 6 // rented, but has not sent a heartbeat yet
	// MachineUnreconciled is the state of a machine that the new owner knows only from its
	// record since a failover. Until the machine is reconciled, it blocks the jobs that may
	// have tasks on it.
	MachineUnreconciled MachineState = 7
)

// String returns the state's name, or the number of an unknown state.
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
