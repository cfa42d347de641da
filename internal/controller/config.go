package controller

import (
	"cmp"

	"garnethitch/internal/micros"
	"garnethitch/quota"
)

// defaultMaxJobs is the default of Config.MaxOpenJobs and Config.MaxFinalJobs.
const defaultMaxJobs = 20_000

// Team is the quota of a team: its guarantee and its limits.
type Team struct {
	Name string
	// CPUs and GPUs are guaranteed to the team. CPUsMax and GPUsMax are its limits; 0 means no
	// limit.
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Config holds the settings of a controller.
type Config struct {
	Label  string   // label of this controller
	Peers  []string // labels of the other controllers
	Shards int      // number of shards
	Teams  []Team

	// Lease is the time to live of the controller's lease in the state service.
	Lease micros.Micros
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval micros.Micros
	// WorkerLease is how long a worker keeps its tasks after its last answered heartbeat.
	WorkerLease micros.Micros
	// CancelWithin is the time within which all tasks of a cancelled job must be gone.
	CancelWithin micros.Micros

	// StateRPS and WriteRPS are the limits of the state service for all controllers together, in
	// requests and in writes a second.
	StateRPS, WriteRPS float64
	// ValueBytes bounds the size of a value in the state service, in bytes.
	ValueBytes int
	// TxnOps bounds the number of changes in one transaction.
	TxnOps int

	// CloudRPS is the request limit of the cloud API, in requests a second.
	CloudRPS float64
	// ListLag is how far the cloud's machine list may lag behind.
	ListLag micros.Micros

	// MaxWorkerRequests bounds the requests to workers in flight. Values below
	// minWorkerRequestsInFlight are raised to it.
	MaxWorkerRequests int
	// MaxOpenJobs bounds the unfinished jobs. Submissions beyond it are refused with a Retry-After
	// time. 0 means defaultMaxJobs.
	MaxOpenJobs int
	// MaxFinalJobs bounds the final jobs kept in memory. Older ones are read from the state service
	// when a user asks for them. 0 means defaultMaxJobs.
	MaxFinalJobs int
	// MaxStateRequests bounds the requests to the state service in flight, those of the lease class
	// excepted: the remaining connections of the process are reserved for lease renewals and
	// watches. 0 means no bound.
	MaxStateRequests int
	// MaxForwardedRequests bounds the user requests forwarded to other controllers in flight: the
	// remaining connections of the process are reserved for messages between controllers. 0 means
	// no bound.
	MaxForwardedRequests int
	// MaxRegistrations bounds the machines without a record whose heartbeats wait for one to be
	// written: each holds a connection. A heartbeat beyond it is answered with 503, and its machine
	// sends the next one to another controller a second later. 0 means MaxMachines.
	MaxRegistrations int

	// SilentReturn is how long a machine may send no heartbeat before it is returned to the cloud.
	// 0 means that silent machines are never returned; a negative value means a time derived from
	// HeartbeatInterval.
	SilentReturn micros.Micros
	// DrainHorizon is the time within which the fleet should be able to work off the backlog. The
	// size of the fleet is planned for it.
	DrainHorizon micros.Micros
	// IdleReturn is how long a machine may be idle before it is returned to the cloud.
	IdleReturn micros.Micros
	// CordonPeriod is how long a machine on which tasks fail gets no new tasks.
	CordonPeriod micros.Micros
	// MaxMachines bounds the number of machines in the fleet.
	MaxMachines int

	// GuaranteeWithin is the time within which work that fits into a team's guarantee should be
	// started. 0 means no objective.
	GuaranteeWithin micros.Micros
	// BeginWithin is the longest time that a job should wait for its first start. 0 means no limit.
	BeginWithin micros.Micros
	// StartWithin and FinishWithin hold the service-level objectives by job class: the time within
	// which a job's tasks should be started, and the time within which the job should be finished.
	// A class without an entry has no objective.
	StartWithin, FinishWithin map[string]micros.Micros

	// Quota is the tree of quota groups above the teams; nil means that there are none.
	Quota *quota.Tree
	// Trace enables Spans that trace changes to Quota.
	Trace bool
	// LogHeartbeats enables a debug log line for each heartbeat and for each first stop of a task.
	LogHeartbeats bool
}

// withDefaults returns the configuration with defaults in place of zero bounds.
func (cfg Config) withDefaults() Config {
	cfg.MaxOpenJobs = cmp.Or(cfg.MaxOpenJobs, defaultMaxJobs)
	cfg.MaxFinalJobs = cmp.Or(cfg.MaxFinalJobs, defaultMaxJobs)
	cfg.MaxRegistrations = cmp.Or(cfg.MaxRegistrations, cfg.MaxMachines)
	return cfg
}
