package fakes

import "garnethitch/internal/micros"

// writeLimit is a token bucket that limits the changes per second. It holds at most the tokens
// of one second.
type writeLimit struct {
	rate, tokens float64
	updatedAt    micros.Micros
}

func newWriteLimit(rate float64) *writeLimit { return &writeLimit{rate: rate, tokens: rate} }

// take reports whether the given number of writes is within the limit now, and consumes their
// tokens if so.
func (l *writeLimit) take(now micros.Micros, writes int) bool {
	l.tokens = min(l.rate, l.tokens+float64(l.rate*(now-l.updatedAt).Seconds()))
	l.updatedAt = now
	if l.tokens < float64(writes) {
		return false
	}
	l.tokens -= float64(writes)
	return true
}
