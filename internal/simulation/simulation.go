// Package simulation is a deterministic simulation that drives several controllers against
// fakes of the state service, the cloud, workers and users, through losses, delays, late
// copies, cuts and crashes. Every rule of the protocol is checked at every step. Equal seeds
// give equal runs.
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

	// seedStream separates a run's random numbers from others of the same seed.
	seedStream = 77
	// checkInterval is how often the rules about waiting are checked.
	checkInterval = 5 * sec
	// settleTime is how long after Length a run ends at the earliest.
	settleTime = 10 * sec
)

// Simulation is one run.
type Simulation struct {
	Counts
	// Violations lists the rules that were broken, with time and circumstances.
	Violations []string
	// Trace, if set, is called with a line for each event.
	Trace func(string)
	// OnSend, if set, is called with each Answer and Call of each controller, in the order in
	// which they are sent. It must not change the effect.
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
	machineNames  []string // in the order in which they were rented
	users         []*user
	userByJob     map[string]*user
	tasksByJob    map[string]map[*fakes.Task]*worker // those that workers know of, exited ones included
	groups        map[string]quota.Record
	stateRequests []statestore.ClassMetrics // of processes that have ended

	// lostRepliesUntil is until when a machine's replies to commands are lost, by machine.
	lostRepliesUntil map[string]micros.Micros
	// jobsRefusedUntil is until when the state service refuses reads and watches of jobs.
	jobsRefusedUntil micros.Micros
	// duplicateBurstUntil is until when many heartbeats are copied.
	duplicateBurstUntil micros.Micros
	concurrentFaults    concurrentFaults
}

// New prepares a run.
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

// newServices makes the services and the settings of a run, with nobody to use them.
func newServices(p Plan) *Simulation {
	s := &Simulation{
		plan: p, cfg: p.settings(), rng: fakes.NewRandom(p.Seed, seedStream), now: sec,
		network:          newNetwork(),
		workers:          map[string]*worker{},
		userByJob:        map[string]*user{},
		tasksByJob:       map[string]map[*fakes.Task]*worker{},
		lostRepliesUntil: map[string]micros.Micros{},
	}
	s.state = fakes.NewState(scheduler{s}, fakes.StateLimits{ValueBytes: s.cfg.ValueBytes, TxnOps: s.cfg.TxnOps})
	s.state.OnPut = s.handlePut
	s.cloud = fakes.NewCloud(fakes.CloudConfig{
		Scheduler: scheduler{s}, Random: s.rng, MaxMachines: p.Machines, BootTime: s.drawBootTime, OnRent: s.addWorker, OnReturn: s.countBusyReturn,
	})
	return s
}

// settings returns the controllers' settings.
func (p Plan) settings() controller.Config {
	cfg := controller.Config{
		Shards: p.Nodes, Teams: p.Teams,
		Lease: 3 * sec, HeartbeatInterval: 2 * sec, WorkerLease: 12 * sec, Cancel: 25 * sec,
		StateRPS: cmp.Or(p.StateRPS, 300), WriteRPS: cmp.Or(p.WriteRPS, 80), ValueBytes: 8 << 10, TxnOps: 8,
		MaxWorkerRequests: 24, MaxStateRequests: 42, MaxPeerQuestions: 31, SilentReturn: -1,
		CloudRPS: 10, ListLag: 2 * sec,
		DrainHorizon: 30 * sec, IdleReturn: 15 * sec, BeginWithin: 60 * sec, CordonFor: 30 * sec, MaxMachines: p.Machines,
		StartWithin: map[string]micros.Micros{"rush": 3 * sec}, MaxFinalJobs: p.MaxFinalJobs,
	}
	if p.LongOutage {
		cfg.Lease = 6 * sec // twice the margin of the bounds, which must not hide what they leave out
	}
	return cfg
}

// initialMachines returns how many machines are up at the start.
func (p Plan) initialMachines() int {
	switch {
	case p.InitialMachines > 0:
		return p.InitialMachines
	case p.Large:
		return p.Machines / 4
	}
	return min(3, p.Machines)
}

// addUsers adds the users of ordinary jobs, who submit them in the first three quarters of Length.
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

// scheduleEvents draws what happens during the run.
func (s *Simulation) scheduleEvents() {
	p := s.plan
	for _, events := range []struct {
		planned  bool
		schedule func()
	}{
		{p.UpgradeFrom != ReleaseCurrent, s.scheduleUpgrade},
		{p.Faults, s.scheduleFaults},
		{p.FleetFaults, s.scheduleFleetFaults},
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

// Run plays the run to its end, or to the first violation.
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

// checkPeriodically checks the rules about waiting, every checkInterval.
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

// violated records that a rule was broken.
func (s *Simulation) violated(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf("%.3f s: ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *Simulation) trace(format string, args ...any) {
	if s.Trace != nil {
		s.Trace(fmt.Sprintf("%9.3f ", s.now.Seconds()) + fmt.Sprintf(format, args...))
	}
}

// at has f happen at a time.
func (s *Simulation) at(t micros.Micros, f func()) { s.queue.Add(max(t, s.now), f) }

// after has f happen once the duration has passed.
func (s *Simulation) after(d micros.Micros, f func()) { s.at(s.now+d, f) }

// scheduler makes the fakes run by the simulation's time.
type scheduler struct{ sim *Simulation }

func (s scheduler) Now() micros.Micros { return s.sim.now }

func (s scheduler) After(d micros.Micros, f func()) { s.sim.after(d, f) }

// handlePut is called with each value that controllers write.
func (s *Simulation) handlePut(key string, value wire.Raw, _ uint64) {
	if fakes.IsLock(key) {
		s.replayHeartbeats()
	}
	s.handleGroupRecord(key, value)
}

// userOf returns the user of a job; nil: nobody submitted it.
func (s *Simulation) userOf(job string) *user { return s.userByJob[job] }
