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
	// maxRentalMachines bounds the machines of one rental.
	maxRentalMachines = 50
	// minDeficit is the least lack of CPUs that a machine is rented for.
	minDeficit = 0.5
	// roundingDown is the largest part of a machine that may be lacking without another
	// machine being rented for it.
	roundingDown = 0.25
)

// ScaleOut decides which machines to rent.
type ScaleOut struct {
	Catalog      Catalog
	DrainHorizon micros.Micros // see Sums.Need
	Totals       Totals
	Groups       []peer.WaitingTasks // what waits
	Free         map[Kind]float64    // CPUs of the machines that are idle or on their way
	// MachinesInZone counts the machines by zone.
	MachinesInZone map[string]int
	// MaxMachines is how many machines may still be rented.
	MaxMachines int
	// Unavailable reports whether machines of a kind cannot be had or used for now.
	Unavailable func(Kind) bool
}

// Add counts a rental among what there is.
func (s *ScaleOut) Add(rental wire.Rental) {
	cpus := s.Catalog.CPUs(rental.Type, rental.Count)
	s.Totals.Have += cpus
	s.Free[Kind{rental.Type, rental.Zone, rental.Spot}] += cpus
	s.MaxMachines -= rental.Count
	s.MachinesInZone[rental.Zone] += rental.Count
}

// Next returns the next rental, of the cheapest machines that the largest waiting work can use,
// as long as there are fewer than are worth their price; false if there is none. It sorts Groups.
func (s *ScaleOut) Next() (wire.Rental, bool) {
	slices.SortStableFunc(s.Groups, func(a, b peer.WaitingTasks) int {
		return cmp.Compare(float64(b.WorkUS)*b.CPUs, float64(a.WorkUS)*a.CPUs)
	})
	lowestPrice := s.Catalog.LowestPrice()
	for _, group := range s.Groups {
		if group.Waiting == 0 {
			continue
		}
		if rental, ok := s.rentalFor(group, lowestPrice); ok {
			return rental, true
		}
	}
	return wire.Rental{}, false
}

// rentalFor returns the rental for a group's tasks; false if they are not to have any.
func (s *ScaleOut) rentalFor(group peer.WaitingTasks, lowestPrice float64) (wire.Rental, bool) {
	shortfall := s.Totals.Parallel - s.Totals.Have
	groupShortfall := 0.0
	hardlyAnyMachine := s.Totals.Have+scheduling.Tolerance < group.CPUs
	if s.Catalog.Constrained(group) || hardlyAnyMachine {
		groupShortfall = s.groupShortfall(group)
		shortfall = max(shortfall, groupShortfall)
	}
	if shortfall <= 0 {
		return wire.Rental{}, false
	}
	for _, candidate := range s.options(group, shortfall) {
		deficit := max(s.Totals.Need(s.DrainHorizon, max(candidate.cpuPrice/lowestPrice, 1))-s.Totals.Have, groupShortfall)
		if deficit < minDeficit {
			continue
		}
		count := max(1, min(int(math.Ceil(deficit/candidate.cpus-roundingDown)), maxRentalMachines, s.MaxMachines))
		return wire.Rental{Type: candidate.kind.Type, Zone: candidate.kind.Zone, Spot: candidate.kind.Spot, Count: count}, true
	}
	return wire.Rental{}, false
}

// groupShortfall returns how many CPUs are wanted for a constrained group alone: the fleet may be
// large enough and yet have none that its tasks can use.
func (s *ScaleOut) groupShortfall(group peer.WaitingTasks) float64 {
	waiting := float64(group.Waiting) * group.CPUs
	toDrain := micros.Micros(group.WorkUS).Seconds() * group.CPUs / s.DrainHorizon.Seconds()
	shortfall := min(waiting, max(toDrain, group.CPUs))
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
	cpuPrice float64 // of each CPU of the machine, for an hour
	// usedPrice is the price of each CPU that would be used: what stands unused is paid as well.
	usedPrice float64
}

// options returns the kinds of machines that a group's tasks can use, the cheapest first and, of
// these, those in the zone with the fewest machines.
func (s *ScaleOut) options(group peer.WaitingTasks, shortfall float64) []option {
	var options []option
	for _, name := range s.Catalog.Names {
		machineType := s.Catalog.Types[name]
		if machineType.CPUs <= 0 {
			continue
		}
		usedCPUs := min(machineType.CPUs, max(shortfall, group.CPUs))
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

// kindsOf returns the kinds of machines of a type.
func kindsOf(machineType wire.MachineType, name string) []Kind {
	var kinds []Kind
	for _, zone := range machineType.Zones {
		kinds = append(kinds, Kind{name, zone, true}, Kind{name, zone, false})
	}
	return kinds
}
