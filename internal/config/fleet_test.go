package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const fleetExample = "../../deploy/fleet.toml"

// The example is right, and each mistake in the fleet's part is a line with file, line and field.
func TestFleetMistakes(t *testing.T) {
	b, err := os.ReadFile(fleetExample)
	if err != nil {
		t.Fatal(err)
	}
	good := string(b)
	a, wrong := ParseAppliance("f", good)
	if len(wrong) > 0 || a.Fleet.ID != "glasgow" || len(a.Fleet.Peers) != 2 || a.Fleet.Machine != "m1" || len(a.Fleet.BootstrapReplicas) != 3 {
		t.Fatalf("%+v, %v", a, wrong)
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
		text := strings.Replace(good, c.old, c.new, 1)
		_, wrong := ParseAppliance("f", text)
		said := fmt.Sprint(wrong)
		if len(wrong) == 0 || !strings.Contains(said, c.want) || !strings.HasPrefix(wrong[0].Error(), "f:") {
			t.Errorf("%s for %s: %v, want %q", c.new, c.old, wrong, c.want)
		}
	}
	alone, _, _ := strings.Cut(good, "[fleet]")
	if _, wrong := ParseAppliance("f", alone); !strings.Contains(fmt.Sprint(wrong), "pool.check: needs [fleet]: it is one gateway that tries hosts for all") {
		t.Errorf("a check without a fleet: %v", wrong)
	}
}

const relaysExample = "../../deploy/fleet-relays.toml"

// The example with relays is right, a relay's own file needs nothing for requests, and each
// mistake is a line with file, line and field.
func TestRelayMistakes(t *testing.T) {
	b, err := os.ReadFile(relaysExample)
	if err != nil {
		t.Fatal(err)
	}
	good := string(b)
	a, wrong := ParseAppliance("f", good)
	if len(wrong) > 0 || len(a.Fleet.Relays) != 3 || a.Fleet.Zone != "hall-a" || a.Fleet.Region != "west" || a.Fleet.IsRelay(a.Name) || !a.Serves() {
		t.Fatalf("%+v, %v", a, wrong)
	}
	listen := "listen = \"127.0.0.1:7403\"\ndata_dir ="
	cut := func(text, from, to string) string {
		head, rest, _ := strings.Cut(text, from)
		_, tail, _ := strings.Cut(rest, to)
		return head + to + tail
	}
	bare := strings.NewReplacer(`"depot-1"`, `"relay-3"`, `zone = "hall-a"                 `, `#`, "region = \"west\"\n\n# A relay", "#", "data_dir =", listen).Replace(cut(good, "[[listener]]", "[fleet]"))
	if r, wrong := ParseAppliance("f", bare); len(wrong) > 0 || !r.Fleet.IsRelay(r.Name) || r.Serves() || r.Fleet.Zone != "quay-a" || r.Fleet.Region != "east" {
		t.Fatalf("%+v, %v in\n%s", r, wrong, bare)
	}
	for _, c := range []struct{ from, old, new, want string }{
		{good, `zone = "hall-b"`, `rack = "hall-b"`, "fleet.relay.rack: there is no such setting"},
		{good, `zone = "hall-a"  `, `role = "relay"`, "fleet.role: there is no such setting"},
		{good, `"relay-3"]`, `"depot-1"]`, `fleet.first: "depot-1" is no relay`},
		{good, `region = "west"`, `region = "north"`, `fleet.region: no relay is in region "north", they are in ["west" "east"]`},
		{good, `region = "west"`, ``, `fleet.region: no relay is in region ""`},
		{good, `zone = "hall-a"`, `zone = "hall a"`, `fleet.zone: "hall a" has ' ' in it`},
		{good, `"hall-b"`, `"hall b"`, `fleet.relay.zone: "hall b" has ' ' in it`},
		{good, `127.0.0.1:7403`, `127.0.0.1:7402`, `fleet.relay.address: "127.0.0.1:7402" is that of relay-2`},
		{good, `address = "127.0.0.1:7402"`, ``, `fleet.relay.address: "" is no host:port`},
		{good, `name = "relay-3"`, `name = "relay-2"`, `fleet.relay.name: "relay-2" is taken (line `},
		{good, `name = "relay-2"`, ``, "fleet.relay.name: is missing"},
		{good, "data_dir =", listen, "fleet.listen: is for relays"},
		{good, "[[fleet.relay]]", "[[fleet.peer]]\nname = \"depot-2\"\naddress = \"127.0.0.1:7412\"\n[[fleet.relay]]", "fleet.peer: there are relays too"},
		{bare, listen, "data_dir =", `fleet.listen: "" is no address`},
		{bare, "[fleet]", "[[listener]]\naddress = \"127.0.0.1:8080\"\n[fleet]", "pool: there is none"},
		{bare, "[fleet]", "[fleet]\nzone = \"hall-a\"", `fleet.zone: "hall-a", and as a relay it is in "quay-a" (line `},
		{bare, `"relay-3"`, `"depot-4"`, "listener: there is none"},
	} {
		text := strings.Replace(c.from, c.old, c.new, 1)
		_, wrong := ParseAppliance("f", text)
		said := fmt.Sprint(wrong)
		if text == c.from || len(wrong) == 0 || !strings.Contains(said, c.want) || !strings.HasPrefix(wrong[0].Error(), "f:") {
			t.Errorf("%s for %s: %v, want %q", c.new, c.old, wrong, c.want)
		}
	}
	peers, err := os.ReadFile(fleetExample)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"zone", "region"} {
		text := strings.Replace(string(peers), "[fleet]", "[fleet]\n"+key+" = \"hall-a\"", 1)
		if _, wrong := ParseAppliance("f", text); !strings.Contains(fmt.Sprint(wrong), "fleet."+key+": is for fleets with [[fleet.relay]]") {
			t.Errorf("%s among peers: %v", key, wrong)
		}
	}
}

// A key that others can read, or that is too short, is refused.
func TestReadKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string
	}{
		{strings.Repeat("k", minKeyBytes) + "\n", 0o600, ""},
		{strings.Repeat("k", minKeyBytes), 0o640, "others than its owner"},
		{strings.Repeat("k", minKeyBytes-1) + "\n", 0o600, "31 bytes, 32 at least"},
		{strings.Repeat("k", maxKeyBytes+1), 0o600, "4096 at most"},
	} {
		os.Remove(path)
		if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
			t.Fatal(err)
		}
		if key, err := ReadKey(path); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) || err == nil && len(key) != minKeyBytes {
			t.Errorf("%d bytes, mode %o: %d, %v, want %q", len(c.text), c.mode, len(key), err, c.want)
		}
	}
}
