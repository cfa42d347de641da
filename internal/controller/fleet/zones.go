package fleet

const (
	// minSilentForPartition is how many machines of a zone must be silent before that says
	// anything about the zone.
	minSilentForPartition = 4
	// A zone is partitioned if at least partitionedSilent in partitionedOf of its machines are
	// silent.
	partitionedSilent = 3
	partitionedOf     = 4
)

// zoneCount counts machines of one zone.
type zoneCount struct{ all, silent int }

// partitioned reports whether hardly any machine of the zone sends heartbeats.
func (z zoneCount) partitioned() bool {
	return z.silent >= minSilentForPartition && partitionedOf*z.silent >= partitionedSilent*z.all
}

// connected reports whether at least half of the zone's machines send heartbeats.
func (z zoneCount) connected() bool { return z.all > 0 && 2*z.silent <= z.all }

// PartitionedZones returns the zones from which hardly any heartbeat comes while those of another
// zone do: the network to the zone is partitioned, and its machines are up all the same. What is
// rented there could not send heartbeats either. If none come from any zone, the fault is not in
// the zones, and it returns nil.
func PartitionedZones(demands Demands) map[string]bool {
	partitioned := map[string]bool{}
	anyConnected := false
	for name, z := range countZones(demands) {
		switch {
		case z.partitioned():
			partitioned[name] = true
		case z.connected():
			anyConnected = true
		}
	}
	if !anyConnected {
		return nil
	}
	return partitioned
}

// countZones adds up the shards' machines by zone.
func countZones(demands Demands) map[string]zoneCount {
	counts := map[string]zoneCount{}
	for _, d := range demands {
		for _, z := range d.Zones {
			count := counts[z.Name]
			count.all += z.TotalMachines
			count.silent += z.SilentMachines
			counts[z.Name] = count
		}
	}
	return counts
}
