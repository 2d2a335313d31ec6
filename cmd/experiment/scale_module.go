package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/experiment/scaletest"
)

func init() {
	registerScale(&scalePart{
		name: "module", by: "host", sizes: []int{1000, 5000, 20_000, 60_000, 180_000}, smallSizes: []int{10, 30, 60, 100}, duration: "half a minute",
		about: "package balancer alone, in this process: memory per host, time of a full list, of a change of one host and of a request",
		run:   measureBalancer,
	})
}

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// maxBalancerTime is the time limit of the measurement of full lists, and of that of requests.
const maxBalancerTime = 2 * time.Second

// balancerBench is a balancer that is measured.
type balancerBench struct {
	balancer *balancer.Balancer
	hosts    []balancer.Host
	actions  []balancer.Action
	now      time.Duration
}

func balancerHosts(count int) []balancer.Host {
	hosts := make([]balancer.Host, count)
	for i := range hosts {
		hosts[i] = balancer.Host{ID: balancer.HostID(i + 1), Zone: i % 10, Cell: i / hostsPerCell, Kind: 1}
	}
	return hosts
}

func newBalancerBench(hosts []balancer.Host) (*balancerBench, error) {
	classes := []balancer.Class{{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}}
	b, err := balancer.New(balancer.Settings{Instances: 1, Cancel: true, MaxAttempts: 4, Classes: classes}, 7)
	if err != nil {
		return nil, err
	}
	m := &balancerBench{balancer: b, hosts: hosts, now: time.Minute}
	b.Start(m.now)
	return m, nil
}

func (m *balancerBench) update(kind balancer.ListKind, hosts []balancer.Host) {
	m.balancer.UpdateEndpoints(m.now, kind, hosts)
	m.actions = m.balancer.TakeActions(m.actions[:0])
}

// changeHosts delivers a number of list changes, each with one host.
func (m *balancerBench) changeHosts(changes int) {
	for i := range changes {
		m.now += time.Millisecond
		host := m.hosts[(i/2*scatterFactor)%len(m.hosts)]
		if i%2 == 0 {
			host.State = balancer.Draining
		}
		m.update(balancer.ListChanges, []balancer.Host{host})
	}
}

// replaceLists delivers full lists, each with one change, and returns how many it delivered within the time limit.
func (m *balancerBench) replaceLists(limit int) int {
	startedAt := time.Now()
	for i := range limit {
		m.now += time.Millisecond
		last := &m.hosts[len(m.hosts)-1]
		last.State = balancer.Ready
		if i%2 == 0 {
			last.State = balancer.Draining
		}
		m.update(balancer.ListFull, m.hosts)
		if time.Since(startedAt) > maxBalancerTime {
			return i + 1
		}
	}
	return limit
}

// sendRequests passes requests to the balancer, each of which succeeds with its first attempt, and returns how many
// it passed within the time limit.
func (m *balancerBench) sendRequests(limit int) int {
	startedAt := time.Now()
	for i := range limit {
		if time.Since(startedAt) > maxBalancerTime {
			return i
		}
		m.now += 100 * time.Microsecond
		m.balancer.Request(m.now, balancer.Request{ID: balancer.RequestID(i + 1), Remaining: 10 * time.Second})
		m.actions = m.balancer.TakeActions(m.actions[:0])
		for _, a := range m.actions {
			if a.Kind == balancer.Send {
				m.balancer.AttemptEnded(m.now, balancer.Outcome{Request: a.Request, Attempt: a.Attempt, Result: balancer.OK, Elapsed: time.Millisecond, Closed: true})
			}
		}
		m.actions = m.balancer.TakeActions(m.actions[:0])
	}
	return limit
}

// mean returns the mean duration of a number of calls that began at startedAt.
func mean(startedAt time.Time, calls int) (nanoseconds float64) {
	return float64(time.Since(startedAt).Nanoseconds()) / float64(calls)
}

func measureBalancer(_ context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "host", targetSize: targetHosts}
	changes, requests := 2000, 200_000
	if env.small {
		changes, requests = 50, 100
	}
	for _, size := range sizes {
		fmt.Fprintf(env.progress, "%d hosts in the module\n", size)
		if err := s.addBalancer(size, changes, requests); err != nil {
			return nil, err
		}
	}
	return &scaletest.Report{Series: s.list, Notes: []string{"in this process, with one thread; a request consists of Request, TakeActions, AttemptEnded and TakeActions, and its host is chosen among all hosts"}}, nil
}

// addBalancer measures a balancer with one number of hosts.
func (s *seriesSet) addBalancer(size, changes, requests int) error {
	hosts := balancerHosts(size)
	before := heapBytes() // includes the list of hosts, which belongs to the caller
	m, err := newBalancerBench(hosts)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	m.update(balancer.ListFull, m.hosts)
	s.add(size, "the first list", "ms", 0.01, float64(time.Since(startedAt).Microseconds())/1000)
	s.add(size, "memory of the module", "KB", 4, (heapBytes()-before)/1024)
	startedAt = time.Now()
	m.changeHosts(changes)
	s.add(size, "a change of one host", "us", 0.1, mean(startedAt, changes)/1e3)
	startedAt = time.Now()
	lists := m.replaceLists(changes / 10)
	s.add(size, "a whole list with one change", "ms", 0.001, mean(startedAt, lists)/1e6)
	startedAt = time.Now()
	sent := m.sendRequests(requests)
	s.add(size, "a request", "ns", 10, mean(startedAt, sent))
	runtime.KeepAlive(m)
	return nil
}
