package controller

import (
	"testing"

	"garnethitch/internal/wire"
)

// TestTaskSize guards against tasks that count as nothing in the demand of a shard because they need
// no CPU, or as less than they take up because memory runs out first.
func TestTaskSize(t *testing.T) {
	types := newMachineTypes(map[string]wire.MachineType{
		"small": {Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a"}},
		"large": {Name: "large", CPUs: 30, MemGB: 240, GPUs: 2, Zones: []string{"a"}},
	})
	for _, tc := range []struct {
		name              string
		cpus, gpus, memGB float64
		types             []string
		want              float64
	}{
		{"CPUs are the largest part", 2, 0, 7, nil, 2},
		{"memory is the largest part on the type that suits best", 1, 0, 16, nil, 2},
		{"memory is the largest part on the only type allowed", 1, 0, 16, []string{"small"}, 4},
		{"GPUs are the largest part", 1, 1, 1, nil, 15},
		{"no CPU", 0, 0, 4, []string{"small"}, 1},
		{"nothing", 0, 0, 0, []string{"large"}, 30.0 / maxTasksPerMachine},
		{"no type fits", 64, 0, 1, nil, 64},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sub := &wire.Submission{CPUs: tc.cpus, GPUs: tc.gpus, MemGB: tc.memGB, Types: tc.types}
			if got := types.taskSize(sub); got != tc.want {
				t.Errorf("a task takes up %v CPUs, want %v", got, tc.want)
			}
		})
	}
}
