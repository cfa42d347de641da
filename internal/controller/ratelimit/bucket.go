// Package ratelimit limits the rate of requests to a service. It reads no clock; callers pass the
// current time.
package ratelimit

import "garnethitch/internal/micros"

// Bucket is a token bucket. It holds at most the tokens gained in a second, or one token if that
// is more. It is full at the start. The zero value never has a token.
type Bucket struct {
	rate   float64 // tokens per second
	burst  float64 // capacity in tokens
	tokens float64
	// refilledAt is the time up to which tokens have been added.
	refilledAt micros.Micros
}

// NewBucket returns a full bucket that gains rate tokens per second.
func NewBucket(rate float64) Bucket {
	burst := max(rate, 1)
	return Bucket{rate: rate, burst: burst, tokens: burst}
}

// StartAt sets the time from which the bucket gains tokens.
func (b *Bucket) StartAt(now micros.Micros) { b.refilledAt = now }

// Refill adds the tokens gained since the last refill.
func (b *Bucket) Refill(now micros.Micros) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.burst, b.tokens+float64(b.rate*(now-b.refilledAt).Seconds()))
	b.refilledAt = now
}

// Until returns how long after the last refill the bucket will hold n tokens, or 0 if it already
// does. If n exceeds the capacity of the bucket, it returns how long until the bucket is full.
func (b *Bucket) Until(n float64) micros.Micros {
	n = min(n, b.burst)
	if b.tokens >= n {
		return 0
	}
	return micros.FromSeconds((n-b.tokens)/b.rate) + 1
}

// Take removes n tokens. The number of tokens may become negative.
func (b *Bucket) Take(n float64) { b.tokens -= n }

// Rate returns the number of tokens that the bucket gains per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Burst returns the capacity of the bucket in tokens.
func (b *Bucket) Burst() float64 { return b.burst }

// Tokens returns the number of tokens after the last refill and the takes since.
func (b *Bucket) Tokens() float64 { return b.tokens }
