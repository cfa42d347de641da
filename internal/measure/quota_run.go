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

// What all runs have in common.
const (
	controllers = 3
	limitBefore = 300.0
	limitAfter  = 150.0
	taskMean    = 4 * sec
	// writeRate is the store's, for all controllers together.
	writeRate    = 40.0
	ownerEndsAt  = 40 * sec // and is replaced after failoverTime
	failoverTime = 6 * sec
	lowerAt      = 80 * sec
	cutFor       = 10 * sec
	runLength    = 120 * sec
)

// quotaRun is one run of a mechanism.
type quotaRun struct {
	rng       *rand.Rand
	now       micros.Micros
	queue     eventqueue.Queue
	mechanism mechanism
	running   [controllers]int
	dead      int           // the controller that has ended; -1: none
	cut       int           // the one that does not reach the store; -1: none
	tokens    float64       // of the store's write budget
	filled    micros.Micros // when they were last added to
	grants    int
	unused    []float64
	stalled   micros.Micros // the longest without a grant
	lastAt    micros.Micros
	lowered   micros.Micros // when the lowered limit was in force; 0: not yet
	points    plotter.XYs
}

func (r *quotaRun) after(d micros.Micros, f func()) {
	r.queue.Add(r.now+d, f)
}

// between draws a duration.
func (r *quotaRun) between(from, to micros.Micros) micros.Micros {
	return from + micros.Micros(r.rng.Int64N(int64(to-from)+1))
}

// mayWrite reports whether the store takes a write now, and counts it.
func (r *quotaRun) mayWrite() bool {
	r.tokens = min(writeRate, r.tokens+writeRate*(r.now-r.filled).Seconds())
	r.filled = r.now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// demand keeps work waiting at every controller.
const demand = 400

// request asks for a task by a controller, and for the next once it has ended.
func (r *quotaRun) request(node int) {
	r.mechanism.request(node, func() {
		r.running[node]++
		r.grants++
		r.stalled = max(r.stalled, r.now-r.lastAt)
		r.lastAt = r.now
		r.after(r.between(taskMean/2, taskMean*3/2), func() {
			r.running[node]--
			r.mechanism.ended(node)
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
	r.points = append(r.points, plotter.XY{X: r.now.Seconds(), Y: float64(used)})
	switch {
	case r.now > 10*sec && r.now < ownerEndsAt:
		r.unused = append(r.unused, (limitBefore-float64(used))/limitBefore)
	case r.now > lowerAt && r.lowered == 0 && r.mechanism.inForce():
		r.lowered = r.now
	}
}

// play runs a mechanism; cut: a controller is cut off just before the limit is lowered.
func (r *quotaRun) play(cut bool) {
	for range demand {
		for node := range controllers {
			r.request(node)
		}
	}
	r.sample()
	r.after(ownerEndsAt, func() { r.dead = 0 })
	r.after(ownerEndsAt+failoverTime, func() {
		r.dead = -1
		r.mechanism.controllerReplaced()
	})
	if cut {
		r.after(lowerAt-sec, func() { r.cut = 2 })
		r.after(lowerAt-sec+cutFor, func() { r.cut = -1 })
	}
	r.after(lowerAt, func() { r.mechanism.lowerLimit(limitAfter) })
	for r.now < runLength {
		var f func()
		r.now, f = r.queue.Take() // there is always a sample to take
		f()
	}
}

func newQuotaRun(seed uint64, newMechanism func(*quotaRun) mechanism) *quotaRun {
	r := &quotaRun{rng: rand.New(rand.NewPCG(seed, 3)), dead: -1, cut: -1, tokens: writeRate}
	r.mechanism = newMechanism(r)
	return r
}

// toInForce returns how long a lowered limit took to hold, in seconds.
func toInForce(r *quotaRun) float64 {
	if r.lowered == 0 {
		return (runLength - lowerAt).Seconds()
	}
	return (r.lowered - lowerAt).Seconds()
}
