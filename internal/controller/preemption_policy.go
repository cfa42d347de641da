package controller

import (
	"math"

	"garnethitch/internal/controller/estimate"
	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
)

const (
	// smallLoss is what may be lost for a task at once, in CPU seconds.
	smallLoss = 100
	// promptStart is the objective for the start of tasks below which capacity is not waited for.
	// defaultPreemptionDelay is how long it is waited for where there is no objective.
	promptStart            = 10 * micros.Second
	defaultPreemptionDelay = micros.Second
	// An objective divided by preemptionDelayDivisor is how long capacity is waited for, divided
	// by smallLossDivisor for how long after that no more than smallLoss may be lost.
	preemptionDelayDivisor = 10
	smallLossDivisor       = 2
	// smallLossDuration is for how long that is so where there is no objective.
	smallLossDuration = 5 * micros.Second
	// nearDeadline is the time left to start a job's tasks from which on its deadline is near.
	nearDeadline = 15 * micros.Second
	// saveTimeFactor is how many times a victim's time to save an objective must be for the victim
	// to be given that time.
	saveTimeFactor = 2
)

// preemptionPolicy says when tasks are stopped for a job, what may be lost by that, and how they
// are stopped.
type preemptionPolicy struct {
	*stepContext
	estimates *estimate.RunTimes
}

// delay returns how long a job waits for capacity to come free by itself before others
// are stopped for it. Tasks end all the time, and work that is stopped is partly lost.
func (p *preemptionPolicy) delay(j *job) micros.Micros {
	if within, hasObjective := p.cfg.StartWithin[j.sub.Class]; hasObjective {
		if within < promptStart {
			return 0
		}
		return within / preemptionDelayDivisor
	}
	if p.deadlineNear(j) {
		return 0
	}
	return defaultPreemptionDelay
}

// deadlineNear reports whether the job can still be in time, but only if its tasks start within
// some seconds.
func (p *preemptionPolicy) deadlineNear(j *job) bool {
	slack := p.dueOf(j) - p.wall - p.estimates.Expect(j.sub)
	return slack > 0 && slack < nearDeadline
}

// dueOf returns when a job is wanted done, by its user or its class; Never if neither says.
func (sc *stepContext) dueOf(j *job) micros.Micros {
	due := j.deadline
	if within := sc.cfg.FinishWithin[j.sub.Class]; within > 0 {
		due = min(due, micros.Micros(j.since())*micros.Millisecond+within)
	}
	return due
}

// maxLoss returns the most that may be lost for one task of a job, in CPU seconds.
// Tasks end all the time in a large shard: for a while only what costs little is stopped, so that
// long work that is nearly done is not thrown away for a wait of seconds.
func (p *preemptionPolicy) maxLoss(j *job) float64 {
	smallLossFor := smallLossDuration
	if within, hasObjective := p.cfg.StartWithin[j.sub.Class]; hasObjective {
		smallLossFor = within / smallLossDivisor
	}
	if p.now < j.run.arrivedAt+p.delay(j)+smallLossFor {
		return smallLoss
	}
	return math.Inf(1)
}

// loss returns the loss of stopping an attempt, in CPU seconds.
func (p *preemptionPolicy) loss(att *attempt) float64 {
	sub := att.job.sub
	loss := scheduling.PreemptionLoss{
		Expected:           p.estimates.Expect(sub),
		CheckpointInterval: sub.CheckpointS,
		CPUs:               sub.CPUs,
		Priority:           att.job.priority,
		OnlyStart:          p.isOnlyStart(att),
	}
	if att.runAt != 0 {
		loss.Ran = p.now - att.runAt
	}
	if r := att.job.run; r != nil {
		loss.EarlierStops = r.stopsByTask[att.index]
	}
	return loss.Total()
}

// stopMode returns how a victim is stopped for a job: with time to save, unless the job is
// wanted started sooner than that.
func (p *preemptionPolicy) stopMode(victim *attempt, j *job) stopMode {
	if victim.job.sub.CheckpointS <= 0 || victim.state != attemptRunning {
		return stopImmediate
	}
	if within, hasObjective := p.cfg.StartWithin[j.sub.Class]; hasObjective && within < saveTimeFactor*micros.FromSeconds(victim.job.sub.SaveS) {
		return stopImmediate
	}
	if p.deadlineNear(j) {
		return stopImmediate
	}
	return stopGraceful
}
