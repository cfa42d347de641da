// Package estimate estimates run times of tasks and rates of arriving work.
package estimate

import (
	"math"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// maxClasses bounds the classes that are learned; others keep their users' estimates.
	maxClasses = 1000
	// minEstimateS and minRunTimeS are the least times, in seconds, that count.
	minEstimateS = 0.1
	minRunTimeS  = 0.05
	// maxLogRatio bounds the natural logarithm of run time / estimate of one task.
	maxLogRatio = 2.0
	// tasksPerWeight is how many tasks add one to their class's weight.
	tasksPerWeight = 5
	// weightPerTask is how much one task adds to its class's weight, maxWeight the most
	// that a class has: later tasks count for more than earlier ones.
	weightPerTask = 1.0 / tasksPerWeight
	maxWeight     = 40.0
	// priorWeight is the weight of the users' estimates.
	priorWeight = 4.0
)

// RunTimes estimates run times: the users' own estimates, corrected by how long the tasks
// of the same class took.
type RunTimes struct{ byClass map[string]*class }

// class is what the tasks of one class have shown.
type class struct {
	// logRatio is the moving mean of the natural logarithm of run time / estimate.
	logRatio float64
	// weight is how much the mean counts beside the users' estimates.
	weight float64
	// factor corrects estimates.
	factor float64
}

// NewRunTimes returns estimates that have learned nothing.
func NewRunTimes() RunTimes { return RunTimes{byClass: map[string]*class{}} }

// Classes returns how many classes have been learned.
func (r *RunTimes) Classes() int { return len(r.byClass) }

// Expect returns the run time that a task of a job probably takes.
func (r *RunTimes) Expect(sub *wire.Submission) micros.Micros {
	seconds := max(sub.EstimateS, minEstimateS)
	if cl := r.byClass[sub.Class]; cl != nil {
		seconds *= cl.factor
	}
	return micros.FromSeconds(seconds)
}

// Learn takes the run time of a completed task of a job. One without an estimate teaches
// nothing.
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
	cl.add(math.Log(max(runTime.Seconds(), minRunTimeS) / sub.EstimateS))
}

// add takes the natural logarithm of one task's run time / estimate.
func (cl *class) add(logRatio float64) {
	logRatio = max(-maxLogRatio, min(maxLogRatio, logRatio))
	cl.weight = min(cl.weight+weightPerTask, maxWeight)
	tasks := max(cl.weight*tasksPerWeight, 1)
	cl.logRatio += (logRatio - cl.logRatio) / tasks
	cl.factor = math.Exp(cl.logRatio * cl.weight / (cl.weight + priorWeight))
}
