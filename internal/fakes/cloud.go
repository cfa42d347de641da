package fakes

import (
	"fmt"
	"net/http"
	"slices"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// snapshotInterval is how often the cloud takes a snapshot of its machines. Lists come from
	// the snapshots.
	snapshotInterval = 500 * millisecond
	// maxSnapshots is how many snapshots are kept. Each list comes from a random one of them.
	maxSnapshots = 10
)

// machineTypes are the types that the cloud offers.
var machineTypes = []wire.MachineType{
	{Name: "small", CPUs: 4, MemGB: 16, CacheGB: 60, FetchGBPerS: 0.5, Price: 0.2, SpotPrice: 0.07, BootS: 6, Zones: []string{"east", "west"}},
	{Name: "large", CPUs: 16, MemGB: 64, CacheGB: 60, FetchGBPerS: 0.5, Price: 0.8, SpotPrice: 0.3, BootS: 8, Zones: []string{"east"}},
}

// MachineTypes returns the types that the cloud offers.
func MachineTypes() []wire.MachineType { return slices.Clone(machineTypes) }

// MachineType returns the type with the given name; ok is false if the cloud does not offer it.
func MachineType(name string) (machineType wire.MachineType, ok bool) {
	i := slices.IndexFunc(machineTypes, func(t wire.MachineType) bool { return t.Name == name })
	if i < 0 {
		return wire.MachineType{}, false
	}
	return machineTypes[i], true
}

// Zones returns the cloud's zones.
func Zones() []string { return []string{"east", "west"} }

// MachineKind is the kind of machine that a rental asks for.
type MachineKind struct {
	Type, Zone string
	Spot       bool
}

// Machine is a rented machine.
type Machine struct {
	ID string
	MachineKind
	RentedAt  micros.Micros
	UpAt      micros.Micros // when it has booted
	Dead      bool          // it no longer runs
	Returned  bool          // by the controllers
	Reclaimed bool          // by the cloud
}

// CloudConfig configures a Cloud.
type CloudConfig struct {
	Scheduler   Scheduler
	Random      Random
	MaxMachines int // limit of running machines
	// BootTime returns how long a newly rented machine takes to boot.
	BootTime func() micros.Micros
	// OnRent is called with each new machine.
	OnRent func(*Machine)
	// OnReturn is called with each machine that is returned, before it is stopped.
	OnReturn func(*Machine)
}

// Cloud is a fake of the cloud, which rents out machines. Its lists may be stale by up to
// maxSnapshots snapshots.
type Cloud struct {
	config      CloudConfig
	machines    []*Machine
	byID        map[string]*Machine
	rentals     map[string][]string // machine names by the ID of the rental request
	snapshots   [][]wire.ListedMachine
	outageUntil micros.Micros
}

// NewCloud returns a cloud without machines.
func NewCloud(config CloudConfig) *Cloud {
	c := &Cloud{config: config, byID: map[string]*Machine{}, rentals: map[string][]string{}}
	config.Scheduler.After(snapshotInterval, c.takeSnapshot)
	return c
}

// SetOutage makes the cloud answer every request with status 503 until the given time.
func (c *Cloud) SetOutage(until micros.Micros) { c.outageUntil = until }

// Available reports whether the cloud answers and would rent out another machine.
func (c *Cloud) Available() bool {
	return c.config.Scheduler.Now() >= c.outageUntil && c.countRunning() < c.config.MaxMachines
}

// Add adds a machine with the given boot time, and returns its name.
func (c *Cloud) Add(kind MachineKind, boot micros.Micros) string {
	now := c.config.Scheduler.Now()
	m := &Machine{ID: fmt.Sprintf("vm-%06d", len(c.machines)), MachineKind: kind, RentedAt: now, UpAt: now + boot}
	c.machines = append(c.machines, m)
	c.byID[m.ID] = m
	c.config.OnRent(m)
	return m.ID
}

// Serve answers a request from a controller.
func (c *Cloud) Serve(request any, reply Reply) {
	if c.config.Scheduler.Now() < c.outageUntil {
		reply.status(http.StatusServiceUnavailable)
		return
	}
	switch r := request.(type) {
	case controller.GetTypes:
		reply.body(http.StatusOK, &wire.MachineTypes{Types: MachineTypes()})
	case controller.ListMachines:
		reply.body(http.StatusOK, c.list(r.After))
	case wire.RentalRequest:
		c.rent(r, reply)
	case controller.ReturnMachines:
		c.returnMachines(r.Machines)
		reply.status(http.StatusOK)
	}
}

// takeSnapshot records the machines, and schedules the next snapshot.
func (c *Cloud) takeSnapshot() {
	now := c.config.Scheduler.Now()
	var snapshot []wire.ListedMachine
	for _, m := range c.machines {
		if m.listed() {
			snapshot = append(snapshot, wire.ListedMachine{ID: m.ID, Addr: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: m.state(now), AgeS: (now - m.RentedAt).Seconds()})
		}
	}
	c.snapshots = append(c.snapshots, snapshot)
	if len(c.snapshots) > maxSnapshots {
		c.snapshots = c.snapshots[1:]
	}
	c.config.Scheduler.After(snapshotInterval, c.takeSnapshot)
}

// listed reports whether the cloud lists a machine: not if it was returned or reclaimed.
func (m *Machine) listed() bool {
	reclaimed := m.Dead && m.Reclaimed
	return !m.Returned && !reclaimed
}

// state returns a machine's state as the cloud reports it.
func (m *Machine) state(now micros.Micros) wire.RentalState {
	switch {
	case m.Dead:
		return wire.MachineFailed
	case now < m.UpAt:
		return wire.MachineBooting
	}
	return wire.MachineRunning
}

// list returns the machines whose names come after the given one, from a random snapshot.
func (c *Cloud) list(after string) *wire.MachineList {
	list := &wire.MachineList{}
	if len(c.snapshots) == 0 {
		return list
	}
	for _, m := range c.snapshots[c.config.Random.IntN(len(c.snapshots))] {
		if m.ID > after {
			list.Machines = append(list.Machines, m)
		}
	}
	return list
}

// rent answers a rental request. Requests are idempotent: a repeated one gets the machines of the
// first.
func (c *Cloud) rent(request wire.RentalRequest, reply Reply) {
	names, repeated := c.rentals[request.RequestID]
	if !repeated {
		names = c.addMachines(request)
		if len(names) == 0 {
			reply.body(http.StatusServiceUnavailable, controller.RefusedRental)
			return
		}
		c.rentals[request.RequestID] = names
	}
	reply.body(http.StatusOK, &wire.MachineNames{Machines: names})
}

// addMachines adds the machines of a request, as long as at most MaxMachines run.
func (c *Cloud) addMachines(request wire.RentalRequest) (names []string) {
	running := c.countRunning()
	for len(names) < request.Count && running < c.config.MaxMachines {
		names = append(names, c.Add(MachineKind{request.Type, request.Zone, request.Spot}, c.config.BootTime()))
		running++
	}
	return names
}

func (c *Cloud) countRunning() (count int) {
	for _, m := range c.machines {
		if !m.Dead {
			count++
		}
	}
	return count
}

// returnMachines stops the machines that are returned. It ignores unknown names.
func (c *Cloud) returnMachines(names []string) {
	for _, name := range names {
		m := c.byID[name]
		if m == nil {
			continue
		}
		c.config.OnReturn(m)
		m.Dead = true
		m.Returned = true
	}
}
