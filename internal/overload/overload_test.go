package overload

import (
	"math"
	"testing"
	"time"
)

// feedDelays reports perSecond events a second for a span, each of which waited delay(i), and returns
// the highest pressure and the last.
func feedDelays(c *Controller, now *Time, span time.Duration, perSecond int, delay func(i int) time.Duration) (highest, last float64) {
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

// constantDelay returns a delay function that always returns d.
func constantDelay(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

// Nothing is shed while the minimum delay is short, and all but the highest rank when it stays long. The pressure
// falls more slowly than it rises, and settles under a constant load.
func TestPressureFollowsLoad(t *testing.T) {
	c, now := New(6), Time(time.Hour)
	if high, _ := feedDelays(c, &now, 20*time.Second, 200, constantDelay(Target)); high != 0 {
		t.Errorf("pressure %v at the target delay, want 0", high)
	}
	if _, last := feedDelays(c, &now, 3*time.Second, 200, constantDelay(8*Target)); last != 5 {
		t.Errorf("pressure %v after 3 s of eight times the target delay, want 5", last)
	}
	for _, u := range []float64{0, 0.5, 0.999} {
		for r := range 5 {
			if c.Admit(r, u) {
				t.Errorf("rank %d admitted at full pressure, want it shed", r)
			}
		}
		if !c.Admit(5, u) {
			t.Error("the highest rank is shed, want it admitted")
		}
	}
	_, half := feedDelays(c, &now, 3*time.Second, 200, constantDelay(0))
	if half >= 5 || half <= 0 {
		t.Errorf("pressure %v after 3 s without load, want it between 0 and 5", half)
	}
	if _, last := feedDelays(c, &now, 30*time.Second, 200, constantDelay(0)); last != 0 {
		t.Errorf("pressure %v after 33 s without load, want 0", last)
	}
	// A constant load just above the capacity.
	now = now + time.Minute
	c = New(6)
	low, high := math.Inf(1), 0.0
	for round := range 400 {
		// The delay depends on what is admitted: it is the target at a pressure of 2.
		d := time.Duration(float64(Target) * (3 - c.Pressure()))
		feedDelays(c, &now, Interval, 200, constantDelay(max(d, 0)))
		if round > 100 {
			low = min(low, c.Pressure())
			high = max(high, c.Pressure())
		}
	}
	if low < 1 || high > 3 {
		t.Errorf("pressure between %v and %v under a constant load, want 1 to 3", low, high)
	}
}

// With half of the cores idle the pressure falls from 5 to at most 0.7 within 2 s, and with all cores in use it falls
// slowly. The test guards against rejecting requests for seconds that could be served.
func TestPressureFallsFasterWithIdleCores(t *testing.T) {
	pressureAfter := func(busy float64) float64 {
		c, now := New(6), Time(time.Hour)
		feedDelays(c, &now, 3*time.Second, 200, constantDelay(8*Target))
		for range 20 {
			now += Interval
			c.Delay(now, Target/2)
			c.Sample(now, Sample{Busy: busy})
		}
		return c.Pressure()
	}
	full, none, half, idle := pressureAfter(0.95), pressureAfter(0), pressureAfter(0.45), pressureAfter(0.05)
	if full != none || full < 3.5 || half > 0.7 || idle >= half {
		t.Errorf("pressure after 2 s: with full cores %v, unknown use %v, half idle %v, idle %v; want the first two equal and 3.5 or more, the third at most 0.7, the last lowest",
			full, none, half, idle)
	}
}

// Requests that come before their Retry-After may be admitted while cores are idle and nothing waits, and must not be
// while the cores are in use. The test guards against a limit that outlasts its reason.
func TestIdleShareFollowsUseOfCores(t *testing.T) {
	c, now := New(6), Time(time.Hour)
	if c.IdleShare() != 1 {
		t.Errorf("idle share %v while nothing is shed, want 1", c.IdleShare())
	}
	idleShareAfter := func(n int, s Sample) float64 {
		for range n {
			now += Interval
			c.Sample(now, s)
		}
		return c.IdleShare()
	}
	if r := idleShareAfter(20, Sample{Poll: 20 * Target, Busy: 1}); r != 0 {
		t.Errorf("idle share %v while requests wait for the cores, want 0", r)
	}
	if r := idleShareAfter(20, Sample{Poll: 20 * Target, Busy: 0.1}); r != 0 {
		t.Errorf("idle share %v while requests wait for something else than the cores, want 0", r)
	}
	if r := idleShareAfter(2, Sample{Busy: 0.1}); r < 0.2 || r > 0.5 {
		t.Errorf("idle share %v after two idle intervals, want 0.2 to 0.5", r)
	}
}

// A few requests that cost a hundred times as much as usual delay the requests behind them. As the minimum delay of
// an interval counts, they neither hide a rising load nor raise the pressure by themselves.
func TestPressureIgnoresFewCostlyRequests(t *testing.T) {
	c, now := New(6), Time(time.Hour)
	costly := func(d time.Duration) func(int) time.Duration {
		return func(i int) time.Duration {
			if i%20 < 5 { // five in a row in each tenth of a second
				return 80 * time.Millisecond
			}
			return d
		}
	}
	if high, _ := feedDelays(c, &now, 10*time.Second, 200, costly(time.Millisecond)); high != 0 {
		t.Errorf("pressure %v with costly requests alone, want 0", high)
	}
	if _, last := feedDelays(c, &now, 10*time.Second, 200, costly(4*Target)); last != 5 {
		t.Errorf("pressure %v under a load beside costly requests, want 5", last)
	}
}

// A process that was paused for 300 ms has queued events when it continues, and sheds nothing because of them.
func TestPressureIgnoresPauseOfProcess(t *testing.T) {
	c, now := New(6), Time(time.Hour)
	feedDelays(c, &now, 5*time.Second, 200, constantDelay(0))
	now += 300 * time.Millisecond
	for i := range 60 { // the waiting events, oldest first
		c.Delay(now, 300*time.Millisecond-time.Duration(i)*5*time.Millisecond)
		now += 50 * time.Microsecond
	}
	if high, _ := feedDelays(c, &now, 5*time.Second, 200, constantDelay(0)); high != 0 {
		t.Errorf("pressure %v after a pause of 300 ms, want 0", high)
	}
	// A backlog of events that have all waited equally long, which takes a whole interval to handle.
	now += time.Second
	for range 100 {
		c.Delay(now, time.Second)
		now += time.Millisecond
	}
	if high, _ := feedDelays(c, &now, 5*time.Second, 200, constantDelay(0)); high != 0 {
		t.Errorf("pressure %v after a pause of a second, want 0", high)
	}
	// A clock that is set back does not count as a delay.
	c.Delay(now-time.Hour, -time.Hour)
	if high, _ := feedDelays(c, &now, time.Second, 200, constantDelay(0)); high != 0 {
		t.Errorf("pressure %v after the clock went back, want 0", high)
	}
}

// The pressure rises as memory, descriptors or CPU time run out, the last by the use of the garbage collector, and
// falls when they are free again.
func TestPressureRisesAsResourcesRunOut(t *testing.T) {
	c, now := New(11), Time(time.Hour)
	pressureWith := func(s Sample) float64 {
		now += Interval
		c.Sample(now, s)
		return c.Pressure()
	}
	if p := pressureWith(Sample{Heap: heapThreshold, Descriptors: 0.9}); p != 0 {
		t.Errorf("pressure %v below the thresholds, want 0", p)
	}
	if p := pressureWith(Sample{Heap: 0.925}); math.Abs(p-5) > 1e-9 {
		t.Errorf("pressure %v half way from the threshold to the memory limit, want 5", p)
	}
	if p := pressureWith(Sample{Heap: 2}); p != 10 {
		t.Errorf("pressure %v with no memory left, want 10", p)
	}
	if p := pressureWith(Sample{Descriptors: 1}); p != 10 {
		t.Errorf("pressure %v with no descriptor left, want 10", p)
	}
	last := 10.0
	for range 600 {
		p := pressureWith(Sample{})
		if p > last {
			t.Fatalf("pressure rises from %v to %v with free resources, want it to fall", last, p)
		}
		last = p
	}
	if last != 0 {
		t.Errorf("pressure %v a minute later, want 0", last)
	}
	pressureWith(Sample{GC: 0.9})
	if p := pressureWith(Sample{GC: 0.9}); p == 0 {
		t.Errorf("pressure %v while the garbage collector uses 0.9 of the CPU time, want above 0", p)
	}
}

// After a reload with fewer ranks the highest rank is still never shed.
func TestHighestRankIsNeverShedAfterSetRanks(t *testing.T) {
	c, now := New(10), Time(time.Hour)
	feedDelays(c, &now, 10*time.Second, 200, constantDelay(10*Target))
	c.SetRanks(3)
	if !c.Admit(2, 0) || c.Admit(1, 0.999) {
		t.Errorf("rank 2 admitted %v, rank 1 admitted %v at a pressure of %v, want true and false",
			c.Admit(2, 0), c.Admit(1, 0.999), c.Pressure())
	}
	one := New(0)
	feedDelays(one, &now, time.Second, 200, constantDelay(10*Target))
	if !one.Admit(0, 0) {
		t.Error("the only rank is shed, want it admitted")
	}
}

func BenchmarkAdmit(b *testing.B) {
	c, now := New(6), Time(time.Hour)
	feedDelays(c, &now, time.Second, 200, constantDelay(2*Target))
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
