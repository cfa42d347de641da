package controller

import (
	"math"

	"garnethitch/internal/controller/estimate"
	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
)

const (
	// smallLoss is the most that may be lost for a task at first, in CPU seconds; see
	// preemptionPolicy.maxLoss.
	smallLoss = 100
	// immediatePreemptionObjective is the objective for the start of tasks below which a job
	// preempts others without waiting. defaultPreemptionDelay is how long a job without an
	// objective waits for capacity before it preempts others.
	immediatePreemptionObjective = 10 * micros.Second
	defaultPreemptionDelay       = micros.Second
	// A job with an objective waits for the objective divided by preemptionDelayDivisor before it
	// preempts others. After that it may cause no more than smallLoss for the objective divided by
	// smallLossDivisor.
	preemptionDelayDivisor = 10
	smallLossDivisor       = 2
	// smallLossDuration is how long a job without an objective may cause no more than smallLoss.
	smallLossDuration = 5 * micros.Second
	// nearDeadlineSlack is the time left to start a job's tasks below which its deadline is near.
	nearDeadlineSlack = 15 * micros.Second
	// saveTimeFactor is how many times a victim's save time an objective must last for the victim
	// to be given time to save.
	saveTimeFactor = 2
)

// preemptionPolicy decides when tasks are stopped for a job, how much work may be lost by that, and
// whether the tasks may save first.
type preemptionPolicy struct {
	*stepContext
	estimates *estimate.RunTimes
}

// delay returns how long a job waits for capacity to become free before it preempts others. Tasks
// end all the time, while the work of a preempted task is partly lost.
func (p *preemptionPolicy) delay(j *job) micros.Micros {
	if within, hasObjective := p.cfg.StartWithin[j.sub.Class]; hasObjective {
		if within < immediatePreemptionObjective {
			return 0
		}
		return within / preemptionDelayDivisor
	}
	if p.deadlineNear(j) {
		return 0
	}
	return defaultPreemptionDelay
}

// deadlineNear reports whether the job can still meet its deadline, but only if its tasks start
// within nearDeadlineSlack.
func (p *preemptionPolicy) deadlineNear(j *job) bool {
	slack := p.dueTime(j) - p.wall - p.estimates.Expect(j.sub)
	return slack > 0 && slack < nearDeadlineSlack
}

// dueTime returns the time of day by which a job should be done: the earlier of its deadline and
// the objective of its class. It returns Never if there is neither.
func (sc *stepContext) dueTime(j *job) micros.Micros {
	due := j.deadline
	if within := sc.cfg.FinishWithin[j.sub.Class]; within > 0 {
		due = min(due, micros.Micros(j.waitingSinceMS())*micros.Millisecond+within)
	}
	return due
}

// maxLoss returns the most that may be lost for one task of a job, in CPU seconds. Tasks end all
// the time in a large shard, so at first only tasks that cost little are stopped: long work that is
// nearly done must not be lost to save a wait of seconds.
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

// loss returns what stopping an attempt loses, in CPU seconds.
func (p *preemptionPolicy) loss(att *attempt) float64 {
	sub := att.job.sub
	loss := scheduling.PreemptionLoss{
		ExpectedRunTime:    p.estimates.Expect(sub),
		CheckpointInterval: sub.CheckpointS,
		CPUs:               sub.CPUs,
		Priority:           att.job.priority,
		OnlyRunningTask:    p.isOnlyStart(att),
	}
	if att.runAt != 0 {
		loss.RunTime = p.now - att.runAt
	}
	if r := att.job.run; r != nil {
		loss.EarlierPreemptions = r.stopsByTask[att.index]
	}
	return loss.Total()
}

// stopMode returns how a victim is stopped for a job. The victim is given time to save unless it
// cannot save or the job must start sooner than that.
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
