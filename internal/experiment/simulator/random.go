package simulator

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// Labels of random streams. A label selects the numbers that are drawn, so it never changes.
const (
	streamGatewayChoice = "front"   // which gateway a client is sent to
	streamClients       = "clients" // identity and backoff of clients
	streamEarlyLeave    = "early"   // which clients leave early
	streamTrafficShares = "parts"   // the gateways' shares of the traffic
	streamListDelays    = "lists"   // when gateways learn of a host
	streamArrivals      = "arrive " // followed by a class: times of its first requests
	streamWork          = "work "   // followed by a class: work of its requests
	streamErrors        = "errors"  // which responses of a host are errors or get lost
	streamNetwork       = "net"     // delays between a gateway and hosts
	streamFaultTargets  = "trouble" // targets of a fault
)

// newStream returns the random stream for one purpose and one object; nothing else draws from it. So an
// addition to a scenario doesn't change other draws, and two runs of a seed can be compared request by
// request.
func newStream(seed uint64, purpose string, object int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", purpose, object)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Distribution is a distribution of positive numbers.
type Distribution string

// Distributions by their names in scenarios.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
	LogNormal   Distribution = "lognormal" // with a given coefficient of variation
	Pareto      Distribution = "pareto"    // with paretoShape: a few are very long, and the variance is finite
)

// Distributions lists all of them.
var Distributions = []Distribution{Fixed, Exponential, LogNormal, Pareto}

const paretoShape = 2.1

// draw returns a number from a distribution with a mean; cv is the coefficient of variation of LogNormal.
func (d Distribution) draw(r *rand.Rand, mean, cv float64) float64 {
	switch d {
	case Exponential:
		return mean * r.ExpFloat64()
	case LogNormal:
		sigma := math.Sqrt(math.Log1p(cv * cv))
		return mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	case Pareto:
		smallest := mean * (paretoShape - 1) / paretoShape
		return smallest * math.Pow(1-r.Float64(), -1/paretoShape)
	}
	return mean
}
