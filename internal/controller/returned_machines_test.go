package controller

import (
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestRewriteDue checks when a record set is rewritten without its returned machines. Rewriting it
// for each of them would cost additional heartbeats, since all others in it then send one.
func TestRewriteDue(t *testing.T) {
	for _, tc := range []struct {
		name     string
		machines int
		returned int
		oldest   micros.Micros // time since the machines were returned
		want     bool
	}{
		{"none was returned", 8, 0, 0, false},
		{"one of eight", 8, 1, 19 * sec, false},
		{"one of eight, for long", 8, 1, 20 * sec, true},
		{"a quarter", 8, 2, 0, true},
		{"all", 8, 8, 0, true},
		{"no machines", 0, 0, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.c.now = 100 * sec
			set := &machineRecordSet{key: wire.MachineRecordSetKey(0, "l-1-1")}
			for i := range tc.machines {
				m := &machine{id: machineName(i)}
				set.machines = append(set.machines, m)
				if i < tc.returned {
					h.c.fleet.returned[m.id] = h.c.now - tc.oldest
				}
			}
			returned, oldest := h.c.fleet.countReturned(set)
			if returned != tc.returned {
				t.Errorf("%d returned, want %d", returned, tc.returned)
			}
			if got := h.c.rewriteDue(set, returned, oldest); got != tc.want {
				t.Errorf("due: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRecordOfReturnedMachineIsDropped guards against a fleet that can't grow: the record of a machine
// that a former leader returned, and that its owner therefore no longer reports, counts in the size
// of the fleet until the new leader learns of it and drops it.
func TestRecordOfReturnedMachineIsDropped(t *testing.T) {
	h := newHarness(t, nil)
	h.reconcileMachine("vm-1")
	h.cloudMachines = nil
	h.c.machineReturned("vm-1") // the leader has ended before it dropped the record
	h.run(returnedRecordTimeout - 10*sec)
	if n, _ := h.c.countFleet(); n != 1 {
		t.Fatalf("%d machines count before the timeout, want 1: the test does not exercise its case", n)
	}
	h.run(30 * sec)
	if n, _ := h.c.countFleet(); n != 0 {
		t.Errorf("%d machines count after the timeout, want none", n)
	}
}
