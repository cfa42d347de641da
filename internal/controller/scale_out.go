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

// This file rents machines from the cloud.

const (
	// maxScaleOuts bounds the rental requests under way.
	maxScaleOuts = 4
	// scaleOutRetryInterval is the time after which a rental request without a definite answer is
	// sent again.
	scaleOutRetryInterval = 2 * micros.Second
	// minRefusalBackoff and maxRefusalBackoff bound how long a kind of machine is not requested
	// after the cloud has refused it. The time doubles with each refusal.
	minRefusalBackoff = 8 * micros.Second
	maxRefusalBackoff = 40 * micros.Second
)

// rentals holds the leader's rental requests and the machines that the cloud has rented out to it.
type rentals struct {
	scaleOutSequence uint64             // number of the last rental request
	scaleOuts        []*scaleOutRequest // requests under way
	refused          map[fleet.Kind]*refusal
	rented           map[string]*rentedMachine // machines that are not on record yet, by ID
}

// reset discards all rentals.
func (r *rentals) reset() {
	r.scaleOuts = nil
	r.refused = map[fleet.Kind]*refusal{}
	r.rented = map[string]*rentedMachine{}
}

// scaleOutRequest is a rental request under way. It is sent again under the same request name until
// the cloud has answered, because an unanswered request may have been carried out.
type scaleOutRequest struct {
	rental     wire.RentalRequest
	nextSendAt micros.Micros // earliest time of the next attempt
	inFlight   bool
}

// kind returns the kind of the requested machines.
func (r *scaleOutRequest) kind() fleet.Kind {
	return fleet.Kind{Type: r.rental.Type, Zone: r.rental.Zone, Spot: r.rental.Spot}
}

// refusal records that the cloud had no more machines of a kind. They are not requested again
// before until; backoff is the time without jitter.
type refusal struct {
	until, backoff micros.Micros
}

// kind returns the kind of the machine.
func (m *machine) kind() fleet.Kind {
	return fleet.Kind{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot}
}

// freeCPUsByKind adds up the CPUs of machines that are idle, booting or being rented, by kind.
func (c *Controller) freeCPUsByKind(demands fleet.Demands) map[fleet.Kind]float64 {
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

// machinesByZone counts the machines on record by zone.
func (c *Controller) machinesByZone() map[string]int {
	machines := map[string]int{}
	for _, m := range c.machines {
		machines[m.rec.Zone]++
	}
	return machines
}

// unavailable returns a function that reports whether machines of a kind should not be rented for
// now: the cloud has refused them recently, or their zone is partitioned.
func (f *fleetState) unavailable(partitioned map[string]bool) func(fleet.Kind) bool {
	return func(k fleet.Kind) bool {
		r := f.refused[k]
		return partitioned[k.Zone] || r != nil && f.now < r.until
	}
}

// scaleOutChoice returns the choice of machines to rent, at most maxMachines.
func (c *Controller) scaleOutChoice(demands fleet.Demands, totals fleet.Totals, maxMachines int) *fleet.ScaleOut {
	return &fleet.ScaleOut{
		Catalog:        c.catalog(),
		DrainHorizon:   c.cfg.DrainHorizon,
		Totals:         totals,
		WaitingTasks:   demands.WaitingTasks(),
		Free:           c.freeCPUsByKind(demands),
		MachinesInZone: c.machinesByZone(),
		MaxMachines:    maxMachines,
		Unavailable:    c.fleet.unavailable(fleet.PartitionedZones(demands)),
	}
}

// scaleOut rents the cheapest machines that the waiting tasks can use, as long as further machines
// are worth their price.
func (c *Controller) scaleOut(choice *fleet.ScaleOut) {
	for len(c.fleet.scaleOuts) < maxScaleOuts && choice.MaxMachines > 0 {
		rental, ok := choice.Next()
		if !ok {
			return
		}
		c.requestScaleOut(choice, rental)
	}
}

// requestScaleOut sends a rental request, and counts the rental as existing capacity.
func (c *Controller) requestScaleOut(choice *fleet.ScaleOut, rental wire.RentalRequest) {
	f := &c.fleet
	choice.Add(rental)
	f.scaleOutSequence++
	rental.RequestID = fmt.Sprintf("r-%d-%d", c.ownership.leader.ownerEpoch, f.scaleOutSequence)
	req := &scaleOutRequest{rental: rental}
	f.scaleOuts = append(f.scaleOuts, req)
	c.sendScaleOut(req)
}

// sendScaleOut sends a rental request unless it is in flight or was sent a short time ago.
func (c *Controller) sendScaleOut(req *scaleOutRequest) {
	if req.inFlight || c.now < req.nextSendAt {
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

// handleScaleOutResult handles the result of a rental request.
func (f *fleetState) handleScaleOutResult(req *scaleOutRequest, r Result) {
	names, ok := r.Body.(*wire.MachineNames)
	switch {
	case ok && r.Status == http.StatusOK:
		f.endScaleOut(req)
		f.addRented(req, names.Machines)
	case r.Status == http.StatusServiceUnavailable && r.Body == noCapacity:
		f.endScaleOut(req)
		f.recordRefusal(req.kind())
	case r.Status == http.StatusBadRequest:
		f.endScaleOut(req)
		f.recordRefusal(req.kind())
		f.log(Error, "rental request called malformed", "request", req.rental.RequestID)
	default:
		req.nextSendAt = f.now + f.jitter(scaleOutRetryInterval)
	}
}

// endScaleOut removes a rental request that the cloud has answered, and makes the next plan due at
// once.
func (f *fleetState) endScaleOut(req *scaleOutRequest) {
	f.scaleOuts = slices.DeleteFunc(f.scaleOuts, func(other *scaleOutRequest) bool { return other == req })
	f.nextPlanAt = f.now
}

// addRented records the machines that the cloud has rented out for a request. If they are fewer than
// were requested, the cloud has refused further machines of this kind.
func (f *fleetState) addRented(req *scaleOutRequest, machines []string) {
	k := req.kind()
	f.log(Info, "scaled out", "type", k.Type, "zone", k.Zone, "spot", k.Spot, "wanted", req.rental.Count, "got", len(machines))
	if len(machines) < req.rental.Count {
		f.recordRefusal(k)
	} else {
		delete(f.refused, k)
	}
	for _, id := range machines {
		f.rented[id] = &rentedMachine{kind: k, at: f.now}
	}
}

// noCapacity is the result body that distinguishes the cloud's refusal for lack of capacity from an
// outage.
const noCapacity = NoCapacity("no capacity")

// NoCapacity is the type of the Result body for a rental request that the cloud refused for lack of
// capacity.
type NoCapacity string

// RefusedRental is the Result body for a 503 response by which the cloud refuses a rental for lack
// of capacity.
const RefusedRental = noCapacity

// recordRefusal stops requests for machines of a kind for a while; the backoff doubles with each
// refusal.
func (f *fleetState) recordRefusal(k fleet.Kind) {
	r := f.refused[k]
	if r == nil {
		r = &refusal{}
		f.refused[k] = r
	}
	r.backoff = min(max(2*r.backoff, minRefusalBackoff), maxRefusalBackoff)
	r.until = f.now + f.jitter(r.backoff)
	f.log(Debug, "no more machines of a kind for now", "type", k.Type, "zone", k.Zone, "spot", k.Spot)
}
