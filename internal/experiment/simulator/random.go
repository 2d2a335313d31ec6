package simulator

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// Labels of random streams. A label determines the numbers that are drawn from its stream, so it must not be changed.
const (
	streamGatewayChoice   = "front"   // gateway that a request of a client is sent to
	streamClients         = "clients" // numbers and backoff jitter of clients
	streamEarlyDisconnect = "early"   // requests whose client disconnects early
	streamTrafficShares   = "parts"   // the gateways' shares of the traffic
	streamListDelays      = "lists"   // delays until gateways receive the state of a host
	streamArrivals        = "arrive " // followed by a class name: times of the first requests of the class
	streamWork            = "work "   // followed by a class name: work of the requests of the class
	streamErrors          = "errors"  // responses of a host that are errors or get lost
	streamNetwork         = "net"     // network delays between a gateway and hosts
	streamFaultTargets    = "trouble" // targets of a fault
)

// newStream returns the random stream for one purpose and one object. No other code draws from it, so an addition to
// a scenario doesn't change other draws, and two runs with the same seed can be compared request by request.
func newStream(seed uint64, purpose string, object int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", purpose, object)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Distribution is a distribution of positive numbers.
type Distribution string

// Distributions. The values are their names in scenario files.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
	LogNormal   Distribution = "lognormal" // log-normal with a given coefficient of variation
	Pareto      Distribution = "pareto"    // Pareto with paretoShape: heavy-tailed, with a finite variance
)

// Distributions lists all distributions.
var Distributions = []Distribution{Fixed, Exponential, LogNormal, Pareto}

const paretoShape = 2.1

// draw returns a random number from the distribution with the given mean; cv is the coefficient of variation, which
// only LogNormal uses.
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
