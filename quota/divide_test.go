package quota

import "testing"

// TestDivide checks that guarantees come first, that the rest is divided evenly in whole tasks,
// and that a claim without a running task is not left out forever.
func TestDivide(t *testing.T) {
	claim := func(used, want, guaranteed, task float64, sinceMS int64) Claim {
		return Claim{
			Used:           Amount{CPUs: used},
			Want:           Amount{CPUs: want},
			Guaranteed:     Amount{CPUs: guaranteed},
			SmallestTask:   Amount{CPUs: task},
			WaitingSinceMS: sinceMS,
		}
	}
	for _, tc := range []struct {
		name   string
		limit  float64
		claims []Claim
		want   []float64
	}{
		{"enough for all", 10, []Claim{claim(0, 3, 0, 1, 1), claim(0, 4, 0, 1, 1)}, []float64{3, 4}},
		{"an even division", 10, []Claim{claim(0, 20, 0, 1, 1), claim(0, 20, 0, 1, 1)}, []float64{5, 5}},
		{"small claims first", 12, []Claim{claim(0, 2, 0, 1, 1), claim(0, 20, 0, 1, 1), claim(0, 20, 0, 1, 1)}, []float64{2, 5, 5}},
		{"the guarantee first", 10, []Claim{claim(0, 8, 8, 1, 1), claim(10, 20, 0, 1, 1)}, []float64{8, 2}},
		{"guarantees above the limit", 6, []Claim{claim(0, 8, 8, 1, 1), claim(0, 8, 8, 1, 1)}, []float64{3, 3}},
		{"whole tasks, the oldest first", 10, []Claim{claim(0, 20, 0, 4, 2), claim(0, 20, 0, 4, 1), claim(0, 20, 0, 4, 3)}, []float64{4, 4, 0}},
		{"a large task beside small ones", 10, []Claim{claim(9, 30, 0, 1, 5), claim(0, 8, 0, 8, 1)}, []float64{2, 8}},
		{"a limit of zero", 0, []Claim{claim(0, 5, 5, 1, 1)}, []float64{0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for i, got := range Divide(Amount{CPUs: tc.limit}, tc.claims) {
				if !got.Equal(Amount{CPUs: tc.want[i]}) {
					t.Errorf("claim %d gets %g CPUs, want %g", i, got.CPUs, tc.want[i])
				}
			}
		})
	}
}
