// Package scheduling implements the calculations behind task placement: the resources that a task
// needs, the score of a machine for a task, and the choice of tasks to preempt. All functions
// depend on their arguments alone.
package scheduling

// Tolerance is the difference up to which two amounts of a resource count as equal. It absorbs
// rounding errors.
const Tolerance = 1e-6

// Resources is an amount of CPUs, GPUs and memory: what a task needs, or what a machine has free.
type Resources struct {
	CPUs, GPUs float64
	MemGB      float64
}

// Fits reports whether r fits into free, within Tolerance.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+Tolerance && r.GPUs <= free.GPUs+Tolerance && r.MemGB <= free.MemGB+Tolerance
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPUs: r.CPUs + other.CPUs, GPUs: r.GPUs + other.GPUs, MemGB: r.MemGB + other.MemGB}
}

// Minus returns r minus other. Amounts may become negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPUs: r.CPUs - other.CPUs, GPUs: r.GPUs - other.GPUs, MemGB: r.MemGB - other.MemGB}
}

// AtLeastZero returns r with negative amounts replaced by zero.
func (r Resources) AtLeastZero() Resources {
	return Resources{CPUs: max(r.CPUs, 0), GPUs: max(r.GPUs, 0), MemGB: max(r.MemGB, 0)}
}

// Exhausted reports whether no resource is left, within Tolerance.
func (r Resources) Exhausted() bool { return r.Fits(Resources{}) }
