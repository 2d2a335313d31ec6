package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/experiment/scaletest/hollow"
)

// Parts that kill gateways and start them again.
func init() {
	registerScale(&scalePart{
		name: "joins", by: "gateway", sizes: []int{8, 12, 24, 48, 80}, smallSizes: []int{4, 6}, duration: "1 min",
		about: "restart of one gateway, and of all at once: bytes and time until they have sessions",
		run:   measureJoins,
	})
	registerScale(&scalePart{
		name: "lost", by: "gateway", sizes: []int{8, 12, 24, 48, 80}, smallSizes: []int{5}, duration: "2 min",
		about: "the leader is killed, and a tenth of the gateways at once, which are started again: times, and traffic of the busiest second",
		run:   measureLosses,
	})
}

// Log messages that are used as events.
const (
	sessionOpened  = "session opened"
	sessionExpired = "session expired"
	becameLeader   = "became leader"
)

// trafficDelay is how long to wait for the remaining traffic of a start after the last session has been opened.
const trafficDelay = 300 * time.Millisecond

func measureJoins(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "gateway", targetSize: targetGateways}
	r := &scaletest.Report{}
	err := forEachFleet(ctx, env, sizes, hollowFleet, func(f *hollow.Fleet, size int) error {
		if err := s.addRejoin(ctx, env, f, size); err != nil {
			return err
		}
		if err := f.WaitComplete(ctx, fleetTimeout); err != nil {
			return err
		}
		note, err := s.addColdStart(ctx, f, size)
		r.Notes = append(r.Notes, note)
		return err
	})
	if err != nil {
		return nil, err
	}
	r.Series = s.list
	return r, nil
}

// addRejoin restarts the last gateway that has a process of its own, and measures its start.
func (s *seriesSet) addRejoin(ctx context.Context, env *scaleEnv, f *hollow.Fleet, size int) error {
	p := f.Processes[min(size, singleGateways)-1]
	p.Kill()
	time.Sleep(env.settleTime())
	startedAt := time.Now()
	if err := p.Start(ctx); err != nil {
		return err
	}
	openedAt, err := f.WaitEvents(ctx, sessionOpened, startedAt, 1, fleetTimeout)
	if err != nil {
		return err
	}
	// The first complete state, and possibly the last connections, follow after the session has been opened.
	var process *hollow.ProcessUsage
	for end := time.Now().Add(fleetTimeout); process == nil || process.Conns < 2*(size-1) && time.Now().Before(end); {
		time.Sleep(trafficDelay)
		usages, err := f.Usage(false)
		if err != nil {
			return err
		}
		process = usages.ByProcess[p]
	}
	const name = "one that comes back"
	s.add(size, name, "bytes until it has all connections and a view", 100, float64(process.Traffic.Bytes()))
	s.add(size, name, "packets until it has all connections and a view", 1, float64(process.Traffic.Packets()))
	s.add(size, name, "s until its session", 0.02, openedAt.Sub(startedAt).Seconds())
	s.add(size, name, "CPU ms until it has all connections and a view", 5, float64(process.CPU.Milliseconds()))
	return nil
}

// addColdStart restarts all gateways at once, and measures their start.
func (s *seriesSet) addColdStart(ctx context.Context, f *hollow.Fleet, size int) (note string, _ error) {
	for _, p := range f.Processes {
		p.Kill()
	}
	before, _, err := hollow.Loopback()
	if err != nil {
		return "", err
	}
	stop := watchPeak()
	startedAt := time.Now()
	if err := f.Start(ctx); err != nil {
		return "", err
	}
	startTime := time.Since(startedAt)
	openedAt, err := f.WaitEvents(ctx, sessionOpened, startedAt, size, fleetTimeout)
	if err != nil {
		return "", err
	}
	time.Sleep(trafficDelay)
	after, _, err := hollow.Loopback()
	if err != nil {
		return "", err
	}
	peak := stop()
	usages, err := f.Usage(false)
	if err != nil {
		return "", err
	}
	cpu := 0.0
	for _, process := range usages.ByProcess {
		cpu += process.CPU.Seconds()
	}
	const name = "all at once"
	s.add(size, name, "s until all have sessions", 0.05, openedAt.Sub(startedAt).Seconds())
	s.add(size, name, "KB on the loopback, a gateway", 1, float64(after-before)/float64(size)/1000)
	s.add(size, name, "KB in the busiest second, a gateway", 1, peak/float64(size)/1000)
	s.add(size, name, "CPU s of all", 0.05, cpu)
	return fmt.Sprintf("%d gateways: processes started in %.2f s", size, startTime.Seconds()), nil
}

func measureLosses(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "gateway", targetSize: targetGateways}
	r := &scaletest.Report{}
	err := forEachFleet(ctx, env, sizes, hollowFleet, func(f *hollow.Fleet, size int) error {
		expiredByLeader, err := s.addLeaderLoss(ctx, f, size)
		if err != nil {
			return err
		}
		time.Sleep(env.settleTime())
		expired, killed, err := s.addGroupLoss(ctx, f, size)
		if err != nil {
			return err
		}
		r.Notes = append(r.Notes, fmt.Sprintf("%d gateways: %d sessions of running gateways expired after the leader was killed, %d after %d other gateways were killed", size, expiredByLeader, expired, killed))
		return nil
	})
	if err != nil {
		return nil, err
	}
	r.Series = s.list
	return r, nil
}

// addLeaderLoss kills the leader, measures until the fleet is complete without it, and starts it again. It returns
// the number of expired sessions.
func (s *seriesSet) addLeaderLoss(ctx context.Context, f *hollow.Fleet, size int) (expired int, _ error) {
	leader := f.Leader()
	if leader == nil {
		return 0, errors.New("there is no leader")
	}
	stop := watchPeak()
	killedAt := time.Now()
	leader.Kill()
	electedAt, err := f.WaitEvents(ctx, becameLeader, killedAt, 1, fleetTimeout)
	if err != nil {
		return 0, err
	}
	if err := f.WaitComplete(ctx, fleetTimeout); err != nil {
		return 0, err
	}
	recovery := time.Since(killedAt)
	peak := stop()
	const name = "leader killed"
	s.add(size, name, "s until another leads", 0.1, electedAt.Sub(killedAt).Seconds())
	s.add(size, name, "s until its session has lapsed everywhere", 0.1, recovery.Seconds())
	s.add(size, name, "KB in the busiest second, a gateway", 0.5, peak/float64(size)/1000)
	expired = len(f.Events(sessionExpired, killedAt))
	if err := leader.Start(ctx); err != nil {
		return 0, err
	}
	return expired, f.WaitComplete(ctx, fleetTimeout)
}

// lossGroup returns the last processes, with a tenth of the gateways, and the number of their gateways. It includes
// replicas only if there are no other gateways.
func lossGroup(f *hollow.Fleet, size int) (group []*hollow.Process, gateways int) {
	for i := len(f.Processes) - 1; i >= f.BootstrapReplicas && gateways < max(1, size/10); i-- {
		group = append(group, f.Processes[i])
		gateways += len(f.Processes[i].Names)
	}
	if gateways == 0 {
		return f.Processes[len(f.Processes)-1:], 1
	}
	return group, gateways
}

// addGroupLoss kills a tenth of the gateways, measures until the fleet is complete without them, and starts them
// again. It returns the numbers of expired sessions and of killed gateways.
func (s *seriesSet) addGroupLoss(ctx context.Context, f *hollow.Fleet, size int) (expired, killed int, _ error) {
	group, killed := lossGroup(f, size)
	stop := watchPeak()
	killedAt := time.Now()
	for _, p := range group {
		p.Kill()
	}
	if err := f.WaitComplete(ctx, fleetTimeout); err != nil {
		return 0, 0, err
	}
	const name = "a tenth killed"
	s.add(size, name, "s until their sessions have lapsed everywhere", 0.1, time.Since(killedAt).Seconds())
	expired = len(f.Events(sessionExpired, killedAt))
	startedAt := time.Now()
	for _, p := range group {
		if err := p.Start(ctx); err != nil {
			return 0, 0, err
		}
	}
	openedAt, err := f.WaitEvents(ctx, sessionOpened, startedAt, killed, fleetTimeout)
	if err != nil {
		return 0, 0, err
	}
	s.add(size, name, "s until they have sessions again", 0.05, openedAt.Sub(startedAt).Seconds())
	s.add(size, name, "KB in the busiest second, a gateway", 0.5, stop()/float64(size)/1000)
	return expired, killed, nil
}
