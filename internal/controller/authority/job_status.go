package authority

import "garnethitch/internal/micros"

// JobStatus is what a controller knows about the job of a task that a machine lists.
type JobStatus int

const (
	// JobOpen means that the job is open, or cannot have ended before the view of jobs was last
	// complete.
	JobOpen JobStatus = iota
	// JobEnded means that the job has ended.
	JobEnded
	// JobStatusUnknown means that the job may have ended at any time, or may just have been
	// accepted.
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

// JobsView describes how complete a controller's view of jobs is.
type JobsView struct {
	// Current is true if the view is at least as new as the claim of the task's shard.
	Current bool
	// OwnerEpoch is the revision of the claim of the task's shard.
	OwnerEpoch uint64
	// Revision is the revision of the state service up to which the view is complete.
	Revision uint64
	// CompleteAsOf is the time at which the view was last complete.
	CompleteAsOf micros.Micros
}

// TaskKnowledge is what a controller knows about a task on a machine, and about the task's job.
type TaskKnowledge struct {
	// JobEnded is true if the controller remembers that the job has ended. JobOpen is true if the
	// controller knows the job as open.
	JobEnded, JobOpen bool
	// StartEpoch is the revision of the claim under which the task was started.
	StartEpoch uint64
	// SeenAt is a time by which the task had been seen on the machine. It may be later than the
	// time at which the task was first seen; the later it is, the less certain is the status.
	SeenAt micros.Micros
	Now    micros.Micros
}

// JobStatusOf returns what a controller knows about the job of a task. The job may be missing from
// the controller's memory, because only a limited number of ended jobs is kept. A job is recorded
// before any of its tasks is started, so a view that includes the record but does not list the job
// as open shows that the job has ended.
func JobStatusOf(task TaskKnowledge, view JobsView, bounds Bounds) JobStatus {
	switch {
	case task.JobEnded:
		return JobEnded
	case task.JobOpen:
		return JobOpen
	case view.Current && task.StartEpoch <= view.OwnerEpoch:
		// The task was started under a claim that the view includes. No former owner can have
		// started a task of a job that was accepted after the view caught up with this node's
		// claim, and every job of which this node has started a task was open in its memory.
		return JobEnded
	case view.CompleteAsOf > task.SeenAt:
		return JobEnded // the job's record is older than the task, and the task is older than the view
	case task.StartEpoch > view.Revision && task.Now < view.CompleteAsOf+bounds.StaleViewGrace:
		// The owner that started the task knew of all jobs that had ended before its own claim. If
		// the job has ended, it ended after the view was complete.
		return JobOpen
	}
	return JobStatusUnknown
}
