package fakes

import (
	"sync"
	"time"

	"garnethitch/internal/eventqueue"
	"garnethitch/internal/micros"
)

// clockOrigin is the time that a new WallClock shows.
const clockOrigin = second

// WallClock is a Scheduler in real time. Timers are called from Run, one call at a time.
type WallClock struct {
	began time.Time
	mu    sync.Mutex
	now   micros.Micros
	queue eventqueue.Queue
}

// NewWallClock returns a clock that starts now.
func NewWallClock() *WallClock {
	return &WallClock{began: time.Now(), now: clockOrigin}
}

// Began returns the wall time at which the clock started.
func (c *WallClock) Began() time.Time { return c.began }

// Now returns the time of the current call to Run. It may only be called within Run.
func (c *WallClock) Now() micros.Micros { return c.now }

// After has Run call f once d has passed. It may only be called within Run.
func (c *WallClock) After(d micros.Micros, f func()) {
	c.queue.Add(c.now+max(d, 0), f)
}

// Run calls the timers that are due by now, and then f.
func (c *WallClock) Run(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = micros.FromDuration(time.Since(c.began)) + clockOrigin
	for at, more := c.queue.Due(); more && at <= c.now; at, more = c.queue.Due() {
		_, due := c.queue.Take()
		due()
	}
	f()
}
