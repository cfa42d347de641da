package authority

// Invariant names a condition that must hold whenever a controller acts. The texts are alarms
// of docs/operations.md.
type Invariant string

const (
	// RenewalStopsCancelledTasks means that no reply renews the lease of a machine on which a
	// cancelled task is left without its stop.
	RenewalStopsCancelledTasks Invariant = "a renewal stops cancelled tasks"
	// RenewalKeepsNoUnknownJob means that no reply renews the lease of a machine with a task of a
	// job that is not known to be open.
	RenewalKeepsNoUnknownJob Invariant = "a renewal feeds no task of an unknown job"
	// NoStartAfterEnd means that no start is sent for a job that has ended or is to be cancelled.
	NoStartAfterEnd Invariant = "no start of a job that is over"
)

// BrokenByRenewal returns the invariants that are broken if the lease of a machine is renewed
// which holds a task of this job status; stopPending is whether the task is cancelled and its
// stop has not been requested.
func BrokenByRenewal(stopPending bool, job JobStatus) []Invariant {
	var broken []Invariant
	if stopPending {
		broken = append(broken, RenewalStopsCancelledTasks)
	}
	if job != JobOpen {
		broken = append(broken, RenewalKeepsNoUnknownJob)
	}
	return broken
}

// BrokenByStart returns the invariants that are broken if a task of a job is started.
func BrokenByStart(jobEnded, jobCancelled bool) []Invariant {
	if jobEnded || jobCancelled {
		return []Invariant{NoStartAfterEnd}
	}
	return nil
}
