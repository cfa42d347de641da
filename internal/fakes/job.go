package fakes

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Job is the true state of a job, independent of what the controllers know about it.
type Job struct {
	Submission    wire.Submission
	TaskDurations []micros.Micros // how long each task runs
	Progress      []micros.Micros // how much of that each task has saved
	Done          map[int]bool    // indexes of the completed tasks
	AlwaysFails   bool            // its tasks fail on every machine
	StartedAt     micros.Micros   // when its first task began to run; 0: none has
	DoneAt        micros.Micros   // when one of its tasks was last completed
}

// Completed reports whether all tasks are done.
func (j *Job) Completed() bool { return len(j.Done) == j.Submission.Tasks }

// hasTask reports whether the job has a task with the given index.
func (j *Job) hasTask(index int) bool { return index < j.Submission.Tasks }
