package wire

import "slices"

// Priority is the priority of a job (protocol: "Preemption"). Priorities are ordered: work of a
// higher one may take the place of work of a lower one. Tables with a value for each priority are
// PriorityTables, so that none leaves a priority out.
type Priority int

// Priorities of jobs in ascending order.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
	priorityCount
)

// PriorityTable holds a value for each priority.
type PriorityTable[T any] [priorityCount]T

// priorityWords holds the word of the protocol for each priority.
var priorityWords = PriorityTable[string]{
	PriorityLow:        "best_effort",
	PriorityNormal:     "standard",
	PriorityHigh:       "high",
	PriorityProduction: "prod",
}

// PriorityWords returns the words of the protocol for all priorities, in ascending order of
// priority.
func PriorityWords() []string { return slices.Clone(priorityWords[:]) }

// PriorityOf returns the priority that a word of the protocol stands for. It returns false for
// known if there is no such priority.
func PriorityOf(word string) (priority Priority, known bool) {
	i := slices.Index(priorityWords[:], word)
	if i < 0 {
		return PriorityLow, false
	}
	return Priority(i), true
}
