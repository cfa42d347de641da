// Package simulation holds fakes for the state service, the cloud, workers
// and users, and a deterministic simulation that drives several controllers against
// them through losses, delays, late copies, cuts and crashes. Every rule of the
// protocol is checked at every step. Equal seeds give equal runs.
package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"

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
)

// Plan says what a run is made of.
type Plan struct {
	Seed     uint64
	Nodes    int
	Teams    []controller.Team
	Machines int
	Jobs     int
	// Grown makes arrays large and machines many, and lets workers look at their
	// tasks less often.
	Grown  bool
	Faults bool
	// Fleet adds faults that hit many machines or all controllers at a time.
	Fleet bool
	// Up is how many machines are up at the start; 0: as many as suits the rest. Waves ends the
	// leader, then all controllers, then all but one; see waves.go.
	Up    int
	Waves bool
	// Groups are groups of teams whose limits change meanwhile; see groups.go.
	Groups []quota.GroupOptions
	// Slow is how long a step takes, for a while, on one controller and then on all:
	// it is short of time, and what comes in waits in line.
	Slow micros.Micros
	// ConcurrentFaults adds the concurrent faults, and users who look closely; see
	// concurrent_faults.go. Gap plays the gap: one controller loses the state service with the
	// answers of what it wrote, then all lose it for longer than a cancellation has.
	ConcurrentFaults, Gap bool
	// Stale has controllers act on stale knowledge: the state service refuses reads of jobs
	// while owners end one after the other; see stale.go. MaxFinalJobs is how many final states
	// a controller keeps; 0: the controller's own number.
	Stale     bool
	FinalJobs int
	// StateRPS and WriteRPS are the limits of the state service; 0: large ones.
	StateRPS, WriteRPS float64
	// Questions is how many times a second users ask about jobs, each time at all
	// controllers, beside their polls; see questions.go.
	Questions float64
	// Churn makes every job one task, four of them a second, a quarter cancelled.
	Churn bool
	// DAGs is how many sets of jobs that need each other are submitted besides.
	// Roll begins with nodes of an older version; see roll.go. RollBack has them return to it
	// later.
	DAGs     int
	Roll     Release
	RollBack bool
	// Cascade cancels a job that many others need; see cascade.go.
	Cascade *Cascade
	// Length is how long faults and submissions go on; after that all is well
	// and every job must come to its end within Rest.
	Length, Rest micros.Micros
}

// Simulation is one run.
type Simulation struct {
	plan               Plan
	rng                *rand.Rand
	now                micros.Micros
	queue              eventqueue.Queue
	Nodes              []*Node
	state              *fakes.State
	cloud              *fakes.Cloud
	workers            map[string]*Worker
	names              []string
	users              []*user
	byJob              map[string]*user
	onJob              map[string]map[*task]*Worker // tasks that workers know of, exited ones included
	cuts               map[string]cutMode
	held               map[string][]func()
	lostCommandReplies map[string]micros.Micros // machines whose answers to orders are lost
	jobsRefusedUntil   micros.Micros            // until then nobody reads jobs; see refusesJobs
	cfg                controller.Config
	// Broken lists the rules that were broken, with time and circumstances.
	Broken []string
	// Started and Finished count tasks.
	Started, Finished int
	Restarts          int
	// DependentStarts counts starts of tasks whose jobs needed others.
	DependentStarts int
	// CascadeCancelled counts the jobs of a cascade that stand as cancelled at its end.
	CascadeCancelled int
	// Questions counts what was asked beside polls, Refused the answers that could not be
	// given.
	Questions, Refused int
	// EndedStops counts tasks that were stopped since their jobs had ended and left memory.
	EndedStops int
	// Stale counts the times in which controllers knew little.
	Stale int
	// Copies counts late copies of heartbeats, Unreachable machines that were out of reach.
	Copies, Unreachable int
	// ZoneCuts, Died, Hung and Frozen count what hits many at a time.
	ZoneCuts, Died, Hung, Frozen int
	// Waited is the longest that an input had to wait for a slow controller; Wasted
	// counts machines returned with work on them although nothing was wrong.
	Waited micros.Micros
	Wasted int
	// Heartbeats and Rounds tell what a heartbeat and a round, in which a controller looks at
	// whole shards, cost. MostAlone counts the machines that one controller commanded
	// while it was the only one, UpAlone those that were up then.
	Heartbeats, Rounds workSum
	MostAlone          int
	UpAlone            int
	// LimitsSet counts limits of groups that operators have set, GroupWrites writes of
	// groups' records.
	LimitsSet, GroupWrites int
	groups                 map[string]quota.Record
	stateRequests          []statestore.ClassMetrics // of processes that have ended
	// Trace, if set, hears what happens.
	Trace func(string)
	// Sent, if set, is called with each Answer and Call of each controller, in the order in
	// which they are sent. It must not change the effect.
	Sent func(at micros.Micros, from string, effect controller.Effect)
	// copiesUntil: until then many reports are copied.
	copiesUntil micros.Micros
	knownAt     micros.Micros // when checkKnown looks next
	concurrent  concurrentFaults
}

// base makes the services and the settings of a run, with nobody to use them.
func base(p Plan) *Simulation {
	s := &Simulation{
		plan: p, rng: rand.New(rand.NewPCG(p.Seed, 77)), now: sec,
		workers: map[string]*Worker{}, cuts: map[string]cutMode{}, held: map[string][]func(){},
		lostCommandReplies: map[string]micros.Micros{},
		byJob:              map[string]*user{}, onJob: map[string]map[*task]*Worker{},
	}
	s.cfg = controller.Config{
		Shards: p.Nodes, Teams: p.Teams,
		Lease: 3 * sec, HeartbeatInterval: 2 * sec, WorkerLease: 12 * sec, Cancel: 25 * sec,
		StateRPS: cmp.Or(p.StateRPS, 300), WriteRPS: cmp.Or(p.WriteRPS, 80), ValueBytes: 8 << 10, TxnOps: 8, MaxWorkerRequests: 24, MaxStateRequests: 42, MaxPeerQuestions: 31, SilentReturn: -1,
		CloudRPS: 10, ListLag: 2 * sec,
		DrainHorizon: 30 * sec, IdleReturn: 15 * sec, BeginWithin: 60 * sec, CordonFor: 30 * sec, MaxMachines: p.Machines,
		StartWithin: map[string]micros.Micros{"rush": 3 * sec}, MaxFinalJobs: p.FinalJobs,
	}
	s.state = fakes.NewState(scheduler{s}, fakes.StateLimits{ValueBytes: s.cfg.ValueBytes, TxnOps: s.cfg.TxnOps})
	s.state.OnPut = s.handlePut
	s.cloud = fakes.NewCloud(fakes.CloudConfig{
		Scheduler: scheduler{s}, Rand: s.rng, MaxMachines: p.Machines, BootTime: s.boot, OnRent: s.addWorker, OnReturn: s.checkReturn,
	})
	if p.Gap {
		s.cfg.Lease = 6 * sec // twice the margin of the bounds, which must not hide what they leave out
	}
	return s
}

// New prepares a run.
func New(p Plan) *Simulation {
	s := base(p)
	for i := range p.Nodes {
		s.Nodes = append(s.Nodes, &Node{sim: s, id: i, label: fmt.Sprintf("node-%d", i), rate: s.rng.Int64N(501)})
	}
	up := min(3, p.Machines)
	if p.Grown {
		up = p.Machines / 4
	}
	up = cmp.Or(p.Up, up)
	for range up {
		s.cloud.Add(fakes.MachineKind{Type: "small", Zone: s.zone()}, 0)
	}
	for _, n := range s.Nodes {
		s.after(s.span(0, 300*ms), n.start)
	}
	for i := range p.Jobs {
		u := newUser(s, i)
		s.users = append(s.users, u)
		s.byJob[u.sub.ID] = u
		at := s.span(0, p.Length*3/4)
		if p.Churn {
			at = 5*sec + micros.Micros(i)*250*ms
		}
		s.after(at, u.submit)
	}
	s.newDAGs()
	if p.Cascade != nil {
		s.newCascade(*p.Cascade)
	}
	s.markLargest()
	s.newGroups()
	if p.Roll != Current {
		s.scheduleRoll()
	}
	if p.Faults {
		s.scheduleFaults()
	}
	if p.Fleet {
		s.scheduleFleetFaults()
	}
	if p.Waves {
		s.scheduleWaves()
	}
	if p.Slow > 0 {
		s.scheduleSlowness()
	}
	if p.ConcurrentFaults {
		s.scheduleConcurrentFaults()
	}
	if p.Gap {
		s.scheduleGap()
	}
	if p.Stale {
		s.scheduleStale()
	}
	if p.Questions > 0 {
		s.scheduleQuestions()
	}
	return s
}

// Run plays the run to its end.
func (s *Simulation) Run() {
	end := s.plan.Length + s.plan.Rest
	for _, more := s.queue.Due(); more && s.now < end && len(s.Broken) == 0; _, more = s.queue.Due() {
		at, f := s.queue.Take()
		s.now = max(s.now, at)
		f()
		if s.now >= s.knownAt {
			s.knownAt = s.now + 5*sec
			s.checkKnown()
			s.checkWaiting()
		}
		if s.now > s.plan.Length+10*sec && s.allOver() {
			s.checkServed()
			return
		}
	}
	if len(s.Broken) > 0 {
		return
	}
	s.checkServed()
	for _, u := range s.users {
		if u.accepted && u.finalState == "" {
			s.broken("stuck: %s (%s) has not ended %v s after the last fault; %d of %d tasks done",
				u.sub.ID, u.sub.Class, s.plan.Rest.Seconds(), len(u.done), u.sub.Tasks)
		}
	}
}

func (s *Simulation) allOver() bool {
	for _, u := range s.users {
		if u.finalState == "" && !u.gaveUp {
			return false
		}
	}
	return true
}

func (s *Simulation) broken(format string, args ...any) {
	s.Broken = append(s.Broken, fmt.Sprintf("%.3f s: ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *Simulation) trace(format string, args ...any) {
	if s.Trace != nil {
		s.Trace(fmt.Sprintf("%9.3f ", s.now.Seconds()) + fmt.Sprintf(format, args...))
	}
}

func (s *Simulation) at(t micros.Micros, f func()) { s.queue.Add(max(t, s.now), f) }

func (s *Simulation) after(d micros.Micros, f func()) { s.at(s.now+d, f) }

// span draws a length of time.
func (s *Simulation) span(from, to micros.Micros) micros.Micros {
	return from + micros.Micros(s.rng.Int64N(int64(to-from)+1))
}

func (s *Simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *Simulation) zone() string {
	zones := fakes.Zones()
	return zones[s.rng.IntN(len(zones))]
}

// scheduler has the fakes live by the simulation's time.
type scheduler struct{ sim *Simulation }

func (s scheduler) Now() micros.Micros { return s.sim.now }

func (s scheduler) After(d micros.Micros, f func()) { s.sim.after(d, f) }

// addWorker starts a worker on a new machine.
func (s *Simulation) addWorker(m *fakes.Machine) {
	s.workers[m.ID] = newWorker(s, m)
	s.names = append(s.names, m.ID)
}

// handlePut follows what controllers write.
func (s *Simulation) handlePut(key string, value wire.Raw, _ uint64) {
	if fakes.IsLock(key) {
		s.releaseKept()
	}
	s.noteGroup(key, value)
}

// checkReturn counts machines that are returned with work on them although nothing is wrong.
func (s *Simulation) checkReturn(m *fakes.Machine) {
	p := s.plan
	faulty := p.Faults || p.Fleet || p.ConcurrentFaults || p.Gap || p.Stale
	if !faulty && !m.Dead && s.atWork(s.workers[m.ID]) {
		s.Wasted++
		s.trace("%s returned with work on it", m.ID)
	}
}

func (s *Simulation) userOf(job string) *user { return s.byJob[job] }
