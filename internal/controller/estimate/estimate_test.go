package estimate

import (
	"fmt"
	"math"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const sec = micros.Second

func near(got, want, tolerance float64) bool { return math.Abs(got-want) <= tolerance*want }

// TestRunTimesLearn checks that an estimate approaches the run times of its class, within bounds.
func TestRunTimesLearn(t *testing.T) {
	for _, tc := range []struct {
		name      string
		estimateS float64
		tookS     float64
		tasks     int
		wantS     float64
	}{
		{"nothing learned", 10, 0, 0, 10},
		{"no estimate", 0, 5, 50, minEstimateS},
		{"as estimated", 10, 10, 50, 10},
		{"one task counts for little", 10, 20, 1, 10 * math.Pow(2, 0.2/4.2)},
		{"many tasks count for most", 10, 20, 1000, 10 * math.Pow(2, 40.0/44)},
		{"shorter", 10, 5, 1000, 10 * math.Pow(2, -40.0/44)},
		{"much longer, counted up to the bound", 10, 10_000, 1000, 10 * math.Exp(maxLogRatio*40/44)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRunTimes()
			sub := &wire.Submission{Class: "a", EstimateS: tc.estimateS}
			for range tc.tasks {
				r.Learn(sub, micros.FromSeconds(tc.tookS))
			}
			if got := r.Expect(sub).Seconds(); !near(got, tc.wantS, 0.001) {
				t.Errorf("expects %v s, want %v s", got, tc.wantS)
			}
		})
	}
}

// TestRunTimesClasses checks that each class is learned separately, and that no more than
// maxClasses are learned.
func TestRunTimesClasses(t *testing.T) {
	r := NewRunTimes()
	for i := range maxClasses + 5 {
		sub := &wire.Submission{Class: fmt.Sprint(i), EstimateS: 10}
		r.Learn(sub, 20*sec)
	}
	if r.Classes() != maxClasses {
		t.Errorf("%d classes, want %d", r.Classes(), maxClasses)
	}
	other := &wire.Submission{Class: "other", EstimateS: 10}
	if got := r.Expect(other); got != 10*sec {
		t.Errorf("a class that was not learned has an expected run time of %v, want the estimate of 10 s", got)
	}
}

// TestRateMeter checks that the meter reports a constant rate of arrivals, and that the reported
// rate decays after the arrivals end.
func TestRateMeter(t *testing.T) {
	var r RateMeter
	now := micros.Micros(0)
	for now < 20*meterTimeConstant {
		now += sec
		r.Add(now, 3)
	}
	if got := r.Rate(now); !near(got, 3, 0.02) {
		t.Errorf("rate %v per second, want 3", got)
	}
	if got := r.Rate(now + meterTimeConstant); !near(got, 3/math.E, 0.02) {
		t.Errorf("rate %v per second a time constant later, want %v", got, 3/math.E)
	}
}
