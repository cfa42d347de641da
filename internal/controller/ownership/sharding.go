package ownership

import (
	"cmp"
	"slices"
)

// gpuWeight is the number of CPUs that a GPU counts as when guarantees are compared.
const gpuWeight = 8

// Team holds the settings of a team that determine its shard.
type Team struct {
	// CPUs and GPUs are the resources guaranteed to the team.
	CPUs, GPUs float64
	// Limited is true if the team has a limit. A limit can only be enforced within one shard.
	Limited bool
}

// weight returns the size of the team's guarantee in CPUs, with GPUs converted by gpuWeight.
func (t Team) weight() float64 { return t.CPUs + float64(gpuWeight*t.GPUs) }

// AssignTeamsToShards returns the shard of each team. It returns nil if there is a single team
// without a limit; jobs are then assigned to shards one by one. Teams are assigned in decreasing
// order of guarantee, each to the shard with the smallest sum of guarantees so far. The result is
// deterministic, so all controllers compute the same assignment.
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

// byDecreasingWeight returns the indexes of teams, ordered by decreasing guarantee.
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

// shardLoad is the sum of the teams assigned to a shard so far.
type shardLoad struct {
	weight float64
	teams  int
}

// leastLoaded returns the first shard with the smallest weight; of shards with equal weight, it
// prefers the one with the fewest teams.
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
