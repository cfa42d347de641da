// Package micros is the unit of time that garnethitch computes with: whole microseconds.
// Seconds and milliseconds are converted where they are read and written.
package micros

import (
	"math"
	"time"
)

// Micros is a point on a clock, or a span, in whole microseconds.
type Micros int64

// Common spans.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000_000
	Minute      Micros = 60 * Second
	// Never lies beyond any reachable time but leaves room for sums.
	Never Micros = math.MaxInt64 / 4
)

// FromSeconds converts seconds, rounded to the nearest microsecond and clamped to ±Never. NaN
// becomes 0.
func FromSeconds(s float64) Micros {
	v := s * float64(Second)
	switch {
	case math.IsNaN(v):
		return 0
	case v >= float64(Never):
		return Never
	case v <= -float64(Never):
		return -Never
	}
	return Micros(math.Round(v))
}

// FromDuration converts a time.Duration, rounded toward zero.
func FromDuration(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Seconds returns the span in seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Millis returns the span in whole milliseconds, rounded down.
func (m Micros) Millis() int64 { return int64(m / Millisecond) }

// Duration returns the span as a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }
