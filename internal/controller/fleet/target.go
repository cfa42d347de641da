package fleet

import "garnethitch/internal/controller/scheduling"

// maxDistributionRounds bounds how often what a shard cannot use is given to the others.
const maxDistributionRounds = 4

// TargetCPUs returns how many of total CPUs each shard should have: first what its jobs within
// their team's guarantee can use, then in proportion to its unfinished work, and never more than
// its tasks could use at once.
func TargetCPUs(demands Demands, total float64) map[int]float64 {
	d := distribution{shards: demands.Shards(), given: map[int]float64{}, left: total}
	usable := map[int]float64{}
	guaranteed := map[int]float64{}
	work := map[int]float64{}
	for _, shard := range d.shards {
		demand := demands[shard]
		usable[shard] = demand.BusyCPUs + WaitingCPUs(demand)
		guaranteed[shard] = demand.GuaranteedCPUs
		work[shard] = UnfinishedWork(demand)
	}
	withinGuarantee := map[int]float64{}
	for shard, cpus := range guaranteed {
		withinGuarantee[shard] = min(cpus, usable[shard])
	}
	d.give(guaranteed, withinGuarantee)
	d.give(work, usable)
	return d.given
}

// distribution gives CPUs to shards.
type distribution struct {
	shards []int
	given  map[int]float64
	left   float64
}

// give distributes what is left in proportion to the shards' weights, to each up to its limit.
func (d *distribution) give(weights, limits map[int]float64) {
	for range maxDistributionRounds {
		sum := 0.0
		for _, shard := range d.shards {
			if d.given[shard] < limits[shard]-scheduling.Tolerance {
				sum += weights[shard]
			}
		}
		if sum <= 0 || d.left <= scheduling.Tolerance {
			return
		}
		toGive := d.left
		for _, shard := range d.shards {
			if headroom := limits[shard] - d.given[shard]; headroom > scheduling.Tolerance {
				cpus := min(headroom, toGive*weights[shard]/sum)
				d.given[shard] += cpus
				d.left -= cpus
			}
		}
	}
}
