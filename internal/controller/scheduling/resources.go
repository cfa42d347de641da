// Package scheduling holds the calculations by which tasks are assigned to machines: what
// resources a task needs, how well a machine suits it, and which tasks are stopped for one of
// higher priority. Its results depend on the arguments alone.
package scheduling

// Tolerance is the difference up to which two amounts of a resource count as equal.
const Tolerance = 1e-6

// Resources is what a task needs, or what a machine has left.
type Resources struct {
	CPUs, GPUs float64
	MemGB      float64
}

// Fits reports whether r can be taken out of free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+Tolerance && r.GPUs <= free.GPUs+Tolerance && r.MemGB <= free.MemGB+Tolerance
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPUs: r.CPUs + other.CPUs, GPUs: r.GPUs + other.GPUs, MemGB: r.MemGB + other.MemGB}
}

// Minus returns what is left of r without other, below zero where other is larger.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPUs: r.CPUs - other.CPUs, GPUs: r.GPUs - other.GPUs, MemGB: r.MemGB - other.MemGB}
}

// AtLeastZero returns r with zero in place of negative amounts.
func (r Resources) AtLeastZero() Resources {
	return Resources{CPUs: max(r.CPUs, 0), GPUs: max(r.GPUs, 0), MemGB: max(r.MemGB, 0)}
}

// Exhausted reports whether nothing is left of any resource.
func (r Resources) Exhausted() bool { return r.Fits(Resources{}) }
