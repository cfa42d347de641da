package controller

import (
	"fmt"
	"net/http"
	"slices"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// Machines that are rented.

const (
	// maxScaleOuts bounds the rentals under way.
	maxScaleOuts = 4
	// scaleOutRetryInterval is the time after which a rental that was not answered is sent again.
	scaleOutRetryInterval = 2 * micros.Second
	// minRefusalPause and maxRefusalPause bound the time for which a kind of machine that the
	// cloud has refused is not asked for; it doubles with each refusal.
	minRefusalPause = 8 * micros.Second
	maxRefusalPause = 40 * micros.Second
)

// rentals are the machines that this leader rents.
type rentals struct {
	scaleOutSequence uint64             // number of the last rental
	scaleOuts        []*scaleOutRequest // rentals under way
	refused          map[fleet.Kind]*refusal
	rented           map[string]*rented // on no record yet
}

// reset forgets all rentals.
func (r *rentals) reset() {
	r.scaleOuts = nil
	r.refused = map[fleet.Kind]*refusal{}
	r.rented = map[string]*rented{}
}

// scaleOutRequest is a rental under way. It is sent again, under the same name, until the cloud
// has answered: it may have been carried out.
type scaleOutRequest struct {
	rental   wire.RentalRequest
	nextAt   micros.Micros // when it may be sent again
	inFlight bool
}

// kind returns the kind of the machines that are rented.
func (r *scaleOutRequest) kind() fleet.Kind {
	return fleet.Kind{Type: r.rental.Type, Zone: r.rental.Zone, Spot: r.rental.Spot}
}

// refusal is a kind of machine that the cloud did not have.
type refusal struct {
	until, pause micros.Micros
}

// kind returns the kind of the machine.
func (m *machine) kind() fleet.Kind {
	return fleet.Kind{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot}
}

// freeByKind adds up the CPUs of the machines that are idle or on their way, by kind.
func (c *Controller) freeByKind(demands fleet.Demands) map[fleet.Kind]float64 {
	f := &c.fleet
	free := map[fleet.Kind]float64{}
	for _, d := range demands {
		for _, m := range d.Machines {
			if rec := c.machines[m.ID]; rec != nil && m.State == peer.MachineIdle {
				free[rec.kind()] += c.types.byName[rec.rec.Type].CPUs
			}
		}
	}
	for id, r := range f.rented {
		if c.machines[id] == nil {
			free[r.kind] += c.types.byName[r.kind.Type].CPUs
		}
	}
	for id, l := range f.listed {
		if c.unrecorded(id, l) {
			free[fleet.Kind{Type: l.Type, Zone: l.Zone, Spot: l.Spot}] += c.types.byName[l.Type].CPUs
		}
	}
	for _, req := range f.scaleOuts {
		free[req.kind()] += c.catalog().CPUs(req.rental.Type, req.rental.Count)
	}
	return free
}

// machinesInZone counts the machines on record by zone.
func (c *Controller) machinesInZone() map[string]int {
	machines := map[string]int{}
	for _, m := range c.machines {
		machines[m.rec.Zone]++
	}
	return machines
}

// unavailable returns a function that reports whether machines of a kind cannot be had, or could
// not be reached, for now.
func (f *fleetState) unavailable(partitioned map[string]bool) func(fleet.Kind) bool {
	return func(k fleet.Kind) bool {
		r := f.refused[k]
		return partitioned[k.Zone] || r != nil && f.now < r.until
	}
}

// scaleOut rents the cheapest machines that the waiting tasks can use, as long as there are fewer
// than are worth their price, and no more than maxMachines.
func (c *Controller) scaleOut(demands fleet.Demands, sums fleet.Sums, maxMachines int) {
	f := &c.fleet
	choice := fleet.ScaleOut{
		Catalog:        c.catalog(),
		DrainHorizon:   c.cfg.DrainHorizon,
		Sums:           sums,
		Groups:         demands.Groups(),
		Free:           c.freeByKind(demands),
		MachinesInZone: c.machinesInZone(),
		MaxMachines:    maxMachines,
		Unavailable:    c.fleet.unavailable(fleet.PartitionedZones(demands)),
	}
	for len(f.scaleOuts) < maxScaleOuts && choice.MaxMachines > 0 {
		rental, ok := choice.Next()
		if !ok {
			return
		}
		choice.Add(rental)
		f.scaleOutSequence++
		rental.RequestID = fmt.Sprintf("r-%d-%d", c.ownership.leader.ownerEpoch, f.scaleOutSequence)
		req := &scaleOutRequest{rental: rental}
		f.scaleOuts = append(f.scaleOuts, req)
		c.sendScaleOut(req)
	}
}

// sendScaleOut sends a rental unless it is in flight, or was sent a short time ago.
func (c *Controller) sendScaleOut(req *scaleOutRequest) {
	if req.inFlight || c.now < req.nextAt {
		return
	}
	ownerEpoch := c.ownership.leader.ownerEpoch
	req.inFlight = c.fleet.askCloud(req.rental, cloudTimeout, func(r Result) {
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			return
		}
		req.inFlight = false
		c.fleet.handleScaleOutResult(req, r)
	})
}

// handleScaleOutResult takes in the cloud's answer to a rental.
func (f *fleetState) handleScaleOutResult(req *scaleOutRequest, r Result) {
	names, ok := r.Body.(*wire.MachineNames)
	switch {
	case ok && r.Status == http.StatusOK:
		f.endScaleOut(req)
		f.addRented(req, names.Machines)
	case r.Status == http.StatusServiceUnavailable && r.Body == noCapacity:
		f.endScaleOut(req)
		f.refuse(req.kind())
	case r.Status == http.StatusBadRequest:
		f.endScaleOut(req)
		f.refuse(req.kind())
		f.log(Error, "rental request called malformed", "request", req.rental.RequestID)
	default:
		req.nextAt = f.now + f.jitter(scaleOutRetryInterval)
	}
}

// endScaleOut removes a rental that the cloud has answered, and has the fleet planned anew.
func (f *fleetState) endScaleOut(req *scaleOutRequest) {
	f.scaleOuts = slices.DeleteFunc(f.scaleOuts, func(other *scaleOutRequest) bool { return other == req })
	f.planNext = f.now
}

// addRented takes in the machines that the cloud has rented out.
func (f *fleetState) addRented(req *scaleOutRequest, machines []string) {
	k := req.kind()
	f.log(Info, "scaled out", "type", k.Type, "zone", k.Zone, "spot", k.Spot, "wanted", req.rental.Count, "got", len(machines))
	if len(machines) < req.rental.Count {
		f.refuse(k)
	} else {
		delete(f.refused, k)
	}
	for _, id := range machines {
		f.rented[id] = &rented{kind: k, at: f.now}
	}
}

// noCapacity is the body by which a runtime tells the cloud's "no capacity" from an outage.
const noCapacity = NoCapacity("no capacity")

// NoCapacity is the Result body of a refused rental.
type NoCapacity string

// RefusedRental is the Body to give with a 503 that says "no capacity".
const RefusedRental = noCapacity

// refuse has machines of a kind not asked for, for longer with each time.
func (f *fleetState) refuse(k fleet.Kind) {
	r := f.refused[k]
	if r == nil {
		r = &refusal{}
		f.refused[k] = r
	}
	r.pause = min(max(2*r.pause, minRefusalPause), maxRefusalPause)
	r.until = f.now + f.jitter(r.pause)
	f.log(Debug, "no more machines of a kind for now", "type", k.Type, "zone", k.Zone, "spot", k.Spot)
}
