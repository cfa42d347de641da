package fleet

import "garnethitch/internal/controller/scheduling"

// maxAllocationRounds bounds how often what a shard cannot use is given to the others.
const maxAllocationRounds = 4

// TargetCPUs returns how many of total CPUs each shard should have: first what its jobs within
// their team's guarantee can use, then in proportion to its unfinished work, and never more than
// its tasks could use at once.
func TargetCPUs(demands Demands, total float64) map[int]float64 {
	targets := allocation{shards: demands.Shards(), allocated: map[int]float64{}, remaining: total}
	usable := map[int]float64{}
	guaranteed := map[int]float64{}
	work := map[int]float64{}
	for _, shard := range targets.shards {
		demand := demands[shard]
		usable[shard] = demand.Busy + WaitingCPUs(demand)
		guaranteed[shard] = demand.Guarantee
		work[shard] = UnfinishedWork(demand)
	}
	withinGuarantee := map[int]float64{}
	for shard, cpus := range guaranteed {
		withinGuarantee[shard] = min(cpus, usable[shard])
	}
	targets.allocate(guaranteed, withinGuarantee)
	targets.allocate(work, usable)
	return targets.allocated
}

// allocation gives CPUs to shards.
type allocation struct {
	shards    []int
	allocated map[int]float64
	remaining float64
}

// allocate distributes what is left in proportion to the shards' weights, to each up to its limit.
func (a *allocation) allocate(weights, limits map[int]float64) {
	for range maxAllocationRounds {
		sum := 0.0
		for _, shard := range a.shards {
			if a.allocated[shard] < limits[shard]-scheduling.Tolerance {
				sum += weights[shard]
			}
		}
		if sum <= 0 || a.remaining <= scheduling.Tolerance {
			return
		}
		toGive := a.remaining
		for _, shard := range a.shards {
			if headroom := limits[shard] - a.allocated[shard]; headroom > scheduling.Tolerance {
				cpus := min(headroom, toGive*weights[shard]/sum)
				a.allocated[shard] += cpus
				a.remaining -= cpus
			}
		}
	}
}
