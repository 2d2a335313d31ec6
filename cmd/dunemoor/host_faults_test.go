package main

import (
	"context"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// Under a mixed load through the program, hosts crash, reset connections, reject requests, drain and warm up: no
// request that must not run twice does, none is lost, and nearly all are served.
func TestHostFaultsLoseNothing(t *testing.T) {
	healthy := fakes.Behaviour{Work: 3 * time.Millisecond, Cores: 4, Warmup: time.Second, WarmupStartShare: 0.4}
	fleet, err := fakes.StartFleet(6, 11, healthy)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	classes := fakes.DefaultClasses()
	for i := range classes {
		classes[i].Timeout = 20 * time.Second // long, as machines may be busy
	}
	listen := freeAddress(t)
	p := start(t, string(fleet.PlatformConfig("n0", listen, classes)), listen)
	p.waitReady(t)
	served := func() int { c := fleet.Ledger.Count(); return c.Outcomes[fakes.Served] }
	load := fakes.Load{URL: p.url, Rate: 150, Count: 900, Classes: classes, Seed: 5, Retries: 2}
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		if err := load.Run(context.Background(), fleet.Ledger); err != nil {
			t.Error(err)
		}
	}()
	after := func(n int) { // faults follow the number of requests served, not the clock
		t.Helper()
		waitUntil(t, "requests are served", func() bool { return served() >= n })
	}
	with := func(m fakes.Mode, bytes int, share float64) fakes.Behaviour {
		b := healthy
		b.Mode, b.ResponseBytes, b.Share = m, bytes, share
		return b
	}
	after(50)
	fleet.Nodes[0].Crash()
	fleet.Nodes[1].Behave(with(fakes.ResetAt, 20, 0.5))
	after(150)
	fleet.Nodes[2].Behave(with(fakes.Full, 0, 0))
	fleet.SetState(3, fakes.StateDraining)
	after(250)
	if err := fleet.Nodes[0].Start(); err != nil {
		t.Fatal(err)
	}
	fleet.SetState(0, fakes.StateReady)
	fleet.Nodes[1].Behave(with(fakes.CloseAt, 0, 0.3))
	after(400)
	fleet.Nodes[2].Behave(healthy)
	fleet.SetState(3, fakes.StateReady)
	fleet.Nodes[4].Crash()
	after(550)
	fleet.Nodes[1].Behave(healthy)
	if err := fleet.Nodes[4].Start(); err != nil {
		t.Fatal(err)
	}
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
