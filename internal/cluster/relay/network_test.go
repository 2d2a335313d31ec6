package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dunemoor/internal/cluster/node"
)

// testNetwork is a simulated network of relays and gateways without nodes. Its connections deliver frames in
// order and in the next step.
type testNetwork struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	relays   []Relay
	routers  map[string]*Router // routers of the relays that are up, by name
	clients  []*Client
	gateways []string                          // names of the clients
	streams  map[string]map[uint64]*testStream // by gateway and epoch
	pending  []func()                          // deliveries of the next step
	boots    uint64

	onRecord func(receiver string, r *Record) // called for each record that a node receives, unless nil
}

// testStream is a stream of a gateway to one process of a relay.
type testStream struct {
	relay    string
	router   *Router
	gateway  int
	epoch    uint64
	accepted bool
	ended    bool
}

// stepDuration is the virtual time of one step of a testNetwork.
const stepDuration = 10 * time.Millisecond

// newTestNetwork returns a network in which all relays are up.
func newTestNetwork(t *testing.T, seed uint64, relays []Relay) *testNetwork {
	n := &testNetwork{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Hour,
		relays:  relays,
		routers: map[string]*Router{},
		streams: map[string]map[uint64]*testStream{},
	}
	for i := range relays {
		n.startRelay(i)
	}
	return n
}

func (n *testNetwork) startRelay(i int) {
	n.boots++
	started := n.relays[i]
	router := NewRouter(n.now, Config{
		Name: started.Name, Zone: started.Zone, Region: started.Region,
		ReplicaID: uint64(i + 1), Boots: n.boots, Seed: n.rng.Uint64(),
	}, n.relays)
	n.routers[started.Name] = router
	for name, other := range n.routers {
		if name != started.Name {
			other.RelayUp(n.now, started.Name)
			router.RelayUp(n.now, name)
		}
	}
}

// startMissingRelays starts the relays that are down.
func (n *testNetwork) startMissingRelays() {
	for i, r := range n.relays {
		if n.routers[r.Name] == nil {
			n.startRelay(i)
		}
	}
}

// killRelay ends the process of a relay, and with it the relay's streams.
func (n *testNetwork) killRelay(i int) {
	router := n.routers[n.relays[i].Name]
	delete(n.routers, n.relays[i].Name)
	for _, gateway := range n.gateways {
		for _, epoch := range sortedEpochs(n.streams[gateway]) {
			if s := n.streams[gateway][epoch]; s.router == router {
				n.endStream(s, true, false)
			}
		}
	}
}

func sortedEpochs(streams map[uint64]*testStream) (epochs []uint64) {
	for epoch := range streams {
		epochs = append(epochs, epoch)
	}
	slices.Sort(epochs)
	return epochs
}

// endStream ends a stream, and in the next step notifies the sides that the parameters select.
func (n *testNetwork) endStream(s *testStream, notifyGateway, notifyRelay bool) {
	if s.ended {
		return
	}
	s.ended = true
	delete(n.streams[n.gateways[s.gateway]], s.epoch)
	if notifyGateway {
		n.pending = append(n.pending, func() { n.clients[s.gateway].StreamEnded(n.now, s.epoch) })
	}
	if notifyRelay {
		n.pending = append(n.pending, func() { s.router.StreamEnded(n.now, n.gateways[s.gateway], s.epoch) })
	}
}

func (n *testNetwork) addGateway(name, zone, region string) {
	i := len(n.clients)
	n.gateways = append(n.gateways, name)
	n.streams[name] = map[uint64]*testStream{}
	n.clients = append(n.clients, NewClient(n.now, Config{
		Name: name, Zone: zone, Region: region,
		ReplicaID: uint64(1000 + i), Boots: 1, Seed: n.rng.Uint64(),
	}, n.relays))
}

// advance runs steps for a duration.
func (n *testNetwork) advance(d time.Duration) {
	for end := n.now + d; n.now < end; {
		n.step()
	}
}

// step delivers what was sent in the previous step, and then runs each relay and gateway once.
func (n *testNetwork) step() {
	n.now += stepDuration
	pending := n.pending
	n.pending = nil
	for _, deliver := range pending {
		deliver()
	}
	for i, r := range n.relays {
		if router := n.routers[r.Name]; router != nil {
			router.Tick(n.now)
			n.handleRouterOutput(i, router)
		}
	}
	for i, client := range n.clients {
		client.Tick(n.now)
		n.handleClientOutput(i, client)
	}
}

func (n *testNetwork) handleRouterOutput(i int, router *Router) {
	sender := n.relays[i].Name
	output := router.TakeOutput()
	for _, f := range output.ToStream {
		s := n.streams[f.Name][f.Epoch]
		if s == nil || s.router != router {
			continue
		}
		n.pending = append(n.pending, func() {
			if !s.ended {
				n.clients[s.gateway].Receive(n.now, f.Epoch, f.Kind, f.Body)
			}
		})
	}
	for _, f := range output.ToRelay {
		receiver := n.routers[f.Name]
		n.pending = append(n.pending, func() {
			if receiver == nil || n.routers[f.Name] != receiver {
				return
			}
			if f.Kind == node.KindMessage {
				n.record(f.Name, &Record{From: sender, Kind: f.Kind, Body: f.Body})
				return
			}
			receiver.ReceiveFromRelay(n.now, sender, f.Kind, f.Body)
		})
	}
	for k := range output.ToNode {
		n.record(sender, &output.ToNode[k])
	}
	for _, closed := range output.Closed {
		if s := n.streams[closed.Name][closed.Epoch]; s != nil && s.router == router {
			n.endStream(s, true, false)
		}
	}
}

func (n *testNetwork) handleClientOutput(i int, client *Client) {
	name := n.gateways[i]
	output := client.TakeOutput()
	for _, d := range output.Dial {
		router := n.routers[d.Relay]
		s := &testStream{relay: d.Relay, router: router, gateway: i, epoch: d.Join.Epoch}
		n.streams[name][s.epoch] = s
		if router == nil {
			n.endStream(s, true, false)
			continue
		}
		n.pending = append(n.pending, func() {
			if s.ended {
				return
			}
			reply := router.Join(n.now, d.Join)
			s.accepted = reply.Accepted
			n.pending = append(n.pending, func() {
				if !s.ended {
					client.ReceiveJoinReply(n.now, s.epoch, reply)
				}
			})
		})
	}
	for _, f := range output.ToStream {
		if s := n.streams[name][f.Epoch]; s != nil {
			n.pending = append(n.pending, func() {
				if n.routers[s.relay] == s.router {
					s.router.ReceiveFromStream(n.now, name, f.Epoch, f.Kind, f.Body)
				}
			})
		}
	}
	for k := range output.ToNode {
		n.record(name, &output.ToNode[k])
	}
	for _, epoch := range output.Close {
		if s := n.streams[name][epoch]; s != nil {
			n.endStream(s, false, s.accepted)
		}
	}
}

func (n *testNetwork) record(receiver string, r *Record) {
	if n.onRecord != nil {
		n.onRecord(receiver, r)
	}
}

// isConnected reports whether a gateway has a stream that exists on its relay too.
func (n *testNetwork) isConnected(client *Client) bool {
	status := client.Status()
	if status.Relay == "" {
		return false
	}
	router := n.routers[status.Relay]
	return router != nil && router.Streams()[client.cfg.Name] == status.Epoch
}

// connected returns the number of gateways that have a stream, and the number of streams of each relay.
func (n *testNetwork) connected() (count int, loads map[string]int) {
	loads = map[string]int{}
	for _, client := range n.clients {
		if n.isConnected(client) {
			count++
			loads[client.Status().Relay]++
		}
	}
	return count, loads
}

// settle runs for a duration, and then for at most 100 steps until all gateways have a stream.
func (n *testNetwork) settle(d time.Duration) (count int, loads map[string]int) {
	n.advance(d)
	for range 100 {
		if count, loads = n.connected(); count == len(n.clients) {
			break
		}
		n.step()
	}
	return count, loads
}

// sixteenRelays returns relays in ten zones of three regions.
func sixteenRelays() (relays []Relay) {
	for i := range 16 {
		zone := i % 10
		relays = append(relays, Relay{fmt.Sprintf("r%02d", i), fmt.Sprint("z", zone), fmt.Sprint("region", zone%3)})
	}
	return relays
}
