package route

import (
	"math"
	"testing"
	"time"
)

// A budget allows a share of the first attempts, plus a floor.
func TestBudgetAllowsShareOfAttemptsAndFloor(t *testing.T) {
	b := NewBudget(0.2, 1)
	now := Time(time.Hour)
	retries, attempts := 0, 0
	for range 60_000 { // a minute of 1,000 first attempts a second, each of which fails
		now += time.Millisecond
		b.FirstAttempt(now)
		attempts++
		if b.Retry(now) {
			retries++
		}
	}
	if want := 0.2*float64(attempts) + 60; math.Abs(float64(retries)-want) > 40 {
		t.Errorf("%d retries of %d attempts, want %.0f within 40", retries, attempts, want)
	}
	now += time.Hour
	burst := 0
	for b.Retry(now) {
		burst++
	}
	if burst > 20 {
		t.Errorf("%d retries at once after an hour without attempts, want at most 20", burst)
	}
	none := NewBudget(0, 0)
	none.FirstAttempt(now)
	if none.Retry(now) {
		t.Error("a budget of 0 allows a retry, want none")
	}
}

// The accumulated retries are bounded however many first attempts there are, and a call with an earlier time neither
// adds nor removes any.
func TestBudgetIsBoundedAndIgnoresEarlierTimes(t *testing.T) {
	b := NewBudget(0.5, 0)
	now := Time(time.Hour)
	for range 100_000 {
		b.FirstAttempt(now)
	}
	n := 0
	for b.Retry(now) {
		n++
	}
	if n != 0.5*maxSavedAttempts {
		t.Errorf("%d retries accumulated, want %v", n, 0.5*maxSavedAttempts)
	}
	f := NewBudget(0, 1)
	f.Retry(now)
	f.Retry(now - time.Minute)
	if f.Retry(now) {
		t.Error("a call with an earlier time has added a retry, want none")
	}
	if f.filledAt != now {
		t.Errorf("filledAt went back by %v, want it unchanged", now-f.filledAt)
	}
	if !f.Retry(now + time.Second) {
		t.Error("no retry a second later, want one")
	}
}
