package discovery_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
)

// Changes count as told 6 s after discovery had them and could be reached, whatever calls failed
// before; toldWithin is what the gateway has to keep of that, for its own work and discovery's.
const toldWithin = 4500 * time.Millisecond

// leastGrace is what settings give for drains at the least: what an agent has counts as told without a
// watch, so one must be there within it.
const leastGrace = 500 * time.Millisecond

const (
	wholeList = `{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"ready"},{"id":"s-2","addr":"127.0.0.1:2","state":"ready"}]}`
	changes   = `{"version":2,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"draining"}]}`
	leftOut   = `{"version":2,"full":true,"servers":[{"id":"s-2","addr":"127.0.0.1:2","state":"ready"}]}`
	answers   = "HTTP/1.1 200 OK\r\n\r\n"
)

// service is a scripted discovery, in memory and virtual time. Its calls fail from down on; at back
// it can be reached again, and has a change.
type service struct {
	began      time.Time
	down, back time.Duration
	fails      failing
	silent     bool          // watches that are open at down fall silent, else they end
	leavesOut  bool          // the first answer to a call is the whole list, without hosts that drain
	turn       chan struct{} // if set, holds an item while a call is worked on, for turnTime
	served     sync.WaitGroup

	mu    sync.Mutex
	calls []time.Duration // since began
	once  bool            // the first call fails, no other
	first time.Duration   // since began, before which all calls fail
}

// called is when calls came.
func (s *service) called() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// turnTime is what a discovery that is one for all takes for a call.
const turnTime = 2 * time.Millisecond

// failing is how calls fail: as they connect, or once the request has come.
type failing struct {
	dial  func(ctx context.Context) error
	call  func(c net.Conn)
	hangs bool // it shows only with time
	older bool // it tells of an older version
}

// call counts a call and says whether it fails.
func (s *service) call() (fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Since(s.began)
	s.calls = append(s.calls, at)
	return at < s.first || s.once && len(s.calls) == 1 || at >= s.down && at < s.back
}

func (s *service) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	bad := s.call()
	if bad && s.fails.dial != nil {
		return nil, s.fails.dial(ctx)
	}
	ours, theirs := net.Pipe()
	s.served.Go(func() {
		defer theirs.Close()
		r, err := http.ReadRequest(bufio.NewReader(theirs))
		switch {
		case err != nil:
		case bad && s.fails.call != nil:
			s.fails.call(theirs)
		default:
			s.watch(theirs, r.FormValue("index"))
		}
	})
	return ours, nil
}

// watch is one that works, until the service is down.
func (s *service) watch(c net.Conn, index string) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	out := httputil.NewChunkedWriter(c)
	line := func(text string) bool { _, err := io.WriteString(out, text+"\n"); return err == nil }
	if s.turn != nil {
		s.turn <- struct{}{}
		time.Sleep(turnTime)
		<-s.turn
	}
	after := time.Since(s.began) >= s.back
	switch {
	case after && s.leavesOut:
		line(leftOut)
	case after && index == "0":
		line(wholeList)
		line(changes)
	case after:
		line(changes)
	case index == "0":
		line(wholeList)
	}
	for tick := time.NewTicker(discovery.Heartbeat); ; {
		down := time.NewTimer(s.down - time.Since(s.began))
		if after {
			down.Stop()
		}
		select {
		case <-tick.C:
			if !line("") {
				return
			}
		case <-down.C:
			if s.silent {
				io.Copy(io.Discard, c)
			}
			return
		}
	}
}

// hung takes what comes and says no more.
func hung(says string) failing {
	return failing{hangs: true, call: func(c net.Conn) {
		io.WriteString(c, says)
		io.Copy(io.Discard, c)
	}}
}

// ended says something and ends the connection.
func ended(says string) failing {
	return failing{call: func(c net.Conn) { io.WriteString(c, says) }}
}

// failings is every way in which a call to discovery comes to nothing.
var failings = []struct {
	name string
	failing
}{
	{"refused", failing{dial: func(context.Context) error { return syscall.ECONNREFUSED }}},
	{"no descriptor", failing{dial: func(context.Context) error { return syscall.EMFILE }}},
	{"hung as it connects", failing{hangs: true, dial: func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, discovery.WatchDial)
		defer cancel()
		<-ctx.Done()
		return ctx.Err()
	}}},
	{"reset", ended("")},
	{"503", ended("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")},
	{"503 whose body hangs", hung("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\n")},
	{"hung", hung("")},
	{"hung in the head", hung("HTTP/1.1 200 OK\r\nTransfer-")},
	{"hung behind the head", hung(answers)},
	{"hung in a list", hung(answers + changes[:40])},
	{"trickling", failing{hangs: true, call: func(c net.Conn) {
		io.WriteString(c, answers)
		for i := 0; ; i++ {
			if _, err := io.WriteString(c, " {\"version\":"[min(i, 11):min(i, 11)+1]); err != nil {
				return
			}
			time.Sleep(discovery.Heartbeat / 4)
		}
	}}},
	{"ended behind the head", ended(answers)},
	{"ended behind a heartbeat", ended(answers + "\n")},
	{"ended in a list", ended(answers + changes[:40])},
	{"garbled", hung(answers + "no list\n")},
	{"of an older version", failing{older: true, hangs: true, call: hung(answers + `{"version":0,"full":false,"servers":[]}` + "\n").call}},
}

// gateway is the part of one that follows the list: watcher, engine and module.
type gateway struct {
	watcher *discovery.Watcher
	drains  chan time.Time // when s-1 was told to take nothing new
}

func (g *gateway) Run(context.Context) {}

func (g *gateway) Host(id string) engine.Endpoint { return &endpoint{g, id} }

type endpoint struct {
	g  *gateway
	id string
}

func (h *endpoint) Update(_ string, _ int64, usable bool) {
	if h.id == "s-1" && !usable {
		select {
		case h.g.drains <- time.Now():
		default: // once is enough
		}
	}
}

func (h *endpoint) CloseIdle() {}

func (h *endpoint) Attempt(context.Context, *engine.Request) engine.Result { return engine.Result{} }

// mode is how lists come.
type mode struct {
	name      string
	ask       bool
	askWithin time.Duration
}

var modes = []mode{{"pushed", false, 0}, {"asked for", true, 10 * time.Second}, {"asked for within a minute", true, time.Minute}}

type dial func(ctx context.Context, network, addr string) (net.Conn, error)

// quietly has what hundreds of gateways log not written.
func quietly(t *testing.T) {
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(was) })
}

// startGateway starts one of so many, which knows two hosts.
func startGateway(ctx context.Context, t *testing.T, m mode, rank, of int, discoveryBy dial, all *sync.WaitGroup) *gateway {
	g := &gateway{drains: make(chan time.Time, 1), watcher: discovery.NewWatcher("discovery:1", m.ask, 1)}
	g.watcher.DialBy(discoveryBy)
	seed := uint64(rank) // the same every time
	e := engine.New(seed)
	p, err := e.NewPool(engine.PoolConfig{
		Settings: balancer.Settings{
			Instances: of, Rank: rank, Poll: m.ask, PollTimeout: m.askWithin,
			Classes: []balancer.Class{{LatencyObjective: time.Second, Deadline: time.Second}},
		},
		Seed: seed, Transport: g, Poll: g.watcher.Poll,
	})
	if err != nil {
		t.Fatal(err)
	}
	p.UpdateEndpoints(balancer.ListSaved, discovery.MemberList{Version: 1, Servers: []discovery.Member{
		{ID: "s-1", Addr: "127.0.0.1:1", State: "ready"}, {ID: "s-2", Addr: "127.0.0.1:2", State: "ready"},
	}})
	all.Go(func() { e.Run(ctx) })
	all.Go(func() { g.watcher.Run(ctx, p) })
	return g
}

// Whatever way calls fail in, at the start or later, for however short or long, a change is acted on
// in time from when discovery can be reached, at any gateway of many. Where lists are asked for the
// module's own wait is in it.
func TestToldAfterFailedCalls(t *testing.T) {
	quietly(t)
	// So many of the fleet's gateways a case, its first and last among them. With 50 the race detector itself
	// failed once in twelve runs (CHECK in tsan_rtl.cpp), as thousands of goroutines came and went.
	const fleet, each = 300, 12
	for _, m := range modes {
		for _, f := range failings {
			t.Run(m.name+"/"+f.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var all sync.WaitGroup
					worst := time.Duration(0)
					services, gateways := make([]*service, each), make([]*gateway, each)
					for i := range each {
						s := &service{began: time.Now(), fails: f.failing, leavesOut: i%2 > 0}
						if i%3 > 0 {
							s.down = 20*time.Second + time.Duration(i)*7*time.Millisecond
						}
						s.back = s.down + time.Duration(i)*1081*time.Millisecond // 0 to 12 s
						services[i], gateways[i] = s, startGateway(ctx, t, m, (fleet-1)*i/(each-1), fleet, s.dial, &all)
					}
					for i, g := range gateways {
						took := (<-g.drains).Sub(services[i].began) - services[i].back
						if worst = max(worst, took); took >= toldWithin {
							t.Errorf("gateway %d: down at %v for %v, told %v after, want less than %v", i, services[i].down, services[i].back-services[i].down, took, toldWithin)
							break
						}
					}
					if t.Logf("%v at most", worst); !m.ask && !f.hangs && worst >= leastGrace {
						t.Errorf("told %v after discovery is back, want less than %v where lists are pushed", worst, leastGrace)
					}
					cancel()
					all.Wait()
					for _, s := range services {
						s.served.Wait()
					}
				})
			})
		}
	}
}

// movedWithin is what a gateway has to keep of the 4 s after which what the new discovery has counts
// as told.
const movedWithin = 3500 * time.Millisecond

// Discovery moves, while the watch of the old one works or has fallen silent, at any moment: what the
// new one has is acted on in time though the first call there fails.
func TestToldAfterAMove(t *testing.T) {
	quietly(t)
	const each = 24
	for _, m := range modes {
		for _, f := range failings {
			if f.older {
				continue // than the whole list, which is asked for here, nothing is
			}
			t.Run(m.name+"/"+f.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var all, moves sync.WaitGroup
					services := make([]*service, 0, 2*each)
					took := make([]time.Duration, each)
					for i := range each {
						before := &service{began: time.Now(), down: time.Hour, back: 2 * time.Hour}
						if i%2 > 0 {
							before.down, before.silent = 20*time.Second, true
						}
						after := &service{began: time.Now(), fails: f.failing, once: true, leavesOut: i%4 > 1}
						g := startGateway(ctx, t, m, i, each, func(ctx context.Context, network, addr string) (net.Conn, error) {
							if addr == "discovery:2" {
								return after.dial(ctx, network, addr)
							}
							return before.dial(ctx, network, addr)
						}, &all)
						services = append(services, before, after)
						moves.Go(func() {
							time.Sleep(20*time.Second + time.Duration(i)*110*time.Millisecond)
							at := time.Now()
							g.watcher.SetAddress("discovery:2")
							took[i] = (<-g.drains).Sub(at)
						})
					}
					moves.Wait()
					worst := slices.Max(took)
					if t.Logf("%v at most", worst); worst >= movedWithin {
						t.Errorf("told %v after the move, want less than %v", worst, movedWithin)
					}
					cancel()
					all.Wait()
					for _, s := range services {
						s.served.Wait()
					}
				})
			})
		}
	}
}

// Discovery comes up late, and has nothing new. After a long good time all open watches of a fleet fall silent in one instant, or end, and a host
// drains right behind it: all gateways act on it in time, also where one discovery works through the
// calls of all in turn, and they do not come to it all at once.
func TestAllWatchesAreLostLate(t *testing.T) {
	quietly(t)
	const fleet, late, moment = 100, 2 * time.Minute, 100 * time.Millisecond
	for _, m := range modes {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/silent %v", m.name, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var all sync.WaitGroup
					one := &service{began: time.Now(), down: late, back: late + time.Millisecond, silent: silent, fails: failings[0].failing, first: 20 * time.Second, turn: make(chan struct{}, 1)}
					services, gateways := []*service{one}, make([]*gateway, fleet)
					for i := range gateways {
						s := one
						if !m.ask { // an agent each
							s = &service{began: one.began, down: one.down, back: one.back, silent: silent, fails: one.fails, first: one.first}
							services = append(services, s)
						}
						gateways[i] = startGateway(ctx, t, m, i, fleet, s.dial, &all)
					}
					worst := time.Duration(0)
					for _, g := range gateways {
						worst = max(worst, (<-g.drains).Sub(one.began)-late)
					}
					if t.Logf("%v at most", worst); worst >= toldWithin {
						t.Errorf("told %v after the watches were lost, want less than %v", worst, toldWithin)
					}
					calls := slices.DeleteFunc(one.called(), func(at time.Duration) bool { return at < late })
					if m.ask && len(calls) != fleet {
						t.Errorf("%d calls of %d gateways, want one each", len(calls), fleet)
					}
					for i, at := range calls {
						n := 0
						for n < len(calls)-i && calls[i+n]-at < moment {
							n++
						}
						if n > fleet/3 {
							t.Fatalf("%d calls within %v, at %v, of %d gateways", n, moment, at, fleet)
						}
					}
					cancel()
					all.Wait()
					for _, s := range services {
						s.served.Wait()
					}
				})
			})
		}
	}
}

// failures is a Sink that counts the calls that failed.
type failures struct{ n atomic.Int64 }

func (f *failures) UpdateEndpoints(kind balancer.ListKind, _ discovery.MemberList) {
	if kind == balancer.ListFailed {
		f.n.Add(1)
	}
}

// Where lists are asked for, a call is made for each question that the module has when none is under
// way, and for a move; not for questions that a call under way has answered, nor twice for a move.
func TestCallsAreOnlyThoseAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		before := &service{began: time.Now(), down: time.Hour, back: 2 * time.Hour}
		after := &service{began: time.Now(), down: 5 * time.Minute, back: time.Hour, fails: ended("")}
		w, told := discovery.NewWatcher("discovery:1", true, 1), &failures{}
		w.DialBy(func(ctx context.Context, network, addr string) (net.Conn, error) {
			if addr == "discovery:2" {
				return after.dial(ctx, network, addr)
			}
			return before.dial(ctx, network, addr)
		})
		all.Go(func() { w.Run(ctx, told) })
		expect := func(what string, a, b, failed int) {
			t.Helper()
			time.Sleep(time.Minute)
			synctest.Wait()
			if x, y, z := len(before.called()), len(after.called()), int(told.n.Load()); x != a || y != b || z != failed {
				t.Errorf("%s: %d and %d calls, told of %d that failed, want %d, %d and %d", what, x, y, z, a, b, failed)
			}
		}
		expect("not asked", 0, 0, 0)
		w.Poll()
		expect("asked", 1, 0, 0)
		w.Poll()
		w.SetAddress("discovery:2")
		expect("moved", 1, 1, 0)
		time.Sleep(3 * time.Minute) // the watch there ends
		expect("lost", 1, 1, 1)
		w.Poll()
		expect("asked again", 1, 2, 2)
		cancel()
		all.Wait()
		before.served.Wait()
		after.served.Wait()
	})
}
