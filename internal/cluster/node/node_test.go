package node

import (
	"errors"
	"slices"
	"testing"
	"time"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/wal"
)

// start is the time at which nodes are made.
const start = time.Hour

func newNode(t *testing.T, cfg Config) *Node {
	t.Helper()
	cfg.Fleet, cfg.BootstrapReplicas, cfg.Disk = "f", []string{"r1"}, wal.Identity{ReplicaID: 7, Boots: 1}
	n, err := New(start, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// messages returns the messages of an output, and their receivers.
func messages(t *testing.T, o *Output) (to []string, list []*Message) {
	t.Helper()
	for _, f := range o.Frames {
		m, err := DecodeMessage(f.Body)
		if err != nil {
			t.Fatal(err)
		}
		to, list = append(to, f.To), append(list, m)
	}
	return to, list
}

// In a fleet with relays a publication for all is one frame, and one for a gateway goes by its name; in a
// full mesh publications go to the peers that are known.
func TestPublish(t *testing.T) {
	published := func(n *Node) []string {
		o := n.TakeOutput()
		to, _ := messages(t, &o)
		return to
	}
	n := newNode(t, Config{Name: "g1", UsesRelays: true})
	n.Publish(start, "", "d", 1, 1, nil)
	n.Publish(start, "g2", "d", 1, 2, nil)
	n.Publish(start, "g1", "d", 1, 3, nil)
	if to := published(n); !slices.Equal(to, []string{Broadcast, "g2"}) {
		t.Error("with relays it is sent to", to)
	}
	n = newNode(t, Config{Name: "g1", Peers: []string{"r1", "g2"}})
	n.Publish(start, "", "d", 1, 1, nil)
	if to := published(n); len(to) != 0 {
		t.Error("it is sent to peers that are not known:", to)
	}
	n.replica.hellos["g2"] = Hello{Name: "g2"}
	n.Publish(start, "", "d", 1, 1, nil)
	if to := published(n); !slices.Equal(to, []string{"g2"}) {
		t.Error("in a mesh it is sent to", to)
	}
}

// A node that was reconnected renews at once and retries its proposals, at the known leader first, and
// reports that. A gateway asks for compact deltas, a relay does not.
func TestReconnected(t *testing.T) {
	for _, c := range []struct {
		cfg     Config
		compact bool
		role    lease.Role
	}{
		{Config{Name: "g1", UsesRelays: true}, true, lease.RoleGateway},
		{Config{Name: "r1", UsesRelays: true}, false, lease.RoleRelay},
		{Config{Name: "r2", UsesRelays: true, Peers: []string{"r1"}}, false, lease.RoleRelay},
		{Config{Name: "g1", Peers: []string{"r1"}}, false, ""},
	} {
		n := newNode(t, c.cfg)
		n.Tick(start)
		n.session.target.name = "x" // not this gateway itself
		n.TakeOutput()
		n.proposals.list = nil
		s := n.session
		s.openProposal, s.id, s.renewedAt, s.renewDelay = 0, 5, start, lease.RenewInterval
		if role := s.openCommand().Open.Role; role != c.role {
			t.Errorf("%+v opens a session as %q", c.cfg, role)
		}
		n.Propose(start, lease.Command{Op: lease.OpAcquire, Lease: "d"})
		n.TakeOutput()
		n.Tick(start + time.Millisecond)
		o := n.TakeOutput()
		if _, list := messages(t, &o); slices.ContainsFunc(list, func(m *Message) bool { return m.Renew != nil || m.Proposal != nil }) {
			t.Error("retried without need")
		}
		n.view.leader = "lead"
		n.Reconnected(start + 2*time.Millisecond)
		o = n.TakeOutput()
		to, list := messages(t, &o)
		if slices.ContainsFunc(to, func(name string) bool { return name != "lead" }) {
			t.Error("the known leader is not asked first:", to)
		}
		renewals, proposals := 0, 0
		for _, m := range list {
			if m.Renew != nil {
				renewals++
				if m.Renew.Compact != c.compact {
					t.Errorf("%+v renews with compact %v", c.cfg, m.Renew.Compact)
				}
			} else if m.Proposal != nil {
				proposals++
			}
		}
		if renewals != 1 || proposals != 1 || !o.RenewalSent || !o.Reconnected {
			t.Errorf("%+v: %d renewals, %d proposals, %+v", c.cfg, renewals, proposals, o)
		}
		checkReplies(t, n)
	}
}

// checkReplies checks that a leader's reply is reported and one of another gateway is not.
func checkReplies(t *testing.T, n *Node) {
	t.Helper()
	n.session.target.name = "r1"
	reply := func(at time.Duration, r *RenewReply) Output {
		r.Session, r.Seq = 5, n.session.lastSeq
		n.Receive(at, "r1", KindMessage, encodeMessage(&Message{RenewReply: r}))
		return n.TakeOutput()
	}
	o := reply(start+3*time.Millisecond, &RenewReply{Delta: &lease.StateDelta{Revision: 1, SessionCount: 4700}})
	if s := n.Status(start); !o.LeaderResponded || s.Sessions != 4700 {
		t.Errorf("leader responded %v, %d sessions", o.LeaderResponded, s.Sessions)
	}
	o = reply(start+4*time.Millisecond, &RenewReply{Leader: "r2"})
	if o.LeaderResponded {
		t.Error("a reply of a gateway that does not lead counts as the leader's")
	}
}

// A replica whose disk is known to be an older copy stops.
func TestDiskOutdated(t *testing.T) {
	n := newNode(t, Config{Name: "g1", UsesRelays: true})
	n.DiskOutdated(start, "a relay knows a later stream")
	if err := n.Halted(); !errors.Is(err, wal.ErrCopied) {
		t.Error(err)
	}
}

// The hello of a gateway that no connection is made with is rejected with a reason.
func TestValidateHello(t *testing.T) {
	own := Hello{Fleet: "f", Format: FormatVersion, Name: "g1", ClusterID: 5}
	good := Hello{Fleet: "f", Format: FormatVersion, Name: "g2"}
	if err := ValidateHello(&own, &good, []string{"g2"}); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(h *Hello){
		"fleet":      func(h *Hello) { h.Fleet = "other" },
		"format":     func(h *Hello) { h.Format++ },
		"own name":   func(h *Hello) { h.Name = "g1" },
		"no peer":    func(h *Hello) { h.Name = "g3" },
		"cluster ID": func(h *Hello) { h.ClusterID = 6 },
	} {
		h := good
		change(&h)
		var rejected *HelloError
		if err := ValidateHello(&own, &h, []string{"g1", "g2"}); !errors.As(err, &rejected) || rejected.Reason == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
}
