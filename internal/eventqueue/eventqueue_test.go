package eventqueue

import (
	"slices"
	"testing"

	"garnethitch/internal/micros"
)

// TestQueueOrder checks that events are taken in order of time, and events of the same time in the
// order in which they were added.
func TestQueueOrder(t *testing.T) {
	var q Queue
	var taken []string
	add := func(at micros.Micros, name string) {
		q.Add(at, func() { taken = append(taken, name) })
	}
	add(30, "late")
	add(10, "early")
	add(20, "first of two")
	add(20, "second of two")
	var times []micros.Micros
	for due, ok := q.Due(); ok; due, ok = q.Due() {
		at, run := q.Take()
		if at != due {
			t.Errorf("Take returned an event of time %d after Due returned %d", at, due)
		}
		times = append(times, at)
		run()
	}
	if want := []string{"early", "first of two", "second of two", "late"}; !slices.Equal(taken, want) {
		t.Errorf("taken %q, want %q", taken, want)
	}
	if want := []micros.Micros{10, 20, 20, 30}; !slices.Equal(times, want) {
		t.Errorf("times %v, want %v", times, want)
	}
}

// TestQueueEventAddsEvent checks that an event that is added by a running event is taken in order
// of time.
func TestQueueEventAddsEvent(t *testing.T) {
	var q Queue
	var taken []string
	q.Add(10, func() {
		taken = append(taken, "first")
		q.Add(15, func() { taken = append(taken, "added") })
	})
	q.Add(20, func() { taken = append(taken, "last") })
	for _, ok := q.Due(); ok; _, ok = q.Due() {
		_, run := q.Take()
		run()
	}
	if want := []string{"first", "added", "last"}; !slices.Equal(taken, want) {
		t.Errorf("taken %q, want %q", taken, want)
	}
}
