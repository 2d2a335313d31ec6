package main

import (
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor-review/kit"
)

const (
	fleetGateways = 3
	fleetHosts    = 6
	fleetRate     = 20               // requests a second at each gateway
	fleetWatch    = 25 * time.Second // how long sends are watched after the drain began
	drained       = "s-00"
	// told is the latest time at which a change counts as told, and grace the time after it in which sends to a host that
	// drains must stop, with the 50 ms of the real gateways.
	told  = 6 * time.Second
	grace = 500*time.Millisecond + 50*time.Millisecond
)

// fleetHost is a host that counts what it gets from each gateway.
type fleetHost struct {
	name   string
	record *kit.Record
	began  atomic.Int64 // Unix time in nanoseconds from which sends are recorded; 0: not yet
	mu     sync.Mutex
	last   map[string]time.Time // when a request from a gateway last came, by gateway
	count  map[string]int       // requests since the drain began, by gateway
}

func (h *fleetHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get("X-Gateway")
	if began := h.began.Load(); began > 0 {
		h.mu.Lock()
		h.last[from] = time.Now()
		h.count[from]++
		n := h.count[from]
		h.mu.Unlock()
		h.record.Logf("host %s: request %d from %s since the drain began", h.name, n, from)
	}
	time.Sleep(10 * time.Millisecond)
	io.WriteString(w, kit.HostAnswer(r.URL.Path, h.name))
}

// startFleetHosts starts the hosts and returns the first one, which will drain.
func startFleetHosts(record *kit.Record) (first *fleetHost, addrs []string, err error) {
	for i := range fleetHosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		h := &fleetHost{name: fmt.Sprintf("s-%02d", i), record: record, last: map[string]time.Time{}, count: map[string]int{}}
		if first == nil {
			first = h
		}
		go http.Serve(ln, h)
		addrs = append(addrs, ln.Addr().String())
	}
	return first, addrs, nil
}

// fleetFile is a gateway's file, in the form of deploy/fleet.toml.
func fleetFile(e *kit.Env, i int, listen, agent string, peers []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `name = "depot-%d"
[[listener]]
name = "web"
address = %q
[[class]]
name = "lookup"
effect = "safe"
aim = "1500ms"
deadline = "4s"
worth = 1
[[pool]]
name = "calendar"
discovery = %q
[[route]]
name = "calendar"
pool = "calendar"
class = "lookup"
methods = ["GET"]
request = { set = { X-Gateway = "depot-%d" } }
[fleet]
id = "glasgow"
listen = %q
data_dir = %q
key_file = %q
first = ["depot-1", "depot-2", "depot-3"]
`, i+1, listen, agent, i+1, peers[i], filepath.Join(e.Temp, fmt.Sprintf("data-%d", i+1)), filepath.Join(e.Temp, "fleet.key"))
	for k, p := range peers {
		fmt.Fprintf(&b, "[[fleet.peer]]\nname = \"depot-%d\"\nzone = \"hall-a\"\nmachine = \"m%d\"\n", k+1, k+1)
		if k != i {
			fmt.Fprintf(&b, "address = %q\n", p)
		}
	}
	return b.String()
}

// fleetRun is the state of the case.
type fleetRun struct {
	*kit.Env
	host     *fleetHost
	agents   []*kit.Discovery
	gateways []*kit.Gateway
}

func (f *fleetRun) stop() {
	for _, g := range f.gateways {
		g.Stop()
	}
}

// start starts hosts, agents and gateways.
func (f *fleetRun) start() error {
	var addrs, peers []string
	var err error
	if f.host, addrs, err = startFleetHosts(f.Record); err != nil {
		return err
	}
	secret := make([]byte, 32)
	rand.Read(secret)
	key := base64.StdEncoding.EncodeToString(secret)
	if err := os.WriteFile(filepath.Join(f.Temp, "fleet.key"), []byte(key), 0o600); err != nil {
		return err
	}
	for i := range fleetGateways {
		d, err := kit.StartDiscovery(f.Record, fmt.Sprintf("agent of depot-%d", i+1), kit.Members(addrs, 3))
		if err != nil {
			return err
		}
		f.agents = append(f.agents, d)
		peers = append(peers, kit.FreeAddress())
	}
	var starting sync.WaitGroup
	errs := make([]error, fleetGateways)
	f.gateways = make([]*kit.Gateway, fleetGateways)
	for i := range fleetGateways {
		starting.Go(func() {
			listen := kit.FreeAddress()
			f.gateways[i], errs[i] = f.StartAppliance(fmt.Sprintf("depot-%d", i+1), listen, fleetFile(f.Env, i, listen, f.agents[i].Addr, peers))
		})
	}
	starting.Wait()
	return errors.Join(errs...)
}

// holder waits until only one gateway watches its agent, as the holder of the lease for the list, for some seconds on end.
func (f *fleetRun) holder() (int, error) {
	since, last := time.Now(), -1
	for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		watching, at := 0, -1
		for i, a := range f.agents {
			if a.OpenWatches() > 0 {
				watching, at = watching+1, i
			}
		}
		if watching != 1 || at != last {
			since, last = time.Now(), at
		}
		if watching == 1 && time.Since(since) > 4*time.Second {
			return at, nil
		}
	}
	return 0, errors.New("no single gateway watches discovery")
}

// load sends requests to all gateways until stop is closed.
func (f *fleetRun) load(stop chan struct{}, wait *sync.WaitGroup) {
	client := &http.Client{Timeout: 5 * time.Second}
	for _, g := range f.gateways {
		wait.Go(func() {
			ticker := time.NewTicker(time.Second / fleetRate)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				wait.Go(func() {
					resp, err := client.Get(fmt.Sprintf("http://%s/days/%d", g.Addr, n))
					if err != nil {
						f.Record.Logf("client: %s: %v", g.Name, err)
						return
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode != http.StatusOK {
						f.Record.Logf("client: %s: status %d", g.Name, resp.StatusCode)
					}
				})
			}
		})
	}
}

func init() { cases["fleet"] = fleetCase }

// fleetCase: the agent of the gateway that watches discovery for the fleet falls silent, and then a host begins to drain.
func fleetCase(e *kit.Env) (int, error) {
	f := &fleetRun{Env: e}
	defer f.stop()
	if err := f.start(); err != nil {
		return 0, err
	}
	holder, err := f.holder()
	if err != nil {
		return 0, err
	}
	e.Record.Logf("depot-%d watches discovery for the fleet", holder+1)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	f.load(stop, &wait)
	time.Sleep(3 * time.Second)
	if e.Trouble {
		e.Record.Logf("the agent of depot-%d falls silent", holder+1)
		f.agents[holder].Silent.Store(true)
	}
	time.Sleep(time.Second)
	began := time.Now()
	f.host.began.Store(began.UnixNano())
	for _, a := range f.agents {
		if !a.Silent.Load() {
			a.SetState(drained, "draining")
		}
	}
	time.Sleep(fleetWatch)
	close(stop)
	wait.Wait()
	return f.judge(holder, began), nil
}

// judge looks at the gateways whose agents have the change: their sends to the host must have stopped.
func (f *fleetRun) judge(holder int, began time.Time) int {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	broken := false
	var text []string
	for i := range f.gateways {
		if f.Trouble && i == holder {
			continue // its agent has learned nothing
		}
		name := fmt.Sprintf("depot-%d", i+1)
		after := time.Duration(0)
		if last, ok := f.host.last[name]; ok {
			after = last.Sub(began)
		}
		text = append(text, fmt.Sprintf("%s sent %d requests to %s after its agent had the drain, the last %.3f s after", name, f.host.count[name], drained, after.Seconds()))
		broken = broken || after > told+grace
	}
	return f.Record.Verdict(broken, "%s", strings.Join(text, "; "))
}
