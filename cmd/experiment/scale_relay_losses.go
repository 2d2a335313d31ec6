package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/experiment/scaletest/hollow"
)

func init() {
	registerScale(&scalePart{
		name: "relays-lost", by: "gateway", sizes: []int{300, 1000, 2000, 3000}, smallSizes: []int{6}, duration: "5 min",
		about: "the same: a relay is killed, one stands still, half are killed, all restarted; until their gateways are with others",
		run:   measureRelayLosses,
	})
}

// relayFault is a fault of relays.
type relayFault struct {
	name    string
	relays  []*hollow.Process
	paused  bool // the relays are stopped by a signal, so that their connections stay open; otherwise they are killed
	restart bool // they are started again at once
}

// relayFaults returns the faults of a fleet in their order. Relays that are no replicas fail first, then replicas other
// than the leader.
func relayFaults(f *hollow.Fleet, leader *hollow.Process) []relayFault {
	var others, replicas []*hollow.Process
	for i, p := range f.Processes[:f.Relays] {
		switch {
		case i >= f.BootstrapReplicas:
			others = append(others, p)
		case p != leader:
			replicas = append(replicas, p)
		}
	}
	half := min(len(others)+(f.BootstrapReplicas-1)/2, f.Relays/2)
	list := append(others, replicas...)
	return []relayFault{
		{name: "a relay killed", relays: list[:1]},
		{name: "a relay stands still", relays: list[1:2], paused: true}, // another: gateways return to the first within half a minute
		{name: "half of the relays killed", relays: list[:half]},
		{name: "all relays restarted", relays: f.Processes[:f.Relays], restart: true},
	}
}

func measureRelayLosses(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "gateway", targetSize: targetGateways}
	r := &scaletest.Report{}
	for _, size := range sizes {
		notes, err := s.addRelayLosses(ctx, env, size)
		if err != nil {
			return nil, err
		}
		r.Notes = append(r.Notes, notes...)
	}
	r.Series = s.list
	return r, nil
}

// addRelayLosses injects the faults into one fleet.
func (s *seriesSet) addRelayLosses(ctx context.Context, env *scaleEnv, size int) (notes []string, _ error) {
	f, stop, err := startRelayFleet(ctx, env, size)
	if err != nil {
		return nil, err
	}
	defer stop()
	time.Sleep(env.settleTime())
	leader := f.Leader()
	if leader == nil {
		return nil, errors.New("there is no leader")
	}
	for _, fault := range relayFaults(f, leader) {
		note, err := s.addRelayFault(ctx, env, f, size, fault)
		if err != nil {
			return nil, err
		}
		notes = append(notes, note)
		if fault.restart || fault.paused {
			continue // its relays run again
		}
		if err := startProcesses(ctx, fault.relays); err != nil {
			return nil, err
		}
		if err := f.WaitComplete(ctx, fleetTimeout); err != nil {
			return nil, err
		}
		time.Sleep(env.settleTime())
	}
	return notes, nil
}

// startProcesses starts processes one after the other.
func startProcesses(ctx context.Context, processes []*hollow.Process) error {
	for _, p := range processes {
		if err := p.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// addRelayFault injects a fault, and measures until all gateways have a relay.
func (s *seriesSet) addRelayFault(ctx context.Context, env *scaleEnv, f *hollow.Fleet, size int, fault relayFault) (note string, _ error) {
	duration := 6 * time.Second // two sessions: those that expire have done so by then
	if env.small {
		duration = time.Second
	}
	stop := watchPeak()
	injectedAt := time.Now()
	if err := fault.inject(ctx, f, injectedAt, duration); err != nil {
		return "", err
	}
	if err := f.WaitComplete(ctx, fleetTimeout); err != nil {
		return "", fmt.Errorf("%s: %w", fault.name, err)
	}
	recovery := time.Since(injectedAt)
	peak := stop()
	delays, without, err := relayDelays(f, injectedAt)
	for err == nil && without > 0 && time.Since(injectedAt) < fleetTimeout {
		time.Sleep(time.Second)
		delays, without, err = relayDelays(f, injectedAt)
	}
	if err != nil {
		return "", err
	}
	expired := len(f.Events(sessionExpired, injectedAt))
	s.add(size, fault.name, "gateways that moved", 1, float64(len(delays)))
	s.add(size, fault.name, "s until half of them were with another", 0.01, quantile(delays, 0.5))
	s.add(size, fault.name, "s, 99 in 100", 0.01, quantile(delays, 0.99))
	s.add(size, fault.name, "s, the last", 0.01, quantile(delays, 1))
	s.add(size, fault.name, "sessions lapsed", 1, float64(expired))
	s.add(size, fault.name, "KB on the loopback in the busiest second", 1, peak/1000)
	return fmt.Sprintf("%d gateways, %s (%d): seen whole %.1f s after it, looked for from %v on; without a relay at last %d; streams %s",
		size, fault.name, len(fault.relays), recovery.Seconds(), duration, without, describeStreams(f)), nil
}

// inject injects the fault and waits for its duration. Relays that were paused run again afterwards.
func (r *relayFault) inject(ctx context.Context, f *hollow.Fleet, injectedAt time.Time, duration time.Duration) error {
	for _, p := range r.relays {
		if !r.paused {
			p.Kill()
			continue
		}
		if err := p.Pause(); err != nil {
			return err
		}
	}
	if r.restart {
		if err := startProcesses(ctx, r.relays); err != nil {
			return err
		}
		if _, err := f.WaitEvents(ctx, becameLeader, injectedAt, 1, fleetTimeout); err != nil {
			return err
		}
	}
	if err := sleep(ctx, duration); err != nil || !r.paused {
		return err
	}
	for _, p := range r.relays {
		if err := p.Resume(); err != nil {
			return err
		}
	}
	return nil
}

// relayDelays returns how long after a time gateways connected to the relays that they have, and the number of gateways
// without a relay.
func relayDelays(f *hollow.Fleet, after time.Time) (delays []float64, without int, _ error) {
	for _, p := range f.Processes[f.Relays:] {
		status, err := p.Status(false)
		if err != nil {
			return nil, 0, err
		}
		for _, gateway := range status {
			if gateway.Relay == nil || gateway.JoinedUnixNano == 0 {
				without++
				continue
			}
			if joinedAt := time.Unix(0, gateway.JoinedUnixNano); joinedAt.After(after) {
				delays = append(delays, joinedAt.Sub(after).Seconds())
			}
		}
	}
	return delays, without, nil
}
