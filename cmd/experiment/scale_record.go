package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/sim"
	"dunemoor/internal/experiment/scaletest"
)

// Parts that run in this process, without gateways.
func init() {
	registerScale(&scalePart{
		name: "record", by: "gateway", sizes: []int{100, 300, 1000, 3000, 4700}, smallSizes: []int{10, 30}, duration: "10 s",
		about: "computations of a leader with a coordination state of 500 leases: the response to a renewal, a tick, the status",
		run:   measureCoordinationState,
	})
	registerScale(&scalePart{
		name: "sim", by: "gateway", sizes: []int{25, 50, 100, 175, 250}, smallSizes: []int{4, 6}, duration: "1 min",
		about: "the run time of `experiment fleet cost` for a fleet with 500 leases",
		run:   measureSimulation,
	})
}

// Numbers of leases of a simulated fleet; simulatedLeases is the default of `experiment fleet cost`.
const (
	simulatedLeases      = 500
	smallSimulatedLeases = 20
)

func measureSimulation(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "gateway", targetSize: targetGateways}
	leases := simulatedLeases
	if env.small {
		leases = smallSimulatedLeases
	}
	for _, size := range sizes {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		startedAt := time.Now()
		if _, err := sim.Measure(sim.Options{Seed: 1, Nodes: size, Replicas: min(fleetReplicas, size), Leases: leases}); err != nil {
			return nil, err
		}
		s.add(size, "a fleet played", "s", 0.02, time.Since(startedAt).Seconds())
	}
	return &scaletest.Report{Series: s.list}, nil
}

// renewalResponses is the name of the series whose values are limited by the single goroutine that responds to
// renewals.
const renewalResponses = "all gateways' answers of a second"

// measureCoordinationState measures the computations of a leader on the coordination state for each renewal, tick and
// status, all of which run in one goroutine of the leader.
func measureCoordinationState(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "gateway", targetSize: targetGateways}
	for _, size := range sizes {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		state := newCoordinationState(size, min(simulatedLeases, 10*size))
		tracker := lease.NewExpiryTracker(0)
		for id := range state.Sessions {
			tracker.Renew(id, time.Hour)
		}
		answer := microseconds(env, func() { state.DeltaSince(state.Revision) })
		s.add(size, "an answer to a renewal, nothing new", "us", 0.1, answer)
		s.add(size, renewalResponses, "ms/s", 0.1, answer*float64(size)/1000)
		s.add(size, "sessions that have lapsed, none", "us", 0.1, microseconds(env, func() { tracker.Expired(time.Hour, state) }))
		s.add(size, "duties to be given, none", "us", 0.1, microseconds(env, func() { lease.AssignFree(state) }))
		s.add(size, "duties to be evened out, none", "us", 0.1, microseconds(env, func() { lease.Rebalance(state) }))
		s.add(size, "a whole view", "KB of JSON", 0.1, float64(len(encodeFullDelta(state)))/1000)
		s.add(size, "a snapshot", "us", 0.1, microseconds(env, func() { state.Encode() }))
	}
	return &scaletest.Report{Series: s.list, Breaks: s.renewalLimit()}, nil
}

// renewalLimit returns the smallest size at which responses to renewals take more than one core.
func (s *seriesSet) renewalLimit() []scaletest.Break {
	for i := range s.list {
		series := &s.list[i]
		if series.Name != renewalResponses {
			continue
		}
		slices.SortFunc(series.Points, func(a, b scaletest.Point) int { return cmp.Compare(a.Size, b.Size) })
		for _, p := range series.Points {
			if p.Value > 1000 {
				return []scaletest.Break{{By: "gateway", Size: p.Size, What: "the smallest measured size at which responses to renewals alone take more than the one core that the event loop can use", Where: "internal/cluster/lease: State.DeltaSince"}}
			}
		}
	}
	return nil
}

// newCoordinationState returns the coordination state of a fleet in which all gateways are candidates for all leases,
// and each lease has a holder.
func newCoordinationState(gateways, leases int) *lease.State {
	const address = "10.0.0.1:7400"
	state := lease.NewState(1)
	var names []string
	for i := range leases {
		names = append(names, fmt.Sprintf("list/p%d", i))
	}
	for i := range gateways {
		id := uint64(i + 1)
		name := fmt.Sprintf("g%d", i+1)
		state.Sessions[id] = &lease.Session{ID: id, OpenRequest: lease.OpenRequest{Name: name, DiskID: id, OpenSequence: 1, Zone: "z1", Address: address, CandidateLeases: names}, OpenedRevision: 1}
		state.Members[name] = &lease.Member{Name: name, Session: id, DiskID: id, Zone: "z1", Address: address, OpenSequence: 1, ModRevision: 1}
	}
	for i, name := range names {
		holder := uint64(i%gateways + 1)
		state.Leases[name] = &lease.Lease{Name: name, HolderSession: holder, Holder: fmt.Sprintf("g%d", holder), Token: uint64(i + 1), SinceRevision: 1, ModRevision: 1}
	}
	state.Revision = 2
	state.LastSessionID = uint64(gateways)
	state.LastToken = uint64(leases)
	return state
}

// encodeFullDelta returns the JSON form of a complete state, as it is sent to a gateway that has no earlier revision.
func encodeFullDelta(state *lease.State) []byte {
	b, err := json.Marshal(state.DeltaSince(0))
	if err != nil {
		panic(err) // a delta has only strings and numbers
	}
	return b
}

// timingRounds is the number of rounds in which the function microseconds measures a call.
const timingRounds = 5

// microseconds returns the duration of a call: the lowest of the means of timingRounds rounds, each of which takes a
// tenth of a second (a millisecond in a small run).
func microseconds(env *scaleEnv, call func()) float64 {
	roundTime := 100 * time.Millisecond
	if env.small {
		roundTime = time.Millisecond
	}
	least := 0.0
	for range timingRounds {
		calls := 0
		startedAt := time.Now()
		for calls == 0 || time.Since(startedAt) < roundTime {
			call()
			calls++
		}
		mean := float64(time.Since(startedAt).Nanoseconds()) / 1000 / float64(calls)
		if least == 0 || mean < least {
			least = mean
		}
	}
	return least
}
