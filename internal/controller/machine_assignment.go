package controller

import (
	"math"
	"slices"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// recordSetCreation is the creation of a record set by the leader. The write is repeated under the
// same key until the record set is known to exist, or the leadership ends. The machines are
// assigned to no other record set meanwhile, since a late copy of the write could still record
// them.
type recordSetCreation struct {
	key           string
	rec           wire.MachineRecordSet
	inFlight      bool
	nextSendAt    micros.Micros
	registrations []registration // of the machines in rec; answered after the first reply
}

// assignMachines assigns machines to the shards that are furthest below their targets, and creates
// record sets for them. origin is the prefix of the record sets' names.
func (c *Controller) assignMachines(origin string, list []unassignedMachine, demand map[int]*peer.Demand, registrations []registration) {
	if len(list) == 0 {
		return
	}
	for _, s := range c.ownership.shards {
		if demand[s.id] == nil {
			demand[s.id] = &peer.Demand{Shard: s.id}
		}
	}
	capacity, total := c.countCapacity(list)
	target := fleet.TargetCPUs(demand, total)
	byShard := map[int][]unassignedMachine{}
	rest := c.assignToStarved(list, demand, byShard)
	c.chooseShards(rest, target, capacity, byShard)
	for _, s := range c.ownership.shards {
		for chunk := range slices.Chunk(byShard[s.id], c.recordSetLimit()) {
			c.createRecordSet(origin, s, chunk, registrations)
		}
	}
}

// countCapacity returns the CPUs of each shard, including those of pending record sets, and the
// sum of these and of the machines to be assigned.
func (c *Controller) countCapacity(list []unassignedMachine) (capacity map[int]float64, total float64) {
	capacity = map[int]float64{}
	for _, m := range list {
		total += c.types.byName[m.kind.Type].CPUs
	}
	for _, s := range c.ownership.shards {
		for _, m := range s.machines {
			if !m.rec.Cordoned && !m.returned {
				cpus := c.types.cpusOf(m)
				capacity[s.id] += cpus
				total += cpus
			}
		}
	}
	for _, key := range sortedKeys(c.fleet.pendingCreations) {
		creation := c.fleet.pendingCreations[key]
		shardID, _, _ := wire.ParseMachineRecordSetKey(key)
		for _, m := range creation.rec.Machines {
			cpus := c.types.byName[creation.rec.Kinds[m.Kind].Type].CPUs
			capacity[shardID] += cpus
			total += cpus
		}
	}
	return capacity, total
}

// chooseShards distributes machines over the shards by target and present CPUs: it adds them to
// byShard and their CPUs to capacity. Consecutive machines go to the same shard as long as it is
// below its target: to spread them over all shards would take a write for each shard.
func (c *Controller) chooseShards(list []unassignedMachine, target, capacity map[int]float64, byShard map[int][]unassignedMachine) {
	for shard, machines := range byShard {
		for _, m := range machines {
			capacity[shard] += c.types.byName[m.kind.Type].CPUs
		}
	}
	chosen := -1
	for _, m := range list {
		cpus := max(c.types.byName[m.kind.Type].CPUs, 1)
		if chosen < 0 || target[chosen]-capacity[chosen] < cpus {
			chosen = c.shardLackingMost(target, capacity, chosen)
		}
		capacity[chosen] += cpus
		byShard[chosen] = append(byShard[chosen], m)
	}
}

// shardLackingMost returns the shard that is furthest below its target. If no tasks wait, that is
// the one with the least capacity. It returns otherwise if there is no shard.
func (c *Controller) shardLackingMost(target, capacity map[int]float64, otherwise int) int {
	most := otherwise
	largestGap := math.Inf(-1)
	for _, s := range c.ownership.shards {
		gap := target[s.id] - capacity[s.id]
		if gap > largestGap+scheduling.Tolerance {
			most = s.id
			largestGap = gap
		}
	}
	return most
}

// createRecordSet begins to create a record set of machines of one shard, and takes over their
// registrations.
func (c *Controller) createRecordSet(origin string, s *shard, machines []unassignedMachine, registrations []registration) {
	f := &c.fleet
	creation := &recordSetCreation{key: wire.MachineRecordSetKey(s.id, c.machineRecords.newName(origin, c.ownership.leader.ownerEpoch))}
	f.pendingCreations[creation.key] = creation
	for _, m := range machines {
		m.Kind = kindIndex(&creation.rec, m.kind)
		creation.rec.Machines = append(creation.rec.Machines, m.MachineRecord)
		f.assigning[m.ID] = true
		isOfMachine := func(reg registration) bool { return reg.in.Heartbeat.Machine == m.ID }
		if i := slices.IndexFunc(registrations, isOfMachine); i >= 0 {
			creation.registrations = append(creation.registrations, registrations[i])
		}
	}
	c.log(Info, "machines assigned", "count", len(machines), "shard", s.id)
	c.sendCreation(creation)
}

// maintainCreations repeats the writes of the record sets that are not known to exist.
func (c *Controller) maintainCreations() {
	for _, key := range sortedKeys(c.fleet.pendingCreations) {
		c.sendCreation(c.fleet.pendingCreations[key])
	}
}

// sendCreation writes a record set, unless a write of it is in flight or was sent a short time ago.
func (c *Controller) sendCreation(creation *recordSetCreation) {
	if creation.inFlight || c.now < creation.nextSendAt {
		return
	}
	creation.inFlight = true
	ownerEpoch := c.ownership.leader.ownerEpoch
	write := recordSetWrite{key: creation.key, record: creation.rec}
	c.writeRecordSets(wire.KeyLeader, ownerEpoch, []recordSetWrite{write}, func(outcome writeOutcome) {
		c.answerRegistrations(creation, outcome)
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			return
		}
		creation.inFlight = false
		creation.nextSendAt = c.now + c.jitter(recordSetWriteInterval)
		if outcome == writeApplied || c.machineRecords.sets[creation.key] != nil {
			c.fleet.endCreation(creation)
		}
		// Otherwise maintainCreations repeats the write. The watch shows a record set that exists
		// already.
	})
}

// answerRegistrations answers the heartbeats of the machines that registered, after the first
// outcome of writing their record set.
func (c *Controller) answerRegistrations(creation *recordSetCreation, outcome writeOutcome) {
	registrations := creation.registrations
	creation.registrations = nil
	for _, reg := range registrations {
		if outcome == writeApplied {
			c.handleHeartbeat(reg.in) // now on record: answered here, or redirected to the owner
		} else {
			c.refuseRegistration(reg.in)
		}
	}
}

// endCreation removes the pending creation of a record set that exists. Its machines may be assigned
// again once they are off the record.
func (f *fleetState) endCreation(creation *recordSetCreation) {
	delete(f.pendingCreations, creation.key)
	for _, m := range creation.rec.Machines {
		delete(f.assigning, m.ID)
	}
}
