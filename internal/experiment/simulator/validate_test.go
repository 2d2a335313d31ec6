package simulator

import (
	"reflect"
	"testing"
)

// Validate returns the errors of all parts of a Config, in a fixed order.
func TestValidateReturnsAllErrors(t *testing.T) {
	c := smallFleet(1)
	c.Length, c.Gateways, c.Hosts[0].Cores, c.Classes[0].Distribution = 0, 0, 0, "normal"
	c.Classes[1].Name = "look"
	c.Clients.Jitter = 2
	c.Bursts = []Burst{{At: 0, Duration: 0, Factor: 1, Class: "none"}}
	c.Faults = []Fault{{Kind: "fire", Duration: 1, Share: 1}, {Kind: Slow, Duration: 1, Share: 1}, {Kind: Errors, Duration: 1, Share: 1}, {Kind: Crash}}
	if _, err := Run(c); err == nil {
		t.Error("Run of an invalid Config: got no error, want one")
	}
	var got []string
	for _, m := range c.Validate() {
		got = append(got, m.Table+"."+m.Field)
	}
	want := []string{".length", ".gateways", "hosts.cores", "class.dist", "class.name", "clients.jitter", "burst.for", "trouble.kind", "trouble.size", "trouble.size", "trouble.for"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got errors in %v, want %v", got, want)
	}
}
