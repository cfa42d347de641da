package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// What the cloud has: types of machines and the list of those that are rented.

const (
	// typesInterval is the time between two reads of the machine types, firstTypesInterval that
	// until they are known.
	typesInterval      = 30 * micros.Second
	firstTypesInterval = micros.Second
	// typesTimeout bounds the write of the machine types to the state service.
	typesTimeout = 2 * micros.Second
	// maxTypes bounds the machine types.
	maxTypes = 1000

	// listPageSize is the largest page that the cloud gives.
	listPageSize = 500
	// listRetryInterval is the time after which the list is read again if that has failed.
	listRetryInterval = micros.Second
	// minListInterval is the least time between two readings of the list. They also take one
	// request in listBudgetDivisor of the budget at most, or they would crowd out rentals.
	minListInterval   = 2 * micros.Second
	listBudgetDivisor = 4

	// returnedMemory is how long a returned machine that is on no record is remembered,
	// releaseMemory a request to release a machine.
	returnedMemory = 10 * micros.Minute
	releaseMemory  = micros.Minute
)

// cloudTypes is when and how the machine types were last read and stored.
type cloudTypes struct {
	typesAt          micros.Micros // when they were last read
	typesBusy        bool          // they are being read
	typesRaw         []byte        // as last stored
	typesModRevision uint64        // of the record's key, as the watch has it
}

// cloudList is the cloud's list of machines.
type cloudList struct {
	listed   map[string]wire.ListedMachine
	order    []string      // their IDs, in the order of the list
	listedAt micros.Micros // when the last complete reading began; 0: none yet
	// missing says since when machines on record have not been listed.
	missing map[string]micros.Micros

	listNext micros.Micros // when it is next read
	listBusy bool          // a page is being read
	listFrom micros.Micros // when the reading under way began
	pages    []wire.ListedMachine
	after    string // the last machine of the pages read; empty: none
}

// reset forgets the list.
func (l *cloudList) reset() {
	l.listed = nil
	l.order = nil
	l.listedAt = 0
	l.missing = map[string]micros.Micros{}
	l.listBusy = false
	l.pages = nil
	l.after = ""
}

// refreshTypes keeps the machine types known: the leader asks the cloud and leaves them in the
// state service for the others, so that a controller that starts during an outage of the cloud
// knows them too.
func (c *Controller) refreshTypes() {
	f := &c.fleet
	if f.typesBusy || !c.typesDue() {
		return
	}
	f.typesBusy = c.fleet.askCloud(GetTypes{}, cloudTimeout, func(r Result) {
		f.typesBusy = false
		f.typesAt = c.now
		if body, ok := r.Body.(*wire.MachineTypes); ok && r.Status == http.StatusOK {
			c.learnTypes(*body, true)
		}
	})
}

// typesDue reports whether this controller is to ask the cloud for the machine types.
func (c *Controller) typesDue() bool {
	if !c.types.known() {
		return c.ownership.controlWatch.Ready() && c.now >= c.fleet.typesAt+firstTypesInterval
	}
	return c.ownership.leading() && c.now >= c.fleet.typesAt+typesInterval
}

// learnTypes takes in machine types from the cloud, or else from the state service. A leader takes
// them from the cloud, and stores them.
func (c *Controller) learnTypes(mt wire.MachineTypes, fromCloud bool) {
	types := usableTypes(mt)
	if len(types) == 0 || !fromCloud && c.types.known() && c.ownership.leading() {
		return
	}
	c.types = newMachineTypes(types)
	c.schedulingDue = true
	for _, s := range c.ownership.shards {
		s.recountAll = true
	}
	if fromCloud && c.ownership.leading() {
		c.storeTypes(mt)
	}
}

// usableTypes returns the machine types that make sense, by name. Their zones are sorted.
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

// usableType reports whether a machine type has a name and no figure that is negative or not a
// number.
func usableType(t wire.MachineType) bool {
	for _, figure := range []float64{t.CPUs, t.GPUs, t.MemGB, t.Price, t.SpotPrice} {
		if !(figure >= 0) {
			return false
		}
	}
	return t.Name != ""
}

// storeTypes leaves the machine types in the state service if they have changed.
func (c *Controller) storeTypes(mt wire.MachineTypes) {
	value, err := wire.Encode(mt)
	if err != nil || string(value) == string(c.fleet.typesRaw) || !c.storable(value) {
		return
	}
	txn := wire.Txn{
		Conditions: []wire.Condition{
			{Key: wire.KeyLeader, ModRevision: c.ownership.leader.ownerEpoch},
			{Key: wire.KeyMachineTypes, ModRevision: c.fleet.typesModRevision},
		},
		Changes: []wire.Change{{Put: wire.KeyMachineTypes, Value: value}},
	}
	c.askState(statestore.ClassFleet, txn, typesTimeout, func(r statestore.Reply) {
		if r.Status == http.StatusOK {
			c.fleet.typesRaw = value
		}
	})
}

// refreshList keeps the cloud's list of machines, which is read page by page.
func (c *Controller) refreshList() {
	f := &c.fleet
	if f.listBusy || c.now < f.listNext {
		return
	}
	if f.after == "" {
		f.pages = f.pages[:0]
		f.listFrom = c.now
	}
	ownerEpoch := c.ownership.leader.ownerEpoch
	f.listBusy = c.fleet.askCloud(ListMachines{After: f.after, Limit: listPageSize}, cloudTimeout, func(r Result) {
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			return
		}
		f.listBusy = false
		c.handleListPage(r)
	})
}

// handleListPage takes in a page of the cloud's list.
func (c *Controller) handleListPage(r Result) {
	f := &c.fleet
	body, ok := r.Body.(*wire.MachineList)
	if !ok || r.Status != http.StatusOK {
		f.after = ""
		f.listNext = c.now + listRetryInterval
		return
	}
	f.pages = append(f.pages, body.Machines...)
	if body.More && len(body.Machines) > 0 {
		f.after = body.Machines[len(body.Machines)-1].ID
		return
	}
	f.cloudList.complete()
	f.listNext = c.now + c.fleet.listInterval(len(f.pages))
	c.compareList()
}

// complete makes the pages that were read the list.
func (l *cloudList) complete() {
	l.listed = make(map[string]wire.ListedMachine, len(l.pages))
	l.order = l.order[:0]
	for _, m := range l.pages {
		if _, twice := l.listed[m.ID]; !twice {
			l.order = append(l.order, m.ID)
		}
		l.listed[m.ID] = m
	}
	l.listedAt = l.listFrom
	l.after = ""
}

// listInterval returns the time after which a list of so many machines is read again.
func (f *fleetState) listInterval(machines int) micros.Micros {
	pages := float64(machines/listPageSize + 1)
	withinBudget := micros.FromSeconds(listBudgetDivisor * pages / f.budget.Rate())
	return max(f.cfg.ListLag/2, minListInterval, withinBudget)
}

// compareList compares the cloud's list with the machines on record, and forgets what has become
// too old to matter.
func (c *Controller) compareList() {
	for _, s := range c.ownership.shards {
		for _, m := range s.machines {
			c.fleet.compareWithList(m)
		}
	}
	f := &c.fleet
	for id := range f.missing {
		if c.machines[id] == nil {
			delete(f.missing, id)
		}
	}
	for id, at := range f.returned {
		if c.now-at > returnedMemory && c.machines[id] == nil {
			delete(f.returned, id)
		}
	}
	for id, at := range f.releaseRequestedAt {
		if c.now-at > releaseMemory {
			delete(f.releaseRequestedAt, id)
		}
	}
}

// compareWithList notes since when the cloud has not listed a machine on record, and learns the
// address of one that it lists.
func (f *fleetState) compareWithList(m *machine) {
	l, listed := f.listed[m.id]
	if !listed {
		if f.missing[m.id] == 0 {
			f.missing[m.id] = f.now
		}
		return
	}
	delete(f.missing, m.id)
	if m.rec.Addr == "" {
		m.rec.Addr = l.Addr
	}
}
