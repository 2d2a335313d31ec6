package config

import "slices"

// applianceFile is the structure of the configuration file of an appliance.
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
	Listener []listenerFile
	Class    []classFile
	Pool     []poolFile
	Route    []routeFile
}

type listenerFile struct {
	Name, Address, Protocol string
	Trusted                 []string
	ProxyProtocol           bool `toml:"proxy_protocol"`
}

type classFile struct {
	Name     string
	Aim      Duration
	Deadline Duration
	Worth    float64
	Effect   string
	Group    string
	Window   Duration
}

type poolFile struct {
	Name        string
	Members     []memberFile
	MembersFile string `toml:"members_file"`
	Discovery   string
	Protocol    string
	ScriptRoot  string `toml:"script_root"`
	Params      map[string]string
	Need        float64
	Fallback    []string
	Sockets     float64
	ColdFrom    float64  `toml:"cold_from"`
	WarmAfter   Duration `toml:"warm_after"`
	Check       string
}

type memberFile struct {
	ID, Address, Zone, Kind string
	Cell                    int
}

type routeFile struct {
	Name       string
	Hosts      []string
	Path       string
	Methods    []string
	Headers    map[string]string
	Pool       string
	Split      map[string]int
	SplitBy    string `toml:"split_by"`
	Class      string
	Timeout    Duration
	Repeatable []string
	Failures   []int
	Hold       *Size
	MaxBody    Size `toml:"max_body"`
	Stream     bool
	Idle       Duration
	LeastRate  *Size `toml:"least_rate"`
	Upgrades   int
	Request    headersFile
	Answer     headersFile
	RetryShare *float64 `toml:"retry_share"`
	RetryFloor *float64 `toml:"retry_floor"`
}

// headersFile has the rules for the headers of requests or responses.
type headersFile struct {
	Set, Add map[string]string
	Remove   []string
}

// fleetFile is the structure of the fleet section.
type fleetFile struct {
	ID      string
	Listen  string
	DataDir string `toml:"data_dir"`
	KeyFile string `toml:"key_file"`
	First   []string
	Zone    string
	Region  string
	Peer    []peerFile
	Relay   []relayFile
}

type peerFile struct{ Name, Address, Zone, Machine string }

type relayFile struct{ Name, Address, Zone, Region string }

// isRelayOnly reports whether a file configures a relay that serves no client requests.
func (f *applianceFile) isRelayOnly() bool {
	return f.Fleet != nil && len(f.Listener)+len(f.Class)+len(f.Pool)+len(f.Route) == 0 &&
		slices.ContainsFunc(f.Fleet.Relay, func(r relayFile) bool { return r.Name == f.Name })
}
