package main

import (
	"math/rand/v2"

	"garnethitch/internal/eventqueue"
	"garnethitch/internal/micros"

	"gonum.org/v1/plot/plotter"
)

const (
	ms  = micros.Millisecond
	sec = micros.Second
)

// Parameters that all runs share.
const (
	controllers      = 3
	initialLimit     = 300.0
	loweredLimit     = 150.0
	meanTaskDuration = 4 * sec
	// writeRate is the store's limit of writes per second, for all controllers together.
	writeRate      = 40.0
	ownerFailsAt   = 40 * sec // the owner is replaced after failoverTime
	failoverTime   = 6 * sec
	limitLoweredAt = 80 * sec
	cutDuration    = 10 * sec
	runLength      = 120 * sec
)

// quotaRun is one simulated run of a mechanism.
type quotaRun struct {
	rng             *rand.Rand
	now             micros.Micros
	queue           eventqueue.Queue
	mechanism       mechanism
	running         [controllers]int
	downNode        int           // the controller that is down; -1: none
	cutNode         int           // the controller that cannot reach the store; -1: none
	writeTokens     float64       // of the store's limit of writes
	tokensUpdatedAt micros.Micros // when tokens were last added
	grants          int
	unusedFractions []float64     // of the limit, one for each sample
	longestStall    micros.Micros // longest time without a grant
	lastGrantAt     micros.Micros
	enforcedAt      micros.Micros // when the lowered limit was in force; 0: not yet
	usage           plotter.XYs   // CPUs in use, one point for each sample
}

func (r *quotaRun) after(d micros.Micros, f func()) {
	r.queue.Add(r.now+d, f)
}

// between returns a random duration; both bounds are included.
func (r *quotaRun) between(from, to micros.Micros) micros.Micros {
	return from + micros.Micros(r.rng.Int64N(int64(to-from)+1))
}

// takeWriteToken reports whether the store accepts a write now, and consumes a token if it does.
func (r *quotaRun) takeWriteToken() bool {
	r.writeTokens = min(writeRate, r.writeTokens+writeRate*(r.now-r.tokensUpdatedAt).Seconds())
	r.tokensUpdatedAt = r.now
	if r.writeTokens < 1 {
		return false
	}
	r.writeTokens--
	return true
}

// requestsPerController is how many requests each controller has at a time; with so many, tasks
// always wait at every controller.
const requestsPerController = 400

// request asks to start a task at a controller, and asks again when that task has ended.
func (r *quotaRun) request(node int) {
	r.mechanism.request(node, func() {
		r.running[node]++
		r.grants++
		r.longestStall = max(r.longestStall, r.now-r.lastGrantAt)
		r.lastGrantAt = r.now
		r.after(r.between(meanTaskDuration/2, meanTaskDuration*3/2), func() {
			r.running[node]--
			r.mechanism.taskEnded(node)
			r.request(node)
		})
	})
}

// sample records the CPUs in use, and schedules the next sample.
func (r *quotaRun) sample() {
	r.after(100*ms, r.sample)
	used := 0
	for _, n := range r.running {
		used += n
	}
	r.usage = append(r.usage, plotter.XY{X: r.now.Seconds(), Y: float64(used)})
	switch {
	case r.now > 10*sec && r.now < ownerFailsAt:
		r.unusedFractions = append(r.unusedFractions, (initialLimit-float64(used))/initialLimit)
	case r.now > limitLoweredAt && r.enforcedAt == 0 && r.mechanism.inForce():
		r.enforcedAt = r.now
	}
}

// simulate runs the mechanism for runLength. If cut is set, a controller is cut off just before
// the limit is lowered.
func (r *quotaRun) simulate(cut bool) {
	for range requestsPerController {
		for node := range controllers {
			r.request(node)
		}
	}
	r.sample()
	r.after(ownerFailsAt, func() { r.downNode = 0 })
	r.after(ownerFailsAt+failoverTime, func() {
		r.downNode = -1
		r.mechanism.controllerReplaced()
	})
	if cut {
		r.after(limitLoweredAt-sec, func() { r.cutNode = 2 })
		r.after(limitLoweredAt-sec+cutDuration, func() { r.cutNode = -1 })
	}
	r.after(limitLoweredAt, func() { r.mechanism.lowerLimit(loweredLimit) })
	for r.now < runLength {
		var f func()
		r.now, f = r.queue.Take() // the queue always holds the next sample
		f()
	}
}

func newQuotaRun(seed uint64, newMechanism func(*quotaRun) mechanism) *quotaRun {
	r := &quotaRun{rng: rand.New(rand.NewPCG(seed, 3)), downNode: -1, cutNode: -1, writeTokens: writeRate}
	r.mechanism = newMechanism(r)
	return r
}

// enforcementDelay returns how long the lowered limit took to come into force, in seconds; if it
// did not, the time until the end of the run.
func enforcementDelay(r *quotaRun) float64 {
	if r.enforcedAt == 0 {
		return (runLength - limitLoweredAt).Seconds()
	}
	return (r.enforcedAt - limitLoweredAt).Seconds()
}
