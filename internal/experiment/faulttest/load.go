package faulttest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"dunemoor/internal/experiment/fakes"
)

const (
	loadRate  = 50      // requests a second
	loadCount = 400_000 // the load stops by itself after two hours and more
	loadTime  = 10 * time.Second
)

// Load has clients ask at a gateway until stop is called, which says what was asked and which
// rules were broken.
func (f *Fleet) Load(g *Gateway) (stop func() (fakes.Count, error)) {
	ctx, cancel := context.WithCancel(context.Background())
	classes := fakes.DefaultClasses()
	for i := range classes {
		classes[i].Timeout = loadTime
	}
	l := fakes.Load{URL: g.URL(), Rate: loadRate, Count: loadCount, Classes: classes, Seed: f.Seed, Retries: 2}
	var wait sync.WaitGroup
	var failed error
	wait.Go(func() { failed = l.Run(ctx, f.Hosts.Ledger) })
	return func() (fakes.Count, error) {
		cancel()
		wait.Wait()
		c := f.Hosts.Ledger.Count()
		switch broken := c.Violations(); {
		case broken != "":
			return c, fmt.Errorf("of %d requests %v: %s", c.Requests, c.Outcomes, broken)
		case c.Outcomes[fakes.Served] == 0:
			return c, fmt.Errorf("of %d requests %v: none was served", c.Requests, c.Outcomes)
		case failed != nil && !errors.Is(failed, context.Canceled):
			return c, failed
		}
		return c, nil
	}
}

// Acts is what owners of before have tried and what was taken of it, by gateways and hosts.
func (f *Fleet) Acts() (tried, taken uint64) {
	for _, duty := range []string{"check/calendar"} {
		r := f.Hosts.Ledger.LeaseRequests(duty)
		tried, taken = tried+r.Stale, taken+r.StaleAccepted
	}
	for _, e := range f.History.Events() {
		if e.Kind == Fenced {
			tried++
		}
	}
	return tried, taken
}
