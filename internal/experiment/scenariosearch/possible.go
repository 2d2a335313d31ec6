package scenariosearch

import (
	"math"
	"time"

	"dunemoor/internal/experiment/simulator"
)

const (
	// usableCapacity is the share of the hosts' capacity that the estimate counts. With a higher load, queueing takes
	// longer than a latency objective of a few times the work of a request.
	usableCapacity = 0.7
	// detectionTime is how long a fault may remain undetected. The estimate counts requests to its targets as lost
	// during that time.
	detectionTime = 2 * time.Second
	// estimateStep is the interval at which the estimate evaluates a run.
	estimateStep = 100 * time.Millisecond
	// allGatewaysDown is the minimum sum of the shares of crashed gateways for which all gateways may be down.
	allGatewaysDown = 0.999
)

// PossibleShare estimates the share of the requests that gateways with complete information could have served in
// time. In each step of the run it counts usableCapacity of the hosts' capacity, reduced by faults: a failed host has
// no capacity until it is warm again, and Slow and Errors reduce the capacity of a host. Requests to the targets of a
// fault are lost until it is detected. Requests to a crashed gateway are lost until clients detect the crash, and all
// requests are lost if no gateway is left.
func PossibleShare(c simulator.Config) float64 {
	e := newEstimator(&c)
	if e.rate == 0 {
		return 1
	}
	requests := 0.0
	served := 0.0
	for at := time.Duration(0); at < c.Length; at += estimateStep {
		burst := e.burstFactor(at)
		share := e.servedShare(at, burst)
		requests += burst
		served += burst * share
	}
	return served / requests
}

// estimator holds the figures of a Config that are constant during a run.
type estimator struct {
	config   *simulator.Config
	work     float64 // work requested per second without bursts, in seconds of a core of speed 1
	rate     float64 // first requests per second without bursts
	capacity float64 // capacity of all hosts, in seconds of a core of speed 1 per second
	hosts    int
}

func newEstimator(c *simulator.Config) *estimator {
	e := &estimator{config: c}
	for _, t := range c.Classes {
		e.work += t.Rate * t.MeanWork.Seconds()
		e.rate += t.Rate
	}
	for _, group := range c.Hosts {
		e.hosts += group.Count
		speed := group.Speed
		if speed == 0 {
			speed = 1
		}
		e.capacity += float64(group.Count*group.Cores) * speed
	}
	return e
}

// burstFactor returns the total rate at a time as a multiple of the rate without bursts.
func (e *estimator) burstFactor(at time.Duration) float64 {
	factor := 1.0
	for _, b := range e.config.Bursts {
		if at < b.At || at >= b.At+b.Duration {
			continue
		}
		if b.Class == "" {
			factor *= b.Factor
			continue
		}
		for _, t := range e.config.Classes {
			if t.Name == b.Class {
				factor += (b.Factor - 1) * t.Rate / e.rate
			}
		}
	}
	return factor
}

// servedShare returns the share of the requests at a time that can be served.
func (e *estimator) servedShare(at time.Duration, burst float64) float64 {
	loss := faultLoss{healthyCapacity: 1}
	for i := range e.config.Faults {
		f := &e.config.Faults[i]
		if f.Kind == simulator.GatewayCrash {
			e.addGatewayCrash(&loss, f, at)
		} else {
			e.addHostFault(&loss, f, at)
		}
	}
	if loss.gatewaysDown > allGatewaysDown {
		loss.requests = 1
	}
	possible := min(1, usableCapacity*e.capacity*loss.healthyCapacity/max(e.work*burst, 1e-9))
	return possible * (1 - loss.requests)
}

// faultLoss is the loss of capacity and requests by faults at a time.
type faultLoss struct {
	healthyCapacity float64 // remaining share of the hosts' capacity
	requests        float64 // share of the requests that are lost
	gatewaysDown    float64 // sum of the shares of crashed gateways
}

func (e *estimator) addHostFault(loss *faultLoss, f *simulator.Fault, at time.Duration) {
	part := (1 - remainingCapacity(f)) * targetShare(f, e.hosts)
	warmup := time.Duration(0)
	switch f.Kind {
	case simulator.Crash, simulator.Vanish, simulator.Drain:
		warmup = e.config.Settings.SlowStartWindow
	}
	if within(at, f.At, f.Duration+warmup) {
		loss.healthyCapacity *= 1 - part
	}
	if within(at, f.At, detectionTime+e.config.Endpoints.FailureDelay) {
		loss.requests = max(loss.requests, part)
	}
}

func (e *estimator) addGatewayCrash(loss *faultLoss, f *simulator.Fault, at time.Duration) {
	share := targetShare(f, e.config.Gateways)
	if within(at, f.At, f.Duration) {
		loss.gatewaysDown += share
	}
	if within(at, f.At, max(detectionTime, e.config.Clients.FailoverDelay)) {
		loss.requests = max(loss.requests, share)
	}
}

// remainingCapacity returns the share of its capacity that a target of a fault retains.
func remainingCapacity(f *simulator.Fault) float64 {
	switch f.Kind {
	case simulator.Slow:
		return 1 / f.Severity
	case simulator.Errors:
		return 1 - f.Severity
	}
	return 0
}

// targetShare returns the number of targets of a fault as a share of a total. As in the simulator, the number is
// rounded and is at least one.
func targetShare(f *simulator.Fault, total int) float64 {
	n := float64(total)
	return max(1, math.Floor(f.Share*n+0.5)) / n
}

// within reports whether at is in the time span that begins at start.
func within(at, start, span time.Duration) bool { return at >= start && at < start+span }
