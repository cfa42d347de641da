// Package portablemath computes exponentials and logarithms with the same bits on every processor.
// The functions of the standard library have an assembly version for some processors, whose last
// bit differs between them. Here all operations are those of IEEE 754, in a given order: products
// are converted explicitly, so that the compiler does not fuse them with an addition.
package portablemath

import "math"

// ln2High and ln2Low add up to the natural logarithm of 2. ln2High has so few digits that its
// product with the exponent of a float64 is exact.
const (
	ln2High = 0x1.62e42fep-1
	ln2Low  = math.Ln2 - ln2High
)

// Arguments of Exp above maxExponent give infinity, those below minExponent give 0.
const (
	maxExponent = 709.782712893384
	minExponent = -745.133219101941
)

// Lengths of the series. The first term left out is smaller than half the last bit of the result.
const (
	expTerms = 14
	logTerms = 12
)

// Exp returns e to the power of x, within two units of the last place.
func Exp(x float64) float64 {
	switch {
	case math.IsNaN(x):
		return x
	case x > maxExponent:
		return math.Inf(1)
	case x < minExponent:
		return 0
	}
	powerOf2 := math.Round(x * math.Log2E)
	remainder := x - float64(powerOf2*ln2High)
	remainder -= float64(powerOf2 * ln2Low)
	return math.Ldexp(expSeries(remainder), int(powerOf2))
}

// expSeries returns e to the power of x for |x| of at most half the natural logarithm of 2, by the
// Taylor series.
func expSeries(x float64) float64 {
	sum := 1.0
	for n := expTerms; n >= 1; n-- {
		sum = 1 + float64(x*sum)/float64(n)
	}
	return sum
}

// Log returns the natural logarithm of x, within two units of the last place. It returns negative
// infinity for 0, and NaN for negative numbers.
func Log(x float64) float64 {
	switch {
	case math.IsNaN(x), math.IsInf(x, 1):
		return x
	case x < 0:
		return math.NaN()
	case x == 0:
		return math.Inf(-1)
	}
	fraction, exponent := math.Frexp(x)
	if fraction < math.Sqrt2/2 {
		fraction *= 2
		exponent--
	}
	powerOf2 := float64(exponent)
	return float64(powerOf2*ln2High) + (float64(powerOf2*ln2Low) + logSeries(fraction))
}

// logSeries returns the natural logarithm of x between the square roots of 1/2 and of 2, by the
// series of the inverse hyperbolic tangent.
func logSeries(x float64) float64 {
	ratio := (x - 1) / (x + 1)
	square := float64(ratio * ratio)
	sum := 0.0
	for n := logTerms - 1; n >= 0; n-- {
		sum = float64(square*sum) + 1/float64(2*n+1)
	}
	return float64(2 * ratio * sum)
}
