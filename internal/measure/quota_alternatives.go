package main

import "garnethitch/internal/micros"

// singleOwner has one controller, endedController, count for all; the others ask it.
type singleOwner struct {
	sim     *quotaSimulation
	limit   float64
	used    float64
	waiting []func()
}

func newSingleOwner(s *quotaSimulation) limiter { return &singleOwner{sim: s, limit: limitBefore} }

// messageDelay draws how long a message between controllers takes.
func (o *singleOwner) messageDelay() micros.Micros { return o.sim.between(ms, 4*ms) }

func (o *singleOwner) request(_ int, start func()) {
	o.sim.after(o.messageDelay(), func() {
		o.waiting = append(o.waiting, start)
		o.grant()
	})
}

func (o *singleOwner) grant() {
	for o.sim.ended != endedController && len(o.waiting) > 0 && o.used < o.limit {
		start := o.waiting[0]
		o.waiting = o.waiting[1:]
		o.used++
		o.sim.after(o.messageDelay(), start)
	}
}

func (o *singleOwner) finished(int) {
	o.sim.after(o.messageDelay(), func() {
		o.used--
		o.grant()
	})
}

func (o *singleOwner) replaced()           { o.grant() }
func (o *singleOwner) lower(limit float64) { o.limit = limit }
func (o *singleOwner) inForce() bool       { return o.used <= o.limit }
func (o *singleOwner) writes() int         { return 0 }

// writePerGrant has each start and end be a conditional write of one record.
type writePerGrant struct {
	sim     *quotaSimulation
	limit   float64
	used    float64
	written int
	waiting [quotaControllers][]func()
	ends    [quotaControllers]int  // not written yet
	writing [quotaControllers]bool // a write, or a try, is under way
}

func newWritePerGrant(s *quotaSimulation) limiter {
	return &writePerGrant{sim: s, limit: limitBefore}
}

// storeDelay draws how long a message to or from the store takes.
func (s *quotaSimulation) storeDelay() micros.Micros { return s.between(2*ms, 10*ms) }

func (w *writePerGrant) request(controller int, start func()) {
	w.waiting[controller] = append(w.waiting[controller], start)
	w.write(controller)
}

func (w *writePerGrant) finished(controller int) {
	w.ends[controller]++
	w.write(controller)
}

// write sends the next write of a controller, and goes on with the one after.
func (w *writePerGrant) write(controller int) {
	if w.writing[controller] {
		return
	}
	w.writing[controller] = true
	w.sim.after(w.sim.storeDelay(), func() {
		next := w.carryOut(controller)
		w.writing[controller] = false
		w.sim.after(next, func() { w.write(controller) })
	})
}

// carryOut carries out a controller's write, if it has one and the store takes it: all ends
// together, starts one by one. It returns after how long to go on.
func (w *writePerGrant) carryOut(controller int) micros.Micros {
	mayStart := len(w.waiting[controller]) > 0 && w.used < w.limit
	switch {
	case w.ends[controller] == 0 && !mayStart:
		return 20 * ms
	case !w.sim.reaches(controller):
		return 100 * ms
	case !w.sim.takeWrite():
		return w.sim.between(20*ms, 60*ms)
	}
	w.written++
	if w.ends[controller] > 0 {
		w.used -= float64(w.ends[controller])
		w.ends[controller] = 0
		return 0
	}
	start := w.waiting[controller][0]
	w.waiting[controller] = w.waiting[controller][1:]
	w.used++
	w.sim.after(w.sim.storeDelay(), start)
	return 0
}

func (w *writePerGrant) replaced()           {}
func (w *writePerGrant) lower(limit float64) { w.limit = limit }
func (w *writePerGrant) inForce() bool       { return w.used <= w.limit }
func (w *writePerGrant) writes() int         { return w.written }
