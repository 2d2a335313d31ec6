// Package overload decides how much load a gateway sheds because the gateway itself is overloaded, independently of
// its hosts. It computes a pressure from samples; it does no I/O, starts no goroutine and reads no clock.
package overload

import (
	"math"
	"sync/atomic"
	"time"
)

// Time is an instant on the gateway's own clock.
type Time = time.Duration

// Parameters of the controller.
const (
	// Interval is the time over which the minimum delay is taken, as in CoDel (RFC 8289, 4.2: 100 ms covers the
	// bursts of usual round trips). A single late event in it has no effect.
	Interval = 100 * time.Millisecond
	// Target is the minimum delay that is tolerated. A twentieth of the 500 ms that bookings have is 25 ms, and a
	// request waits for the loop about five times.
	Target = 5 * time.Millisecond
	// alpha and beta control the share that is shed, as in PIE (RFC 8033, 4.2): alpha by how far the delay is above
	// the target, and beta by how much the delay has changed. Both are in shares per second of delay. The client of a
	// rejected request does not return for a while, so that shedding everything reduces the delay by about a second
	// per second. With a beta of 5 the delay settles within 0.2 s, and with an alpha of 1 per interval (10 a second)
	// it does so without oscillation (a damping of 0.8).
	alpha = 1
	beta  = 5
	// maxDelay limits the delay that is taken into account. A delay of maxDelay sheds half of the requests at once,
	// and the rest within a second. The limit guards against shedding everything because of a burst, and against
	// admitting everything when the burst ends.
	maxDelay = 100 * time.Millisecond
	// fallStep is how much the shed share falls in a good interval, which is one without a delay above the target,
	// once more than minGoodIntervals in a row were good. It is less than the share rises, to avoid oscillation. A
	// minimum delay below a quarter of the target shows spare capacity, and the share falls four times as fast.
	fallStep         = 0.005
	fastFallStep     = 4 * fallStep
	minGoodIntervals = 3
	// maxFallIntervals bounds the number of intervals that one fall accounts for, if the last one was ended long ago.
	maxFallIntervals = 50
	// If the cores are not fully used, shed requests could be admitted. The share falls by idleFallShare of itself in
	// a good interval with all cores idle, and proportionally less up to a use of fullyBusy. This guards against
	// rejecting far more than necessary, for example when rejected clients do not return for a while.
	idleFallShare = 0.25
	fullyBusy     = 0.9
	// minShare is the smallest share that is shed. A smaller one counts as 0.
	minShare = 0.001
	// A resource whose share in use is above these thresholds sheds load regardless of delays, up to all but the last
	// rank when it is used up: a process that runs out of memory is terminated, and one that runs out of descriptors
	// can't serve anybody. Idle connections regularly use 92 in 100 descriptors.
	heapThreshold       = 0.85
	descriptorThreshold = 0.97
	// gcThreshold is the share of the CPU time that the garbage collector may use. A greater share counts as a delay,
	// which reaches maxDelay if the garbage collector uses all CPU time.
	gcThreshold = 0.4
	// idleWeight is the weight of the latest interval in the moving average of the share of idle cores.
	idleWeight = 0.2
)

// Sample is the state of the process over the last interval.
type Sample struct {
	RunQueue    time.Duration // median time that goroutines waited to run after they became ready
	Poll        time.Duration // minimum time from the arrival of a byte until it was read
	Heap        float64       // share of the memory limit in use
	Descriptors float64       // share of the descriptors in use
	GC          float64       // share of the CPU time that the garbage collector used
	Busy        float64       // share of the cores that the process used; 0: unknown
}

// Controller computes from the delays the share of the requests that is to be shed, and from that share and the mix
// of ranks a pressure between 0 and the number of ranks minus one. The pressure minus r is the share of the requests
// of rank r that is shed, limited to 0 to 1. The last rank is never shed, and is not part of the mix. Delay and
// Sample must be called by a single goroutine; the other methods may be called by any.
type Controller struct {
	// Fields that other goroutines read. Floats are stored as bits.
	mix       atomic.Pointer[rankMix]
	pressure  atomic.Uint64 // present pressure, in ranks
	shed      atomic.Uint64 // share of the requests to shed, not counting those of the last rank
	idleCores atomic.Uint64 // moving average of the share of the cores that is idle while nothing waits

	// Fields that only the goroutine of Delay and Sample uses.
	began         Time          // start of the current interval
	minDelay      time.Duration // minimum delay of the events in the interval
	hasDelay      bool          // there was an event in the interval
	previousDelay time.Duration // delay measured in the previous interval
	appliedDelay  time.Duration // delay that the last update of share was computed for
	goodIntervals int           // good intervals in a row
	share         float64       // share of the requests that is shed
	idle          float64       // moving average of the share of idle cores
	sample        Sample        // the latest sample
}

// New returns a Controller for a number of ranks.
func New(ranks int) *Controller {
	c := &Controller{}
	c.SetRanks(ranks)
	return c
}

// SetRanks sets the number of ranks. The mix of ranks is measured anew.
func (c *Controller) SetRanks(ranks int) {
	mix := make(rankMix, max(ranks, 1))
	c.mix.Store(&mix)
}

// Pressure returns the present pressure: the ranks below its integer part are shed entirely, and the next one in
// part.
func (c *Controller) Pressure() float64 { return math.Float64frombits(c.pressure.Load()) }

// Shed returns the share of the requests that is to be shed now, not counting those of the last rank.
func (c *Controller) Shed() float64 { return math.Float64frombits(c.shed.Load()) }

// IdleShare returns the moving average of the share of cores that are idle while nothing waits, or 1 if nothing is
// shed. That share of the requests that would be rejected because they come before their Retry-After can be admitted.
func (c *Controller) IdleShare() float64 {
	if c.pressure.Load() == 0 {
		return 1
	}
	return math.Float64frombits(c.idleCores.Load())
}

// Admit reports whether a request of a rank is admitted. u is random, from 0 to below 1.
func (c *Controller) Admit(rank int, u float64) bool {
	mix := *c.mix.Load()
	if rank >= len(mix)-1 {
		return true
	}
	mix[rank].requests.Add(1)
	pressure := c.Pressure()
	return pressure == 0 || u >= pressure-float64(rank)
}

// Delay records how long an event has waited for the loop.
func (c *Controller) Delay(now Time, d time.Duration) {
	if now-c.began >= Interval {
		c.endInterval(now)
	}
	if !c.hasDelay || d < c.minDelay {
		c.minDelay = d
		c.hasDelay = true
	}
}

// Sample records the state of the process. It is called about once an interval, even without events.
func (c *Controller) Sample(now Time, s Sample) {
	c.sample = s
	if now-c.began >= Interval {
		c.endInterval(now)
	}
}

// endInterval ends an interval and computes the new pressure. A delay counts only if it lasts for two intervals in a
// row: events that waited while the process was paused are handled all at once, and do not indicate overload.
func (c *Controller) endInterval(now Time) {
	measured := c.measuredDelay()
	delay := max(min(measured, c.previousDelay, maxDelay), 0)
	c.previousDelay = measured
	idle := c.idleNow(measured)
	share := c.nextShare(now, measured, delay, idle)
	mix := *c.mix.Load()
	mix.update()
	pressure := mix.pressureOf(share)
	required := c.resourcePressure(mix)
	if required > pressure {
		pressure = required
		share = mix.shareOf(required)
	}
	c.share = share
	c.idle += idleWeight * (idle - c.idle)
	c.idleCores.Store(math.Float64bits(c.idle))
	c.shed.Store(math.Float64bits(share))
	c.pressure.Store(math.Float64bits(pressure))
	c.began = now
	c.hasDelay = false
}

// idleNow returns the share of the cores that was idle in this interval, or 0 if something waited or the use of the
// cores is unknown.
func (c *Controller) idleNow(measured time.Duration) float64 {
	busy := c.sample.Busy
	if measured > Target || busy <= 0 {
		return 0
	}
	return max(fullyBusy-busy, 0) / fullyBusy
}

// measuredDelay returns the delay of this interval: the longest of the delays of events, of the run queue and of
// reads, and of that which the garbage collector's use of the CPU counts as.
func (c *Controller) measuredDelay() time.Duration {
	delay := time.Duration(0)
	if c.hasDelay {
		delay = c.minDelay
	}
	delay = max(delay, c.sample.RunQueue, c.sample.Poll)
	gc := progress(c.sample.GC, gcThreshold)
	if gc > 0 {
		delay = max(delay, Target+time.Duration(gc*float64(maxDelay-Target)))
	}
	return delay
}

// nextShare returns the new share to be shed. measured is the delay of this interval alone, and delay the one that
// counts.
func (c *Controller) nextShare(now Time, measured, delay time.Duration, idle float64) float64 {
	share := c.share + beta*(max(delay, Target)-max(c.appliedDelay, Target)).Seconds()
	c.appliedDelay = delay
	switch {
	case delay > Target:
		c.goodIntervals = 0
		share += alpha * (delay - Target).Seconds()
	case measured <= Target:
		c.goodIntervals++
		if c.goodIntervals > minGoodIntervals {
			share -= c.fall(now, measured, share, idle)
		}
	}
	share = min(share, 1)
	if share < minShare {
		return 0
	}
	return share
}

// fall returns how much a share falls after a good interval.
func (c *Controller) fall(now Time, measured time.Duration, share, idle float64) float64 {
	step := fallStep
	if measured < Target/4 {
		step = fastFallStep
	}
	step = max(step, idleFallShare*share*idle)
	return step * min(float64(now-c.began)/float64(Interval), maxFallIntervals)
}

// resourcePressure returns the pressure that memory and descriptors alone require.
func (c *Controller) resourcePressure(mix rankMix) float64 {
	return mix.maxPressure() * max(progress(c.sample.Heap, heapThreshold), progress(c.sample.Descriptors, descriptorThreshold))
}

// progress returns the position of x between a threshold and 1, as a number from 0 to 1.
func progress(x, threshold float64) float64 {
	return min(max((x-threshold)/(1-threshold), 0), 1)
}
