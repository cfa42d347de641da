package controller

import (
	"math/rand/v2"

	"garnethitch/internal/controller/authority"
	"garnethitch/internal/controller/reachability"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
)

// stepContext is what every part of a controller works with: the settings, the time of the step
// under way, and the effects that it gives out. The parts that have methods of their own hold a
// pointer to their controller's.
type stepContext struct {
	cfg                Config
	bounds             authority.Bounds
	heartbeatDeadlines reachability.Deadlines
	rng                *rand.Rand

	// now is the steady time of the step, wall its time of day.
	now, wall micros.Micros
	startedAt micros.Micros // time of the first step; below 0: none yet
	wakeAt    micros.Micros // see Wake
	// lastStalledAt is when the process was last found stalled. That nothing was received
	// before says nothing about others.
	lastStalledAt micros.Micros
	schedulingDue bool // there is something to schedule

	// What the step under way gives out; see effects.go.
	effects  []Effect
	deferred []func()
	calls    map[uint64]func(Result) // by ID, those without a Result yet
	nextCall uint64

	stateQueue *statestore.Queue
}

// rngStream is the second word of the random numbers' seed.
const rngStream = 0x9e3779b97f4a7c15

// newStepContext returns the context of a controller before its first step.
func newStepContext(cfg Config, seed uint64) stepContext {
	return stepContext{
		cfg:                cfg,
		bounds:             authority.NewBounds(cfg.Lease, cfg.WorkerLease, cfg.CancelWithin),
		heartbeatDeadlines: reachability.NewDeadlines(cfg.HeartbeatInterval, cfg.SilentReturn),
		rng:                rand.New(rand.NewPCG(seed, rngStream)),
		startedAt:          -1,
		lastStalledAt:      -micros.Never,
		calls:              map[uint64]func(Result){},
		stateQueue: statestore.NewQueue(statestore.Limits{
			RequestRate: cfg.StateRPS,
			WriteRate:   cfg.WriteRPS,
			Controllers: len(cfg.Peers) + 1,
			MaxInFlight: cfg.MaxStateRequests,
		}),
	}
}
