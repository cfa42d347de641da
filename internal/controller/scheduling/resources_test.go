package scheduling

import "testing"

func TestResourcesFits(t *testing.T) {
	free := Resources{CPUs: 2, GPUs: 1, MemGB: 4}
	for _, tc := range []struct {
		name string
		need Resources
		want bool
	}{
		{"nothing", Resources{}, true},
		{"all of it", free, true},
		{"all of it but for rounding", Resources{CPUs: 2 + Tolerance/2, GPUs: 1, MemGB: 4}, true},
		{"too many CPUs", Resources{CPUs: 2.1}, false},
		{"too many GPUs", Resources{GPUs: 2}, false},
		{"too much memory", Resources{CPUs: 1, MemGB: 4.5}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.need.Fits(free); got != tc.want {
				t.Errorf("fits: %v, want %v", got, tc.want)
			}
		})
	}
}

func TestResourcesArithmetic(t *testing.T) {
	a := Resources{CPUs: 4, GPUs: 1, MemGB: 8}
	b := Resources{CPUs: 1, GPUs: 2, MemGB: 3}
	if got, want := a.Plus(b), (Resources{CPUs: 5, GPUs: 3, MemGB: 11}); got != want {
		t.Errorf("sum %v, want %v", got, want)
	}
	if got, want := a.Minus(b), (Resources{CPUs: 3, GPUs: -1, MemGB: 5}); got != want {
		t.Errorf("difference %v, want %v", got, want)
	}
	if got, want := a.Minus(b).AtLeastZero(), (Resources{CPUs: 3, MemGB: 5}); got != want {
		t.Errorf("difference, at least zero: %v, want %v", got, want)
	}
	if !a.Minus(a).Exhausted() || a.Minus(b).Exhausted() {
		t.Errorf("exhausted: %v and %v, want true and false", a.Minus(a).Exhausted(), a.Minus(b).Exhausted())
	}
}
