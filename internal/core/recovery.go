package core

import (
	"math"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// healthView is what speaks against a machine: distinct jobs whose tasks failed there,
// slowness, disagreements. One that is set aside takes no tasks until then.
type healthView struct {
	failJobs         map[string]int
	quarantinedUntil micros.Micros
	faulty           bool
	// slowSum and slowN: how much longer than expected its tasks ran, and how many.
	slowSum, slowN float64
	restUntil      micros.Micros // after a disagreement about room
}

// noteFailure weighs a failed task: is the machine at fault, or the job?
func (c *Core) noteFailure(att *attempt) {
	j, v := att.job, att.m.v
	r := j.run
	v.failJobs[j.id]++
	c.log(Debug, "task failed", "task", wire.TaskName(j.id, att.idx), "machine", att.m.id)
	if r == nil {
		return
	}
	r.fails[att.m.id]++
	r.failed[att.idx]++
	r.failAfter = max(r.failAfter, att.ran(c.now))
	if c.suspect(j) {
		// Failing everywhere: throttled until its user cancels it. The protocol
		// has no answer that says "failed".
		if r.pause == 0 {
			c.log(Info, "job fails on every machine, trying one task at a time", "job", j.id, "machines", len(r.fails))
		}
		r.pause = min(max(2*r.pause, 4*micros.Second), micros.Minute)
		r.probeAt = c.now + r.pause
		// It is no evidence against machines.
		for id := range r.fails {
			if m := c.mach[id]; m != nil && m.v != nil {
				delete(m.v.failJobs, j.id)
				if m.v.faulty && len(m.v.failJobs) == 0 {
					m.v.faulty, m.v.quarantinedUntil = false, 0
				}
			}
		}
		return
	}
	failures := 0
	for _, n := range v.failJobs {
		failures += n
	}
	if len(v.failJobs) >= 2 || failures >= 2 && c.provenElsewhere(j, att.m) || failures >= 3 {
		if !v.faulty {
			c.log(Info, "machine set aside, its tasks fail", "machine", att.m.id, "failures", failures, "jobs", len(v.failJobs))
		}
		v.faulty = true
		v.quarantinedUntil = c.now + c.cfg.Quarantine
		// What still runs there will fail as well.
		for _, other := range v.each() {
			if other.owned && other.state == attemptAssigned {
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
func (c *Core) suspect(j *job) bool {
	r := j.run
	if len(r.fails) < 3 || r.count > 0 {
		return false
	}
	well := 0
	for _, att := range r.active {
		if att.runAt > 0 && c.now-att.runAt > r.failAfter+micros.Second {
			well++
		}
	}
	return well < 2*len(r.fails)
}

// provenElsewhere: the job's tasks complete or run on other machines.
func (c *Core) provenElsewhere(j *job, m *machine) bool {
	if j.run.count > 0 {
		return true
	}
	for _, att := range j.run.active {
		if att.m != m && att.runAt > 0 && c.now-att.runAt > 5*micros.Second {
			return true
		}
	}
	return false
}

// avoids: a task that failed again goes to another machine than those where
// its job failed; a first failure may use the same one.
func (c *Core) avoids(j *job, idx int, m *machine) bool {
	n := j.run.fails[m.id]
	if n == 0 {
		return false
	}
	if j.run.pause != 0 {
		return false // failing everywhere, it has nowhere to go
	}
	return n >= 2 || j.run.failed[idx] >= 2
}

// noteNotice takes a spot notice.
func (c *Core) noteNotice(m *machine, rep *wire.Report) {
	v := m.v
	if rep.NoticeS == nil {
		return
	}
	at := c.now + micros.FromSeconds(*rep.NoticeS)
	if v.takenAt == 0 {
		c.log(Info, "machine will be taken away", "machine", m.id, "seconds", *rep.NoticeS)
	}
	v.takenAt = at
	c.drain(m)
}

// drain clears a machine that will be taken away: tasks that can save do so in
// time, those that won't be done by then start again elsewhere at once.
func (c *Core) drain(m *machine) {
	v := m.v
	left := v.takenAt - c.now
	for _, att := range v.each() {
		if !att.owned || att.job == nil || att.halt != haltNone || att.state == attemptExited {
			continue
		}
		sub := att.job.sub
		save := micros.FromSeconds(sub.SaveS)
		switch {
		case att.state < attemptRunning:
			c.stop(att, haltHard)
		case sub.CheckpointS > 0 && left > save+micros.Second/2:
			c.stop(att, haltSave)
		case att.state == attemptRunning:
			rest := c.runs.expect(sub) - (c.now - att.runAt)
			if rest > left {
				c.stop(att, haltHard)
			}
		}
	}
}

// noteSpeed compares a run time with what the job's class led to expect.
func (c *Core) noteSpeed(m *machine, j *job, took micros.Micros) {
	want := c.runs.expect(j.sub)
	if want <= 0 || took <= 0 {
		return
	}
	v := m.v
	ratio := max(-1.5, min(1.5, math.Log(took.Seconds()/want.Seconds())))
	v.slowSum = v.slowSum*0.9 + ratio
	v.slowN = v.slowN*0.9 + 1
}

// slowness is 0 for an ordinary machine and grows with how much longer its
// tasks take.
func (c *Core) slowness(m *machine) float64 {
	v := m.v
	if v.slowN < 2 {
		return 0
	}
	mean := v.slowSum / (v.slowN + 2)
	if mean < 0.3 {
		return 0
	}
	return mean
}
