package authority

import "garnethitch/internal/micros"

// JobStatus is what a controller knows of the job of a task that a machine lists.
type JobStatus int

const (
	// JobOpen is a job that is open, or can't have ended when the view of jobs was last
	// complete.
	JobOpen JobStatus = iota
	// JobEnded is a job that has ended.
	JobEnded
	// JobStatusUnknown is a job that may have ended at any time, or may just have been accepted.
	JobStatusUnknown
)

// String returns the name of the status.
func (s JobStatus) String() string {
	switch s {
	case JobOpen:
		return "open"
	case JobEnded:
		return "ended"
	}
	return "unknown"
}

// JobsView is how complete a controller's view of jobs is.
type JobsView struct {
	// Current is whether the view is at least as new as the claim of the task's shard.
	Current bool
	// OwnerEpoch is the revision of that claim.
	OwnerEpoch uint64
	// Revision is the revision of the state service up to which the view is complete.
	Revision uint64
	// CompleteAsOf is when it was last complete.
	CompleteAsOf micros.Micros
}

// TaskKnowledge is what a controller knows of a task on a machine, and of its job.
type TaskKnowledge struct {
	// JobEnded is whether the job is remembered as ended, JobOpen whether it is known as open.
	JobEnded, JobOpen bool
	// StartEpoch is the revision of the claim under which the task was started.
	StartEpoch uint64
	// FirstSeenAt is since when the task has been seen on the machine.
	FirstSeenAt micros.Micros
	Now         micros.Micros
}

// JobStatusOf returns what a controller knows of a task's job, which need not be in its memory:
// only so many ends are kept. A job is on record before a task of it is started, so a view that
// includes the record and does not have the job open shows that it has ended.
func JobStatusOf(task TaskKnowledge, view JobsView, bounds Bounds) JobStatus {
	switch {
	case task.JobEnded:
		return JobEnded
	case task.JobOpen:
		return JobOpen
	case view.Current && task.StartEpoch <= view.OwnerEpoch:
		// Started under a claim that the view includes. No former owner can have started what
		// was accepted after the view was brought up to this node's claim; and what this node
		// started was open in its memory.
		return JobEnded
	case view.CompleteAsOf > task.FirstSeenAt:
		return JobEnded // the record is older than the task, and the task than the view
	case task.StartEpoch > view.Revision && task.Now < view.CompleteAsOf+bounds.StaleViewGrace:
		// Its starter knew all ends up to its own claim. If the job has ended, that was
		// after the view was complete.
		return JobOpen
	}
	return JobStatusUnknown
}
