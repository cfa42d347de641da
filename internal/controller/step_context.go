package controller

import (
	"math/rand/v2"

	"garnethitch/internal/controller/authority"
	"garnethitch/internal/controller/reachability"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
)

// stepContext holds what all components of a controller share: the settings, the time of the
// current step, and the effects of the step. Components with methods of their own hold a pointer to
// their controller's stepContext.
type stepContext struct {
	cfg                Config
	bounds             authority.Bounds
	heartbeatDeadlines reachability.Deadlines
	rng                *rand.Rand

	// now is the monotonic time of the current step, wall its time of day.
	now, wall micros.Micros
	startedAt micros.Micros // time of the first step; negative before it
	wakeAt    micros.Micros // time at which the next step is due at the latest; see Wake
	// lastStalledAt is when the process was last found to have stalled. Silence of other nodes up
	// to that time is no evidence that they are down.
	lastStalledAt micros.Micros
	schedulingDue bool // there may be tasks to schedule

	// The effects and deferred functions of the current step, and the calls in flight; see
	// effects.go.
	effects  []Effect
	deferred []func()
	calls    map[uint64]func(Result) // callbacks of the calls in flight, by Call.ID
	nextCall uint64

	stateQueue *statestore.Queue
}

// rngStream is the second word of the random number generator's seed.
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
