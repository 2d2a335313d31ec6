package node

import (
	"errors"
	"slices"
	"testing"
	"time"

	"dunemoor/internal/cluster/disk"
	"dunemoor/internal/cluster/lease"
)

func member(t *testing.T, cfg Config) *Node {
	t.Helper()
	cfg.Fleet, cfg.BootstrapReplicas, cfg.Disk = "f", []string{"r1"}, disk.Identity{Replica: 7, Boots: 1}
	m, err := New(time.Hour, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// talks is what is sent, by whom it is for.
func talks(t *testing.T, o *Output) (to []string, list []*Message) {
	t.Helper()
	for _, s := range o.Frames {
		x, err := DecodeMessage(s.Body)
		if err != nil {
			t.Fatal(err)
		}
		to, list = append(to, s.To), append(list, x)
	}
	return to, list
}

// In a fleet with relays what is for all is one frame, and what is for one goes by its name; in a
// mesh it goes to those that are known.
func TestTell(t *testing.T) {
	m := member(t, Config{Name: "g1", UsesRelays: true})
	m.Publish(time.Hour, "", "d", 1, 1, nil)
	m.Publish(time.Hour, "g2", "d", 1, 2, nil)
	m.Publish(time.Hour, "g1", "d", 1, 3, nil)
	o := m.TakeOutput()
	if to, _ := talks(t, &o); !slices.Equal(to, []string{Broadcast, "g2"}) {
		t.Error("sent to", to)
	}
	m = member(t, Config{Name: "g1", Peers: []string{"r1", "g2"}})
	m.Publish(time.Hour, "", "d", 1, 1, nil)
	o = m.TakeOutput()
	if to, _ := talks(t, &o); len(to) != 0 {
		t.Error("sent to who is not known:", to)
	}
	m.hellos["g2"] = Hello{Name: "g2"}
	m.Publish(time.Hour, "", "d", 1, 1, nil)
	o = m.TakeOutput()
	if to, _ := talks(t, &o); !slices.Equal(to, []string{"g2"}) {
		t.Error("sent to", to)
	}
}

// Who has moved renews at once and asks again for what is out, and says that it does; a gateway
// wants no members told, a relay does.
func TestMoved(t *testing.T) {
	for _, c := range []struct {
		cfg  Config
		lean bool
		part lease.Role
	}{
		{Config{Name: "g1", UsesRelays: true}, true, lease.RoleGateway}, {Config{Name: "r1", UsesRelays: true}, false, lease.RoleRelay},
		{Config{Name: "r2", UsesRelays: true, Peers: []string{"r1"}}, false, lease.RoleRelay}, {Config{Name: "g1", Peers: []string{"r1"}}, false, ""},
	} {
		m := member(t, c.cfg)
		m.Tick(time.Hour)
		m.target = "x" // not ourselves
		m.TakeOutput()
		m.asks, m.opening, m.session, m.renewed, m.renewGap = nil, 0, 5, time.Hour, lease.RenewInterval
		if p := m.openCommand().Open.Role; p != c.part {
			t.Errorf("%+v opens as %q", c.cfg, p)
		}
		m.Propose(time.Hour, lease.Command{Op: lease.OpAcquire, Lease: "d"})
		m.TakeOutput()
		m.Tick(time.Hour + time.Millisecond)
		o := m.TakeOutput()
		if _, list := talks(t, &o); slices.ContainsFunc(list, func(x *Message) bool { return x.Renew != nil || x.Proposal != nil }) {
			t.Error("asked again without need")
		}
		m.view.lead = "lead"
		m.Reconnected(time.Hour + 2*time.Millisecond)
		o = m.TakeOutput()
		to, list := talks(t, &o)
		if slices.ContainsFunc(to, func(name string) bool { return name != "lead" }) {
			t.Error("who was the leader is not asked first:", to)
		}
		renews, asks := 0, 0
		for _, x := range list {
			if x.Renew != nil {
				renews++
				if x.Renew.Compact != c.lean {
					t.Errorf("%+v renews with lean %v", c.cfg, x.Renew.Compact)
				}
			} else if x.Proposal != nil {
				asks++
			}
		}
		if renews != 1 || asks != 1 || !o.RenewalSent || !o.Reconnected {
			t.Errorf("%+v: %d renewals, %d asks, %+v", c.cfg, renews, asks, o)
		}
		m.target = "r1"
		m.Receive(time.Hour+3*time.Millisecond, "r1", KindMessage, encodeMessage(&Message{RenewReply: &RenewReply{Session: 5, Seq: m.lastSeq, Delta: &lease.StateDelta{Revision: 1, SessionCount: 4700}}}))
		o = m.TakeOutput()
		if s := m.Status(time.Hour); !o.LeaderResponded || s.Sessions != 4700 {
			t.Errorf("answered %v, %d sessions", o.LeaderResponded, s.Sessions)
		}
		m.Receive(time.Hour+4*time.Millisecond, "r1", KindMessage, encodeMessage(&Message{RenewReply: &RenewReply{Session: 5, Seq: m.lastSeq, Leader: "r2"}}))
		if o = m.TakeOutput(); o.LeaderResponded {
			t.Error("who does not lead has answered")
		}
	}
}

// A disk that others know to be an older copy ends the replica.
func TestCopied(t *testing.T) {
	m := member(t, Config{Name: "g1", UsesRelays: true})
	m.DiskOutdated(time.Hour, "a relay knows a later stream")
	if err := m.Halted(); !errors.Is(err, disk.ErrCopy) {
		t.Error(err)
	}
}
