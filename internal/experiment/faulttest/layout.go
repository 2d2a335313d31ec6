package faulttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// Options describe a Fleet.
type Options struct {
	Program  string // path of the binary
	Dir      string // directory for files, disks and logs
	Gateways int    // number of gateways, including relays
	Replicas int    // number of bootstrap replicas of the coordination state, the first gateways
	Hosts    int    // number of fake hosts, which a fake discovery lists
	Seed     uint64
	Env      []string // environment variables added to those of the gateways
	Relays   int      // number of relays, the first gateways, without listeners for clients; 0: a full mesh
	// WithoutHealthChecks disables the health checks of hosts: each gateway must detect by itself that a host is up again.
	WithoutHealthChecks bool
}

const (
	// fleetKey is the key of the fleet.
	fleetKey = "this key is of a test and of nothing else"
	// minPort and maxPort bound the ports of gateways. They are below the ephemeral ports of outgoing connections (from
	// 32768 on, see ip(7)), so that no connection takes the port of a gateway that is down.
	minPort = 20000
	maxPort = 32000
	// portsPerGateway is the number of ports of a gateway: for clients, for operators and for other gateways.
	portsPerGateway = 3
	// adminTimeout is the timeout of requests to the admin address.
	adminTimeout = 5 * time.Second
)

// Names of the leases in a fleet with the pool calendar.
const (
	endpointsLease    = "list/calendar"
	healthCheckLease  = "check/calendar"
	housekeepingLease = "housekeeping"
)

// New creates the files and links of a fleet, and starts its hosts and discovery. It starts no gateway. The caller must
// close the fleet.
func New(o Options) (*Fleet, error) {
	f := &Fleet{
		Options: o,
		links:   map[linkKey]*Link{},
		client:  http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var err error
	if f.log, err = os.Create(filepath.Join(o.Dir, "log")); err != nil {
		return nil, err
	}
	if f.History, err = NewHistory(filepath.Join(o.Dir, "history.jsonl")); err != nil {
		return nil, err
	}
	behaviour := fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8}
	if f.Hosts, err = fakes.StartFleet(o.Hosts, o.Seed, behaviour); err != nil {
		return nil, err
	}
	if err := os.WriteFile(f.keyFile(), []byte(fleetKey), 0o600); err != nil {
		return nil, err
	}
	if err := f.addGateways(); err != nil {
		return nil, err
	}
	for i, g := range f.Gateways {
		if err := f.addLinks(i); err != nil {
			return nil, err
		}
		if err := os.WriteFile(g.file, []byte(f.fileText(i)), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) keyFile() string { return filepath.Join(f.Dir, "key") }

// addGateways adds the gateways with their addresses.
func (f *Fleet) addGateways() error {
	addresses, err := freeAddresses(portsPerGateway * f.Options.Gateways)
	if err != nil {
		return err
	}
	for i := range f.Options.Gateways {
		own := addresses[portsPerGateway*i:]
		name := fmt.Sprintf("g%d", i+1)
		f.Gateways = append(f.Gateways, &Gateway{
			Name:    name,
			fleet:   f,
			clients: own[0],
			admin:   own[1],
			peers:   own[2],
			dir:     filepath.Join(f.Dir, name),
			file:    filepath.Join(f.Dir, name+".toml"),
		})
	}
	return nil
}

// freeAddresses finds free ports on a random loopback address, so that fleets on the same machine use different addresses:
// another fleet could otherwise take the port of a gateway that is down.
func freeAddresses(count int) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	var addresses []string
	for port := minPort; len(addresses) < count && port < maxPort; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			continue // the port is in use
		}
		listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	if len(addresses) < count {
		return nil, fmt.Errorf("faulttest: fewer than %d ports of %s are free from %d to %d", count, host, minPort, maxPort)
	}
	return addresses, nil
}

// addLinks adds the links from a gateway to all others, or to all other relays if the fleet has relays.
func (f *Fleet) addLinks(from int) error {
	for to, other := range f.Gateways {
		isTarget := f.Relays == 0 || to < f.Relays
		if from == to || !isTarget {
			continue
		}
		link, err := NewLink(other.peers)
		if err != nil {
			return err
		}
		f.links[linkKey{from, to}] = link
	}
	return nil
}

// fileText returns the text of a gateway's configuration file.
func (f *Fleet) fileText(index int) string {
	g := f.Gateways[index]
	isRelay := index < f.Relays
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nadmin = %q\n", g.Name, g.admin)
	if !isRelay {
		f.writeServing(&b, g)
	}
	var bootstrapReplicas []string
	for _, replica := range f.Gateways[:f.Replicas] {
		bootstrapReplicas = append(bootstrapReplicas, fmt.Sprintf("%q", replica.Name))
	}
	fmt.Fprintf(&b, "[fleet]\nid = \"trial\"\ndata_dir = %q\nkey_file = %q\nfirst = [%s]\n", g.dir, f.keyFile(), strings.Join(bootstrapReplicas, ", "))
	if isRelay || f.Relays == 0 {
		fmt.Fprintf(&b, "listen = %q\n", g.peers)
	}
	f.writePeers(&b, index)
	return b.String()
}

// writePeers writes the tables of the other gateways, or of the relays, with the addresses of the links to them.
func (f *Fleet) writePeers(b *strings.Builder, from int) {
	table := "fleet.peer"
	if f.Relays > 0 {
		table = "fleet.relay"
	}
	for to, other := range f.Gateways {
		address := ""
		if link := f.links[linkKey{from, to}]; link != nil {
			address = link.Addr()
		} else if from == to && to < f.Relays {
			address = other.peers // a relay lists itself
		}
		if address != "" {
			fmt.Fprintf(b, "[[%s]]\nname = %q\naddress = %q\n", table, other.Name, address)
		}
	}
}

// effectNames are the values of the setting "effect" in a gateway's file.
var effectNames = [...]string{
	fakes.Idempotent:        "safe",
	fakes.IdempotentWithKey: "keyed",
	fakes.NonIdempotent:     "unsafe",
}

// writeServing writes the listener, classes, pool and route of a gateway.
func (f *Fleet) writeServing(b *strings.Builder, g *Gateway) {
	fmt.Fprintf(b, "[[listener]]\naddress = %q\n", g.clients)
	for _, c := range fakes.DefaultClasses() {
		fmt.Fprintf(b, "[[class]]\nname = %q\neffect = %q\naim = \"2s\"\ndeadline = \"10s\"\nworth = 1\n", c.Name, effectNames[c.Idempotency])
		if c.DedupWindow > 0 {
			fmt.Fprintf(b, "group = \"cell\"\nwindow = %q\n", c.DedupWindow)
		}
	}
	healthCheck := "check = \"/alive\"\n"
	if f.WithoutHealthChecks {
		healthCheck = ""
	}
	fmt.Fprintf(b, "[[pool]]\nname = \"calendar\"\ndiscovery = %q\n%s[[route]]\nname = \"all\"\npool = \"calendar\"\n", f.Hosts.Discovery.Addr(), healthCheck)
}
