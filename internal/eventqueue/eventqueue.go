// Package eventqueue is the queue of events of a simulation.
package eventqueue

import (
	"container/heap"

	"garnethitch/internal/micros"
)

// Queue holds what is to happen, in order of time; what is due at one instant happens in
// the order in which it was added. The zero value is empty.
type Queue struct {
	events events
	added  uint64
}

type event struct {
	at  micros.Micros
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Add has f happen at an instant.
func (q *Queue) Add(at micros.Micros, f func()) {
	q.added++
	heap.Push(&q.events, event{at, q.added, f})
}

// Due tells when the next event happens; ok is false if there is none.
func (q *Queue) Due() (at micros.Micros, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Take removes the next event, and gives when it happens and what.
func (q *Queue) Take() (at micros.Micros, f func()) {
	e := heap.Pop(&q.events).(event)
	return e.at, e.f
}
