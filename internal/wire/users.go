package wire

// Priorities of jobs in ascending order (protocol: "Preemption").
const (
	PriorityLow = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

// PriorityOf returns the priority that a word of the protocol stands for. It returns false for
// known if there is no such priority.
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

// Final reports whether the state is final: the job is done or cancelled.
func (s JobState) Final() bool { return s == StateDone || s == StateCancelled }

// JobAnswer is the response to a user's request about a job.
type JobAnswer struct {
	ID      string   `cbor:"nameId"`
	State   JobState `cbor:"stance"`
	Done    *int     `cbor:"done,omitempty"`    // number of tasks
	Running *int     `cbor:"running,omitempty"` // number of tasks
}
