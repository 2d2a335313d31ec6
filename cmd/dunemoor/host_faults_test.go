package main

import (
	"context"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// While the program serves a mixed load, hosts crash, reset connections, reject requests, drain and warm up. No request
// that must not run twice runs twice, none is lost, and nearly all are served.
func TestHostFaultsLoseNoRequests(t *testing.T) {
	healthy := fakes.Behaviour{Work: 3 * time.Millisecond, Cores: 4, Warmup: time.Second, WarmupStartShare: 0.4}
	fleet, err := fakes.StartFleet(6, 11, healthy)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	classes := classesWithLongTimeouts()
	listen := freeAddress(t)
	p := start(t, string(fleet.PlatformConfig("n0", listen, classes)), listen)
	p.waitReady(t)
	load := fakes.Load{URL: p.url, Rate: 150, Count: 900, Classes: classes, Seed: 5, Retries: 2}
	var wait sync.WaitGroup
	wait.Go(func() {
		if err := load.Run(context.Background(), fleet.Ledger); err != nil {
			t.Error(err)
		}
	})
	causeHostFaults(t, fleet, healthy)
	wait.Wait()
	c := fleet.Ledger.Count()
	if violations := c.Violations(); violations != "" {
		t.Errorf("got violations %s, want none: ran twice %v, rejected after execution %v, unrequested %v", violations, c.RanTwice, c.RejectedAfterExecution, c.Unrequested)
	}
	if c.Outcomes[fakes.Served]*100 < 85*c.Requests {
		t.Errorf("got outcomes %v of %d requests, want nearly all served", c.Outcomes, c.Requests)
	}
	t.Logf("outcomes of %d requests: %v", c.Requests, c.Outcomes)
}

// causeHostFaults injects faults of hosts and removes them again, one after the other.
func causeHostFaults(t *testing.T, fleet *fakes.Fleet, healthy fakes.Behaviour) {
	t.Helper()
	afterServed := func(n int) { // the times of the faults depend on the number of requests served, not on the clock
		t.Helper()
		waitUntil(t, "requests are served", func() bool { return fleet.Ledger.Count().Outcomes[fakes.Served] >= n })
	}
	faulty := func(mode fakes.Mode, responseBytes int, share float64) fakes.Behaviour {
		b := healthy
		b.Mode = mode
		b.ResponseBytes = responseBytes
		b.Share = share
		return b
	}
	restart := func(i int) {
		t.Helper()
		if err := fleet.Nodes[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	afterServed(50)
	fleet.Nodes[0].Crash()
	fleet.Nodes[1].Behave(faulty(fakes.ResetAt, 20, 0.5))
	afterServed(150)
	fleet.Nodes[2].Behave(faulty(fakes.Full, 0, 0))
	fleet.SetState(3, fakes.StateDraining)
	afterServed(250)
	restart(0)
	fleet.SetState(0, fakes.StateReady)
	fleet.Nodes[1].Behave(faulty(fakes.CloseAt, 0, 0.3))
	afterServed(400)
	fleet.Nodes[2].Behave(healthy)
	fleet.SetState(3, fakes.StateReady)
	fleet.Nodes[4].Crash()
	afterServed(550)
	fleet.Nodes[1].Behave(healthy)
	restart(4)
}
