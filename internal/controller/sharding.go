package controller

import (
	"slices"
)

// AssignTeamsToShards gives each team's shard, or nil if jobs are parted instead: there
// is just one team, and it has no limit (a limit can be kept only in one
// place). Teams go to shards by size of guarantee, the largest first, each to
// the shard with the least so far, so that every node parts them alike.
func AssignTeamsToShards(teams []Team, shards int) []int {
	if len(teams) == 1 && teams[0].CPUsMax == 0 && teams[0].GPUsMax == 0 {
		return nil
	}
	order := make([]int, len(teams))
	for i := range order {
		order[i] = i
	}
	weight := func(t Team) float64 { return t.CPUs + 8*t.GPUs }
	slices.SortStableFunc(order, func(a, b int) int {
		switch wa, wb := weight(teams[a]), weight(teams[b]); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	load, count := make([]float64, shards), make([]int, shards)
	out := make([]int, len(teams))
	for _, t := range order {
		best := 0
		for s := 1; s < shards; s++ {
			if load[s] < load[best] || (load[s] == load[best] && count[s] < count[best]) {
				best = s
			}
		}
		out[t] = best
		load[best] += weight(teams[t])
		count[best]++
	}
	return out
}
