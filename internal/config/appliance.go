// Package config reads and validates configuration files. It reads three kinds of files: the TOML file of an appliance
// with its fleet section, the TOML file of the flight recorder, and the JSON file of a platform gateway. The TOML files
// are read strictly: an unknown key or a value out of range is an Error, which is one line with the file, line and field.
// In the JSON file unknown keys are ignored, and errors have no line.
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

// Appliance is the validated configuration of an appliance, with defaults applied. An appliance is a gateway that is
// configured by its own TOML file.
type Appliance struct {
	Name      string
	Admin     string // address of the admin API; "" disables it
	Limits    Limits
	Tenants   []ratelimit.Tenant
	Listeners []Listener
	Classes   []Class
	Pools     []Pool
	Routes    []Route
	Table     *route.Table // compiled from the rules of Routes, in the same order
	Fleet     *Fleet       // nil if the gateway is not in a fleet
}

// Serves reports whether the gateway serves client requests. Relays of a fleet may serve none.
func (a *Appliance) Serves() bool { return len(a.Listeners) > 0 }

// Limits are the resource limits of the process and the rate limits of clients and tenants.
type Limits struct {
	Cores          float64 // 0 for all cores
	MemoryMB       int     // MiB
	Sockets        int     // file descriptors of the process; see SharedSockets
	HeadKB         int     // maximum size of the header section of a request, in KiB
	Headers        int     // maximum number of header fields of a request on a plain route
	NoLoadShedding bool
	Clients        ratelimit.ClientLimits // limits of each client
	ClientTableKB  int                    // size of the table of clients, in KiB
	Tenants        ratelimit.TenantLimits // limits that all tenants share
	TenantHeader   string                 // request header that names the tenant
}

// Listener is an address on which the gateway accepts client connections.
type Listener struct {
	Name, Address, Protocol string
	TrustedProxies          []netip.Prefix // peers whose forwarding headers are passed on
	ProxyProtocol           bool           // connections must start with a PROXY protocol header
}

// Class is a request class.
type Class struct {
	Name string
	balancer.Class
}

// Pool is a set of hosts that serve the same requests.
type Pool struct {
	Name            string
	Protocol        string
	ScriptRoot      string            // document root of scripts; FastCGI pools only
	Params          map[string]string // added to the parameters of the gateway, or replacing them; FastCGI pools only
	Members         []Member          // static list of hosts
	File            string            // path of a file with the list of hosts, which is followed for changes
	Discovery       string            // host:port of the discovery service with the list of hosts
	MinShare        float64           // share of healthy hosts below which a part of the traffic goes to Fallback
	Fallback        []string          // names of the pools of the failover chain, in order
	SocketShare     float64           // share of the descriptors for hosts; 0 for an equal part of the rest
	SlowStart       SlowStart
	HealthCheckPath string // path with which one gateway of the fleet checks ejected hosts; "" disables health checks
}

// SlowStart configures the slow start of hosts. A host starts with Share of its capacity and has all of it after Window.
type SlowStart struct {
	Share  float64
	Window time.Duration
}

// Member is a host of a static list of members.
type Member struct {
	ID, Address, Zone, Kind string
	Cell                    int
}

// Route has the settings that a route applies to its requests. Its matching rules are in Appliance.Table.
type Route struct {
	Class              string // "" if requests name their class in a header, as in the platform's protocol
	Timeout            time.Duration
	RetryableMethods   []string           // methods that may be retried, in addition to the safe ones
	FailureStatuses    []int              // statuses of hosts that count as failures
	BufferBytes        int64              // bytes of a body that are buffered so that the request can be retried
	MaxBodyBytes       int64              // 0 for no limit
	HeaderDeadlineOnly bool               // the timeout applies only until the header section of the response has arrived
	IdleTimeout        time.Duration      // maximum time without a byte from a client or host
	MinRate            int64              // minimum rate of a client or host in bytes per second; 0 for none
	MaxTunnels         int                // maximum number of connections switched to another protocol
	RequestHeaders     engine.HeaderRules // applied to requests to hosts
	ResponseHeaders    engine.HeaderRules // applied to responses to clients
	RetryShare         float64            // retries allowed per first attempt
	RetryFloor         float64            // retries per second allowed in addition to RetryShare
}

// Protocols of listeners and pools.
const (
	HTTP1   = "http1" // the default
	FastCGI = "fastcgi"
)

var protocols = []string{HTTP1, FastCGI}

// LoadAppliance reads and validates the configuration file of an appliance. It returns all errors of the file.
func LoadAppliance(path string) (*Appliance, []error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []error{err}
	}
	return ParseAppliance(path, string(text))
}

// ParseAppliance is LoadAppliance for the text of a file. path is used in errors.
func ParseAppliance(path, text string) (*Appliance, []error) {
	c := &checker{Text: NewText(path, text)}
	var f applianceFile
	c.errors = c.DecodeAll(&f)
	// If the file has errors and no value was decoded, checks would only add consequential errors.
	canCheck := len(c.errors) == 0 || !reflect.ValueOf(f).IsZero()
	if !canCheck {
		return nil, c.errors
	}
	a := &Appliance{Name: f.Name}
	if a.Name == "" {
		c.addErrorf("", 0, "name", "is missing: set the name of this gateway")
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
