package flightrecorder

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dunemoor/balancer"
)

const ms = time.Millisecond

// randomTraffic returns a simulation of random requests: one host crashes, one is silent for a while, endpoint lists
// change, hosts drain and start, and clients disconnect. The files in testdata/compat depend on the sequence of random
// numbers.
func randomTraffic(seed uint64, requests int) *Simulation {
	r := rand.New(rand.NewPCG(seed, 99))
	s := &Simulation{
		Settings: trafficSettings(1 + int(seed%3)),
		Hosts:    map[balancer.HostID]*SimulatedHost{},
		Random:   rand.New(rand.NewPCG(seed, 7)),
	}
	start := balancer.Time(time.Hour)
	var list []balancer.Host
	for i := range 6 {
		id := balancer.HostID(i + 1)
		list = append(list, balancer.Host{ID: id, Zone: i / 3, Cell: i / 2, Kind: i % 2})
		s.Hosts[id] = &SimulatedHost{Speed: 0.5 + r.Float64(), ErrorShares: []float64{0.02, 0, 0.01}}
	}
	end := s.addArrivals(r, start, requests)
	s.addFaults(list, start, end)
	return s
}

func trafficSettings(instances int) balancer.Settings {
	return balancer.Settings{
		Instances: instances, Step: ms, MaxAttempts: 4, Cancel: true, MaxRetryAfter: time.Second,
		Classes: []balancer.Class{
			{LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1},
			{LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 2, Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.ScopeCell, DedupWindow: 600 * ms},
			{LatencyObjective: 100 * ms, Deadline: 400 * ms, PriorityWeight: 5, Idempotency: balancer.NonIdempotent},
		},
		SlowStartShare: 0.3, SlowStartWindow: 3 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second,
	}
}

// addArrivals adds random requests of all classes, and returns the time of the last one.
func (s *Simulation) addArrivals(r *rand.Rand, start balancer.Time, requests int) balancer.Time {
	at := start
	for i := range requests {
		at += time.Duration(r.ExpFloat64() * float64(6*ms))
		class := r.IntN(3)
		deadline := s.Settings.Classes[class].Deadline
		a := Arrival{
			Request: balancer.Request{ID: balancer.RequestID(i + 1), Class: class, Remaining: deadline, Duplicate: r.IntN(9) == 0},
			At:      at,
			Work:    time.Duration(r.ExpFloat64() * float64(15*ms)),
		}
		if r.IntN(50) == 0 {
			a.GoneAt = at + 20*ms
		}
		s.Arrivals = append(s.Arrivals, a)
	}
	return at
}

// addFaults adds faults of two hosts, and endpoint lists in which one host drains and one starts.
func (s *Simulation) addFaults(list []balancer.Host, start, end balancer.Time) {
	part := func(x float64) balancer.Time { return start + balancer.Time(x*float64(end-start)) }
	update := func(at balancer.Time, kind balancer.ListKind, hosts ...balancer.Host) {
		s.Endpoints = append(s.Endpoints, EndpointUpdate{at, kind, hosts})
	}
	s.Hosts[1].Down = []Span{{part(0.2), part(0.35)}}
	s.Hosts[2].Silent = []Span{{part(0.4), part(0.5)}}
	update(start, balancer.ListSaved, list...)
	drained := list[3]
	drained.State = balancer.Draining
	update(part(0.55), balancer.ListChanges, drained)
	drained.State = balancer.Removed
	update(part(0.6), balancer.ListChanges, drained)
	update(part(0.62), balancer.ListFailed)
	started := balancer.Host{ID: 77, Zone: 1, Cell: 1, Started: part(0.65)}
	s.Hosts[77] = &SimulatedHost{Speed: 1}
	update(part(0.7), balancer.ListChanges, started)
	// Discovery restarts: a full list that lacks one host and has one in another cell.
	full := slices.Clone(list[1:])
	full[0].Cell = 2
	update(part(0.85), balancer.ListFull, append(full, started)...)
}

// bufferSink stores the blocks that it accepts; reject, if set, reports whether the n-th block is rejected.
type bufferSink struct {
	bytes.Buffer
	reject func(n int) bool
	n      int
}

func (s *bufferSink) Put(b []byte) (accepted, needCheckpoint bool) {
	s.n++
	if s.reject != nil && s.reject(s.n) {
		return false, false
	}
	s.Write(b)
	return true, false
}

// newRecorder returns a Recorder in front of a balancer with the settings and the seed of start.
func newRecorder(t testing.TB, start SessionStart, session uint64, opts Options) *Recorder {
	t.Helper()
	bal, err := balancer.New(start.Settings, start.Seed)
	if err != nil {
		t.Fatal(err)
	}
	rec, err := New(bal, start, session, opts)
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

// record runs a simulation with a Recorder in front of the balancer.
func record(t testing.TB, s *Simulation, seed uint64, opts Options) (*Recorder, *Summary) {
	t.Helper()
	at := s.Endpoints[0].At
	start := SessionStart{Name: "n0", Seed: seed, At: at, Settings: s.Settings, Wall: time.Unix(0, 0)}
	rec := newRecorder(t, start, 1000+seed, opts)
	rec.NameHost(at, 1, "s-1")
	sum := s.Run(rec, at)
	rec.Flush()
	return rec, sum
}

// replayed returns the report of a replay.
func replayed(t testing.TB, data []byte) *Report {
	t.Helper()
	rep, err := Replay(NewReader(bytes.NewReader(data)), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// analyzed returns the analysis of a recording.
func analyzed(t testing.TB, data []byte, window Window) *Analysis {
	t.Helper()
	a, err := Analyze(bytes.NewReader(data), window)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// withOtherSeed replaces the start block of a recording by that of another seed, so that a replay decides differently
// than recorded, as if another build had made the recording.
func withOtherSeed(t testing.TB, data []byte, s *Simulation, seed, session uint64) []byte {
	t.Helper()
	var other bufferSink
	newRecorder(t, SessionStart{Seed: seed, At: s.Endpoints[0].At, Settings: s.Settings}, session, Options{Sink: &other})
	return append(other.Bytes(), data[firstBlockSize(t, data):]...)
}

// firstBlockSize returns the size of the first block, in bytes.
func firstBlockSize(t testing.TB, data []byte) int {
	t.Helper()
	var h header
	if !h.decode(data) {
		t.Fatal("no block at the start")
	}
	return headerSize + int(h.length)
}

// blockOffsets returns the offset of each block.
func blockOffsets(t testing.TB, data []byte) (at []int) {
	t.Helper()
	for n := 0; n < len(data); {
		at = append(at, n)
		n += firstBlockSize(t, data[n:])
	}
	return at
}

// faultyTraffic returns random traffic with each kind of fault that Fit models: a host that is down, one that is
// silent, a slow one, errors and unanswered attempts.
func faultyTraffic() *Simulation {
	s := randomTraffic(6, 6000)
	s.Settings.Instances = 1
	for _, h := range s.Hosts {
		h.Speed = 1
		h.ErrorShares = []float64{0.05, 0, 0}
		h.UnansweredShare = 0.01
	}
	s.Hosts[5].Speed = 0.5
	return s
}
