package member

import (
	"errors"
	"slices"
	"testing"
	"time"

	"dunemoor/internal/cluster/disk"
	"dunemoor/internal/cluster/lease"
)

func member(t *testing.T, cfg Config) *Member {
	t.Helper()
	cfg.Fleet, cfg.First, cfg.Disk = "f", []string{"r1"}, disk.Identity{Replica: 7, Boots: 1}
	m, err := New(time.Hour, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// talks is what is sent, by whom it is for.
func talks(t *testing.T, o *Out) (to []string, list []*Talk) {
	t.Helper()
	for _, s := range o.Sends {
		x, err := ReadTalk(s.Body)
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
	m := member(t, Config{Name: "g1", Relayed: true})
	m.Tell(time.Hour, "", "d", 1, 1, nil)
	m.Tell(time.Hour, "g2", "d", 1, 2, nil)
	m.Tell(time.Hour, "g1", "d", 1, 3, nil)
	o := m.Drain()
	if to, _ := talks(t, &o); !slices.Equal(to, []string{All, "g2"}) {
		t.Error("sent to", to)
	}
	m = member(t, Config{Name: "g1", Peers: []string{"r1", "g2"}})
	m.Tell(time.Hour, "", "d", 1, 1, nil)
	o = m.Drain()
	if to, _ := talks(t, &o); len(to) != 0 {
		t.Error("sent to who is not known:", to)
	}
	m.hellos["g2"] = Hello{Name: "g2"}
	m.Tell(time.Hour, "", "d", 1, 1, nil)
	o = m.Drain()
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
		{Config{Name: "g1", Relayed: true}, true, lease.RoleGateway}, {Config{Name: "r1", Relayed: true}, false, lease.RoleRelay},
		{Config{Name: "r2", Relayed: true, Peers: []string{"r1"}}, false, lease.RoleRelay}, {Config{Name: "g1", Peers: []string{"r1"}}, false, ""},
	} {
		m := member(t, c.cfg)
		m.Tick(time.Hour)
		m.target = "x" // not ourselves
		m.Drain()
		m.asks, m.opening, m.session, m.renewed, m.renewGap = nil, 0, 5, time.Hour, lease.RenewInterval
		if p := m.open().Open.Role; p != c.part {
			t.Errorf("%+v opens as %q", c.cfg, p)
		}
		m.Ask(time.Hour, lease.Command{Op: lease.OpAcquire, Lease: "d"})
		m.Drain()
		m.Tick(time.Hour + time.Millisecond)
		o := m.Drain()
		if _, list := talks(t, &o); slices.ContainsFunc(list, func(x *Talk) bool { return x.Renew != nil || x.Ask != nil }) {
			t.Error("asked again without need")
		}
		m.view.lead = "lead"
		m.Moved(time.Hour + 2*time.Millisecond)
		o = m.Drain()
		to, list := talks(t, &o)
		if slices.ContainsFunc(to, func(name string) bool { return name != "lead" }) {
			t.Error("who was the leader is not asked first:", to)
		}
		renews, asks := 0, 0
		for _, x := range list {
			if x.Renew != nil {
				renews++
				if x.Renew.Lean != c.lean {
					t.Errorf("%+v renews with lean %v", c.cfg, x.Renew.Lean)
				}
			} else if x.Ask != nil {
				asks++
			}
		}
		if renews != 1 || asks != 1 || !o.Asked || !o.Moved {
			t.Errorf("%+v: %d renewals, %d asks, %+v", c.cfg, renews, asks, o)
		}
		m.target = "r1"
		m.Receive(time.Hour+3*time.Millisecond, "r1", KindTalk, talkBytes(&Talk{Ack: &Ack{Session: 5, Seq: m.lastSeq, View: &lease.StateDelta{Revision: 1, SessionCount: 4700}}}))
		o = m.Drain()
		if s := m.Status(time.Hour); !o.Answered || s.Sessions != 4700 {
			t.Errorf("answered %v, %d sessions", o.Answered, s.Sessions)
		}
		m.Receive(time.Hour+4*time.Millisecond, "r1", KindTalk, talkBytes(&Talk{Ack: &Ack{Session: 5, Seq: m.lastSeq, Lead: "r2"}}))
		if o = m.Drain(); o.Answered {
			t.Error("who does not lead has answered")
		}
	}
}

// A disk that others know to be an older copy ends the replica.
func TestCopied(t *testing.T) {
	m := member(t, Config{Name: "g1", Relayed: true})
	m.Copied(time.Hour, "a relay knows a later stream")
	if err := m.Halted(); !errors.Is(err, disk.ErrCopy) {
		t.Error(err)
	}
}
