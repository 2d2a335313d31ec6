package cluster

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"testing"

	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/testutil"
)

const testKey = "a key that is used only by this test"

// testLease is the lease whose holder publishes numbers.
const testLease = "numbers"

// member is a Cluster without a gateway. It records the publications of testLease.
type member struct {
	*Cluster
	mu           sync.Mutex
	publications []uint64
}

// newRelays returns the configuration of relays at unused ports of a random loopback address.
func newRelays(t *testing.T, count int) (relays []Relay) {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	for port := 20000; len(relays) < count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			continue
		}
		listener.Close()
		number := len(relays) + 1
		relays = append(relays, Relay{Name: fmt.Sprintf("r%d", number), Address: listener.Addr().String(), Zone: fmt.Sprintf("z%d", number)})
	}
	return relays
}

// startMember starts a relay or, if no relay has the name, a gateway in zone z1. The holder of testLease
// publishes the numbers that it receives from the channel.
func startMember(t *testing.T, name string, relays []Relay, numbers <-chan uint64) *member {
	t.Helper()
	cfg := Config{FleetID: "f", Name: name, DataDir: filepath.Join(t.TempDir(), "disk"), Key: []byte(testKey), Relays: relays, Zone: "z1"}
	for _, r := range relays {
		cfg.BootstrapReplicas = append(cfg.BootstrapReplicas, r.Name)
		if r.Name == name {
			cfg.Listen, cfg.Zone = r.Address, r.Zone
		}
	}
	c, err := New(cfg)
	if err != nil {
		t.Fatalf("New(%s): got %v, want no error", name, err)
	}
	m := &member{Cluster: c}
	c.Register(testLease, func(ctx context.Context, held *leaseholder.Lease) {
		for {
			select {
			case <-ctx.Done():
				return
			case number := <-numbers:
				c.Publish("", held, number, binary.LittleEndian.AppendUint64(nil, number))
			}
		}
	}, m)
	if err := c.Start(); err != nil {
		t.Fatalf("Start(%s): got %v, want no error", name, err)
	}
	t.Cleanup(sync.OnceFunc(c.Close))
	return m
}

// ReceivePublication implements Subscriber.
func (m *member) ReceivePublication(p node.Publication) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publications = append(m.publications, binary.LittleEndian.Uint64(p.Body))
}

// Resync implements Subscriber. It publishes nothing.
func (m *member) Resync(string, []byte) {}

// received returns the numbers of the publications that the member has received, in order.
func (m *member) received() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]uint64{}, m.publications...)
}

// relay returns the name of the relay that a gateway has a stream to, or "" if there is none.
func (m *member) relay() string { return m.Status().Relay.Name }

// holder returns the holder of testLease by the status of a member, or "" if there is none.
func (m *member) holder() string {
	leases := m.Status().Leases
	if len(leases) != 1 {
		return ""
	}
	return leases[0].Holder
}

func waitUntilSession(t *testing.T, m *member) {
	t.Helper()
	testutil.WaitUntil(t, m.cfg.Name+" has a session", func() bool { return m.Status().Session != 0 })
}

// all reports whether a condition holds for all members.
func all(members []*member, condition func(m *member) bool) bool {
	for _, m := range members {
		if !condition(m) {
			return false
		}
	}
	return true
}

// allButHolderReceived reports whether at least all members but one have received the publication with the
// number least or a later one. The holder does not receive its own publications.
func allButHolderReceived(members []*member, least uint64) bool {
	missing := 0
	for _, m := range members {
		got := m.received()
		if len(got) == 0 || got[len(got)-1] < least {
			missing++
		}
	}
	return missing <= 1
}
