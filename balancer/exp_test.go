package balancer

import (
	"math"
	"math/rand/v2"
	"testing"
)

// exp differs from math.Exp by rounding only, and agrees with it where the result is not a normal number.
func TestExpMatchesMath(t *testing.T) {
	const maxRelativeError = 4.0 / (1 << 52)
	rng := rand.New(rand.NewPCG(1, 0))
	for range 100_000 {
		x := (rng.Float64() - 0.5) * 1400
		got, want := exp(x), math.Exp(x)
		if math.Abs(got-want) > maxRelativeError*want {
			t.Fatalf("exp(%v): got %v, want %v", x, got, want)
		}
	}
	for _, x := range []float64{0, math.Inf(1), math.Inf(-1), 710, -740, -800} {
		if got, want := exp(x), math.Exp(x); got != want {
			t.Errorf("exp(%v): got %v, want %v", x, got, want)
		}
	}
	if got := exp(math.NaN()); !math.IsNaN(got) {
		t.Errorf("exp(NaN): got %v, want NaN", got)
	}
}

// The last bits of exp are the same on every processor. Those of math.Exp on arm64 differ for some of the values.
func TestExpIsReproducible(t *testing.T) {
	for x, want := range map[float64]uint64{
		-0.001:              0x3feff7cfe56f1a9e,
		-0.3:                0x3fe7b4c869c37c05,
		-1:                  0x3fd78b56362cef38,
		-2.7182:             0x3fb0e4f2205d1739,
		-25:                 0x3dae8a37a45fc32e,
		0.125:               0x3ff2216045b6f5cd,
		1:                   0x4005bf0a8b145769,
		-2.698599999999999:  0x3fb13a8d0a00fa4f,
		-2.5341999999999985: 0x3fb44ea73e39d758,
		-2.383499999999998:  0x3fb79c33ef87b211,
		-2.369799999999998:  0x3fb7ef94098892f6,
	} {
		if got := math.Float64bits(exp(x)); got != want {
			t.Errorf("exp(%v): got bits %#x, want %#x", x, got, want)
		}
	}
}
