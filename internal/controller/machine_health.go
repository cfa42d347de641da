package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/portablemath"
	"garnethitch/internal/wire"
)

// healthView is the evidence that a machine is unhealthy: failed tasks by job, long run times and
// refused starts. The machine is given no tasks until cordonedUntil.
type healthView struct {
	failuresByJob map[string]int // number of failed tasks since a task was last completed there
	cordonedUntil micros.Micros
	faulty        bool // cordoned because tasks failed
	// logRunTimeRatioSum is the sum of the logarithms of the tasks' run times divided by the
	// expected ones, and runTimeWeight the number of these tasks. With each further run time
	// the earlier ones lose weight in both.
	logRunTimeRatioSum, runTimeWeight float64
	// backoffUntil is the time before which no start is sent, after a refused one.
	backoffUntil micros.Micros
}

// Thresholds at which failed tasks are attributed to a machine or to a job.
const (
	// faultyMachineAfterJobs is how many jobs must have failed tasks on a machine for it to be at
	// fault.
	faultyMachineAfterJobs = 2
	// faultyMachineAfterFailuresOfProvenJob is how many tasks must fail on a machine for it to be
	// at fault if the job of the last one completes or runs tasks elsewhere.
	faultyMachineAfterFailuresOfProvenJob = 2
	// faultyMachineAfterFailures is how many tasks must fail on a machine for it to be at fault,
	// whatever their jobs.
	faultyMachineAfterFailures = 3
	// faultyJobAfterMachines is on how many machines a job must fail to be at fault.
	faultyJobAfterMachines = 3
	// runsWellFactor is how many tasks of a job must run well for each machine on which one
	// failed, for the job not to be at fault.
	runsWellFactor = 2
	// runsWellMargin is by how much longer than any failed task of its job a task must have run
	// to be considered running well.
	runsWellMargin = micros.Second
	// provenRunTime is how long a task must have run to show that the job's tasks can run.
	provenRunTime = 5 * micros.Second

	// minRetryBackoff and maxRetryBackoff bound the time between two tries of a job that fails
	// on every machine.
	minRetryBackoff = 4 * micros.Second
	maxRetryBackoff = micros.Minute
)

// recordFailure records a failed task. It throttles the job or cordons the machine if one of them
// is at fault.
func (c *Controller) recordFailure(att *attempt) {
	j, m := att.job, att.machine
	m.view.failuresByJob[j.id]++
	c.log(Debug, "task failed", "task", wire.TaskName(j.id, att.index), "machine", m.id)
	r := j.run
	if r == nil {
		return
	}
	r.recordMachineFailure(m, c.now)
	r.failuresByTask[att.index]++
	r.longestFailedRun = max(r.longestFailedRun, att.runTime(c.now))
	if c.jobAtFault(j) {
		c.throttleFailingJob(j)
		c.clearFailuresOf(j)
		return
	}
	if c.machineAtFault(m, j) {
		c.cordonFaulty(m)
	}
}

// throttleFailingJob has the tasks of a job that fails on every machine tried one at a time, with
// exponential backoff, until its user cancels it. The job stays open, since the protocol has no
// state for a failed job.
func (c *Controller) throttleFailingJob(j *job) {
	r := j.run
	if r.retryBackoff == 0 {
		c.log(Info, "job fails on every machine, trying one task at a time", "job", j.id, "machines", len(r.failuresByMachine))
	}
	r.retryBackoff = min(max(2*r.retryBackoff, minRetryBackoff), maxRetryBackoff)
	r.nextRetryAt = c.now + r.retryBackoff
}

// clearFailuresOf removes the failures of a job that is at fault from the views of machines. It
// uncordons the machines that were cordoned for these failures alone.
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

// machineAtFault reports whether machine m, on which a task of job j has just failed, is at fault.
func (c *Controller) machineAtFault(m *machine, j *job) bool {
	v := m.view
	if len(v.failuresByJob) >= faultyMachineAfterJobs {
		return true
	}
	failures := v.failures()
	if failures >= faultyMachineAfterFailuresOfProvenJob && c.provenElsewhere(j, m) {
		return true
	}
	return failures >= faultyMachineAfterFailures
}

// failures returns how many tasks have failed on the machine since one was last completed there.
func (v *machineView) failures() int {
	failures := 0
	for _, n := range v.failuresByJob {
		failures += n
	}
	return failures
}

// cordonFaulty cordons a machine on which tasks fail, and frees the attempts whose starts have not
// been sent to it.
func (c *Controller) cordonFaulty(m *machine) {
	v := m.view
	if !v.faulty {
		c.log(Info, "machine cordoned, its tasks fail", "machine", m.id, "failures", v.failures(), "jobs", len(v.failuresByJob))
	}
	v.faulty = true
	v.cordonedUntil = c.now + c.cfg.CordonPeriod
	for _, att := range v.attemptsCopy() {
		if att.tracked && att.state == attemptAssigned {
			c.freeAttempt(att, false)
		}
	}
}

// jobAtFault reports whether a job has failed on several machines, has never completed a task, and
// has few tasks that run well. The last condition is for large arrays: such a job runs on hundreds
// of machines, some of which may be faulty.
func (c *Controller) jobAtFault(j *job) bool {
	r := j.run
	if len(r.failuresByMachine) < faultyJobAfterMachines || r.doneCount > 0 {
		return false
	}
	runningWell := 0
	for _, att := range r.active {
		if c.runsWell(r, att) {
			runningWell++
		}
	}
	return runningWell < runsWellFactor*len(r.failuresByMachine)
}

// runsWell reports whether an attempt of a job has run for longer than any failed task of the job
// had.
func (c *Controller) runsWell(r *run, att *attempt) bool {
	return att.runTime(c.now) > r.longestFailedRun+runsWellMargin
}

// mayTryTask reports whether another task of a throttled job may be tried: each task that is being
// tried has run well for provenRunTime. So the trials of a job whose tasks run do not end with the
// first one, however long that runs.
func (c *Controller) mayTryTask(j *job) bool {
	for _, att := range j.run.active {
		if !c.runsWell(j.run, att) || att.runTime(c.now) < provenRunTime {
			return false
		}
	}
	return true
}

// provenElsewhere reports whether the job has completed a task, or has run one on a machine other
// than m for longer than provenRunTime.
func (c *Controller) provenElsewhere(j *job, m *machine) bool {
	if j.run.doneCount > 0 {
		return true
	}
	for _, att := range j.run.active {
		if att.machine != m && att.runTime(c.now) > provenRunTime {
			return true
		}
	}
	return false
}

// recordReclaimNotice records the notice that the cloud will reclaim a spot machine, if the
// heartbeat carries one, and drains the machine.
func (c *Controller) recordReclaimNotice(m *machine, heartbeat *wire.Heartbeat) {
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

// drainSaveMargin is the least time that must remain between the end of a save and the reclaim of
// the machine.
const drainSaveMargin = micros.Second / 2

// drain stops the tasks on a machine that will be reclaimed. Tasks that can save in time do so.
// Those that do not run yet, and others that won't be done by then, are stopped at once and start
// again elsewhere.
func (c *Controller) drain(m *machine) {
	left := m.view.reclaimAt - c.now
	for _, att := range m.view.attemptsCopy() {
		if !att.tracked || att.job == nil || att.stopMode != stopNone || att.state == attemptExited {
			continue
		}
		if mode := c.drainMode(att, left); mode != stopNone {
			c.stop(att, mode)
		}
	}
}

// drainMode returns how an attempt is to be stopped, if at all, when its machine is reclaimed after
// the time left.
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
	// runTimeDecay is the factor by which the weight of earlier run times decreases with each
	// further one.
	runTimeDecay = 0.9
	// maxLogRunTimeRatio bounds the absolute logarithm of one run time's ratio to the expected one.
	maxLogRunTimeRatio = 1.5
	// minRunTimeWeight is the weight of run times below which a machine is not considered slow.
	minRunTimeWeight = 2
	// priorRunTimeWeight is the weight of assumed run times, equal to the expected ones, that are
	// added to the observed ones.
	priorRunTimeWeight = 2
	// minSlowness is the slowness below which a machine is considered ordinary.
	minSlowness = 0.3
)

// recordRunTime records a task's run time on a machine, relative to the estimate for its job.
func (c *Controller) recordRunTime(m *machine, j *job, runTime micros.Micros) {
	expected := c.estimates.Expect(j.sub)
	if expected <= 0 || runTime <= 0 {
		return
	}
	ratio := portablemath.Log(runTime.Seconds() / expected.Seconds())
	ratio = max(-maxLogRunTimeRatio, min(maxLogRunTimeRatio, ratio))
	v := m.view
	v.logRunTimeRatioSum = float64(v.logRunTimeRatioSum*runTimeDecay) + ratio
	v.runTimeWeight = float64(v.runTimeWeight*runTimeDecay) + 1
}

// slowness returns the mean logarithm of the ratio of run time to expected run time on a machine,
// or 0 for an ordinary machine.
func (c *Controller) slowness(m *machine) float64 {
	v := m.view
	if v.runTimeWeight < minRunTimeWeight {
		return 0
	}
	mean := v.logRunTimeRatioSum / (v.runTimeWeight + priorRunTimeWeight)
	if mean < minSlowness {
		return 0
	}
	return mean
}
