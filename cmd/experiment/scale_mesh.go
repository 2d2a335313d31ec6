package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/experiment/scaletest/hollow"
)

// Parts that measure a fleet at rest.
func init() {
	registerScale(&scalePart{
		name: "mesh", by: "gateway", sizes: []int{8, 12, 24, 48, 80}, smallSizes: []int{4, 6}, duration: "1 min",
		about: "a fleet at rest, hollow gateways: bytes and packets by the kernel, CPU, memory, connections, by role",
		run: func(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
			return measureMesh(ctx, env, sizes, hollowFleet)
		},
	})
	registerScale(&scalePart{
		name: "mesh-real", by: "gateway", sizes: []int{8, 12, 24, 48, 80}, smallSizes: []int{4, 5}, duration: "1 min",
		about: "the same with processes of the program, to show how far hollow gateways are representative of them",
		run: func(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
			binary, err := env.program(ctx)
			if err != nil {
				return nil, err
			}
			return measureMesh(ctx, env, sizes, func(size int) hollow.Options {
				return hollow.Options{Program: binary, RealMembers: size, Gateways: size, Pools: 1}
			})
		},
	})
	registerScale(&scalePart{
		name: "duties", by: "pool", sizes: []int{10, 25, 50, 100, 200}, smallSizes: []int{2, 4}, duration: "1 min",
		about: "twelve hollow gateways at rest, by the number of pools: the endpoint list of each pool is published by the holder of its lease",
		run:   measureLeases,
	})
}

// measureMesh measures fleets of several sizes at rest.
func measureMesh(ctx context.Context, env *scaleEnv, sizes []int, options func(size int) hollow.Options) (*scaletest.Report, error) {
	s := &seriesSet{by: "gateway", targetSize: targetGateways}
	r := &scaletest.Report{}
	err := forEachFleet(ctx, env, sizes, options, func(f *hollow.Fleet, size int) error {
		usage, err := measureUsage(ctx, f, env.countTime())
		if err != nil {
			return err
		}
		s.addUsageByRole(f, usage, size)
		r.Notes = append(r.Notes, fmt.Sprintf("%d gateways: %s%s", size, usage.describeTraffic(), usage.describeSharedProcesses(f)))
		return nil
	})
	if err != nil {
		return nil, err
	}
	r.Series = s.sortByRole()
	r.Breaks = append(s.meshLimits(), meshCaps()...)
	r.Notes = append(r.Notes, trafficNote)
	return r, nil
}

// addUsageByRole adds the resource usage of a gateway of each role at rest.
func (s *seriesSet) addUsageByRole(f *hollow.Fleet, u *fleetRates, size int) {
	byRole := processesByRole(f)
	for _, role := range shownRoles {
		processes := byRole[role]
		if len(processes) == 0 {
			continue
		}
		add := func(unit string, resolution float64, value processMeasure) {
			s.add(size, role, unit, resolution, medianOf(processes, value))
		}
		add("bytes/s", 20, u.bytes)
		add("packets/s", 0.5, u.packets)
		add("bytes/s by the carrier's counter, out", 5, u.frameBytesSent)
		add("bytes/s carried, out", 5, u.payloadSent)
		add("CPU ms/s", 0.5, u.cpu)
		add("MB resident", 1, u.resident)
		if !processes[0].IsReal() {
			add("MB heap and stacks", 0.5, u.heap)
			add("goroutines", 1, u.goroutines)
		}
		add("connections", 0.5, u.conns)
		add("fsyncs/s", 1/u.span.Seconds(), u.syncs)
	}
}

// describeSharedProcesses describes the CPU time of the gateways that share a process, if there are any.
func (u *fleetRates) describeSharedProcesses(f *hollow.Fleet) string {
	packed := 0
	cpu := 0.0
	for p, rates := range u.rates {
		if len(p.Names) > 1 {
			packed += len(p.Names)
			cpu += rates.CPU
		}
	}
	if packed == 0 {
		return ""
	}
	return fmt.Sprintf("; %d gateways share %d processes: %.1f ms/s of CPU per gateway", packed, len(f.Processes)-singleGateways, cpu/float64(packed))
}

// meshLimits returns the sizes at which the fitted lines exceed the limits of a gateway.
func (s *seriesSet) meshLimits() []scaletest.Break {
	return slices.Concat(
		s.breaksAt(roleMember, "bytes/s", maxControlBytes, "internal/cluster/transport: runConn, an idle frame per second on each connection and its acknowledgement"),
		s.breaksAt(roleLeader, "bytes/s", maxControlBytes, "internal/cluster/node: the responses to renewals, and runConn"),
		s.breaksAt(roleMember, "CPU ms/s", maxControlCPU, "internal/cluster/transport: runConn and serveFrames, two goroutines and a timer per connection"),
		s.breaksAt(roleMember, "MB resident", maxControlMemory, "internal/cluster/transport: serveFrames, a reader of 64 KiB per connection"),
	)
}

// meshCaps returns the maximum sizes that the program accepts. Break.Where names the constant with the limit. Numbers
// of constants that are not exported are repeated here.
func meshCaps() []scaletest.Break {
	return []scaletest.Break{
		{By: "gateway", Size: lease.MaxMembers, What: "the coordination state rejects further members", Where: "internal/cluster/lease: MaxMembers"},
		{By: "gateway", Size: 1024, What: "a configuration file with more peers is rejected", Where: "internal/config: maxPeers"},
		{By: "gateway", Size: 2201, What: "further incoming connections are closed immediately; from 1,101 gateways on also if all reconnect at the same time, because each has two connections while one replaces the other", Where: "internal/cluster/transport: maxConns"},
		{By: "gateway", Size: 8192, What: "a leader drops renewals and commands that arrive while this many wait for a quorum; they are retried 0.3 to 0.6 s later", Where: "internal/cluster/node: maxQueuedRenewals"},
	}
}

// Numbers of gateways of the fleet in which leases are measured.
const (
	leaseFleet      = 12
	smallLeaseFleet = 4
)

// measureLeases measures a fleet at rest by the number of pools, each of which has a lease.
func measureLeases(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "pool"}
	r := &scaletest.Report{}
	gateways := leaseFleet
	if env.small {
		gateways = smallLeaseFleet
	}
	for _, pools := range sizes {
		note, err := s.addLeases(ctx, env, gateways, pools)
		if err != nil {
			return nil, err
		}
		r.Notes = append(r.Notes, note)
	}
	r.Series = s.list
	r.Breaks = s.breaksAt("gateway (median)", "bytes/s", maxControlBytes, "internal/fleet: listFollower.check, a heartbeat of each list to each gateway every 2 s (endpoints.HeartbeatInterval)")
	r.Breaks = append(r.Breaks, scaletest.Break{By: "pool", Size: lease.MaxLeases, What: "the coordination state rejects further leases", Where: "internal/cluster/lease: MaxLeases"})
	return r, nil
}

// addLeases measures a fleet with one number of pools.
func (s *seriesSet) addLeases(ctx context.Context, env *scaleEnv, gateways, pools int) (note string, _ error) {
	f, stop, err := startHollowFleet(ctx, env, hollow.Options{Gateways: gateways, Pools: pools})
	if err != nil {
		return "", err
	}
	defer stop()
	if !env.small {
		if err := waitUntilBalanced(ctx, f); err != nil {
			return "", err
		}
	}
	time.Sleep(env.settleTime())
	usage, err := measureUsage(ctx, f, env.countTime())
	if err != nil {
		return "", err
	}
	highest, total := 0, 0
	for _, leases := range f.LeaseCounts() {
		highest = max(highest, leases)
		total += leases
	}
	s.add(pools, "the record", "duties", 1, float64(total))
	leader := f.Leader()
	var others []*hollow.Process
	for p := range usage.rates {
		if p != leader {
			others = append(others, p)
		}
	}
	s.add(pools, "gateway (median)", "bytes/s", 20, medianOf(others, usage.bytes))
	s.add(pools, "gateway (median)", "packets/s", 0.5, medianOf(others, usage.packets))
	s.add(pools, "gateway (median)", "CPU ms/s", 0.5, medianOf(others, usage.cpu))
	s.add(pools, roleLeader, "CPU ms/s", 0.5, usage.cpu(leader))
	s.add(pools, roleLeader, "bytes/s", 20, usage.bytes(leader))
	return fmt.Sprintf("%d endpoint lists published by %d gateways; at most %d leases per gateway", pools, gateways, highest), nil
}

// balancedDifference is the maximum difference between the numbers of leases of two gateways in a balanced fleet.
const balancedDifference = 2

// waitUntilBalanced waits until the numbers of leases of any two gateways differ by at most balancedDifference.
func waitUntilBalanced(ctx context.Context, f *hollow.Fleet) error {
	for end := time.Now().Add(fleetTimeout); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		leases := f.LeaseCounts()
		highest, lowest := 0, 1<<30
		for _, name := range f.Names() {
			highest = max(highest, leases[name])
			lowest = min(lowest, leases[name])
		}
		if highest-lowest <= balancedDifference {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errors.New("the leases were not balanced within the timeout")
}
