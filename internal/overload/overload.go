// Package overload says how much of what comes a gateway has to turn away because it falls
// behind itself, whatever its hosts do. It takes samples and gives a pressure; it does no I/O,
// starts no goroutine and reads no clock.
package overload

import (
	"math"
	"sort"
	"sync/atomic"
	"time"
)

// Time is an instant on the gateway's own clock.
type Time = time.Duration

// The constants of the controller, each with its reason.
const (
	// Interval is over which the least delay counts, as in CoDel (RFC 8289, 4.2: 100 ms covers
	// the bursts of usual round trips). What was late once in it says nothing.
	Interval = 100 * time.Millisecond
	// Target is the least delay that is borne: a twentieth of the 500 ms that bookings have is
	// 25 ms, and a request waits for the loop some five times.
	Target = 5 * time.Millisecond
	// risePart is by how much the pressure rises in an interval of which the least delay is
	// twice the target; in proportion, riseMost at most. A rank is shed whole in a second.
	risePart = 0.1
	riseMost = 0.5
	// fallPart is by how much it falls in a good interval, once calmIntervals have been good in
	// a row: slower than it rises, so that it does not swing. Where the least delay is under a
	// quarter of the target there is room, and it falls four times as fast.
	fallPart      = 0.02
	roomPart      = 4 * fallPart
	calmIntervals = 3
	// Where the cores are not used up, what is shed could be let in: it falls by idlePart of
	// itself for a core that stands still, in proportion from busyFull on. It guards against
	// turning away far more than has to go, as where clients that are refused stay away.
	idlePart = 0.25
	busyFull = 0.9
	// From these shares on a resource by itself sheds, up to all but the last rank at its end:
	// memory that runs out, or descriptors, end the process or its service.
	heapFrom  = 0.85
	filesFrom = 0.97 // connections that rest fill 92 in 100 in good order
	// gcFrom is the share of the CPU that the collector may take before it counts as a delay.
	gcFrom = 0.4
)

// Sample is how the process stood over the last interval.
type Sample struct {
	RunQueue time.Duration // half of what became ready to run waited less
	Poll     time.Duration // the least that a byte waited to be read once it had come
	Heap     float64       // share of the memory limit
	Files    float64       // share of the descriptors
	GC       float64       // share of the CPU that the collector took
	Busy     float64       // share of the cores that the process used; 0: not known
}

// Rank is where a kind of request stands when something has to go: the lowest first.
type Rank struct {
	Worth  float64
	Repeat bool
	Aim    time.Duration
}

// repeatWorth is what a client's repeat is worth beside its first try: it may come late, and is
// what a storm is made of.
const repeatWorth = 0.25

// Ranks gives each class two numbers, for first tries and for repeats: what is worth less has
// the lower one, and of equal worth what can wait longer. Kinds that do not differ share one.
func Ranks(classes []Rank) (first, repeat []int, count int) {
	type kind struct {
		worth float64
		aim   time.Duration
		to    *int
	}
	first, repeat = make([]int, len(classes)), make([]int, len(classes))
	var kinds []kind
	for i, c := range classes {
		kinds = append(kinds, kind{c.Worth, c.Aim, &first[i]}, kind{c.Worth * repeatWorth, c.Aim, &repeat[i]})
	}
	sort.SliceStable(kinds, func(i, j int) bool {
		if kinds[i].worth != kinds[j].worth {
			return kinds[i].worth < kinds[j].worth
		}
		return kinds[i].aim > kinds[j].aim
	})
	for i, k := range kinds {
		if i > 0 && (kinds[i-1].worth != k.worth || kinds[i-1].aim != k.aim) {
			count++
		}
		*k.to = count
	}
	return first, repeat, count + 1
}

// Controller turns delays into a pressure between 0 and the number of ranks less one: rank r is
// shed by the part that the pressure is above r. The last rank is never shed by it. Delay and
// Sample belong to one goroutine; Pressure and Admit may be called from any.
type Controller struct {
	most     atomic.Int64  // rank that is not shed
	pressure atomic.Uint64 // as bits

	began  Time // of this interval
	least  time.Duration
	seen   bool
	late   bool // the interval before was late too
	calm   int
	floor  float64 // what resources alone ask for
	sample Sample
}

// New returns a Controller for so many ranks.
func New(ranks int) *Controller {
	c := &Controller{}
	c.SetRanks(ranks)
	return c
}

// SetRanks says how many ranks there are by now.
func (c *Controller) SetRanks(ranks int) { c.most.Store(int64(max(ranks-1, 0))) }

// Pressure is what is shed now: the ranks below it whole, the one that it falls into in part.
func (c *Controller) Pressure() float64 { return math.Float64frombits(c.pressure.Load()) }

// Admit says whether a request of a rank is let in. u is from 0 to below 1, by chance.
func (c *Controller) Admit(rank int, u float64) bool {
	bits := c.pressure.Load()
	if bits == 0 {
		return true
	}
	return int64(rank) >= c.most.Load() || u >= math.Float64frombits(bits)-float64(rank)
}

// Delay is what an event has waited for the loop.
func (c *Controller) Delay(now Time, d time.Duration) {
	if now-c.began >= Interval {
		c.close(now)
	}
	if !c.seen || d < c.least {
		c.least, c.seen = d, true
	}
}

// Sample is told about once an interval, also when no event comes.
func (c *Controller) Sample(now Time, s Sample) {
	c.sample = s
	if now-c.began >= Interval {
		c.close(now)
	}
}

// close ends an interval. Only what was late in two in a row counts: the events that waited
// while the process was stopped come all at once, and say nothing of what follows.
func (c *Controller) close(now Time) {
	least := time.Duration(0)
	if c.seen {
		least = c.least
	}
	least = max(least, c.sample.RunQueue, c.sample.Poll)
	if c.sample.GC > gcFrom {
		least = max(least, time.Duration(float64(Target)*(1+(c.sample.GC-gcFrom)/(1-gcFrom))))
	}
	p := c.Pressure()
	late := least > Target
	switch {
	case late && c.late:
		c.calm = 0
		p += min(risePart*(float64(least)/float64(Target)-1), riseMost)
	case late:
		c.calm = 0
	default:
		if c.calm++; c.calm > calmIntervals {
			part := fallPart
			if least < Target/4 {
				part = roomPart
			}
			if busy := c.sample.Busy; busy > 0 && busy < busyFull {
				part = max(part, idlePart*p*(busyFull-busy)/busyFull)
			}
			p -= part * min(float64(now-c.began)/float64(Interval), 50)
		}
	}
	c.late = late
	most := float64(c.most.Load())
	c.floor = most * max(above(c.sample.Heap, heapFrom), above(c.sample.Files, filesFrom))
	p = min(max(p, c.floor, 0), most)
	c.pressure.Store(math.Float64bits(p))
	c.began, c.seen = now, false
}

// above is how far x is on the way from a bound to 1.
func above(x, from float64) float64 { return min(max((x-from)/(1-from), 0), 1) }

// Advice is when a client that was turned away may come back: a base that doubles with each
// rank of pressure, up to most, spread over half to one and a half of it by who the client is.
// So a client hears the same each time, and clients that were turned away together come back
// spread over as long as they were told to wait.
func Advice(pressure float64, base, most time.Duration, client uint64) time.Duration {
	d := float64(base) * math.Exp2(min(pressure, 16))
	d = min(d, float64(most)/1.5)
	return time.Duration(d * (0.5 + float64(mix(client)>>11)/(1<<53)))
}

// mix spreads the bits of z (splitmix64's finalizer).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
