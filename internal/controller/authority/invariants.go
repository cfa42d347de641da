package authority

// Invariant names a condition that must hold whenever a controller acts. Operators set alarms on
// the texts (docs/operations.md).
type Invariant string

const (
	// RenewalStopsCancelledTasks requires that no reply renews the lease of a machine that holds a
	// cancelled task whose stop has not been requested.
	RenewalStopsCancelledTasks Invariant = "a renewal stops cancelled tasks"
	// RenewalKeepsNoUnknownJob requires that no reply renews the lease of a machine that holds a
	// task of a job that is not known to be open.
	RenewalKeepsNoUnknownJob Invariant = "a renewal feeds no task of an unknown job"
	// NoStartAfterEnd requires that no start is sent for a job that has ended or is to be
	// cancelled.
	NoStartAfterEnd Invariant = "no start of a job that is over"
)

// BrokenByRenewal returns the invariants that are broken by renewing the lease of a machine that
// holds a task of a job with the given status. stopPending is true if the task is cancelled and
// its stop has not been requested.
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

// BrokenByStart returns the invariants that are broken by starting a task of a job.
func BrokenByStart(jobEnded, jobCancelled bool) []Invariant {
	if jobEnded || jobCancelled {
		return []Invariant{NoStartAfterEnd}
	}
	return nil
}
