package controller

import (
	"testing"

	"garnethitch/internal/wire"
)

// TestUsageKnowledge checks that a process that has just begun, and does not know how large
// machines are, does not count those with unknown tasks as empty (a successor gave up an allowance
// that was in use).
func TestUsageKnowledge(t *testing.T) {
	types := map[string]wire.MachineType{"m": {Name: "m", CPUs: 4}}
	known := &machineView{}
	unreconciled := &machineView{reconciliationView: reconciliationView{unreconciledFromPredecessor: true}}
	unknownJob := &machineView{attemptView: attemptView{usage: machineUsage{unknown: true}}}
	for _, tc := range []struct {
		name        string
		types       map[string]wire.MachineType
		reconciled  bool
		machineType string
		view        *machineView
		want        usageKnowledge
	}{
		{"all is known", types, true, "m", known, usageExact},
		{"the shard is not reconciled", types, false, "m", known, usageUpperBound},
		{"an unreconciled machine", types, true, "m", unreconciled, usageUpperBound},
		{"a task of an unknown job", types, true, "m", unknownJob, usageUpperBound},
		{"an unreconciled machine of unknown size", types, false, "other", unreconciled, usageUnknown},
		{"a known machine of unknown size", types, true, "other", known, usageExact},
		{"a machine that is not followed", types, true, "other", nil, usageExact},
		{"no types yet", nil, true, "m", known, usageUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10}, 1)
			c.types = newMachineTypes(tc.types)
			s := c.ownership.shards[0]
			s.reconciled = tc.reconciled
			s.machines = append(s.machines, &machine{id: "vm-1", rec: machineRecord{Type: tc.machineType}, view: tc.view})
			if got := c.usageKnowledge(s); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
