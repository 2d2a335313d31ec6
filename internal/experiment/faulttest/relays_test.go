package faulttest

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// relayOf is where a gateway has its stream, by its own account; nil: nowhere.
func relayOf(f *Fleet, g *Gateway) *Gateway {
	s, err := g.Status()
	if err != nil {
		return nil
	}
	return f.named(s.Relay.Name)
}

// relayed starts a fleet of three relays, which hold the record, and four gateways, the last of
// which is loaded.
func relayed(t *testing.T, seed uint64) (f *Fleet, loaded *Gateway) {
	t.Helper()
	f = start(t, Options{Gateways: 7, Relays: 3, Keepers: 3, Nodes: 3, Seed: seed})
	loaded = f.Gateways[6]
	load(t, f, loaded)
	return f, loaded
}

// moved waits until all gateways are with a relay that is not the one that is named.
func moved(t *testing.T, f *Fleet, from *Gateway) {
	t.Helper()
	for _, g := range f.Gateways[f.Relays:] {
		if err := f.Until(context.Background(), fmt.Sprintf("%s has a stream that is not with %s", g.Name, from.Name), formTime, func() bool {
			at := relayOf(f, g)
			return at != nil && at != from
		}); err != nil {
			t.Fatal(err)
		}
	}
}

// undisturbed checks that behind the n-th event no gateway's session expired, and none of the duties
// that gateways hold changed hands. While another is elected to lead, an owner's own deadline may
// pass: it lays the duty down until it is confirmed, and nobody else has it. With a leader it does
// not.
func undisturbed(t *testing.T, f *Fleet, n int, led bool) {
	t.Helper()
	for _, e := range f.History.Events()[n:] {
		switch {
		case e.Kind == Lapsed && f.gateway(e.Gateway):
			t.Errorf("the session of %s lapsed at %v", e.Gateway, e.At)
		case e.Kind == Changed && f.gateway(e.From):
			t.Errorf("%s went from %s to %s at %v", e.Duty, e.From, e.To, e.At)
		case e.Kind == LaidDown && f.gateway(e.Gateway) && led:
			t.Errorf("%s was laid down by %s at %v", e.Duty, e.Gateway, e.At)
		}
	}
}

// gateway says whether a name is that of a gateway that is no relay.
func (f *Fleet) gateway(name string) bool {
	for _, g := range f.Gateways[f.Relays:] {
		if g.Name == name {
			return true
		}
	}
	return false
}

// settled waits until the duties are spread as they stay: none is moved only to be even.
func settled(t *testing.T, f *Fleet) {
	t.Helper()
	most := map[string]int{}
	if err := f.Until(context.Background(), "duties are spread", formTime, func() bool {
		clear(most)
		for _, name := range []string{"check/calendar", "housekeeping", "list/calendar"} {
			if g := f.Owner(name); g != nil {
				most[g.Name]++
			}
		}
		return len(most) == 3
	}); err != nil {
		t.Fatal(err)
	}
}

// A relay is killed: its gateways are with another, no session lapses and no duty changes hands for
// it, and clients notice nothing. So when it is the one that leads the record.
func TestRelayKilled(t *testing.T) {
	t.Parallel()
	f, loaded := relayed(t, 21)
	for g, want := range map[*Gateway][]string{
		loaded:        {"g7 of fleet trial: member\n", "at relay g", "7 members, 7 with a session"},
		f.Gateways[0]: {"a relay: ", " gateways here, 16 at most, 4 at all relays that are up: g1 "},
	} {
		out, err := exec.Command(operators, "fleet", "--admin", g.admin, "status").CombinedOutput()
		for _, text := range want {
			if err != nil || !strings.Contains(string(out), text) {
				t.Errorf("status at %s has no %q: %v\n%s", g.Name, text, err, out)
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
				t.Errorf("%s of %s is %v, want %v, %v", name, g.Name, m[name], value, err)
			}
		}
	}
	for _, leads := range []bool{false, true} {
		settled(t, f)
		var down, leader *Gateway
		if err := f.Until(context.Background(), "a relay that has gateways leads, or does not", formTime, func() bool {
			leader, down = f.Leader(), nil
			for _, g := range f.Gateways[f.Relays:] {
				if at := relayOf(f, g); at != nil && (at == leader) == leads {
					down = at
				}
			}
			return down != nil && leader != nil
		}); err != nil {
			t.Fatal(err)
		}
		n := f.History.Len()
		t.Logf("%s is killed, %s leads", down.Name, leader.Name)
		down.Kill()
		moved(t, f, down)
		if err := f.Until(context.Background(), "a leader has confirmed all", formTime, func() bool { return f.confirmed(down) }); err != nil {
			t.Fatal(err)
		}
		undisturbed(t, f, n, down != leader)
		if err := down.Start(); err != nil {
			t.Fatal(err)
		}
		whole(t, f)
	}
}

// confirmed says whether all but one have the word of a leader that is another.
func (f *Fleet) confirmed(but *Gateway) bool {
	for _, g := range f.Gateways {
		if g == but {
			continue
		}
		if s, err := g.Status(); err != nil || s.Session == 0 || s.Leader == "" || s.Leader == but.Name {
			return false
		}
	}
	return true
}

// A relay is stopped for longer than sessions last: its gateways are with another, and when it goes
// on, what it held back does no harm and it takes gateways again.
func TestRelayStopped(t *testing.T) {
	t.Parallel()
	f, loaded := relayed(t, 22)
	var down *Gateway
	if err := f.Until(context.Background(), "a relay has the loaded gateway", formTime, func() bool { down = relayOf(f, loaded); return down != nil }); err != nil {
		t.Fatal(err)
	}
	n := f.History.Len()
	if err := down.Stop(); err != nil {
		t.Fatal(err)
	}
	stopped := time.Now()
	moved(t, f, down)
	t.Logf("all are with another after %v", time.Since(stopped).Round(time.Millisecond))
	time.Sleep(time.Until(stopped.Add(3 * sessionTime))) // the stop itself
	for _, e := range f.History.Events()[n:] {
		if e.Kind == Lapsed {
			t.Logf("the session of %s lapsed", e.Gateway) // on a busy machine 0.3 s are soon gone
		}
	}
	if err := down.Continue(); err != nil {
		t.Fatal(err)
	}
	whole(t, f)
}

// A relay that is cut one way, from each of its gateways and then to each of them, and from the
// other relays: who it can't serve goes elsewhere.
func TestRelayCutOneWay(t *testing.T) {
	t.Parallel()
	f, loaded := relayed(t, 23)
	for _, way := range []string{"hears nobody", "is heard by nobody", "is heard by no relay"} {
		var down *Gateway
		if err := f.Until(context.Background(), "a relay has the loaded gateway", formTime, func() bool { down = relayOf(f, loaded); return down != nil }); err != nil {
			t.Fatal(err)
		}
		switch way {
		case "hears nobody":
			f.Alone(down, false, true)
		case "is heard by nobody":
			f.Alone(down, true, false)
		default: // it is there for its gateways, and what they say goes nowhere
			for _, r := range f.Gateways[:f.Relays] {
				if r != down {
					f.Cut(down, r, true)
				}
			}
		}
		moved(t, f, down)
		if err := f.Heal(); err != nil {
			t.Fatal(err)
		}
		whole(t, f)
	}
}

// All relays are restarted one by one, then all are down at once: gateways serve on without any, and
// are of the fleet again once there are some.
func TestRelaysRestarted(t *testing.T) {
	t.Parallel()
	f, loaded := relayed(t, 24)
	for _, r := range f.Gateways[:f.Relays] {
		if code, err := r.Terminate(formTime); err != nil || code != 0 {
			t.Fatalf("%s ends with %d, %v", r.Name, code, err)
		}
		moved(t, f, r)
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
		whole(t, f)
	}
	for _, r := range f.Gateways[:f.Relays] {
		r.Kill()
	}
	if err := f.Until(context.Background(), "the loaded gateway has neither a relay nor time left of its session", formTime, func() bool {
		s, err := loaded.Status()
		return err == nil && s.Relay.Name == "" && s.Expires == 0
	}); err != nil {
		t.Fatal(err)
	}
	served := f.Hosts.Ledger.Count().Requests
	if err := f.Until(context.Background(), "it serves on", formTime, func() bool { return f.Hosts.Ledger.Count().Requests > served+50 }); err != nil {
		t.Fatal(err)
	}
	for _, r := range f.Gateways[:f.Relays] {
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
	}
	whole(t, f)
}
