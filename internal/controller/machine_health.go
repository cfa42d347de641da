package controller

import (
	"math"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// healthView is the evidence that a machine is unhealthy: the jobs whose tasks failed there,
// slowness, refused starts. A cordoned machine takes no tasks until cordonedUntil.
type healthView struct {
	failuresByJob map[string]int // since a task was last completed
	cordonedUntil micros.Micros
	faulty        bool // cordoned for failures
	// slowSum and slowCount: how much longer than expected its tasks ran, and how many; both
	// decay.
	slowSum, slowCount float64
	backoffUntil       micros.Micros // nothing is started before, after a refused start
}

// Bounds from which on failures count as the fault of a machine or a job.
const (
	// faultyAfterJobs is how many jobs must fail on a machine.
	faultyAfterJobs = 2
	// faultyAfterFailuresOfProvenJob is how many tasks must fail that run well elsewhere.
	faultyAfterFailuresOfProvenJob = 2
	// faultyAfterFailures is how many tasks must fail, whatever their jobs.
	faultyAfterFailures = 3
	// suspectAfterMachines is on how many machines a job must fail.
	suspectAfterMachines = 3
	// runsWellFactor is how many tasks of a job must run well for each machine where one failed,
	// for the job not to be at fault.
	runsWellFactor = 2
	// runsWellMargin is added to the longest time that a failed task had run.
	runsWellMargin = micros.Second
	// provenRunTime is how long a task must have run elsewhere to show that its job can.
	provenRunTime = 5 * micros.Second

	minRetryBackoff = 4 * micros.Second // of a job that fails everywhere
	maxRetryBackoff = micros.Minute
)

// noteFailure records a failed task, and decides whether the machine or the job is at fault.
func (c *Controller) noteFailure(att *attempt) {
	j, m := att.job, att.machine
	m.view.failuresByJob[j.id]++
	c.log(Debug, "task failed", "task", wire.TaskName(j.id, att.index), "machine", m.id)
	r := j.run
	if r == nil {
		return
	}
	r.failuresByMachine[m.id]++
	r.failuresByTask[att.index]++
	r.failAfter = max(r.failAfter, att.ran(c.now))
	if c.suspect(j) {
		c.throttleFailingJob(j)
		c.clearFailuresOf(j)
		return
	}
	if c.failsTasks(m, j) {
		c.cordonFaulty(m)
	}
}

// throttleFailingJob has the tasks of a job that fails everywhere tried one at a time, ever
// less often, until its user cancels it. The protocol has no answer that says "failed".
func (c *Controller) throttleFailingJob(j *job) {
	r := j.run
	if r.retryBackoff == 0 {
		c.log(Info, "job fails on every machine, trying one task at a time", "job", j.id, "machines", len(r.failuresByMachine))
	}
	r.retryBackoff = min(max(2*r.retryBackoff, minRetryBackoff), maxRetryBackoff)
	r.nextRetryAt = c.now + r.retryBackoff
}

// clearFailuresOf removes the failures of a job from the records of machines, and uncordons those
// that were cordoned for them alone: the job is at fault.
func (c *Controller) clearFailuresOf(j *job) {
	for id := range j.run.failuresByMachine {
		m := c.machines[id]
		if m == nil || m.view == nil {
			continue
		}
		v := m.view
		delete(v.failuresByJob, j.id)
		if v.faulty && len(v.failuresByJob) == 0 {
			v.faulty = false
			v.cordonedUntil = 0
		}
	}
}

// failsTasks reports whether a machine on which a task of a job has just failed is at fault.
func (c *Controller) failsTasks(m *machine, j *job) bool {
	v := m.view
	if len(v.failuresByJob) >= faultyAfterJobs {
		return true
	}
	failures := v.failures()
	if failures >= faultyAfterFailuresOfProvenJob && c.provenElsewhere(j, m) {
		return true
	}
	return failures >= faultyAfterFailures
}

// failures returns how many tasks have failed on the machine since one was last completed there.
func (v *view) failures() int {
	failures := 0
	for _, n := range v.failuresByJob {
		failures += n
	}
	return failures
}

// cordonFaulty cordons a machine on which tasks fail, and frees what has not been sent to it.
func (c *Controller) cordonFaulty(m *machine) {
	v := m.view
	if !v.faulty {
		c.log(Info, "machine cordoned, its tasks fail", "machine", m.id, "failures", v.failures(), "jobs", len(v.failuresByJob))
	}
	v.faulty = true
	v.cordonedUntil = c.now + c.cfg.CordonPeriod
	for _, att := range v.each() {
		if att.tracked && att.state == attemptAssigned {
			c.freeAttempt(att, false)
		}
	}
}

// suspect reports whether a job has failed on several machines and never completed a task.
// A large array runs on hundreds of machines, some of which may be faulty: where
// more of its tasks have run for longer than it took the others to fail, the job
// is not at fault.
func (c *Controller) suspect(j *job) bool {
	r := j.run
	if len(r.failuresByMachine) < suspectAfterMachines || r.doneCount > 0 {
		return false
	}
	runningWell := 0
	for _, att := range r.active {
		if att.ran(c.now) > r.failAfter+runsWellMargin {
			runningWell++
		}
	}
	return runningWell < runsWellFactor*len(r.failuresByMachine)
}

// provenElsewhere reports whether the job's tasks complete or run on other machines.
func (c *Controller) provenElsewhere(j *job, m *machine) bool {
	if j.run.doneCount > 0 {
		return true
	}
	for _, att := range j.run.active {
		if att.machine != m && att.ran(c.now) > provenRunTime {
			return true
		}
	}
	return false
}

// avoids reports whether a task must not run on a machine: one that failed again goes to
// another machine than those where its job failed; a first failure may use the same one.
func (c *Controller) avoids(j *job, idx int, m *machine) bool {
	failuresHere := j.run.failuresByMachine[m.id]
	if failuresHere == 0 {
		return false
	}
	if j.run.retryBackoff != 0 {
		return false // it fails everywhere, no machine is better
	}
	return failuresHere >= 2 || j.run.failuresByTask[idx] >= 2
}

// noteNotice takes the notice that the cloud will reclaim a spot machine.
func (c *Controller) noteNotice(m *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.NoticeS == nil {
		return
	}
	v := m.view
	if v.reclaimAt == 0 {
		c.log(Info, "machine will be reclaimed", "machine", m.id, "seconds", *heartbeat.NoticeS)
	}
	v.reclaimAt = c.now + micros.FromSeconds(*heartbeat.NoticeS)
	c.drain(m)
}

// drainSaveMargin is what must remain before a reclaim beside the time that a task takes to
// save.
const drainSaveMargin = micros.Second / 2

// drain empties a machine that will be reclaimed: tasks that can save do so in
// time, those that won't be done by then start again elsewhere at once.
func (c *Controller) drain(m *machine) {
	left := m.view.reclaimAt - c.now
	for _, att := range m.view.each() {
		if !att.tracked || att.job == nil || att.stopMode != stopNone || att.state == attemptExited {
			continue
		}
		if mode := c.drainMode(att, left); mode != stopNone {
			c.stop(att, mode)
		}
	}
}

// drainMode says how an attempt is to be stopped, if at all, with some time left until its
// machine is reclaimed.
func (c *Controller) drainMode(att *attempt, left micros.Micros) stopMode {
	if att.state < attemptRunning {
		return stopImmediate
	}
	sub := att.job.sub
	if sub.CheckpointS > 0 && left > micros.FromSeconds(sub.SaveS)+drainSaveMargin {
		return stopGraceful
	}
	if att.state == attemptRunning && c.estimates.Expect(sub)-(c.now-att.runAt) > left {
		return stopImmediate
	}
	return stopNone
}

const (
	// slowDecay is by how much earlier run times lose weight with each further one.
	slowDecay = 0.9
	// maxSlowRatio bounds the logarithm of one run time's ratio to the expected one.
	maxSlowRatio = 1.5
	// minSlowCount is how many run times it takes to call a machine slow.
	minSlowCount = 2
	// slowPrior is how many run times as expected are added to those seen.
	slowPrior = 2
	// minSlowness is the slowness up to which a machine counts as ordinary.
	minSlowness = 0.3
)

// noteSpeed compares a run time with what the job's class led to expect.
func (c *Controller) noteSpeed(m *machine, j *job, runTime micros.Micros) {
	expected := c.estimates.Expect(j.sub)
	if expected <= 0 || runTime <= 0 {
		return
	}
	ratio := math.Log(runTime.Seconds() / expected.Seconds())
	ratio = max(-maxSlowRatio, min(maxSlowRatio, ratio))
	v := m.view
	v.slowSum = v.slowSum*slowDecay + ratio
	v.slowCount = v.slowCount*slowDecay + 1
}

// slowness is 0 for an ordinary machine and grows with how much longer its
// tasks take: the mean logarithm of run time to expected run time.
func (c *Controller) slowness(m *machine) float64 {
	v := m.view
	if v.slowCount < minSlowCount {
		return 0
	}
	mean := v.slowSum / (v.slowCount + slowPrior)
	if mean < minSlowness {
		return 0
	}
	return mean
}
