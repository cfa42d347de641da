package controller

import (
	"net/http"

	"garnethitch/internal/controller/fleet"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// rentedMachine is a machine that this leader has rented and that is not on record yet. It is
// recorded at its first heartbeat, not before: a new owner has to reconcile each machine on record
// before it starts tasks that a former owner may have started there, and a machine that still boots
// can't be reconciled.
type rentedMachine struct {
	kind fleet.Kind
	at   micros.Micros
}

// registration is the heartbeat of a machine without a record. It is answered once the machine is
// assigned to a shard.
type registration struct {
	in   Heartbeat
	kind fleet.Kind
}

// unassignedMachine is a machine that has no record yet.
type unassignedMachine struct {
	wire.MachineRecord
	kind fleet.Kind
}

const (
	// registrationInterval is how long registrations are collected, so that machines that come
	// up together take one write.
	registrationInterval = 300 * micros.Millisecond
	// listedAssignmentMargin is the time beyond twice the lag of the cloud's list for which a new
	// leader does not rely on the list.
	listedAssignmentMargin = 2 * micros.Second
)

// registerMachine handles the heartbeat of a machine without a record. Only the leader registers
// such machines; other nodes redirect to it. A heartbeat alone does not suffice, since it may be a
// late copy of one that the machine sent before it was returned: this leader must have rented the
// machine, or the machine must answer a direct request.
func (c *Controller) registerMachine(in Heartbeat) {
	if !c.ownership.mayLead() {
		c.redirect(in.Reply, &c.ownership.leader)
		return
	}
	heartbeat := &in.Heartbeat
	if !c.mayRegister(heartbeat) {
		c.refuseRegistration(in)
		return
	}
	if c.fleet.rented[heartbeat.Machine] != nil {
		c.fleet.addRegistration(in)
		return
	}
	if !c.commandQueue.takeProbe() {
		c.refuseRegistration(in)
		return
	}
	c.probeUnknownMachine(in)
}

// mayRegister reports whether a machine without a record may be registered now.
func (c *Controller) mayRegister(heartbeat *wire.Heartbeat) bool {
	f := &c.fleet
	id := heartbeat.Machine
	if f.assigning[id] || f.returning[id] || f.returned[id] != 0 {
		return false
	}
	if !wire.ValidKey(id) || heartbeat.Addr == "" {
		return false
	}
	return c.types.known() && len(f.registrations) < c.cfg.MaxRegistrations
}

// refuseRegistration answers a heartbeat with 503, so that the machine sends another one later.
func (c *Controller) refuseRegistration(in Heartbeat) {
	c.answer(in.Reply, http.StatusServiceUnavailable, nil, 0)
}

// probeUnknownMachine requests a heartbeat from a machine that this leader has not rented, and
// registers it if it answers.
func (c *Controller) probeUnknownMachine(in Heartbeat) {
	f := &c.fleet
	id := in.Heartbeat.Machine
	ownerEpoch := c.ownership.leader.ownerEpoch
	f.assigning[id] = true
	c.askWorker(in.Heartbeat.Addr, GetHeartbeat{}, func(r Result) {
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			c.refuseRegistration(in)
			return
		}
		delete(f.assigning, id)
		got, ok := r.Body.(*wire.Heartbeat)
		answered := ok && r.Status == http.StatusOK && got.Machine == id
		gone := f.returned[id] != 0 || f.returning[id]
		if !answered || gone || c.machines[id] != nil {
			c.refuseRegistration(in)
			return
		}
		c.fleet.addRegistration(in)
	})
}

// addRegistration adds a machine to those that are assigned together at registrationsDueAt.
func (f *fleetState) addRegistration(in Heartbeat) {
	if len(f.registrations) == 0 {
		f.registrationsDueAt = f.now + registrationInterval
	}
	heartbeat := &in.Heartbeat
	f.assigning[heartbeat.Machine] = true
	f.registrations = append(f.registrations, registration{in, fleet.Kind{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}})
	f.wakeIn(f.registrationsDueAt - f.now)
}

// recordRegistrations assigns the registered machines to shards, once registrationsDueAt is reached.
func (c *Controller) recordRegistrations() {
	f := &c.fleet
	if len(f.registrations) == 0 || c.now < f.registrationsDueAt {
		return
	}
	registrations := f.registrations
	f.registrations = nil
	var list []unassignedMachine
	for _, reg := range registrations {
		record := wire.MachineRecord{ID: reg.in.Heartbeat.Machine, Addr: reg.in.Heartbeat.Addr}
		list = append(list, unassignedMachine{record, reg.kind})
	}
	c.assignMachines(recordSetRegistered, list, c.latestDemands(), registrations)
}

// assignListed assigns machines that the cloud lists as running and that are on no record: those of
// the first start of the fleet, and any whose heartbeats do not arrive. The list lags, so that a new
// leader waits before it relies on it: a machine that a former leader has just returned must not
// be recorded again.
func (c *Controller) assignListed(demand map[int]*peer.Demand) {
	f := &c.fleet
	if !f.noRecordsAtStart && c.now-f.leadingSince <= 2*c.cfg.ListLag+listedAssignmentMargin {
		return
	}
	var list []unassignedMachine
	for _, id := range f.listedIDs {
		listed := f.listed[id]
		known := c.machines[id] != nil || f.assigning[id]
		gone := f.returning[id] || f.returned[id] != 0
		if listed.State != wire.MachineRunning || known || gone || !wire.ValidKey(id) {
			continue
		}
		list = append(list, unassignedMachine{wire.MachineRecord{ID: id, Addr: listed.Addr}, fleet.Kind{Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot}})
	}
	c.assignMachines(recordSetListed, list, demand, nil)
}
