package controller

import (
	"testing"

	"garnethitch/internal/controller/scheduling"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// TestFreeForReservation checks that capacity reserved for one job is not free for another, except
// where tasks being stopped will free it anyway. A reservation ends at its time or with its job.
func TestFreeForReservation(t *testing.T) {
	owner := &job{sub: &wire.Submission{Tasks: 2, CPUs: 1}, run: &run{}}
	other := &job{sub: &wire.Submission{Tasks: 2, CPUs: 1}, run: &run{}}
	done := &job{sub: &wire.Submission{Tasks: 2, CPUs: 1}, run: &run{doneCount: 2}}
	for _, tc := range []struct {
		name     string
		reserved *job
		asking   *job
		stopping float64 // CPUs
		until    micros.Micros
		want     float64 // free CPUs; 6 are unused
	}{
		{"nothing is reserved", nil, other, 0, 0, 6},
		{"reserved for the job itself", owner, owner, 0, 20 * sec, 6},
		{"reserved for another", owner, other, 0, 20 * sec, 2},
		{"partly left by tasks being stopped", owner, other, 3, 20 * sec, 5},
		{"left by tasks being stopped", owner, other, 5, 20 * sec, 6},
		{"past its time", owner, other, 0, 10 * sec, 6},
		{"its job is done", done, other, 0, 20 * sec, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{Label: "a", Shards: 1, Teams: []Team{{Name: "t"}}, StateRPS: 10, WriteRPS: 10, CloudRPS: 10}, 1)
			c.now = 10 * sec
			c.types = newMachineTypes(map[string]wire.MachineType{"m": {Name: "m", CPUs: 8, MemGB: 8}})
			v := &machineView{}
			v.usage.total.CPUs = 2
			v.usage.stopping.CPUs = tc.stopping
			if tc.reserved != nil {
				v.reservation = reservation{job: tc.reserved, resources: scheduling.Resources{CPUs: 4}, until: tc.until}
			}
			m := &machine{id: "vm-1", rec: machineRecord{Type: "m"}, view: v}
			if got := c.freeCapacityFor(m, tc.asking); got.CPUs != tc.want || got.MemGB != 8 {
				t.Errorf("free capacity: %+v, want %v CPUs and 8 GB", got, tc.want)
			}
		})
	}
}

// TestReservationConsume checks that a reservation shrinks with each task of its own job only, and
// ends with the last one.
func TestReservationConsume(t *testing.T) {
	owner := &job{sub: &wire.Submission{CPUs: 2, MemGB: 1}}
	other := &job{sub: &wire.Submission{CPUs: 2, MemGB: 1}}
	r := reservation{job: owner, resources: scheduling.Resources{CPUs: 4, MemGB: 2}, until: sec}
	r.consume(other)
	if r.resources.CPUs != 4 {
		t.Errorf("a task of another job reduced the reservation: %+v", r.resources)
	}
	r.consume(owner)
	if r.job != owner || r.resources != (scheduling.Resources{CPUs: 2, MemGB: 1}) {
		t.Errorf("reservation after one of two tasks: %+v", r.resources)
	}
	r.consume(owner)
	if r != (reservation{}) {
		t.Errorf("the reservation did not end after the last task: %+v", r.resources)
	}
}

func TestTasksWithin(t *testing.T) {
	for _, tc := range []struct {
		name              string
		limit, used, need float64
		want              int // of 10 tasks
	}{
		{"no limit", 0, 50, 1, 10},
		{"tasks need nothing", 8, 8, 0, 10},
		{"limit far off", 100, 20, 2, 10},
		{"limit near", 8, 3, 2, 2},
		{"exactly one, but for rounding", 0.3, 0.2, 0.1, 1},
		{"limit reached", 8, 8, 2, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tasksWithin(tc.limit, tc.used, tc.need, 10); got != tc.want {
				t.Errorf("%d tasks, want %d", got, tc.want)
			}
		})
	}
}
