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
		about: "relays of such a fleet are lost: one is killed, one is paused, half are killed, all are restarted; time until gateways have another relay",
		run:   measureRelayLosses,
	})
}

// relayFault is a fault of relays.
type relayFault struct {
	name    string
	relays  []*hollow.Process
	paused  bool // the relays are paused by SIGSTOP, so that their connections stay open; otherwise they are killed
	restart bool // the relays are started again immediately
}

// relayFaults returns the faults to inject into a fleet, in this order. Their targets are first relays without a
// replica, and then replicas other than the leader. The last fault restarts all relays.
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
		// A different relay is paused, because gateways return to the first one within half a minute.
		{name: "a relay stands still", relays: list[1:2], paused: true},
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

// addRelayLosses injects all faults, one after the other, into a fleet of one size.
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
			continue // the relays are running again
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

// startProcesses starts processes sequentially.
func startProcesses(ctx context.Context, processes []*hollow.Process) error {
	for _, p := range processes {
		if err := p.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// addRelayFault injects a fault, and measures how long it takes until all gateways have a relay.
func (s *seriesSet) addRelayFault(ctx context.Context, env *scaleEnv, f *hollow.Fleet, size int, fault relayFault) (note string, _ error) {
	duration := 6 * time.Second // two session timeouts: sessions that expire have done so by then
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
	return fmt.Sprintf("%d gateways, %s (%d): complete %.1f s after the fault, checked from %v on; gateways without a relay at the end: %d; streams %s",
		size, fault.name, len(fault.relays), recovery.Seconds(), duration, without, describeStreams(f)), nil
}

// inject injects the fault and waits for its duration. Paused relays are resumed at the end.
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

// relayDelays returns, for the gateways that connected to their current relay after the given time, how long after it
// they did so. It also returns the number of gateways without a relay.
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
