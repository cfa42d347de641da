package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// What the leader reads from the cloud: the machine types and the list of the rented machines.

const (
	// typesInterval is the time between two reads of the machine types; firstTypesInterval
	// applies until they are known.
	typesInterval      = 30 * micros.Second
	firstTypesInterval = micros.Second
	// typesTimeout is how long a write of the machine types to the state service may take.
	typesTimeout = 2 * micros.Second
	// maxTypes is the largest number of machine types; further ones are ignored.
	maxTypes = 1000

	// listPageSize is the number of machines in the largest page that the cloud returns.
	listPageSize = 500
	// listRetryInterval is the time after which a failed read of the list is repeated.
	listRetryInterval = micros.Second
	// minListInterval is the least time between two reads of the list. The reads also take at
	// most one in listBudgetDivisor of the requests that the rate limit allows: more would
	// crowd out rentals.
	minListInterval   = 2 * micros.Second
	listBudgetDivisor = 4

	// returnedRetention is how long a returned machine that is on no record is remembered, and
	// releaseRequestRetention how long a request to release a machine is.
	returnedRetention       = 10 * micros.Minute
	releaseRequestRetention = micros.Minute
)

// cloudTypes is the state of reading the machine types from the cloud and storing them in the
// state service.
type cloudTypes struct {
	typesReadAt       micros.Micros // when the machine types were last read
	typesReadInFlight bool          // a read is under way
	storedTypes       []byte        // the encoded machine types as last stored
	typesModRevision  uint64        // the modification revision of their key, as the watch has it
}

// cloudList is the cloud's list of machines and the state of reading it.
type cloudList struct {
	listed    map[string]wire.ListedMachine
	listedIDs []string      // the machines' IDs, in the order of the list
	listedAt  micros.Micros // when the last complete read of the list began; 0: none yet
	// unlistedSince holds, for each machine on record that is not listed, when that was first
	// seen.
	unlistedSince map[string]micros.Micros

	nextListAt        micros.Micros        // when the next page may be requested
	listReadInFlight  bool                 // a page is being read
	listReadStartedAt micros.Micros        // when the present read of the list began
	pages             []wire.ListedMachine // the machines of the pages read so far
	lastReadID        string               // the last machine of these pages; empty: none
}

// reset clears the list, and abandons a read that is under way.
func (l *cloudList) reset() {
	l.listed = nil
	l.listedIDs = nil
	l.listedAt = 0
	l.unlistedSince = map[string]micros.Micros{}
	l.listReadInFlight = false
	l.pages = nil
	l.lastReadID = ""
}

// refreshTypes reads the machine types from the cloud when a read is due. The leader stores them in
// the state service for the other controllers, so that one that starts during an outage of the
// cloud knows them too.
func (c *Controller) refreshTypes() {
	f := &c.fleet
	if f.typesReadInFlight || !c.typesDue() {
		return
	}
	f.typesReadInFlight = c.fleet.askCloud(GetTypes{}, cloudTimeout, func(r Result) {
		f.typesReadInFlight = false
		f.typesReadAt = c.now
		if body, ok := r.Body.(*wire.MachineTypes); ok && r.Status == http.StatusOK {
			c.applyTypes(*body, true)
		}
	})
}

// typesDue reports whether this controller is to read the machine types from the cloud now. The
// leader reads them every typesInterval. Any controller that does not know them reads them every
// firstTypesInterval, once it has listed the control keys of the state service, among which the
// types may be.
func (c *Controller) typesDue() bool {
	if !c.types.known() {
		return c.ownership.controlWatch.Ready() && c.now >= c.fleet.typesReadAt+firstTypesInterval
	}
	return c.ownership.mayLead() && c.now >= c.fleet.typesReadAt+typesInterval
}

// applyTypes uses machine types read from the cloud or the state service. A leader stores those
// from the cloud, and ignores those from the state service once it knows the types.
func (c *Controller) applyTypes(mt wire.MachineTypes, fromCloud bool) {
	types := usableTypes(mt)
	if len(types) == 0 || !fromCloud && c.types.known() && c.ownership.mayLead() {
		return
	}
	c.types = newMachineTypes(types)
	c.schedulingDue = true
	for _, s := range c.ownership.shards {
		s.recountAll = true
	}
	if fromCloud && c.ownership.mayLead() {
		c.storeTypes(mt)
	}
}

// usableTypes returns the valid machine types, at most maxTypes, by name. Their zones are sorted.
func usableTypes(mt wire.MachineTypes) map[string]wire.MachineType {
	types := map[string]wire.MachineType{}
	for _, t := range mt.Types {
		if !usableType(t) || len(types) >= maxTypes {
			continue
		}
		slices.Sort(t.Zones)
		t.Zones = slices.Compact(t.Zones)
		types[t.Name] = t
	}
	return types
}

// usableType reports whether a machine type has a name, and no number in it is negative or NaN.
func usableType(t wire.MachineType) bool {
	for _, figure := range []float64{t.CPUs, t.GPUs, t.MemGB, t.Price, t.SpotPrice} {
		if !(figure >= 0) {
			return false
		}
	}
	return t.Name != ""
}

// storeTypes writes the machine types to the state service if they have changed.
func (c *Controller) storeTypes(mt wire.MachineTypes) {
	value, err := wire.Encode(mt)
	if err != nil || string(value) == string(c.fleet.storedTypes) || !c.storable(value) {
		return
	}
	txn := wire.Txn{
		Conditions: []wire.Condition{
			{Key: wire.KeyLeader, ModRevision: c.ownership.leader.ownerEpoch},
			{Key: wire.KeyMachineTypes, ModRevision: c.fleet.typesModRevision},
		},
		Changes: []wire.Change{{Put: wire.KeyMachineTypes, Value: value}},
	}
	c.queueStateRequest(statestore.ClassFleet, txn, typesTimeout, func(r statestore.Reply) {
		if r.Status == http.StatusOK {
			c.fleet.storedTypes = value
		}
	})
}

// refreshList reads the next page of the cloud's list of machines when a read is due.
func (c *Controller) refreshList() {
	f := &c.fleet
	if f.listReadInFlight || c.now < f.nextListAt {
		return
	}
	if f.lastReadID == "" {
		f.pages = f.pages[:0]
		f.listReadStartedAt = c.now
	}
	ownerEpoch := c.ownership.leader.ownerEpoch
	f.listReadInFlight = c.fleet.askCloud(ListMachines{After: f.lastReadID, Limit: listPageSize}, cloudTimeout, func(r Result) {
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			return
		}
		f.listReadInFlight = false
		c.handleListPage(r)
	})
}

// handleListPage processes a page of the cloud's list. A failed read starts again with the first
// page.
func (c *Controller) handleListPage(r Result) {
	f := &c.fleet
	body, ok := r.Body.(*wire.MachineList)
	if !ok || r.Status != http.StatusOK {
		f.lastReadID = ""
		f.nextListAt = c.now + listRetryInterval
		return
	}
	f.pages = append(f.pages, body.Machines...)
	if body.More && len(body.Machines) > 0 {
		f.lastReadID = body.Machines[len(body.Machines)-1].ID
		return
	}
	f.cloudList.complete()
	f.nextListAt = c.now + c.fleet.listInterval(len(f.pages))
	c.compareList()
}

// complete replaces the list with the pages that were read. A machine on two pages is listed once.
func (l *cloudList) complete() {
	l.listed = make(map[string]wire.ListedMachine, len(l.pages))
	l.listedIDs = l.listedIDs[:0]
	for _, m := range l.pages {
		if _, twice := l.listed[m.ID]; !twice {
			l.listedIDs = append(l.listedIDs, m.ID)
		}
		l.listed[m.ID] = m
	}
	l.listedAt = l.listReadStartedAt
	l.lastReadID = ""
}

// listInterval returns the time between two reads of a list of the given number of machines.
func (f *fleetState) listInterval(machines int) micros.Micros {
	pages := float64(machines/listPageSize + 1)
	withinBudget := micros.FromSeconds(listBudgetDivisor * pages / f.cloudBudget.Rate())
	return max(f.cfg.ListLag/2, minListInterval, withinBudget)
}

// compareList compares the cloud's list with the machines on record, and removes outdated entries
// of the maps that hold returned and unlisted machines and release requests.
func (c *Controller) compareList() {
	for _, s := range c.ownership.shards {
		for _, m := range s.machines {
			c.fleet.compareWithList(m)
		}
	}
	f := &c.fleet
	for id := range f.unlistedSince {
		if c.machines[id] == nil {
			delete(f.unlistedSince, id)
		}
	}
	for id, at := range f.returned {
		if c.now-at > returnedRetention && c.machines[id] == nil {
			delete(f.returned, id)
		}
	}
	for id, at := range f.releaseRequestedAt {
		if c.now-at > releaseRequestRetention {
			delete(f.releaseRequestedAt, id)
		}
	}
}

// compareWithList records since when a machine on record has not been listed. If it is listed and
// has no address yet, it gets the address in the list.
func (f *fleetState) compareWithList(m *machine) {
	l, listed := f.listed[m.id]
	if !listed {
		if f.unlistedSince[m.id] == 0 {
			f.unlistedSince[m.id] = f.now
		}
		return
	}
	delete(f.unlistedSince, m.id)
	if m.rec.Addr == "" {
		m.rec.Addr = l.Addr
	}
}
