package config

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Fleet is the configuration of a gateway as a member of a fleet.
type Fleet struct {
	ID                string // name of the fleet
	Listen            string // address for connections of other gateways; "" for a gateway that connects to relays
	DataDir           string
	KeyFile           string
	BootstrapReplicas []string // names of the gateways that hold the replicated state at first
	Peers             []FleetPeer
	Relays            []FleetRelay // relays in the order of the file; empty if the gateways form a full mesh
	Zone              string       // zone of this gateway
	Region            string       // region of this gateway, in a fleet with relays
	Machine           string       // machine of this gateway, in a full mesh
}

// FleetRelay is a relay, which forwards messages between the gateways of the fleet.
type FleetRelay struct{ Name, Address, Zone, Region string }

// FleetPeer is another gateway of a full mesh.
type FleetPeer struct{ Name, Address, Zone, Machine string }

// IsRelay reports whether the named gateway is one of the relays.
func (f *Fleet) IsRelay(name string) bool {
	return slices.ContainsFunc(f.Relays, func(r FleetRelay) bool { return r.Name == name })
}

// Limits of the fleet section.
const (
	maxPeers             = 1023 // 1024 gateways with this one, the maximum of a full mesh
	maxRelays            = 64   // relays are connected with each other in both directions
	maxBootstrapReplicas = 9    // every change costs one message per replica
	minKeyBytes          = 32   // the length of the HMAC-SHA-256 codes that are computed with the key
	maxKeyBytes          = 4096
	// keyFileMode has the permission bits that a key file must not have.
	keyFileMode = 0o077
)

// readFleet reads the fleet section.
func (c *checker) readFleet(a *Appliance, f *fleetFile) {
	if f == nil {
		return
	}
	out := &Fleet{ID: f.ID, Listen: f.Listen, DataDir: f.DataDir, KeyFile: f.KeyFile, BootstrapReplicas: f.First}
	if f.ID == "" {
		c.addErrorf("fleet", 0, "id", "is missing: set the name of the fleet, which must be the same on all its gateways")
	}
	c.checkNameAt("fleet", 0, "id", f.ID)
	c.checkFleetListen(a.Name, f)
	if !strings.HasPrefix(f.DataDir, "/") {
		c.addErrorf("fleet", 0, "data_dir", "%q is not an absolute path", f.DataDir)
	}
	if f.KeyFile == "" {
		c.addErrorf("fleet", 0, "key_file", "is missing: set the path of the file with the key that the fleet's gateways share")
	}
	peers := c.readPeers(a.Name, f, out)
	c.readRelays(a.Name, f, out)
	c.checkBootstrapReplicas(a.Name, peers, out)
	a.Fleet = out
}

// checkFleetListen checks the address for connections of other gateways. A gateway that opens a stream to a relay must not
// have one.
func (c *checker) checkFleetListen(name string, f *fleetFile) {
	hasStream := len(f.Relay) > 0 && !slices.ContainsFunc(f.Relay, func(r relayFile) bool { return r.Name == name })
	switch {
	case hasStream && f.Listen != "":
		c.addErrorf("fleet", 0, "listen", "is for relays: this gateway connects to a relay, and accepts no connections from other gateways")
	case !hasStream && !isHostPort(f.Listen, 1):
		c.addErrorf("fleet", 0, "listen", "%q is not an address like \"10.0.0.4:7400\"", f.Listen)
	}
}

// readPeers reads the gateways of a full mesh. It returns the index of each entry by its name.
func (c *checker) readPeers(name string, f *fleetFile, out *Fleet) map[string]int {
	if len(f.Peer) > maxPeers {
		c.addErrorf("fleet.peer", maxPeers, "", "more than %d peers", maxPeers)
	}
	names := map[string]int{}
	addresses := map[string]string{}
	for i, p := range f.Peer {
		c.checkName("fleet.peer", i, p.Name)
		c.checkUniqueName("fleet.peer", i, p.Name, names)
		if p.Name == name {
			// All gateways may use the same list. The entry of this gateway sets its zone and machine.
			out.Zone = p.Zone
			out.Machine = p.Machine
			continue
		}
		c.checkUniqueAddress("fleet.peer", i, p.Name, p.Address, addresses)
		out.Peers = append(out.Peers, FleetPeer(p))
	}
	return names
}

// checkBootstrapReplicas checks the list of gateways that bootstrap the fleet.
func (c *checker) checkBootstrapReplicas(name string, peers map[string]int, out *Fleet) {
	addErrorf := func(format string, args ...any) { c.addErrorf("fleet", 0, "first", format, args...) }
	list := out.BootstrapReplicas
	switch {
	case len(list) == 0:
		addErrorf("is missing: list the gateways that hold the replicated state at first; three or five, as a majority has to be up")
	case len(list) > maxBootstrapReplicas:
		addErrorf("has %d gateways, the maximum is %d", len(list), maxBootstrapReplicas)
	}
	for i, replica := range list {
		_, isPeer := peers[replica]
		switch {
		case len(out.Relays) > 0:
			if !out.IsRelay(replica) {
				addErrorf("%q is not a relay: in a fleet with relays, they hold the replicated state", replica)
			}
		case !isPeer && replica != name:
			addErrorf("%q is neither a peer nor this gateway", replica)
		}
		if slices.Contains(list[:i], replica) {
			addErrorf("%q is listed twice", replica)
		}
	}
}

// readRelays reads the relays, and the zone and region of this gateway.
func (c *checker) readRelays(name string, f *fleetFile, out *Fleet) {
	if len(f.Relay) == 0 {
		for _, own := range []struct{ key, value string }{{"zone", f.Zone}, {"region", f.Region}} {
			if own.value != "" {
				c.addErrorf("fleet", 0, own.key, "is for fleets with [[fleet.relay]]; in a full mesh it is set in each [[fleet.peer]]")
			}
		}
		return
	}
	if len(f.Peer) > 0 {
		c.addErrorf("fleet.peer", 0, "", "can't be combined with [[fleet.relay]]: gateways connect to all others, or to one relay")
	}
	if len(f.Relay) > maxRelays {
		c.addErrorf("fleet.relay", maxRelays, "", "more than %d relays", maxRelays)
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
		c.addErrorf("fleet", 0, "region", "no relay is in region %q, the relays are in %q", out.Region, regions)
	}
}

// checkOwnRelay checks that the zone and region in the fleet section of a relay are equal to those in its entry.
func (c *checker) checkOwnRelay(i int, f *fleetFile, r *relayFile) {
	for _, x := range []struct{ key, own, relay string }{{"zone", f.Zone, r.Zone}, {"region", f.Region, r.Region}} {
		if x.own != "" && x.own != x.relay {
			c.addErrorf("fleet", 0, x.key, "%q differs from %q in the entry of this relay (line %d)", x.own, x.relay, c.Line("fleet.relay", i, x.key))
		}
	}
}

// ReadKey reads the key that the gateways of a fleet share. The file must be accessible by its owner only.
func ReadKey(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	if info.Mode().Perm()&keyFileMode != 0 {
		return nil, fmt.Errorf("fleet.key_file: %s: accessible by others than its owner (mode %04o): use chmod 600", path, info.Mode().Perm())
	}
	if info.Size() > maxKeyBytes {
		return nil, fmt.Errorf("fleet.key_file: %s: has %d bytes, the maximum is %d", path, info.Size(), maxKeyBytes)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	key := bytes.TrimSpace(b)
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("fleet.key_file: %s: has %d bytes, the minimum is %d: create a key with head -c 32 /dev/urandom | base64", path, len(key), minKeyBytes)
	}
	return key, nil
}
