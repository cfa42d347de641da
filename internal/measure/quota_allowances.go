package main

import (
	"garnethitch/internal/micros"
	"garnethitch/quota"
)

const (
	// quotaGroup is the one group of the simulation.
	quotaGroup = "all"
	// usageReportInterval is how often ledgers are told what is used, as in a controller.
	usageReportInterval = 250 * ms
	// recordRetryInterval is how often a controller that does not reach the store tries to
	// get a record.
	recordRetryInterval = 500 * ms
)

// allowances is package quota over a simulated store.
type allowances struct {
	sim         *quotaSimulation
	record      quota.Record
	modRevision uint64
	written     int
	ledgers     [quotaControllers]*quota.Ledger
	waiting     [quotaControllers][]func()
	used        [quotaControllers]float64
}

func newAllowances(s *quotaSimulation) limiter {
	definition := quota.Definition{
		Name:  quotaGroup,
		Teams: []string{"t"},
		Limit: quota.CPULimit(limitBefore),
	}
	a := &allowances{sim: s, record: quota.Record{Definition: definition, Epoch: 1}, modRevision: 1}
	for i := range a.ledgers {
		a.ledgers[i] = quota.NewLedger(quota.Config{Shards: quotaControllers, Timing: quota.DefaultTiming()})
		a.step(i, quota.Held{Shard: i})
		a.step(i, quota.Learned{Group: quotaGroup, Record: a.record, ModRevision: a.modRevision})
		a.step(i, quota.Refreshed{Shard: i})
		a.reportUsage(i)
	}
	return a
}

func (a *allowances) request(controller int, start func()) {
	a.waiting[controller] = append(a.waiting[controller], start)
	a.grant(controller)
}

func (a *allowances) finished(controller int) {
	a.used[controller]--
	a.grant(controller)
}

// grant starts what waits at a controller, within the allowance of its shard.
func (a *allowances) grant(controller int) {
	for len(a.waiting[controller]) > 0 && a.mayStart(controller) {
		start := a.waiting[controller][0]
		a.waiting[controller] = a.waiting[controller][1:]
		a.used[controller]++
		a.ledgers[controller].Granted(controller, quotaGroup, quota.Amount{CPUs: 1})
		a.sim.after(0, start)
	}
}

func (a *allowances) mayStart(controller int) bool {
	allowed := a.ledgers[controller].Allowed(controller, quotaGroup)
	return a.sim.ended != controller && a.used[controller] < allowed.CPUs
}

// reportUsage tells a ledger what its shard uses and wants, again and again.
func (a *allowances) reportUsage(controller int) {
	a.sim.after(usageReportInterval, func() { a.reportUsage(controller) })
	if a.sim.ended == controller {
		return
	}
	team := quota.TeamDemand{
		Groups: []string{quotaGroup},
		Used:   quota.Amount{CPUs: a.used[controller]},
	}
	if n := len(a.waiting[controller]); n > 0 {
		team.Waiting = []quota.WaitingTasks{{Size: quota.Amount{CPUs: 1}, Count: n, SinceMS: 1}}
	}
	uses := a.ledgers[controller].Claims(controller, true, []quota.TeamDemand{team})
	a.step(controller, quota.Used{Shard: controller, Groups: uses})
}

// step gives a ledger an input and carries its effects out.
func (a *allowances) step(controller int, in quota.Input) {
	now := quota.Instant{Steady: a.sim.now, WallMS: a.sim.now.Millis()}
	for _, e := range a.ledgers[controller].Step(now, in) {
		switch e := e.(type) {
		case quota.Write:
			a.write(controller, e)
		case quota.Read:
			a.deliver(controller)
		}
	}
	a.grant(controller)
}

// write sends a write to the store, and brings its outcome back.
func (a *allowances) write(controller int, w quota.Write) {
	a.sim.after(a.sim.storeDelay(), func() {
		wrote := a.carryOut(controller, w)
		a.sim.after(a.sim.storeDelay(), func() { a.step(controller, wrote) })
	})
}

// carryOut carries a write out, if the store takes it and its condition is met.
func (a *allowances) carryOut(controller int, w quota.Write) quota.Wrote {
	if !a.sim.reaches(controller) || !a.sim.takeWrite() {
		return quota.Wrote{ID: w.ID, Outcome: quota.NotSent}
	}
	if a.modRevision != w.ModRevision {
		return quota.Wrote{ID: w.ID, Outcome: quota.Refused}
	}
	a.modRevision++
	a.written++
	a.record = w.Record
	for other := range a.ledgers {
		a.deliver(other)
	}
	return quota.Wrote{ID: w.ID, Outcome: quota.Applied, ModRevision: a.modRevision}
}

// deliver brings the present record to a controller, by a read or a watch.
func (a *allowances) deliver(controller int) {
	record := a.record
	modRevision := a.modRevision
	a.sim.after(a.deliveryDelay(), func() {
		if !a.sim.reaches(controller) {
			a.sim.after(recordRetryInterval, func() { a.deliver(controller) })
			return
		}
		a.step(controller, quota.Learned{Group: quotaGroup, Record: record, ModRevision: modRevision})
	})
}

// deliveryDelay draws how long a record takes to reach a controller.
func (a *allowances) deliveryDelay() micros.Micros { return a.sim.between(5*ms, 100*ms) }

func (a *allowances) replaced() {}

func (a *allowances) lower(limit float64) {
	lowered := quota.CPULimit(limit)
	const anyController = 1
	a.step(anyController, quota.Set{Token: 1, Group: quotaGroup, Limit: &lowered})
}

func (a *allowances) inForce() bool {
	return a.record.Limit.Equal(quota.CPULimit(limitAfter)) && a.record.InForce(quotaControllers)
}

func (a *allowances) writes() int { return a.written }
