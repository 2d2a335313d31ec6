package faulttest

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// slowLinkDelay is the delay of faultSlowLinks.
	slowLinkDelay = 50 * time.Millisecond
	// killMostTenths is the share of the gateways that faultKillMost kills, in tenths.
	killMostTenths = 7
)

// RunPlan injects the faults of a plan, ends them all, and waits until the fleet has converged. It skips faults whose
// target is spared or does not exist, as when there is no leader. spared may be nil.
func (f *Fleet) RunPlan(ctx context.Context, p *Plan, spared *Gateway) error {
	schedule := &endSchedule{}
	at := time.Now()
	for i, fault := range p.Faults {
		at = at.Add(time.Duration(fault.After))
		if err := schedule.waitUntil(ctx, at); err != nil {
			return err
		}
		target := f.resolveTarget(fault.Target)
		if target == nil || target == spared {
			continue
		}
		injector := faultInjector{fleet: f, target: target, spared: spared}
		end, err := injector.inject(fault.Kind)
		if err != nil {
			return fmt.Errorf("fault %d, %s of %s: %w", i+1, fault.Kind, target.Name, err)
		}
		if end != nil {
			schedule.add(time.Now().Add(time.Duration(fault.Duration)), end)
		}
	}
	if err := schedule.waitForAll(ctx); err != nil {
		return err
	}
	if err := f.Heal(); err != nil {
		return err
	}
	return f.WaitUntil(ctx, "the fleet converges after all faults", maxTransferTime, f.Converged)
}

// resolveTarget returns the gateway that a fault's target currently refers to, or nil if there is none.
func (f *Fleet) resolveTarget(target string) *Gateway {
	switch target {
	case targetLeader:
		return f.Leader()
	case targetHolder:
		return f.LeaseHolder(endpointsLease)
	}
	return f.byName(target)
}

// endSchedule is the schedule of the functions that end active faults, sorted by time.
type endSchedule struct{ ends []faultEnd }

// faultEnd is the scheduled end of a fault.
type faultEnd struct {
	at  time.Time
	end func() error
}

func (s *endSchedule) add(at time.Time, end func() error) {
	s.ends = append(s.ends, faultEnd{at, end})
	slices.SortStableFunc(s.ends, func(a, b faultEnd) int { return a.at.Compare(b.at) })
}

// waitUntil waits until a time, and ends the faults whose end is due before it.
func (s *endSchedule) waitUntil(ctx context.Context, until time.Time) error {
	for len(s.ends) > 0 && s.ends[0].at.Before(until) {
		if err := sleepUntil(ctx, s.ends[0].at); err != nil {
			return err
		}
		next := s.ends[0]
		s.ends = s.ends[1:]
		if err := next.end(); err != nil {
			return err
		}
	}
	return sleepUntil(ctx, until)
}

// waitForAll waits until all faults have ended.
func (s *endSchedule) waitForAll(ctx context.Context) error {
	if len(s.ends) == 0 {
		return nil
	}
	last := s.ends[len(s.ends)-1].at
	return s.waitUntil(ctx, last.Add(time.Millisecond))
}

func sleepUntil(ctx context.Context, at time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(at)):
		return nil
	}
}

// faultInjector injects a fault at a gateway.
type faultInjector struct {
	fleet  *Fleet
	target *Gateway
	spared *Gateway // may be nil
}

// inject begins a fault and returns the function that ends it, or nil if the fault ends by itself or was not injected.
func (i *faultInjector) inject(kind FaultKind) (end func() error, err error) {
	g := i.target
	switch kind {
	case faultKill:
		g.Kill()
		return g.startIfDown, nil
	case faultPause:
		return g.Resume, g.Pause()
	case faultIsolate:
		return i.isolate(true, true), nil
	case faultBlockSending:
		return i.isolate(true, false), nil
	case faultBlockReceiving:
		return i.isolate(false, true), nil
	case faultSlowLinks:
		return i.slowLinks(), nil
	case faultTruncate:
		i.truncate()
		return nil, nil
	case faultFlappingLinks:
		return i.flapLinks(), nil
	case faultBridge:
		return i.bridge(), nil
	case faultKillMost:
		return i.killMost(), nil
	case faultDiskFull:
		return func() error { return g.SetDiskFull(false) }, g.SetDiskFull(true)
	case faultHungSync:
		return func() error { return g.SetSyncHung(false) }, g.SetSyncHung(true)
	case faultWipeDisk, faultRestoreDisk:
		return i.loseDisk(kind)
	case faultTransfer:
		i.transferLease()
		return nil, nil
	}
	return nil, fmt.Errorf("unknown fault kind %q", kind)
}

func (i *faultInjector) isolate(sending, receiving bool) func() error {
	i.fleet.Isolate(i.target, sending, receiving)
	return func() error {
		i.fleet.reconnect(i.target)
		return nil
	}
}

func (i *faultInjector) slowLinks() func() error {
	links := i.fleet.linksFrom(i.target)
	for _, l := range links {
		l.SetDelay(slowLinkDelay)
	}
	return func() error {
		for _, l := range links {
			l.SetDelay(0)
		}
		return nil
	}
}

func (i *faultInjector) truncate() {
	for _, l := range i.fleet.linksFrom(i.target) {
		l.TruncateNext()
	}
}

// flapLinks alternately blocks and unblocks all traffic that the target sends, in a goroutine that runs until the returned
// function is called.
func (i *faultInjector) flapLinks() func() error {
	setBlocked := func(blocked bool) {
		for _, other := range i.fleet.Gateways {
			if other != i.target {
				i.fleet.SetBlocked(i.target, other, blocked)
			}
		}
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for blocked := true; ; blocked = !blocked {
			setBlocked(blocked)
			select {
			case <-stop:
				setBlocked(false)
				return
			case <-time.After(sessionDuration / 2):
			}
		}
	}()
	return func() error {
		close(stop)
		<-done
		return nil
	}
}

// bridge blocks all traffic between two halves of the other gateways; both halves stay connected with the target.
func (i *faultInjector) bridge() func() error {
	var blocked [][2]*Gateway
	for a, from := range i.fleet.Gateways {
		for b, to := range i.fleet.Gateways {
			otherHalf := a%2 != b%2
			if from != i.target && to != i.target && otherHalf {
				i.fleet.SetBlocked(from, to, true)
				blocked = append(blocked, [2]*Gateway{from, to})
			}
		}
	}
	return func() error {
		for _, direction := range blocked {
			i.fleet.SetBlocked(direction[0], direction[1], false)
		}
		return nil
	}
}

// killMost kills killMostTenths of the gateways, beginning with the target and without the spared one.
func (i *faultInjector) killMost() func() error {
	all := i.fleet.Gateways
	var killed []*Gateway
	for places := range all {
		g := i.fleet.next(i.target, places)
		if g != i.spared && 10*len(killed) < killMostTenths*len(all) {
			g.Kill()
			killed = append(killed, g)
		}
	}
	return func() error {
		for _, g := range killed {
			if err := g.startIfDown(); err != nil {
				return err
			}
		}
		return nil
	}
}

// loseDisk kills the target and wipes its disk or restores an older copy. It does nothing unless the fleet has converged,
// as with another replica down it could cause the loss of a majority.
func (i *faultInjector) loseDisk(kind FaultKind) (func() error, error) {
	g := i.target
	if !i.fleet.Converged() {
		return nil, nil
	}
	if kind == faultWipeDisk {
		g.Kill()
		return g.startIfDown, g.WipeDisk()
	}
	if err := g.CopyDisk(); err != nil {
		return nil, err
	}
	g.Kill()
	return g.startIfDown, g.RestoreDisk()
}

// transferLease requests the transfer of the endpoint list's lease, as an operator. The request may fail while other
// faults are active, which is ignored.
func (i *faultInjector) transferLease() {
	if i.target.IsRunning() {
		to := i.fleet.next(i.target, 1)
		i.target.postTransfer(endpointsLease, to)
	}
}
