package checkpoint

import (
	"slices"
	"testing"

	"garnethitch/internal/wire"
)

const testMaxBytes = 8 << 10

// progressOf returns the progress of a job in which the tasks selected by done are done.
func progressOf(tasks int, done func(task int) bool) Progress {
	p := Progress{Tasks: tasks, Done: NewTaskSet(tasks)}
	for task := range tasks {
		if done(task) {
			p.Done.Add(task)
			p.DoneCount++
		}
	}
	return p
}

// TestNewRecord checks that a record lists the done tasks as ranges or as a set, and that
// DoneTasks reads the same tasks back.
func TestNewRecord(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tasks  int
		done   func(task int) bool
		ranges []int
		count  int
		set    bool
	}{
		{"none", 10, func(int) bool { return false }, nil, 0, false},
		{"all", 10, func(int) bool { return true }, []int{0, 9}, 10, false},
		{"all but one", 6, func(i int) bool { return i != 3 }, []int{0, 2, 4, 5}, 5, false},
		{"last only", 100_000, func(i int) bool { return i == 99_999 }, []int{99_999, 99_999}, 1, false},
		{"every other task of 2,000: more ranges than fit", 2000, func(i int) bool { return i%2 == 0 }, nil, 1000, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := progressOf(tc.tasks, tc.done)
			rec, covered := NewRecord(p, testMaxBytes)
			if rec.DoneCount != tc.count {
				t.Fatalf("%d done, want %d", rec.DoneCount, tc.count)
			}
			if tc.set != (rec.DoneBitmap != nil) {
				t.Fatalf("a set of %d words, want a set: %v", len(rec.DoneBitmap), tc.set)
			}
			if !slices.Equal(rec.DoneRanges, tc.ranges) {
				t.Errorf("ranges %v, want %v", rec.DoneRanges, tc.ranges)
			}
			if !slices.Equal(covered, p.Done) {
				t.Error("the tasks covered are not those done")
			}
			if got := DoneTasks(rec, tc.tasks); !slices.Equal(got, p.Done) {
				t.Error("the tasks read back are not those done")
			}
		})
	}
}

// TestDoneTasksIgnoresIndexesOutsideJob checks that a damaged record, or a record of a job of
// another size, yields no task outside the job.
func TestDoneTasksIgnoresIndexesOutsideJob(t *testing.T) {
	for _, tc := range []struct {
		name string
		rec  wire.CheckpointRecord
		want []int
	}{
		{"range beyond both ends", wire.CheckpointRecord{DoneRanges: []int{-3, 9}}, []int{0, 1, 2}},
		{"range without an end", wire.CheckpointRecord{DoneRanges: []int{0, 1, 2}}, []int{0, 1}},
		{"set beyond the end", wire.CheckpointRecord{DoneBitmap: []uint64{1<<2 | 1<<5, 1}}, []int{2}},
		{"range and set", wire.CheckpointRecord{DoneRanges: []int{0, 1}, DoneBitmap: []uint64{1 << 1}}, []int{0, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := slices.Collect(DoneTasks(tc.rec, 3).All())
			if !slices.Equal(got, tc.want) {
				t.Errorf("tasks %v, want %v", got, tc.want)
			}
		})
	}
}

// TestNewRecordFitsLimit checks that the largest record fits the size limit, and covers only tasks
// that are done.
func TestNewRecordFitsLimit(t *testing.T) {
	p := progressOf(wire.MaxTasks, func(i int) bool { return i%2 == 0 })
	for range MaxFinishedTasks {
		p.FinishedTasks = append(p.FinishedTasks, wire.FinishedTask{Task: 99_999, Machine: "vm-000000000", StartMS: 1 << 41, EndMS: 1 << 41})
	}
	rec, covered := NewRecord(p, testMaxBytes)
	value, err := wire.Encode(rec)
	if err != nil || len(value) > testMaxBytes || rec.DoneCount == 0 {
		t.Errorf("the largest record has %d bytes for %d done tasks, error %v; want it within the limit, with done tasks", len(value), rec.DoneCount, err)
	}
	for task := range covered.All() {
		if !p.Done.Has(task) {
			t.Fatalf("task %d is covered but not done", task)
		}
	}
}
