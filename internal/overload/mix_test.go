package overload

import (
	"math"
	"testing"
	"time"
)

// The shed share applies to the requests that arrive, whatever ranks they have. The test guards against a pressure
// that rises slowly through ranks without requests, and then sheds far too much.
func TestShedShareAppliesToRanksThatArrive(t *testing.T) {
	c, now := New(6), Time(time.Hour)
	arrive := func(rank, n int) (admitted int) {
		for i := range n {
			if c.Admit(rank, (float64(i)+0.5)/float64(n)) {
				admitted++
			}
		}
		return admitted
	}
	for range 50 { // only requests of rank 3 and of the highest rank arrive
		arrive(3, 200)
		arrive(5, 100)
		now += Interval
		c.Sample(now, Sample{})
	}
	for round := range 100 {
		now += Interval
		c.Sample(now, Sample{Poll: 4 * Target})
		got := arrive(3, 1000)
		if want := 1000 * (1 - c.Shed()); math.Abs(float64(got)-want) > 30 {
			t.Fatalf("round %d: %d of 1000 admitted, want %.0f within 30", round, got, want)
		}
		if arrive(5, 100) != 100 {
			t.Fatalf("round %d: requests of the highest rank are shed, want none", round)
		}
		if round == 1 && got > 950 {
			t.Errorf("after two late intervals: %d of 1000 shed, want 50 or more", 1000-got)
		}
	}
	if c.Shed() != 1 || c.Pressure() != 5 {
		t.Errorf("after 10 s: shed share %v, pressure %v, want 1 and 5", c.Shed(), c.Pressure())
	}
	// The mix changes: only rank 0 arrives, and is admitted again as the share falls.
	for c.Shed() > 0.5 {
		arrive(0, 200)
		now += Interval
		c.Sample(now, Sample{})
	}
	if got := arrive(0, 1000); math.Abs(float64(got)-500) > 60 || c.Pressure() >= 1 {
		t.Errorf("after a change of ranks: %d of 1000 admitted at a pressure of %v, want 500 within 60 below 1",
			got, c.Pressure())
	}
	c.SetRanks(2) // the mix is measured anew
	now += Interval
	c.Sample(now, Sample{})
	if p := c.Pressure(); p >= 1 || p <= 0 {
		t.Errorf("with two ranks: pressure %v, want it between 0 and 1", p)
	}
}

// Rejected clients return only after some time. The test guards against a shed share that oscillates between
// everything and nothing: it must settle where as many clients return as are shed.
func TestShedShareSettlesWhileClientsReturn(t *testing.T) {
	const clients, capacity, away = 3000, 1000, 10 // capacity in requests per interval, away in intervals
	c, now := New(2), Time(time.Hour)
	var back [away + 1]float64
	waiting, served, rounds := float64(clients), 0.0, 300
	low, high := 1.0, 0.0
	for round := range rounds {
		for range 100 {
			c.Admit(0, 0.5)
		}
		// A served client sends its next request at once, so the cores are in use while any is left.
		waiting += back[round%len(back)]
		rejected, busy := min(capacity*c.Shed(), waiting), min(waiting/50, 1)
		waiting -= rejected
		back[round%len(back)] = 0
		back[(round+away)%len(back)] = rejected
		now += Interval
		// Queued requests wait and are not read while others are served.
		c.Sample(now, Sample{Poll: time.Duration(waiting / capacity * float64(Interval)), Busy: busy})
		if round >= 100 {
			served += busy*capacity - rejected
			low = min(low, c.Shed())
			high = max(high, c.Shed())
		}
	}
	servedShare := served / float64(rounds-100) / capacity
	t.Logf("%.2f of the capacity used, shed %.2f to %.2f", servedShare, low, high)
	if servedShare < 0.6 || high > 0.7 {
		t.Errorf("%.2f of the capacity used, shed %.2f to %.2f, want 0.6 or more used and at most 0.7 shed",
			servedShare, low, high)
	}
}
