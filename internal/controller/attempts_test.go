package controller

import "testing"

// TestAttemptNumber checks that an attempt number encodes the epoch of the owner that started the
// attempt, whatever the value of the counter.
func TestAttemptNumber(t *testing.T) {
	for _, tc := range []struct {
		name           string
		epoch, counter uint64
		want           uint64
	}{
		{"first attempt", 7, 1, 7<<32 | 1},
		{"largest counter", 7, 1<<32 - 1, 7<<32 | (1<<32 - 1)},
		{"counter wraps around", 7, 1<<32 + 3, 7<<32 | 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := attemptNumber(tc.epoch, tc.counter)
			if got != tc.want {
				t.Errorf("number %#x, want %#x", got, tc.want)
			}
			if epoch := epochOfAttempt(got); epoch != tc.epoch {
				t.Errorf("epoch %d, want %d", epoch, tc.epoch)
			}
		})
	}
}
