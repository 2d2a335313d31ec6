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
	loadCount   = 400_000 // a load that is not stopped ends after about two hours
	loadTimeout = 10 * time.Second
	loadRetries = 2
)

// StartLoad sends client requests to a gateway until stop is called. stop returns the counts of all requests to the fleet,
// and an error if a rule of fakes.Count.Violations was violated, no request was served, or the load itself failed.
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

// checkLoad returns an error if a rule of fakes.Count.Violations was violated, no request was served, or the load itself
// failed.
func checkLoad(count *fakes.Count, loadErr error) error {
	if violations := count.Violations(); violations != "" {
		return fmt.Errorf("%d requests, outcomes %v: %s", count.Requests, count.Outcomes, violations)
	}
	if count.Outcomes[fakes.Served] == 0 {
		return fmt.Errorf("%d requests, outcomes %v: none was served", count.Requests, count.Outcomes)
	}
	if loadErr != nil && !errors.Is(loadErr, context.Canceled) {
		return loadErr
	}
	return nil
}

// StaleLeaseRequests returns the number of requests under a stale token that earlier lease holders sent to hosts and to
// gateways, and the number of those that hosts accepted.
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
