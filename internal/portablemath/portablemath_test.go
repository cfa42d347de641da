package portablemath

import (
	"math"
	"testing"
)

// TestExactBits guards against values whose last bits depend on the processor or on the compiler's
// fusing of products and sums: decisions that rest on them then differ between processors.
func TestExactBits(t *testing.T) {
	for _, tc := range []struct {
		name     string
		function func(float64) float64
		argument float64
		want     uint64
	}{
		{"Exp", Exp, -0.011111111111111112, 0x3fefa57b496c489f},
		{"Exp", Exp, -0.5, 0x3fe368b2fc6f960a},
		{"Exp", Exp, -1, 0x3fd78b56362cef38},
		{"Exp", Exp, -2.25, 0x3fbafb718e8457f8},
		{"Exp", Exp, -30, 0x3d3a56e0c2ac7f75},
		{"Exp", Exp, -700.1, 0x00cf52f93df4dfcf},
		{"Exp", Exp, 0.3, 0x3ff599058c8c1a96},
		{"Exp", Exp, 1.9, 0x401abe5b1cd863f6},
		{"Log", Log, 0.0005555555555555556, 0xc01dfb6f58eb1dd9},
		{"Log", Log, 0.3, 0xbff34378fcbda721},
		{"Log", Log, 0.7071, 0xbfd62e6b3842a25e},
		{"Log", Log, 0.99, 0xbf8495453e6fd4bc},
		{"Log", Log, 1.01, 0x3f8460d6ccca367c},
		{"Log", Log, 1.4143, 0x3fd62f4358c03e89},
		{"Log", Log, 10, 0x40026bb1bbb55516},
		{"Log", Log, 1e+300, 0x4085963447f87fb5},
	} {
		if got := math.Float64bits(tc.function(tc.argument)); got != tc.want {
			t.Errorf("%s(%v) has the bits %#016x, want %#016x", tc.name, tc.argument, got, tc.want)
		}
	}
}

// TestSumOfBits compares many results at once, by a hash of their bits.
func TestSumOfBits(t *testing.T) {
	const (
		arguments = 100_000
		step      = 0.000_37
		multiply  = 1_099_511_628_211
	)
	exponentials, logarithms := uint64(1), uint64(1)
	for i := range arguments {
		x := float64(i) * step
		exponentials = exponentials*multiply ^ math.Float64bits(Exp(-x))
		logarithms = logarithms*multiply ^ math.Float64bits(Log(x))
	}
	if want := uint64(0xbf62ef9389e19317); exponentials != want {
		t.Errorf("the exponentials have the hash %#016x, want %#016x", exponentials, want)
	}
	if want := uint64(0xba79d235b8bd5df2); logarithms != want {
		t.Errorf("the logarithms have the hash %#016x, want %#016x", logarithms, want)
	}
}

// TestAccuracy compares the results with those of the standard library.
func TestAccuracy(t *testing.T) {
	const tolerance = 5e-16
	for x := -700.0; x < 700; x += 0.137 {
		if got, want := Exp(x), math.Exp(x); math.Abs(got-want) > tolerance*want {
			t.Errorf("Exp(%v) = %v, want %v", x, got, want)
		}
	}
	for x := 1e-300; x < 1e300; x *= 1.37 {
		if got, want := Log(x), math.Log(x); math.Abs(got-want) > tolerance*math.Abs(want) {
			t.Errorf("Log(%v) = %v, want %v", x, got, want)
		}
	}
	for x := 0.5; x < 2; x += 0.000_731 {
		if got, want := Log(x), math.Log(x); math.Abs(got-want) > tolerance*math.Abs(want) {
			t.Errorf("Log(%v) = %v, want %v", x, got, want)
		}
	}
}

func TestSpecialArguments(t *testing.T) {
	infinity := math.Inf(1)
	for _, tc := range []struct {
		name      string
		got, want float64
	}{
		{"Exp(0)", Exp(0), 1},
		{"Exp of infinity", Exp(infinity), infinity},
		{"Exp of negative infinity", Exp(-infinity), 0},
		{"Exp(710)", Exp(710), infinity},
		{"Exp(-746)", Exp(-746), 0},
		{"Exp(-745)", Exp(-745), math.SmallestNonzeroFloat64},
		{"Log(1)", Log(1), 0},
		{"Log(0)", Log(0), -infinity},
		{"Log of infinity", Log(infinity), infinity},
	} {
		if tc.got != tc.want {
			t.Errorf("%s is %v, want %v", tc.name, tc.got, tc.want)
		}
	}
	for name, got := range map[string]float64{"Exp(NaN)": Exp(math.NaN()), "Log(NaN)": Log(math.NaN()), "Log(-1)": Log(-1)} {
		if !math.IsNaN(got) {
			t.Errorf("%s is %v, want NaN", name, got)
		}
	}
}
