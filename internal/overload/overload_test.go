package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// run feeds events for a span, of which each waits what delay says, and gives the highest
// pressure met and the last.
func run(c *Controller, now *Time, span time.Duration, perSecond int, delay func(i int) time.Duration) (highest, last float64) {
	every := time.Second / time.Duration(perSecond)
	next := *now + Interval
	for i := range int(span / every) {
		*now += every
		c.Delay(*now, delay(i))
		if *now >= next {
			c.Sample(*now, Sample{})
			next = *now + Interval
		}
		highest = max(highest, c.Pressure())
	}
	return highest, c.Pressure()
}

func constant(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

func TestRanks(t *testing.T) {
	first, repeat, n := Ranks([]Rank{
		{Weight: 1, LatencyObjective: 2 * time.Second}, {Weight: 5, LatencyObjective: time.Second}, {Weight: 2, LatencyObjective: 2 * time.Second}, {Weight: 1, LatencyObjective: time.Second}, {Weight: 1, LatencyObjective: 2 * time.Second},
	})
	// Repeats of 1, 2 and 5 are worth 0.25, 0.5 and 1.25.
	for i, want := range []int{3, 7, 6, 4, 3} {
		if first[i] != want {
			t.Errorf("class %d: rank %d, want %d", i, first[i], want)
		}
	}
	for i, want := range []int{0, 5, 2, 1, 0} {
		if repeat[i] != want {
			t.Errorf("repeats of class %d: rank %d, want %d", i, repeat[i], want)
		}
	}
	if n != 8 {
		t.Errorf("%d ranks", n)
	}
}

// The level follows the load: nothing is shed while the least delay is short, all but the last
// rank when it stays long, and it comes down again, slower than it rose, without swinging.
func TestPressureFollowsTheLoad(t *testing.T) {
	c, now := New(6), Time(time.Hour)
	if high, _ := run(c, &now, 20*time.Second, 200, constant(Target)); high != 0 {
		t.Errorf("pressure %v at the target", high)
	}
	if _, last := run(c, &now, 3*time.Second, 200, constant(8*Target)); last != 5 {
		t.Errorf("pressure %v after 3 s of eight times the target", last)
	}
	for _, u := range []float64{0, 0.5, 0.999} {
		for r := range 5 {
			if c.Admit(r, u) {
				t.Errorf("rank %d is let in", r)
			}
		}
		if !c.Admit(5, u) {
			t.Error("the last rank is shed")
		}
	}
	_, half := run(c, &now, 3*time.Second, 200, constant(0))
	if half >= 5 || half <= 0 {
		t.Errorf("pressure %v after 3 s of calm", half)
	}
	if _, last := run(c, &now, 30*time.Second, 200, constant(0)); last != 0 {
		t.Errorf("pressure %v after 40 s of calm", last)
	}
	// A load that stands just above what is borne: it settles, and does not swing.
	now = now + time.Minute
	c = New(6)
	low, high := math.Inf(1), 0.0
	for round := range 400 {
		// What is let in makes the delay: at a pressure of 2 it is just the target.
		d := time.Duration(float64(Target) * (3 - c.Pressure()))
		run(c, &now, Interval, 200, constant(max(d, 0)))
		if round > 100 {
			low, high = min(low, c.Pressure()), max(high, c.Pressure())
		}
	}
	if low < 1 || high > 3 {
		t.Errorf("it swings from %v to %v", low, high)
	}
}

// What nobody asks for is passed over: a share is shed of what comes, whichever ranks that is. It
// guards against seconds in which the pressure climbs through ranks that have no requests, and
// then sheds far too much as it has nothing to hold it.
func TestShareIsOfWhatComes(t *testing.T) {
	c, now := New(6), Time(time.Hour)
	come := func(rank, n int) (admitted int) {
		for i := range n {
			if c.Admit(rank, (float64(i)+0.5)/float64(n)) {
				admitted++
			}
		}
		return admitted
	}
	for range 50 { // all of it is of rank 3, and of the last
		come(3, 200)
		come(5, 100)
		now += Interval
		c.Sample(now, Sample{})
	}
	for round := range 100 {
		now += Interval
		c.Sample(now, Sample{Poll: 4 * Target})
		got := come(3, 1000)
		if want := 1000 * (1 - c.Shed()); math.Abs(float64(got)-want) > 30 {
			t.Fatalf("round %d: of 1000 %d are let in, want %.0f", round, got, want)
		}
		if come(5, 100) != 100 {
			t.Fatal("the last rank is shed")
		}
		if round == 1 && got > 950 {
			t.Errorf("two late intervals shed %d of 1000", 1000-got)
		}
	}
	if c.Shed() != 1 || c.Pressure() != 5 {
		t.Errorf("after 10 s: share %v, pressure %v", c.Shed(), c.Pressure())
	}
	// The mix turns: rank 0 alone comes, and is let in again as the share falls.
	for c.Shed() > 0.5 {
		come(0, 200)
		now += Interval
		c.Sample(now, Sample{})
	}
	if got := come(0, 1000); math.Abs(float64(got)-500) > 60 || c.Pressure() >= 1 {
		t.Errorf("of 1000 of another rank %d are let in, at a pressure of %v", got, c.Pressure())
	}
	c.SetRanks(2) // what is known of the mix is forgotten
	now += Interval
	c.Sample(now, Sample{})
	if p := c.Pressure(); p >= 1 || p <= 0 {
		t.Errorf("two ranks: pressure %v", p)
	}
}

// A plant that answers like clients who stay away for a while when they are refused: the share
// settles where as many come back as are shed, and does not swing between all and nothing.
func TestShareSettles(t *testing.T) {
	const clients, capacity, away = 3000, 1000, 10 // served in an interval; intervals
	c, now := New(2), Time(time.Hour)
	var back [away + 1]float64
	waiting, served, rounds := float64(clients), 0.0, 300
	low, high := 1.0, 0.0
	for round := range rounds {
		for range 100 {
			c.Admit(0, 0.5)
		}
		// Who is served asks again at once: where anyone is left the cores are in use.
		waiting += back[round%len(back)]
		refused, busy := min(capacity*c.Shed(), waiting), min(waiting/50, 1)
		waiting -= refused
		back[round%len(back)] = 0
		back[(round+away)%len(back)] = refused
		now += Interval
		// What is in line waits, and is not read while others are.
		c.Sample(now, Sample{Poll: time.Duration(waiting / capacity * float64(Interval)), Busy: busy})
		if round >= 100 {
			served += busy*capacity - refused
			low, high = min(low, c.Shed()), max(high, c.Shed())
		}
	}
	part := served / float64(rounds-100) / capacity
	t.Logf("%.2f of what can be is served, shed %.2f to %.2f", part, low, high)
	if part < 0.6 || high > 0.7 {
		t.Errorf("%.2f of what can be is served, shed %.2f to %.2f", part, low, high)
	}
}

// Where the cores stand still and nothing waits there is room for those who come back early, and
// none while all is in use: it guards against a bound on them that outlives its reason.
func TestRoom(t *testing.T) {
	c, now := New(6), Time(time.Hour)
	if c.IdleShare() != 1 {
		t.Error("nothing is shed, and there is no room")
	}
	step := func(n int, s Sample) float64 {
		for range n {
			now += Interval
			c.Sample(now, s)
		}
		return c.IdleShare()
	}
	if r := step(20, Sample{Poll: 20 * Target, Busy: 1}); r != 0 {
		t.Errorf("room %v while all wait", r)
	}
	if r := step(20, Sample{Poll: 20 * Target, Busy: 0.1}); r != 0 {
		t.Errorf("room %v while all wait for something else than the cores", r)
	}
	if r := step(2, Sample{Busy: 0.1}); r < 0.2 || r > 0.5 {
		t.Errorf("room %v after two idle intervals", r)
	}
}

// Where the cores stand half still the pressure falls to a tenth within 2 s, and where they are
// used up as slowly as ever: it guards against refusing for seconds what could be served.
func TestPressureFallsWhereThereIsRoom(t *testing.T) {
	after := func(busy float64) float64 {
		c, now := New(6), Time(time.Hour)
		run(c, &now, 3*time.Second, 200, constant(8*Target))
		for range 20 {
			now += Interval
			c.Delay(now, Target/2)
			c.Sample(now, Sample{Busy: busy})
		}
		return c.Pressure()
	}
	full, none, half, idle := after(0.95), after(0), after(0.45), after(0.05)
	if full != none || full < 3.5 || half > 0.7 || idle >= half {
		t.Errorf("after 2 s: cores full %v, unknown %v, half %v, idle %v", full, none, half, idle)
	}
}

// A few requests of a hundred times the usual cost hold up what is behind them, and neither hide
// a load that rises nor trip the level by themselves: the least delay of an interval counts.
func TestCostlyRequests(t *testing.T) {
	c, now := New(6), Time(time.Hour)
	costly := func(d time.Duration) func(int) time.Duration {
		return func(i int) time.Duration {
			if i%20 < 5 { // five in a row in each tenth of a second
				return 80 * time.Millisecond
			}
			return d
		}
	}
	if high, _ := run(c, &now, 10*time.Second, 200, costly(time.Millisecond)); high != 0 {
		t.Errorf("pressure %v for costly requests alone", high)
	}
	if _, last := run(c, &now, 10*time.Second, 200, costly(4*Target)); last != 5 {
		t.Errorf("pressure %v under a load that costly requests could hide", last)
	}
}

// A process that was stopped for 300 ms finds its events waiting: nothing is shed for it.
func TestPause(t *testing.T) {
	c, now := New(6), Time(time.Hour)
	run(c, &now, 5*time.Second, 200, constant(0))
	now += 300 * time.Millisecond
	for i := range 60 { // what waited, oldest first
		c.Delay(now, 300*time.Millisecond-time.Duration(i)*5*time.Millisecond)
		now += 50 * time.Microsecond
	}
	if high, _ := run(c, &now, 5*time.Second, 200, constant(0)); high != 0 {
		t.Errorf("pressure %v after a pause", high)
	}
	// Also where the backlog is of just one age, and takes a whole interval.
	now += time.Second
	for range 100 {
		c.Delay(now, time.Second)
		now += time.Millisecond
	}
	if high, _ := run(c, &now, 5*time.Second, 200, constant(0)); high != 0 {
		t.Errorf("pressure %v after a second's pause", high)
	}
	// A clock that jumps back is no delay.
	c.Delay(now-time.Hour, -time.Hour)
	if high, _ := run(c, &now, time.Second, 200, constant(0)); high != 0 {
		t.Errorf("pressure %v after a jump", high)
	}
}

// Memory and descriptors shed by themselves as they run out, and stop with it.
func TestResources(t *testing.T) {
	c, now := New(11), Time(time.Hour)
	set := func(s Sample) float64 {
		now += Interval
		c.Sample(now, s)
		return c.Pressure()
	}
	if p := set(Sample{Heap: heapThreshold, Files: 0.9}); p != 0 {
		t.Errorf("pressure %v below the bounds", p)
	}
	if p := set(Sample{Heap: 0.925}); math.Abs(p-5) > 1e-9 {
		t.Errorf("pressure %v half way to the end of memory", p)
	}
	if p := set(Sample{Heap: 2}); p != 10 {
		t.Errorf("pressure %v with no memory left", p)
	}
	if p := set(Sample{Files: 1}); p != 10 {
		t.Errorf("pressure %v with no descriptor left", p)
	}
	last := 10.0
	for range 600 {
		p := set(Sample{})
		if p > last {
			t.Fatal("it rises by itself")
		}
		last = p
	}
	if last != 0 {
		t.Errorf("pressure %v a minute later", last)
	}
	set(Sample{GC: 0.9})
	if p := set(Sample{GC: 0.9}); p == 0 {
		t.Error("a collector that takes nine tenths sheds nothing")
	}
}

// Fewer ranks after a reload: the last is still never shed.
func TestFewerRanks(t *testing.T) {
	c, now := New(10), Time(time.Hour)
	run(c, &now, 10*time.Second, 200, constant(10*Target))
	c.SetRanks(3)
	if !c.Admit(2, 0) || c.Admit(1, 0.999) {
		t.Errorf("pressure %v", c.Pressure())
	}
	one := New(0)
	run(one, &now, time.Second, 200, constant(10*Target))
	if !one.Admit(0, 0) {
		t.Error("with one rank nothing is shed")
	}
}

// Why refused clients do not return in step: of 10,000 turned away within 100 ms, each comes back
// when it was told to, is turned away again while more come than can be served, and is told to
// wait twice as long as the pressure rises by a rank. The most that comes in any 100 ms falls
// from all at once to near the mean; without the spread it does not.
func TestRefusedDoNotReturnInStep(t *testing.T) {
	const clients, capacity = 10_000, 100 // served in 100 ms
	peak := func(advice func(pressure float64, client uint64) time.Duration) (last int, all time.Duration) {
		rng := rand.New(rand.NewPCG(20261201, 1))
		due := map[int][]uint64{}
		for i := range clients {
			due[0] = append(due[0], uint64(i)+rng.Uint64N(1<<40)<<20)
		}
		pressure := 0.0
		for slot := 0; slot < 100_000; slot++ {
			come := due[slot]
			delete(due, slot)
			if len(come) > capacity {
				pressure = min(pressure+0.5, 5)
			} else {
				pressure = max(pressure-0.02, 0)
			}
			if slot >= 100 { // ten seconds on
				last = max(last, len(come))
			}
			for i, id := range come {
				if i >= capacity {
					at := slot + 1 + int(advice(pressure, id)/(100*time.Millisecond))
					due[at] = append(due[at], id)
				}
			}
			if len(due) == 0 {
				return last, time.Duration(slot) * 100 * time.Millisecond
			}
		}
		return last, time.Hour
	}
	spread, took := peak(func(p float64, id uint64) time.Duration { return RetryAfter(p, time.Second, 30*time.Second, id) })
	step, tookStep := peak(func(p float64, _ uint64) time.Duration { return 2 * time.Second })
	// Ordinary clients are told whole seconds, and come back as far into one as they came: so
	// their base is longer, and they are spread over several.
	whole, _ := peak(func(p float64, id uint64) time.Duration {
		return (RetryAfter(p, 4*time.Second, 30*time.Second, id) + time.Second - 1).Truncate(time.Second)
	})
	if whole > 20*capacity {
		t.Errorf("most in 100 ms: %d where whole seconds are told", whole)
	}
	t.Logf("most in 100 ms where whole seconds are told: %d", whole)
	t.Logf("most in 100 ms from 10 s on: %d spread, %d in step; all served after %v and %v", spread, step, took, tookStep)
	if spread > 4*capacity || step < 20*capacity {
		t.Errorf("most in 100 ms: %d with advice that is spread, %d without", spread, step)
	}
	if a, b := RetryAfter(2, time.Second, 30*time.Second, 7), RetryAfter(2, time.Second, 30*time.Second, 7); a != b {
		t.Errorf("one client is told %v and %v", a, b)
	}
	for p := range 20 {
		if d := RetryAfter(float64(p), time.Second, 30*time.Second, uint64(p)); d > 30*time.Second || d < 500*time.Millisecond {
			t.Errorf("advice of %v", d)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	c, now := New(6), Time(time.Hour)
	run(c, &now, time.Second, 200, constant(2*Target))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.Admit(i%6, 0.5)
	}
}

func BenchmarkDelay(b *testing.B) {
	c, now := New(6), Time(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		c.Delay(now, time.Millisecond)
	}
}
