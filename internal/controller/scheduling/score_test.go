package scheduling

import "testing"

// TestCandidateScore checks that the better candidate of each pair has the higher score. The name
// of the case says how the candidates differ.
func TestCandidateScore(t *testing.T) {
	plain := Candidate{CPUs: 4, FreeCPUs: 4}
	for _, tc := range []struct {
		name          string
		better, worse Candidate
	}{
		{"cached image before one being fetched", Candidate{Image: ImageCached, CPUs: 4, FreeCPUs: 4}, Candidate{Image: ImageFetching, CPUs: 4}},
		{"image being fetched before a missing one", Candidate{Image: ImageFetching, CPUs: 4, FreeCPUs: 4}, Candidate{CPUs: 4}},
		{"fuller machine", Candidate{CPUs: 4, FreeCPUs: 1}, Candidate{CPUs: 4, FreeCPUs: 2}},
		{"no failure of any job", plain, Candidate{FailedAnyJob: true, CPUs: 4}},
		{"failure of another job before one of this job", Candidate{FailedAnyJob: true, CPUs: 4, FreeCPUs: 4}, Candidate{FailedThisJob: true, CPUs: 4}},
		{"failure of this job outweighs a cached image", plain, Candidate{Image: ImageCached, FailedThisJob: true, CPUs: 4}},
		{"faster machine", plain, Candidate{Slowness: 0.5, CPUs: 4}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if better, worse := tc.better.Score(), tc.worse.Score(); better <= worse {
				t.Errorf("the better candidate has score %v, the worse one %v", better, worse)
			}
		})
	}
}

func TestImageStateString(t *testing.T) {
	for state, want := range map[ImageState]string{ImageMissing: "missing", ImageFetching: "fetching", ImageCached: "cached", ImageState(9): "unknown"} {
		if got := state.String(); got != want {
			t.Errorf("%d: %q, want %q", int(state), got, want)
		}
	}
}
