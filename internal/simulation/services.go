package simulation

import (
	"fmt"
	"slices"
	"strings"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// servePeer hands a message to another controller, encoded and decoded as on
// the wire.
func (s *Simulation) servePeer(call controller.Call, reply func(controller.Result)) {
	for _, n := range s.Nodes {
		if n.label != call.Addr || n.controller == nil {
			continue
		}
		var req peer.Request
		b, err := peer.Encode(call.Req)
		if err == nil {
			err = peer.Decode(b, &req)
		}
		if err != nil {
			s.broken("peer message: %v", err)
			return
		}
		n.release.receivedRequest(&req)
		n.ask(func(id controller.ReplyID) controller.Input { return controller.PeerRequest{Reply: id, Req: req} }, func(a controller.Answer) {
			reply(controller.Result{Status: a.Status, Body: a.Body})
		})
	}
}

// State is the state service.
type State struct {
	sim       *Simulation
	rev       uint64
	keys      map[string]*entry
	leases    map[uint64]*lease
	nextLease uint64
	log       []wire.Event
	waiters   []*waiter
	downUntil micros.Micros
	refuse    map[string]micros.Micros
	// watchCutOff: until then a controller's watches bring nothing.
	watchCutOff map[string]micros.Micros
	// jobsRefusedUntil: until then nobody reads jobs; see refusesJobs.
	jobsRefusedUntil micros.Micros
	// valueBytes and txnOps bound what is taken; what is larger gets 400.
	valueBytes, txnOps int
	// writes bounds the changes in a second; nil: any number.
	writes *writeLimit
	// stored, if set, hears of every value that is put.
	stored func(key string, value wire.Raw, modRevision uint64)
}

type entry struct {
	value       wire.Raw
	modRevision uint64
	lease       uint64
}

type lease struct {
	ttl, ends micros.Micros
}

type waiter struct {
	watch controller.Watch
	reply func(controller.Result)
	done  bool
}

func newState(s *Simulation) *State {
	st := &State{sim: s, keys: map[string]*entry{}, leases: map[uint64]*lease{}, refuse: map[string]micros.Micros{}, watchCutOff: map[string]micros.Micros{}}
	s.after(50*ms, st.expire)
	return st
}

func (st *State) expire() {
	now := st.sim.now
	if now < st.downUntil {
		for _, l := range st.leases {
			l.ends = st.downUntil + l.ttl // full time again after an outage
		}
	}
	var over []uint64
	for id, l := range st.leases {
		if now >= l.ends {
			over = append(over, id)
		}
	}
	slices.Sort(over)
	for _, id := range over {
		delete(st.leases, id)
		for _, key := range st.sorted() {
			if st.keys[key].lease == id {
				st.rev++
				st.remove(key)
			}
		}
	}
	st.wake()
	st.sim.after(50*ms, st.expire)
}

func (st *State) sorted() []string {
	var out []string
	for k := range st.keys {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// locks counts the locks that each controller holds, by its label.
func (st *State) locksByController() map[string]int {
	holds := map[string]int{}
	for key, e := range st.keys {
		var rec wire.OwnerRecord
		if (key == wire.KeyLeader || strings.HasPrefix(key, wire.PrefixOwner)) && wire.Decode(e.value, &rec) == nil {
			holds[rec.Label]++
		}
	}
	return holds
}

func (st *State) remove(key string) {
	if st.keys[key] != nil {
		delete(st.keys, key)
		st.log = append(st.log, wire.Event{Delete: key, ModRevision: st.rev})
	}
}

func (st *State) wake() {
	if st.sim.now < st.downUntil {
		return
	}
	live := st.waiters[:0]
	for _, w := range st.waiters {
		if !w.done && !st.tryWatch(w) {
			live = append(live, w)
		}
	}
	st.waiters = live
}

func (st *State) tryWatch(w *waiter) bool {
	var out []wire.Event
	for _, e := range st.log {
		if e.ModRevision > w.watch.Since && (strings.HasPrefix(e.Put, w.watch.Prefix) && e.Put != "" || strings.HasPrefix(e.Delete, w.watch.Prefix) && e.Delete != "") {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return false
	}
	w.done = true
	w.reply(controller.Result{Status: 200, Body: &wire.Events{Revision: st.rev, Events: out}})
	return true
}

func (st *State) serve(req any, reply func(controller.Result)) {
	status := func(code int, body any) { reply(controller.Result{Status: code, Body: body}) }
	if st.sim.now < st.downUntil {
		status(503, nil)
		return
	}
	switch r := req.(type) {
	case controller.GetKey:
		if e := st.keys[r.Key]; e != nil {
			status(200, &wire.KeyValue{Key: r.Key, Value: e.value, ModRevision: e.modRevision})
		} else {
			status(404, nil)
		}
	case controller.ListKeys:
		body := &wire.KeyList{Revision: st.rev}
		for _, key := range st.sorted() {
			if strings.HasPrefix(key, r.Prefix) && key > r.After {
				if len(body.Items) == min(r.Limit, 7) { // short pages, so that paging is tried
					body.More = true
					break
				}
				body.Items = append(body.Items, wire.KeyValue{Key: key, Value: st.keys[key].value, ModRevision: st.keys[key].modRevision})
			}
		}
		status(200, body)
	case wire.NewLease:
		st.nextLease++
		ttl := micros.Micros(r.TTLMS) * ms
		st.leases[st.nextLease] = &lease{ttl: ttl, ends: st.sim.now + ttl}
		status(200, &wire.Lease{Lease: st.nextLease})
	case controller.RenewLease:
		if l := st.leases[r.Lease]; l != nil {
			l.ends = st.sim.now + l.ttl
			status(200, nil)
		} else {
			status(404, nil)
		}
	case wire.Txn:
		st.txn(r, status)
	case controller.Watch:
		w := &waiter{watch: r, reply: reply}
		if st.tryWatch(w) {
			return
		}
		st.waiters = append(st.waiters, w)
		st.sim.after(micros.Micros(r.WaitMS)*ms, func() {
			if !w.done && st.sim.now >= st.downUntil {
				w.done = true
				reply(controller.Result{Status: 200, Body: &wire.Events{Revision: st.rev}})
			}
		})
	}
}

func (st *State) txn(t wire.Txn, status func(int, any)) {
	for _, c := range t.Then {
		if c.Put != "" && wire.StoredSize(c.Value, st.valueBytes) > st.valueBytes || t.Writes() > st.txnOps {
			status(400, nil)
			return
		}
		if c.Lease != 0 && st.leases[c.Lease] == nil {
			status(400, nil)
			return
		}
	}
	if st.writes != nil && !st.writes.take(st.sim.now, t.Writes()) {
		status(429, nil)
		return
	}
	for _, c := range t.If {
		have := uint64(0)
		if e := st.keys[c.Key]; e != nil {
			have = e.modRevision
		}
		if have != c.ModRevision {
			status(409, &wire.Revision{Revision: st.rev, Failed: []string{c.Key}})
			return
		}
	}
	st.rev++
	for _, c := range t.Then {
		if strings.HasPrefix(c.Put, wire.PrefixOwner) || c.Put == wire.KeyLeader {
			st.sim.releaseKept()
		}
		if c.Put != "" {
			st.keys[c.Put] = &entry{value: c.Value, modRevision: st.rev, lease: c.Lease}
			st.log = append(st.log, wire.Event{Put: c.Put, Value: c.Value, ModRevision: st.rev})
			st.sim.noteGroup(c.Put, c.Value)
			if st.stored != nil {
				st.stored(c.Put, c.Value, st.rev)
			}
		} else {
			st.remove(c.Delete)
		}
	}
	status(200, &wire.Revision{Revision: st.rev})
	st.wake()
}

type kind struct {
	typ, zone string
	spot      bool
}

// Cloud rents machines.
type Cloud struct {
	sim       *Simulation
	next      int
	rentals   map[string][]string
	snaps     []snapshot
	downUntil micros.Micros
}

type snapshot struct {
	at   micros.Micros
	rows []wire.ListedMachine
}

var offer = []wire.MachineType{
	{Name: "small", CPUs: 4, MemGB: 16, CacheGB: 60, FetchGBPerS: 0.5, Price: 0.2, SpotPrice: 0.07, BootS: 6, Zones: []string{"east", "west"}},
	{Name: "large", CPUs: 16, MemGB: 64, CacheGB: 60, FetchGBPerS: 0.5, Price: 0.8, SpotPrice: 0.3, BootS: 8, Zones: []string{"east"}},
}

func newCloud(s *Simulation) *Cloud {
	c := &Cloud{sim: s, rentals: map[string][]string{}}
	s.after(500*ms, c.snap)
	return c
}

func (c *Cloud) add(k kind, boot micros.Micros) string {
	id := fmt.Sprintf("vm-%06d", c.next)
	c.next++
	w := newWorker(c.sim, id, k, boot)
	c.sim.workers[id] = w
	c.sim.names = append(c.sim.names, id)
	return id
}

func (c *Cloud) snap() {
	sn := snapshot{at: c.sim.now}
	for _, id := range c.sim.names {
		w := c.sim.workers[id]
		if w.returned || w.dead && w.taken {
			continue
		}
		state := wire.MachineRunning
		if w.dead {
			state = wire.MachineFailed
		} else if c.sim.now < w.upAt {
			state = wire.MachineBooting
		}
		sn.rows = append(sn.rows, wire.ListedMachine{ID: id, Addr: id, Type: w.typ, Zone: w.zone, Spot: w.spot, State: state, AgeS: (c.sim.now - w.born).Seconds()})
	}
	c.snaps = append(c.snaps, sn)
	if len(c.snaps) > 10 {
		c.snaps = c.snaps[1:]
	}
	c.sim.after(500*ms, c.snap)
}

func (c *Cloud) serve(req any, reply func(controller.Result)) {
	if c.sim.now < c.downUntil {
		reply(controller.Result{Status: 503})
		return
	}
	switch r := req.(type) {
	case controller.GetTypes:
		reply(controller.Result{Status: 200, Body: &wire.MachineTypes{Types: slices.Clone(offer)}})
	case controller.ListMachines:
		body := &wire.MachineList{}
		if len(c.snaps) > 0 {
			sn := c.snaps[c.sim.rng.IntN(len(c.snaps))] // lists go back and forth
			for _, row := range sn.rows {
				if row.ID > r.After {
					body.Machines = append(body.Machines, row)
				}
			}
		}
		reply(controller.Result{Status: 200, Body: body})
	case wire.Rental:
		names, ok := c.rentals[r.Request]
		if !ok {
			up := 0
			for _, w := range c.sim.workers {
				if !w.dead {
					up++
				}
			}
			for len(names) < r.Count && up < c.sim.plan.Machines {
				names = append(names, c.add(kind{r.Type, r.Zone, r.Spot}, c.sim.boot()))
				up++
			}
			if len(names) == 0 {
				reply(controller.Result{Status: 503, Body: controller.RefusedRental})
				return
			}
			c.rentals[r.Request] = names
		}
		reply(controller.Result{Status: 200, Body: &wire.MachineNames{Machines: names}})
	case controller.ReturnMachines:
		for _, id := range r.Machines {
			if w := c.sim.workers[id]; w != nil {
				if !c.sim.plan.Faults && !c.sim.plan.Fleet && !c.sim.plan.ConcurrentFaults && !c.sim.plan.Gap && !c.sim.plan.Stale && !w.dead && c.sim.atWork(w) {
					c.sim.Wasted++
					c.sim.trace("%s returned with work on it", id)
				}
				w.dead, w.returned = true, true
			}
		}
		reply(controller.Result{Status: 200, Body: nil})
	}
}
