package controller

import (
	"testing"

	"garnethitch/internal/wire"
)

// TestUsageAccuracy checks that a process that has just started and does not know the sizes of
// machines does not count machines with unknown tasks as empty. Otherwise the successor of an owner
// would give up an allowance that is in use.
func TestUsageAccuracy(t *testing.T) {
	types := map[string]wire.MachineType{"m": {Name: "m", CPUs: 4}}
	known := &machineView{}
	unreconciled := &machineView{reconciliationView: reconciliationView{unreconciledFromPredecessor: true}}
	unknownJob := &machineView{attemptView: attemptView{usage: machineUsage{hasUnknownJob: true}}}
	for _, tc := range []struct {
		name        string
		types       map[string]wire.MachineType
		reconciled  bool
		machineType string
		view        *machineView
		want        usageAccuracy
	}{
		{"all is known", types, true, "m", known, usageExact},
		{"the shard is not reconciled", types, false, "m", known, usageUpperBound},
		{"an unreconciled machine", types, true, "m", unreconciled, usageUpperBound},
		{"a task of an unknown job", types, true, "m", unknownJob, usageUpperBound},
		{"an unreconciled machine of unknown size", types, false, "other", unreconciled, usageUnknown},
		{"a known machine of unknown size", types, true, "other", known, usageExact},
		{"a machine without a view", types, true, "other", nil, usageExact},
		{"no types yet", nil, true, "m", known, usageUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10}, 1)
			c.types = newMachineTypes(tc.types)
			s := c.ownership.shards[0]
			s.reconciled = tc.reconciled
			s.machines = append(s.machines, &machine{id: "vm-1", rec: machineRecord{Type: tc.machineType}, view: tc.view})
			if got := c.usageAccuracy(s); got != tc.want {
				t.Errorf("accuracy: %v, want %v", got, tc.want)
			}
		})
	}
}
