package config

import (
	"fmt"
	"net/url"
	"os"
	"slices"
	"strings"
)

// Fleet is a gateway's part in a fleet.
type Fleet struct {
	ID      string
	Listen  string // where other gateways connect; "": with relays nobody connects to a gateway
	DataDir string
	KeyFile string
	First   []string // gateways that hold the fleet's record at first
	Peers   []FleetPeer
	Relays  []FleetRelay // in the order of the file; none: all gateways are connected with all
	Zone    string       // of this gateway
	Region  string       // of this gateway, where there are relays
	Machine string
}

// FleetRelay is a control machine that carries the words of the fleet's gateways.
type FleetRelay struct{ Name, Address, Zone, Region string }

// IsRelay says whether a gateway of this name is one of the relays.
func (f *Fleet) IsRelay(name string) bool {
	return slices.ContainsFunc(f.Relays, func(r FleetRelay) bool { return r.Name == name })
}

// FleetPeer is another gateway of the fleet.
type FleetPeer struct{ Name, Address, Zone, Machine string }

// Bounds of the fleet's part.
const (
	maxPeers  = 1023 // with this gateway as many as a full mesh has place for
	maxRelays = 64   // each is connected with each other one, both ways
	firstMost = 9    // each that holds the record costs every change a message
	keyLeast  = 32   // bytes: as long as what is made of it
	keyMost   = 4096
)

// fleet checks the fleet's part.
func (c *checker) fleet(a *Appliance, f *fleetFile) {
	if f == nil {
		return
	}
	out := &Fleet{ID: f.ID, Listen: f.Listen, DataDir: f.DataDir, KeyFile: f.KeyFile, First: f.First}
	bad := func(key, format string, args ...any) { c.bad("fleet", 0, key, format, args...) }
	if f.ID == "" {
		bad("id", "is missing: what the fleet is called, the same at all its gateways")
	}
	c.nameAt("fleet", 0, "id", f.ID)
	connects := len(f.Relay) > 0 && !slices.ContainsFunc(f.Relay, func(r relayFile) bool { return r.Name == a.Name })
	switch {
	case connects && f.Listen != "":
		bad("listen", "is for relays: this gateway connects to one, and nobody to it")
	case !connects && !hostPort(f.Listen, 1):
		bad("listen", "%q is no address like \"10.0.0.4:7400\"", f.Listen)
	}
	if !strings.HasPrefix(f.DataDir, "/") {
		bad("data_dir", "%q is no path from the root", f.DataDir)
	}
	if f.KeyFile == "" {
		bad("key_file", "is missing: a file with the key that the fleet's gateways share")
	}
	known := map[string]int{}
	if len(f.Peer) > maxPeers {
		c.bad("fleet.peer", maxPeers, "", "more than %d", maxPeers)
	}
	at := map[string]string{}
	for i, p := range f.Peer {
		c.name("fleet.peer", i, p.Name)
		first, taken := known[p.Name]
		switch {
		case p.Name == "":
			c.bad("fleet.peer", i, "name", "is missing")
		case taken:
			c.bad("fleet.peer", i, "name", "%q is taken (line %d)", p.Name, c.Line("fleet.peer", first, "name"))
		}
		known[p.Name] = i
		if p.Name == a.Name {
			out.Zone, out.Machine = p.Zone, p.Machine // all gateways may have the same list
			continue
		}
		if !hostPort(p.Address, 1) {
			c.bad("fleet.peer", i, "address", "%q is no host:port", p.Address)
		} else if other := at[p.Address]; other != "" {
			c.bad("fleet.peer", i, "address", "%q is that of %s", p.Address, other)
		}
		at[p.Address] = p.Name
		out.Peers = append(out.Peers, FleetPeer(p))
	}
	c.relays(a, f, out)
	switch {
	case len(f.First) == 0:
		bad("first", "is missing: the gateways that hold the fleet's record at first; three or five, as most of them have to be up")
	case len(f.First) > firstMost:
		bad("first", "%d gateways, %d at most", len(f.First), firstMost)
	}
	for i, name := range f.First {
		_, ok := known[name]
		switch {
		case len(out.Relays) > 0:
			if !out.IsRelay(name) {
				bad("first", "%q is no relay: in a fleet that has some they hold the record", name)
			}
		case !ok && name != a.Name:
			bad("first", "%q is neither a peer nor this gateway", name)
		}
		if slices.Contains(f.First[:i], name) {
			bad("first", "%q is there twice", name)
		}
	}
	a.Fleet = out
}

// relays checks the relays, and where this gateway stands among them.
func (c *checker) relays(a *Appliance, f *fleetFile, out *Fleet) {
	bad := func(key, format string, args ...any) { c.bad("fleet", 0, key, format, args...) }
	if len(f.Relay) == 0 {
		for _, own := range []struct{ key, value string }{{"zone", f.Zone}, {"region", f.Region}} {
			if own.value != "" {
				bad(own.key, "is for fleets with [[fleet.relay]]; among peers it stands with each [[fleet.peer]]")
			}
		}
		return
	}
	if len(f.Peer) > 0 {
		c.bad("fleet.peer", 0, "", "there are relays too: gateways are connected with all others, or with one relay")
	}
	if len(f.Relay) > maxRelays {
		c.bad("fleet.relay", maxRelays, "", "more than %d", maxRelays)
	}
	c.nameAt("fleet", 0, "zone", f.Zone)
	c.nameAt("fleet", 0, "region", f.Region)
	out.Zone, out.Region = f.Zone, f.Region
	named, at := map[string]int{}, map[string]string{}
	var regions []string
	for i, r := range f.Relay {
		c.name("fleet.relay", i, r.Name)
		c.nameAt("fleet.relay", i, "zone", r.Zone)
		c.nameAt("fleet.relay", i, "region", r.Region)
		first, taken := named[r.Name]
		switch {
		case r.Name == "":
			c.bad("fleet.relay", i, "name", "is missing")
		case taken:
			c.bad("fleet.relay", i, "name", "%q is taken (line %d)", r.Name, c.Line("fleet.relay", first, "name"))
		}
		named[r.Name] = i
		if !hostPort(r.Address, 1) {
			c.bad("fleet.relay", i, "address", "%q is no host:port", r.Address)
		} else if other := at[r.Address]; other != "" {
			c.bad("fleet.relay", i, "address", "%q is that of %s", r.Address, other)
		}
		at[r.Address] = r.Name
		if !slices.Contains(regions, r.Region) {
			regions = append(regions, r.Region)
		}
		if r.Name == a.Name {
			for _, x := range []struct{ key, own, relay string }{{"zone", f.Zone, r.Zone}, {"region", f.Region, r.Region}} {
				if x.own != "" && x.own != x.relay {
					bad(x.key, "%q, and as a relay it is in %q (line %d)", x.own, x.relay, c.Line("fleet.relay", i, x.key))
				}
			}
			out.Zone, out.Region = r.Zone, r.Region
		}
		out.Relays = append(out.Relays, FleetRelay(r))
	}
	if !slices.Contains(regions, out.Region) {
		bad("region", "no relay is in region %q, they are in %q", out.Region, regions)
	}
}

// check checks the path by which the fleet tries a pool's hosts.
func (c *checker) check(i int, p *Pool, fleet bool) {
	switch u, err := url.ParseRequestURI(p.Check); {
	case p.Check == "":
	case !fleet:
		c.bad("pool", i, "check", "needs [fleet]: it is one gateway that tries hosts for all")
	case p.Protocol == FastCGI:
		c.bad("pool", i, "check", "is for pools with protocol = %q", HTTP1)
	case err != nil || !strings.HasPrefix(p.Check, "/") || u.Fragment != "" || strings.ContainsFunc(p.Check, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		c.bad("pool", i, "check", "%q is no path like \"/alive\"", p.Check)
	}
}

// ReadKey reads the key that a fleet's gateways share.
func ReadKey(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("fleet.key_file: %s: others than its owner may use it (mode %04o): chmod 600", path, info.Mode().Perm())
	}
	if info.Size() > keyMost {
		return nil, fmt.Errorf("fleet.key_file: %s: %d bytes, %d at most", path, info.Size(), keyMost)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	if b = []byte(strings.TrimSpace(string(b))); len(b) < keyLeast {
		return nil, fmt.Errorf("fleet.key_file: %s: %d bytes, %d at least: head -c 32 /dev/urandom | base64", path, len(b), keyLeast)
	}
	return b, nil
}
