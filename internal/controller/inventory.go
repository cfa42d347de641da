package controller

import (
	"net/http"
	"slices"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// What the cloud has: types of machines and the list of those that are rented.

// refreshTypes keeps the machine types known: the leader asks the cloud and
// leaves them in the state service for the others, so that a node that starts
// during an outage of the cloud knows them too.
func (c *Controller) refreshTypes() {
	f := &c.fleet
	every := 30 * micros.Second
	if len(c.types) == 0 {
		every = micros.Second
		if !c.ownership.controlWatch.ready() {
			return
		}
	} else if !c.leading() {
		return
	}
	if f.typesBusy || c.now < f.typesAt+every {
		return
	}
	f.typesBusy = c.askCloud(GetTypes{}, cloudTimeout, func(r Result) {
		f.typesBusy = false
		f.typesAt = c.now
		if body, ok := r.Body.(*wire.MachineTypes); ok && r.Status == http.StatusOK {
			c.learnTypes(*body, true)
		}
	})
}

// learnTypes takes machine types; ones that make no sense are left out.
func (c *Controller) learnTypes(mt wire.MachineTypes, fromCloud bool) {
	types := map[string]wire.MachineType{}
	for _, t := range mt.Types {
		if t.Name == "" || !(t.CPUs >= 0) || !(t.GPUs >= 0) || !(t.MemGB >= 0) || !(t.Price >= 0) || !(t.SpotPrice >= 0) || len(types) >= 1000 {
			continue
		}
		slices.Sort(t.Zones)
		t.Zones = slices.Compact(t.Zones)
		types[t.Name] = t
	}
	if len(types) == 0 || !fromCloud && len(c.types) > 0 && c.leading() {
		return
	}
	c.types = types
	c.typeIndex.names = sortedKeys(types)
	c.schedulingDue = true
	for _, s := range c.ownership.shards {
		s.recountAll = true
	}
	if !fromCloud || !c.leading() {
		return
	}
	value, err := wire.Encode(mt)
	if err != nil || string(value) == string(c.fleet.typesRaw) || !c.storable(value) {
		return
	}
	txn := wire.Txn{
		If:   []wire.Condition{{Key: wire.KeyLeader, ModRevision: c.ownership.leader.ownerEpoch}, {Key: wire.KeyTypes, ModRevision: c.fleet.typesModRevision}},
		Then: []wire.Change{{Put: wire.KeyTypes, Value: value}},
	}
	c.askState(statestore.ClassFleet, txn, 2*micros.Second, func(r statestore.Reply) {
		if r.Status == http.StatusOK {
			c.fleet.typesRaw = value
		}
	})
}

// refreshList keeps the cloud's list of machines. A long list is read less often:
// it may take a quarter of the budget, or it would crowd out rentals.
func (c *Controller) refreshList() {
	f := &c.fleet
	if f.listBusy || c.now < f.listNext {
		return
	}
	if f.after == "" {
		f.pages, f.listFrom = f.pages[:0], c.now
	}
	ownerEpoch := c.ownership.leader.ownerEpoch
	f.listBusy = c.askCloud(ListMachines{After: f.after, Limit: listPageSize}, cloudTimeout, func(r Result) {
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			return
		}
		f.listBusy = false
		body, ok := r.Body.(*wire.MachineList)
		if !ok || r.Status != http.StatusOK {
			f.after, f.listNext = "", c.now+micros.Second
			return
		}
		f.pages = append(f.pages, body.Machines...)
		if body.More && len(body.Machines) > 0 {
			f.after = body.Machines[len(body.Machines)-1].ID
			return
		}
		pages := float64(len(f.pages)/listPageSize + 1)
		f.listed = make(map[string]wire.ListedMachine, len(f.pages))
		f.order = f.order[:0]
		for _, m := range f.pages {
			if _, twice := f.listed[m.ID]; !twice {
				f.order = append(f.order, m.ID)
			}
			f.listed[m.ID] = m
		}
		f.listedAt, f.after = f.listFrom, ""
		f.listNext = c.now + max(c.cfg.ListLag/2, 2*micros.Second, micros.FromSeconds(4*pages/f.budget.Rate()))
		c.compareList()
	})
}

// compareList notes which machines on record the cloud no longer lists, and
// learns addresses from it.
func (c *Controller) compareList() {
	f := &c.fleet
	for _, s := range c.ownership.shards {
		for _, m := range s.machines {
			if l, ok := f.listed[m.id]; ok {
				delete(f.missing, m.id)
				if m.rec.Addr == "" {
					m.rec.Addr = l.Addr
				}
			} else if f.missing[m.id] == 0 {
				f.missing[m.id] = c.now
			}
		}
	}
	for id := range f.missing {
		if c.machines[id] == nil {
			delete(f.missing, id)
		}
	}
	for id, at := range f.returned {
		if c.now-at > 10*micros.Minute && c.machines[id] == nil {
			delete(f.returned, id)
		}
	}
	for id, at := range f.releaseRequestedAt {
		if c.now-at > micros.Minute {
			delete(f.releaseRequestedAt, id)
		}
	}
}
