package fleet

import (
	"cmp"
	"math"
	"slices"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

const (
	// maxRentalMachines is the maximum number of machines in one rental.
	maxRentalMachines = 50
	// minDeficit is the smallest shortage of CPUs for which a machine is rented.
	minDeficit = 0.5
	// roundingDown is the largest shortage, as a fraction of a machine, for which no additional
	// machine is rented.
	roundingDown = 0.25
)

// ScaleOut decides which machines to rent.
type ScaleOut struct {
	Catalog      Catalog
	DrainHorizon micros.Micros // see Totals.Need
	Totals       Totals
	WaitingTasks []peer.WaitingTasks // of all shards, grouped by their requirements
	Free         map[Kind]float64    // CPUs of machines that are idle or booting
	// MachinesInZone holds the number of machines by zone.
	MachinesInZone map[string]int
	// MaxMachines is the number of machines that may still be rented.
	MaxMachines int
	// Unavailable reports whether machines of a kind currently cannot be rented or used.
	Unavailable func(Kind) bool
}

// Add counts a rental as existing capacity.
func (s *ScaleOut) Add(rental wire.RentalRequest) {
	cpus := s.Catalog.CPUs(rental.Type, rental.Count)
	s.Totals.Have += cpus
	s.Free[Kind{rental.Type, rental.Zone, rental.Spot}] += cpus
	s.MaxMachines -= rental.Count
	s.MachinesInZone[rental.Zone] += rental.Count
}

// Next returns the next rental. It serves the groups in decreasing order of waiting work, with the
// cheapest machines that a group can use, as long as the fleet has fewer machines than are worth
// their price. It returns false if nothing more is to be rented. It sorts WaitingTasks.
func (s *ScaleOut) Next() (wire.RentalRequest, bool) {
	slices.SortStableFunc(s.WaitingTasks, func(a, b peer.WaitingTasks) int {
		return cmp.Compare(float64(b.WorkUS)*b.Size(), float64(a.WorkUS)*a.Size())
	})
	lowestPrice := s.Catalog.LowestPrice()
	for _, group := range s.WaitingTasks {
		if group.Count == 0 {
			continue
		}
		if rental, ok := s.rentalFor(group, lowestPrice); ok {
			return rental, true
		}
	}
	return wire.RentalRequest{}, false
}

// rentalFor returns a rental for a group's tasks. It returns false if none is needed, or if no
// machine that the group can use is available and worth its price.
func (s *ScaleOut) rentalFor(group peer.WaitingTasks, lowestPrice float64) (wire.RentalRequest, bool) {
	shortfall := s.Totals.Parallel - s.Totals.Have
	groupShortfall := 0.0
	fleetSmallerThanTask := s.Totals.Have+scheduling.Tolerance < group.Size()
	if s.Catalog.Constrained(group) || fleetSmallerThanTask {
		groupShortfall = s.groupShortfall(group)
		shortfall = max(shortfall, groupShortfall)
	}
	if shortfall <= 0 {
		return wire.RentalRequest{}, false
	}
	for _, candidate := range s.options(group, shortfall) {
		deficit := max(s.Totals.Need(s.DrainHorizon, max(candidate.cpuPrice/lowestPrice, 1))-s.Totals.Have, groupShortfall)
		if deficit < minDeficit {
			continue
		}
		count := max(1, min(int(math.Ceil(deficit/candidate.cpus-roundingDown)), maxRentalMachines, s.MaxMachines))
		return wire.RentalRequest{Type: candidate.kind.Type, Zone: candidate.kind.Zone, Spot: candidate.kind.Spot, Count: count}, true
	}
	return wire.RentalRequest{}, false
}

// RentalForTask returns the rental of the cheapest machine that can run a starved task, whether the
// fleet is large enough or not. It returns false if no machine of the kinds that can run it is
// available, or the fleet may not grow.
func (s *ScaleOut) RentalForTask(task *peer.StarvedTask) (wire.RentalRequest, bool) {
	if s.MaxMachines <= 0 {
		return wire.RentalRequest{}, false
	}
	group := groupOf(task)
	for _, candidate := range s.options(group, group.CPUs) {
		if s.Catalog.CanRunTask(task, candidate.kind) {
			return wire.RentalRequest{Type: candidate.kind.Type, Zone: candidate.kind.Zone, Spot: candidate.kind.Spot, Count: 1}, true
		}
	}
	return wire.RentalRequest{}, false
}

// groupShortfall returns the number of CPUs that a constrained group needs in addition to the free
// CPUs that it can use. The fleet as a whole may be large enough and still have no machine on
// which the group's tasks can run.
func (s *ScaleOut) groupShortfall(group peer.WaitingTasks) float64 {
	waiting := float64(group.Count) * group.Size()
	toDrain := micros.Micros(group.WorkUS).Seconds() * group.Size() / s.DrainHorizon.Seconds()
	shortfall := min(waiting, max(toDrain, group.Size()))
	for kind, cpus := range s.Free {
		if s.Catalog.CanRun(group, kind) {
			shortfall -= cpus
		}
	}
	return shortfall
}

// option is a kind of machine that may be rented.
type option struct {
	kind     Kind
	cpus     float64
	cpuPrice float64 // price of one CPU per hour
	// usedPrice is the price of the machine per hour, divided by the CPUs that would be used: the
	// unused CPUs must be paid for as well.
	usedPrice float64
}

// options returns the kinds of machines that a group's tasks can use, ordered by price. Of kinds
// with equal prices, those in the zone with the fewest machines come first.
func (s *ScaleOut) options(group peer.WaitingTasks, shortfall float64) []option {
	var options []option
	for _, name := range s.Catalog.Names {
		machineType := s.Catalog.Types[name]
		if machineType.CPUs <= 0 {
			continue
		}
		usedCPUs := max(min(machineType.CPUs, max(shortfall, group.Size())), minPricedCPUs)
		for _, kind := range kindsOf(machineType, name) {
			if !s.Catalog.CanRun(group, kind) || s.Unavailable(kind) {
				continue
			}
			price := CPUPrice(machineType, kind.Spot)
			options = append(options, option{kind: kind, cpus: machineType.CPUs, cpuPrice: price, usedPrice: price * machineType.CPUs / usedCPUs})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(a.usedPrice, b.usedPrice),
			cmp.Compare(s.MachinesInZone[a.kind.Zone], s.MachinesInZone[b.kind.Zone]))
	})
	return options
}

// kindsOf returns the kinds of machines that exist of a type.
func kindsOf(machineType wire.MachineType, name string) []Kind {
	var kinds []Kind
	for _, zone := range machineType.Zones {
		kinds = append(kinds, Kind{name, zone, true}, Kind{name, zone, false})
	}
	return kinds
}
