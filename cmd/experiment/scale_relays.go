package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/experiment/scaletest/hollow"
)

func init() {
	registerScale(&scalePart{
		name: "relays", by: "gateway", sizes: []int{300, 1000, 2000, 3000}, smallSizes: []int{6}, duration: "3 min",
		about: "16 relays, which are processes of the program, and hollow gateways at rest; and the time until all gateways have an operator's override",
		run:   measureRelays,
	})
}

// startRelayFleet starts a fleet of hollow gateways with relays that are processes of the program.
func startRelayFleet(ctx context.Context, env *scaleEnv, gateways int) (_ *hollow.Fleet, stop func(), _ error) {
	binary, err := env.program(ctx)
	if err != nil {
		return nil, nil, err
	}
	relays := fleetRelays
	if env.small {
		relays = smallFleetRelays
	}
	return startHollowFleet(ctx, env, hollow.Options{Program: binary, RealMembers: relays, Relays: relays, Gateways: gateways, Pools: 1})
}

// relayRoles are the roles of a fleet with relays, in the order of the reports.
var relayRoles = []string{roleLeader, roleReplica, roleRelay, roleGateway}

// relayProcessesByRole returns the processes with a single relay or gateway by its role. Gateways that hold a lease
// are left out.
func relayProcessesByRole(f *hollow.Fleet) map[string][]*hollow.Process {
	byRole := map[string][]*hollow.Process{}
	leases := f.LeaseCounts()
	leader := f.Leader()
	for i, p := range f.Processes {
		switch {
		case p == leader:
			byRole[roleLeader] = append(byRole[roleLeader], p)
		case i < f.BootstrapReplicas:
			byRole[roleReplica] = append(byRole[roleReplica], p)
		case i < f.Relays:
			byRole[roleRelay] = append(byRole[roleRelay], p)
		case len(p.Names) == 1 && leases[p.Names[0]] == 0:
			byRole[roleGateway] = append(byRole[roleGateway], p)
		}
	}
	return byRole
}

// quantile returns the value that the given share of a list doesn't exceed, or 0 if the list is empty. It sorts the
// list.
func quantile(list []float64, share float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(share*float64(len(list))))]
}

func measureRelays(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "gateway", targetSize: targetGateways}
	r := &scaletest.Report{}
	for _, size := range sizes {
		note, err := s.addRelayFleet(ctx, env, size)
		if err != nil {
			return nil, err
		}
		r.Notes = append(r.Notes, note)
	}
	r.Series = s.list
	r.Notes = append(r.Notes, trafficNote)
	return r, nil
}

// addRelayFleet measures a fleet with relays at rest, and then the propagation of an override.
func (s *seriesSet) addRelayFleet(ctx context.Context, env *scaleEnv, size int) (note string, _ error) {
	startedAt := time.Now()
	f, stop, err := startRelayFleet(ctx, env, size)
	if err != nil {
		return "", err
	}
	defer stop()
	formationTime := time.Since(startedAt)
	time.Sleep(env.settleTime())
	usage, err := measureUsage(ctx, f, env.countTime())
	if err != nil {
		return "", err
	}
	byRole := relayProcessesByRole(f)
	for _, role := range relayRoles {
		processes := byRole[role]
		if len(processes) == 0 {
			continue
		}
		s.add(size, role, "bytes/s", 20, medianOf(processes, usage.bytes))
		s.add(size, role, "packets/s", 0.5, medianOf(processes, usage.packets))
		s.add(size, role, "CPU ms/s", 0.5, medianOf(processes, usage.cpu))
		s.add(size, role, "MB resident", 1, medianOf(processes, usage.resident))
		s.add(size, role, "connections", 0.5, medianOf(processes, usage.conns))
	}
	s.addSharedProcesses(usage, size)
	note = fmt.Sprintf("%d gateways: complete %.1f s after the start, including the start of the processes; %s; streams %s", size, formationTime.Seconds(), usage.describeTraffic(), describeStreams(f))
	return note, s.addOverrideSpread(ctx, f, size)
}

// addSharedProcesses adds the mean usage of the gateways that share processes, which are most of the fleet.
func (s *seriesSet) addSharedProcesses(u *fleetRates, size int) {
	var gateways, bytes, packets, cpu, resident float64
	for p := range u.rates {
		if len(p.Names) == 1 {
			continue
		}
		gateways += float64(len(p.Names))
		bytes += u.bytes(p)
		packets += u.packets(p)
		cpu += u.cpu(p)
		resident += u.resident(p)
	}
	if gateways == 0 {
		return
	}
	const name = "gateway, mean of the packed"
	s.add(size, name, "bytes/s", 20, bytes/gateways)
	s.add(size, name, "packets/s", 0.5, packets/gateways)
	s.add(size, name, "CPU ms/s", 0.1, cpu/gateways)
	s.add(size, name, "MB resident", 0.1, resident/gateways)
}

// addOverrideSpread writes an override at a gateway, and measures how long it takes until all gateways apply it.
func (s *seriesSet) addOverrideSpread(ctx context.Context, f *hollow.Fleet, size int) error {
	writer := f.Processes[f.Relays]
	writtenAt := time.Now()
	if err := writer.SetDrained(writer.Names[0], "h1", true); err != nil {
		return err
	}
	if _, err := f.WaitEvents(ctx, hollow.OverrideEvent, writtenAt, size, fleetTimeout); err != nil {
		return err
	}
	var delays []float64
	for _, event := range f.Events(hollow.OverrideEvent, writtenAt) {
		delays = append(delays, event.Time.Sub(writtenAt).Seconds())
	}
	const name = "an operator's word"
	s.add(size, name, "s until half of the gateways go by it", 0.005, quantile(delays, 0.5))
	s.add(size, name, "s until 99.9 in 100", 0.005, quantile(delays, 0.999))
	s.add(size, name, "s until the last", 0.005, quantile(delays, 1))
	return nil
}

// describeStreams describes the numbers of streams of the relays: the minimum, the maximum and the sum.
func describeStreams(f *hollow.Fleet) string {
	lowest, highest, total := 1<<30, 0, 0
	for _, p := range f.Processes[:f.Relays] {
		if !p.IsRunning() {
			continue
		}
		status, err := p.Status(false)
		if err != nil || status[p.Names[0]].Streams == nil {
			return "not known"
		}
		streams := status[p.Names[0]].Streams.Streams
		lowest = min(lowest, streams)
		highest = max(highest, streams)
		total += streams
	}
	return fmt.Sprintf("%d to %d per relay, %d in total", lowest, highest, total)
}
