// Package eventqueue is the queue of events of a simulation.
package eventqueue

import (
	"container/heap"

	"garnethitch/internal/micros"
)

// Queue holds events in order of time, and events of the same time in the order in which they
// were added. The zero value is empty.
type Queue struct {
	events eventHeap
	added  uint64 // number of events
}

type event struct {
	at       micros.Micros
	sequence uint64
	run      func()
}

// eventHeap implements heap.Interface.
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

// Add adds an event at a time.
func (q *Queue) Add(at micros.Micros, run func()) {
	q.added++
	heap.Push(&q.events, event{at: at, sequence: q.added, run: run})
}

// Due returns the time of the next event; ok is false if there is none.
func (q *Queue) Due() (at micros.Micros, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Take removes the next event and returns it. The queue must not be empty.
func (q *Queue) Take() (at micros.Micros, run func()) {
	next := heap.Pop(&q.events).(event)
	return next.at, next.run
}
