package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/experiment/faulttest"
	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/ratelimit"
	"dunemoor/internal/route"
)

// The parts that need one process of the program.
func init() {
	registerScale(&scalePart{Name: "routes", By: "route", Takes: "a minute", Run: scaleRoutes,
		About: "a file of so many routes over 250 pools of 20 hosts: CPU and memory of a start and of a reload, time of a look-up",
		Sizes: []int{1000, 3000, 10_000, 30_000, 55_000}, Small: []int{20, 60, 120, 200}})
	registerScale(&scalePart{Name: "pools", By: "pool", Takes: "half a minute", Run: scalePools,
		About: "so many pools of one host each: memory, CPU of a start, of a reload and at rest; and what the reader says beyond its cap",
		Sizes: []int{16, 32, 64, 128, 256}, Small: []int{2, 4, 8, 20}})
	registerScale(&scalePart{Name: "hosts", By: "host", Takes: "a minute", Run: scaleHosts,
		About: "one pool of so many hosts in a file: memory, CPU at rest and of a change of one host; the static list's cap",
		Sizes: []int{100, 300, 1000, 5000, 20_000, 60_000}, Small: []int{10, 20, 50, 100}})
	registerScale(&scalePart{Name: "module", By: "host", Takes: "half a minute", Run: scaleModule,
		About: "the module alone, in this process: memory a host, time of a whole list, of a change of one host and of a request",
		Sizes: []int{1000, 5000, 20_000, 60_000, 180_000}, Small: []int{10, 30, 60, 100}})
	registerScale(&scalePart{Name: "tenants", By: "tenant", Takes: "a quarter of a minute", Run: scaleTenants,
		About: "so many tenants in the file: memory and CPU of a start; the shares alone, in this process, up to all tenants",
		Sizes: []int{32, 64, 128, 256, 512, 1024}, Small: []int{4, 8, 16, 40}})
	registerScale(&scalePart{Name: "changes", By: "change", Takes: "half a minute", Run: scaleChanges,
		About: "so many reloads in five seconds, of 1,000 routes over 250 pools of 20 hosts: CPU by their rate",
		Sizes: []int{1, 2, 4, 8, 16}, Small: []int{1, 2, 5, 10}})
}

// What is asked of a gateway at the size to design for; ours are the figures of the operators' page.
const (
	askedRoutes  = 55_000
	askedPools   = 7700 // services
	askedHosts   = 180_000
	askedTenants = 680_000
	askedADay    = 19_000 // changes
)

// peakFactor is the busiest hour's changes over the mean hour's: people and their pipelines change
// things in some eight hours of the day (3), and in the busiest of these nearly twice as often as
// in the mean one. It is assumed, not measured.
const peakFactor = 5

// cpuTick is what /proc/PID/stat counts CPU in (USER_HZ, 100 a second on Linux).
const cpuTick = 10 * time.Millisecond

// gatewayProcess is the program with a file, in a process of its own.
type gatewayProcess struct {
	p      *faulttest.Process
	file   string
	listen string // where clients connect

	mu      sync.Mutex
	log     bytes.Buffer
	changed chan struct{}
}

// startWithin bounds a wait for the program to say something.
const startWithin = 3 * time.Minute

// startGateway writes a file and starts the program by it, and waits until it serves. Where the
// program ends instead, the error is what it said.
func startGateway(ctx context.Context, e *scaleEnv, text string, env ...string) (*gatewayProcess, error) {
	bin, err := e.Program(ctx)
	if err != nil {
		return nil, err
	}
	dir, err := e.Sub("gateway")
	if err != nil {
		return nil, err
	}
	_, listen, _ := strings.Cut(text, "[[listener]]\naddress = \"")
	listen, _, _ = strings.Cut(listen, "\"")
	g := &gatewayProcess{file: filepath.Join(dir, "box.toml"), listen: listen, changed: make(chan struct{})}
	if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if g.p, err = faulttest.StartProcess("box", bin, []string{"--appliance", g.file}, env, io.Discard, g.heard); err != nil {
		return nil, err
	}
	if err := g.said(ctx, "msg=serving", 1); err != nil {
		g.p.Kill()
		return nil, err
	}
	return g, nil
}

func (g *gatewayProcess) heard(line string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.WriteString(line + "\n")
	close(g.changed)
	g.changed = make(chan struct{})
}

// said waits until the log has a text so many times.
func (g *gatewayProcess) said(ctx context.Context, text string, times int) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for {
		g.mu.Lock()
		log, changed := g.log.String(), g.changed
		g.mu.Unlock()
		if strings.Count(log, text) >= times {
			return nil
		}
		select {
		case <-changed:
		case <-g.p.Done():
			return fmt.Errorf("the program ended: %.300s", strings.TrimSpace(log))
		case <-ctx.Done():
			return fmt.Errorf("the program does not say %q: %w", text, ctx.Err())
		}
	}
}

// cpu is what the process has used, of all its threads.
func (g *gatewayProcess) cpu() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.p.Pid()))
	if err != nil {
		return 0, err
	}
	// proc_pid_stat(5): utime and stime are the 14th and 15th; the second, in brackets, may hold anything.
	f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(f) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat: %d fields", g.p.Pid(), len(f))
	}
	user, err1 := strconv.ParseInt(f[11], 10, 64)
	system, err2 := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * cpuTick, errors.Join(err1, err2)
}

// memory is what the process holds, and held at most, in MB (2^20 bytes).
func (g *gatewayProcess) memory() (rss, most float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.p.Pid()))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		if name == "VmRSS" || name == "VmHWM" {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			if err != nil {
				return 0, 0, err
			}
			if name == "VmRSS" {
				rss = kb / 1024
			} else {
				most = kb / 1024
			}
		}
	}
	return rss, most, nil
}

// during is the CPU that the process uses while do runs.
func (g *gatewayProcess) during(do func() error) (time.Duration, error) {
	before, err := g.cpu()
	if err != nil {
		return 0, err
	}
	if err := do(); err != nil {
		return 0, err
	}
	after, err := g.cpu()
	return after - before, err
}

// reloads has the program read its file so many times, each once the last is in force.
func (g *gatewayProcess) reloads(ctx context.Context, done *int) error {
	if err := syscall.Kill(g.p.Pid(), syscall.SIGHUP); err != nil {
		return err
	}
	*done++
	return g.said(ctx, `msg="configuration reloaded"`, *done)
}

// reloadCost is the CPU of one reload: so many that the clock's ticks are a hundredth of what is
// measured, or five.
func (g *gatewayProcess) reloadCost(ctx context.Context, e *scaleEnv, done *int) (time.Duration, error) {
	n, most, enough := 0, 50, 100*cpuTick
	if e.Small {
		most = 2
	}
	cpu, err := g.during(func() error {
		began, err := g.cpu()
		for err == nil && n < most {
			if err = g.reloads(ctx, done); err != nil {
				break
			}
			n++
			var now time.Duration
			if now, err = g.cpu(); now-began >= enough && n >= 5 || now-began >= 5*time.Second {
				break
			}
		}
		return err
	})
	return cpu / time.Duration(max(n, 1)), err
}

// probeEvery is how often a probe asks, beside an answer's time: CPU of some 1% of a core.
const probeEvery = 20 * time.Millisecond

// probe asks for a path whose pool has no live host, one request at a time, until stop is called: it
// then gives the longest time to an answer, whatever that was. The gateway's loop answers it.
func (g *gatewayProcess) probe(ctx context.Context) (stop func() time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	worst := make(chan time.Duration, 1)
	go func() {
		client := http.Client{Timeout: startWithin}
		var most time.Duration
		for ctx.Err() == nil {
			began := time.Now()
			// Asked to its end, also where that lies behind the reload's.
			if q, err := http.NewRequest("GET", "http://"+g.listen+"/part-0/probe", nil); err == nil {
				q.Host = "shop-0.example.org"
				if resp, err := client.Do(q); err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
			most = max(most, time.Since(began))
			select {
			case <-ctx.Done():
			case <-time.After(probeEvery):
			}
		}
		worst <- most
	}()
	return func() time.Duration {
		cancel()
		return <-worst
	}
}

// resting is the CPU that the process uses in a second at rest, once what the start left has ended.
func (g *gatewayProcess) resting(e *scaleEnv) (time.Duration, error) {
	settle, wait := time.Second, 3*time.Second
	if e.Small {
		settle, wait = 0, 200*time.Millisecond
	}
	time.Sleep(settle)
	cpu, err := g.during(func() error { time.Sleep(wait); return nil })
	return time.Duration(float64(cpu) / wait.Seconds()), err
}

// boxText is a file's head. Its memory is so large that the collector is not pressed: what a size
// needs is asked, not how the program does with less.
func boxText() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return fmt.Sprintf("name = \"box\"\n[limits]\nmemory_mb = 4096\nsockets = 8192\n[[listener]]\naddress = %q\n"+
		"[[class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"10s\"\nworth = 1\n", ln.Addr()), nil
}

// hostAddr is an address of the loopback that nobody calls.
func hostAddr(i int) string { return fmt.Sprintf("127.%d.%d.%d:9", 100+i>>16, i>>8&255, i&255) }

func poolsText(pools, hosts int) string {
	var b strings.Builder
	for p := range pools {
		fmt.Fprintf(&b, "[[pool]]\nname = \"pool-%d\"\nmembers = [\n", p)
		for h := range hosts {
			fmt.Fprintf(&b, "  { id = \"p%d-h%d\", address = %q, zone = \"z%d\", cell = %d },\n", p, h, hostAddr(p*hosts+h), h%3, h/3)
		}
		b.WriteString("]\n")
	}
	return b.String()
}

// routeRules are routes over pools, ten paths to a name of a host.
func routeRules(n, pools int) (rules []route.Rule) {
	for i := range n {
		rules = append(rules, route.Rule{
			Name: fmt.Sprintf("route-%d", i), Line: i + 1, Hosts: []string{fmt.Sprintf("shop-%d.example.org", i/10)}, Path: fmt.Sprintf("/part-%d", i%10),
			Split: []route.Share{{Pool: fmt.Sprintf("pool-%d", i%pools), Weight: 1}},
		})
	}
	return rules
}

func routesText(n, pools int) string {
	var b strings.Builder
	for _, r := range routeRules(n, pools) {
		fmt.Fprintf(&b, "[[route]]\nname = %q\nhosts = [%q]\npath = %q\npool = %q\nclass = \"lookup\"\n", r.Name, r.Hosts[0], r.Path, r.Split[0].Pool)
	}
	return b.String()
}

// collected are the series of a part by name, in the order of their first point.
type collected struct {
	by    string
	asked float64
	list  []scaletest.Series
}

func (c *collected) add(size int, name, unit string, resolution, value float64) {
	for i := range c.list {
		if c.list[i].Name == name {
			c.list[i].Points = append(c.list[i].Points, scaletest.Point{Size: float64(size), Value: value})
			return
		}
	}
	c.list = append(c.list, scaletest.Series{Name: name, Unit: unit, By: c.by, TargetSize: c.asked, Resolution: resolution, Points: []scaletest.Point{{Size: float64(size), Value: value}}})
}

func (c *collected) cpu(size int, name string, d time.Duration, of int) {
	c.add(size, name, "CPU ms", float64(cpuTick.Milliseconds())/float64(max(of, 1)), float64(d.Microseconds())/1000)
}

// process measures a start by a text, what it holds, and its reloads.
func (c *collected) process(ctx context.Context, e *scaleEnv, size int, text string, reload, rest bool) error {
	fmt.Fprintf(e.Said, "%d %ss\n", size, c.by)
	g, err := startGateway(ctx, e, text)
	if err != nil {
		return fmt.Errorf("%d %ss: %w", size, c.by, err)
	}
	defer g.p.Kill()
	began, err := g.cpu()
	if err != nil {
		return err
	}
	rss, most, err := g.memory()
	if err != nil {
		return err
	}
	c.cpu(size, "start", began, 1)
	c.add(size, "resident after the start", "MB", 1, rss)
	c.add(size, "peak of the start", "MB", 1, most)
	if rest {
		d, err := g.resting(e)
		if err != nil {
			return err
		}
		c.cpu(size, "a second at rest", d, 3)
	}
	if !reload {
		return nil
	}
	done := 0
	stop := g.probe(ctx)
	d, err := g.reloadCost(ctx, e, &done)
	longest := stop()
	if err != nil {
		return err
	}
	c.add(size, "longest answer during reloads", "ms", 1, float64(longest.Microseconds())/1000)
	c.cpu(size, "a reload", d, done)
	if _, most, err = g.memory(); err != nil {
		return err
	}
	c.add(size, "peak with reloads", "MB", 1, most)
	return nil
}

const (
	manyPools  = 250
	hostsEach  = 20
	memoryNote = "memory_mb = 4096, so that the collector is not pressed; 1 MB is 2^20 bytes; CPU is of all threads, in ticks of 10 ms"
)

func scaleRoutes(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	c := &collected{by: "route", asked: askedRoutes}
	r := &scaletest.Report{Notes: []string{memoryNote, "the longest answer is of one request at a time to a pool without a live host, while reloads go on"}}
	pools := manyPools
	if e.Small {
		pools = 10
	}
	for _, n := range sizes {
		head, err := boxText()
		if err != nil {
			return nil, err
		}
		used := min(n, pools) // a pool that no route uses is refused
		if err := c.process(ctx, e, n, head+poolsText(used, hostsEach)+routesText(n, used), true, false); err != nil {
			return nil, err
		}
		ns, err := lookUp(n, used)
		if err != nil {
			return nil, err
		}
		c.add(n, "a look-up", "ns", 1, ns)
	}
	r.Series = c.list
	for _, s := range r.Series {
		f, err := s.Fit()
		if err != nil || f.Shape != scaletest.Power || f.Exponent < 1.5 {
			continue
		}
		where := map[string]string{
			"start":                         "internal/config/lines.go: Text.Line, which walks all tables, called for each route by checker.routes",
			"a reload":                      "Text.Line as at the start; and internal/engine/plan.go: Plan.adopt, which looks for each route among all old ones, in the engine's loop",
			"longest answer during reloads": "internal/engine/plan.go: Plan.adopt, in the engine's loop: nothing is decided meanwhile",
		}[s.Name]
		last := s.Points[len(s.Points)-1]
		r.Breaks = append(r.Breaks, scaletest.Break{By: "route", Size: last.Size, Where: where,
			What: fmt.Sprintf("%s grows by the power %.1f: %.0f %s", s.Name, f.Exponent, last.Value, s.Unit)})
	}
	return r, nil
}

// lookUp is the time of finding a route, in ns, over all routes in turn.
func lookUp(n, pools int) (float64, error) {
	var names []string
	for i := range pools {
		names = append(names, fmt.Sprintf("pool-%d", i))
	}
	rules := routeRules(n, pools)
	t, problems := route.Compile(rules, names)
	if len(problems) > 0 {
		return 0, problems[0]
	}
	const looks = 1 << 20
	asked := make([]route.Request, len(rules))
	for i, r := range rules {
		asked[(i*7919)%len(rules)] = route.Request{Host: r.Hosts[0], Path: r.Path + "/thing", Method: "GET"}
	}
	began := time.Now()
	for i := range looks {
		if q := &asked[i%len(asked)]; q.Host != "" && t.Match(q) == nil {
			return 0, fmt.Errorf("no route for %s%s", q.Host, q.Path)
		}
	}
	return float64(time.Since(began).Nanoseconds()) / looks, nil
}

func scalePools(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	c := &collected{by: "pool", asked: askedPools}
	r := &scaletest.Report{Notes: []string{memoryNote, "one host and one route a pool"}}
	for _, n := range sizes {
		head, err := boxText()
		if err != nil {
			return nil, err
		}
		if err := c.process(ctx, e, n, head+poolsText(n, 1)+routesText(n, n), true, true); err != nil {
			return nil, err
		}
	}
	r.Series = c.list
	const beyond = 257
	b, err := refusal(ctx, e, beyond, "pool", "internal/config/appliance.go: maxPools, read by checker.pools", poolsText(beyond, 1)+routesText(beyond, beyond))
	r.Breaks = append(r.Breaks, b...)
	return r, err
}

// refusal is what the program says of a file that goes beyond a cap; none where it serves.
func refusal(ctx context.Context, e *scaleEnv, size int, by, where, text string) ([]scaletest.Break, error) {
	head, err := boxText()
	if err != nil {
		return nil, err
	}
	g, err := startGateway(ctx, e, head+text)
	if err != nil {
		said := err.Error()
		if i := strings.Index(said, "box.toml:"); i >= 0 {
			said = said[i:]
		}
		return []scaletest.Break{{By: by, Size: float64(size), What: said, Where: where}}, nil
	}
	g.p.Kill()
	return nil, nil
}

// membersFile writes hosts in the form of discovery's whole list; the last is in the state given.
func membersFile(path string, n int, last string) error {
	var b bytes.Buffer
	b.WriteString(`{"version": 1, "full": true, "servers": [` + "\n")
	for i := range n {
		state, comma := "ready", ","
		if i == n-1 {
			state, comma = last, ""
		}
		fmt.Fprintf(&b, `{"id":"host-%d","addr":%q,"zone":"z%d","kind":"m","cell":%d,"state":%q}%s`+"\n", i, hostAddr(i), i%10, i/3, state, comma)
	}
	b.WriteString("]}\n")
	if err := os.WriteFile(path+".new", b.Bytes(), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func scaleHosts(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	c := &collected{by: "host", asked: askedHosts}
	r := &scaletest.Report{Notes: []string{memoryNote, "the program looks at the file once a second (fileEvery, internal/discovery/file.go) and reads it whole: that is its CPU at rest",
		"a change is CPU from the write of the file to the first second after it is in force, less as much at rest"}}
	dir, err := e.Sub("hosts")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "hosts.json")
	text := fmt.Sprintf("[[pool]]\nname = \"pool-0\"\nmembers_file = %q\n", path) + routesText(1, 1)
	changes := 3
	if e.Small {
		changes = 1
	}
	for _, n := range sizes {
		if err := scaleHostsAt(ctx, e, c, n, changes, path, text); err != nil {
			return nil, fmt.Errorf("%d hosts: %w", n, err)
		}
	}
	r.Series = c.list
	const static, file = 5001, askedHosts
	b, err := refusal(ctx, e, static, "host", "internal/config/appliance.go: maxMembers, read by checker.pools; static lists only",
		strings.ReplaceAll(poolsText(1, static), "p0-", "")+routesText(1, 1))
	r.Breaks = append(r.Breaks, b...)
	if err != nil || e.Small {
		return r, err
	}
	if err := membersFile(path, file, "ready"); err != nil {
		return r, err
	}
	info, err := os.Stat(path)
	if err != nil {
		return r, err
	}
	head, err := boxText()
	if err != nil {
		return r, err
	}
	g, err := startGateway(ctx, e, head+text)
	if err != nil {
		r.Breaks = append(r.Breaks, scaletest.Break{By: "host", Size: file, What: err.Error(), Where: "internal/discovery/file.go: fileMost"})
		return r, nil
	}
	defer g.p.Kill()
	// It serves without hosts where the list is refused, and says so.
	if err := g.said(ctx, "read endpoint file failed", 1); err == nil {
		r.Breaks = append(r.Breaks, scaletest.Break{By: "host", Size: file, What: fmt.Sprintf("a file of %d bytes is not read, the pool has no host", info.Size()), Where: "internal/discovery/file.go: fileMost, read by readMost"})
	}
	return r, nil
}

// scaleHostsAt measures one size.
func scaleHostsAt(ctx context.Context, e *scaleEnv, c *collected, n, changes int, path, text string) error {
	fmt.Fprintf(e.Said, "%d hosts\n", n)
	if err := membersFile(path, n, "ready"); err != nil {
		return err
	}
	head, err := boxText()
	if err != nil {
		return err
	}
	g, err := startGateway(ctx, e, head+text)
	if err != nil {
		return err
	}
	defer g.p.Kill()
	cpu, err := g.cpu()
	if err != nil {
		return err
	}
	rest, err := g.resting(e)
	if err != nil {
		return err
	}
	rss, most, err := g.memory()
	if err != nil {
		return err
	}
	c.cpu(n, "start", cpu, 1)
	c.add(n, "resident at rest", "MB", 1, rss)
	c.add(n, "peak of the start", "MB", 1, most)
	c.cpu(n, "a second at rest", rest, 3)
	began := time.Now()
	cpu, err = g.during(func() error {
		for i := range changes {
			if err := membersFile(path, n, []string{"draining", "ready"}[i%2]); err != nil {
				return err
			}
			if err := g.said(ctx, `msg="endpoint file loaded"`, i+1); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	cpu -= time.Duration(float64(rest) * time.Since(began).Seconds())
	c.cpu(n, "a change of one host", max(cpu, 0)/time.Duration(changes), changes)
	if _, most, err = g.memory(); err != nil {
		return err
	}
	c.add(n, "peak with changes", "MB", 1, most)
	return nil
}

// heapNow is what the heap holds, in bytes.
func heapNow() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func scaleModule(_ context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	c := &collected{by: "host", asked: askedHosts}
	r := &scaletest.Report{Notes: []string{"in this process, one thread; a request is Request, Drain, Outcome and Drain, its pick among all hosts"}}
	for _, n := range sizes {
		fmt.Fprintf(e.Said, "%d hosts in the module\n", n)
		hosts := make([]balancer.Host, n)
		for i := range hosts {
			hosts[i] = balancer.Host{ID: balancer.HostID(i + 1), Zone: i % 10, Cell: i / 3, Kind: 1}
		}
		before := heapNow()
		b, err := balancer.New(balancer.Settings{Instances: 1, Cancel: true, MaxAttempts: 4, Classes: []balancer.Class{{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}}}, 7)
		if err != nil {
			return nil, err
		}
		now := time.Minute
		b.Start(now)
		began := time.Now()
		b.UpdateEndpoints(now, balancer.ListFull, hosts)
		actions := b.TakeActions(nil)
		c.add(n, "the first list", "ms", 0.01, float64(time.Since(began).Microseconds())/1000)
		c.add(n, "memory of the module", "KB", 4, (heapNow()-before)/1024)
		rounds := 2000
		if e.Small {
			rounds = 50
		}
		began = time.Now()
		for i := range rounds {
			now += time.Millisecond
			h := hosts[(i/2*7919)%n]
			if i%2 == 0 {
				h.State = balancer.Draining
			}
			b.UpdateEndpoints(now, balancer.ListChanges, []balancer.Host{h})
			actions = b.TakeActions(actions[:0])
		}
		c.add(n, "a change of one host", "us", 0.1, float64(time.Since(began).Nanoseconds())/1e3/float64(rounds))
		began = time.Now()
		for i := range rounds / 10 {
			now += time.Millisecond
			if i%2 == 0 {
				hosts[n-1].State = balancer.Draining
			} else {
				hosts[n-1].State = balancer.Ready
			}
			b.UpdateEndpoints(now, balancer.ListFull, hosts)
			actions = b.TakeActions(actions[:0])
			if time.Since(began) > 2*time.Second {
				rounds = 10 * (i + 1)
				break
			}
		}
		c.add(n, "a whole list with one change", "ms", 0.001, float64(time.Since(began).Nanoseconds())/1e6/float64(rounds/10))
		requests := 200_000
		if e.Small {
			requests = 100
		}
		began = time.Now()
		for i := range requests {
			if time.Since(began) > 2*time.Second {
				requests = i
				break
			}
			now += 100 * time.Microsecond
			id := balancer.RequestID(i + 1)
			b.Request(now, balancer.Request{ID: id, Remaining: 10 * time.Second})
			actions = b.TakeActions(actions[:0])
			for _, a := range actions {
				if a.Kind == balancer.Send {
					b.AttemptEnded(now, balancer.Outcome{Request: a.Request, Attempt: a.Attempt, Result: balancer.OK, Elapsed: time.Millisecond, Closed: true})
				}
			}
			actions = b.TakeActions(actions[:0])
		}
		c.add(n, "a request", "ns", 10, float64(time.Since(began).Nanoseconds())/float64(requests))
		runtime.KeepAlive(b)
	}
	r.Series = c.list
	return r, nil
}

func tenantsText(n int) string {
	var b strings.Builder
	b.WriteString("[limits.tenants]\nrate = 100000\nconcurrent = 10000\n")
	for i := range n {
		fmt.Fprintf(&b, "[[tenant]]\nname = \"tenant-%d\"\n", i)
	}
	return b.String()
}

func scaleTenants(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	c := &collected{by: "tenant", asked: askedTenants}
	r := &scaletest.Report{Notes: []string{memoryNote}}
	for _, n := range sizes {
		head, err := boxText()
		if err != nil {
			return nil, err
		}
		if err := c.process(ctx, e, n, head+tenantsText(n)+poolsText(1, 1)+routesText(1, 1), true, false); err != nil {
			return nil, err
		}
	}
	alone := []int{32, 1024, 10_000, 100_000, askedTenants}
	if e.Small {
		alone = []int{1000, 3000, 10_000, 30_000}
	}
	for _, n := range alone {
		list := make([]ratelimit.Tenant, n)
		for i := range list {
			list[i] = ratelimit.Tenant{Name: fmt.Sprint("tenant-", i), Weight: 1}
		}
		before := heapNow()
		t := ratelimit.NewTenants(list, ratelimit.TenantLimits{Rate: 1e7, Concurrent: 1 << 20})
		c.add(n, "the shares alone: memory", "KB", 4, (heapNow()-before)/1024)
		runtime.KeepAlive(list) // it is in both
		now, asked, began := ratelimit.Time(0), 0, time.Now()
		for time.Since(began) < 200*time.Millisecond {
			now += ratelimit.Time(time.Millisecond)
			i := asked * 7919 % n
			if t.Begin(now, i) == ratelimit.Admitted {
				t.End(i)
			}
			asked++
		}
		runtime.KeepAlive(t)
		c.add(n, "the shares alone: a request", "us", 0.01, float64(time.Since(began).Nanoseconds())/1e3/float64(asked))
	}
	r.Series = c.list
	r.Notes = append(r.Notes, "a request of the shares alone: internal/fair/tenants.go, Tenants.fill walks all tenants at each, under the lock of all")
	const beyond = 1025
	b, err := refusal(ctx, e, beyond, "tenant", "internal/config/appliance.go: maxTenants, read by checker.fairness", tenantsText(beyond)+poolsText(1, 1)+routesText(1, 1))
	r.Breaks = append(r.Breaks, b...)
	return r, err
}

// changesFor is how long reloads come at a rate.
const changesFor = 5 * time.Second

func scaleChanges(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	peak := askedADay / (24 * time.Hour).Seconds() * peakFactor
	c := &collected{by: "change", asked: peak * changesFor.Seconds()}
	r := &scaletest.Report{Notes: []string{memoryNote,
		fmt.Sprintf("sizes are changes in %v; asked for: %d a day, the busiest hour %d times the mean one (assumed: working hours 3, the busiest of them nearly 2): %.2f a second", changesFor, askedADay, peakFactor, peak)}}
	routes, pools, length := 1000, manyPools, changesFor
	if e.Small {
		routes, pools, length = 20, 10, time.Second/2
	}
	head, err := boxText()
	if err != nil {
		return nil, err
	}
	text := head + poolsText(pools, hostsEach) + routesText(routes, pools)
	for _, n := range sizes {
		fmt.Fprintf(e.Said, "%d changes in %v\n", n, length)
		if err := scaleChangesAt(ctx, e, c, n, length, text, r); err != nil {
			return nil, err
		}
	}
	r.Series = c.list
	return r, nil
}

// scaleChangesAt has reloads come at even distances, each once the last is in force: more than one
// at a time the program would take for one (its signal waits in a channel of one place).
func scaleChangesAt(ctx context.Context, e *scaleEnv, c *collected, n int, length time.Duration, text string, r *scaletest.Report) error {
	g, err := startGateway(ctx, e, text)
	if err != nil {
		return err
	}
	defer g.p.Kill()
	late, done := 0, 0
	cpu, err := g.during(func() error {
		began := time.Now()
		for i := range n {
			next := began.Add(length * time.Duration(i) / time.Duration(n))
			if wait := time.Until(next); wait > 0 {
				time.Sleep(wait)
			} else if i > 0 {
				late++
			}
			if err := g.reloads(ctx, &done); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(began.Add(length)))
		return nil
	})
	if err != nil {
		return err
	}
	c.cpu(n, fmt.Sprintf("%v with so many reloads", length), cpu, 1)
	if late > 0 {
		r.Breaks = append(r.Breaks, scaletest.Break{By: "change", Size: float64(n), What: fmt.Sprintf("%d of them due before the last was in force; the program would take them for one", late),
			Where: "cmd/dunemoor/main.go: main, the channel hup of one place"})
	}
	return nil
}
