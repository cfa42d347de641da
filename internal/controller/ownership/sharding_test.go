package ownership

import "testing"

func TestAssignTeamsToShards(t *testing.T) {
	for _, tc := range []struct {
		name   string
		teams  []Team
		shards int
		want   []int
	}{
		{"one team without a limit: jobs are assigned one by one", []Team{{}}, 3, nil},
		{"one team with a limit: all its jobs in one shard", []Team{{Limited: true}}, 3, []int{0}},
		{"by guarantee", []Team{{CPUs: 88}, {CPUs: 40}, {CPUs: 72}, {CPUs: 56}}, 3, []int{0, 2, 1, 2}},
		{"a GPU counts as eight CPUs", []Team{{CPUs: 15}, {GPUs: 2}, {CPUs: 17}}, 3, []int{2, 1, 0}},
		{"no guarantees: by number of teams", []Team{{}, {}, {}, {}}, 2, []int{0, 1, 0, 1}},
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
