// Package eventqueue provides the queue of timed events of a simulation.
package eventqueue

import (
	"container/heap"

	"garnethitch/internal/micros"
)

// Queue is a priority queue of events, ordered by time. Events of the same time are taken in the
// order in which they were added. The zero value is an empty queue.
type Queue struct {
	events eventHeap
	added  uint64 // number of events ever added
}

type event struct {
	at       micros.Micros
	sequence uint64
	run      func()
}

// eventHeap implements heap.Interface, with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	*h = (*h)[:last]
	return removed
}

// Add adds an event that calls run at the given time.
func (q *Queue) Add(at micros.Micros, run func()) {
	q.added++
	heap.Push(&q.events, event{at: at, sequence: q.added, run: run})
}

// Due returns the time of the next event; ok is false if the queue is empty.
func (q *Queue) Due() (at micros.Micros, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Take removes and returns the next event. It panics if the queue is empty.
func (q *Queue) Take() (at micros.Micros, run func()) {
	next := heap.Pop(&q.events).(event)
	return next.at, next.run
}
