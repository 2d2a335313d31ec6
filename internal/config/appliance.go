package config

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"net/textproto"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/engine"
	"dunemoor/internal/fair"
	"dunemoor/internal/route"
)

// Appliance is the file of a gateway that stands by itself, checked and with its defaults.
type Appliance struct {
	Name      string
	Admin     string // address of the operators' calls; "": none
	Limits    Limits
	Tenants   []fair.Tenant
	Listeners []Listener
	Classes   []Class
	Pools     []Pool
	Routes    []Route
	Table     *route.Table // of Routes, in their order
	Fleet     *Fleet       // nil: it stands alone
}

// Serves says whether requests are served by it: a relay of a fleet may serve none.
func (a *Appliance) Serves() bool { return len(a.Listeners) > 0 }

// Limits are what the process may use.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
	HeadKB   int // of a request
	Headers  int // of a request on a plain route
	// NoOverload has the gateway shed nothing for its own sake.
	NoOverload bool
	Clients    fair.ClientLimits
	ClientsKB  int // of the table of clients
	Tenants    fair.TenantLimits
	TenantName string // header that names the tenant
}

// Listener is where clients connect.
type Listener struct {
	Name, Address, Protocol string
	Trusted                 []netip.Prefix // proxies whose word about their clients is passed on
	Proxy                   bool           // connections begin with a PROXY header
}

// Class is a kind of request.
type Class struct {
	Name string
	balancer.Class
}

// Pool is the hosts of a service.
type Pool struct {
	Name      string
	Protocol  string
	Root      string            // of the scripts of a FastCGI pool
	Params    map[string]string // that a FastCGI pool is told beside ours, or in their place
	Members   []Member
	File      string // members are read from it, and again when it changes
	Discovery string // host:port that tells the members
	Need      float64
	Fallback  []string
	Sockets   float64 // its part of the descriptors for hosts
	Cold      Cold
	Check     string // path by which one gateway of the fleet tries hosts that were given up
}

// Cold says how hosts start.
type Cold struct {
	From      float64
	WarmAfter time.Duration
}

// Member is a host of a static list.
type Member struct {
	ID, Address, Zone, Kind string
	Cell                    int
}

// Route is a route with what it gives to requests that bring none of our headers.
type Route struct {
	Class      string // "": the class header says
	Timeout    time.Duration
	Repeatable []string // methods that may be sent again though they are not safe
	Failures   []int    // statuses of hosts that tell of a failure
	Hold       int64    // bytes of a body that are held so that it can be sent again
	MaxBody    int64    // bytes; 0: any
	Stream     bool     // the time is for the answer's head
	Idle       time.Duration
	LeastRate  int64 // bytes a second
	Upgrades   int
	Request    engine.HeaderRules // for what goes to hosts
	Answer     engine.HeaderRules // for what goes to clients
	RetryShare float64
	RetryFloor float64
}

// Defaults and bounds of the file.
const (
	DefaultMemoryMB   = 64
	defaultSockets    = 1024
	leastSockets      = 64
	defaultTimeout    = 10 * time.Second
	longestTimeout    = time.Hour
	defaultRetryShare = 0.2
	defaultRetryFloor = 1
	maxPools          = 256 // each has a module and its share of memory
	maxClasses        = 64
	maxMembers        = 5000
	defaultTableKB    = 512 // 16,384 clients
	maxTenants        = 1024
	defaultHeadKB     = 12       // any head in our protocol several times over, and most browsers' cookies
	defaultHeaders    = 100      // browsers send some twenty
	defaultHold       = 64 << 10 // what the platform's protocol holds of every body
	holdMost          = 1 << 20  // beyond it a few requests fill what bodies may
	defaultIdle       = 30 * time.Second
	defaultLeastRate  = 256 // bytes a second: a modem of 1985 does
	maxFallback       = 7   // more would never be reached by a request: it has four attempts
	leastPoolSockets  = 4   // a request out holds one, and hosts change
)

// Protocols that listeners and pools speak; the first where none is named.
const (
	HTTP1   = "http1"
	FastCGI = "fastcgi"
)

var protocols = []string{HTTP1, FastCGI}

// paramsMost is how many parameters of its own a FastCGI pool may have.
const paramsMost = 100

// applianceFile is the form of the file.
type applianceFile struct {
	Name   string
	Admin  string
	Limits struct {
		Cores    float64
		MemoryMB int `toml:"memory_mb"`
		Sockets  int
		HeadKB   int `toml:"head_kb"`
		Headers  int
		Overload *bool
		Client   struct {
			Rate, Burst float64
			Concurrent  int
			TableKB     int `toml:"table_kb"`
		}
		Tenants struct {
			Rate       float64
			Concurrent int
			Header     string
		}
	}
	Tenant []struct {
		Name   string
		Weight float64
	}
	Fleet    *fleetFile
	Listener []struct {
		Name, Address, Protocol string
		Trusted                 []string
		Proxy                   bool `toml:"proxy_protocol"`
	}
	Class []struct {
		Name   string
		Aim    Span
		Limit  Span `toml:"deadline"`
		Worth  float64
		Effect string
		Group  string
		Window Span
	}
	Pool []struct {
		Name      string
		Members   []memberFile
		File      string `toml:"members_file"`
		Discovery string
		Protocol  string
		Root      string `toml:"script_root"`
		Params    map[string]string
		Need      float64
		Fallback  []string
		Sockets   float64
		ColdFrom  float64 `toml:"cold_from"`
		WarmAfter Span    `toml:"warm_after"`
		Check     string
	}
	Route []struct {
		Name       string
		Hosts      []string
		Path       string
		Methods    []string
		Headers    map[string]string
		Pool       string
		Split      map[string]int
		SplitBy    string `toml:"split_by"`
		Class      string
		Timeout    Span
		Repeatable []string
		Failures   []int
		Hold       *Size
		MaxBody    Size `toml:"max_body"`
		Stream     bool
		Idle       Span
		LeastRate  *Size `toml:"least_rate"`
		Upgrades   int
		Request    headersFile
		Answer     headersFile
		RetryShare *float64 `toml:"retry_share"`
		RetryFloor *float64 `toml:"retry_floor"`
	}
}

// fleetFile is the form of the fleet's part.
type fleetFile struct {
	ID      string
	Listen  string
	DataDir string `toml:"data_dir"`
	KeyFile string `toml:"key_file"`
	First   []string
	Zone    string
	Region  string
	Peer    []struct{ Name, Address, Zone, Machine string }
	Relay   []relayFile
}

type relayFile struct{ Name, Address, Zone, Region string }

// bareRelay says whether a file is of a relay that serves nobody: it has nothing for requests.
func (f *applianceFile) bareRelay() bool {
	return f.Fleet != nil && len(f.Listener)+len(f.Class)+len(f.Pool)+len(f.Route) == 0 &&
		slices.ContainsFunc(f.Fleet.Relay, func(r relayFile) bool { return r.Name == f.Name })
}

// headersFile are the rules for the headers one way.
type headersFile struct {
	Set, Add map[string]string
	Remove   []string
}

// framing are headers that say how a message is read, or that the gateway makes itself.
var framing = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "X-Timeout",
}

// isToken is RFC 9110, 5.6.2.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r))
	})
}

// headers checks the rules for the headers of a route.
func (c *checker) headers(n int, key string, f headersFile) (r engine.HeaderRules) {
	name := func(s string) string {
		if !isToken(s) {
			c.bad("route", n, key, "%q is no name of a header", s)
		}
		canonical := textproto.CanonicalMIMEHeaderKey(s)
		if slices.Contains(framing, canonical) {
			c.bad("route", n, key, "%q is not to be changed: messages are read by it, or the gateway makes it", s)
		}
		return canonical
	}
	values := func(from map[string]string) map[string]string {
		to := map[string]string{}
		for s, v := range from {
			if strings.ContainsFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
				c.bad("route", n, key, "%s: %q can't be sent in a header", s, v)
			}
			to[name(s)] = v
		}
		return to
	}
	r.Set, r.Add = values(f.Set), values(f.Add)
	for _, s := range f.Remove {
		r.Remove = append(r.Remove, name(s))
	}
	return r
}

type memberFile struct {
	ID, Address, Zone, Kind string
	Cell                    int
}

var effects = map[string]balancer.Idempotency{"safe": balancer.Idempotent, "keyed": balancer.IdempotentWithKey, "unsafe": balancer.NonIdempotent}

var groups = map[string]balancer.DedupScope{
	"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
}

// checker collects what is wrong with a file.
type checker struct {
	*Text
	wrong []error
}

// bad notes an error at a key of the n-th table of a name.
func (c *checker) bad(table string, n int, key, format string, args ...any) {
	if c.Odd(c.Line(table, n, key)) {
		return // that has been said
	}
	field := strings.TrimPrefix(table+"."+key, ".")
	c.wrong = append(c.wrong, c.Error(c.Line(table, n, key), strings.TrimSuffix(field, "."), format, args...))
}

// within notes an error where x is out of bounds.
func (c *checker) within(table string, n int, key string, x, least, most float64) {
	if !(x >= least && x <= most) {
		c.bad(table, n, key, "%v is not between %v and %v", x, least, most)
	}
}

// LoadAppliance reads a file. All that is wrong is said, a line each.
func LoadAppliance(path string) (*Appliance, []error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []error{err}
	}
	return ParseAppliance(path, string(text))
}

// ParseAppliance reads the text of a file.
func ParseAppliance(path, text string) (*Appliance, []error) {
	c := &checker{Text: NewText(path, text)}
	var f applianceFile
	if c.wrong = c.DecodeAll(&f); len(c.wrong) > 0 && reflect.ValueOf(f).IsZero() {
		return nil, c.wrong // it is no TOML
	}
	a := &Appliance{Name: f.Name, Limits: Limits{
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, HeadKB: f.Limits.HeadKB, Headers: f.Limits.Headers,
	}}
	if a.Name == "" {
		c.bad("", 0, "name", "is missing: what this gateway is called")
	}
	c.name("", 0, a.Name)
	c.admin(a, f.Admin)
	if a.Limits.MemoryMB == 0 {
		a.Limits.MemoryMB = DefaultMemoryMB
	}
	if a.Limits.Sockets == 0 {
		a.Limits.Sockets = defaultSockets
	}
	c.within("limits", 0, "memory_mb", float64(a.Limits.MemoryMB), 16, 1<<20)
	c.within("limits", 0, "sockets", float64(a.Limits.Sockets), leastSockets, 1<<20)
	if a.Limits.HeadKB == 0 {
		a.Limits.HeadKB = defaultHeadKB
	}
	if a.Limits.Headers == 0 {
		a.Limits.Headers = defaultHeaders
	}
	c.within("limits", 0, "head_kb", float64(a.Limits.HeadKB), 1, 64)
	c.within("limits", 0, "headers", float64(a.Limits.Headers), 8, 1000)
	c.within("limits", 0, "cores", a.Limits.Cores, 0, 1024)
	c.fairness(a, &f)
	if f.bareRelay() {
		a.Table, _ = route.Compile(nil, nil)
	} else {
		c.listeners(a, &f)
		c.classes(a, &f)
		c.pools(a, &f)
		c.routes(a, &f)
	}
	c.fleet(a, f.Fleet)
	if len(c.wrong) > 0 {
		return nil, c.wrong
	}
	return a, nil
}

// fairness reads what clients and tenants may take.
func (c *checker) fairness(a *Appliance, f *applianceFile) {
	l, x := &a.Limits, &f.Limits
	l.NoOverload = x.Overload != nil && !*x.Overload
	l.Clients = fair.ClientLimits{Rate: x.Client.Rate, Burst: x.Client.Burst, Concurrent: x.Client.Concurrent}
	if l.Clients.Burst == 0 {
		l.Clients.Burst = 2 * l.Clients.Rate
	}
	if l.ClientsKB = x.Client.TableKB; l.ClientsKB == 0 {
		l.ClientsKB = defaultTableKB
	}
	l.Tenants = fair.TenantLimits{Rate: x.Tenants.Rate, Concurrent: x.Tenants.Concurrent}
	if l.TenantName = textproto.CanonicalMIMEHeaderKey(x.Tenants.Header); l.TenantName == "" {
		l.TenantName = "X-Tenant-Id"
	}
	c.within("limits.client", 0, "rate", l.Clients.Rate, 0, 1e6)
	c.within("limits.client", 0, "burst", l.Clients.Burst, 0, 1e6)
	c.within("limits.client", 0, "concurrent", float64(l.Clients.Concurrent), 0, 1<<20)
	c.within("limits.client", 0, "table_kb", float64(l.ClientsKB), 16, 1<<20)
	c.within("limits.tenants", 0, "rate", l.Tenants.Rate, 0, 1e7)
	c.within("limits.tenants", 0, "concurrent", float64(l.Tenants.Concurrent), 0, 1<<20)
	if len(f.Tenant) > maxTenants {
		c.bad("tenant", maxTenants, "", "more than %d tenants", maxTenants)
	}
	for i, t := range f.Tenant {
		if t.Name == "" {
			c.bad("tenant", i, "name", "is missing")
		}
		c.name("tenant", i, t.Name)
		if slices.ContainsFunc(a.Tenants, func(o fair.Tenant) bool { return o.Name == t.Name }) {
			c.bad("tenant", i, "name", "%q is taken", t.Name)
		}
		if t.Weight == 0 {
			t.Weight = 1
		}
		c.within("tenant", i, "weight", t.Weight, 0.001, 1e6)
		a.Tenants = append(a.Tenants, fair.Tenant{Name: t.Name, Weight: t.Weight})
	}
	if len(f.Tenant) > 0 && l.Tenants == (fair.TenantLimits{}) {
		c.bad("tenant", 0, "name", "limits.tenants sets neither rate nor concurrent: what would they share")
	}
}

// admin checks the address of the operators' calls. Whoever reaches it can drain the gateway, and
// nobody is asked who they are: so it is of this machine.
func (c *checker) admin(a *Appliance, addr string) {
	if a.Admin = addr; addr == "" {
		return
	}
	host, _, _ := net.SplitHostPort(addr)
	if ip, err := netip.ParseAddr(host); !hostPort(addr, 0) || err != nil || !ip.IsLoopback() {
		c.bad("", 0, "admin", "%q is no loopback address like \"127.0.0.1:8090\"", addr)
	}
}

func (c *checker) listeners(a *Appliance, f *applianceFile) {
	if len(f.Listener) == 0 {
		c.bad("", 0, "listener", "there is none: clients could not connect")
	}
	for i, l := range f.Listener {
		if l.Protocol == "" {
			l.Protocol = protocols[0]
		}
		if !slices.Contains(protocols, l.Protocol) {
			c.bad("listener", i, "protocol", "%q is none of %s", l.Protocol, strings.Join(protocols, ", "))
		}
		switch {
		case l.Protocol == FastCGI && unixPath(l.Address):
		case !hostPort(l.Address, 0):
			c.bad("listener", i, "address", "%q is no address like \"127.0.0.1:8080\"", l.Address)
		}
		if l.Protocol == FastCGI && l.Proxy {
			c.bad("listener", i, "proxy_protocol", "is for http1 listeners: a web server names its client by REMOTE_ADDR")
		}
		c.name("listener", i, l.Name)
		if l.Name == "" {
			l.Name = l.Address
		}
		for k, o := range a.Listeners {
			if o.Address == l.Address {
				c.bad("listener", i, "address", "%q is listened on already (line %d)", l.Address, c.Line("listener", k, "address"))
			} else if o.Name == l.Name {
				c.bad("listener", i, "name", "%q is taken (line %d)", l.Name, c.Line("listener", k, "name"))
			}
		}
		out := Listener{Name: l.Name, Address: l.Address, Protocol: l.Protocol, Proxy: l.Proxy}
		for _, text := range l.Trusted {
			p, err := netip.ParsePrefix(text)
			if addr, aerr := netip.ParseAddr(text); err != nil && aerr == nil {
				p, err = netip.PrefixFrom(addr, addr.BitLen()), nil
			}
			if err != nil || p.Masked() != p {
				c.bad("listener", i, "trusted", "%q is no address or network like \"10.0.0.0/8\"", text)
			}
			out.Trusted = append(out.Trusted, p)
		}
		a.Listeners = append(a.Listeners, out)
	}
}

// unixPath says whether an address names a socket of the file system, of a length that the system
// takes (unix(7): 108 bytes with the end).
func unixPath(addr string) bool {
	path, ok := strings.CutPrefix(addr, "unix:")
	return ok && strings.HasPrefix(path, "/") && len(path) < 108
}

// hostPort says whether an address is host:port; port 0 is one for a listener only.
func hostPort(addr string, least uint64) bool {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n >= least
}

// nameMost is how long a name may be: names stand in logs, file names and status lines.
const nameMost = 64

// name notes an error where a name could not stand in a log, a file name or a terminal as it
// is. An empty one is said by the caller.
func (c *checker) name(table string, n int, name string) { c.nameAt(table, n, "name", name) }

// nameAt is name for one that stands at another key.
func (c *checker) nameAt(table string, n int, key, name string) {
	if len(name) > nameMost {
		c.bad(table, n, key, "is longer than %d characters", nameMost)
		return
	}
	for _, r := range name {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.:[]", r)) {
			c.bad(table, n, key, "%q has %q in it: letters, digits, '-', '_', '.' and ':' only", name, r)
			return
		}
	}
}

func (c *checker) classes(a *Appliance, f *applianceFile) {
	if len(f.Class) == 0 {
		c.bad("", 0, "class", "there is none: a route needs one")
	}
	if len(f.Class) > maxClasses {
		c.bad("class", maxClasses, "", "more than %d classes", maxClasses)
	}
	for i, x := range f.Class {
		k := Class{Name: x.Name}
		c.name("class", i, x.Name)
		k.LatencyObjective, k.Deadline, k.PriorityWeight, k.DedupWindow = time.Duration(x.Aim), time.Duration(x.Limit), x.Worth, time.Duration(x.Window)
		var ok bool
		if k.Idempotency, ok = effects[x.Effect]; !ok {
			c.bad("class", i, "effect", "%q is none of safe, keyed, unsafe", x.Effect)
		}
		if k.DedupScope, ok = groups[x.Group]; !ok {
			c.bad("class", i, "group", "%q is none of all, zone, cell", x.Group)
		}
		switch {
		case x.Name == "":
			c.bad("class", i, "name", "is missing")
		case slices.ContainsFunc(a.Classes, func(o Class) bool { return o.Name == x.Name }):
			c.bad("class", i, "name", "%q is taken (line %d)", x.Name, c.Line("class", slices.IndexFunc(a.Classes, func(o Class) bool { return o.Name == x.Name }), "name"))
		}
		if k.Deadline <= 0 || k.Deadline > longestTimeout {
			c.bad("class", i, "deadline", "%v is not above 0 and up to %v", k.Deadline, longestTimeout)
		}
		if k.LatencyObjective < 0 || k.Deadline > 0 && k.LatencyObjective > k.Deadline {
			c.bad("class", i, "aim", "%v is not between 0 and the deadline", k.LatencyObjective)
		}
		if k.DedupWindow < 0 || k.DedupWindow > longestTimeout {
			c.bad("class", i, "window", "%v is not between 0 and %v", k.DedupWindow, longestTimeout)
		}
		if k.Idempotency == balancer.IdempotentWithKey && k.DedupWindow == 0 {
			c.bad("class", i, "window", "is missing: for how long do hosts drop the repeats of a key")
		}
		c.within("class", i, "worth", k.PriorityWeight, 0, 1e6)
		a.Classes = append(a.Classes, k)
	}
}

func (c *checker) pools(a *Appliance, f *applianceFile) {
	if len(f.Pool) == 0 {
		c.bad("", 0, "pool", "there is none: requests have nowhere to go")
	}
	if len(f.Pool) > maxPools {
		c.bad("pool", maxPools, "", "more than %d pools", maxPools)
	}
	at := map[string]int{}
	for i, x := range f.Pool {
		p := Pool{
			Name: x.Name, File: x.File, Discovery: x.Discovery, Need: x.Need, Fallback: x.Fallback, Sockets: x.Sockets,
			Cold:     Cold{x.ColdFrom, time.Duration(x.WarmAfter)},
			Protocol: x.Protocol, Root: x.Root, Params: x.Params, Check: x.Check,
		}
		c.check(i, &p, f.Fleet != nil)
		c.fastCGI(i, &p)
		c.name("pool", i, x.Name)
		if first, taken := at[x.Name]; taken {
			c.bad("pool", i, "name", "%q is taken (line %d)", x.Name, c.Line("pool", first, "name"))
		} else if at[x.Name] = i; x.Name == "" {
			c.bad("pool", i, "name", "is missing")
		}
		sources := 0
		for _, has := range []bool{len(x.Members) > 0, x.File != "", x.Discovery != ""} {
			if has {
				sources++
			}
		}
		if sources != 1 {
			c.bad("pool", i, "name", "it needs one of members, members_file and discovery, it has %d", sources)
		}
		if x.Discovery != "" && !hostPort(x.Discovery, 1) {
			c.bad("pool", i, "discovery", "%q is no host:port", x.Discovery)
		}
		if p.Need == 0 {
			p.Need = route.DefaultNeed
		}
		c.within("pool", i, "need", p.Need, 0.01, 1)
		c.within("pool", i, "sockets", p.Sockets, 0, 1)
		c.within("pool", i, "cold_from", p.Cold.From, 0, 1)
		c.within("pool", i, "warm_after", p.Cold.WarmAfter.Seconds(), 0, longestTimeout.Seconds())
		if len(x.Members) > maxMembers {
			c.bad("pool", i, "members", "more than %d", maxMembers)
		}
		ids := map[string]bool{}
		for _, m := range x.Members {
			if m.ID == "" {
				m.ID = m.Address
			}
			if !hostPort(m.Address, 1) && !(p.Protocol == FastCGI && unixPath(m.Address)) {
				c.bad("pool", i, "members", "%q is no host:port", m.Address)
			}
			if ids[m.ID] {
				c.bad("pool", i, "members", "%q is there twice", m.ID)
			}
			ids[m.ID] = true
			p.Members = append(p.Members, Member(m))
		}
		a.Pools = append(a.Pools, p)
	}
	c.shares(a)
	for i, p := range a.Pools {
		if len(p.Fallback) > maxFallback {
			c.bad("pool", i, "fallback", "%d pools, %d at most", len(p.Fallback), maxFallback)
		}
		for k, name := range p.Fallback {
			switch _, there := at[name]; {
			case !there:
				c.bad("pool", i, "fallback", "%q: there is no pool of that name", name)
			case name == p.Name:
				c.bad("pool", i, "fallback", "%q is the pool itself", name)
			case slices.Contains(p.Fallback[:k], name):
				c.bad("pool", i, "fallback", "%q is there twice", name)
			}
		}
	}
}

// fastCGI checks what a pool has of its own where its hosts are responders.
func (c *checker) fastCGI(i int, p *Pool) {
	if p.Protocol == "" {
		p.Protocol = HTTP1
	}
	if !slices.Contains(protocols, p.Protocol) {
		c.bad("pool", i, "protocol", "%q is none of %s", p.Protocol, strings.Join(protocols, ", "))
	}
	if p.Protocol != FastCGI {
		if p.Root != "" {
			c.bad("pool", i, "script_root", "is for pools with protocol = %q", FastCGI)
		}
		if len(p.Params) > 0 {
			c.bad("pool", i, "params", "is for pools with protocol = %q", FastCGI)
		}
		return
	}
	if p.Root != "" && !strings.HasPrefix(p.Root, "/") {
		c.bad("pool", i, "script_root", "%q is no path from the root", p.Root)
	}
	if len(p.Params) > paramsMost {
		c.bad("pool", i, "params", "%d, %d at most", len(p.Params), paramsMost)
	}
	for name, value := range p.Params {
		switch {
		case name == "" || len(name) > 127 || strings.ContainsFunc(name, func(r rune) bool {
			return !(r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_')
		}):
			c.bad("pool", i, "params", "%q is no name of a parameter: capitals, digits and '_'", name)
		case slices.Contains([]string{"CONTENT_LENGTH", "REQUEST_METHOD", "HTTP_PROXY"}, name):
			c.bad("pool", i, "params", "%q is not to be changed: messages are read by it, or programs are led astray", name)
		case strings.ContainsRune(value, 0):
			c.bad("pool", i, "params", "%s: %q can't be sent", name, value)
		}
	}
}

// shares checks that the descriptors for hosts suffice for all pools.
func (c *checker) shares(a *Appliance) {
	sum, rest := 0.0, 0
	for i, p := range a.Pools {
		if sum += p.Sockets; p.Sockets == 0 {
			rest++
		}
		if sum > 1+1e-9 {
			c.bad("pool", i, "sockets", "with this the pools have %.3g times the descriptors for hosts", sum)
			return
		}
	}
	if rest > 0 && a.Limits.Sockets >= leastSockets {
		if each := (1 - sum) / float64(rest) * HostSockets(a.Limits.Sockets); each < leastPoolSockets {
			c.bad("limits", 0, "sockets", "%d are too few: %d pools would have %.1f each for their hosts, %d at least", a.Limits.Sockets, rest, each, leastPoolSockets)
		}
	}
}

// ownSockets is how many descriptors the process needs for itself at the least, however few it has:
// the three it is started with, the runtime's two, a listener and its epoll set, the second address
// and a call there, a watch of discovery and the one that takes its place, files that are read, and
// a connection that is accepted or closed just now. 8 in 100 are left to that where there are more.
const ownSockets = 19

// SharedSockets is what the parts of clients and of hosts are reckoned from: all descriptors, but
// where there are few.
func SharedSockets(all int) int { return max(min(all, (all-ownSockets)*100/92), 0) }

// HostSockets is the part of the descriptors that connections to hosts may take: 42 in 100.
func HostSockets(all int) float64 { return 0.42 * float64(SharedSockets(all)) }

func (c *checker) routes(a *Appliance, f *applianceFile) {
	if len(f.Route) == 0 {
		c.bad("", 0, "route", "there is none: no request would be served")
	}
	var names []string
	used := map[string]bool{}
	for _, p := range a.Pools {
		names = append(names, p.Name)
	}
	var rules []route.Rule
	for i, x := range f.Route {
		r := Route{
			Class: x.Class, Timeout: time.Duration(x.Timeout), Repeatable: x.Repeatable,
			RetryShare: defaultRetryShare, RetryFloor: defaultRetryFloor,
		}
		r.Hold, r.LeastRate = defaultHold, defaultLeastRate
		if x.Hold != nil {
			r.Hold = int64(*x.Hold)
		}
		if x.LeastRate != nil {
			r.LeastRate = int64(*x.LeastRate)
		}
		r.MaxBody, r.Stream, r.Upgrades = int64(x.MaxBody), x.Stream, x.Upgrades
		if r.Idle = time.Duration(x.Idle); r.Idle == 0 {
			r.Idle = defaultIdle
		}
		c.within("route", i, "hold", float64(r.Hold), 0, holdMost)
		c.within("route", i, "idle", r.Idle.Seconds(), 0.1, (24 * time.Hour).Seconds())
		c.within("route", i, "upgrades", float64(r.Upgrades), 0, 1<<16)
		r.Request, r.Answer = c.headers(i, "request", x.Request), c.headers(i, "answer", x.Answer)
		changes := len(r.Request.Set)+len(r.Request.Add)+len(r.Request.Remove)+len(r.Answer.Set)+len(r.Answer.Add)+len(r.Answer.Remove) > 0
		for key, set := range map[string]bool{"request": changes, "hold": x.Hold != nil, "max_body": x.MaxBody != 0, "stream": x.Stream, "idle": x.Idle != 0,
			"least_rate": x.LeastRate != nil, "upgrades": x.Upgrades != 0, "failures": x.Failures != nil} {
			if set && x.Class == "" {
				c.bad("route", i, key, "is for routes that give a class")
			}
		}
		if r.Failures = x.Failures; x.Failures == nil {
			r.Failures = route.DefaultFailures
		}
		for _, status := range x.Failures {
			if status < 400 || status > 599 {
				c.bad("route", i, "failures", "%d is not from 400 to 599", status)
			}
		}
		if r.Timeout == 0 {
			r.Timeout = defaultTimeout
		}
		c.within("route", i, "timeout", r.Timeout.Seconds(), 0.001, longestTimeout.Seconds())
		if x.RetryShare != nil {
			r.RetryShare = *x.RetryShare
		}
		if x.RetryFloor != nil {
			r.RetryFloor = *x.RetryFloor
		}
		c.within("route", i, "retry_share", r.RetryShare, 0, 3)
		c.within("route", i, "retry_floor", r.RetryFloor, 0, math.MaxInt32)
		if x.Class != "" && !slices.ContainsFunc(a.Classes, func(k Class) bool { return k.Name == x.Class }) {
			c.bad("route", i, "class", "%q: there is no class of that name", x.Class)
		}
		for _, m := range x.Repeatable {
			if m != "PUT" && m != "DELETE" {
				c.bad("route", i, "repeatable", "%q: only PUT and DELETE can be said to be, GET, HEAD and OPTIONS are, POST is not", m)
			}
		}
		c.name("route", i, x.Name)
		rule := route.Rule{
			Name: x.Name, Line: c.Line("route", i, ""), Hosts: x.Hosts, Path: x.Path, Methods: x.Methods, SplitBy: x.SplitBy,
		}
		for name, value := range x.Headers {
			rule.Headers = append(rule.Headers, route.Header{Name: name, Value: value})
		}
		slices.SortFunc(rule.Headers, func(p, q route.Header) int { return strings.Compare(p.Name, q.Name) })
		switch {
		case x.Pool != "" && len(x.Split) > 0:
			c.bad("route", i, "pool", "it has both pool and split")
		case x.Pool != "":
			rule.Split = []route.Share{{Pool: x.Pool, Weight: 1}}
		}
		for name, weight := range x.Split {
			rule.Split = append(rule.Split, route.Share{Pool: name, Weight: weight})
		}
		slices.SortFunc(rule.Split, func(p, q route.Share) int { return strings.Compare(p.Pool, q.Pool) })
		for _, s := range rule.Split {
			used[s.Pool] = true
		}
		rules = append(rules, rule)
		a.Routes = append(a.Routes, r)
	}
	table, problems := route.Compile(rules, names)
	for _, p := range problems {
		field := fmt.Sprintf("route %q", p.Rule)
		text := p.Text
		if p.Other > 0 {
			text += fmt.Sprintf(" (line %d)", p.Other)
		}
		c.wrong = append(c.wrong, c.Error(p.Line, field, "%s", text))
	}
	a.Table = table
	for _, p := range a.Pools {
		if used[p.Name] {
			for _, name := range p.Fallback {
				used[name] = true
			}
		}
	}
	for i, p := range a.Pools {
		if !used[p.Name] && p.Name != "" {
			c.bad("pool", i, "name", "no route uses %q, nor does it stand in for one that is used", p.Name)
		}
	}
}
