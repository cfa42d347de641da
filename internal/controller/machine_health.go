package controller

import (
	"math"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// healthView is what speaks against a machine: distinct jobs whose tasks failed there,
// slowness, disagreements. One that is set aside takes no tasks until then.
type healthView struct {
	failuresByJob map[string]int
	cordonedUntil micros.Micros
	faulty        bool
	// slowSum and slowCount: how much longer than expected its tasks ran, and how many.
	slowSum, slowCount float64
	backoffUntil       micros.Micros // after a disagreement about room
}

// noteFailure weighs a failed task: is the machine at fault, or the job?
func (c *Controller) noteFailure(att *attempt) {
	j, v := att.job, att.machine.view
	r := j.run
	v.failuresByJob[j.id]++
	c.log(Debug, "task failed", "task", wire.TaskName(j.id, att.index), "machine", att.machine.id)
	if r == nil {
		return
	}
	r.failuresByMachine[att.machine.id]++
	r.failuresByTask[att.index]++
	r.failAfter = max(r.failAfter, att.ran(c.now))
	if c.suspect(j) {
		// Failing everywhere: throttled until its user cancels it. The protocol
		// has no answer that says "failed".
		if r.retryBackoff == 0 {
			c.log(Info, "job fails on every machine, trying one task at a time", "job", j.id, "machines", len(r.failuresByMachine))
		}
		r.retryBackoff = min(max(2*r.retryBackoff, 4*micros.Second), micros.Minute)
		r.nextRetryAt = c.now + r.retryBackoff
		// It is no evidence against machines.
		for id := range r.failuresByMachine {
			if m := c.machines[id]; m != nil && m.view != nil {
				delete(m.view.failuresByJob, j.id)
				if m.view.faulty && len(m.view.failuresByJob) == 0 {
					m.view.faulty, m.view.cordonedUntil = false, 0
				}
			}
		}
		return
	}
	failures := 0
	for _, n := range v.failuresByJob {
		failures += n
	}
	if len(v.failuresByJob) >= 2 || failures >= 2 && c.provenElsewhere(j, att.machine) || failures >= 3 {
		if !v.faulty {
			c.log(Info, "machine cordoned, its tasks fail", "machine", att.machine.id, "failures", failures, "jobs", len(v.failuresByJob))
		}
		v.faulty = true
		v.cordonedUntil = c.now + c.cfg.CordonFor
		// What still runs there will fail as well.
		for _, other := range v.each() {
			if other.tracked && other.state == attemptAssigned {
				c.freeAttempt(other, false)
			}
		}
	}
}

// suspect: the job has failed on several machines and never completed a task.
// A large array runs on hundreds of machines, some of which may be faulty: where
// more of its tasks have run for longer than it took the others to fail, the job
// is not at fault (35 good jobs were throttled on a day with 70 faulty machines
// among 2,000, and 60 in an incident, most of them in their first seconds).
func (c *Controller) suspect(j *job) bool {
	r := j.run
	if len(r.failuresByMachine) < 3 || r.doneCount > 0 {
		return false
	}
	well := 0
	for _, att := range r.active {
		if att.runAt > 0 && c.now-att.runAt > r.failAfter+micros.Second {
			well++
		}
	}
	return well < 2*len(r.failuresByMachine)
}

// provenElsewhere: the job's tasks complete or run on other machines.
func (c *Controller) provenElsewhere(j *job, m *machine) bool {
	if j.run.doneCount > 0 {
		return true
	}
	for _, att := range j.run.active {
		if att.machine != m && att.runAt > 0 && c.now-att.runAt > 5*micros.Second {
			return true
		}
	}
	return false
}

// avoids: a task that failed again goes to another machine than those where
// its job failed; a first failure may use the same one.
func (c *Controller) avoids(j *job, idx int, m *machine) bool {
	n := j.run.failuresByMachine[m.id]
	if n == 0 {
		return false
	}
	if j.run.retryBackoff != 0 {
		return false // failing everywhere, it has nowhere to go
	}
	return n >= 2 || j.run.failuresByTask[idx] >= 2
}

// noteNotice takes a spot notice.
func (c *Controller) noteNotice(m *machine, heartbeat *wire.Heartbeat) {
	v := m.view
	if heartbeat.NoticeS == nil {
		return
	}
	at := c.now + micros.FromSeconds(*heartbeat.NoticeS)
	if v.reclaimAt == 0 {
		c.log(Info, "machine will be reclaimed", "machine", m.id, "seconds", *heartbeat.NoticeS)
	}
	v.reclaimAt = at
	c.drain(m)
}

// drain clears a machine that will be taken away: tasks that can save do so in
// time, those that won't be done by then start again elsewhere at once.
func (c *Controller) drain(m *machine) {
	v := m.view
	left := v.reclaimAt - c.now
	for _, att := range v.each() {
		if !att.tracked || att.job == nil || att.stopMode != stopNone || att.state == attemptExited {
			continue
		}
		sub := att.job.sub
		save := micros.FromSeconds(sub.SaveS)
		switch {
		case att.state < attemptRunning:
			c.stop(att, stopImmediate)
		case sub.CheckpointS > 0 && left > save+micros.Second/2:
			c.stop(att, stopGraceful)
		case att.state == attemptRunning:
			rest := c.estimates.Expect(sub) - (c.now - att.runAt)
			if rest > left {
				c.stop(att, stopImmediate)
			}
		}
	}
}

// noteSpeed compares a run time with what the job's class led to expect.
func (c *Controller) noteSpeed(m *machine, j *job, took micros.Micros) {
	want := c.estimates.Expect(j.sub)
	if want <= 0 || took <= 0 {
		return
	}
	v := m.view
	ratio := max(-1.5, min(1.5, math.Log(took.Seconds()/want.Seconds())))
	v.slowSum = v.slowSum*0.9 + ratio
	v.slowCount = v.slowCount*0.9 + 1
}

// slowness is 0 for an ordinary machine and grows with how much longer its
// tasks take.
func (c *Controller) slowness(m *machine) float64 {
	v := m.view
	if v.slowCount < 2 {
		return 0
	}
	mean := v.slowSum / (v.slowCount + 2)
	if mean < 0.3 {
		return 0
	}
	return mean
}
