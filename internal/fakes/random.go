package fakes

import (
	"math/rand/v2"

	"garnethitch/internal/micros"
)

// maxClockDrift is by how many millionths a clock may run fast.
const maxClockDrift = 500

// Random draws from a source.
type Random struct{ *rand.Rand }

// NewRandom returns a source that a seed and a stream determine.
func NewRandom(seed, stream uint64) Random {
	return Random{rand.New(rand.NewPCG(seed, stream))}
}

// Between draws a duration; both bounds are included.
func (r Random) Between(from, to micros.Micros) micros.Micros {
	return from + micros.Micros(r.Int64N(int64(to-from)+1))
}

// Chance reports true with a probability.
func (r Random) Chance(probability float64) bool { return r.Float64() < probability }

// ClockDrift is by how many millionths a clock runs fast.
type ClockDrift int64

// ClockDrift draws a drift.
func (r Random) ClockDrift() ClockDrift { return ClockDrift(r.Int64N(maxClockDrift + 1)) }

// Apply returns what a clock with the drift shows at a time.
func (d ClockDrift) Apply(t micros.Micros) micros.Micros {
	return t + micros.Micros(int64(t)*int64(d)/1_000_000)
}
