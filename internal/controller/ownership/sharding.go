package ownership

import (
	"cmp"
	"slices"
)

// gpuWeight is how many CPUs a GPU counts as where guarantees are compared.
const gpuWeight = 8

// Team is what the assignment of a team to a shard depends on.
type Team struct {
	// CPUs and GPUs are the team's guarantee.
	CPUs, GPUs float64
	// Limited is whether the team has a limit, which can be kept in one shard only.
	Limited bool
}

// weight returns the size of the team's guarantee.
func (t Team) weight() float64 { return t.CPUs + gpuWeight*t.GPUs }

// AssignTeamsToShards returns the shard of each team, or nil if jobs are assigned to shards one
// by one instead, because there is just one team and it has no limit. Teams go to shards in
// decreasing order of guarantee, each to the shard with the least so far, so that every
// controller assigns them alike.
func AssignTeamsToShards(teams []Team, shards int) []int {
	if len(teams) == 1 && !teams[0].Limited {
		return nil
	}
	load := make([]shardLoad, shards)
	shardOfTeam := make([]int, len(teams))
	for _, team := range byDecreasingWeight(teams) {
		shard := leastLoaded(load)
		shardOfTeam[team] = shard
		load[shard].weight += teams[team].weight()
		load[shard].teams++
	}
	return shardOfTeam
}

// byDecreasingWeight returns the indexes of teams, the largest guarantee first.
func byDecreasingWeight(teams []Team) []int {
	order := make([]int, len(teams))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(teams[b].weight(), teams[a].weight())
	})
	return order
}

// shardLoad is what has been assigned to a shard so far.
type shardLoad struct {
	weight float64
	teams  int
}

// leastLoaded returns the first shard with the least weight and, among those, the fewest teams.
func leastLoaded(load []shardLoad) int {
	best := 0
	for shard := 1; shard < len(load); shard++ {
		lighter := load[shard].weight < load[best].weight
		fewerTeams := load[shard].weight == load[best].weight && load[shard].teams < load[best].teams
		if lighter || fewerTeams {
			best = shard
		}
	}
	return best
}
