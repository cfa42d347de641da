package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller/ratelimit"
	"garnethitch/internal/micros"
)

const (
	// cloudTimeout is the timeout of a request to the cloud.
	cloudTimeout = 4 * micros.Second
	// cloudRateFraction is the fraction of the cloud's rate limit that the controller uses.
	cloudRateFraction = 0.8
	// fleetPlanInterval is the time between two plans for the fleet.
	fleetPlanInterval = micros.Second
)

// fleetState is what the leader knows of the fleet. The leader rents machines, assigns them to
// shards and returns them to the cloud; it does not schedule tasks.
type fleetState struct {
	*stepContext
	cloudBudget ratelimit.Bucket // limits requests to the cloud

	leadingSince     micros.Micros // when this controller became leader
	noRecordsAtStart bool          // no machine was on record at that time
	nextPlanAt       micros.Micros // time of the next plan

	cloudTypes
	cloudList
	rentals
	assignments
	machineReturns
	machineMoves
	starvationService
}

// assignments holds the machines that are being assigned to shards.
type assignments struct {
	pendingCreations map[string]*recordSetCreation // record sets being written, by key
	// assigning holds the IDs of the machines in these record sets, of those that wait for a record
	// set, and of those that are probed before they are registered.
	assigning          map[string]bool
	registrations      []registration // of machines that sent a heartbeat but have no record
	registrationsDueAt micros.Micros  // when the registrations are recorded
}

// init prepares the state of a controller that does not lead.
func (f *fleetState) init(cfg Config) {
	f.cloudBudget = ratelimit.NewBucket(cfg.CloudRPS * cloudRateFraction)
	f.typesReadAt = -micros.Never
	f.reset()
}

// reset discards the state of the fleet except for machine types and the request budget.
func (f *fleetState) reset() {
	f.cloudList.reset()
	f.rentals.reset()
	f.assignments.reset()
	f.machineReturns.reset()
	f.machineMoves.reset()
	f.starvationService.reset()
}

// reset discards all assignments.
func (a *assignments) reset() {
	a.pendingCreations = map[string]*recordSetCreation{}
	a.assigning = map[string]bool{}
	a.registrations = nil
}

// startLeading resets the fleet state after this controller has acquired the leader lock.
func (c *Controller) startLeading() {
	c.fleet.refuseRegistrations()
	f := &c.fleet
	f.reset()
	f.leadingSince = c.now
	f.nextPlanAt = c.now
	f.noRecordsAtStart = len(c.machineRecords.sets) == 0
	for _, label := range c.cfg.Peers {
		c.peers[label].pendingReturnedMachines = nil
	}
	c.log(Info, "leader lock acquired", "epoch", c.ownership.leader.ownerEpoch, "machines", len(c.machines))
}

// refuseRegistrations refuses the registrations of machines that wait for a record. They must be
// able to register again later: this controller may become leader again under the same epoch.
func (f *fleetState) refuseRegistrations() {
	for _, r := range f.registrations {
		delete(f.assigning, r.in.Heartbeat.Machine)
		f.answer(r.in.Reply, http.StatusServiceUnavailable, nil, 0)
	}
	f.registrations = nil
}

// askCloud sends a request to the cloud if the request budget allows it, and reports whether it
// did.
func (f *fleetState) askCloud(req any, timeout micros.Micros, done func(Result)) bool {
	b := &f.cloudBudget
	b.Refill(f.now)
	if b.Tokens() < 1 {
		return false
	}
	b.Take(1)
	f.sendCall(Call{To: ToCloud, Req: req, Timeout: timeout}, done)
	return true
}

// maintainFleet does the leader's periodic work that is due.
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
	if c.now >= f.nextPlanAt {
		f.nextPlanAt = c.now + fleetPlanInterval
		c.planFleet()
	}
}

// planFleet assigns new machines to shards, and decides which machines to rent, move and return.
func (c *Controller) planFleet() {
	demands := c.latestDemands()
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
