// Package overload decides how much load a gateway sheds because it falls behind itself, whatever its hosts do. It takes
// samples and gives a pressure; it does no I/O, starts no goroutine and reads no clock.
package overload

import (
	"math"
	"sync/atomic"
	"time"
)

// Time is an instant on the gateway's own clock.
type Time = time.Duration

// The constants of the controller, each with its reason.
const (
	// Interval is over which the minimum delay counts, as in CoDel (RFC 8289, 4.2: 100 ms covers the bursts of usual
	// round trips). A single late event in it says nothing.
	Interval = 100 * time.Millisecond
	// Target is the minimum delay that is tolerated: a twentieth of the 500 ms that bookings have is 25 ms, and a request
	// waits for the loop some five times.
	Target = 5 * time.Millisecond
	// alpha and beta control the share that is shed, as in PIE (RFC 8033, 4.2): by how far the delay is above the target,
	// and by how much it has changed. A rejected request keeps its client away for a while, so the delay falls by about a
	// second a second for a share of 1: with a proportional gain of 5 it settles within 0.2 s, and an alpha of 1 (10 a
	// second) lets it do so without oscillation (a damping of 0.8). Both are in shares a second of delay.
	alpha = 1
	beta  = 5
	// maxDelay is the most of a delay that counts: half of all is shed for it at once, and the rest within a second. It
	// guards against shedding everything for a burst, and against admitting everything as it ends.
	maxDelay = 100 * time.Millisecond
	// fallStep is how much the share falls in a good interval, once calmIntervals in a row were good: slower than it rises,
	// so that it does not oscillate. Where the minimum delay is under a quarter of the target there is capacity, and it
	// falls four times as fast.
	fallStep      = 0.005
	fastFallStep  = 4 * fallStep
	calmIntervals = 3
	// maxFallIntervals bounds how many intervals a fall makes up for at once.
	maxFallIntervals = 50
	// Where the cores are not used up, what is shed could be admitted: the share falls by idleFallShare of itself for an idle
	// core, in proportion below fullyBusy. It guards against rejecting far more than necessary, as where rejected clients
	// stay away.
	idleFallShare = 0.25
	fullyBusy     = 0.9
	// minShare is the smallest share that is shed: less is none.
	minShare = 0.001
	// From these shares on a resource alone sheds load, up to all but the last rank at its end: a process without memory
	// ends, and one without descriptors serves nobody. Idle connections fill 92 in 100 regularly.
	heapThreshold       = 0.85
	descriptorThreshold = 0.97
	// gcThreshold is the share of the CPU that the garbage collector may use before it counts as a delay, of maxDelay where
	// it uses all.
	gcThreshold = 0.4
	// idleWeight is the weight of an interval in the known share of idle cores.
	idleWeight = 0.2
)

// Sample is the state of the process over the last interval.
type Sample struct {
	RunQueue time.Duration // half of the goroutines that became ready waited less
	Poll     time.Duration // the least that a byte waited to be read after it had arrived
	Heap     float64       // share of the memory limit
	Files    float64       // share of the descriptors
	GC       float64       // share of the CPU that the garbage collector used
	Busy     float64       // share of the cores that the process used; 0: not known
}

// Controller turns delays into the share of the requests that is to be shed, and that, by the mix of ranks, into a pressure
// between 0 and the number of ranks less one: rank r is shed by the part by which the pressure is above r. The last rank is
// never shed by it, and does not count in the mix. Delay and Sample belong to one goroutine; all else may be called by any.
type Controller struct {
	// What other goroutines read; floats as bits.
	mix       atomic.Pointer[rankMix]
	pressure  atomic.Uint64 // in ranks
	shed      atomic.Uint64 // share of the requests
	idleCores atomic.Uint64 // share of the cores

	// What the goroutine of Delay and Sample alone uses.
	began         Time          // of this interval
	minDelay      time.Duration // least delay of an event in it
	hasDelay      bool          // there was one
	previousDelay time.Duration // measured in the interval before
	appliedDelay  time.Duration // that the share stands for
	calm          int           // good intervals in a row
	share         float64       // of the requests that is shed
	idle          float64       // share of the cores, lately
	sample        Sample        // the last
}

// New returns a Controller for a number of ranks.
func New(ranks int) *Controller {
	c := &Controller{}
	c.SetRanks(ranks)
	return c
}

// SetRanks sets the number of ranks. What is known of their mix is forgotten.
func (c *Controller) SetRanks(ranks int) {
	mix := make(rankMix, max(ranks, 1))
	c.mix.Store(&mix)
}

// Pressure returns what is shed now: the ranks below it wholly, the one that it falls into in part.
func (c *Controller) Pressure() float64 { return math.Float64frombits(c.pressure.Load()) }

// Shed returns the share of the requests that is to be shed now, the last rank left out.
func (c *Controller) Shed() float64 { return math.Float64frombits(c.shed.Load()) }

// IdleShare returns the share of the cores that was idle lately while nothing waited, or 1 where nothing is shed: that
// share of the requests that would be rejected as early can be admitted.
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

// Delay reports how long an event has waited for the loop.
func (c *Controller) Delay(now Time, d time.Duration) {
	if now-c.began >= Interval {
		c.endInterval(now)
	}
	if !c.hasDelay || d < c.minDelay {
		c.minDelay = d
		c.hasDelay = true
	}
}

// Sample reports the state of the process. It is called about once an interval, also when there are no events.
func (c *Controller) Sample(now Time, s Sample) {
	c.sample = s
	if now-c.began >= Interval {
		c.endInterval(now)
	}
}

// endInterval ends an interval. Only a delay in two intervals in a row counts: events that waited while the process was
// paused arrive all at once, and say nothing of what follows.
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

// idleNow returns the share of the cores that was idle in this interval while nothing waited; 0 where that is not known.
func (c *Controller) idleNow(measured time.Duration) float64 {
	busy := c.sample.Busy
	if measured > Target || busy <= 0 {
		return 0
	}
	return max(fullyBusy-busy, 0) / fullyBusy
}

// measuredDelay returns the delay of this interval.
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

// nextShare returns the share that is to be shed, by the delay.
func (c *Controller) nextShare(now Time, measured, delay time.Duration, idle float64) float64 {
	share := c.share + beta*(max(delay, Target)-max(c.appliedDelay, Target)).Seconds()
	c.appliedDelay = delay
	switch {
	case delay > Target:
		c.calm = 0
		share += alpha * (delay - Target).Seconds()
	case measured <= Target:
		c.calm++
		if c.calm > calmIntervals {
			share -= c.fall(now, measured, share, idle)
		}
	}
	share = min(share, 1)
	if share < minShare {
		return 0
	}
	return share
}

// fall returns by how much a share falls in a good interval.
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
	return mix.maxPressure() * max(progress(c.sample.Heap, heapThreshold), progress(c.sample.Files, descriptorThreshold))
}

// progress returns how far x is on the way from a threshold to 1.
func progress(x, threshold float64) float64 {
	return min(max((x-threshold)/(1-threshold), 0), 1)
}
