package scheduling

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Victim is a task that may be preempted by a task of higher priority.
type Victim struct {
	// Attempt is the index of the task's attempt in the caller's list for the machine.
	Attempt int
	// Job and Task identify the task. They order victims of equal loss.
	Job  string
	Task int
	// Loss is the cost of preempting the task, in CPU seconds; see PreemptionLoss.Total.
	Loss float64
	// Resources is what preempting the task frees.
	Resources Resources
}

// CheapestVictims returns the victims with the smallest losses that, together with the free
// resources, make room for a task that needs need. It also returns cost plus the sum of their
// losses. It returns false if preempting all victims is not enough. It sorts victims.
func CheapestVictims(victims []Victim, need, free Resources, cost float64) ([]Victim, float64, bool) {
	slices.SortFunc(victims, compareVictims)
	count := 0
	for count < len(victims) && !need.Fits(free) {
		victim := &victims[count]
		cost += victim.Loss
		free = free.Plus(victim.Resources)
		count++
	}
	return victims[:count], cost, need.Fits(free)
}

// compareVictims orders victims by loss, then by job and task.
func compareVictims(a, b Victim) int {
	return cmp.Or(cmp.Compare(a.Loss, b.Loss), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
}

// PreemptionLoss holds the values that determine the cost of preempting a task.
type PreemptionLoss struct {
	// RunTime is how long the task has run so far. ExpectedRunTime is its estimated total run
	// time.
	RunTime, ExpectedRunTime micros.Micros
	// CheckpointInterval is the time between two checkpoints of the task; 0 means that the task
	// cannot save checkpoints.
	CheckpointInterval float64 // seconds
	CPUs               float64
	// Priority is the effective priority of the task's job.
	Priority wire.Priority
	// EarlierPreemptions is how often the task has already been preempted.
	EarlierPreemptions int
	// OnlyRunningTask is true if the task's job is overdue and has no other task running.
	OnlyRunningTask bool
}

const (
	// preemptionCostPerPriority is the cost of a preemption to the task's user per priority level,
	// in CPU seconds.
	preemptionCostPerPriority = 4
	// waitCostPerSecond is the additional cost per priority level and per second of the task's
	// expected run time, in CPU seconds.
	waitCostPerSecond = 0.25
	// earlierPreemptionCost is what each earlier preemption of a task adds to its loss, in CPU
	// seconds.
	earlierPreemptionCost = 25
	// onlyRunningTaskPreemptions is the number of earlier preemptions that is added for the only
	// running task of an overdue job.
	onlyRunningTaskPreemptions = 10
)

// workWeights holds the weight of a task's lost work for each priority.
var workWeights = wire.PriorityTable[float64]{
	wire.PriorityLow:        0.25,
	wire.PriorityNormal:     1,
	wire.PriorityHigh:       2,
	wire.PriorityProduction: 2,
}

// Total returns the loss in CPU seconds. It is the sum of the work that must be repeated and the
// cost of the delay to the task's user. The cost of the delay grows with the priority, the
// expected run time and the number of earlier preemptions. As a result the tasks that started most
// recently are the cheapest victims, but a task that was just restarted after a preemption is not.
func (l PreemptionLoss) Total() float64 {
	lostSeconds := l.RunTime.Seconds()
	if l.CheckpointInterval > 0 {
		lostSeconds = min(lostSeconds, l.CheckpointInterval)
	}
	stops := float64(l.EarlierPreemptions)
	if l.OnlyRunningTask {
		stops += onlyRunningTaskPreemptions
	}
	waitCost := float64(waitCostPerSecond * l.ExpectedRunTime.Seconds())
	userCost := float64(float64(l.Priority) * (preemptionCostPerPriority + waitCost))
	lostWorkCost := float64(lostSeconds * l.CPUs * workWeights[l.Priority])
	return lostWorkCost + userCost + float64(earlierPreemptionCost*stops)
}
