// Package checkpoint converts between the progress of a job and its checkpoint record
// ("Version" in the paper), from which a new owner of the job continues. It consists of
// pure functions; reading and writing records is up to the caller.
package checkpoint

import (
	"slices"

	"garnethitch/internal/wire"
)

const (
	// MaxSteps is how many of a job's latest steps a checkpoint keeps at most.
	MaxSteps = 16
	// MaxRecoveries is how many of a job's latest recoveries a checkpoint keeps at most.
	MaxRecoveries = 8
)

// Sizes in bytes of the parts of a record in the textual form that the state service's
// limit counts.
const (
	stepBytes  = 75
	rangeBytes = 12
	wordBytes  = 21
	// otherBytes is for everything beside the steps and the done tasks.
	otherBytes = 250
	// limitPerStep is how many bytes of the limit allow for one step, so that steps
	// leave space for the done tasks.
	limitPerStep = 128
)

// minRangesForSet is how many ranges a record names before a set of words is considered.
const minRangesForSet = 16

// Progress is what a job has achieved.
type Progress struct {
	Tasks     int
	Done      TaskSet
	DoneCount int
	Steps     []wire.FinishedTask
	// Recoveries are the times of day, in milliseconds, of the job's recoveries.
	Recoveries []int64
}

// NewRecord returns the checkpoint record of p that takes at most maxBytes, and the done
// tasks that it names. Tasks that do not fit are left out: they would run again, which
// does no harm.
func NewRecord(p Progress, maxBytes int) (wire.CheckpointRecord, TaskSet) {
	rec := wire.CheckpointRecord{
		FinishedTasks: latestSteps(p.Steps, maxBytes),
		RecoveriesMS:  p.Recoveries,
	}
	remainingBytes := maxBytes - stepBytes*len(rec.FinishedTasks) - otherBytes
	if setIsShorter(p, remainingBytes) {
		rec.DoneBitmap = slices.Clone(p.Done)
		rec.DoneCount = p.DoneCount
		return rec, TaskSet(rec.DoneBitmap)
	}
	maxRanges := max(remainingBytes/rangeBytes, 1)
	covered := addRanges(&rec, p, maxRanges)
	return rec, covered
}

// latestSteps returns as many of the latest steps as maxBytes allows for.
func latestSteps(steps []wire.FinishedTask, maxBytes int) []wire.FinishedTask {
	limit := max(min(MaxSteps, maxBytes/limitPerStep), 1)
	if len(steps) <= limit {
		return steps
	}
	return steps[len(steps)-limit:]
}

// setIsShorter reports whether the done tasks as a set of words are shorter than as
// ranges, and fit.
func setIsShorter(p Progress, remainingBytes int) bool {
	ranges := countRanges(p)
	size := wordBytes * len(p.Done)
	return ranges > minRangesForSet && size < rangeBytes*ranges && size <= remainingBytes
}

// countRanges returns how many ranges the done tasks form.
func countRanges(p Progress) int {
	ranges := 0
	for task := range p.Tasks {
		if p.Done.Has(task) && (task == 0 || !p.Done.Has(task-1)) {
			ranges++
		}
	}
	return ranges
}

// addRanges adds the first maxRanges ranges of done tasks to a record, and returns the
// tasks in them.
func addRanges(rec *wire.CheckpointRecord, p Progress, maxRanges int) TaskSet {
	covered := NewTaskSet(p.Tasks)
	ranges := 0
	for task := 0; task < p.Tasks && ranges < maxRanges; {
		if !p.Done.Has(task) {
			task++
			continue
		}
		first := task
		for task < p.Tasks && p.Done.Has(task) {
			covered.Add(task)
			task++
		}
		rec.DoneRanges = append(rec.DoneRanges, first, task-1)
		rec.DoneCount += task - first
		ranges++
	}
	return covered
}

// DoneTasks returns the tasks that a record names as done, of a job with so many tasks.
// Indexes outside the job are ignored.
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
