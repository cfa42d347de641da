package fleet

import "garnethitch/internal/controller/scheduling"

// maxAllocationRounds is the maximum number of rounds in which CPUs that some shards cannot use
// are offered to the other shards.
const maxAllocationRounds = 4

// TargetCPUs returns how many of total CPUs each shard should have. Each shard first receives what
// its jobs within their team's guarantee can use. The rest is distributed in proportion to
// unfinished work. No shard receives more than its tasks could use at once.
func TargetCPUs(demands Demands, total float64) map[int]float64 {
	targets := allocation{shards: demands.Shards(), allocated: map[int]float64{}, remaining: total}
	usable := map[int]float64{}
	guaranteed := map[int]float64{}
	work := map[int]float64{}
	for _, shard := range targets.shards {
		demand := demands[shard]
		usable[shard] = demand.BusyCPUs + WaitingCPUs(demand)
		guaranteed[shard] = demand.GuaranteedCPUs
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

// allocation distributes CPUs among shards.
type allocation struct {
	shards    []int
	allocated map[int]float64
	remaining float64
}

// allocate distributes the remaining CPUs in proportion to the weights of the shards, up to the
// limit of each shard.
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
		available := a.remaining
		for _, shard := range a.shards {
			if headroom := limits[shard] - a.allocated[shard]; headroom > scheduling.Tolerance {
				cpus := min(headroom, available*weights[shard]/sum)
				a.allocated[shard] += cpus
				a.remaining -= cpus
			}
		}
	}
}
