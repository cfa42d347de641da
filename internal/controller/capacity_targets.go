package controller

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// targetCPUs says how many of total CPUs each shard should have: first what its
// jobs within a guarantee can use, then by the work that is left.
func (c *Controller) targetCPUs(demand map[int]*peer.Demand, total float64) map[int]float64 {
	ids := shardIDs(demand)
	usable := map[int]float64{}
	for _, id := range ids {
		usable[id] = demand[id].Busy + waitingCPUs(demand[id])
	}
	guarantee := func(id int) float64 { return demand[id].Guarantee }
	d := cpuDistribution{shards: ids, assigned: map[int]float64{}, left: total}
	d.distribute(guarantee, func(id int) float64 { return min(guarantee(id), usable[id]) })
	d.distribute(func(id int) float64 { return workOf(demand[id]) }, func(id int) float64 { return usable[id] })
	return d.assigned
}

// cpuDistribution assigns CPUs to shards in proportion to weights.
type cpuDistribution struct {
	shards   []int
	assigned map[int]float64
	left     float64 // not assigned yet
}

// distributionRounds is how often what some shards can't use is distributed to the others.
const distributionRounds = 4

// distribute assigns what is left by weight, to each shard up to a limit.
func (d *cpuDistribution) distribute(weight, limit func(shard int) float64) {
	for range distributionRounds {
		sum := 0.0
		for _, id := range d.shards {
			if d.assigned[id] < limit(id)-eps {
				sum += weight(id)
			}
		}
		if sum <= 0 || d.left <= eps {
			return
		}
		available := d.left
		for _, id := range d.shards {
			headroom := limit(id) - d.assigned[id]
			if headroom <= eps {
				continue
			}
			cpus := min(headroom, available*weight(id)/sum)
			d.assigned[id] += cpus
			d.left -= cpus
		}
	}
}

// workOf is all unfinished work of a shard, in CPU seconds.
func workOf(d *peer.Demand) float64 {
	work := micros.Micros(d.RunLeftUS).Seconds()
	for _, g := range d.Groups {
		work += micros.Micros(g.WorkUS).Seconds() * g.CPUs
	}
	return work
}

// waitingCPUs is what a shard's waiting tasks would take at once.
func waitingCPUs(d *peer.Demand) float64 {
	cpus := 0.0
	for _, g := range d.Groups {
		cpus += float64(g.Waiting) * g.CPUs
	}
	return cpus
}
