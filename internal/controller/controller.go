// Package controller decides everything that a controller does. It is a state
// machine: Step takes the time and one input and returns what to send and
// answer. It does no I/O, reads no clock, starts no goroutine and draws its
// random numbers from the seed it was given.
package controller

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"garnethitch/internal/controller/estimate"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

// Team is a team's guarantee and limit; a limit of 0 is none.
type Team struct {
	Name                         string
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Config is all that a core knows from settings.
type Config struct {
	Label  string
	Peers  []string // labels of the other controllers
	Shards int
	Teams  []Team

	Lease             micros.Micros // ours, in the state service
	HeartbeatInterval micros.Micros
	WorkerLease       micros.Micros
	Cancel            micros.Micros

	StateRPS, WriteRPS float64 // the whole service's; the controller keeps to its part
	ValueBytes         int
	TxnOps             int // changes in one transaction
	CloudRPS           float64
	ListLag            micros.Micros

	// MaxWorkerRequests bounds the requests to workers under way, MaxOpenJobs the unfinished jobs:
	// past it submissions are refused, with a time to come back. MaxFinalJobs is how many
	// final states are kept in memory; older ones are read again. 0: defaults.
	MaxWorkerRequests, MaxOpenJobs, MaxFinalJobs int
	// MaxStateRequests bounds the requests to the state service under way beside leases, MaxPeerQuestions
	// the users' questions to other controllers: the calls above these that the process
	// takes are left to renewals and watches, and to what controllers tell each other. 0:
	// no bound.
	MaxStateRequests, MaxPeerQuestions int
	// MaxRegistrations bounds the machines without a record whose heartbeats wait for one: each
	// holds a connection. Past it a heartbeat is answered 503, and its machine reports
	// to the next controller a second later. 0: MaxMachines.
	MaxRegistrations int

	SilentReturn micros.Micros // 0: never; below 0: derived from HeartbeatInterval
	DrainHorizon micros.Micros
	IdleReturn   micros.Micros
	// GuaranteeWithin is within which time work within a guarantee is wanted started; 0: nobody says.
	GuaranteeWithin micros.Micros
	// BeginWithin is the longest that a job should wait for its first start; 0: no limit.
	BeginWithin micros.Micros
	CordonFor   micros.Micros
	MaxMachines int
	// Quota are groups above teams; nil: none here. Trace has spans made of what happens
	// to them.
	Quota *quota.Tree
	Trace bool
	// LogHeartbeats has a debug line made for each heartbeat, which says how it was answered.
	LogHeartbeats bool

	// StartWithin holds the classes whose tasks are wanted started within a time,
	// Finished those whose jobs are wanted done within one; the strictest counts.
	StartWithin, FinishWithin map[string]micros.Micros
}

// Controller is the state of one controller.
type Controller struct {
	cfg    Config
	bounds Bounds
	rng    *rand.Rand

	now, wall       micros.Micros
	startedAt       micros.Micros
	effects         []Effect
	deferred        []func()
	calls           map[uint64]func(Result)
	nextCall        uint64
	wake            micros.Micros
	lastMaintenance micros.Micros

	stateQueue            stateQueue
	reads                 jobReads
	peerQuestionsInFlight int // questions to other controllers under way
	ownership             ownership
	contact               workerContact
	jobs                  jobTable
	cascade               cancellationCascade
	fleet                 fleet
	peers                 map[string]*peerView
	nodes                 []string // the labels of all controllers, in order
	machines              map[string]*machine
	recordSets            map[string]*machineRecordSet
	recordSetSequence     uint64
	commandQueue          commandQueue
	quota                 quotas
	preemption            preemptionBudget
	decisionLog           decisionLog
	listRound             uint64        // of observe
	withoutRecordSet      []*machine    // see dropMachinesWithoutRecordSet
	nextSplitAt           micros.Micros // when the next record set may be split
	// visited counts machines, jobs and attempts looked at, so that a test can tell
	// how work grows.
	visited               uint64
	visitedBefore         uint64 // when the step began
	scratch               []scored
	types                 map[string]wire.MachineType
	typeIndex             typeIndex
	estimates             estimate.RunTimes
	prefetchImages        []prefetchImage
	misdirectedHeartbeats map[string]micros.Micros // machines that reported here but belong elsewhere

	teamOf           map[string]int
	shardOfTeam      []int // by team; nil when jobs are parted
	attemptCounter   uint64
	schedulingDue    bool // placement has something to look at
	nextSchedulingAt micros.Micros
	nextWalkAt       micros.Micros // when maintain looks at all machines and jobs again
	// lastStalledAt is when this node was last short of time. What it has not heard up to
	// then says nothing about others.
	lastStalledAt micros.Micros
	// scheduledLastStep and walked: the step before ran a round, or looked at everything.
	scheduledLastStep, walkedLastStep bool
}

// defaultJobs is how many jobs are kept, unfinished and finished each, where the
// settings say nothing.
const defaultJobs = 20_000

// usableFraction is the part of the state service's limits that all controllers together use:
// its clock and ours may drift apart, and what is sent evenly may arrive in a bunch.
const usableFraction = 0.95

// New makes a core. Equal seeds and inputs give equal effects.
func New(cfg Config, seed uint64) *Controller {
	cfg.MaxOpenJobs = cmp.Or(cfg.MaxOpenJobs, defaultJobs)
	cfg.MaxFinalJobs = cmp.Or(cfg.MaxFinalJobs, defaultJobs)
	cfg.MaxRegistrations = cmp.Or(cfg.MaxRegistrations, cfg.MaxMachines)
	c := &Controller{
		cfg:                   cfg,
		bounds:                NewBounds(cfg.Lease, cfg.WorkerLease, cfg.Cancel),
		rng:                   rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		calls:                 map[uint64]func(Result){},
		peers:                 map[string]*peerView{},
		nodes:                 slices.Sorted(slices.Values(append([]string{cfg.Label}, cfg.Peers...))),
		machines:              map[string]*machine{},
		recordSets:            map[string]*machineRecordSet{},
		types:                 map[string]wire.MachineType{},
		misdirectedHeartbeats: map[string]micros.Micros{},
		teamOf:                map[string]int{},
		startedAt:             -1, lastStalledAt: -micros.Never,
	}
	nodes := float64(len(c.nodes))
	c.stateQueue.requests = newBucket(cfg.StateRPS * usableFraction / nodes)
	c.stateQueue.writes = newBucket(cfg.WriteRPS * usableFraction / nodes)
	for i, t := range cfg.Teams {
		c.teamOf[t.Name] = i
	}
	c.shardOfTeam = AssignTeamsToShards(cfg.Teams, cfg.Shards)
	c.commandQueue.maxInFlight = max(cfg.MaxWorkerRequests, 8)
	c.ownership.init(cfg.Shards)
	c.stateQueue.mostUnderWay = cfg.MaxStateRequests
	c.ownership.controlWatch.interval = c.watchInterval(controlWatchInterval, controlWatchFraction)
	c.reads.init()
	c.jobs.init(c.cfg.MaxFinalJobs)
	c.cascade.init()
	c.fleet.init(cfg)
	c.estimates = estimate.NewRunTimes()
	c.quota.tree = cfg.Quota
	if cfg.Quota != nil {
		c.enableQuota()
	}
	for _, p := range cfg.Peers {
		c.peers[p] = &peerView{label: p, lastHeardAt: -micros.Never, statusAt: -micros.Never}
	}
	return c
}

// Step takes one input at an instant and returns what follows from it.
func (c *Controller) Step(at Instant, in Input) []Effect {
	c.now, c.wall = max(c.now, at.Steady), at.Wall
	c.visitedBefore = c.visited
	if c.startedAt < 0 {
		c.startedAt = c.now
		c.stateQueue.requests.at, c.stateQueue.writes.at, c.fleet.budget.at = c.now, c.now, c.now
		c.lastMaintenance = c.now - micros.Second
	}
	if c.now-c.lastMaintenance > stallThreshold {
		c.lastStalledAt = c.now
	}
	c.wake = c.nextMaintenance()
	c.rest(at.Took)
	switch v := in.(type) {
	case Tick:
	case SubmitRequest:
		c.handleSubmit(v)
	case JobStatusRequest:
		c.handleJobStatus(v)
	case CancelRequest:
		c.handleCancel(v)
	case ReadinessRequest:
		c.handleReadiness(v)
	case Heartbeat:
		c.handleHeartbeat(v)
	case PeerRequest:
		c.handlePeerRequest(v)
	case Result:
		if done, ok := c.calls[v.ID]; ok {
			delete(c.calls, v.ID)
			done(v)
		}
	}
	if c.now >= c.nextMaintenance() {
		c.lastMaintenance = c.now
		c.wake = c.now + c.maintenanceInterval()
		c.maintain()
	} else {
		c.follow(&c.ownership.controlWatch)
		c.follow(&c.ownership.jobWatch)
		c.followQuota()
	}
	c.recordDependents()
	c.wake = min(c.wake, c.nextMaintenance())
	c.runDeferred()
	c.schedule()
	c.runDeferred()
	c.drainState()
	c.runDeferred()
	out := c.effects
	c.effects = nil
	return out
}

// Time alone is looked at often while a shard has no owner or waits for machines
// to settle, and less often else: each look wakes the process, and what a wake-up
// costs is most of what a controller takes (docs/account.md).
const (
	busyInterval = 100 * micros.Millisecond
	calmInterval = 300 * micros.Millisecond
)

// nextMaintenance is when maintain runs next.
func (c *Controller) nextMaintenance() micros.Micros {
	at := c.lastMaintenance + c.maintenanceInterval()
	if f := &c.fleet; len(f.registrations) > 0 {
		at = min(at, max(f.registrationsDueAt, c.lastMaintenance+busyInterval))
	}
	return at
}

// maintenanceInterval is how often maintain runs.
func (c *Controller) maintenanceInterval() micros.Micros {
	o := &c.ownership
	if o.lease == 0 || !o.controlWatch.ready || !o.jobWatch.ready || o.leader.ownerEpoch == 0 || len(c.types) == 0 {
		return busyInterval
	}
	for _, s := range o.shards {
		if s.ownerEpoch == 0 || s.active && !(s.reconciled && s.jobsViewCurrent && s.checkpointsLoaded) {
			return busyInterval
		}
	}
	return calmInterval
}

// On a share of a core that does not suffice, work on everything must leave most
// of the time to what can't wait: our own lease, reports, answers. So a round, or
// a walk over all machines and jobs, is followed by restFactor times what it took
// without another (with controllers three times as slow as they should be and half
// as many machines again, rounds ran back to back, reports were answered too late
// and 10,000 tasks ended with the leases of their machines).
const (
	restFactor = 4
	maxRest    = 2 * micros.Second
)

// stallThreshold: a step that comes so long after maintenance was last due shows that
// this node had no time, or stood still.
const stallThreshold = micros.Second

// rest puts the next round and walk off by what the step before took.
func (c *Controller) rest(took micros.Micros) {
	until := c.now + min(restFactor*took, maxRest)
	if c.scheduledLastStep {
		c.scheduledLastStep = false
		c.nextSchedulingAt = max(c.nextSchedulingAt, until)
	}
	if c.walkedLastStep {
		c.walkedLastStep = false
		c.nextWalkAt = until
	}
}

// Work is what one step cost, by a measure that does not depend on the machine it runs
// on: how many machines, jobs and attempts were looked at. Round tells that the step
// placed waiting tasks over whole shards or looked at everything for what time brings.
type Work struct {
	Visited uint64
	Round   bool
}

// LastWork tells what the last step cost.
func (c *Controller) LastWork() Work {
	return Work{Visited: c.visited - c.visitedBefore, Round: c.scheduledLastStep || c.walkedLastStep}
}

// Wake says when Step wants to be called at the latest.
func (c *Controller) Wake() micros.Micros { return c.wake }

func (c *Controller) wakeIn(d micros.Micros) { c.wake = min(c.wake, c.now+max(d, micros.Millisecond)) }

// later runs f at the end of the step: callers of a queued request must not
// find themselves called back before they have returned.
func (c *Controller) later(f func()) { c.deferred = append(c.deferred, f) }

func (c *Controller) runDeferred() {
	for len(c.deferred) > 0 {
		d := c.deferred
		c.deferred = nil
		for _, f := range d {
			f()
		}
	}
}

func (c *Controller) call(call Call, done func(Result)) {
	c.nextCall++
	call.ID = c.nextCall
	c.calls[call.ID] = done
	c.effects = append(c.effects, call)
}

func (c *Controller) answer(r ReplyID, status int, body any, retryAfter int) {
	c.effects = append(c.effects, Answer{Reply: r, Status: status, Body: body, RetryAfterS: retryAfter})
}

func (c *Controller) log(l Level, text string, args ...any) {
	c.effects = append(c.effects, Log{Level: l, Text: text, Args: args})
}

// maintain does what time alone brings.
func (c *Controller) maintain() {
	c.maintainOwnership()
	c.maintainPeers()
	c.maintainQuota()
	c.logShardDecisions()
	if c.now < c.nextWalkAt {
		return
	}
	c.walkedLastStep = true
	c.checkWorkerContact()
	c.maintainMachines()
	c.maintainJobs()
	c.maintainFleet()
}

// jitter spreads d by up to a quarter either way.
func (c *Controller) jitter(d micros.Micros) micros.Micros {
	return d*3/4 + micros.Micros(c.rng.Int64N(int64(d/2)+1))
}
