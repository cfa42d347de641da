package scheduling

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
)

// Victim is a task that may be stopped for one of higher priority.
type Victim struct {
	// Attempt is the index of the task's attempt in the list that the caller has of the machine.
	Attempt int
	// Job and Task identify the task; they decide between equal losses.
	Job  string
	Task int
	// Loss is what stopping it loses, in CPU seconds; see PreemptionLoss.Total.
	Loss float64
	// Resources is what stopping it frees.
	Resources Resources
}

// CheapestVictims returns the victims with the least loss that free enough for a task that needs
// need where free is left, and the sum of their losses added to cost. It reports false if all of
// them do not suffice. It sorts victims.
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

// compareVictims orders victims by loss, then by name.
func compareVictims(a, b Victim) int {
	return cmp.Or(cmp.Compare(a.Loss, b.Loss), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
}

// PreemptionLoss is what the loss of stopping a task depends on.
type PreemptionLoss struct {
	// RunTime is for how long the task has run, ExpectedRunTime how long it runs in all.
	RunTime, ExpectedRunTime micros.Micros
	// CheckpointInterval is the time between two saves; 0: the task cannot save.
	CheckpointInterval float64 // seconds
	CPUs               float64
	// Priority is the task's, from 0, the lowest, to 3.
	Priority int
	// EarlierPreemptions counts how often the task was stopped for others before.
	EarlierPreemptions int
	// OnlyRunningTask is set if the task is all that its overdue job has running.
	OnlyRunningTask bool
}

const (
	// preemptionCostPerPriority is what a stop costs the task's user by each step of priority, in CPU
	// seconds.
	preemptionCostPerPriority = 4
	// waitCostPerSecond is what it costs beside, by each step of priority and second of the
	// task's run time.
	waitCostPerSecond = 0.25
	// earlierPreemptionCost is what each earlier stop of a task adds to the loss of another, in CPU
	// seconds.
	earlierPreemptionCost = 25
	// onlyRunningTaskPreemptions is how many earlier stops the only running task of an overdue job counts
	// as.
	onlyRunningTaskPreemptions = 10
)

// workWeight returns the weight of a task's own work by its priority.
func workWeight(priority int) float64 {
	return [...]float64{0.25, 1, 2, 2}[priority]
}

// Total returns the loss in CPU seconds: the work that is done again, and what waiting longer
// costs the task's user, which counts the more the higher the priority, the longer the task and
// the more often it was stopped before. So the youngest tasks are the cheapest, and one that has
// just been started again is not.
func (l PreemptionLoss) Total() float64 {
	lostSeconds := l.RunTime.Seconds()
	if l.CheckpointInterval > 0 {
		lostSeconds = min(lostSeconds, l.CheckpointInterval)
	}
	stops := float64(l.EarlierPreemptions)
	if l.OnlyRunningTask {
		stops += onlyRunningTaskPreemptions
	}
	userCost := float64(l.Priority) * (preemptionCostPerPriority + waitCostPerSecond*l.ExpectedRunTime.Seconds())
	return lostSeconds*l.CPUs*workWeight(l.Priority) + userCost + earlierPreemptionCost*stops
}
