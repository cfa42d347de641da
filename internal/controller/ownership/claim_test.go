package ownership

import (
	"testing"

	"garnethitch/internal/micros"
)

func TestPreferredOwner(t *testing.T) {
	labels := []string{"n-0", "n-1", "n-2"}
	for shard, want := range []string{"n-0", "n-1", "n-2", "n-0"} {
		if got := PreferredOwner(labels, shard); got != want {
			t.Errorf("shard %d: got %s, want %s", shard, got, want)
		}
	}
}

func TestClaimDelay(t *testing.T) {
	for _, tc := range []struct {
		name  string
		known ClaimKnowledge
		want  micros.Micros
	}{
		{"the preferred owner", ClaimKnowledge{Label: "b", PreferredOwner: "b", Shards: 3, Candidates: []Candidate{{"a", 0}}}, 0},
		{"the preferred owner, just started", ClaimKnowledge{Label: "b", PreferredOwner: "b", Starting: true}, 0},
		{"the preferred owner, workers unreachable", ClaimKnowledge{Label: "b", PreferredOwner: "b", WorkersUnreachable: true}, 8 * claimStep},
		{"the preferred owner, workers unreachable, just started", ClaimKnowledge{Label: "b", PreferredOwner: "b", WorkersUnreachable: true, Starting: true}, 2 * claimStep},
		{"the preferred owner is down, no other candidates", ClaimKnowledge{Label: "b", PreferredOwner: "a"}, 0},
		{"just started, the preferred owner is down", ClaimKnowledge{Label: "b", PreferredOwner: "a", Starting: true}, 2 * claimStep},
		{"the preferred owner may claim, and owns more", ClaimKnowledge{Label: "b", PreferredOwner: "a", Candidates: []Candidate{{"a", 1}}}, claimStep},
		{"the preferred owner may claim, and owns fewer", ClaimKnowledge{Label: "b", PreferredOwner: "a", Shards: 1, Candidates: []Candidate{{"a", 0}}}, 2 * claimStep},
		{"another candidate owns fewer", ClaimKnowledge{Label: "a", PreferredOwner: "c", Shards: 2, Candidates: []Candidate{{"b", 1}}}, claimStep},
		{"another candidate owns as many, its label sorts later", ClaimKnowledge{Label: "a", PreferredOwner: "c", Shards: 1, Candidates: []Candidate{{"b", 1}}}, 0},
		{"another candidate owns as many, its label sorts first", ClaimKnowledge{Label: "b", PreferredOwner: "c", Shards: 1, Candidates: []Candidate{{"a", 1}}}, claimStep},
		{"two other candidates go first", ClaimKnowledge{Label: "c", PreferredOwner: "d", Shards: 1, Candidates: []Candidate{{"a", 1}, {"b", 0}}}, 2 * claimStep},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := ClaimDelay(tc.known); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
