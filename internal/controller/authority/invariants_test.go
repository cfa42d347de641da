package authority

import (
	"slices"
	"testing"
)

func TestBrokenByRenewal(t *testing.T) {
	for _, tc := range []struct {
		name        string
		stopPending bool
		job         JobStatus
		want        []Invariant
	}{
		{"a task of an open job", false, JobOpen, nil},
		{"a cancelled task without its stop", true, JobOpen, []Invariant{RenewalStopsCancelledTasks}},
		{"a task of a job that has ended", false, JobEnded, []Invariant{RenewalKeepsNoUnknownJob}},
		{"a task of an unknown job", false, JobStatusUnknown, []Invariant{RenewalKeepsNoUnknownJob}},
		{"a cancelled task without its stop, of a job that has ended", true, JobEnded, []Invariant{RenewalStopsCancelledTasks, RenewalKeepsNoUnknownJob}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := BrokenByRenewal(tc.stopPending, tc.job); !slices.Equal(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

func TestBrokenByStart(t *testing.T) {
	for _, tc := range []struct {
		name             string
		ended, cancelled bool
		want             []Invariant
	}{
		{"an open job", false, false, nil},
		{"a job that has ended", true, false, []Invariant{NoStartAfterEnd}},
		{"a job that is to be cancelled", false, true, []Invariant{NoStartAfterEnd}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := BrokenByStart(tc.ended, tc.cancelled); !slices.Equal(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
