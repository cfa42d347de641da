package checkpoint

import (
	"iter"
	"math/bits"
)

const wordBits = 64

// TaskSet is a set of a job's task indexes, stored as a bit set. NewTaskSet determines its size;
// the methods may panic for an index beyond it.
type TaskSet []uint64

// NewTaskSet returns an empty set for the indexes from 0 to tasks-1.
func NewTaskSet(tasks int) TaskSet { return make(TaskSet, (tasks+wordBits-1)/wordBits) }

// Has reports whether the task is in the set.
func (s TaskSet) Has(task int) bool { return s[task/wordBits]&(1<<(task%wordBits)) != 0 }

// Add adds the task and reports whether it was not in the set before.
func (s TaskSet) Add(task int) bool {
	if s.Has(task) {
		return false
	}
	s[task/wordBits] |= 1 << (task % wordBits)
	return true
}

// All yields the tasks of the set in ascending order.
func (s TaskSet) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for i, word := range s {
			for ; word != 0; word &= word - 1 {
				if !yield(i*wordBits + bits.TrailingZeros64(word)) {
					return
				}
			}
		}
	}
}
