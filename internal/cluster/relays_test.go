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

// A fleet of relays and gateways, on sockets: all have a session, each receives what a holder publishes, once and in
// order, and a gateway that loses its relay goes to another with the session that it has.
func TestGatewaysKeepSessionsWhenRelayIsLostAndReplaced(t *testing.T) {
	relays, numbers := newRelays(t, 3), make(chan uint64)
	var members, gateways []*member
	for _, r := range relays {
		members = append(members, startMember(t, r.Name, relays, numbers))
	}
	for i := range 6 {
		gateways = append(gateways, startMember(t, fmt.Sprintf("g%d", i+1), relays, numbers))
	}
	members = append(members, gateways...)
	for _, m := range members {
		waitUntilSession(t, m)
	}
	testutil.WaitUntil(t, "all know the holder", func() bool {
		return all(members, func(m *member) bool { return m.holder() != "" })
	})
	var number uint64
	for number < 100 {
		number++
		numbers <- number
	}
	testutil.WaitUntil(t, "all but the holder have received all", func() bool { return allButHolderReceived(members, number) })
	for _, m := range members {
		for i, got := range m.received() {
			if want := uint64(i + 1); got != want {
				t.Fatalf("%s: publication %d: got %d, want %d, in %v", m.cfg.Name, i, got, want, m.received())
			}
		}
	}
	streams := 0
	for _, m := range members[:3] {
		streams += m.Status().Streams.Streams
	}
	if streams != len(gateways) {
		t.Errorf("streams of all relays: got %d, want %d", streams, len(gateways))
	}

	lost := gateways[0].relay()
	left := closeRelayOf(t, lost, members, gateways)
	testutil.WaitUntil(t, "the lease has a holder that is up", func() bool {
		return all(left, func(m *member) bool { holder := m.holder(); return holder != "" && holder != lost })
	})
	// What was published while a gateway moved is lost; what follows is not.
	least := number + 1
	testutil.WaitUntil(t, "all that are left receive publications again", func() bool {
		number++
		numbers <- number
		return allButHolderReceived(left, least)
	})
	for _, m := range left {
		if got := m.received(); !slices.IsSorted(got) || len(slices.Compact(slices.Clone(got))) != len(got) {
			t.Errorf("%s: publications: got %v, want each once and in order", m.cfg.Name, got)
		}
	}

	// The relay is replaced, with an empty disk: its epochs begin anew, and the others accept it.
	left = append(left, startMember(t, lost, relays, numbers))
	for _, m := range left {
		if m.Status().Streams == nil {
			continue
		}
		testutil.WaitUntil(t, m.cfg.Name+" knows of all relays and gateways", func() bool {
			status := m.Status().Streams
			return len(status.Relays) == len(relays) && status.Routes == len(gateways)
		})
	}
}

// closeRelayOf closes the relay named lost, and returns the other members. It checks that the gateways reach other
// relays with their sessions, and that those of the relay were notified of its end.
func closeRelayOf(t *testing.T, lost string, members, gateways []*member) (left []*member) {
	t.Helper()
	sessions, relayOf := map[*member]uint64{}, map[*member]string{}
	for _, g := range gateways {
		sessions[g], relayOf[g] = g.Status().Session, g.relay()
	}
	for _, m := range members {
		if m.cfg.Name == lost {
			m.Close()
		} else {
			left = append(left, m)
		}
	}
	for _, g := range gateways {
		testutil.WaitUntil(t, g.cfg.Name+" is at another relay", func() bool { name := g.relay(); return name != "" && name != lost })
	}
	testutil.WaitUntil(t, "a leader has confirmed all", func() bool {
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
	return left
}

// A process that has the key and claims another name in its join is rejected, and a second gateway with a name gets
// no stream while the first is connected.
func TestRelayRejectsForeignNameAndSecondGateway(t *testing.T) {
	relays, numbers := newRelays(t, 3), make(chan uint64)
	r1 := startMember(t, "r1", relays, numbers) // in the zone of all gateways
	relayMembers := []*member{r1, startMember(t, "r2", relays, numbers), startMember(t, "r3", relays, numbers)}
	first := startMember(t, "g1", relays, numbers)
	waitUntilSession(t, first)
	counters := &r1.transport.Counters
	relayHello := *r1.hello.Load()
	for _, tt := range []struct {
		name                      string
		helloName, joinName       string
		helloReplica, joinReplica uint64
	}{
		{"a name in the join that is not the hello's", "g9", "g1", 9, 9},
		{"another's replica", "g1", "g1", 9, first.Status().ReplicaID},
		{"a relay's name", "r1", "r1", 9, 9},
	} {
		malformed, rejected := counters.FramesMalformed.Load(), counters.ConnsRejected.Load()
		hello := relayHello
		hello.Name, hello.ReplicaID = tt.helloName, tt.helloReplica
		stream := &rejectedStream{ended: make(chan error, 1)}
		dialer := transport.New(transport.Config{
			Name: tt.helloName, Key: []byte(testKey), Hello: func() node.Hello { return hello }, Validate: func(*node.Hello) error { return nil },
			StreamHandler: stream, ValidateStream: func(*node.Hello) error { return nil },
		}, nil, stream)
		dialer.Start()
		dialer.Dial("r1", relays[0].Address, relay.KindJoin, encodeJSON(relay.JoinRequest{Name: tt.joinName, ReplicaID: tt.joinReplica, Epoch: 1 << 60}))
		if err := <-stream.ended; err == nil || stream.frames > 0 {
			t.Errorf("%s: got end %v after %d frames, want an error after none", tt.name, err, stream.frames)
		}
		testutil.WaitUntil(t, tt.name+" is counted", func() bool {
			return counters.FramesMalformed.Load()+counters.ConnsRejected.Load() > malformed+rejected
		})
		dialer.Close()
	}

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
