package node

import (
	"errors"
	"slices"
	"testing"
	"time"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/wal"
)

// testStart is the time at which the tests create their nodes.
const testStart = time.Hour

// newTestNode returns a node of the fleet "f", whose only bootstrap replica is r1.
func newTestNode(t *testing.T, cfg Config) *Node {
	t.Helper()
	cfg.Fleet, cfg.BootstrapReplicas, cfg.Disk = "f", []string{"r1"}, wal.Identity{ReplicaID: 7, Boots: 1}
	n, err := New(testStart, cfg)
	if err != nil {
		t.Fatalf("New: got %v, want no error", err)
	}
	return n
}

// sentMessages returns the receivers and the messages of the frames in an output.
func sentMessages(t *testing.T, output *Output) (receivers []string, messages []*Message) {
	t.Helper()
	for _, f := range output.Frames {
		m, err := DecodeMessage(f.Body)
		if err != nil {
			t.Fatalf("DecodeMessage: got %v, want no error", err)
		}
		receivers, messages = append(receivers, f.To), append(messages, m)
	}
	return receivers, messages
}

// TestPublishAddressesRelaysOrKnownPeers checks that in a fleet with relays a publication to all gateways is one frame to
// Broadcast and one to a single gateway is addressed by its name, and that in a full mesh publications are sent only to
// the peers that have sent a hello.
func TestPublishAddressesRelaysOrKnownPeers(t *testing.T) {
	takeReceivers := func(n *Node) []string {
		output := n.TakeOutput()
		receivers, _ := sentMessages(t, &output)
		return receivers
	}
	n := newTestNode(t, Config{Name: "g1", UsesRelays: true})
	n.Publish(testStart, "", "d", 1, 1, nil)
	n.Publish(testStart, "g2", "d", 1, 2, nil)
	n.Publish(testStart, "g1", "d", 1, 3, nil)
	if got, want := takeReceivers(n), []string{Broadcast, "g2"}; !slices.Equal(got, want) {
		t.Errorf("receivers with relays: got %q, want %q", got, want)
	}
	n = newTestNode(t, Config{Name: "g1", Peers: []string{"r1", "g2"}})
	n.Publish(testStart, "", "d", 1, 1, nil)
	if got := takeReceivers(n); len(got) != 0 {
		t.Errorf("receivers in a mesh without known peers: got %q, want none", got)
	}
	n.replica.hellos["g2"] = Hello{Name: "g2"}
	n.Publish(testStart, "", "d", 1, 1, nil)
	if got, want := takeReceivers(n), []string{"g2"}; !slices.Equal(got, want) {
		t.Errorf("receivers in a mesh with one known peer: got %q, want %q", got, want)
	}
}

// TestReconnectedRenewsAndRetriesAtKnownLeader checks that a node renews its session and retries its proposals
// immediately after Reconnected, sends both to the known leader, and sets RenewalSent and Reconnected in its output. A
// gateway of a fleet with relays requests compact deltas, any other node does not.
func TestReconnectedRenewsAndRetriesAtKnownLeader(t *testing.T) {
	for _, tt := range []struct {
		name    string
		cfg     Config
		compact bool
		role    lease.Role
	}{
		{"gateway", Config{Name: "g1", UsesRelays: true}, true, lease.RoleGateway},
		{"relay", Config{Name: "r1", UsesRelays: true}, false, lease.RoleRelay},
		{"relay with a peer", Config{Name: "r2", UsesRelays: true, Peers: []string{"r1"}}, false, lease.RoleRelay},
		{"gateway in a mesh", Config{Name: "g1", Peers: []string{"r1"}}, false, ""},
	} {
		n := newTestNode(t, tt.cfg)
		n.Tick(testStart)
		n.session.target.name = "x" // any gateway other than this one
		n.TakeOutput()
		n.proposals.list = nil
		s := n.session
		s.openProposal, s.id, s.renewedAt, s.renewDelay = 0, 5, testStart, lease.RenewInterval
		if got := s.openCommand().Open.Role; got != tt.role {
			t.Errorf("%s: role of the session: got %q, want %q", tt.name, got, tt.role)
		}
		n.Propose(testStart, lease.Command{Op: lease.OpAcquire, Lease: "d"})
		n.TakeOutput()
		n.Tick(testStart + time.Millisecond)
		output := n.TakeOutput()
		_, messages := sentMessages(t, &output)
		if renewals, proposals := splitMessages(messages); len(renewals) != 0 || len(proposals) != 0 {
			t.Errorf("%s: before Reconnected: got %d renewals and %d proposals, want none", tt.name, len(renewals), len(proposals))
		}

		n.view.leader = "lead"
		n.Reconnected(testStart + 2*time.Millisecond)
		output = n.TakeOutput()
		receivers, messages := sentMessages(t, &output)
		if slices.ContainsFunc(receivers, func(name string) bool { return name != "lead" }) {
			t.Errorf("%s: receivers after Reconnected: got %q, want the leader alone", tt.name, receivers)
		}
		renewals, proposals := splitMessages(messages)
		if len(renewals) != 1 || len(proposals) != 1 {
			t.Errorf("%s: after Reconnected: got %d renewals and %d proposals, want 1 and 1", tt.name, len(renewals), len(proposals))
		}
		for _, m := range renewals {
			if m.Renew.Compact != tt.compact {
				t.Errorf("%s: compact renewal: got %t, want %t", tt.name, m.Renew.Compact, tt.compact)
			}
		}
		if !output.RenewalSent || !output.Reconnected {
			t.Errorf("%s: output after Reconnected: got %+v, want RenewalSent and Reconnected", tt.name, output)
		}
		checkLeaderReplies(t, n)
	}
}

// splitMessages returns the renewals and the proposals among the messages.
func splitMessages(messages []*Message) (renewals, proposals []*Message) {
	for _, m := range messages {
		switch {
		case m.Renew != nil:
			renewals = append(renewals, m)
		case m.Proposal != nil:
			proposals = append(proposals, m)
		}
	}
	return renewals, proposals
}

// checkLeaderReplies checks that a reply from the leader sets LeaderResponded, and that one from any other gateway does
// not.
func checkLeaderReplies(t *testing.T, n *Node) {
	t.Helper()
	n.session.target.name = "r1"
	receive := func(at time.Duration, reply *RenewReply) Output {
		reply.Session, reply.Seq = 5, n.session.lastSeq
		n.Receive(at, "r1", KindMessage, encodeMessage(&Message{RenewReply: reply}))
		return n.TakeOutput()
	}
	output := receive(testStart+3*time.Millisecond, &RenewReply{Delta: &lease.StateDelta{Revision: 1, SessionCount: 4700}})
	if got := n.Status(testStart).Sessions; !output.LeaderResponded || got != 4700 {
		t.Errorf("reply of the leader: got LeaderResponded %t and %d sessions, want true and 4700", output.LeaderResponded, got)
	}
	output = receive(testStart+4*time.Millisecond, &RenewReply{Leader: "r2"})
	if output.LeaderResponded {
		t.Error("reply of a gateway that does not lead: got LeaderResponded true, want false")
	}
}

// TestDiskOutdatedHaltsNode checks that a replica stops when its disk is reported to be an older copy.
func TestDiskOutdatedHaltsNode(t *testing.T) {
	n := newTestNode(t, Config{Name: "g1", UsesRelays: true})
	n.DiskOutdated(testStart, "a relay knows a later stream")
	if err := n.Halted(); !errors.Is(err, wal.ErrCopied) {
		t.Errorf("Halted: got %v, want %v", err, wal.ErrCopied)
	}
}

// TestValidateHelloRejectsWithReason checks that each kind of invalid hello is rejected with a reason.
func TestValidateHelloRejectsWithReason(t *testing.T) {
	own := Hello{Fleet: "f", Format: FormatVersion, Name: "g1", ClusterID: 5}
	valid := Hello{Fleet: "f", Format: FormatVersion, Name: "g2"}
	if err := ValidateHello(&own, &valid, []string{"g2"}); err != nil {
		t.Errorf("valid hello: got %v, want no error", err)
	}
	for name, change := range map[string]func(h *Hello){
		"fleet":      func(h *Hello) { h.Fleet = "other" },
		"format":     func(h *Hello) { h.Format++ },
		"own name":   func(h *Hello) { h.Name = "g1" },
		"no peer":    func(h *Hello) { h.Name = "g3" },
		"cluster ID": func(h *Hello) { h.ClusterID = 6 },
	} {
		hello := valid
		change(&hello)
		var rejected *HelloError
		if err := ValidateHello(&own, &hello, []string{"g1", "g2"}); !errors.As(err, &rejected) || rejected.Reason == "" {
			t.Errorf("%s: got %v, want a HelloError with a reason", name, err)
		}
	}
}
