package fleet

const (
	// minSilentForPartition is the number of silent machines below which a zone is never
	// considered partitioned. A few silent machines say nothing about the zone.
	minSilentForPartition = 4
	// A zone is considered partitioned if at least partitionedSilent out of partitionedOf of its
	// machines are silent, that is three quarters.
	partitionedSilent = 3
	partitionedOf     = 4
)

// zoneCount counts the machines of a zone.
type zoneCount struct{ all, silent int }

// partitioned reports whether so many machines of the zone are silent that the zone is considered
// partitioned.
func (z zoneCount) partitioned() bool {
	return z.silent >= minSilentForPartition && partitionedOf*z.silent >= partitionedSilent*z.all
}

// connected reports whether at least half of the zone's machines send heartbeats.
func (z zoneCount) connected() bool { return z.all > 0 && 2*z.silent <= z.all }

// PartitionedZones returns the zones that appear cut off from the network: most of their machines
// are silent, while at least half of the machines of another zone send heartbeats. The machines of
// such a zone are most likely running, and new machines rented there could not send heartbeats
// either. If no zone is connected, the fault does not lie in the zones, and the result is nil.
func PartitionedZones(demands Demands) map[string]bool {
	partitioned := map[string]bool{}
	anyConnected := false
	for name, zone := range countZones(demands) {
		switch {
		case zone.partitioned():
			partitioned[name] = true
		case zone.connected():
			anyConnected = true
		}
	}
	if !anyConnected {
		return nil
	}
	return partitioned
}

// countZones adds up the machines of all shards by zone.
func countZones(demands Demands) map[string]zoneCount {
	counts := map[string]zoneCount{}
	for _, demand := range demands {
		for _, zone := range demand.Zones {
			count := counts[zone.Name]
			count.all += zone.TotalMachines
			count.silent += zone.SilentMachines
			counts[zone.Name] = count
		}
	}
	return counts
}
