package balancer

import "math"

// Constants of exp. ln2High and ln2Low add up to the natural logarithm of 2; ln2High has so few digits that
// its product with an exponent is exact.
const (
	ln2High = 0.69314718055966295651160180568695068359375
	ln2Low  = 0.28235290563031577122588448175013436025525412068e-12
	// expReduction is the factor by which exp reduces its argument; expDoublings doublings undo it.
	expReduction = 1.0 / 16
	expDoublings = 4
	// Beyond these exponents of 2 the result is not a normal number.
	minNormalExponent = -1022
	maxNormalExponent = 1023
)

// expCoefficients are those of the Taylor series of (e^x - 1) / x, the highest degree first.
var expCoefficients = [...]float64{
	1.0 / 40320, 1.0 / 5040, 1.0 / 720, 1.0 / 120, 1.0 / 24, 1.0 / 6, 1.0 / 2, 1,
}

// exp returns e^x. In contrast to math.Exp, whose last bit depends on the processor, the result is the same
// everywhere, so that checkpoints and recordings of one machine can be replayed on another. For the same
// reason products to which something is added are converted to float64 throughout the package: the compiler
// may not fuse the two operations then.
func exp(x float64) float64 {
	exponent := math.RoundToEven(x * math.Log2E)
	if !(exponent >= minNormalExponent && exponent <= maxNormalExponent) {
		return math.Exp(x)
	}
	// With r = x - exponent * ln 2, e^x is 2^exponent * e^r.
	r := math.FMA(-exponent, ln2High, x)
	r = math.FMA(-exponent, ln2Low, r)
	r = float64(r * expReduction)
	sum := expCoefficients[0]
	for _, c := range expCoefficients[1:] {
		sum = math.FMA(r, sum, c)
	}
	// m is e^r - 1. From m(r) follows m(2r) = m(r) * (m(r) + 2).
	m := float64(r * sum)
	for range expDoublings - 1 {
		m = float64(m * (m + 2))
	}
	return math.Ldexp(math.FMA(m+2, m, 1), int(exponent))
}
