package simulator

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// stream is a source of chance for one purpose and one thing: nothing else draws from it. So what
// is added to a scenario does not shift what all else draws, and two runs of one seed can be
// compared request by request.
func stream(seed uint64, purpose string, of int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", purpose, of)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Dist is a distribution of positive numbers.
type Dist string

// Distributions, by their names in scenarios.
const (
	Fixed       Dist = "fixed"
	Exponential Dist = "exponential"
	LogNormal   Dist = "lognormal" // of the coefficient of variation that is asked for
	Pareto      Dist = "pareto"    // of shape 2.1: a few are very long, and the variance is finite
)

// Dists are all of them.
var Dists = []Dist{Fixed, Exponential, LogNormal, Pareto}

const paretoShape = 2.1

// draw gives a number of a mean; cv is for LogNormal.
func (d Dist) draw(r *rand.Rand, mean, cv float64) float64 {
	switch d {
	case Exponential:
		return mean * r.ExpFloat64()
	case LogNormal:
		s := math.Sqrt(math.Log1p(cv * cv))
		return mean * math.Exp(s*r.NormFloat64()-s*s/2)
	case Pareto:
		least := mean * (paretoShape - 1) / paretoShape
		return least * math.Pow(1-r.Float64(), -1/paretoShape)
	}
	return mean
}
