package controller

import "testing"

func TestAssignTeamsToShards(t *testing.T) {
	for _, tc := range []struct {
		name   string
		teams  []Team
		shards int
		want   []int
	}{
		{"one team without a limit: jobs are parted", []Team{{Name: "a"}}, 3, nil},
		{"one team with a limit stays whole", []Team{{Name: "a", CPUsMax: 4}}, 3, []int{0}},
		{"by guarantee", []Team{{CPUs: 88}, {CPUs: 40}, {CPUs: 72}, {CPUs: 56}}, 3, []int{0, 2, 1, 2}},
		{"no guarantees: by number", []Team{{}, {}, {}, {}}, 2, []int{0, 1, 0, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := AssignTeamsToShards(tc.teams, tc.shards)
			if len(got) != len(tc.want) || (got == nil) != (tc.want == nil) {
				t.Fatalf("got %v, want %v", got, tc.want)
			}
			for i := range got {
				if got[i] != tc.want[i] {
					t.Errorf("got %v, want %v", got, tc.want)
				}
			}
		})
	}
}
