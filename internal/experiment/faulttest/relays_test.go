package faulttest

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// relayOf returns the relay of a gateway's stream, according to the gateway's status, or nil if there is none.
func relayOf(f *Fleet, g *Gateway) *Gateway {
	s, err := g.Status()
	if err != nil {
		return nil
	}
	return f.byName(s.Relay.Name)
}

// waitRelayOf waits until a gateway has a stream to a relay, and returns the relay.
func waitRelayOf(t *testing.T, f *Fleet, g *Gateway) (relay *Gateway) {
	t.Helper()
	waitUntil(t, f, g.Name+" has a relay", func() bool {
		relay = relayOf(f, g)
		return relay != nil
	})
	return relay
}

// newRelayFleet starts a fleet of three relays, which are the replicas, and four gateways. Clients send load to the last
// gateway, which it also returns.
func newRelayFleet(t *testing.T, seed uint64) (f *Fleet, loaded *Gateway) {
	t.Helper()
	f = newCheckedFleet(t, Options{Gateways: 7, Relays: 3, Replicas: 3, Hosts: 3, Seed: seed})
	loaded = f.Gateways[6]
	startLoad(t, f, loaded)
	return f, loaded
}

// waitMoved waits until all gateways have a stream to a relay other than from.
func waitMoved(t *testing.T, f *Fleet, from *Gateway) {
	t.Helper()
	for _, g := range f.Gateways[f.Relays:] {
		waitUntil(t, f, fmt.Sprintf("%s has a stream to a relay other than %s", g.Name, from.Name), func() bool {
			at := relayOf(f, g)
			return at != nil && at != from
		})
	}
}

// checkUndisturbed checks that since event n no session of a gateway expired and no lease of a gateway was transferred.
// During an election the deadline of a holder may pass; it then stops its work under the lease until the lease is
// confirmed, and no other gateway acquires it. With hadLeader, there was a leader throughout, and no gateway may release a
// lease.
func checkUndisturbed(t *testing.T, f *Fleet, n int, hadLeader bool) {
	t.Helper()
	for _, e := range f.History.Events()[n:] {
		switch {
		case e.Kind == SessionExpired && f.isGateway(e.Gateway):
			t.Errorf("the session of %s expired at %v", e.Gateway, e.At)
		case e.Kind == LeaseTransferred && f.isGateway(e.From):
			t.Errorf("%s was transferred from %s to %s at %v", e.Lease, e.From, e.To, e.At)
		case e.Kind == LeaseNoLongerHeld && f.isGateway(e.Gateway) && hadLeader:
			t.Errorf("%s was released by %s at %v", e.Lease, e.Gateway, e.At)
		}
	}
}

// isGateway reports whether a name belongs to a gateway that is not a relay.
func (f *Fleet) isGateway(name string) bool {
	for _, g := range f.Gateways[f.Relays:] {
		if g.Name == name {
			return true
		}
	}
	return false
}

// waitBalanced waits until each of three gateways holds a lease, so that no lease is transferred to balance them.
func waitBalanced(t *testing.T, f *Fleet) {
	t.Helper()
	holders := map[string]int{}
	waitUntil(t, f, "leases are balanced", func() bool {
		clear(holders)
		for _, name := range []string{healthCheckLease, housekeepingLease, endpointsLease} {
			if g := f.LeaseHolder(name); g != nil {
				holders[g.Name]++
			}
		}
		return len(holders) == 3
	})
}

// When a relay is killed, its gateways move to another one, no session expires, no lease is transferred, and clients get
// all their responses. The same holds if the relay is the leader.
func TestKilledRelayDisturbsNoGateway(t *testing.T) {
	t.Parallel()
	f, loaded := newRelayFleet(t, 21)
	for g, want := range map[*Gateway][]string{
		loaded:        {"g7 of fleet trial: member\n", "at relay g", "7 members, 7 with a session"},
		f.Gateways[0]: {"a relay: ", " gateways here, 16 at most, 4 at all relays that are up: g1 "},
	} {
		out, err := exec.Command(dunemoorctl, "fleet", "--admin", g.admin, "status").CombinedOutput()
		for _, text := range want {
			if err != nil || !strings.Contains(string(out), text) {
				t.Errorf("status of %s: got error %v, output\n%s\nwant %q in it", g.Name, err, out, text)
			}
		}
	}
	for g, want := range map[*Gateway]map[string]float64{
		loaded:        {"dunemoor_fleet_relay_connected": 1},
		f.Gateways[0]: {"dunemoor_fleet_relays_up": 3, "dunemoor_fleet_routes": 4, "dunemoor_fleet_streams_bound": 16},
	} {
		m, err := g.Metrics()
		for name, value := range want {
			if m[name] != value {
				t.Errorf("%s of %s: got %v, want %v, error %v", name, g.Name, m[name], value, err)
			}
		}
	}
	for _, killLeader := range []bool{false, true} {
		waitBalanced(t, f)
		var down, leader *Gateway
		waitUntil(t, f, fmt.Sprintf("a relay with gateways (is the leader: %v)", killLeader), func() bool {
			leader, down = f.Leader(), nil
			for _, g := range f.Gateways[f.Relays:] {
				if at := relayOf(f, g); at != nil && (at == leader) == killLeader {
					down = at
				}
			}
			return down != nil && leader != nil
		})
		n := f.History.Len()
		t.Logf("%s is killed, %s is the leader", down.Name, leader.Name)
		down.Kill()
		waitMoved(t, f, down)
		waitUntil(t, f, "all other gateways have a session and a new leader", func() bool { return f.haveOtherLeader(down) })
		checkUndisturbed(t, f, n, down != leader)
		if err := down.Start(); err != nil {
			t.Fatal(err)
		}
		waitConverged(t, f)
	}
}

// haveOtherLeader reports whether all gateways except one have a session, and a leader other than that one.
func (f *Fleet) haveOtherLeader(except *Gateway) bool {
	for _, g := range f.Gateways {
		if g == except {
			continue
		}
		if s, err := g.Status(); err != nil || s.Session == 0 || s.Leader == "" || s.Leader == except.Name {
			return false
		}
	}
	return true
}

// When a relay is paused for longer than the duration of a session, its gateways move to another one. When it resumes, the
// frames that it held back cause no violation, and the fleet converges with it.
func TestPausedRelayLosesItsGateways(t *testing.T) {
	t.Parallel()
	f, loaded := newRelayFleet(t, 22)
	down := waitRelayOf(t, f, loaded)
	n := f.History.Len()
	if err := down.Pause(); err != nil {
		t.Fatal(err)
	}
	paused := time.Now()
	waitMoved(t, f, down)
	t.Logf("all gateways have moved to another relay after %v", time.Since(paused).Round(time.Millisecond))
	time.Sleep(time.Until(paused.Add(pauseDuration)))
	for _, e := range f.History.Events()[n:] {
		if e.Kind == SessionExpired {
			t.Logf("the session of %s expired", e.Gateway) // allowed, as it may happen on a busy machine
		}
	}
	if err := down.Resume(); err != nil {
		t.Fatal(err)
	}
	waitConverged(t, f)
}

// Gateways move away from a relay that receives nothing, that can't send to any node, or that can't send to other relays.
func TestGatewaysLeaveAPartitionedRelay(t *testing.T) {
	t.Parallel()
	f, loaded := newRelayFleet(t, 23)
	for _, fault := range []string{"receives nothing", "sends nothing", "reaches no relay"} {
		down := waitRelayOf(t, f, loaded)
		switch fault {
		case "receives nothing":
			f.Isolate(down, false, true)
		case "sends nothing":
			f.Isolate(down, true, false)
		default: // "reaches no relay": its gateways reach the relay, but it can't forward their frames to other relays
			for _, r := range f.Gateways[:f.Relays] {
				if r != down {
					f.SetBlocked(down, r, true)
				}
			}
		}
		waitMoved(t, f, down)
		if err := f.Heal(); err != nil {
			t.Fatal(err)
		}
		waitConverged(t, f)
	}
}

// All relays are restarted one by one, and then all of them are down at once: clients of a gateway still get all their
// responses, and the gateways rejoin the fleet when relays are up again.
func TestGatewaysServeWithoutRelays(t *testing.T) {
	t.Parallel()
	f, loaded := newRelayFleet(t, 24)
	for _, r := range f.Gateways[:f.Relays] {
		if code, err := r.Terminate(convergeTimeout); err != nil || code != 0 {
			t.Fatalf("%s: got exit code %d, error %v, want 0", r.Name, code, err)
		}
		waitMoved(t, f, r)
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
		waitConverged(t, f)
	}
	for _, r := range f.Gateways[:f.Relays] {
		r.Kill()
	}
	waitUntil(t, f, "the loaded gateway has neither a relay nor a session", func() bool {
		s, err := loaded.Status()
		return err == nil && s.Relay.Name == "" && s.ExpiresInMS == 0
	})
	before := f.Hosts.Ledger.Count().Requests
	waitUntil(t, f, "clients send requests without relays", func() bool { return f.Hosts.Ledger.Count().Requests > before+50 })
	for _, r := range f.Gateways[:f.Relays] {
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
	}
	waitConverged(t, f)
}
