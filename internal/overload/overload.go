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
	// alpha and beta steer the share that is shed, as in PIE (RFC 8033, 4.2): by how far the delay
	// is above the target, and by how much it has changed. A request that is turned away keeps its
	// client off for a while, so that the delay falls by about a second a second for a share of 1:
	// with a gain of 5 in proportion it settles within 0.2 s, and alpha of 1 (10 a second) lets it
	// do so without a swing (a damping of 0.8). Both are in shares a second of delay.
	alpha = 1
	beta  = 5
	// delayMost is the most of a delay that counts: half of all is shed for it at once, and the
	// rest within a second. It guards against shedding all for a burst, and against letting all in
	// as it ends.
	delayMost = 100 * time.Millisecond
	// fallPart is by how much the share falls in a good interval, once calmIntervals have been good
	// in a row: slower than it rises, so that it does not swing. Where the least delay is under a
	// quarter of the target there is room, and it falls four times as fast.
	fallPart      = 0.005
	roomPart      = 4 * fallPart
	calmIntervals = 3
	// Where the cores are not used up, what is shed could be let in: it falls by idlePart of
	// itself for a core that stands still, in proportion from busyFull on. It guards against
	// turning away far more than has to go, as where clients that are refused stay away.
	idlePart = 0.25
	busyFull = 0.9
	// leastShare is the smallest share that is shed: what is less is none.
	leastShare = 0.001
	// From these shares on a resource by itself sheds, up to all but the last rank at its end:
	// memory that runs out, or descriptors, end the process or its service.
	heapFrom  = 0.85
	filesFrom = 0.97 // connections that rest fill 92 in 100 in good order
	// gcFrom is the share of the CPU that the collector may take before it counts as a delay, of
	// delayMost where it takes all.
	gcFrom = 0.4
	// roomPartOf is how much of what is known of idle cores an interval makes up.
	roomPartOf = 0.2
	// mixPart is how much of what is known of the mix of ranks an interval makes up: half a second
	// of it counts.
	mixPart = 0.2
	// evenPart is what of the mix counts as if it were even: ranks that nobody asks for are passed
	// over at once, and yet have a place.
	evenPart = 0.02
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

// Controller turns delays into the share of what comes that is to be shed, and that, by the mix of
// ranks that comes, into a pressure between 0 and the number of ranks less one: rank r is shed by
// the part that the pressure is above r. The last rank is never shed by it, nor does it count in
// the mix. Delay and Sample belong to one goroutine; all else may be called from any.
type Controller struct {
	ranks    atomic.Pointer[[]rank]
	pressure atomic.Uint64 // as bits
	shed     atomic.Uint64 // share, as bits
	room     atomic.Uint64 // share of the cores, as bits

	began    Time // of this interval
	least    time.Duration
	seen     bool
	previous time.Duration // least of the interval before
	counted  time.Duration // delay that the share stands for
	calm     int
	share    float64
	idle     float64 // share of the cores, of late
	sample   Sample
}

// rank is what came of one.
type rank struct {
	came atomic.Uint64
	last uint64  // came as it was
	part float64 // of the mix, lately
}

// New returns a Controller for so many ranks.
func New(ranks int) *Controller {
	c := &Controller{}
	c.SetRanks(ranks)
	return c
}

// SetRanks says how many ranks there are by now. What is known of their mix is forgotten.
func (c *Controller) SetRanks(ranks int) {
	list := make([]rank, max(ranks, 1))
	c.ranks.Store(&list)
}

// Pressure is what is shed now: the ranks below it whole, the one that it falls into in part.
func (c *Controller) Pressure() float64 { return math.Float64frombits(c.pressure.Load()) }

// Shed is the share that is to be shed now of what comes, the last rank left out.
func (c *Controller) Shed() float64 { return math.Float64frombits(c.shed.Load()) }

// Room is the part of the cores that has stood still of late while nothing waited, or 1 where
// nothing is shed: that part of what would be turned away as too soon can be let in.
func (c *Controller) Room() float64 {
	if c.pressure.Load() == 0 {
		return 1
	}
	return math.Float64frombits(c.room.Load())
}

// Admit says whether a request of a rank is let in. u is from 0 to below 1, by chance.
func (c *Controller) Admit(rank int, u float64) bool {
	list := *c.ranks.Load()
	if rank >= len(list)-1 {
		return true
	}
	list[rank].came.Add(1)
	bits := c.pressure.Load()
	return bits == 0 || u >= math.Float64frombits(bits)-float64(rank)
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
	if gc := above(c.sample.GC, gcFrom); gc > 0 {
		least = max(least, Target+time.Duration(gc*float64(delayMost-Target)))
	}
	d := max(min(least, c.previous, delayMost), 0)
	c.previous = least
	s := c.share + beta*(max(d, Target)-max(c.counted, Target)).Seconds()
	c.counted = d
	idle := 0.0
	if busy := c.sample.Busy; least <= Target && busy > 0 {
		idle = max(busyFull-busy, 0) / busyFull
	}
	switch {
	case d > Target:
		c.calm = 0
		s += alpha * (d - Target).Seconds()
	case least > Target:
	default:
		if c.calm++; c.calm > calmIntervals {
			part := fallPart
			if least < Target/4 {
				part = roomPart
			}
			part = max(part, idlePart*s*idle)
			s -= part * min(float64(now-c.began)/float64(Interval), 50)
		}
	}
	if s = min(s, 1); s < leastShare {
		s = 0
	}
	list := *c.ranks.Load()
	mix(list)
	most := float64(len(list) - 1)
	p := cut(list, s)
	// What resources alone ask for.
	if floor := most * max(above(c.sample.Heap, heapFrom), above(c.sample.Files, filesFrom)); floor > p {
		p, s = floor, below(list, floor)
	}
	c.share = s
	c.idle += roomPartOf * (idle - c.idle)
	c.room.Store(math.Float64bits(c.idle))
	c.shed.Store(math.Float64bits(s))
	c.pressure.Store(math.Float64bits(p))
	c.began, c.seen = now, false
}

// mix takes in what came of each rank since the last time.
func mix(list []rank) {
	total := 0.0
	for i := range list[:len(list)-1] {
		total += float64(list[i].came.Load() - list[i].last)
	}
	if total == 0 {
		return
	}
	for i := range list[:len(list)-1] {
		r := &list[i]
		came := r.came.Load()
		r.part += mixPart * (float64(came-r.last)/total - r.part)
		r.last = came
	}
}

// parts gives, rank by rank, what it has of the mix, until yield has enough.
func parts(list []rank, yield func(r int, part float64) bool) {
	n, sum := float64(len(list)-1), 0.0
	for i := range list[:len(list)-1] {
		sum += list[i].part
	}
	for i := range list[:len(list)-1] {
		even := 1 / n
		if sum > 0 {
			even = evenPart/n + (1-evenPart)*list[i].part/sum
		}
		if !yield(i, even) {
			return
		}
	}
}

// cut is the pressure that sheds a share of the mix.
func cut(list []rank, share float64) (p float64) {
	if share >= 1 {
		return float64(len(list) - 1)
	}
	parts(list, func(r int, part float64) bool {
		if share < part {
			p += max(share, 0) / part
			return false
		}
		p, share = p+1, share-part
		return true
	})
	return min(p, float64(len(list)-1))
}

// below is the share of the mix that a pressure sheds.
func below(list []rank, p float64) (share float64) {
	parts(list, func(r int, part float64) bool {
		share += part * min(max(p-float64(r), 0), 1)
		return true
	})
	return min(share, 1)
}

// above is how far x is on the way from a bound to 1.
func above(x, from float64) float64 { return min(max((x-from)/(1-from), 0), 1) }

// Level is how far the pressure goes, from 0 to levels: what Advice grows with.
func (c *Controller) Level() float64 { return levels * c.Shed() }

// levels is how often the advice doubles from where nothing is shed to where all is.
const levels = 4

// Advice is when a client that was turned away may come back: a base that doubles with each
// level, up to most, spread over half to one and a half of it by who the client is.
// So a client hears the same each time, and clients that were turned away together come back
// spread over as long as they were told to wait.
func Advice(level float64, base, most time.Duration, client uint64) time.Duration {
	d := float64(base) * math.Exp2(min(level, 16))
	d = min(d, float64(most)/1.5)
	return time.Duration(d * (0.5 + float64(spread(client)>>11)/(1<<53)))
}

// spread spreads the bits of z (splitmix64's finalizer).
func spread(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
