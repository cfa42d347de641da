package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller/ratelimit"
	"garnethitch/internal/micros"
)

const (
	// cloudTimeout bounds a request to the cloud.
	cloudTimeout = 4 * micros.Second
	// cloudRateFraction is the part of the cloud's rate that is used.
	cloudRateFraction = 0.8
	// fleetPlanInterval is the time between two plans for the fleet.
	fleetPlanInterval = micros.Second
)

// fleetState is what the leader knows of the fleet. The leader rents machines, assigns them to
// shards and returns them, and places no tasks.
type fleetState struct {
	*stepContext
	budget ratelimit.Bucket // of requests to the cloud

	ledAt    micros.Micros // when this controller began to lead
	first    bool          // nothing was on record then
	planNext micros.Micros // when the fleet is next planned

	cloudTypes
	cloudList
	rentals
	assignments
	machineReturns
	machineMoves
}

// assignments are the machines that are being assigned to shards.
type assignments struct {
	pendingCreations   map[string]*recordSetCreation // record sets being recorded, by key
	assigning          map[string]bool               // machines in them, or about to be
	registrations      []registration                // machines without a record that have sent a heartbeat
	registrationsDueAt micros.Micros                 // when they are recorded
}

// init prepares the state of a controller that does not lead.
func (f *fleetState) init(cfg Config) {
	f.budget = ratelimit.NewBucket(cfg.CloudRPS * cloudRateFraction)
	f.typesAt = -micros.Never
	f.reset()
}

// reset forgets what is known of the fleet, machine types and the budget excepted.
func (f *fleetState) reset() {
	f.cloudList.reset()
	f.rentals.reset()
	f.assignments.reset()
	f.machineReturns.reset()
	f.machineMoves.reset()
}

// reset forgets all assignments.
func (a *assignments) reset() {
	a.pendingCreations = map[string]*recordSetCreation{}
	a.assigning = map[string]bool{}
	a.registrations = nil
}

// startLeading begins anew when this controller has acquired the leader lock.
func (c *Controller) startLeading() {
	c.fleet.refuseRegistrations()
	f := &c.fleet
	f.reset()
	f.ledAt = c.now
	f.planNext = c.now
	f.first = len(c.machineRecords.sets) == 0
	for _, label := range c.cfg.Peers {
		c.peers[label].pendingReturnedMachines = nil
	}
	c.log(Info, "leader lock acquired", "epoch", c.ownership.leader.ownerEpoch, "machines", len(c.machines))
}

// refuseRegistrations answers the machines that wait for a record. They must be free to send
// heartbeats again: this controller may lead again under the same epoch.
func (f *fleetState) refuseRegistrations() {
	for _, r := range f.registrations {
		delete(f.assigning, r.in.Heartbeat.Machine)
		f.answer(r.in.Reply, http.StatusServiceUnavailable, nil, 0)
	}
	f.registrations = nil
}

// askCloud sends a request if the budget allows it, and reports whether it did.
func (f *fleetState) askCloud(req any, timeout micros.Micros, done func(Result)) bool {
	b := &f.budget
	b.Refill(f.now)
	if b.Tokens() < 1 {
		return false
	}
	b.Take(1)
	f.sendCall(Call{To: ToCloud, Req: req, Timeout: timeout}, done)
	return true
}

// maintainFleet does what becomes due of the leader's work.
func (c *Controller) maintainFleet() {
	c.refreshTypes()
	if !c.ownership.mayLead() {
		c.fleet.refuseRegistrations()
		return
	}
	f := &c.fleet
	for _, req := range slices.Clone(f.scaleOuts) {
		c.sendScaleOut(req)
	}
	c.refreshList()
	c.recordRegistrations()
	c.maintainCreations()
	if c.now >= f.planNext {
		f.planNext = c.now + fleetPlanInterval
		c.planFleet()
	}
}

// planFleet assigns machines to shards, and decides which to rent, to move and to return.
func (c *Controller) planFleet() {
	demands := c.allDemand()
	c.logFreeCapacities()
	inventoryKnown := c.fleet.listedAt != 0 && c.types.known()
	if inventoryKnown {
		c.assignListed(demands)
	}
	c.scaleInUnusable(demands)
	c.dropReturned()
	if inventoryKnown {
		c.resizeFleet(demands)
	}
	c.sendReleases()
}
