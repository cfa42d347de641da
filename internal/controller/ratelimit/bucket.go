// Package ratelimit keeps requests to a service within a rate. It reads no clock: the time is
// given to it.
package ratelimit

import "garnethitch/internal/micros"

// Bucket is a token bucket that holds at most a second's worth of tokens, and at least one
// token. It is full at the start. The zero value lets nothing through.
type Bucket struct {
	rate   float64 // tokens a second
	burst  float64 // tokens in a full bucket
	tokens float64
	// refilledAt is the time up to which the tokens have been added.
	refilledAt micros.Micros
}

// NewBucket returns a full bucket that gains rate tokens a second.
func NewBucket(rate float64) Bucket {
	burst := max(rate, 1)
	return Bucket{rate: rate, burst: burst, tokens: burst}
}

// StartAt sets the time from which on the bucket gains tokens.
func (b *Bucket) StartAt(now micros.Micros) { b.refilledAt = now }

// Refill adds the tokens gained since the last refill.
func (b *Bucket) Refill(now micros.Micros) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// Until returns how long after the last refill n tokens are there, 0 if they are. Where n is
// more than a full bucket holds, it returns how long until the bucket is full.
func (b *Bucket) Until(n float64) micros.Micros {
	n = min(n, b.burst)
	if b.tokens >= n {
		return 0
	}
	return micros.FromSeconds((n-b.tokens)/b.rate) + 1
}

// Take takes n tokens. The bucket may be left with less than none.
func (b *Bucket) Take(n float64) { b.tokens -= n }

// Rate returns the tokens that the bucket gains in a second.
func (b *Bucket) Rate() float64 { return b.rate }

// Burst returns the tokens in a full bucket.
func (b *Bucket) Burst() float64 { return b.burst }

// Tokens returns the tokens that were left at the last refill.
func (b *Bucket) Tokens() float64 { return b.tokens }
