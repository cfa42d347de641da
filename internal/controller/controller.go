// Package controller holds all decisions of a controller. It is a deterministic state machine: Step
// takes the time and one input, and returns the effects, which the caller carries out. The package
// does no I/O, reads no clock and starts no goroutine; its random numbers come from the seed given
// to New.
package controller

import (
	"slices"

	"garnethitch/internal/controller/estimate"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
)

// Controller is the state machine of one controller process. It is not safe for concurrent use.
type Controller struct {
	stepContext

	userReads            *statestore.ReadCoalescer // reads of job records for user requests
	unsentRequestsLogged uint64                    // unsent requests dropped, as last logged

	ownership                 ownershipState
	jobSharding               jobSharding
	workerContact             workerContact
	jobs                      jobTable
	cascade                   cancellationCascade
	fleet                     fleetState
	quota                     quotas
	peers                     map[string]*peerView
	forwardedRequestsInFlight int      // user requests forwarded to other controllers
	nodes                     []string // labels of all controllers, sorted

	machines       map[string]*machine
	machineRecords machineRecords
	commandQueue   commandQueue
	taskListRound  uint64 // counts the calls of applyTaskList
	// misdirectedHeartbeats holds the time of the last misdirected heartbeat received here, by
	// machine.
	misdirectedHeartbeats map[string]micros.Micros

	types          machineTypes
	estimates      estimate.RunTimes
	prefetchImages prefetchImages
	decisionLog    decisionLog
	attemptCounter uint64

	scheduling       schedulingState
	preemptionPolicy preemptionPolicy
	maintenance      maintenanceState
	// visited counts the machines, jobs and attempts visited since the start; visitedBefore is its
	// value at the beginning of the current step. See Work.
	visited, visitedBefore uint64
}

// minWorkerRequestsInFlight is the lower bound of Config.MaxWorkerRequests.
const minWorkerRequestsInFlight = 8

// New returns a controller that has not made a step yet. Equal seeds and inputs give equal effects.
func New(cfg Config, seed uint64) *Controller {
	cfg = cfg.withDefaults()
	c := &Controller{
		stepContext:           newStepContext(cfg, seed),
		peers:                 map[string]*peerView{},
		nodes:                 slices.Sorted(slices.Values(append([]string{cfg.Label}, cfg.Peers...))),
		machines:              map[string]*machine{},
		machineRecords:        machineRecords{sets: map[string]*machineRecordSet{}},
		misdirectedHeartbeats: map[string]micros.Micros{},
		jobSharding:           newJobSharding(cfg.Teams, cfg.Shards),
	}
	c.ownership.stepContext = &c.stepContext
	c.fleet.stepContext = &c.stepContext
	c.quota.stepContext = &c.stepContext
	c.userReads = c.newStateReads()
	c.commandQueue.maxInFlight = max(cfg.MaxWorkerRequests, minWorkerRequestsInFlight)
	c.ownership.init(cfg.Shards, cfg.Lease)
	c.ownership.controlWatch.Interval = c.watchInterval(controlWatchInterval, controlWatchFraction)
	c.jobs.init(cfg.MaxFinalJobs)
	c.cascade.init()
	c.fleet.init(cfg)
	c.estimates = estimate.NewRunTimes()
	c.preemptionPolicy = preemptionPolicy{stepContext: &c.stepContext, estimates: &c.estimates}
	c.quota.tree = cfg.Quota
	if cfg.Quota != nil {
		c.enableQuota()
	}
	for _, label := range cfg.Peers {
		c.peers[label] = &peerView{label: label, lastContactAt: -micros.Never, lastStatusAt: -micros.Never}
	}
	return c
}

// Step processes one input at an instant and returns the resulting effects.
func (c *Controller) Step(at Instant, in Input) []Effect {
	c.beginStep(at)
	c.dispatch(in)
	c.runTimers()
	c.recordDependents()
	c.wakeAt = min(c.wakeAt, c.nextMaintenance())
	c.runDeferred()
	c.updatePriorities()
	c.schedule()
	c.runDeferred()
	c.sendQueuedStateRequests()
	c.runDeferred()
	return c.takeEffects()
}

// beginStep advances both clocks and accounts for the duration of the previous step. The
// monotonic time of the steps never decreases.
func (c *Controller) beginStep(at Instant) {
	c.now = max(c.now, at.Monotonic)
	c.wall = at.Wall
	c.visitedBefore = c.visited
	if c.startedAt < 0 {
		c.start()
	}
	c.detectStall()
	c.wakeAt = c.nextMaintenance()
	c.restAfter(at.PreviousStepDuration)
}

// start initializes the rate limits and timers in the first step. Maintenance is due in that step;
// its last run is set recent enough that the time before the start does not count as a stall.
func (c *Controller) start() {
	c.startedAt = c.now
	c.stateQueue.StartAt(c.now)
	c.fleet.cloudBudget.StartAt(c.now)
	c.maintenance.lastRunAt = c.now - stallThreshold
}

// dispatch passes an input to its handler.
func (c *Controller) dispatch(in Input) {
	switch in := in.(type) {
	case Tick:
	case SubmitRequest:
		c.handleSubmit(in)
	case JobStatusRequest:
		c.handleJobStatus(in)
	case CancelRequest:
		c.handleCancel(in)
	case ReadinessRequest:
		c.handleReadiness(in)
	case Heartbeat:
		c.handleHeartbeat(in)
	case PeerRequest:
		c.handlePeerRequest(in)
	case Result:
		c.finishCall(in)
	}
}
