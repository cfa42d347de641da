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

	quotaControllers = 3
	limitBefore      = 300.0 // CPUs, of tasks of one CPU
	limitAfter       = 150.0
	meanTaskLength   = 4 * sec
	// tasksPerController is how many tasks run or wait at each controller.
	tasksPerController = 400
	// storeWriteRate is how many writes a second the store takes from all controllers.
	storeWriteRate = 40.0

	warmUp        = 10 * sec
	controllerEnd = 40 * sec // of endedController
	failoverTime  = 6 * sec  // until it is replaced
	limitLowered  = 80 * sec
	cutOffLead    = sec // by which a cut begins before the limit is lowered
	cutOffFor     = 10 * sec
	runLength     = 120 * sec

	sampleInterval = 100 * ms

	endedController  = 0
	cutOffController = 2
	noController     = -1
)

// limiter is a way to enforce a limit across controllers.
type limiter interface {
	// request asks for a start by a controller; start is called if and when it is granted.
	request(controller int, start func())
	// finished says that a task of a controller has ended.
	finished(controller int)
	// replaced says that the controller that had ended is replaced.
	replaced()
	// lower lowers the limit.
	lower(limit float64)
	// inForce reports whether the limit that was set last is in force.
	inForce() bool
	// writes returns how many writes the store has carried out.
	writes() int
}

// quotaSimulation is one run of a limiter under full demand.
type quotaSimulation struct {
	rng     *rand.Rand
	now     micros.Micros
	queue   eventqueue.Queue
	limiter limiter

	running [quotaControllers]int
	ended   int // the controller that has ended, or noController
	cutOff  int // the one that does not reach the store, or noController

	writeTokens   float64 // of the store's token bucket
	writeTokensAt micros.Micros

	grants       int
	lastGrantAt  micros.Micros
	longestStall micros.Micros // without a grant
	unused       []float64     // parts of the limit, before any controller ends
	inForceAt    micros.Micros // when the lowered limit was in force; 0: not yet
	used         plotter.XYs   // CPUs over seconds
}

func newQuotaSimulation(seed uint64, newLimiter func(*quotaSimulation) limiter) *quotaSimulation {
	s := &quotaSimulation{
		rng:         rand.New(rand.NewPCG(seed, 3)),
		ended:       noController,
		cutOff:      noController,
		writeTokens: storeWriteRate,
	}
	s.limiter = newLimiter(s)
	return s
}

// after calls f once d has passed.
func (s *quotaSimulation) after(d micros.Micros, f func()) { s.queue.Add(s.now+d, f) }

// between draws a span of time.
func (s *quotaSimulation) between(from, to micros.Micros) micros.Micros {
	return from + micros.Micros(s.rng.Int64N(int64(to-from)+1))
}

// takeWrite takes a write from the store's token bucket, and reports whether there was one.
func (s *quotaSimulation) takeWrite() bool {
	s.writeTokens = min(storeWriteRate, s.writeTokens+storeWriteRate*(s.now-s.writeTokensAt).Seconds())
	s.writeTokensAt = s.now
	if s.writeTokens < 1 {
		return false
	}
	s.writeTokens--
	return true
}

// request requests a start by a controller, and another once that task has ended.
func (s *quotaSimulation) request(controller int) {
	s.limiter.request(controller, func() {
		s.running[controller]++
		s.grants++
		s.longestStall = max(s.longestStall, s.now-s.lastGrantAt)
		s.lastGrantAt = s.now
		s.after(s.between(meanTaskLength/2, meanTaskLength*3/2), func() {
			s.running[controller]--
			s.limiter.finished(controller)
			s.request(controller)
		})
	})
}

// sample records what is used, again and again.
func (s *quotaSimulation) sample() {
	s.after(sampleInterval, s.sample)
	used := 0
	for _, n := range s.running {
		used += n
	}
	s.used = append(s.used, plotter.XY{X: s.now.Seconds(), Y: float64(used)})
	switch {
	case s.now > warmUp && s.now < controllerEnd:
		s.unused = append(s.unused, (limitBefore-float64(used))/limitBefore)
	case s.now > limitLowered && s.inForceAt == 0 && s.limiter.inForce():
		s.inForceAt = s.now
	}
}

// run runs the simulation to its end: a controller ends and is replaced, and the limit is
// lowered, with one controller cut off from just before if cutOff is set.
func (s *quotaSimulation) run(cutOff bool) {
	for range tasksPerController {
		for controller := range quotaControllers {
			s.request(controller)
		}
	}
	s.sample()
	s.after(controllerEnd, func() { s.ended = endedController })
	s.after(controllerEnd+failoverTime, func() {
		s.ended = noController
		s.limiter.replaced()
	})
	if cutOff {
		const begin = limitLowered - cutOffLead
		s.after(begin, func() { s.cutOff = cutOffController })
		s.after(begin+cutOffFor, func() { s.cutOff = noController })
	}
	s.after(limitLowered, func() { s.limiter.lower(limitAfter) })
	for s.now < runLength {
		var f func()
		s.now, f = s.queue.Take() // there is always a sample to take
		f()
	}
}

// reaches reports whether a controller runs and reaches the store.
func (s *quotaSimulation) reaches(controller int) bool {
	return s.ended != controller && s.cutOff != controller
}

// secondsToInForce returns how long the lowered limit took to be in force, at most until the
// end of the run.
func (s *quotaSimulation) secondsToInForce() float64 {
	if s.inForceAt == 0 {
		return (runLength - limitLowered).Seconds()
	}
	return (s.inForceAt - limitLowered).Seconds()
}
