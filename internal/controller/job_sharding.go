package controller

import "garnethitch/internal/controller/ownership"

// jobSharding assigns jobs to shards: by their team, or by the hash of their id if there is only one
// team and it has no limit.
type jobSharding struct {
	shards      int
	teamOf      map[string]int // team number by team name
	shardOfTeam []int          // shard by team number; nil if jobs are assigned by id
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

// teamsToAssign returns the properties of the teams on which their assignment to shards depends.
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

// hashOf returns the FNV-1a hash of an id with a final mixing step, without which ids that differ
// only at the end would not spread evenly.
func hashOf(id string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * fnvPrime
	}
	return h ^ h>>32
}
