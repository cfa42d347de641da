package simulation

import (
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/quota"
)

// Plan describes a run: the cluster, the load and the faults.
type Plan struct {
	Seed     uint64
	Nodes    int
	Teams    []controller.Team
	Machines int // maximum number at a time
	Jobs     int // ordinary jobs, without those of DAGs and Cascade
	// InitialMachines is the number of machines that are up at the start. 0: derived from
	// Machines.
	InitialMachines int
	// Large gives jobs many tasks, starts with more machines and makes the workers' ticks longer.
	Large bool
	// Scarce gives jobs few tasks of unusual sizes that run long, and adds faults that leave hardly
	// any machine that can run them; see scarce_machines.go.
	Scarce bool
	// DAGs is the number of sets of interdependent jobs that are submitted in addition to Jobs.
	DAGs int
	// Churn gives every job one task, submits four jobs a second and cancels a quarter of them.
	Churn bool
	// Cascade, if set, cancels a job that many others depend on.
	Cascade *Cascade
	// Groups are groups of teams whose limits operators change during the run.
	Groups []quota.GroupOptions
	// StatusRequestRate is how many times a second all controllers are asked about a job, in
	// addition to the requests of users about their own jobs.
	StatusRequestRate float64

	// StateRPS and WriteRPS are the limits of the state service that the controllers' settings
	// state, in requests and writes per second. 0: a high limit.
	StateRPS, WriteRPS float64
	// MaxFinalJobs is the number of final jobs that a controller keeps in memory. 0: the
	// controller's default.
	MaxFinalJobs int
	// UpgradeFrom is the release that the controllers run at first; they are then upgraded one
	// by one. Rollback returns them to that release later.
	UpgradeFrom Release
	Rollback    bool

	// Faults adds faults that each hit a single component.
	Faults bool
	// FleetFaults adds faults that hit many machines or all controllers at once.
	FleetFaults bool
	// ConcurrentFaults adds faults that overlap, and users who repeat requests within
	// milliseconds.
	ConcurrentFaults bool
	// LongOutage makes one controller lose the state service together with the answers to its
	// writes, and then all controllers for longer than a cancellation may take.
	LongOutage bool
	// LateCopies makes direct commands that were carried out and answered reach their workers
	// again, up to one and a half minutes later.
	LateCopies bool
	// StaleJobs makes controllers act on stale views of jobs: the state service refuses reads of
	// jobs while owners crash one after the other.
	StaleJobs bool
	// ReconnectionWaves crashes the leader, then all controllers, then all but one.
	ReconnectionWaves bool
	// SlowStep is the duration of a step while controllers are slow: first one controller, later
	// all. Inputs queue up meanwhile.
	SlowStep micros.Micros

	// ActiveTime is the time during which jobs are submitted and faults begin. After it only
	// faults that have begun go on, and every job must end within RecoveryTime.
	ActiveTime, RecoveryTime micros.Micros
}

// hasLongTasks reports whether some jobs of the plan have long tasks, so that running jobs can be
// cancelled.
func (p Plan) hasLongTasks() bool {
	return p.ConcurrentFaults || p.LongOutage || p.StaleJobs
}

// mayReturnBusyMachines reports whether the plan's faults may make a controller return a machine
// that has tasks because it believes that the machine is idle.
func (p Plan) mayReturnBusyMachines() bool {
	return p.Faults || p.FleetFaults || p.hasLongTasks()
}
