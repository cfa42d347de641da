package fakes

import (
	"sync"
	"time"

	"garnethitch/internal/eventqueue"
	"garnethitch/internal/micros"
)

// clockOrigin is the time at which a WallClock begins.
const clockOrigin = second

// WallClock is a Scheduler in real time. What is due happens within Run, one call at a time.
type WallClock struct {
	began time.Time
	mu    sync.Mutex
	now   micros.Micros
	queue eventqueue.Queue
}

// NewWallClock returns a clock that begins now.
func NewWallClock() *WallClock {
	return &WallClock{began: time.Now(), now: clockOrigin}
}

// Began returns when the clock began.
func (c *WallClock) Began() time.Time { return c.began }

// Now returns the time of the present call to Run. It may be called within Run only.
func (c *WallClock) Now() micros.Micros { return c.now }

// After calls f once the duration has passed. It may be called within Run only.
func (c *WallClock) After(d micros.Micros, f func()) {
	c.queue.Add(c.now+max(d, 0), f)
}

// Run calls f at the present time, after what is due by then.
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
