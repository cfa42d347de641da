package fakes

import (
	"math/rand/v2"

	"garnethitch/internal/micros"
)

// maxClockDrift is the largest drift of a clock, in parts per million.
const maxClockDrift = 500

// Random is a seeded random number generator.
type Random struct{ *rand.Rand }

// NewRandom returns a generator whose numbers depend only on the seed and the stream.
func NewRandom(seed, stream uint64) Random {
	return Random{rand.New(rand.NewPCG(seed, stream))}
}

// Between returns a random duration; both bounds are included.
func (r Random) Between(from, to micros.Micros) micros.Micros {
	return from + micros.Micros(r.Int64N(int64(to-from)+1))
}

// Chance returns true with the given probability.
func (r Random) Chance(probability float64) bool { return r.Float64() < probability }

// ClockDrift is how much too fast a clock runs, in parts per million.
type ClockDrift int64

// ClockDrift returns a random drift of at most maxClockDrift.
func (r Random) ClockDrift() ClockDrift { return ClockDrift(r.Int64N(maxClockDrift + 1)) }

// Apply returns what a clock with drift d shows at time t.
func (d ClockDrift) Apply(t micros.Micros) micros.Micros {
	return t + micros.Micros(int64(t)*int64(d)/1_000_000)
}
