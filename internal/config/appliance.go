// Package config reads configuration files strictly: what is unknown, misspelt or out of bounds is an Error, one line
// that names file, line and field. There are the TOML file of an appliance, with its part for a fleet and the settings of
// the flight recorder, and the JSON file of a gateway of the platform.
package config

import (
	"net/netip"
	"os"
	"reflect"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/engine"
	"dunemoor/internal/ratelimit"
	"dunemoor/internal/route"
)

// Appliance is the configuration of a gateway with a file of its own, checked and with defaults.
type Appliance struct {
	Name      string
	Admin     string // address of the operators' calls; "": none
	Limits    Limits
	Tenants   []ratelimit.Tenant
	Listeners []Listener
	Classes   []Class
	Pools     []Pool
	Routes    []Route
	Table     *route.Table // of Routes, in their order
	Fleet     *Fleet       // nil: it is in no fleet
}

// Serves reports whether the gateway serves requests: a relay of a fleet may serve none.
func (a *Appliance) Serves() bool { return len(a.Listeners) > 0 }

// Limits are what the process may use.
type Limits struct {
	Cores          float64 // 0: all
	MemoryMB       int     // MiB
	Sockets        int     // file descriptors; SharedSockets divides them
	HeadKB         int     // KiB of a request's header section
	Headers        int     // fields of a request on a plain route
	NoLoadShedding bool
	Clients        ratelimit.ClientLimits // of each client
	ClientTableKB  int                    // KiB of the table of clients
	Tenants        ratelimit.TenantLimits // of all tenants together
	TenantHeader   string                 // names the tenant of a request
}

// Listener is where clients connect.
type Listener struct {
	Name, Address, Protocol string
	TrustedProxies          []netip.Prefix // what they say of their clients is passed on
	ProxyProtocol           bool           // connections begin with a PROXY header
}

// Class is a kind of request.
type Class struct {
	Name string
	balancer.Class
}

// Pool is the hosts of a service.
type Pool struct {
	Name            string
	Protocol        string
	ScriptRoot      string            // of a FastCGI pool
	Params          map[string]string // of a FastCGI pool, beside the gateway's own or in their place
	Members         []Member
	File            string   // the members are read from it, and again when it changes
	Discovery       string   // host:port of the service that lists the members
	MinShare        float64  // of its hosts: with fewer healthy ones a part of its traffic goes to Fallback
	Fallback        []string // pools in the order of the failover chain
	SocketShare     float64  // of the descriptors for hosts; 0: an equal part of what the other pools leave
	SlowStart       SlowStart
	HealthCheckPath string // by which one gateway of the fleet checks ejected hosts
}

// SlowStart is how hosts start: with a share of what they can do later, for a window.
type SlowStart struct {
	Share  float64
	Window time.Duration
}

// Member is a host of a static list.
type Member struct {
	ID, Address, Zone, Kind string
	Cell                    int
}

// Route is what a route assigns to its requests. Table has what it matches.
type Route struct {
	Class            string // "": the class header names it
	Timeout          time.Duration
	RetryableMethods []string           // that may be retried though they are not safe
	FailureStatuses  []int              // of hosts
	BufferBytes      int64              // of a body that are kept so that it can be sent again
	MaxBodyBytes     int64              // 0: any
	HeadDeadlineOnly bool               // the timeout is for the response's head
	IdleTimeout      time.Duration      // without a byte, of a client or host
	MinRate          int64              // of a client or host, in bytes a second; 0: any
	MaxTunnels       int                // concurrent connections that have switched to another protocol
	RequestHeaders   engine.HeaderRules // for hosts
	ResponseHeaders  engine.HeaderRules // for clients
	RetryShare       float64            // retries for each first attempt
	RetryFloor       float64            // retries a second, beside RetryShare
}

// Protocols of listeners and pools.
const (
	HTTP1   = "http1" // where none is named
	FastCGI = "fastcgi"
)

var protocols = []string{HTTP1, FastCGI}

// LoadAppliance reads a file. It returns all of its errors.
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
	c.errors = c.DecodeAll(&f)
	isTOML := len(c.errors) == 0 || !reflect.ValueOf(f).IsZero()
	if !isTOML {
		return nil, c.errors
	}
	a := &Appliance{Name: f.Name}
	if a.Name == "" {
		c.addErrorf("", 0, "name", "is missing: what this gateway is called")
	}
	c.checkName("", 0, a.Name)
	c.readAdmin(a, f.Admin)
	c.readProcessLimits(a, &f)
	c.readClientLimits(a, &f)
	c.readTenantLimits(a, &f)
	if f.isRelayOnly() {
		a.Table, _ = route.Compile(nil, nil)
	} else {
		c.readListeners(a, &f)
		c.readClasses(a, &f)
		c.readPools(a, &f)
		c.readRoutes(a, &f)
	}
	c.readFleet(a, f.Fleet)
	if len(c.errors) > 0 {
		return nil, c.errors
	}
	return a, nil
}
