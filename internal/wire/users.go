package wire

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
