// Package checkpoint converts between the progress of a job and its checkpoint record ("Version"
// in the paper). A new owner of the job continues from the record. The package consists of pure
// functions; the caller reads and writes the records.
package checkpoint

import (
	"slices"

	"garnethitch/internal/wire"
)

const (
	// MaxFinishedTasks is the maximum number of finished tasks, the latest of a job, that a
	// checkpoint lists.
	MaxFinishedTasks = 16
	// MaxRecoveries is the maximum number of a job's latest recoveries that a checkpoint keeps.
	MaxRecoveries = 8
)

// Sizes in bytes of the parts of a record in the textual form that the state service's
// limit counts.
const (
	finishedTaskBytes = 75
	rangeBytes        = 12
	wordBytes         = 21
	// otherBytes is the size of everything in a record except the list of the latest finished
	// tasks and the set of all done tasks.
	otherBytes = 250
	// limitPerFinishedTask is the part of the size limit that allows for one entry of the list of
	// finished tasks. It exceeds finishedTaskBytes so that space is left for the set of done tasks.
	limitPerFinishedTask = 128
)

// minRangesForSet is the number of ranges up to which a record always uses ranges rather than a
// set of words.
const minRangesForSet = 16

// Progress is the progress of a job.
type Progress struct {
	Tasks         int
	Done          TaskSet
	DoneCount     int
	FinishedTasks []wire.FinishedTask
	// RecoveriesMS holds the times of the job's recoveries, as wall-clock times in milliseconds.
	RecoveriesMS []int64
}

// NewRecord returns the checkpoint record of a job's progress that takes at most maxBytes, and the
// done tasks that the record covers. Done tasks that do not fit are omitted; a new owner would run
// them again, which is harmless.
func NewRecord(progress Progress, maxBytes int) (wire.CheckpointRecord, TaskSet) {
	rec := wire.CheckpointRecord{
		FinishedTasks: latestFinishedTasks(progress.FinishedTasks, maxBytes),
		RecoveriesMS:  progress.RecoveriesMS,
	}
	remainingBytes := maxBytes - finishedTaskBytes*len(rec.FinishedTasks) - otherBytes
	if setIsShorter(progress, remainingBytes) {
		rec.DoneBitmap = slices.Clone(progress.Done)
		rec.DoneCount = progress.DoneCount
		return rec, TaskSet(rec.DoneBitmap)
	}
	maxRanges := max(remainingBytes/rangeBytes, 1)
	covered := addRanges(&rec, progress, maxRanges)
	return rec, covered
}

// latestFinishedTasks returns the last entries of tasks, as many as maxBytes allows.
func latestFinishedTasks(tasks []wire.FinishedTask, maxBytes int) []wire.FinishedTask {
	limit := max(min(MaxFinishedTasks, maxBytes/limitPerFinishedTask), 1)
	if len(tasks) <= limit {
		return tasks
	}
	return tasks[len(tasks)-limit:]
}

// setIsShorter reports whether encoding the done tasks as a set of words is shorter than encoding
// them as ranges, and fits into remainingBytes.
func setIsShorter(progress Progress, remainingBytes int) bool {
	ranges := countRanges(progress)
	size := wordBytes * len(progress.Done)
	return ranges > minRangesForSet && size < rangeBytes*ranges && size <= remainingBytes
}

// countRanges returns the number of ranges of consecutive done tasks.
func countRanges(progress Progress) int {
	ranges := 0
	for task := range progress.Tasks {
		if progress.Done.Has(task) && (task == 0 || !progress.Done.Has(task-1)) {
			ranges++
		}
	}
	return ranges
}

// addRanges adds the first maxRanges ranges of done tasks to a record and returns the tasks in
// these ranges.
func addRanges(rec *wire.CheckpointRecord, progress Progress, maxRanges int) TaskSet {
	covered := NewTaskSet(progress.Tasks)
	ranges := 0
	for task := 0; task < progress.Tasks && ranges < maxRanges; {
		if !progress.Done.Has(task) {
			task++
			continue
		}
		first := task
		for task < progress.Tasks && progress.Done.Has(task) {
			covered.Add(task)
			task++
		}
		rec.DoneRanges = append(rec.DoneRanges, first, task-1)
		rec.DoneCount += task - first
		ranges++
	}
	return covered
}

// DoneTasks returns the tasks that a record lists as done, for a job with the given number of
// tasks. Indexes outside the job are ignored.
func DoneTasks(rec wire.CheckpointRecord, tasks int) TaskSet {
	done := NewTaskSet(tasks)
	for i := 0; i+1 < len(rec.DoneRanges); i += 2 {
		first, last := rec.DoneRanges[i], rec.DoneRanges[i+1]
		for task := max(first, 0); task <= last && task < tasks; task++ {
			done.Add(task)
		}
	}
	set := TaskSet(rec.DoneBitmap)
	for task := range min(tasks, wordBits*len(set)) {
		if set.Has(task) {
			done.Add(task)
		}
	}
	return done
}
