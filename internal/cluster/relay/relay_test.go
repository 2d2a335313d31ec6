package relay

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"dunemoor/internal/cluster/node"
)

// Whatever zones the gateways are in, all get a stream soon and no relay has more than 25% above its share of
// streams: with all relays, with half of them, and after the other half has returned.
func TestRelayLoadIsBounded(t *testing.T) {
	const gateways = 1000
	for seed := range uint64(4) {
		n := newTestNetwork(t, seed, sixteenRelays())
		for i := range gateways {
			zone := n.rng.IntN(10)
			if seed%2 == 1 {
				zone = min(zone, n.rng.IntN(10), n.rng.IntN(10)) // most gateways are in few zones
			}
			n.addGateway(fmt.Sprint("g", i), fmt.Sprint("z", zone), fmt.Sprint("region", zone%3))
		}
		count, loads := n.settle(10 * time.Second)
		n.checkLoads(fmt.Sprintf("seed %d: at first", seed), 16, count, loads)
		for _, i := range n.rng.Perm(16)[:8] {
			n.killRelay(i)
		}
		count, loads = n.settle(10 * time.Second)
		n.checkLoads(fmt.Sprintf("seed %d: with half of the relays", seed), 8, count, loads)
		n.startMissingRelays()
		count, loads = n.settle(4 * time.Minute)
		n.checkLoads(fmt.Sprintf("seed %d: with all relays again", seed), 16, count, loads)
	}
}

// checkLoads checks that all gateways have a stream, and that no relay exceeds its share of streams.
func (n *testNetwork) checkLoads(name string, relaysUp, connected int, loads map[string]int) {
	t := n.t
	t.Helper()
	gateways := len(n.clients)
	if connected != gateways {
		for _, c := range n.clients {
			if !n.isConnected(c) {
				t.Logf("%s: %+v current %+v attempt %+v selection %+v", c.cfg.Name, c.Status(), c.current, c.attempt, c.selection)
			}
		}
		t.Fatalf("%s: got %d gateways with a stream, want %d", name, connected, gateways)
	}
	share := max(minStreamLimit, (gateways*maxLoadPercent+100*relaysUp-1)/(100*relaysUp))
	for relay, load := range loads {
		// Relays that accept joins at the same time do not count one another's joins.
		if load > share+relaysUp {
			t.Errorf("%s: got %d streams at %s, want %d at most with %d relays: %v", name, load, relay, share+relaysUp, relaysUp, loads)
		}
	}
}

// Without faults no record is lost, whatever its sender and receiver, and records arrive in order.
func TestRecordsAllArriveWithoutFaults(t *testing.T) {
	for seed := range uint64(10) {
		n := newTestNetwork(t, seed, sixteenRelays()[:4])
		for i := range 12 {
			n.addGateway(fmt.Sprint("g", i), "z0", "region0")
		}
		n.advance(5 * time.Second)
		n.exchangeRecords(seed, 400, true, func() {})
	}
}

// While gateways lose their streams and relays are killed, no record arrives twice or out of order. After the
// faults, all gateways have a stream and no record is lost.
func TestRecordsArriveOnceAndInOrderDuringFaults(t *testing.T) {
	for seed := range uint64(20) {
		n := newTestNetwork(t, seed, sixteenRelays()[:4])
		for i := range 12 {
			n.addGateway(fmt.Sprint("g", i), "z0", "region0")
		}
		n.advance(5 * time.Second)
		n.exchangeRecords(seed, 1500, false, n.injectFault)
		n.startMissingRelays()
		n.advance(10 * time.Second)
		if count, _ := n.connected(); count != 12 {
			t.Fatalf("seed %d: got %d gateways with a stream, want 12", seed, count)
		}
		n.exchangeRecords(seed, 200, true, func() {})
	}
}

// injectFault injects a random fault or none: a relay is killed or started, a gateway loses its streams, or a
// gateway moves to another relay.
func (n *testNetwork) injectFault() {
	switch n.rng.IntN(40) {
	case 0:
		i := n.rng.IntN(4)
		if n.routers[n.relays[i].Name] != nil {
			n.killRelay(i)
		} else {
			n.startRelay(i)
		}
	case 1, 2, 3:
		streams := n.streams[n.gateways[n.rng.IntN(12)]]
		for _, epoch := range sortedEpochs(streams) {
			n.endStream(streams[epoch], true, true)
		}
	case 4, 5:
		n.clients[n.rng.IntN(12)].move("for a test")
	}
}

// exchangeRecords sends numbered records between random nodes, and checks that each arrives at most once and in
// order, and with wantAll that all arrive. It calls fault before each record.
func (n *testNetwork) exchangeRecords(seed uint64, records int, wantAll bool, fault func()) {
	t := n.t
	t.Helper()
	nodes := slices.Clone(n.gateways)
	for _, r := range n.relays {
		nodes = append(nodes, r.Name)
	}
	type path struct{ sender, receiver string }
	last := map[path]uint64{}
	got, want := 0, 0
	n.onRecord = func(receiver string, r *Record) {
		number := binary.LittleEndian.Uint64(r.Body)
		p := path{r.From, receiver}
		if number <= last[p] {
			t.Fatalf("seed %d at %v: %s got record %d of %s after record %d, want a later one", seed, n.now, receiver, number, r.From, last[p])
		}
		last[p] = number
		got++
	}
	number := uint64(0)
	for range records {
		fault()
		number++
		sender, receiver := nodes[n.rng.IntN(len(nodes))], nodes[n.rng.IntN(len(nodes))]
		if n.rng.IntN(3) == 0 {
			receiver = Broadcast
		}
		if sender == receiver {
			continue
		}
		n.send(sender, node.Frame{To: receiver, Kind: node.KindMessage, Body: binary.LittleEndian.AppendUint64(nil, number)})
		want++
		if receiver == Broadcast {
			want += len(nodes) - 2
		}
		n.step()
	}
	n.advance(time.Second)
	n.onRecord = nil
	if wantAll && got != want {
		t.Errorf("seed %d: got %d records without a fault, want %d", seed, got, want)
	}
}

// send sends a frame from a gateway, or from a relay if that is up.
func (n *testNetwork) send(sender string, f node.Frame) {
	if i := slices.Index(n.gateways, sender); i >= 0 {
		n.clients[i].Send(n.now, f)
		return
	}
	if router := n.routers[sender]; router != nil {
		router.Send(n.now, f)
	}
}
