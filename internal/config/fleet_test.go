package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// fleetExample is the example of a gateway in a fleet of peers.
const fleetExample = "../../deploy/fleet.toml"

// The example is valid, and each error in the fleet section is one line with file, line and field.
func TestParseApplianceChecksFleetSettings(t *testing.T) {
	b, err := os.ReadFile(fleetExample)
	if err != nil {
		t.Fatal(err)
	}
	valid := string(b)
	a, errs := ParseAppliance("f", valid)
	if len(errs) > 0 || a.Fleet.ID != "glasgow" || len(a.Fleet.Peers) != 2 || a.Fleet.Machine != "m1" || len(a.Fleet.BootstrapReplicas) != 3 {
		t.Fatalf("appliance %+v, errors %v, want the values of the example", a, errs)
	}
	for _, c := range []struct{ old, new, want string }{
		{`id = "glasgow"`, `id = "glas gow"`, `fleet.id: "glas gow" has ' ' in it`},
		{`id = "glasgow"`, ``, "fleet.id: is missing"},
		{`listen = "127.0.0.1:7401"`, `listen = "7401"`, `fleet.listen: "7401" is no address`},
		{`check = "/alive"`, `check = "alive"`, `pool.check: "alive" is no path like "/alive"`},
		{`check = "/alive"`, "check = \"/alive\"\nprotocol = \"fastcgi\"", `pool.check: is for pools with protocol = "http1"`},
		{`"/var/lib/dunemoor/depot-1"`, `"depot-1"`, `fleet.data_dir: "depot-1" is no path from the root`},
		{`key_file = "/etc/dunemoor/fleet.key"`, ``, "fleet.key_file: is missing"},
		{`first = [`, `first = ["x", `, `fleet.first: "x" is neither a peer nor this gateway`},
		{`first = [`, `first = ["depot-2", `, `fleet.first: "depot-2" is there twice`},
		{`first = ["depot-1", "depot-2", "depot-3"]`, ``, "fleet.first: is missing"},
		{`127.0.0.1:7403`, `127.0.0.1:7402`, `fleet.peer.address: "127.0.0.1:7402" is that of depot-2`},
		{`address = "127.0.0.1:7402"`, ``, `fleet.peer.address: "" is no host:port`},
		{`name = "depot-3"`, `name = "depot-2"`, `fleet.peer.name: "depot-2" is taken`},
		{`machine = "m3"`, `machin = "m3"`, "there is no such setting"},
	} {
		text := strings.Replace(valid, c.old, c.new, 1)
		_, errs := ParseAppliance("f", text)
		message := fmt.Sprint(errs)
		if len(errs) == 0 || !strings.Contains(message, c.want) || !strings.HasPrefix(errs[0].Error(), "f:") {
			t.Errorf("%s for %s: errors %v, want %q", c.new, c.old, errs, c.want)
		}
	}
	alone, _, _ := strings.Cut(valid, "[fleet]")
	if _, errs := ParseAppliance("f", alone); !strings.Contains(fmt.Sprint(errs), "pool.check: needs [fleet]: it is one gateway that tries hosts for all") {
		t.Errorf("health check without a fleet: errors %v, want one", errs)
	}
}

// relaysExample is the example of a gateway in a fleet with relays.
const relaysExample = "../../deploy/fleet-relays.toml"

// The example with relays is valid, the file of a relay needs nothing for requests, and each error is
// one line with file, line and field.
func TestParseApplianceChecksRelaySettings(t *testing.T) {
	b, err := os.ReadFile(relaysExample)
	if err != nil {
		t.Fatal(err)
	}
	valid := string(b)
	a, errs := ParseAppliance("f", valid)
	if len(errs) > 0 || len(a.Fleet.Relays) != 3 || a.Fleet.Zone != "hall-a" || a.Fleet.Region != "west" || a.Fleet.IsRelay(a.Name) || !a.Serves() {
		t.Fatalf("appliance %+v, errors %v, want the values of the example", a, errs)
	}
	listen := "listen = \"127.0.0.1:7403\"\ndata_dir ="
	// cut removes the text between from and to.
	cut := func(text, from, to string) string {
		before, rest, _ := strings.Cut(text, from)
		_, after, _ := strings.Cut(rest, to)
		return before + to + after
	}
	relayConfig := strings.NewReplacer(
		`"depot-1"`, `"relay-3"`,
		`zone = "hall-a"                 `, `#`,
		"region = \"west\"\n\n# A relay", "#",
		"data_dir =", listen,
	).Replace(cut(valid, "[[listener]]", "[fleet]"))
	if r, errs := ParseAppliance("f", relayConfig); len(errs) > 0 || !r.Fleet.IsRelay(r.Name) || r.Serves() || r.Fleet.Zone != "quay-a" || r.Fleet.Region != "east" {
		t.Fatalf("relay %+v, errors %v, want the relay of the quay in\n%s", r, errs, relayConfig)
	}
	for _, c := range []struct{ from, old, new, want string }{
		{valid, `zone = "hall-b"`, `rack = "hall-b"`, "fleet.relay.rack: there is no such setting"},
		{valid, `zone = "hall-a"  `, `role = "relay"`, "fleet.role: there is no such setting"},
		{valid, `"relay-3"]`, `"depot-1"]`, `fleet.first: "depot-1" is no relay`},
		{valid, `region = "west"`, `region = "north"`, `fleet.region: no relay is in region "north", they are in ["west" "east"]`},
		{valid, `region = "west"`, ``, `fleet.region: no relay is in region ""`},
		{valid, `zone = "hall-a"`, `zone = "hall a"`, `fleet.zone: "hall a" has ' ' in it`},
		{valid, `"hall-b"`, `"hall b"`, `fleet.relay.zone: "hall b" has ' ' in it`},
		{valid, `127.0.0.1:7403`, `127.0.0.1:7402`, `fleet.relay.address: "127.0.0.1:7402" is that of relay-2`},
		{valid, `address = "127.0.0.1:7402"`, ``, `fleet.relay.address: "" is no host:port`},
		{valid, `name = "relay-3"`, `name = "relay-2"`, `fleet.relay.name: "relay-2" is taken (line `},
		{valid, `name = "relay-2"`, ``, "fleet.relay.name: is missing"},
		{valid, "data_dir =", listen, "fleet.listen: is for relays"},
		{valid, "[[fleet.relay]]", "[[fleet.peer]]\nname = \"depot-2\"\naddress = \"127.0.0.1:7412\"\n[[fleet.relay]]", "fleet.peer: there are relays too"},
		{relayConfig, listen, "data_dir =", `fleet.listen: "" is no address`},
		{relayConfig, "[fleet]", "[[listener]]\naddress = \"127.0.0.1:8080\"\n[fleet]", "pool: there is none"},
		{relayConfig, "[fleet]", "[fleet]\nzone = \"hall-a\"", `fleet.zone: "hall-a", and as a relay it is in "quay-a" (line `},
		{relayConfig, `"relay-3"`, `"depot-4"`, "listener: there is none"},
	} {
		text := strings.Replace(c.from, c.old, c.new, 1)
		_, errs := ParseAppliance("f", text)
		message := fmt.Sprint(errs)
		if text == c.from || len(errs) == 0 || !strings.Contains(message, c.want) || !strings.HasPrefix(errs[0].Error(), "f:") {
			t.Errorf("%s for %s: errors %v, want %q", c.new, c.old, errs, c.want)
		}
	}
	peers, err := os.ReadFile(fleetExample)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"zone", "region"} {
		text := strings.Replace(string(peers), "[fleet]", "[fleet]\n"+key+" = \"hall-a\"", 1)
		if _, errs := ParseAppliance("f", text); !strings.Contains(fmt.Sprint(errs), "fleet."+key+": is for fleets with [[fleet.relay]]") {
			t.Errorf("%s in a fleet of peers: errors %v, want one", key, errs)
		}
	}
}
