package wire

// Priorities of jobs, low to high (protocol: "Preemption").
const (
	PriorityLow = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

// PriorityOf returns the priority that a word of the protocol names.
func PriorityOf(word string) (priority int, known bool) {
	switch word {
	case "best_effort":
		return PriorityLow, true
	case "standard":
		return PriorityNormal, true
	case "high":
		return PriorityHigh, true
	case "prod":
		return PriorityProduction, true
	}
	return 0, false
}

// JobState is the state of a job as users see it (protocol: "GET /submissions/{id}").
type JobState string

// States of a job.
const (
	StatePending   JobState = "pending"
	StateRunning   JobState = "running"
	StateDone      JobState = "done"
	StateCancelled JobState = "cancelled"
)

// Final reports whether a job in the state is over.
func (s JobState) Final() bool { return s == StateDone || s == StateCancelled }

// JobAnswer is the answer to a user's request about a job.
type JobAnswer struct {
	ID      string   `cbor:"nameId"`
	State   JobState `cbor:"stance"`
	Done    *int     `cbor:"done,omitempty"`
	Running *int     `cbor:"running,omitempty"`
}
