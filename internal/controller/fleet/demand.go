// Package fleet decides how many machines of which kinds the fleet should have, and which shard
// should have them. Its results depend only on its arguments: the demands reported by the owners
// of the shards, and the catalog of the cloud. The package performs no I/O.
package fleet

import (
	"maps"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
)

// Demands maps the number of each shard to what the shard needs and has.
type Demands map[int]*peer.Demand

// Shards returns the numbers of the shards in ascending order.
func (d Demands) Shards() []int { return slices.Sorted(maps.Keys(d)) }

// Waiting reports whether tasks are waiting in any shard.
func (d Demands) Waiting() bool {
	for _, demand := range d {
		if WaitingCPUs(demand) > 0 {
			return true
		}
	}
	return false
}

// WaitingTasks returns the groups of waiting tasks of all shards, shard by shard.
func (d Demands) WaitingTasks() []peer.WaitingTasks {
	var groups []peer.WaitingTasks
	for _, shard := range d.Shards() {
		groups = append(groups, d[shard].WaitingTasks...)
	}
	return groups
}

// WaitingCPUs returns the CPUs that a shard's waiting tasks would use if all of them ran at once.
func WaitingCPUs(demand *peer.Demand) float64 {
	cpus := 0.0
	for _, group := range demand.WaitingTasks {
		cpus += float64(float64(group.Count) * group.Size())
	}
	return cpus
}

// UnfinishedWork returns the unfinished work of a shard's running and waiting tasks, in CPU
// seconds.
func UnfinishedWork(demand *peer.Demand) float64 {
	work := micros.Micros(demand.RemainingWorkUS).Seconds()
	for _, group := range demand.WaitingTasks {
		work += float64(micros.Micros(group.WorkUS).Seconds() * group.Size())
	}
	return work
}

// BlockedWork returns how much of a shard's capacity remains unused until the shard's unreconciled
// machines become free without intervention, in CPU seconds. It counts the capacity that is free
// now and the capacity that becomes free in the meantime, up to what waiting tasks would use.
func BlockedWork(demand *peer.Demand) float64 {
	blocked := micros.Micros(demand.BlockedUS).Seconds()
	unused := float64((demand.CPUs - demand.BusyCPUs) * blocked)
	if demand.BusyCPUs > 0 {
		runLeft := micros.Micros(demand.RemainingWorkUS).Seconds() / demand.BusyCPUs
		unused += float64(demand.BusyCPUs * max(0, blocked-runLeft))
	}
	return min(unused, WaitingCPUs(demand)*blocked)
}

// UnusedWork returns how much of a machine with the given number of CPUs remains unused until its
// tasks end, in CPU seconds.
func UnusedWork(machine peer.Machine, cpus float64) float64 {
	return float64((cpus - machine.BusyCPUs) * micros.Micros(machine.RemainingUS).Seconds())
}

// Totals is the sum of what all shards need and have.
type Totals struct {
	Work     float64 // unfinished work, in CPU seconds
	Arrival  float64 // recent rate of arriving work, in CPUs that it would keep busy
	Parallel float64 // CPUs that could be in use at the same time
	Have     float64 // CPUs of machines that are up, draining or booting; see Add
	Busy     float64 // CPUs in use
	Booting  float64 // CPUs of machines that are booting; included in Have
}

// Add adds the demand of a shard. The CPUs of booting machines are added to Booting only; the caller
// adds Booting to Have after the last shard.
func (s *Totals) Add(demand *peer.Demand) {
	s.Have += demand.CPUs
	s.Booting += demand.BootingCPUs
	s.Busy += demand.BusyCPUs
	s.Work += UnfinishedWork(demand)
	s.Parallel += demand.BusyCPUs + WaitingCPUs(demand)
	s.Arrival += demand.ArrivalCPUs
}

// Need returns the number of CPUs that are worth having at a price of ratio times the lowest
// price. The higher the price, the longer the work may wait instead. drainHorizon is the time
// within which the fleet should be able to work off the backlog.
func (s Totals) Need(drainHorizon micros.Micros, ratio float64) float64 {
	forBacklog := s.Work / (drainHorizon.Seconds() * ratio)
	forArrivals := s.Arrival / ratio
	return min(max(forBacklog, forArrivals), s.Parallel)
}
