package quota

import (
	"fmt"
	"math"
)

// epsilon is the rounding error that comparisons of amounts ignore.
const epsilon = 1e-6

// Amount is a quantity of each resource that tasks use or may use: CPUs in cores, GPUs in
// devices. Either may be a fraction.
type Amount struct {
	CPUs float64 `cbor:"c,omitempty" json:"cpus" msgpack:"c,omitempty"`
	GPUs float64 `cbor:"g,omitempty" json:"gpus" msgpack:"g,omitempty"`
}

// Unlimited is the amount that no use exceeds.
var Unlimited = Amount{CPUs: math.Inf(1), GPUs: math.Inf(1)}

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Minus returns a reduced by b; no resource goes below zero.
func (a Amount) Minus(b Amount) Amount {
	return Amount{max(0, a.CPUs-b.CPUs), max(0, a.GPUs-b.GPUs)}
}

// Min returns the smaller quantity of each resource.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max returns the larger quantity of each resource.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// Times returns what n tasks of size a use.
func (a Amount) Times(n int) Amount {
	return Amount{float64(a.CPUs * float64(n)), float64(a.GPUs * float64(n))}
}

// CountFitting returns how many tasks of size a fit into the available amount, at most
// math.MaxInt32.
func (a Amount) CountFitting(available Amount) int {
	n := float64(math.MaxInt32)
	if a.CPUs > 0 {
		n = min(n, (available.CPUs+epsilon)/a.CPUs)
	}
	if a.GPUs > 0 {
		n = min(n, (available.GPUs+epsilon)/a.GPUs)
	}
	return int(n)
}

// Within reports whether a exceeds b in no resource, up to rounding errors.
func (a Amount) Within(b Amount) bool {
	return a.CPUs <= b.CPUs+epsilon && a.GPUs <= b.GPUs+epsilon
}

// Equal reports whether the amounts are the same up to rounding errors.
func (a Amount) Equal(b Amount) bool { return a.Within(b) && b.Within(a) }

// IsZero reports whether a is zero for every resource, up to rounding errors.
func (a Amount) IsZero() bool { return a.Within(Amount{}) }

// Limit bounds each resource. A resource that is nil is not bounded.
type Limit struct {
	CPUs *float64 `cbor:"c,omitempty" json:"cpus,omitempty" msgpack:"c,omitempty" yaml:"cpus"`
	GPUs *float64 `cbor:"g,omitempty" json:"gpus,omitempty" msgpack:"g,omitempty" yaml:"gpus"`
}

// NewLimit returns a limit that bounds both resources.
func NewLimit(cpus, gpus float64) Limit { return Limit{CPUs: &cpus, GPUs: &gpus} }

// CPULimit returns a limit that bounds CPUs only.
func CPULimit(cpus float64) Limit { return Limit{CPUs: &cpus} }

// Amount returns the largest amount within the limit.
func (l Limit) Amount() Amount {
	a := Unlimited
	if l.CPUs != nil {
		a.CPUs = *l.CPUs
	}
	if l.GPUs != nil {
		a.GPUs = *l.GPUs
	}
	return a
}

// zeroWhereUnbounded returns a with zero for each resource that the limit does not bound.
func (l Limit) zeroWhereUnbounded(a Amount) Amount {
	if l.CPUs == nil {
		a.CPUs = 0
	}
	if l.GPUs == nil {
		a.GPUs = 0
	}
	return a
}

// unlimitedWhereUnbounded returns a with the quantity of Unlimited for each resource that
// the limit does not bound.
func (l Limit) unlimitedWhereUnbounded(a Amount) Amount {
	if l.CPUs == nil {
		a.CPUs = Unlimited.CPUs
	}
	if l.GPUs == nil {
		a.GPUs = Unlimited.GPUs
	}
	return a
}

// boundsNewResource reports whether l bounds a resource that o does not.
func (l Limit) boundsNewResource(o Limit) bool {
	return o.CPUs == nil && l.CPUs != nil || o.GPUs == nil && l.GPUs != nil
}

// Equal reports whether the limits bound the same resources by the same quantities.
func (l Limit) Equal(o Limit) bool { return l.Amount() == o.Amount() }

// Bounded reports whether any resource is bounded.
func (l Limit) Bounded() bool { return l.CPUs != nil || l.GPUs != nil }

// String returns the limit for people to read, such as "10 CPUs, any GPUs".
func (l Limit) String() string {
	part := func(v *float64, unit string) string {
		if v == nil {
			return "any " + unit
		}
		return fmt.Sprintf("%g %s", *v, unit)
	}
	return part(l.CPUs, "CPUs") + ", " + part(l.GPUs, "GPUs")
}
