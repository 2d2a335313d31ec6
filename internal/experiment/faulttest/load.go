package faulttest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dunemoor/internal/experiment/fakes"
)

const (
	loadRate    = 50      // requests per second
	loadCount   = 400_000 // so that a load without an end ends after some two hours
	loadTimeout = 10 * time.Second
	loadRetries = 2
)

// StartLoad has clients send requests to a gateway until stop is called. stop returns the counts of all requests to the
// fleet, and an error where a rule was violated or nothing was served.
func (f *Fleet) StartLoad(g *Gateway) (stop func() (fakes.Count, error)) {
	ctx, cancel := context.WithCancel(context.Background())
	classes := fakes.DefaultClasses()
	for i := range classes {
		classes[i].Timeout = loadTimeout
	}
	load := fakes.Load{URL: g.URL(), Rate: loadRate, Count: loadCount, Classes: classes, Seed: f.Seed, Retries: loadRetries}
	done := make(chan error, 1)
	go func() { done <- load.Run(ctx, f.Hosts.Ledger) }()
	return func() (fakes.Count, error) {
		cancel()
		loadErr := <-done
		count := f.Hosts.Ledger.Count()
		return count, checkLoad(&count, loadErr)
	}
}

// checkLoad returns an error where a load didn't go well.
func checkLoad(count *fakes.Count, loadErr error) error {
	if violations := count.Violations(); violations != "" {
		return fmt.Errorf("of %d requests %v: %s", count.Requests, count.Outcomes, violations)
	}
	if count.Outcomes[fakes.Served] == 0 {
		return fmt.Errorf("of %d requests %v: none was served", count.Requests, count.Outcomes)
	}
	if loadErr != nil && !errors.Is(loadErr, context.Canceled) {
		return loadErr
	}
	return nil
}

// StaleLeaseRequests returns how often earlier lease holders acted under a stale token, at hosts and at gateways, and how
// often hosts accepted that.
func (f *Fleet) StaleLeaseRequests() (sent, accepted uint64) {
	atHosts := f.Hosts.Ledger.LeaseRequests(healthCheckLease)
	sent = atHosts.Stale
	for _, e := range f.History.Events() {
		if e.Kind == StalePublicationRejected {
			sent++
		}
	}
	return sent, atHosts.StaleAccepted
}
