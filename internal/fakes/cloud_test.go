package fakes

import (
	"slices"
	"testing"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const testBootTime = 2 * second

// newTestCloud returns a cloud with at most three running machines, and the names of the machines
// that are returned to it.
func newTestCloud() (clock *manualClock, cloud *Cloud, returned *[]string) {
	clock = &manualClock{}
	returned = &[]string{}
	cloud = NewCloud(CloudConfig{
		Scheduler:   clock,
		Random:      NewRandom(1, 1),
		MaxMachines: 3,
		BootTime:    func() micros.Micros { return testBootTime },
		OnRent:      func(*Machine) {},
		OnReturn:    func(m *Machine) { *returned = append(*returned, m.ID) },
	})
	return clock, cloud, returned
}

func TestCloudRental(t *testing.T) {
	_, cloud, returned := newTestCloud()
	rental := wire.RentalRequest{RequestID: "r1", Type: "small", Zone: "east", Count: 2}
	first := mustAnswer(t, cloud, rental, 200).(*wire.MachineNames).Machines
	again := mustAnswer(t, cloud, rental, 200).(*wire.MachineNames).Machines
	if len(first) != 2 || !slices.Equal(first, again) {
		t.Errorf("a repeated rental gives %v, the first gave %v, want the same two machines", again, first)
	}
	rental.RequestID = "r2"
	if names := mustAnswer(t, cloud, rental, 200).(*wire.MachineNames).Machines; len(names) != 1 {
		t.Errorf("rented %v, want only the one machine that the limit leaves", names)
	}
	rental.RequestID = "r3"
	if body := mustAnswer(t, cloud, rental, 503); body != controller.RefusedRental {
		t.Errorf("a rental without capacity is answered with %v, want RefusedRental", body)
	}
	mustAnswer(t, cloud, controller.ReturnMachines{Machines: append(first, "vm-unknown")}, 200)
	if !slices.Equal(*returned, first) {
		t.Errorf("%v returned, want %v", *returned, first)
	}
	mustAnswer(t, cloud, rental, 200)
}

func TestCloudList(t *testing.T) {
	clock, cloud, _ := newTestCloud()
	booting := cloud.Add(MachineKind{Type: "small", Zone: "east"}, testBootTime)
	stateOf := func() map[string]wire.RentalState {
		clock.advance(maxSnapshots * snapshotInterval) // all snapshots are newer than the change
		states := map[string]wire.RentalState{}
		for _, m := range mustAnswer(t, cloud, controller.ListMachines{}, 200).(*wire.MachineList).Machines {
			states[m.ID] = m.State
		}
		return states
	}
	if states := stateOf(); states[booting] != wire.MachineRunning {
		t.Errorf("a machine that has booted is listed as %q, want MachineRunning", states[booting])
	}
	cloud.byID[booting].Dead = true
	if states := stateOf(); states[booting] != wire.MachineFailed {
		t.Errorf("a dead machine is listed as %q, want MachineFailed", states[booting])
	}
	cloud.byID[booting].Reclaimed = true
	if states := stateOf(); len(states) != 0 {
		t.Errorf("machines %v are listed after the only one was reclaimed, want none", states)
	}
	cloud.SetOutage(clock.Now() + second)
	mustAnswer(t, cloud, controller.ListMachines{}, 503)
}
