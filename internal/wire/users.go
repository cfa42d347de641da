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

// States of a job as users see them (protocol: "GET /submissions/{id}").
const (
	StatePending   = "pending"
	StateRunning   = "running"
	StateDone      = "done"
	StateCancelled = "cancelled"
)

// JobAnswer is the answer to a user's request about a job.
type JobAnswer struct {
	ID      string `cbor:"nameId"`
	State   string `cbor:"stance"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}
