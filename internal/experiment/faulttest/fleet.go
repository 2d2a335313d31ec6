package faulttest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// Options are what a fleet of processes is made of.
type Options struct {
	Bin      string // the program
	Dir      string // for files, disks and logs
	Gateways int
	Keepers  int // that hold the record at first
	Nodes    int // stand-in hosts, told by a stand-in of discovery
	Seed     uint64
	Env      []string
	Relays   int  // the first so many gateways are relays, which serve nobody; 0: all are connected with all
	NoCheck  bool // nobody tries hosts that are down for the others
}

// Status is what of a gateway's own account of the fleet is checked here.
type Status struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Disk    uint64 `json:"disk"`
	Role    string `json:"role"`
	Why     string `json:"why"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	Session uint64 `json:"session"`
	Expires int64  `json:"expires_in_ms"`
	Members []struct {
		Name    string `json:"name"`
		Session uint64 `json:"session"`
	} `json:"members"`
	Duties []struct {
		Name  string `json:"name"`
		Owner string `json:"owner"`
		Token uint64 `json:"token"`
		Since uint64 `json:"since"`
	} `json:"duties"`
	Keepers []struct {
		Replica uint64 `json:"replica"`
		Name    string `json:"name"`
		Learner bool   `json:"learner"`
	} `json:"keepers"`
	Sessions int `json:"sessions"`
	Words    []struct {
		Pool string `json:"pool"`
		Host string `json:"host"`
	} `json:"words"`
	Relay struct {
		Name  string `json:"name"`
		Moves uint64 `json:"moves"`
	} `json:"relay"`
	Streams struct {
		Streams int            `json:"streams"`
		Routes  int            `json:"routes"`
		Relays  map[string]int `json:"relays"`
	} `json:"streams"`
}

// Token is that of a duty as a gateway knows it; 0: it knows of none.
func (s *Status) Token(duty string) uint64 {
	for _, d := range s.Duties {
		if d.Name == duty {
			return d.Token
		}
	}
	return 0
}

// Gateway is one of the fleet's, with its machine's files.
type Gateway struct {
	Name   string
	f      *Fleet
	dir    string
	listen string // for clients
	admin  string
	fleet  string // for other gateways
	file   string

	mu      sync.Mutex
	process *Process
	stopped bool
}

// Fleet is several processes of the program with all that is round them.
type Fleet struct {
	Options
	Gateways []*Gateway
	Hosts    *fakes.Fleet
	History  *History
	links    map[[2]int]*Link
	log      *os.File
	client   http.Client
}

// key is the fleet's, of the test's own making.
const key = "this key is of a test and of nothing else"

// Ports for gateways lie below those that the system gives to connections that go out (from 32768
// on, ip(7)): one of these could take a port while its gateway is down.
const portLeast, portMost = 20000, 32000

// reserve finds free ports, on an address of the loopback that is drawn: no other fleet on this
// machine has it, which could take a port while its gateway is down.
func reserve(n int) (list []string, err error) {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	for port := portLeast; len(list) < n && port < portMost; port++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			continue // it is taken
		}
		ln.Close()
		list = append(list, ln.Addr().String())
	}
	if len(list) < n {
		return nil, fmt.Errorf("nemesis: no %d ports of %s are free from %d to %d", n, host, portLeast, portMost)
	}
	return list, nil
}

// New lays out a fleet: files, links, hosts and discovery. No gateway is started.
func New(o Options) (*Fleet, error) {
	f := &Fleet{Options: o, links: map[[2]int]*Link{}, client: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	var err error
	if f.log, err = os.Create(filepath.Join(o.Dir, "log")); err != nil {
		return nil, err
	}
	if f.History, err = NewHistory(filepath.Join(o.Dir, "history.jsonl")); err != nil {
		return nil, err
	}
	if f.Hosts, err = fakes.StartFleet(o.Nodes, o.Seed, fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8}); err != nil {
		return nil, err
	}
	ports, err := reserve(3 * o.Gateways)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "key"), []byte(key), 0o600); err != nil {
		return nil, err
	}
	for i := range o.Gateways {
		g := &Gateway{Name: fmt.Sprintf("g%d", i+1), f: f, listen: ports[3*i], admin: ports[3*i+1], fleet: ports[3*i+2]}
		g.dir = filepath.Join(o.Dir, g.Name)
		g.file = filepath.Join(o.Dir, g.Name+".toml")
		f.Gateways = append(f.Gateways, g)
	}
	for i, g := range f.Gateways {
		for k, other := range f.Gateways {
			if i == k || k >= o.Relays && o.Relays > 0 {
				continue
			}
			if f.links[[2]int{i, k}], err = NewLink(other.fleet); err != nil {
				return nil, err
			}
		}
		if err := os.WriteFile(g.file, []byte(f.text(i)), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// text is the file of a gateway.
func (f *Fleet) text(i int) string {
	g := f.Gateways[i]
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nadmin = %q\n", g.Name, g.admin)
	if i >= f.Relays {
		f.serving(&b, g)
	}
	var first []string
	for _, o := range f.Gateways[:f.Keepers] {
		first = append(first, fmt.Sprintf("%q", o.Name))
	}
	fmt.Fprintf(&b, "[fleet]\nid = \"trial\"\ndata_dir = %q\nkey_file = %q\nfirst = [%s]\n",
		g.dir, filepath.Join(f.Dir, "key"), strings.Join(first, ", "))
	if i < f.Relays || f.Relays == 0 {
		fmt.Fprintf(&b, "listen = %q\n", g.fleet)
	}
	for k, o := range f.Gateways {
		switch link := f.links[[2]int{i, k}]; {
		case f.Relays > 0 && i == k && i < f.Relays:
			fmt.Fprintf(&b, "[[fleet.relay]]\nname = %q\naddress = %q\n", o.Name, o.fleet)
		case link == nil:
		case f.Relays > 0:
			fmt.Fprintf(&b, "[[fleet.relay]]\nname = %q\naddress = %q\n", o.Name, link.Addr())
		default:
			fmt.Fprintf(&b, "[[fleet.peer]]\nname = %q\naddress = %q\n", o.Name, link.Addr())
		}
	}
	return b.String()
}

// serving writes what a gateway's file has for requests.
func (f *Fleet) serving(b *strings.Builder, g *Gateway) {
	fmt.Fprintf(b, "[[listener]]\naddress = %q\n", g.listen)
	for _, c := range fakes.DefaultClasses() {
		effect := [...]string{"safe", "keyed", "unsafe"}[c.Idempotency]
		fmt.Fprintf(b, "[[class]]\nname = %q\neffect = %q\naim = \"2s\"\ndeadline = \"10s\"\nworth = 1\n", c.Name, effect)
		if c.DedupWindow > 0 {
			fmt.Fprintf(b, "group = \"cell\"\nwindow = %q\n", c.DedupWindow)
		}
	}
	check := "check = \"/alive\"\n"
	if f.NoCheck {
		check = ""
	}
	fmt.Fprintf(b, "[[pool]]\nname = \"calendar\"\ndiscovery = %q\n"+check+"[[route]]\nname = \"all\"\npool = \"calendar\"\n", f.Hosts.Discovery.Addr())
}

// Start starts a gateway's process.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		return fmt.Errorf("%s runs already", g.Name)
	}
	env := append([]string{"DUNEMOOR_STOP_FILE=" + g.order(), "DUNEMOOR_STUCK_FILE=" + g.stuck(), "DUNEMOOR_CLOCK_FILE=" + g.file + ".clock"}, g.f.Env...)
	p, err := StartProcess(g.Name, g.f.Bin, []string{"--appliance", g.file}, env, g.f.log, func(line string) { g.f.History.heard(g.Name, line) })
	if err != nil {
		return err
	}
	g.process, g.stopped = p, false
	g.f.History.fault("start", g.Name)
	return nil
}

// Kill ends a gateway's process at once.
func (g *Gateway) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		g.f.History.fault("kill", g.Name)
		g.process.Kill()
		g.process, g.stopped = nil, false
	}
}

// Stop stops a gateway's process where it is.
func (g *Gateway) Stop() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil || g.stopped {
		return nil
	}
	g.f.History.fault("stop", g.Name)
	g.stopped = true
	return g.process.Stop()
}

// Jump sets the clock on a gateway's wall off by so much, in a build whose clock can jump, and
// waits until it is.
func (g *Gateway) Jump(ctx context.Context, by time.Duration) error {
	said := len(g.f.Log())
	g.f.History.fault("clock", g.Name)
	if err := os.WriteFile(g.file+".clock.new", fmt.Appendf(nil, "%d\n", int64(by.Seconds())), 0o600); err != nil {
		return err
	}
	if err := os.Rename(g.file+".clock.new", g.file+".clock"); err != nil {
		return err
	}
	want := fmt.Sprintf("%s the clock is off by %d s", g.Name, int64(by.Seconds()))
	return g.f.Until(ctx, want, handsMost, func() bool { return strings.Contains(g.f.Log()[said:], want) })
}

// order is the file by which a gateway is told to stop at a place.
func (g *Gateway) order() string { return g.file + ".stop" }

// stuck is the file as long as which is there its writes do not come to last, in a build with the
// tag failpoints.
func (g *Gateway) stuck() string { return g.file + ".stuck" }

// Full has a gateway's disk take no more to the log of its record, or as much as it likes.
func (g *Gateway) Full(on bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return nil
	}
	if !on {
		return g.process.FileMost(-1)
	}
	logs, err := filepath.Glob(filepath.Join(g.dir, "log-*"))
	if err != nil || len(logs) == 0 {
		return fmt.Errorf("no log in %s: %v", g.dir, err)
	}
	info, err := os.Stat(logs[0])
	if err != nil {
		return err
	}
	g.f.History.fault("full", g.Name)
	return g.process.FileMost(info.Size())
}

// StopAt has a gateway's process stop where it comes by a place the next time, and waits for it:
// of a build with the tag failpoints, started with DUNEMOOR_STOP_AT naming the place.
func (g *Gateway) StopAt(ctx context.Context, place string) error {
	if err := os.WriteFile(g.order(), nil, 0o600); err != nil {
		return err
	}
	_, _, err := g.f.History.Wait(ctx, g.f.History.Len(), func(e Event) bool { return e.Kind == Stopped && e.Gateway == g.Name && e.Cause == place })
	if err != nil && os.Remove(g.order()) == nil { // else it has just taken the order
		return fmt.Errorf("%s does not come by %s: %w", g.Name, place, err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	return nil
}

// Continue has it go on.
func (g *Gateway) Continue() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil || !g.stopped {
		return nil
	}
	g.f.History.fault("continue", g.Name)
	g.stopped = false
	return g.process.Continue()
}

// Terminate ends a gateway in order and returns its exit code.
func (g *Gateway) Terminate(most time.Duration) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return 0, errors.New("it does not run")
	}
	g.f.History.fault("terminate", g.Name)
	p := g.process
	if err := p.Terminate(); err != nil {
		return 0, err
	}
	select {
	case <-p.Ended():
		g.process = nil
		return p.Code(), nil
	case <-time.After(most):
		return 0, fmt.Errorf("%s has not ended %v after SIGTERM", g.Name, most)
	}
}

// Runs says whether a gateway's process runs and is not stopped.
func (g *Gateway) Runs() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process != nil && !g.stopped
}

// Crashed says whether a gateway's process has ended by itself.
func (g *Gateway) Crashed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return false
	}
	select {
	case <-g.process.Ended():
		return true
	default:
		return false
	}
}

// Wipe empties the disk of a gateway that is down.
func (g *Gateway) Wipe() error {
	g.f.History.fault("wipe", g.Name)
	return os.RemoveAll(g.dir)
}

// Copy keeps a copy of the disk as it is, and Restore puts it in the disk's place.
func (g *Gateway) Copy() error {
	os.RemoveAll(g.dir + ".copy")
	return os.CopyFS(g.dir+".copy", os.DirFS(g.dir))
}

// Restore puts the copy that was kept in the place of the disk, of a gateway that is down.
func (g *Gateway) Restore() error {
	g.f.History.fault("restore", g.Name)
	if err := os.RemoveAll(g.dir); err != nil {
		return err
	}
	return os.CopyFS(g.dir, os.DirFS(g.dir+".copy"))
}

// URL is where clients ask.
func (g *Gateway) URL() string { return "http://" + g.listen }

// Status is a gateway's own account of the fleet.
func (g *Gateway) Status() (*Status, error) {
	resp, err := g.f.client.Get("http://" + g.admin + "/admin/fleet")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	s := &Status{}
	if err := json.NewDecoder(resp.Body).Decode(s); err != nil {
		return nil, err
	}
	return s, nil
}

// Call is an operator's call at a gateway, like "move?duty=..&to=..".
func (g *Gateway) Call(what string, with url.Values) (int, string, error) {
	resp, err := g.f.client.Post("http://"+g.admin+"/admin/fleet/"+what+"?"+with.Encode(), "", nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// Cut holds back all that goes from one gateway to another, or lets it go on.
func (f *Fleet) Cut(from, to *Gateway, on bool) {
	what := "heal"
	if on {
		what = "cut"
	}
	f.History.fault(what, from.Name, to.Name)
	if l := f.Link(from, to); l != nil {
		l.Cut(on)
	} else if l := f.Link(to, from); l != nil { // a relay to a gateway, by that one's stream
		l.CutBack(on)
	}
}

// Link is the way from one gateway to another; nil: there is none in a fleet with relays, but the
// way back of a stream.
func (f *Fleet) Link(from, to *Gateway) *Link {
	return f.links[[2]int{slices.Index(f.Gateways, from), slices.Index(f.Gateways, to)}]
}

// Alone cuts a gateway off, both ways or one.
func (f *Fleet) Alone(g *Gateway, out, in bool) {
	for _, o := range f.Gateways {
		if o != g && out {
			f.Cut(g, o, true)
		}
		if o != g && in {
			f.Cut(o, g, true)
		}
	}
}

// Heal ends all faults and starts who is down.
func (f *Fleet) Heal() error {
	f.History.fault("heal all")
	for _, l := range f.links {
		l.Heal()
	}
	for _, g := range f.Gateways {
		if err := g.Continue(); err != nil {
			return err
		}
		g.mu.Lock()
		down := g.process == nil
		g.mu.Unlock()
		if down {
			if err := g.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Poll is how often conditions are looked at.
const Poll = 20 * time.Millisecond

// Until waits for a condition, and says what was waited for in vain.
func (f *Fleet) Until(ctx context.Context, what string, most time.Duration, ok func() bool) error {
	for end := time.Now().Add(most); !ok(); {
		if time.Now().After(end) {
			return fmt.Errorf("gave up after %v waiting: %s", most, what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(Poll):
		}
	}
	return nil
}

// Whole says whether the fleet is as it should be: all have a session and the same view of who
// has one and who owns what, each duty has an owner, and as many as at first hold the record, each
// on the disk that it has now. In a fleet with relays each gateway has a stream, of the others it
// knows none, and all relays know where all are.
func (f *Fleet) Whole() bool {
	var all []*Status
	own := map[string]*Status{}
	for _, g := range f.Gateways {
		if !g.Runs() {
			return false
		}
		s, err := g.Status()
		if err != nil || s.Session == 0 || s.Leader == "" || s.Role == "stopped" {
			return false
		}
		all = append(all, s)
		own[g.Name] = s
	}
	for i, s := range all {
		gateway := f.Relays > 0 && i >= f.Relays
		switch {
		case gateway && (s.Relay.Name == "" || s.Sessions != len(all)):
			return false
		case !gateway && len(s.Members) != len(all):
			return false
		case !gateway && f.Relays > 0 && (s.Streams.Routes != len(all)-f.Relays || len(s.Streams.Relays) != f.Relays):
			return false
		}
		if len(s.Duties) == 0 || len(s.Keepers) != f.Keepers || s.Leader != all[0].Leader || len(s.Duties) != len(all[0].Duties) {
			return false
		}
		for _, m := range s.Members {
			if own[m.Name] == nil || m.Session != own[m.Name].Session {
				return false
			}
		}
		for _, k := range s.Keepers {
			if k.Learner || own[k.Name] == nil || own[k.Name].Disk != k.Replica {
				return false
			}
		}
		for i, d := range s.Duties {
			if o := all[0].Duties[i]; d.Owner == "" || d.Owner != o.Owner || d.Token != o.Token {
				return false
			}
		}
	}
	return true
}

// Owner is who owns a duty, by the account of whoever answers; nil: nobody that is known.
func (f *Fleet) Owner(duty string) *Gateway {
	for _, g := range f.Gateways {
		if !g.Runs() {
			continue
		}
		if s, err := g.Status(); err == nil && s.Session != 0 {
			for _, d := range s.Duties {
				if d.Name == duty {
					return f.named(d.Owner)
				}
			}
		}
	}
	return nil
}

// Leader is who leads the record by its own account; nil: nobody.
func (f *Fleet) Leader() *Gateway {
	for _, g := range f.Gateways {
		if g.Runs() {
			if s, err := g.Status(); err == nil && s.Role == "leader" {
				return g
			}
		}
	}
	return nil
}

func (f *Fleet) named(name string) *Gateway {
	i := slices.IndexFunc(f.Gateways, func(g *Gateway) bool { return g.Name == name })
	if i < 0 {
		return nil
	}
	return f.Gateways[i]
}

// Close ends all that was started here, and nothing else.
func (f *Fleet) Close() {
	for _, g := range f.Gateways {
		g.Kill()
	}
	for _, l := range f.links {
		l.Close()
	}
	if f.Hosts != nil {
		f.Hosts.Close()
	}
	f.History.Close()
	f.log.Close()
}

// Log is the text of all logs so far.
func (f *Fleet) Log() string {
	b, err := os.ReadFile(f.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Metrics is what a gateway counts, by name, those without labels.
func (g *Gateway) Metrics() (map[string]float64, error) {
	resp, err := g.f.client.Get("http://" + g.admin + "/admin/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	list := map[string]float64{}
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		name, text, ok := strings.Cut(in.Text(), " ")
		if v, err := strconv.ParseFloat(text, 64); ok && err == nil {
			list[name] = v
		}
	}
	return list, in.Err()
}
