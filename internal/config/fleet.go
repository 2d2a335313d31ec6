package config

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Fleet is a gateway's part in a fleet.
type Fleet struct {
	ID                string
	Listen            string // where other gateways connect; "": with relays nobody connects to a gateway
	DataDir           string
	KeyFile           string
	BootstrapReplicas []string // names of gateways
	Peers             []FleetPeer
	Relays            []FleetRelay // in the order of the file; none: all gateways are connected with all
	Zone              string       // of this gateway
	Region            string       // of this gateway, where there are relays
	Machine           string
}

// FleetRelay is a machine that relays messages of the fleet's gateways.
type FleetRelay struct{ Name, Address, Zone, Region string }

// FleetPeer is another gateway of the fleet.
type FleetPeer struct{ Name, Address, Zone, Machine string }

// IsRelay reports whether a gateway with a name is one of the relays.
func (f *Fleet) IsRelay(name string) bool {
	return slices.ContainsFunc(f.Relays, func(r FleetRelay) bool { return r.Name == name })
}

// Bounds of the part for a fleet.
const (
	maxPeers             = 1023 // with this gateway as many as a full mesh allows
	maxRelays            = 64   // each is connected with every other, in both directions
	maxBootstrapReplicas = 9    // each costs every change a message
	minKeyBytes          = 32   // as long as what is derived from it
	maxKeyBytes          = 4096
	// keyFileMode are the permissions that a key file must not have.
	keyFileMode = 0o077
)

// readFleet reads the part for a fleet.
func (c *checker) readFleet(a *Appliance, f *fleetFile) {
	if f == nil {
		return
	}
	out := &Fleet{ID: f.ID, Listen: f.Listen, DataDir: f.DataDir, KeyFile: f.KeyFile, BootstrapReplicas: f.First}
	if f.ID == "" {
		c.addErrorf("fleet", 0, "id", "is missing: what the fleet is called, the same at all its gateways")
	}
	c.checkNameAt("fleet", 0, "id", f.ID)
	c.checkFleetListen(a.Name, f)
	if !strings.HasPrefix(f.DataDir, "/") {
		c.addErrorf("fleet", 0, "data_dir", "%q is no path from the root", f.DataDir)
	}
	if f.KeyFile == "" {
		c.addErrorf("fleet", 0, "key_file", "is missing: a file with the key that the fleet's gateways share")
	}
	peers := c.readPeers(a.Name, f, out)
	c.readRelays(a.Name, f, out)
	c.checkBootstrapReplicas(a.Name, peers, out)
	a.Fleet = out
}

// checkFleetListen checks the address for other gateways, which a gateway with a stream to a relay has not.
func (c *checker) checkFleetListen(name string, f *fleetFile) {
	hasStream := len(f.Relay) > 0 && !slices.ContainsFunc(f.Relay, func(r relayFile) bool { return r.Name == name })
	switch {
	case hasStream && f.Listen != "":
		c.addErrorf("fleet", 0, "listen", "is for relays: this gateway connects to one, and nobody to it")
	case !hasStream && !isHostPort(f.Listen, 1):
		c.addErrorf("fleet", 0, "listen", "%q is no address like \"10.0.0.4:7400\"", f.Listen)
	}
}

// readPeers reads the other gateways of a full mesh, and returns the index of each name.
func (c *checker) readPeers(name string, f *fleetFile, out *Fleet) map[string]int {
	if len(f.Peer) > maxPeers {
		c.addErrorf("fleet.peer", maxPeers, "", "more than %d", maxPeers)
	}
	names := map[string]int{}
	addresses := map[string]string{}
	for i, p := range f.Peer {
		c.checkName("fleet.peer", i, p.Name)
		c.checkUniqueName("fleet.peer", i, p.Name, names)
		if p.Name == name {
			// All gateways may have the same list: the entry of this one has its place.
			out.Zone = p.Zone
			out.Machine = p.Machine
			continue
		}
		c.checkUniqueAddress("fleet.peer", i, p.Name, p.Address, addresses)
		out.Peers = append(out.Peers, FleetPeer(p))
	}
	return names
}

// checkBootstrapReplicas checks the gateways that form the fleet.
func (c *checker) checkBootstrapReplicas(name string, peers map[string]int, out *Fleet) {
	addErrorf := func(format string, args ...any) { c.addErrorf("fleet", 0, "first", format, args...) }
	list := out.BootstrapReplicas
	switch {
	case len(list) == 0:
		addErrorf("is missing: the gateways that hold the fleet's record at first; three or five, as most of them have to be up")
	case len(list) > maxBootstrapReplicas:
		addErrorf("%d gateways, %d at most", len(list), maxBootstrapReplicas)
	}
	for i, replica := range list {
		_, isPeer := peers[replica]
		switch {
		case len(out.Relays) > 0:
			if !out.IsRelay(replica) {
				addErrorf("%q is no relay: in a fleet that has some they hold the record", replica)
			}
		case !isPeer && replica != name:
			addErrorf("%q is neither a peer nor this gateway", replica)
		}
		if slices.Contains(list[:i], replica) {
			addErrorf("%q is there twice", replica)
		}
	}
}

// readRelays checks the relays, and the place of this gateway.
func (c *checker) readRelays(name string, f *fleetFile, out *Fleet) {
	if len(f.Relay) == 0 {
		for _, own := range []struct{ key, value string }{{"zone", f.Zone}, {"region", f.Region}} {
			if own.value != "" {
				c.addErrorf("fleet", 0, own.key, "is for fleets with [[fleet.relay]]; among peers it stands with each [[fleet.peer]]")
			}
		}
		return
	}
	if len(f.Peer) > 0 {
		c.addErrorf("fleet.peer", 0, "", "there are relays too: gateways are connected with all others, or with one relay")
	}
	if len(f.Relay) > maxRelays {
		c.addErrorf("fleet.relay", maxRelays, "", "more than %d", maxRelays)
	}
	c.checkNameAt("fleet", 0, "zone", f.Zone)
	c.checkNameAt("fleet", 0, "region", f.Region)
	out.Zone, out.Region = f.Zone, f.Region
	names := map[string]int{}
	addresses := map[string]string{}
	var regions []string
	for i, r := range f.Relay {
		c.checkName("fleet.relay", i, r.Name)
		c.checkNameAt("fleet.relay", i, "zone", r.Zone)
		c.checkNameAt("fleet.relay", i, "region", r.Region)
		c.checkUniqueName("fleet.relay", i, r.Name, names)
		c.checkUniqueAddress("fleet.relay", i, r.Name, r.Address, addresses)
		if !slices.Contains(regions, r.Region) {
			regions = append(regions, r.Region)
		}
		if r.Name == name {
			c.checkOwnRelay(i, f, &r)
			out.Zone, out.Region = r.Zone, r.Region
		}
		out.Relays = append(out.Relays, FleetRelay(r))
	}
	if !slices.Contains(regions, out.Region) {
		c.addErrorf("fleet", 0, "region", "no relay is in region %q, they are in %q", out.Region, regions)
	}
}

// checkOwnRelay checks that a relay's own zone and region agree with its entry.
func (c *checker) checkOwnRelay(i int, f *fleetFile, r *relayFile) {
	for _, x := range []struct{ key, own, relay string }{{"zone", f.Zone, r.Zone}, {"region", f.Region, r.Region}} {
		if x.own != "" && x.own != x.relay {
			c.addErrorf("fleet", 0, x.key, "%q, and as a relay it is in %q (line %d)", x.own, x.relay, c.Line("fleet.relay", i, x.key))
		}
	}
}

// ReadKey reads the key that a fleet's gateways share.
func ReadKey(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	if info.Mode().Perm()&keyFileMode != 0 {
		return nil, fmt.Errorf("fleet.key_file: %s: others than its owner may use it (mode %04o): chmod 600", path, info.Mode().Perm())
	}
	if info.Size() > maxKeyBytes {
		return nil, fmt.Errorf("fleet.key_file: %s: %d bytes, %d at most", path, info.Size(), maxKeyBytes)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	key := bytes.TrimSpace(b)
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("fleet.key_file: %s: %d bytes, %d at least: head -c 32 /dev/urandom | base64", path, len(key), minKeyBytes)
	}
	return key, nil
}
