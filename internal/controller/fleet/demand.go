// Package fleet decides how many machines of which kinds the fleet should have, and which shard
// should have them. Its results depend on the arguments alone: what the owners of the shards say
// that they want and have, and what the cloud offers. It sends nothing.
package fleet

import (
	"maps"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// Demands is what each shard wants and has, by the shard's number.
type Demands map[int]*peer.Demand

// Shards returns the numbers of the shards in ascending order.
func (d Demands) Shards() []int { return slices.Sorted(maps.Keys(d)) }

// Waiting reports whether tasks wait in any shard.
func (d Demands) Waiting() bool {
	for _, demand := range d {
		if WaitingCPUs(demand) > 0 {
			return true
		}
	}
	return false
}

// Groups returns the waiting tasks of all shards.
func (d Demands) Groups() []peer.WaitingTasks {
	var groups []peer.WaitingTasks
	for _, shard := range d.Shards() {
		groups = append(groups, d[shard].WaitingTasks...)
	}
	return groups
}

// WaitingCPUs returns the CPUs that a shard's waiting tasks would take at once.
func WaitingCPUs(d *peer.Demand) float64 {
	cpus := 0.0
	for _, g := range d.WaitingTasks {
		cpus += float64(g.Count) * g.CPUs
	}
	return cpus
}

// UnfinishedWork returns all unfinished work of a shard, in CPU seconds.
func UnfinishedWork(d *peer.Demand) float64 {
	work := micros.Micros(d.RemainingWorkUS).Seconds()
	for _, g := range d.WaitingTasks {
		work += micros.Micros(g.WorkUS).Seconds() * g.CPUs
	}
	return work
}

// BlockedWork returns how much of a shard's capacity stands unused until its unreconciled
// machines are free by themselves, in CPU seconds: what is free now, and what comes free
// meanwhile, as far as tasks wait for it.
func BlockedWork(d *peer.Demand) float64 {
	blocked := micros.Micros(d.BlockedUS).Seconds()
	unused := (d.CPUs - d.BusyCPUs) * blocked
	if d.BusyCPUs > 0 {
		runLeft := micros.Micros(d.RemainingWorkUS).Seconds() / d.BusyCPUs
		unused += d.BusyCPUs * max(0, blocked-runLeft)
	}
	return min(unused, WaitingCPUs(d)*blocked)
}

// UnusedWork returns how much of a machine with so many CPUs stands unused until it is empty, in
// CPU seconds.
func UnusedWork(m peer.Machine, cpus float64) float64 {
	return (cpus - m.BusyCPUs) * micros.Micros(m.RemainingUS).Seconds()
}

// Sums is what all shards want and have together.
type Sums struct {
	Work     float64 // unfinished work, in CPU seconds
	Arrival  float64 // work that came in recently, in CPUs kept busy
	Parallel float64 // CPUs that could be in use at once
	Have     float64 // CPUs of the machines that are up, leave or are on their way
	Busy     float64 // CPUs in use
	Booting  float64 // the part of Have that is on its way, in CPUs
}

// Add adds what a shard wants and has.
func (s *Sums) Add(d *peer.Demand) {
	s.Have += d.CPUs
	s.Booting += d.BootingCPUs
	s.Busy += d.BusyCPUs
	s.Work += UnfinishedWork(d)
	s.Parallel += d.BusyCPUs + WaitingCPUs(d)
	s.Arrival += d.ArrivalCPUs
}

// Need returns how many CPUs are worth having at a price that is ratio times the lowest: the
// dearer a machine, the longer the work would have to wait without it. drainHorizon is the time
// within which the fleet is to be large enough to work off what waits.
func (s Sums) Need(drainHorizon micros.Micros, ratio float64) float64 {
	forBacklog := s.Work / (drainHorizon.Seconds() * ratio)
	forArrivals := s.Arrival / ratio
	return min(max(forBacklog, forArrivals), s.Parallel)
}
