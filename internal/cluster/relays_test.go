package cluster

import (
	"fmt"
	"slices"
	"testing"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
	"dunemoor/internal/cluster/transport"
	"dunemoor/internal/testutil"
)

// All relays and gateways, connected over sockets, get a session and receive each publication once and in
// order. Gateways that lose their relay move to another one and keep their sessions, and the lost relay can be
// replaced by one with an empty disk.
func TestGatewaysKeepSessionsWhenRelayIsLostAndReplaced(t *testing.T) {
	relays, numbers := newRelays(t, 3), make(chan uint64)
	var relayMembers, gateways []*member
	for _, r := range relays {
		relayMembers = append(relayMembers, startMember(t, r.Name, relays, numbers))
	}
	for i := range 6 {
		gateways = append(gateways, startMember(t, fmt.Sprintf("g%d", i+1), relays, numbers))
	}
	members := slices.Concat(relayMembers, gateways)
	for _, m := range members {
		waitUntilSession(t, m)
	}
	testutil.WaitUntil(t, "all members show the holder", func() bool {
		return all(members, func(m *member) bool { return m.holder() != "" })
	})
	var number uint64
	for number < 100 {
		number++
		numbers <- number
	}
	checkAllReceived(t, members, number)
	streams := 0
	for _, m := range relayMembers {
		streams += m.freshStatus().Streams.Streams
	}
	if streams != len(gateways) {
		t.Errorf("streams of all relays: got %d, want %d", streams, len(gateways))
	}

	lost := gateways[0].relay()
	remaining := closeRelay(t, lost, members, gateways)
	testutil.WaitUntil(t, "the lease has a holder that is up", func() bool {
		return all(remaining, func(m *member) bool { holder := m.holder(); return holder != "" && holder != lost })
	})
	checkPublicationsResume(t, remaining, numbers, number)

	// Replace the relay by one with an empty disk. Its epochs start again, and the other relays must accept it.
	remaining = append(remaining, startMember(t, lost, relays, numbers))
	for _, m := range remaining {
		if m.Status().Streams == nil {
			continue
		}
		testutil.WaitUntil(t, m.cfg.Name+" shows all relays and gateways", func() bool {
			status := m.Status().Streams
			return len(status.Relays) == len(relays) && status.Routes == len(gateways)
		})
	}
}

// checkAllReceived checks that all members but the holder receive the publications 1 to last, in order.
func checkAllReceived(t *testing.T, members []*member, last uint64) {
	t.Helper()
	testutil.WaitUntil(t, "all but the holder have received all", func() bool { return allButHolderReceived(members, last) })
	for _, m := range members {
		for i, got := range m.received() {
			if want := uint64(i + 1); got != want {
				t.Fatalf("%s: publication %d: got %d, want %d, in %v", m.cfg.Name, i, got, want, m.received())
			}
		}
	}
}

// checkPublicationsResume publishes the numbers after last, and checks that the members receive some of them,
// each once and in order. Publications that were sent while a gateway moved may be lost; later ones must
// arrive.
func checkPublicationsResume(t *testing.T, members []*member, numbers chan<- uint64, last uint64) {
	t.Helper()
	least := last + 1
	testutil.WaitUntil(t, "all remaining members receive publications again", func() bool {
		last++
		numbers <- last
		return allButHolderReceived(members, least)
	})
	for _, m := range members {
		if got := m.received(); !slices.IsSorted(got) || len(slices.Compact(slices.Clone(got))) != len(got) {
			t.Errorf("%s: publications: got %v, want each once and in order", m.cfg.Name, got)
		}
	}
}

// closeRelay closes the relay named lost and returns the other members. It checks that the gateways move to
// other relays and keep their sessions, and that the streams of the lost relay ended without a timeout.
func closeRelay(t *testing.T, lost string, members, gateways []*member) (remaining []*member) {
	t.Helper()
	sessions, relayOf := map[*member]uint64{}, map[*member]string{}
	for _, g := range gateways {
		sessions[g], relayOf[g] = g.Status().Session, g.relay()
	}
	for _, m := range members {
		if m.cfg.Name == lost {
			m.Close()
		} else {
			remaining = append(remaining, m)
		}
	}
	for _, g := range gateways {
		testutil.WaitUntil(t, g.cfg.Name+" is at another relay", func() bool { name := g.relay(); return name != "" && name != lost })
	}
	testutil.WaitUntil(t, "a leader has confirmed all gateways", func() bool {
		return all(gateways, func(g *member) bool { leader := g.Status().Leader; return leader != "" && leader != lost })
	})
	for _, g := range gateways {
		status := g.Status()
		if status.Session != sessions[g] {
			t.Errorf("%s: session at another relay: got %d, want %d", g.cfg.Name, status.Session, sessions[g])
		}
		if ends := status.Relay.Ends; relayOf[g] == lost && (ends["ended"] == 0 || ends["silent"] > 0) {
			t.Errorf("%s: ends of streams: got %v, want some ended and none silent", g.cfg.Name, ends)
		}
	}
	return remaining
}

// A process that has the fleet's key and joins under another member's name or replica ID gets no stream.
func TestRelayRejectsJoinInAnothersName(t *testing.T) {
	relays, numbers := newRelays(t, 3), make(chan uint64)
	relayMembers, gateway := startRelaysAndGateway(t, relays, numbers)
	r1 := relayMembers[0]
	counters := &r1.transport.Counters
	relayHello := *r1.hello.Load()
	for _, tt := range []struct {
		name                      string
		helloName, joinName       string
		helloReplica, joinReplica uint64
	}{
		{"join with another name than the hello", "g9", "g1", 9, 9},
		{"replica ID of another gateway", "g1", "g1", 9, gateway.Status().ReplicaID},
		{"name of a relay", "r1", "r1", 9, 9},
	} {
		malformed, rejected := counters.FramesMalformed.Load(), counters.ConnsRejected.Load()
		hello := relayHello
		hello.Name, hello.ReplicaID = tt.helloName, tt.helloReplica
		join := relay.JoinRequest{Name: tt.joinName, ReplicaID: tt.joinReplica, Epoch: 1 << 60}
		stream := &rejectedStream{ended: make(chan error, 1)}
		dialer := dialJoin(hello, relays[0], join, stream)
		if err := <-stream.ended; err == nil || stream.frames > 0 {
			t.Errorf("%s: got end %v after %d frames, want an error after none", tt.name, err, stream.frames)
		}
		testutil.WaitUntil(t, tt.name+" is counted", func() bool {
			return counters.FramesMalformed.Load()+counters.ConnsRejected.Load() > malformed+rejected
		})
		dialer.Close()
	}
}

// A second gateway with the same name gets no stream while the first is connected, and gets one after the first
// has ended.
func TestRelayRejectsSecondGatewayWithName(t *testing.T) {
	relays, numbers := newRelays(t, 3), make(chan uint64)
	relayMembers, first := startRelaysAndGateway(t, relays, numbers)
	before := first.Status().Relay
	second := startMember(t, "g1", relays, numbers)
	testutil.WaitUntil(t, "the second is rejected", func() bool {
		ends := uint64(0)
		for _, count := range second.Status().Relay.Ends {
			ends += count
		}
		return ends > 0
	})
	if got := second.relay(); got != "" {
		t.Errorf("relay of the second gateway: got %q, want none", got)
	}
	if got := first.Status().Relay; got.Epoch != before.Epoch {
		t.Errorf("stream of the first gateway: got epoch %x at %q, want epoch %x", got.Epoch, got.Name, before.Epoch)
	}
	closedStreams := func() (count uint64) {
		for _, m := range relayMembers {
			count += m.Status().Streams.Closed
		}
		return count
	}
	closedBefore := closedStreams()
	first.Close()
	testutil.WaitUntil(t, "the second takes the place of the first", func() bool { return second.relay() != "" && second.Status().Session != 0 })
	if got := closedStreams() - closedBefore; got > 0 {
		t.Errorf("streams closed by relays after the end of the first gateway: got %d, want 0", got)
	}
}

// startRelaysAndGateway starts all relays, of which the first is in the zone of the gateways, and the gateway
// g1. It returns when g1 has a session.
func startRelaysAndGateway(t *testing.T, relays []Relay, numbers <-chan uint64) (relayMembers []*member, gateway *member) {
	t.Helper()
	for _, r := range relays {
		relayMembers = append(relayMembers, startMember(t, r.Name, relays, numbers))
	}
	gateway = startMember(t, "g1", relays, numbers)
	waitUntilSession(t, gateway)
	return relayMembers, gateway
}

// dialJoin connects to a relay with a hello and sends a join request for a stream.
func dialJoin(hello node.Hello, to Relay, join relay.JoinRequest, stream *rejectedStream) *transport.Transport {
	dialer := transport.New(transport.Config{
		Name: hello.Name, Key: []byte(testKey), Hello: func() node.Hello { return hello }, Validate: func(*node.Hello) error { return nil },
		StreamHandler: stream, ValidateStream: func(*node.Hello) error { return nil },
	}, nil, stream)
	dialer.Start()
	dialer.Dial(to.Name, to.Address, relay.KindJoin, encodeJSON(join))
	return dialer
}

// rejectedStream handles a stream that is expected to end without a frame.
type rejectedStream struct {
	frames int
	ended  chan error
}

func (s *rejectedStream) ReceiveHello(node.Hello)                                {}
func (s *rejectedStream) Receive(string, node.Kind, []byte)                      {}
func (s *rejectedStream) Unreachable(string)                                     {}
func (s *rejectedStream) SnapshotSent(uint64, bool)                              {}
func (s *rejectedStream) StreamFrame(_ *transport.Stream, _ node.Kind, _ []byte) { s.frames++ }
func (s *rejectedStream) StreamEnded(_ *transport.Stream, reason error)          { s.ended <- reason }
