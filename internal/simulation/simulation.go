// Package simulation runs several controllers against fakes of the state service, the cloud,
// the workers and the users. It injects lost, delayed and duplicate messages, network
// partitions and crashes, and checks the rules of the protocol as the run goes on. A run is
// deterministic: the same plan and seed give the same run.
package simulation

import (
	"cmp"
	"fmt"

	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/eventqueue"
	"garnethitch/internal/fakes"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
	"garnethitch/quota"
)

const (
	ms  = micros.Millisecond
	sec = micros.Second

	// seedStream keeps a run's random numbers independent of other streams of the same seed.
	seedStream = 77
	// checkInterval is how often the rules are checked that bound how long users and jobs wait.
	checkInterval = 5 * sec
	// settleTime is how long a run goes on after Plan.ActiveTime at least. Waiting jobs are checked
	// from then on.
	settleTime = 10 * sec
)

// Simulation is one run of a Plan.
type Simulation struct {
	Counts
	// Violations describes each broken rule, with the time and the circumstances.
	Violations []string
	// Trace, if set, is called with one line of text for each event.
	Trace func(string)
	// OnSend, if set, is called with each controller.Answer and controller.Call that a
	// controller sends, in order. It must not modify the effect.
	OnSend func(at micros.Micros, from string, effect controller.Effect)

	plan        Plan
	cfg         controller.Config
	rng         fakes.Random
	now         micros.Micros
	queue       eventqueue.Queue
	nextCheckAt micros.Micros

	nodes         []*node
	state         *fakes.State
	cloud         *fakes.Cloud
	network       network
	workers       map[string]*worker
	machineNames  []string // all machines ever rented, in the order in which they were rented
	users         []*user
	userByJob     map[string]*user
	tasksByJob    map[string]map[*fakes.Task]*worker // tasks that workers know of, also exited ones
	groups        map[string]quota.Record            // stored records by group; nil without groups
	stateRequests []statestore.ClassMetrics          // counted by processes that have ended

	// lostRepliesUntil holds, by machine, the time until which its replies to commands are lost.
	lostRepliesUntil map[string]micros.Micros
	// addedAttempts holds all attempts that workers have added.
	addedAttempts map[attemptOnMachine]bool
	// jobsRefusedUntil is the time until which the state service refuses reads and watches of
	// jobs.
	jobsRefusedUntil micros.Micros
	// duplicateBurstUntil is the time until which burstDuplicateFraction of heartbeats are
	// duplicated, in plans with Faults.
	duplicateBurstUntil micros.Micros
	concurrentFaults    concurrentFaults
}

// New prepares a run of a plan.
func New(p Plan) *Simulation {
	s := newServices(p)
	for i := range p.Nodes {
		s.nodes = append(s.nodes, &node{sim: s, id: i, label: fmt.Sprintf("node-%d", i), clockDrift: s.rng.ClockDrift()})
	}
	for range p.initialMachines() {
		s.cloud.Add(fakes.MachineKind{Type: "small", Zone: s.drawZone()}, 0)
	}
	for _, n := range s.nodes {
		s.after(s.between(0, 300*ms), n.start)
	}
	s.addUsers()
	s.addDAGs()
	if p.Cascade != nil {
		s.addCascade(*p.Cascade)
	}
	s.markLargest()
	s.addGroups()
	s.scheduleEvents()
	return s
}

// newServices returns a run that has its settings, state service and cloud, but no controllers,
// machines or users yet.
func newServices(p Plan) *Simulation {
	s := &Simulation{
		plan: p, cfg: p.settings(), rng: fakes.NewRandom(p.Seed, seedStream), now: sec,
		network:          newNetwork(),
		workers:          map[string]*worker{},
		userByJob:        map[string]*user{},
		tasksByJob:       map[string]map[*fakes.Task]*worker{},
		lostRepliesUntil: map[string]micros.Micros{},
		addedAttempts:    map[attemptOnMachine]bool{},
	}
	s.state = fakes.NewState(scheduler{s}, fakes.StateLimits{ValueBytes: s.cfg.ValueBytes, TxnOps: s.cfg.TxnOps})
	s.state.OnPut = s.handlePut
	s.cloud = fakes.NewCloud(fakes.CloudConfig{
		Scheduler: scheduler{s}, Random: s.rng, MaxMachines: p.Machines, BootTime: s.drawBootTime, OnRent: s.addWorker, OnReturn: s.countBusyReturn,
	})
	return s
}

// settings returns the settings of the controllers.
func (p Plan) settings() controller.Config {
	cfg := controller.Config{
		Shards: p.Nodes, Teams: p.Teams,
		Lease: 3 * sec, HeartbeatInterval: 2 * sec, WorkerLease: 12 * sec, CancelWithin: 25 * sec,
		StateRPS: cmp.Or(p.StateRPS, 300), WriteRPS: cmp.Or(p.WriteRPS, 80), ValueBytes: 8 << 10, TxnOps: 8,
		MaxWorkerRequests: 24, MaxStateRequests: 42, MaxForwardedRequests: 31, SilentReturn: -1,
		CloudRPS: 10, ListLag: 2 * sec,
		DrainHorizon: 30 * sec, IdleReturn: 15 * sec, BeginWithin: 60 * sec, CordonPeriod: 30 * sec, MaxMachines: p.Machines,
		StartWithin: map[string]micros.Micros{"rush": 3 * sec}, MaxFinalJobs: p.MaxFinalJobs,
	}
	if p.LongOutage {
		// This is twice the margin of the time bounds, so that the margin can't make up for a term
		// that a bound omits.
		cfg.Lease = 6 * sec
	}
	return cfg
}

// initialMachines returns the number of machines that are up at the start.
func (p Plan) initialMachines() int {
	switch {
	case p.InitialMachines > 0:
		return p.InitialMachines
	case p.Large:
		return p.Machines / 4
	}
	return min(3, p.Machines)
}

// addUsers adds the users of ordinary jobs. They submit in the first three quarters of
// Plan.ActiveTime; with Plan.Churn they submit at fixed intervals.
func (s *Simulation) addUsers() {
	for i := range s.plan.Jobs {
		u := newUser(s, i)
		s.addUser(u)
		at := s.between(0, s.plan.ActiveTime*3/4)
		if s.plan.Churn {
			at = 5*sec + micros.Micros(i)*250*ms
		}
		s.after(at, u.submit)
	}
}

func (s *Simulation) addUser(u *user) {
	s.users = append(s.users, u)
	s.userByJob[u.Submission.ID] = u
}

// scheduleEvents schedules the upgrades, faults and loads that the plan asks for, at times drawn
// from the seed.
func (s *Simulation) scheduleEvents() {
	p := s.plan
	for _, events := range []struct {
		planned  bool
		schedule func()
	}{
		{p.UpgradeFrom != ReleaseCurrent, s.scheduleUpgrade},
		{p.Faults, s.scheduleFaults},
		{p.FleetFaults, s.scheduleFleetFaults},
		{p.Scarce, s.scheduleScarcity},
		{p.ReconnectionWaves, s.scheduleReconnectionWaves},
		{p.SlowStep > 0, s.scheduleSlowSteps},
		{p.ConcurrentFaults, s.scheduleConcurrentFaults},
		{p.LongOutage, s.scheduleLongOutages},
		{p.StaleJobs, s.scheduleStaleJobs},
		{p.StatusRequestRate > 0, s.scheduleStatusRequests},
	} {
		if events.planned {
			events.schedule()
		}
	}
}

// Run processes events until the run ends or a rule is broken. A run ends when all jobs have
// ended, at the earliest settleTime after ActiveTime, or when RecoveryTime is over.
func (s *Simulation) Run() {
	end := s.plan.ActiveTime + s.plan.RecoveryTime
	for _, more := s.queue.Due(); more && s.now < end && len(s.Violations) == 0; _, more = s.queue.Due() {
		at, event := s.queue.Take()
		s.now = max(s.now, at)
		event()
		s.checkPeriodically()
		if s.now > s.plan.ActiveTime+settleTime && s.allJobsEnded() {
			s.checkCompletedInTime()
			return
		}
	}
	if len(s.Violations) > 0 {
		return
	}
	s.checkCompletedInTime()
	s.checkEnded()
}

// checkPeriodically checks the rules about waiting once per checkInterval.
func (s *Simulation) checkPeriodically() {
	if s.now < s.nextCheckAt {
		return
	}
	s.nextCheckAt = s.now + checkInterval
	s.checkUnanswered()
	s.checkLargestStarted()
	s.checkWaiting()
}

func (s *Simulation) allJobsEnded() bool {
	for _, u := range s.users {
		if u.finalState == "" && !u.gaveUp {
			return false
		}
	}
	return true
}

// violated records the violation of a rule, with the current time. Most texts begin with the name
// of the rule and a colon.
func (s *Simulation) violated(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf("%.3f s: ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *Simulation) trace(format string, args ...any) {
	if s.Trace != nil {
		s.Trace(fmt.Sprintf("%9.3f ", s.now.Seconds()) + fmt.Sprintf(format, args...))
	}
}

// at schedules f at time t, or now if t has passed.
func (s *Simulation) at(t micros.Micros, f func()) { s.queue.Add(max(t, s.now), f) }

// after schedules f once d has passed.
func (s *Simulation) after(d micros.Micros, f func()) { s.at(s.now+d, f) }

// scheduler lets the fakes use the simulation's clock and event queue.
type scheduler struct{ sim *Simulation }

func (s scheduler) Now() micros.Micros { return s.sim.now }

func (s scheduler) After(d micros.Micros, f func()) { s.sim.after(d, f) }

// handlePut is called with each value that a controller writes to the state service. A new lock
// triggers the replay of old heartbeats.
func (s *Simulation) handlePut(key string, value wire.Raw, _ uint64) {
	if fakes.IsLock(key) {
		s.replayHeartbeats()
	}
	s.handleGroupRecord(key, value)
}

// userOf returns the user who owns a job, or nil if no user has a job with this ID.
func (s *Simulation) userOf(job string) *user { return s.userByJob[job] }
