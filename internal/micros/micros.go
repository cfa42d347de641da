// Package micros defines the unit of time used in garnethitch: whole microseconds. Values in
// seconds and milliseconds are converted where they are read and written.
package micros

import (
	"math"
	"time"
)

// Micros is a point in time or a duration in whole microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000_000
	Minute      Micros = 60 * Second
	// Never is later than any reachable time. It is a quarter of the maximum, so that
	// sums of a few such values do not overflow.
	Never Micros = math.MaxInt64 / 4
)

// FromSeconds converts seconds to Micros, rounded to the nearest microsecond and clamped to
// ±Never. NaN is converted to 0.
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

// FromDuration converts a time.Duration to Micros, rounded toward zero.
func FromDuration(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Seconds returns m in seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Millis returns m in whole milliseconds, rounded toward zero.
func (m Micros) Millis() int64 { return int64(m / Millisecond) }

// Duration returns m as a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }
