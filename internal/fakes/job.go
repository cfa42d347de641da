package fakes

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Job is the true state of a job, whatever the controllers know of it.
type Job struct {
	Submission wire.Submission
	TaskDurations       []micros.Micros // how long each task runs
	Progress   []micros.Micros // what a task has saved of that
	Done       map[int]bool    // tasks that are completed
	AlwaysFails      bool            // its tasks fail everywhere
	StartedAt  micros.Micros   // when its first task began; 0: none has
	DoneAt     micros.Micros   // when a task of it was last completed
}

// Completed reports whether all tasks are done.
func (j *Job) Completed() bool { return len(j.Done) == j.Submission.Tasks }

// hasTask reports whether the job hasTask a task of an index.
func (j *Job) hasTask(index int) bool { return index < j.Submission.Tasks }
