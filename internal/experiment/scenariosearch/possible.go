package scenariosearch

import (
	"math"
	"time"

	"dunemoor/internal/experiment/simulator"
)

const (
	// usableCapacity is the share of the hosts' capacity that counts as possible: beyond it queues are longer
	// than a latency objective of a few times the work.
	usableCapacity = 0.7
	// detectionTime is the time in which a fault may go unnoticed: requests to its targets are lost meanwhile.
	detectionTime = 2 * time.Second
	// estimateStep is the time step of the estimate.
	estimateStep = 100 * time.Millisecond
	// allGatewaysDown is the sum of the shares of crashed gateways from which there may be none left.
	allGatewaysDown = 0.999
)

// PossibleShare estimates the share of the requests that gateways with full knowledge could have served in
// time. In each step of the run it counts usableCapacity of the hosts' cores, less what faults take: all of a
// host that has failed, until it is warm again, and what Slow and Errors take of one. Requests to the targets
// of a fault are lost until it is detected. Gateways that crash lose the requests that clients send them
// until these notice, and all requests where no gateway is left.
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

// estimator holds the figures of a Config that don't change over a run.
type estimator struct {
	config   *simulator.Config
	work     float64 // requested per second without bursts, in seconds of a core of speed 1
	rate     float64 // first requests per second without bursts
	capacity float64 // of all hosts, in seconds of a core of speed 1 per second
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

// burstFactor is the rate at a time as a multiple of the rate without bursts.
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

// servedShare is the share of the requests at a time that can be served.
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

// faultLoss is what faults take at a time.
type faultLoss struct {
	healthyCapacity float64 // share of the hosts' capacity that is left
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

// remainingCapacity is the share of its capacity that a target of a fault has left.
func remainingCapacity(f *simulator.Fault) float64 {
	switch f.Kind {
	case simulator.Slow:
		return 1 / f.Severity
	case simulator.Errors:
		return 1 - f.Severity
	}
	return 0
}

// targetShare is the share of the targets in a total, rounded as the simulator does: at least one is hit.
func targetShare(f *simulator.Fault, total int) float64 {
	n := float64(total)
	return max(1, math.Floor(f.Share*n+0.5)) / n
}

// within reports whether at lies in the span that begins at start.
func within(at, start, span time.Duration) bool { return at >= start && at < start+span }
