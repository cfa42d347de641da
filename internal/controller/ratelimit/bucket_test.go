package ratelimit

import (
	"testing"

	"garnethitch/internal/micros"
)

func TestBucket(t *testing.T) {
	for _, tc := range []struct {
		name   string
		rate   float64
		taken  float64
		after  micros.Micros // time between the taking and the refill
		wanted float64
		tokens float64
		until  micros.Micros
	}{
		{"full at the start", 10, 0, 0, 10, 10, 0},
		{"empty", 10, 10, 0, 1, 0, micros.Second/10 + 1},
		{"partly refilled", 10, 10, micros.Second / 2, 5, 5, 0},
		{"holds no more than its burst", 10, 5, micros.Minute, 10, 10, 0},
		{"more than the burst waits for a full bucket", 10, 5, 0, 40, 5, micros.Second/2 + 1},
		{"more tokens taken than available", 10, 20, 0, 1, -10, micros.Second + micros.Second/10 + 1},
		{"holds one token at a low rate", 0.5, 1, 0, 1, 0, 2*micros.Second + 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBucket(tc.rate)
			b.StartAt(micros.Minute)
			b.Take(tc.taken)
			b.Refill(micros.Minute + tc.after)
			if got := b.Tokens(); got != tc.tokens {
				t.Errorf("%v tokens, want %v", got, tc.tokens)
			}
			if got := b.Until(tc.wanted); got != tc.until {
				t.Errorf("%v until %v tokens are there, want %v", got, tc.wanted, tc.until)
			}
		})
	}
}
