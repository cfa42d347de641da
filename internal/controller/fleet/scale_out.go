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
	Sums         Sums
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
func (s *ScaleOut) Add(rental wire.RentalRequest) {
	cpus := s.Catalog.CPUs(rental.Type, rental.Count)
	s.Sums.Have += cpus
	s.Free[Kind{rental.Type, rental.Zone, rental.Spot}] += cpus
	s.MaxMachines -= rental.Count
	s.MachinesInZone[rental.Zone] += rental.Count
}

// Next returns the next rental, of the cheapest machines that the largest waiting work can use,
// as long as there are fewer than are worth their price; false if there is none. It sorts Groups.
func (s *ScaleOut) Next() (wire.RentalRequest, bool) {
	slices.SortStableFunc(s.Groups, func(a, b peer.WaitingTasks) int {
		return cmp.Compare(float64(b.WorkUS)*b.CPUs, float64(a.WorkUS)*a.CPUs)
	})
	lowestPrice := s.Catalog.LowestPrice()
	for _, g := range s.Groups {
		if g.Count == 0 {
			continue
		}
		if rental, ok := s.rentalFor(g, lowestPrice); ok {
			return rental, true
		}
	}
	return wire.RentalRequest{}, false
}

// rentalFor returns the rental for a group's tasks; false if they are not to have any.
func (s *ScaleOut) rentalFor(g peer.WaitingTasks, lowestPrice float64) (wire.RentalRequest, bool) {
	shortfall := s.Sums.Parallel - s.Sums.Have
	groupShortfall := 0.0
	hardlyAnyMachine := s.Sums.Have+scheduling.Tolerance < g.CPUs
	if s.Catalog.Constrained(g) || hardlyAnyMachine {
		groupShortfall = s.groupShortfall(g)
		shortfall = max(shortfall, groupShortfall)
	}
	if shortfall <= 0 {
		return wire.RentalRequest{}, false
	}
	for _, o := range s.options(g, shortfall) {
		deficit := max(s.Sums.Need(s.DrainHorizon, max(o.cpuPrice/lowestPrice, 1))-s.Sums.Have, groupShortfall)
		if deficit < minDeficit {
			continue
		}
		count := max(1, min(int(math.Ceil(deficit/o.cpus-roundingDown)), maxRentalMachines, s.MaxMachines))
		return wire.RentalRequest{Type: o.kind.Type, Zone: o.kind.Zone, Spot: o.kind.Spot, Count: count}, true
	}
	return wire.RentalRequest{}, false
}

// groupShortfall returns how many CPUs are wanted for a constrained group alone: the fleet may be
// large enough and yet have none that its tasks can use.
func (s *ScaleOut) groupShortfall(g peer.WaitingTasks) float64 {
	waiting := float64(g.Count) * g.CPUs
	toDrain := micros.Micros(g.WorkUS).Seconds() * g.CPUs / s.DrainHorizon.Seconds()
	shortfall := min(waiting, max(toDrain, g.CPUs))
	for k, cpus := range s.Free {
		if s.Catalog.Hosts(g, k) {
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
func (s *ScaleOut) options(g peer.WaitingTasks, shortfall float64) []option {
	var options []option
	for _, name := range s.Catalog.Names {
		mt := s.Catalog.Types[name]
		if mt.CPUs <= 0 {
			continue
		}
		usedCPUs := min(mt.CPUs, max(shortfall, g.CPUs))
		for _, k := range kindsOf(mt, name) {
			if !s.Catalog.Hosts(g, k) || s.Unavailable(k) {
				continue
			}
			price := CPUPrice(mt, k.Spot)
			options = append(options, option{kind: k, cpus: mt.CPUs, cpuPrice: price, usedPrice: price * mt.CPUs / usedCPUs})
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
func kindsOf(mt wire.MachineType, name string) []Kind {
	var kinds []Kind
	for _, zone := range mt.Zones {
		kinds = append(kinds, Kind{name, zone, true}, Kind{name, zone, false})
	}
	return kinds
}
