// Package controller decides everything that a controller does. It is a state machine: Step
// takes the time and one input and returns the effects, which the caller carries out. It does no
// I/O, reads no clock, starts no goroutine and draws its random numbers from the seed it was
// given.
package controller

import (
	"slices"

	"garnethitch/internal/controller/estimate"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
)

// Controller is the state of one controller.
type Controller struct {
	stepContext

	userReads            *statestore.Reads // of job records, for users
	unsentRequestsLogged uint64            // requests given up unsent when that was last logged

	ownership            ownershipState
	jobSharding          jobSharding
	workerContact        workerContact
	jobs                 jobTable
	cascade              cancellationCascade
	fleet                fleetState
	quota                quotas
	peers                map[string]*peerView
	peerRequestsInFlight int      // users' questions to other controllers
	nodes                []string // labels of all controllers, sorted

	machines              map[string]*machine
	machineRecords        machineRecords
	commandQueue          commandQueue
	taskListRound         uint64                   // of applyTaskList
	misdirectedHeartbeats map[string]micros.Micros // machines that sent one here and belong to another shard, and when

	types          machineTypes
	estimates      estimate.RunTimes
	prefetchImages prefetchImages
	decisionLog    decisionLog
	attemptCounter uint64

	scheduling       schedulingState
	preemptionPolicy preemptionPolicy
	maintenance      maintenanceState
	// visited counts the machines, jobs and attempts that were visited, visitedBefore those
	// up to the step under way; see Work.
	visited, visitedBefore uint64
}

// minWorkerRequestsInFlight is the least bound of the requests to workers in flight.
const minWorkerRequestsInFlight = 8

// New returns a controller. Equal seeds and inputs give equal effects.
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

// Step takes one input at an instant and returns what follows from it.
func (c *Controller) Step(at Instant, in Input) []Effect {
	c.beginStep(at)
	c.dispatch(in)
	c.runTimers()
	c.recordDependents()
	c.wakeAt = min(c.wakeAt, c.nextMaintenance())
	c.runDeferred()
	c.schedule()
	c.runDeferred()
	c.sendQueuedStateRequests()
	c.runDeferred()
	return c.takeEffects()
}

// beginStep advances the clocks, of which the steady one does not run back, and takes in how long
// the step before took.
func (c *Controller) beginStep(at Instant) {
	c.now = max(c.now, at.Steady)
	c.wall = at.Wall
	c.visitedBefore = c.visited
	if c.startedAt < 0 {
		c.start()
	}
	c.noteStall()
	c.wakeAt = c.nextMaintenance()
	c.restAfter(at.PreviousStepDuration)
}

// start counts the limits from the first step on. Maintenance is due in it, but not so late that
// it counts as a stall.
func (c *Controller) start() {
	c.startedAt = c.now
	c.stateQueue.StartAt(c.now)
	c.fleet.budget.StartAt(c.now)
	c.maintenance.lastRunAt = c.now - stallThreshold
}

// dispatch takes in one input.
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
