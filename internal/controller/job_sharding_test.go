package controller

import (
	"slices"
	"testing"

	"garnethitch/internal/controller/ownership"
)

// TestTeamsToAssign checks the properties on which the assignment of teams to shards depends: a limit
// on either resource keeps all jobs of a team in one shard.
func TestTeamsToAssign(t *testing.T) {
	for _, tc := range []struct {
		name       string
		team       Team
		want       ownership.Team
		wantShards []int // shardOfTeam if this is the only team
	}{
		{"no limit", Team{Name: "a", CPUs: 4, GPUs: 1}, ownership.Team{CPUs: 4, GPUs: 1}, nil},
		{"limited CPUs", Team{Name: "a", CPUsMax: 4}, ownership.Team{Limited: true}, []int{0}},
		{"limited GPUs", Team{Name: "a", GPUsMax: 1}, ownership.Team{Limited: true}, []int{0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := teamsToAssign([]Team{tc.team})
			if len(got) != 1 || got[0] != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
			if got := New(Config{Label: "n-0", Shards: 3, Teams: []Team{tc.team}}, 1).jobSharding.shardOfTeam; !slices.Equal(got, tc.wantShards) || (got == nil) != (tc.wantShards == nil) {
				t.Errorf("shardOfTeam is %v, want %v", got, tc.wantShards)
			}
		})
	}
}
