package estimate

import (
	"math"

	"garnethitch/internal/micros"
)

// meterTimeConstant is the time constant with which a RateMeter forgets.
const meterTimeConstant = 90 * micros.Second

// RateMeter measures the rate at which an amount arrives, as an exponentially decaying
// mean. The zero value has measured nothing.
type RateMeter struct {
	level float64
	at    micros.Micros
}

// Add takes an amount that arrives now.
func (r *RateMeter) Add(now micros.Micros, amount float64) {
	r.decay(now)
	r.level += amount
}

// Rate returns the amount per second.
func (r *RateMeter) Rate(now micros.Micros) float64 {
	r.decay(now)
	return r.level / meterTimeConstant.Seconds()
}

// decay lets the amount decay up to now.
func (r *RateMeter) decay(now micros.Micros) {
	if now > r.at {
		r.level *= math.Exp(-(now - r.at).Seconds() / meterTimeConstant.Seconds())
		r.at = now
	}
}
