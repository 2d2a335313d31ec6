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
		about: "the module alone, in this process: memory a host, time of a whole list, of a change of one host and of a request",
		run:   measureModule,
	})
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// maxModuleTime bounds the measurement of full lists and that of requests.
const maxModuleTime = 2 * time.Second

// moduleBench measures one balancer.
type moduleBench struct {
	balancer *balancer.Balancer
	hosts    []balancer.Host
	actions  []balancer.Action
	now      time.Duration
}

func moduleHosts(count int) []balancer.Host {
	hosts := make([]balancer.Host, count)
	for i := range hosts {
		hosts[i] = balancer.Host{ID: balancer.HostID(i + 1), Zone: i % 10, Cell: i / hostsPerCell, Kind: 1}
	}
	return hosts
}

func newModuleBench(hosts []balancer.Host) (*moduleBench, error) {
	classes := []balancer.Class{{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}}
	b, err := balancer.New(balancer.Settings{Instances: 1, Cancel: true, MaxAttempts: 4, Classes: classes}, 7)
	if err != nil {
		return nil, err
	}
	m := &moduleBench{balancer: b, hosts: hosts, now: time.Minute}
	b.Start(m.now)
	return m, nil
}

func (m *moduleBench) update(kind balancer.ListKind, hosts []balancer.Host) {
	m.balancer.UpdateEndpoints(m.now, kind, hosts)
	m.actions = m.balancer.TakeActions(m.actions[:0])
}

// changeHosts changes one host at a time.
func (m *moduleBench) changeHosts(changes int) {
	for i := range changes {
		m.now += time.Millisecond
		host := m.hosts[(i/2*scatterFactor)%len(m.hosts)]
		if i%2 == 0 {
			host.State = balancer.Draining
		}
		m.update(balancer.ListChanges, []balancer.Host{host})
	}
}

// replaceLists updates the full list with one change each time, and returns how often it did within the time limit.
func (m *moduleBench) replaceLists(limit int) int {
	startedAt := time.Now()
	for i := range limit {
		m.now += time.Millisecond
		last := &m.hosts[len(m.hosts)-1]
		last.State = balancer.Ready
		if i%2 == 0 {
			last.State = balancer.Draining
		}
		m.update(balancer.ListFull, m.hosts)
		if time.Since(startedAt) > maxModuleTime {
			return i + 1
		}
	}
	return limit
}

// sendRequests sends requests, each of which succeeds at its first host, and returns their number within the time limit.
func (m *moduleBench) sendRequests(limit int) int {
	startedAt := time.Now()
	for i := range limit {
		if time.Since(startedAt) > maxModuleTime {
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

// mean returns the mean time of a number of calls since a time.
func mean(startedAt time.Time, calls int) (nanoseconds float64) {
	return float64(time.Since(startedAt).Nanoseconds()) / float64(calls)
}

func measureModule(_ context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "host", targetSize: targetHosts}
	changes, requests := 2000, 200_000
	if env.small {
		changes, requests = 50, 100
	}
	for _, size := range sizes {
		fmt.Fprintf(env.progress, "%d hosts in the module\n", size)
		if err := s.addModule(size, changes, requests); err != nil {
			return nil, err
		}
	}
	return &scaletest.Report{Series: s.list, Notes: []string{"in this process, one thread; a request is Request, TakeActions, AttemptEnded and TakeActions, its pick among all hosts"}}, nil
}

// addModule measures one number of hosts.
func (s *seriesSet) addModule(size, changes, requests int) error {
	hosts := moduleHosts(size)
	before := heapBytes() // without the list of hosts, which is the caller's
	m, err := newModuleBench(hosts)
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
