package estimate

import (
	"garnethitch/internal/micros"
	"garnethitch/internal/portablemath"
)

// meterTimeConstant is the time constant of the exponential decay of a RateMeter.
const meterTimeConstant = 90 * micros.Second

// RateMeter measures the rate at which an amount arrives, as an exponentially decaying mean. The
// zero value is ready to use.
type RateMeter struct {
	level     float64
	updatedAt micros.Micros
}

// Add records an amount that arrives at now.
func (r *RateMeter) Add(now micros.Micros, amount float64) {
	r.decay(now)
	r.level += amount
}

// Rate returns the measured rate in amount per second.
func (r *RateMeter) Rate(now micros.Micros) float64 {
	r.decay(now)
	return r.level / meterTimeConstant.Seconds()
}

// decay applies the decay between the last update and now.
func (r *RateMeter) decay(now micros.Micros) {
	if now > r.updatedAt {
		r.level *= portablemath.Exp(-(now - r.updatedAt).Seconds() / meterTimeConstant.Seconds())
		r.updatedAt = now
	}
}
