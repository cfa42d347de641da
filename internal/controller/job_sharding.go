package controller

import "garnethitch/internal/controller/ownership"

// jobSharding says which shard a job belongs to: that of its team, or one by the hash of its id
// if there is just one team and it has no limit.
type jobSharding struct {
	shards      int
	teamOf      map[string]int // a team's number by its name
	shardOfTeam []int          // by the team's number; nil where jobs are assigned by their ids
}

// newJobSharding numbers the teams and assigns them to shards.
func newJobSharding(teams []Team, shards int) jobSharding {
	js := jobSharding{
		shards:      shards,
		teamOf:      map[string]int{},
		shardOfTeam: ownership.AssignTeamsToShards(teamsToAssign(teams), shards),
	}
	for number, team := range teams {
		js.teamOf[team.Name] = number
	}
	return js
}

// teamsToAssign returns what the assignment of teams to shards depends on.
func teamsToAssign(teams []Team) []ownership.Team {
	var out []ownership.Team
	for _, t := range teams {
		limited := t.CPUsMax != 0 || t.GPUsMax != 0
		out = append(out, ownership.Team{CPUs: t.CPUs, GPUs: t.GPUs, Limited: limited})
	}
	return out
}

// byTeam reports whether all jobs of a team belong to the same shard.
func (js *jobSharding) byTeam() bool { return js.shardOfTeam != nil }

// shardOf returns the shard that a job of a team belongs to.
func (js *jobSharding) shardOf(id string, team int) int {
	if js.byTeam() {
		return js.shardOfTeam[team]
	}
	return int(hashOf(id) % uint64(js.shards))
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashOf is FNV-1a with a final mix, so that ids that differ at the end spread evenly.
func hashOf(id string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * fnvPrime
	}
	return h ^ h>>32
}
