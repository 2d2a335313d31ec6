package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// IDs map to the same number at every gateway and after a restart, and to different ones.
func TestHostIDs(t *testing.T) {
	seen := map[balancer.HostID]string{}
	for i := range 1000 {
		id := fmt.Sprintf("s-%08x", i)
		if hostID(id) != hostID(strings.Clone(id)) || seen[hostID(id)] != "" {
			t.Fatalf("%s maps to %x, as does %q", id, hostID(id), seen[hostID(id)])
		}
		seen[hostID(id)] = id
	}
	// FNV-1a of "a" as its authors publish it: other builds must agree.
	if got := hostID("a"); got != 0xaf63dc4c8601ec8c {
		t.Errorf("%x is not the published hash", got)
	}
}

// started_ms is Unix time, and the balancers' clock agrees with it.
func TestStartTimesAreOnTheBalancersClock(t *testing.T) {
	c := clock{time.Now()}
	at := time.Now().Add(-3 * time.Second)
	started := balancer.Time(at.UnixMilli()) * balancer.Time(time.Millisecond)
	if off := c.at(at) - started; off < 0 || off >= time.Millisecond {
		t.Errorf("a host started 3 s ago is %v off", off)
	}
	if got := c.time(c.at(at)); !got.Equal(at) {
		t.Errorf("%v became %v", at, got)
	}
}

// A name that was forgotten gets a new number, never that of another: attempts at hosts in the old zone may still be in
// flight, and a request with an idempotency key must not leave its scope.
func TestNumbersAreNotGivenTwice(t *testing.T) {
	n := newNameIndex(map[string]int{"a": 0})
	seen := map[int]string{0: "a"}
	for i := range 1000 {
		name := fmt.Sprint("zone-", i)
		k := n.number(name)
		if other, twice := seen[k]; twice {
			t.Fatalf("%s has the number of %s", name, other)
		}
		seen[k] = name
		if n.number(name) != k || n.number("a") != 0 {
			t.Fatal("a number has changed")
		}
		n.forget(nil, nil)
	}
	if len(n.other) > maxSpareNames {
		t.Errorf("%d numbers are kept", len(n.other))
	}
}
