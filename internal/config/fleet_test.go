package config

import (
	"strings"
	"testing"
)

// fleetExample is the example file of a gateway in a full mesh.
const fleetExample = "../../deploy/fleet.toml"

// The example is valid, and each error in the fleet section is one line with file, line and field.
func TestParseApplianceChecksFleetSettings(t *testing.T) {
	valid := readExample(t, fleetExample)
	a, errs := ParseAppliance("f", valid)
	if len(errs) > 0 || a.Fleet.ID != "glasgow" || len(a.Fleet.Peers) != 2 || a.Fleet.Machine != "m1" || len(a.Fleet.BootstrapReplicas) != 3 {
		t.Fatalf("appliance %+v, errors %v, want fleet glasgow with 2 peers, machine m1 and 3 bootstrap replicas", a, errs)
	}
	for _, c := range []struct{ old, new, want string }{
		{`id = "glasgow"`, `id = "glas gow"`, `fleet.id: "glas gow" contains ' '`},
		{`id = "glasgow"`, ``, "fleet.id: is missing"},
		{`listen = "127.0.0.1:7401"`, `listen = "7401"`, `fleet.listen: "7401" is not an address`},
		{`check = "/alive"`, `check = "alive"`, `pool.check: "alive" is not a path like "/alive"`},
		{`check = "/alive"`, "check = \"/alive\"\nprotocol = \"fastcgi\"", `pool.check: is for pools with protocol = "http1"`},
		{`"/var/lib/dunemoor/depot-1"`, `"depot-1"`, `fleet.data_dir: "depot-1" is not an absolute path`},
		{`key_file = "/etc/dunemoor/fleet.key"`, ``, "fleet.key_file: is missing"},
		{`first = [`, `first = ["x", `, `fleet.first: "x" is neither a peer nor this gateway`},
		{`first = [`, `first = ["depot-2", `, `fleet.first: "depot-2" is listed twice`},
		{`first = ["depot-1", "depot-2", "depot-3"]`, ``, "fleet.first: is missing"},
		{`127.0.0.1:7403`, `127.0.0.1:7402`, `fleet.peer.address: "127.0.0.1:7402" is already the address of depot-2`},
		{`address = "127.0.0.1:7402"`, ``, `fleet.peer.address: "" is not a host:port address`},
		{`name = "depot-3"`, `name = "depot-2"`, `fleet.peer.name: "depot-2" is taken`},
		{`machine = "m3"`, `machin = "m3"`, "there is no such setting"},
	} {
		checkRejected(t, c.new+" for "+c.old, replaceFirst(t, valid, c.old, c.new), c.want)
	}
	alone, _, _ := strings.Cut(valid, "[fleet]")
	checkRejected(t, "health check without a fleet", alone, "pool.check: needs [fleet]: one gateway of a fleet checks the hosts for all its gateways")
}

// relaysExample is the example file of a gateway in a fleet with relays.
const relaysExample = "../../deploy/fleet-relays.toml"

// relayListen replaces "data_dir =" to add the listen address of a relay. The example has none, as it is the file of a
// gateway that is not a relay.
const relayListen = "listen = \"127.0.0.1:7403\"\ndata_dir ="

// relayExample returns the example with relays, changed to the file of a relay that serves no requests.
func relayExample(t *testing.T) string {
	t.Helper()
	beforeListeners, rest, _ := strings.Cut(readExample(t, relaysExample), "[[listener]]")
	_, fleetPart, _ := strings.Cut(rest, "[fleet]")
	return strings.NewReplacer(
		`"depot-1"`, `"relay-3"`,
		`zone = "hall-a"                 `, `#`,
		"region = \"west\"\n\n# A relay", "#",
		"data_dir =", relayListen,
	).Replace(beforeListeners + "[fleet]" + fleetPart)
}

func TestParseApplianceReadsExampleWithRelays(t *testing.T) {
	a, errs := ParseAppliance("f", readExample(t, relaysExample))
	if len(errs) > 0 || len(a.Fleet.Relays) != 3 || a.Fleet.Zone != "hall-a" || a.Fleet.Region != "west" || a.Fleet.IsRelay(a.Name) || !a.Serves() {
		t.Fatalf("appliance %+v, errors %v, want a gateway with listeners that is none of 3 relays, in zone hall-a and region west", a, errs)
	}
}

// The file of a relay needs no listeners, classes, pools and routes.
func TestParseApplianceReadsFileOfRelay(t *testing.T) {
	text := relayExample(t)
	r, errs := ParseAppliance("f", text)
	if len(errs) > 0 || !r.Fleet.IsRelay(r.Name) || r.Serves() || r.Fleet.Zone != "quay-a" || r.Fleet.Region != "east" {
		t.Fatalf("got %+v, errors %v, want a relay without listeners in zone quay-a and region east, from\n%s", r, errs, text)
	}
}

// Each error in the fleet section of a fleet with relays is one line with file, line and field.
func TestParseApplianceChecksRelaySettings(t *testing.T) {
	gateway, relay := readExample(t, relaysExample), relayExample(t)
	for _, c := range []struct{ from, old, new, want string }{
		{gateway, `zone = "hall-b"`, `rack = "hall-b"`, "fleet.relay.rack: there is no such setting"},
		{gateway, `zone = "hall-a"  `, `role = "relay"`, "fleet.role: there is no such setting"},
		{gateway, `"relay-3"]`, `"depot-1"]`, `fleet.first: "depot-1" is not a relay`},
		{gateway, `region = "west"`, `region = "north"`, `fleet.region: no relay is in region "north", the relays are in ["west" "east"]`},
		{gateway, `region = "west"`, ``, `fleet.region: no relay is in region ""`},
		{gateway, `zone = "hall-a"`, `zone = "hall a"`, `fleet.zone: "hall a" contains ' '`},
		{gateway, `"hall-b"`, `"hall b"`, `fleet.relay.zone: "hall b" contains ' '`},
		{gateway, `127.0.0.1:7403`, `127.0.0.1:7402`, `fleet.relay.address: "127.0.0.1:7402" is already the address of relay-2`},
		{gateway, `address = "127.0.0.1:7402"`, ``, `fleet.relay.address: "" is not a host:port address`},
		{gateway, `name = "relay-3"`, `name = "relay-2"`, `fleet.relay.name: "relay-2" is taken (line `},
		{gateway, `name = "relay-2"`, ``, "fleet.relay.name: is missing"},
		{gateway, "data_dir =", relayListen, "fleet.listen: is for relays"},
		{gateway, "[[fleet.relay]]", "[[fleet.peer]]\nname = \"depot-2\"\naddress = \"127.0.0.1:7412\"\n[[fleet.relay]]", "fleet.peer: can't be combined with [[fleet.relay]]"},
		{relay, relayListen, "data_dir =", `fleet.listen: "" is not an address`},
		{relay, "[fleet]", "[[listener]]\naddress = \"127.0.0.1:8080\"\n[fleet]", "pool: is missing"},
		{relay, "[fleet]", "[fleet]\nzone = \"hall-a\"", `fleet.zone: "hall-a" differs from "quay-a" in the entry of this relay (line `},
		{relay, `"relay-3"`, `"depot-4"`, "listener: is missing"},
	} {
		checkRejected(t, c.new+" for "+c.old, replaceFirst(t, c.from, c.old, c.new), c.want)
	}
}

func TestParseApplianceRejectsZoneAndRegionInFullMesh(t *testing.T) {
	peers := readExample(t, fleetExample)
	for _, key := range []string{"zone", "region"} {
		text := replaceFirst(t, peers, "[fleet]", "[fleet]\n"+key+" = \"hall-a\"")
		checkRejected(t, key, text, "fleet."+key+": is for fleets with [[fleet.relay]]")
	}
}
