package fleet

import (
	"slices"
	"testing"

	"garnethitch/internal/micros"
)

func TestScaleInChoose(t *testing.T) {
	idle := func(id string, price float64, since micros.Micros) IdleMachine {
		return IdleMachine{ID: id, CPUs: 4, CPUPrice: price, IdleFor: since}
	}
	useless := idle("vm-1", 1, micros.Minute)
	useless.Unusable = true
	three := []IdleMachine{idle("vm-2", 1, micros.Minute), idle("vm-1", 1, micros.Minute), idle("vm-3", 2, micros.Minute)}
	for _, tc := range []struct {
		name   string
		change func(*ScaleIn)
		idle   []IdleMachine
		want   []string
	}{
		{"the most expensive first, while there is a surplus", func(s *ScaleIn) { s.Totals = Totals{Have: 29, Parallel: 20, Work: 6000} }, three, []string{"vm-3", "vm-1"}},
		{"all are needed", func(s *ScaleIn) { s.Totals = Totals{Have: 20, Parallel: 20, Work: 6000} }, three, nil},
		{"large surplus: after two seconds", func(*ScaleIn) {}, []IdleMachine{idle("vm-1", 1, 2*micros.Second)}, []string{"vm-1"}},
		{"large surplus, but idle for one second only", func(*ScaleIn) {}, []IdleMachine{idle("vm-1", 1, micros.Second)}, nil},
		{"kept as reserve until MaxIdle", func(s *ScaleIn) { s.Reserve = 100 }, []IdleMachine{idle("vm-1", 1, 2*micros.Second)}, nil},
		{"no waiting task can use it", func(s *ScaleIn) { s.Totals = Totals{Have: 20, Parallel: 20, Work: 6000} }, []IdleMachine{useless}, []string{"vm-1"}},
		{"the fleet may not grow", func(s *ScaleIn) { s.Totals, s.FleetFull = Totals{Have: 20, Parallel: 20, Work: 6000}, true }, []IdleMachine{idle("vm-1", 1, 5*micros.Second), idle("vm-2", 1, 4*micros.Second)}, []string{"vm-1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := ScaleIn{Totals: Totals{Have: 100}, DrainHorizon: 30 * micros.Second, LowestPrice: 1, MaxIdle: 10 * micros.Second}
			tc.change(&s)
			if got := s.Choose(slices.Clone(tc.idle)); !slices.Equal(got, tc.want) {
				t.Errorf("returned %v, want %v", got, tc.want)
			}
		})
	}
}
