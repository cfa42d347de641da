// Package estimate estimates the run times of tasks and the rate at which work arrives.
package estimate

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/portablemath"
	"garnethitch/internal/wire"
)

const (
	// maxClasses is the maximum number of classes that are learned. Tasks of further classes keep
	// their users' estimates.
	maxClasses = 1000
	// minEstimateS and minRunTimeS are the lower bounds, in seconds, that are applied to estimates
	// and to measured run times.
	minEstimateS = 0.1
	minRunTimeS  = 0.05
	// maxLogRatio bounds the absolute natural logarithm of run time / estimate of a single task.
	maxLogRatio = 2.0
	// tasksPerWeight is the number of tasks that add 1 to the weight of their class.
	tasksPerWeight = 5
	// weightPerTask is what a single task adds to the weight of its class. maxWeight is the
	// largest weight of a class; the limit makes later tasks count for more than earlier ones.
	weightPerTask = 1.0 / tasksPerWeight
	maxWeight     = 40.0
	// priorWeight is the weight of the users' estimates.
	priorWeight = 4.0
)

// RunTimes estimates run times. It corrects the users' estimates by the measured run times of
// tasks of the same class.
type RunTimes struct{ byClass map[string]*class }

// class holds what was learned from the tasks of one class.
type class struct {
	// logRatio is the moving average of the natural logarithm of run time / estimate.
	logRatio float64
	// weight is the weight of logRatio relative to priorWeight.
	weight float64
	// factor is the factor by which estimates are multiplied.
	factor float64
}

// NewRunTimes returns RunTimes that have not learned anything yet.
func NewRunTimes() RunTimes { return RunTimes{byClass: map[string]*class{}} }

// Classes returns the number of classes that have been learned.
func (r *RunTimes) Classes() int { return len(r.byClass) }

// Expect returns the expected run time of a task of a job.
func (r *RunTimes) Expect(sub *wire.Submission) micros.Micros {
	seconds := max(sub.EstimateS, minEstimateS)
	if cl := r.byClass[sub.Class]; cl != nil {
		seconds *= cl.factor
	}
	return micros.FromSeconds(seconds)
}

// Learn records the run time of a completed task of a job. It ignores jobs without an estimate.
func (r *RunTimes) Learn(sub *wire.Submission, runTime micros.Micros) {
	if sub.EstimateS <= 0 || runTime <= 0 {
		return
	}
	cl := r.byClass[sub.Class]
	if cl == nil {
		if len(r.byClass) >= maxClasses {
			return
		}
		cl = &class{}
		r.byClass[sub.Class] = cl
	}
	cl.add(portablemath.Log(max(runTime.Seconds(), minRunTimeS) / sub.EstimateS))
}

// add records the natural logarithm of run time / estimate of one task.
func (cl *class) add(logRatio float64) {
	logRatio = max(-maxLogRatio, min(maxLogRatio, logRatio))
	cl.weight = min(cl.weight+weightPerTask, maxWeight)
	tasks := max(cl.weight*tasksPerWeight, 1)
	cl.logRatio += (logRatio - cl.logRatio) / tasks
	cl.factor = portablemath.Exp(cl.logRatio * cl.weight / (cl.weight + priorWeight))
}
