package cluster

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
	"dunemoor/internal/cluster/transport"
	"dunemoor/internal/testutil"
)

const testKey = "this key is of a test and of nothing else"

// member is a cluster without a gateway, with the publications of one lease that it has received.
type member struct {
	*Cluster
	mu           sync.Mutex
	publications []uint64
}

// relaysOf returns relays on a random loopback address.
func relaysOf(t *testing.T, n int) (list []Relay) {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	for port := 20000; len(list) < n; port++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			continue
		}
		ln.Close()
		list = append(list, Relay{Name: fmt.Sprintf("r%d", len(list)+1), Address: ln.Addr().String(), Zone: fmt.Sprintf("z%d", len(list)+1)})
	}
	return list
}

// join starts a member. The holder of the lease "say" publishes the numbers that it is given.
func join(t *testing.T, name string, relays []Relay, numbers <-chan uint64) *member {
	t.Helper()
	cfg := Config{FleetID: "f", Name: name, DataDir: filepath.Join(t.TempDir(), "disk"), Key: []byte(testKey), Relays: relays, Zone: "z1"}
	for _, r := range relays {
		cfg.BootstrapReplicas = append(cfg.BootstrapReplicas, r.Name)
		if r.Name == name {
			cfg.Listen, cfg.Zone = r.Address, r.Zone
		}
	}
	f, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p := &member{Cluster: f}
	f.Register("say", func(ctx context.Context, h *leaseholder.Lease) {
		for {
			select {
			case <-ctx.Done():
				return
			case n := <-numbers:
				f.Publish("", h, n, binary.LittleEndian.AppendUint64(nil, n))
			}
		}
	}, p)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sync.OnceFunc(f.Close))
	return p
}

// ReceivePublication implements Subscriber.
func (p *member) ReceivePublication(x node.Publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publications = append(p.publications, binary.LittleEndian.Uint64(x.Body))
}

// Resync implements Subscriber: it publishes nothing again.
func (p *member) Resync(string, []byte) {}

func (p *member) received() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]uint64{}, p.publications...)
}

// at returns the relay of a gateway.
func (p *member) at() string { return p.Status().Relay.Name }

// A fleet of relays and gateways, on sockets: all have a session, each receives what a holder publishes, once and in
// order, and a gateway that loses its relay goes to another with the session that it has.
func TestRelayed(t *testing.T) {
	relays, numbers := relaysOf(t, 3), make(chan uint64)
	var all, gateways []*member
	for _, r := range relays {
		all = append(all, join(t, r.Name, relays, numbers))
	}
	for i := range 6 {
		gateways = append(gateways, join(t, fmt.Sprintf("g%d", i+1), relays, numbers))
	}
	all = append(all, gateways...)
	for _, p := range all {
		testutil.WaitUntil(t, p.cfg.Name+" has a session", func() bool { return p.Status().Session != 0 })
	}
	var n uint64
	received := func(members []*member, least uint64) bool { // all but the holder
		missing := 0
		for _, p := range members {
			if h := p.received(); len(h) == 0 || h[len(h)-1] < least {
				missing++
			}
		}
		return missing <= 1
	}
	testutil.WaitUntil(t, "all know the holder", func() bool {
		for _, p := range all {
			if s := p.Status(); len(s.Leases) != 1 || s.Leases[0].Holder == "" {
				return false
			}
		}
		return true
	})
	for n < 100 {
		n++
		numbers <- n
	}
	testutil.WaitUntil(t, "all but the holder have received all", func() bool { return received(all, n) })
	for _, p := range all {
		for i, x := range p.received() {
			if x != uint64(i+1) {
				t.Fatalf("%s received %v", p.cfg.Name, p.received())
			}
		}
	}
	streams := 0
	for _, p := range all[:3] {
		streams += p.Status().Streams.Streams
	}
	if streams != len(gateways) {
		t.Errorf("%d streams of %d gateways", streams, len(gateways))
	}
	was, at := map[*member]uint64{}, map[*member]string{}
	for _, p := range gateways {
		was[p], at[p] = p.Status().Session, p.at()
	}
	lost := gateways[0].at()
	var left []*member
	for _, p := range all {
		if p.cfg.Name == lost {
			p.Close()
		} else {
			left = append(left, p)
		}
	}
	for _, p := range gateways {
		testutil.WaitUntil(t, p.cfg.Name+" is at another relay", func() bool { at := p.at(); return at != "" && at != lost })
	}
	testutil.WaitUntil(t, "a leader has confirmed all", func() bool {
		for _, p := range gateways {
			if s := p.Status(); s.Leader == lost || s.Leader == "" {
				return false
			}
		}
		return true
	})
	for _, p := range gateways {
		s := p.Status()
		if s.Session != was[p] {
			t.Errorf("%s had session %d, and has %d", p.cfg.Name, was[p], s.Session)
		}
		if at[p] == lost && (s.Relay.Ends["ended"] == 0 || s.Relay.Ends["silent"] > 0) {
			t.Errorf("%s left its relay for %v: it was notified of the end", p.cfg.Name, s.Relay.Ends)
		}
	}
	testutil.WaitUntil(t, "the lease has a holder that is up", func() bool {
		for _, p := range left {
			if s := p.Status(); len(s.Leases) != 1 || s.Leases[0].Holder == "" || s.Leases[0].Holder == lost {
				return false
			}
		}
		return true
	})
	// What was published while a gateway moved is lost; what follows is not.
	least := n + 1
	testutil.WaitUntil(t, "all that are left receive publications again", func() bool {
		n++
		numbers <- n
		return received(left, least)
	})
	for _, p := range left {
		if !slices.IsSorted(p.received()) || len(slices.Compact(p.received())) != len(p.received()) {
			t.Errorf("%s received %v", p.cfg.Name, p.received())
		}
	}
	// The relay is replaced, with an empty disk: its epochs begin anew, and the others accept it.
	left = append(left, join(t, lost, relays, numbers))
	for _, p := range left {
		if p.Status().Streams == nil {
			continue
		}
		testutil.WaitUntil(t, p.cfg.Name+" knows of all relays and gateways", func() bool {
			s := p.Status().Streams
			return len(s.Relays) == len(relays) && s.Routes == len(gateways)
		})
	}
}

// A process that has the key and claims another name in its join is rejected, and a second gateway with a name gets
// no stream while the first is connected.
func TestRelayPretenders(t *testing.T) {
	relays, numbers := relaysOf(t, 3), make(chan uint64)
	r := join(t, "r1", relays, numbers) // in the zone of all gateways
	all := []*member{r, join(t, "r2", relays, numbers), join(t, "r3", relays, numbers)}
	g := join(t, "g1", relays, numbers)
	testutil.WaitUntil(t, "g1 has a session", func() bool { return g.Status().Session != 0 })
	hello := *r.hello.Load()
	for _, c := range []struct {
		what        string
		name, says  string
		replica, as uint64
	}{
		{"a name in the join that is not the hello's", "g9", "g1", 9, 9},
		{"another's replica", "g1", "g1", 9, g.Status().ReplicaID},
		{"a relay's name", "r1", "r1", 9, 9},
	} {
		malformed, rejected := r.transport.Counters.FramesMalformed.Load(), r.transport.Counters.ConnsRejected.Load()
		to := &ends{why: make(chan error, 1)}
		h := hello
		h.Name, h.ReplicaID = c.name, c.replica
		x := transport.New(transport.Config{
			Name: c.name, Key: []byte(testKey), Hello: func() node.Hello { return h }, Validate: func(*node.Hello) error { return nil },
			StreamHandler: to, ValidateStream: func(*node.Hello) error { return nil },
		}, nil, to)
		x.Start()
		x.Dial("r1", relays[0].Address, relay.KindJoin, encodeJSON(relay.JoinRequest{Name: c.says, ReplicaID: c.as, Epoch: 1 << 60}))
		if err := <-to.why; err == nil || to.frames > 0 {
			t.Errorf("%s: %v, %d frames", c.what, err, to.frames)
		}
		testutil.WaitUntil(t, c.what+" is counted", func() bool {
			return r.transport.Counters.FramesMalformed.Load()+r.transport.Counters.ConnsRejected.Load() > malformed+rejected
		})
		x.Close()
	}
	was := g.Status().Relay
	second := join(t, "g1", relays, numbers)
	testutil.WaitUntil(t, "the second is rejected", func() bool {
		n := uint64(0)
		for _, k := range second.Status().Relay.Ends {
			n += k
		}
		return n > 0
	})
	if now := g.Status().Relay; second.at() != "" || now.Epoch != was.Epoch {
		t.Errorf("the second is at %q, the first at %q by epoch %x, before %x", second.at(), now.Name, now.Epoch, was.Epoch)
	}
	closed := func() (n uint64) {
		for _, p := range all {
			n += p.Status().Streams.Closed
		}
		return n
	}
	before := closed()
	g.Close()
	testutil.WaitUntil(t, "the second takes the place of the first", func() bool { return second.at() != "" && second.Status().Session != 0 })
	if n := closed() - before; n > 0 {
		t.Errorf("%d streams were closed: the relay was notified of the end", n)
	}
}

// ends waits for the end of a stream.
type ends struct {
	frames int
	why    chan error
}

func (e *ends) ReceiveHello(node.Hello)                                {}
func (e *ends) Receive(string, node.Kind, []byte)                      {}
func (e *ends) Unreachable(string)                                     {}
func (e *ends) SnapshotSent(uint64, bool)                              {}
func (e *ends) StreamFrame(_ *transport.Stream, _ node.Kind, _ []byte) { e.frames++ }
func (e *ends) StreamEnded(_ *transport.Stream, why error)             { e.why <- why }
