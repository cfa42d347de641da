package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/quota"
)

// Plan says what a run is made of.
type Plan struct {
	Seed     uint64
	Nodes    int
	Teams    []controller.Team
	Machines int // that run at a time
	Jobs     int
	// InitialMachines is how many machines are up at the start; 0: as many as suits the rest.
	InitialMachines int
	// Large makes arrays large and machines many, and workers' ticks longer.
	Large bool
	// DAGs is how many sets of jobs that depend on each other are submitted besides.
	DAGs int
	// Churn makes every job one task, four of them a second, a quarter cancelled.
	Churn bool
	// Cascade cancels a job that many others depend on.
	Cascade *Cascade
	// Groups are groups of teams whose limits change meanwhile.
	Groups []quota.GroupOptions
	// StatusRequestRate is how many times a second users ask about jobs, each time at all
	// controllers, beside what they ask about their own.
	StatusRequestRate float64

	// StateRPS and WriteRPS are the limits of the state service; 0: large ones.
	StateRPS, WriteRPS float64
	// MaxFinalJobs is how many final states a controller keeps; 0: the controller's own number.
	MaxFinalJobs int
	// UpgradeFrom begins with controllers of an older version, which are replaced one by one;
	// Rollback has them return to it later.
	UpgradeFrom Release
	Rollback    bool

	// Faults adds faults of single parts.
	Faults bool
	// FleetFaults adds faults that hit many machines or all controllers at a time.
	FleetFaults bool
	// ConcurrentFaults adds faults that overlap, and users who repeat requests within
	// milliseconds.
	ConcurrentFaults bool
	// LongOutage has one controller lose the state service with the answers to what it wrote,
	// and then all of them for longer than a cancellation may take.
	LongOutage bool
	// StaleJobs has controllers act on stale views of jobs: the state service refuses reads of jobs
	// while owners end one after the other.
	StaleJobs bool
	// ReconnectionWaves ends the leader, then all controllers, then all but one.
	ReconnectionWaves bool
	// SlowStep is how long a step takes, for a while, on one controller and then on all.
	// Inputs wait in line meanwhile.
	SlowStep micros.Micros

	// ActiveTime is how long faults and submissions go on; after that nothing goes wrong, and
	// every job must end within RecoveryTime.
	ActiveTime, RecoveryTime micros.Micros
}

// hasLongTasks reports whether some tasks of the plan's jobs are long, so that there are jobs
// to cancel.
func (p Plan) hasLongTasks() bool {
	return p.ConcurrentFaults || p.LongOutage || p.StaleJobs
}

// mayReturnBusyMachines reports whether a controller may take busy machines for idle ones.
func (p Plan) mayReturnBusyMachines() bool {
	return p.Faults || p.FleetFaults || p.hasLongTasks()
}
