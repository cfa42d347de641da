package controller

import (
	"cmp"

	"garnethitch/internal/micros"
	"garnethitch/quota"
)

// defaultMaxJobs is how many jobs are kept, unfinished and final each, where Config says nothing.
const defaultMaxJobs = 20_000

// Team is a team's guarantee and limit.
type Team struct {
	Name string
	// CPUs and GPUs are guaranteed to the team. CPUsMax and GPUsMax are its limits; 0: none.
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Config is all that a controller knows from the settings.
type Config struct {
	Label  string   // of this controller
	Peers  []string // labels of the other controllers
	Shards int      // number of shards
	Teams  []Team

	// Lease is the time to live of the controller's lease in the state service.
	Lease micros.Micros
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval micros.Micros
	// WorkerLease is how long a worker keeps its tasks after the last answered heartbeat.
	WorkerLease micros.Micros
	// CancelWithin is the time within which all tasks of a cancelled job must be gone.
	CancelWithin micros.Micros

	// StateRPS is what the state service takes of all controllers together, in requests a
	// second; WriteRPS in changes a second.
	StateRPS, WriteRPS float64
	// ValueBytes bounds the size of a value in the state service, in bytes.
	ValueBytes int
	// TxnOps bounds the changes in one transaction.
	TxnOps int

	// CloudRPS is what the cloud takes, in requests a second.
	CloudRPS float64
	// ListLag is how long the cloud's list may lag behind.
	ListLag micros.Micros

	// MaxWorkerRequests bounds the requests to workers in flight; below minWorkerRequests:
	// minWorkerRequests.
	MaxWorkerRequests int
	// MaxOpenJobs bounds the unfinished jobs: past it submissions are refused, with a time
	// to try again. 0: defaultJobs.
	MaxOpenJobs int
	// MaxFinalJobs bounds the final jobs kept in memory; older ones are read again. 0:
	// defaultJobs.
	MaxFinalJobs int
	// MaxStateRequests bounds the requests to the state service in flight, leases excepted:
	// what the process takes above it is left to renewals and watches. 0: no bound.
	MaxStateRequests int
	// MaxPeerQuestions bounds the users' questions to other controllers in flight: what the
	// process takes above it is left to the controllers' own messages. 0: no bound.
	MaxPeerQuestions int
	// MaxRegistrations bounds the machines without a record whose heartbeats wait for one:
	// each holds a connection. Past it a heartbeat is answered 503, and its machine sends the
	// next one to another controller a second later. 0: MaxMachines.
	MaxRegistrations int

	// SilentReturn is how long a machine may be silent before it is returned to the cloud. 0:
	// it never is; below 0: derived from HeartbeatInterval.
	SilentReturn micros.Micros
	// DrainHorizon is the time within which the fleet is to be large enough to work off what
	// waits.
	DrainHorizon micros.Micros
	// IdleReturn is how long a machine may be idle before it is returned.
	IdleReturn micros.Micros
	// CordonPeriod is how long a machine on which tasks fail gets no new ones.
	CordonPeriod micros.Micros
	// MaxMachines bounds the machines of the fleet.
	MaxMachines int

	// GuaranteeWithin is the time within which work within a team's guarantee is to be
	// started. 0: no objective.
	GuaranteeWithin micros.Micros
	// BeginWithin is the longest that a job should wait for its first start. 0: no limit.
	BeginWithin micros.Micros
	// StartWithin and FinishWithin hold the service-level objectives by class of job: the
	// time within which its tasks are to be started, and its jobs to be finished. A class
	// without an entry has none.
	StartWithin, FinishWithin map[string]micros.Micros

	// Quota are the groups above teams; nil: none.
	Quota *quota.Tree
	// Trace enables Spans of what happens to Quota.
	Trace bool
	// LogHeartbeats enables a debug line for each heartbeat, with its answer.
	LogHeartbeats bool
}

// withDefaults returns the configuration with defaults in place of zero bounds.
func (cfg Config) withDefaults() Config {
	cfg.MaxOpenJobs = cmp.Or(cfg.MaxOpenJobs, defaultMaxJobs)
	cfg.MaxFinalJobs = cmp.Or(cfg.MaxFinalJobs, defaultMaxJobs)
	cfg.MaxRegistrations = cmp.Or(cfg.MaxRegistrations, cfg.MaxMachines)
	return cfg
}
