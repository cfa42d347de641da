// Package core decides everything that a controller does. It is a state
// machine: Step takes the time and one input and returns what to send and
// answer. It does no I/O, reads no clock, starts no goroutine and draws its
// random numbers from the seed it was given.
package core

import (
	"cmp"
	"math/rand/v2"
	"slices"

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
	Shares int
	Teams  []Team

	Lease       micros.Micros // ours, in the state service
	ReportEvery micros.Micros
	WorkerLease micros.Micros
	Cancel      micros.Micros

	StateRPS, WriteRPS float64 // the whole service's; the core keeps to its part
	ValueBytes         int
	TxnOps             int // changes in one transaction
	CloudRPS           float64
	ListLag            micros.Micros

	// Asks bounds the requests to workers under way, OpenJobs the unfinished jobs:
	// past it submissions are refused, with a time to come back. FinalJobs is how many
	// final states are kept in memory; older ones are read again. 0: defaults.
	Asks, OpenJobs, FinalJobs int
	// StateCalls bounds the requests to the state service under way beside leases, PeerAsks
	// the users' questions to other controllers: the calls above these that the process
	// takes are left to renewals and watches, and to what controllers tell each other. 0:
	// no bound.
	StateCalls, PeerAsks int
	// Reporters bounds the machines without a record whose reports wait for one: each
	// holds a connection. Past it a report is answered 503, and its machine reports
	// to the next controller a second later. 0: MaxMachines.
	Reporters int

	SilentReturn micros.Micros // 0: never; below 0: derived from ReportEvery
	DrainHorizon micros.Micros
	IdleReturn   micros.Micros
	// GuaranteeWithin is within which time work within a guarantee is wanted started; 0: nobody says.
	GuaranteeWithin micros.Micros
	// BeginWithin is the longest that a job should wait for its first start; 0: no limit.
	BeginWithin micros.Micros
	Quarantine  micros.Micros
	MaxMachines int
	// Quota are groups above teams; nil: none here. Trace has spans made of what happens
	// to them.
	Quota *quota.Tree
	Trace bool
	// LogReports has a debug line made for each report, which says how it was answered.
	LogReports bool

	// Urgent holds the classes whose tasks are wanted started within a time,
	// Finished those whose jobs are wanted done within one; the strictest counts.
	Urgent, Finished map[string]micros.Micros
}

// Core is the state of one controller.
type Core struct {
	cfg    Config
	bounds Bounds
	rng    *rand.Rand

	now, wall       micros.Micros
	began           micros.Micros
	out             []Effect
	deferred        []func()
	calls           map[uint64]func(Result)
	nextCall        uint64
	wake            micros.Micros
	lastMaintenance micros.Micros

	stateq    stateQueue
	reads     jobReads
	peerAsks  int // questions to other controllers under way
	own       ownership
	contact   workerContact
	jobs      jobTable
	cascade   cancellationCascade
	fleet     fleet
	peers     map[string]*peerView
	nodes     []string // the labels of all controllers, in order
	mach      map[string]*machine
	batches   map[string]*batch
	batchSeq  uint64
	orders    orderQueue
	quota     quotas
	preempt   preempting
	decisions decisions
	round     uint64        // of observe
	unlisted  []*machine    // see dropUnlistedMachines
	splitAt   micros.Micros // when the next batch may be split
	// looks counts machines, jobs and attempts looked at, so that a test can tell
	// how work grows.
	looks          uint64
	looksBefore    uint64 // when the step began
	scratch        []scored
	types          map[string]wire.MachineType
	index          typeIndex
	runs           estimates
	prefetchImages []prefetchImage
	heard          map[string]micros.Micros // machines that reported here but belong elsewhere

	teamOf       map[string]int
	shareOf      []int // by team; nil when jobs are parted
	attempts     uint64
	placementDue bool // placement has something to look at
	placementAt  micros.Micros
	walkAt       micros.Micros // when maintain looks at all machines and jobs again
	// behindAt is when this node was last short of time. What it has not heard up to
	// then says nothing about others.
	behindAt micros.Micros
	// placed and walked: the step before ran a round, or looked at everything.
	placed, walked bool
}

// defaultJobs is how many jobs are kept, unfinished and finished each, where the
// settings say nothing.
const defaultJobs = 20_000

// usedPart is the part of the state service's limits that all controllers together use:
// its clock and ours may drift apart, and what is sent evenly may arrive in a bunch.
const usedPart = 0.95

// New makes a core. Equal seeds and inputs give equal effects.
func New(cfg Config, seed uint64) *Core {
	cfg.OpenJobs = cmp.Or(cfg.OpenJobs, defaultJobs)
	cfg.FinalJobs = cmp.Or(cfg.FinalJobs, defaultJobs)
	cfg.Reporters = cmp.Or(cfg.Reporters, cfg.MaxMachines)
	c := &Core{
		cfg:     cfg,
		bounds:  NewBounds(cfg.Lease, cfg.WorkerLease, cfg.Cancel),
		rng:     rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		calls:   map[uint64]func(Result){},
		peers:   map[string]*peerView{},
		nodes:   slices.Sorted(slices.Values(append([]string{cfg.Label}, cfg.Peers...))),
		mach:    map[string]*machine{},
		batches: map[string]*batch{},
		types:   map[string]wire.MachineType{},
		heard:   map[string]micros.Micros{},
		teamOf:  map[string]int{},
		began:   -1, behindAt: -micros.Never,
	}
	nodes := float64(len(c.nodes))
	c.stateq.requests = newBucket(cfg.StateRPS * usedPart / nodes)
	c.stateq.writes = newBucket(cfg.WriteRPS * usedPart / nodes)
	for i, t := range cfg.Teams {
		c.teamOf[t.Name] = i
	}
	c.shareOf = PartTeams(cfg.Teams, cfg.Shares)
	c.orders.most = max(cfg.Asks, 8)
	c.own.init(cfg.Shares)
	c.stateq.mostUnderWay = cfg.StateCalls
	c.own.ctl.every = c.watchEvery(controlWatchEvery, controlWatchPart)
	c.reads.init()
	c.jobs.init(c.cfg.FinalJobs)
	c.cascade.init()
	c.fleet.init(cfg)
	c.runs.init()
	c.quota.tree = cfg.Quota
	if cfg.Quota != nil {
		c.enableQuota()
	}
	for _, p := range cfg.Peers {
		c.peers[p] = &peerView{label: p, heardAt: -micros.Never, statusAt: -micros.Never}
	}
	return c
}

// Step takes one input at an instant and returns what follows from it.
func (c *Core) Step(at Instant, in Input) []Effect {
	c.now, c.wall = max(c.now, at.Steady), at.Wall
	c.looksBefore = c.looks
	if c.began < 0 {
		c.began = c.now
		c.stateq.requests.at, c.stateq.writes.at, c.fleet.budget.at = c.now, c.now, c.now
		c.lastMaintenance = c.now - micros.Second
	}
	if c.now-c.lastMaintenance > tooLate {
		c.behindAt = c.now
	}
	c.wake = c.nextMaintenance()
	c.rest(at.Took)
	switch v := in.(type) {
	case Tick:
	case Submit:
		c.submit(v)
	case Poll:
		c.poll(v)
	case Withdraw:
		c.withdraw(v)
	case Ready:
		c.ready(v)
	case Checkin:
		c.checkin(v)
	case PeerMessage:
		c.peerMessage(v)
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
		c.follow(&c.own.ctl)
		c.follow(&c.own.job)
		c.followQuota()
	}
	c.recordDependents()
	c.wake = min(c.wake, c.nextMaintenance())
	c.runDeferred()
	c.place()
	c.runDeferred()
	c.drainState()
	c.runDeferred()
	out := c.out
	c.out = nil
	return out
}

// Time alone is looked at often while a share has no owner or waits for machines
// to settle, and less often else: each look wakes the process, and what a wake-up
// costs is most of what a controller takes (docs/account.md).
const (
	busyInterval = 100 * micros.Millisecond
	calmInterval = 300 * micros.Millisecond
)

// nextMaintenance is when maintain runs next.
func (c *Core) nextMaintenance() micros.Micros {
	at := c.lastMaintenance + c.maintenanceInterval()
	if f := &c.fleet; len(f.reporters) > 0 {
		at = min(at, max(f.reportersAt, c.lastMaintenance+busyInterval))
	}
	return at
}

// maintenanceInterval is how often maintain runs.
func (c *Core) maintenanceInterval() micros.Micros {
	o := &c.own
	if o.lease == 0 || !o.ctl.ready || !o.job.ready || o.leader.mark == 0 || len(c.types) == 0 {
		return busyInterval
	}
	for _, s := range o.shares {
		if s.mark == 0 || s.active && !(s.settled && s.current && s.loaded) {
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
	mostRest   = 2 * micros.Second
)

// tooLate: a step that comes so long after maintenance was last due shows that
// this node had no time, or stood still.
const tooLate = micros.Second

// rest puts the next round and walk off by what the step before took.
func (c *Core) rest(took micros.Micros) {
	until := c.now + min(restFactor*took, mostRest)
	if c.placed {
		c.placed = false
		c.placementAt = max(c.placementAt, until)
	}
	if c.walked {
		c.walked = false
		c.walkAt = until
	}
}

// Work is what one step cost, by a measure that does not depend on the machine it runs
// on: how many machines, jobs and attempts were looked at. Round tells that the step
// placed waiting tasks over whole shares or looked at everything for what time brings.
type Work struct {
	Looked uint64
	Round  bool
}

// LastWork tells what the last step cost.
func (c *Core) LastWork() Work {
	return Work{Looked: c.looks - c.looksBefore, Round: c.placed || c.walked}
}

// Wake says when Step wants to be called at the latest.
func (c *Core) Wake() micros.Micros { return c.wake }

func (c *Core) wakeIn(d micros.Micros) { c.wake = min(c.wake, c.now+max(d, micros.Millisecond)) }

// later runs f at the end of the step: callers of a queued request must not
// find themselves called back before they have returned.
func (c *Core) later(f func()) { c.deferred = append(c.deferred, f) }

func (c *Core) runDeferred() {
	for len(c.deferred) > 0 {
		d := c.deferred
		c.deferred = nil
		for _, f := range d {
			f()
		}
	}
}

func (c *Core) call(call Call, done func(Result)) {
	c.nextCall++
	call.ID = c.nextCall
	c.calls[call.ID] = done
	c.out = append(c.out, call)
}

func (c *Core) answer(r ReplyID, status int, body any, retryAfter int) {
	c.out = append(c.out, Answer{Reply: r, Status: status, Body: body, RetryAfterS: retryAfter})
}

func (c *Core) log(l Level, text string, args ...any) {
	c.out = append(c.out, Log{Level: l, Text: text, Args: args})
}

// maintain does what time alone brings.
func (c *Core) maintain() {
	c.maintainOwnership()
	c.maintainPeers()
	c.maintainQuota()
	c.logDecisions()
	if c.now < c.walkAt {
		return
	}
	c.walked = true
	c.checkWorkerContact()
	c.maintainMachines()
	c.maintainJobs()
	c.maintainFleet()
}

// jitter spreads d by up to a quarter either way.
func (c *Core) jitter(d micros.Micros) micros.Micros {
	return d*3/4 + micros.Micros(c.rng.Int64N(int64(d/2)+1))
}
