package main

import (
	"garnethitch/internal/micros"
	"garnethitch/quota"
)

// Durations of messages and writes, and pauses of a writePerGrant controller before its next
// write: idle if it had nothing to write, unreachable if it did not reach the store, refused if it
// exceeded the store's write rate.
const (
	shortestMessage  = ms
	longestMessage   = 4 * ms
	shortestWrite    = 2 * ms
	longestWrite     = 10 * ms
	idlePause        = 20 * ms
	unreachablePause = 100 * ms
	refusedPauseFrom = 20 * ms
	refusedPauseTo   = 60 * ms
)

// mechanism is one way to enforce a limit.
type mechanism interface {
	// request asks to start a task at a controller; start is called if and when that is granted.
	request(node int, start func())
	// taskEnded is called when a task has ended.
	taskEnded(node int)
	// controllerReplaced is called when the controller that was down has been replaced.
	controllerReplaced()
	// lowerLimit lowers the limit.
	lowerLimit(limit float64)
	// inForce reports whether the lowered limit is in force.
	inForce() bool
	// writes returns how many writes the mechanism has made.
	writes() int
}

// oneOwner has controller 0 count the tasks of all controllers. The others ask it for grants.
type oneOwner struct {
	run   *quotaRun
	limit float64
	used  float64
	queue []func()
}

func (o *oneOwner) request(_ int, start func()) {
	o.run.after(o.run.between(shortestMessage, longestMessage), func() {
		o.queue = append(o.queue, start)
		o.grant()
	})
}

func (o *oneOwner) grant() {
	for o.run.downNode != 0 && len(o.queue) > 0 && o.used < o.limit {
		start := o.queue[0]
		o.queue = o.queue[1:]
		o.used++
		o.run.after(o.run.between(shortestMessage, longestMessage), start)
	}
}

func (o *oneOwner) taskEnded(int) {
	o.run.after(o.run.between(shortestMessage, longestMessage), func() {
		o.used--
		o.grant()
	})
}

func (o *oneOwner) controllerReplaced() { o.grant() }

func (o *oneOwner) lowerLimit(limit float64) { o.limit = limit }
func (o *oneOwner) inForce() bool            { return o.used <= o.limit }
func (o *oneOwner) writes() int              { return 0 }

// writePerGrant records starts and ends by conditional writes of one record.
type writePerGrant struct {
	run         *quotaRun
	limit       float64
	used        float64
	writeCount  int
	queues      [controllers][]func()
	pendingEnds [controllers]int
	writing     [controllers]bool
}

func (w *writePerGrant) request(node int, start func()) {
	w.queues[node] = append(w.queues[node], start)
	w.write(node)
}

func (w *writePerGrant) taskEnded(node int) {
	w.pendingEnds[node]++
	w.write(node)
}

// write sends the next write of a controller, unless one is in flight.
func (w *writePerGrant) write(node int) {
	if w.writing[node] {
		return
	}
	w.writing[node] = true
	w.run.after(w.run.between(shortestWrite, longestWrite), func() {
		pause := w.commit(node)
		w.writing[node] = false
		w.run.after(pause, func() { w.write(node) })
	})
}

// commit executes a controller's write if there is one and the store accepts it. All pending ends
// share a write, and each start has a separate one. It returns the pause before the next write.
func (w *writePerGrant) commit(node int) (pause micros.Micros) {
	mayStart := len(w.queues[node]) > 0 && w.used < w.limit
	switch {
	case w.pendingEnds[node] == 0 && !mayStart:
		return idlePause
	case w.run.downNode == node || w.run.cutNode == node:
		return unreachablePause
	case !w.run.takeWriteToken():
		return w.run.between(refusedPauseFrom, refusedPauseTo)
	}
	w.writeCount++
	if w.pendingEnds[node] > 0 {
		w.used -= float64(w.pendingEnds[node])
		w.pendingEnds[node] = 0
		return 0
	}
	start := w.queues[node][0]
	w.queues[node] = w.queues[node][1:]
	w.used++
	w.run.after(w.run.between(shortestWrite, longestWrite), start)
	return 0
}

func (w *writePerGrant) controllerReplaced() {}

func (w *writePerGrant) lowerLimit(limit float64) { w.limit = limit }
func (w *writePerGrant) inForce() bool            { return w.used <= w.limit }
func (w *writePerGrant) writes() int              { return w.writeCount }

// allowances enforces the limit by package quota, over a simulated store.
type allowances struct {
	run         *quotaRun
	record      quota.Record
	modRevision uint64
	writeCount  int
	ledgers     [controllers]*quota.Ledger
	queues      [controllers][]func()
	used        [controllers]float64
}

const group = "all"

func newAllowances(run *quotaRun) mechanism {
	a := &allowances{run: run, modRevision: 1}
	a.record = quota.Record{Definition: quota.Definition{Name: group, Teams: []string{"t"}, Limit: quota.CPULimit(initialLimit)}, Epoch: 1}
	for i := range a.ledgers {
		a.ledgers[i] = quota.NewLedger(quota.Config{Shards: controllers, Timing: quota.DefaultTiming()})
		a.step(i, quota.ShardAcquired{Shard: i})
		a.step(i, quota.Learned{Group: group, Record: a.record, ModRevision: a.modRevision})
		a.step(i, quota.RecordsRead{Shard: i})
		a.reportUsage(i)
	}
	return a
}

func (a *allowances) request(node int, start func()) {
	a.queues[node] = append(a.queues[node], start)
	a.grant(node)
}

func (a *allowances) taskEnded(node int) {
	a.used[node]--
	a.grant(node)
}

// grant starts the tasks that wait at a controller, up to its allowance.
func (a *allowances) grant(node int) {
	for a.run.downNode != node && len(a.queues[node]) > 0 && a.used[node] < a.ledgers[node].Allowed(node, group).CPUs {
		start := a.queues[node][0]
		a.queues[node] = a.queues[node][1:]
		a.used[node]++
		a.ledgers[node].Granted(node, group, quota.Amount{CPUs: 1})
		a.run.after(0, start)
	}
}

// reportUsage passes a controller's usage to its ledger, four times a second.
func (a *allowances) reportUsage(node int) {
	a.run.after(250*ms, func() { a.reportUsage(node) })
	if a.run.downNode == node {
		return
	}
	team := quota.TeamDemand{Groups: []string{group}, Used: quota.Amount{CPUs: a.used[node]}}
	if n := len(a.queues[node]); n > 0 {
		team.Waiting = []quota.WaitingTasks{{Size: quota.Amount{CPUs: 1}, Count: n, SinceMS: 1}}
	}
	a.step(node, quota.UsageReport{Shard: node, Groups: a.ledgers[node].Claims(node, true, []quota.TeamDemand{team})})
}

// step passes an input to a controller's ledger and executes the reads and writes that it returns.
func (a *allowances) step(node int, in quota.Input) {
	now := quota.Instant{Steady: a.run.now, WallMS: a.run.now.Millis()}
	for _, e := range a.ledgers[node].Step(now, in) {
		switch e := e.(type) {
		case quota.Write:
			a.write(node, e)
		case quota.Read:
			a.deliver(node)
		}
	}
	a.grant(node)
}

func (a *allowances) write(node int, w quota.Write) {
	a.run.after(a.run.between(shortestWrite, longestWrite), func() {
		out := quota.WriteResult{ID: w.ID, Outcome: quota.Refused}
		switch {
		case a.run.downNode == node || a.run.cutNode == node || !a.run.takeWriteToken():
			out.Outcome = quota.NotSent
		case a.modRevision == w.ModRevision:
			a.modRevision++
			a.writeCount++
			a.record = w.Record
			out.Outcome = quota.Applied
			out.ModRevision = a.modRevision
			for other := range a.ledgers {
				a.deliver(other)
			}
		}
		a.run.after(a.run.between(shortestWrite, longestWrite), func() { a.step(node, out) })
	})
}

// deliver passes the record to a controller with the delay of a read or a watch. It retries while
// the controller is down or cut off.
func (a *allowances) deliver(node int) {
	rec, modRevision := a.record, a.modRevision
	a.run.after(a.run.between(5*ms, 100*ms), func() {
		if a.run.cutNode == node || a.run.downNode == node {
			a.run.after(500*ms, func() { a.deliver(node) })
			return
		}
		a.step(node, quota.Learned{Group: group, Record: rec, ModRevision: modRevision})
	})
}

func (a *allowances) controllerReplaced() {}

func (a *allowances) lowerLimit(limit float64) {
	l := quota.CPULimit(limit)
	a.step(1, quota.SetLimit{Token: 1, Group: group, Limit: &l})
}

func (a *allowances) inForce() bool {
	return a.record.Limit.Equal(quota.CPULimit(loweredLimit)) && a.record.InForce(controllers)
}

func (a *allowances) writes() int { return a.writeCount }
