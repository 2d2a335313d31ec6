package relay

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dunemoor/internal/cluster/node"
)

// net is relays and gateways without nodes, on connections that keep the order and take one step.
type net struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	relays   []Relay
	routers  map[string]*Router // those that are up
	clients  []*Client
	names    []string
	conns    map[string]map[uint64]*conn // by gateway
	pending  []func()
	boots    uint64
	received func(at string, r *Record) // called with what nodes are given
	moved    func(at string)            // called when a gateway has reached another relay
}

type conn struct {
	relay    string
	router   *Router // the process
	gateway  int
	epoch    uint64
	accepted bool
	ended    bool
}

const netStep = 10 * time.Millisecond

func newNet(t *testing.T, seed uint64, relays []Relay) *net {
	n := &net{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, relays: relays, routers: map[string]*Router{}, conns: map[string]map[uint64]*conn{}}
	for i := range relays {
		n.up(i)
	}
	return n
}

func (n *net) up(i int) {
	n.boots++
	x := n.relays[i]
	n.routers[x.Name] = NewRouter(n.now, Config{Name: x.Name, Zone: x.Zone, Region: x.Region, ReplicaID: uint64(i + 1), Boots: n.boots, Seed: n.rng.Uint64()}, n.relays)
	for name, o := range n.routers {
		if name != x.Name {
			o.Up(n.now, x.Name)
			n.routers[x.Name].Up(n.now, name)
		}
	}
}

// kill ends a relay's process, and with it its streams.
func (n *net) kill(i int) {
	r := n.routers[n.relays[i].Name]
	delete(n.routers, n.relays[i].Name)
	for _, name := range n.names {
		for _, epoch := range sortedKeys(n.conns[name]) {
			if c := n.conns[name][epoch]; c.router == r {
				n.end(c, true, false)
			}
		}
	}
}

func sortedKeys(m map[uint64]*conn) (list []uint64) {
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

func (n *net) end(c *conn, tellGateway, tellRelay bool) {
	if c.ended {
		return
	}
	c.ended = true
	delete(n.conns[n.names[c.gateway]], c.epoch)
	if tellGateway {
		n.pending = append(n.pending, func() { n.clients[c.gateway].Ended(n.now, c.epoch) })
	}
	if tellRelay {
		n.pending = append(n.pending, func() { c.router.StreamEnded(n.now, n.names[c.gateway], c.epoch) })
	}
}

func (n *net) add(name, zone, region string) int {
	i := len(n.clients)
	n.names = append(n.names, name)
	n.conns[name] = map[uint64]*conn{}
	n.clients = append(n.clients, NewClient(n.now, Config{Name: name, Zone: zone, Region: region, ReplicaID: uint64(1000 + i), Boots: 1, Seed: n.rng.Uint64()}, n.relays))
	return i
}

func (n *net) run(d time.Duration) {
	for end := n.now + d; n.now < end; {
		n.step()
	}
}

func (n *net) step() {
	n.now += netStep
	pending := n.pending
	n.pending = nil
	for _, do := range pending {
		do()
	}
	for i, x := range n.relays {
		if r := n.routers[x.Name]; r != nil {
			r.Tick(n.now)
			n.router(i, r)
		}
	}
	for i, c := range n.clients {
		c.Tick(n.now)
		n.client(i, c)
	}
}

func (n *net) router(i int, r *Router) {
	me := n.relays[i].Name
	o := r.TakeOutput()
	for _, f := range o.ToStream {
		c := n.conns[f.Name][f.Epoch]
		if c == nil || c.router != r {
			continue
		}
		n.pending = append(n.pending, func() {
			if !c.ended {
				n.clients[c.gateway].Receive(n.now, f.Epoch, f.Kind, f.Body)
			}
		})
	}
	for _, f := range o.ToRelay {
		to := n.routers[f.Name]
		n.pending = append(n.pending, func() {
			if to == nil || n.routers[f.Name] != to {
				return
			}
			if f.Kind == node.KindMessage {
				if n.received != nil {
					n.received(f.Name, &Record{From: me, Kind: f.Kind, Body: f.Body})
				}
				return
			}
			to.FromRelay(n.now, me, f.Kind, f.Body)
		})
	}
	for k := range o.ToNode {
		if n.received != nil {
			n.received(me, &o.ToNode[k])
		}
	}
	for _, s := range o.Closed {
		if c := n.conns[s.Name][s.Epoch]; c != nil && c.router == r {
			n.end(c, true, false)
		}
	}
}

func (n *net) client(i int, c *Client) {
	o := c.TakeOutput()
	for _, d := range o.Dial {
		r := n.routers[d.Relay]
		x := &conn{relay: d.Relay, router: r, gateway: i, epoch: d.Join.Epoch}
		n.conns[n.names[i]][x.epoch] = x
		if r == nil {
			n.end(x, true, false)
			continue
		}
		n.pending = append(n.pending, func() {
			if x.ended {
				return
			}
			a := r.Join(n.now, d.Join)
			x.accepted = a.Accepted
			n.pending = append(n.pending, func() {
				if !x.ended {
					c.Joined(n.now, x.epoch, a)
				}
			})
		})
	}
	for _, f := range o.ToStream {
		if x := n.conns[n.names[i]][f.Epoch]; x != nil {
			n.pending = append(n.pending, func() {
				if n.routers[x.relay] == x.router {
					x.router.FromStream(n.now, n.names[i], f.Epoch, f.Kind, f.Body)
				}
			})
		}
	}
	for k := range o.ToNode {
		if n.received != nil {
			n.received(n.names[i], &o.ToNode[k])
		}
	}
	for _, epoch := range o.Close {
		if x := n.conns[n.names[i]][epoch]; x != nil {
			n.end(x, false, x.accepted)
		}
	}
	if o.Reconnected && n.moved != nil {
		n.moved(n.names[i])
	}
}

// connected returns how many gateways have a stream, and the streams of each relay that is up.
func (n *net) connected() (count int, loads map[string]int) {
	loads = map[string]int{}
	for _, c := range n.clients {
		if s := c.Status(); s.Relay != "" && n.routers[s.Relay] != nil && n.routers[s.Relay].Streams()[c.cfg.Name] == s.Epoch {
			count++
			loads[s.Relay]++
		}
	}
	return count, loads
}

// settle plays for a duration, and then until no gateway is between two relays.
func (n *net) settle(d time.Duration) (count int, loads map[string]int) {
	n.run(d)
	for range 100 {
		if count, loads = n.connected(); count == len(n.clients) {
			break
		}
		n.step()
	}
	return count, loads
}

// sixteen returns relays in ten zones of three regions.
func sixteen() (list []Relay) {
	for i := range 16 {
		zone := i % 10
		list = append(list, Relay{fmt.Sprintf("r%02d", i), fmt.Sprint("z", zone), fmt.Sprint("region", zone%3)})
	}
	return list
}

// Whatever zones the gateways are in: all have a stream soon, no relay has more than a quarter over its share,
// neither with all relays nor with half, and loads are balanced again once those are back.
func TestBoundedLoad(t *testing.T) {
	for seed := range uint64(4) {
		n := newNet(t, seed, sixteen())
		const gateways = 1000
		for i := range gateways {
			zone := n.rng.IntN(10)
			if seed%2 == 1 {
				zone = min(zone, n.rng.IntN(10), n.rng.IntN(10)) // most gateways are in few zones
			}
			n.add(fmt.Sprint("g", i), fmt.Sprint("z", zone), fmt.Sprint("region", zone%3))
		}
		check := func(what string, up int, loads map[string]int, count int) {
			t.Helper()
			if count != gateways {
				for _, c := range n.clients {
					if s := c.Status(); s.Relay == "" || n.routers[s.Relay] == nil || n.routers[s.Relay].Streams()[c.cfg.Name] != s.Epoch {
						t.Logf("%s: %+v current %+v attempt %+v selection %+v", c.cfg.Name, s, c.current, c.attempt, c.selection)
					}
				}
				t.Fatalf("seed %d: %s: %d of %d gateways have a stream", seed, what, count, gateways)
			}
			most := max(minStreamLimit, (gateways*maxLoadPercent+100*up-1)/(100*up))
			for name, load := range loads {
				// Two relays that are joined at once do not know of one another's join.
				if load > most+up {
					t.Errorf("seed %d: %s: %s has %d streams, %d at most of %d relays: %v", seed, what, name, load, most, up, loads)
				}
			}
		}
		count, loads := n.settle(10 * time.Second)
		check("at first", 16, loads, count)
		for _, i := range n.rng.Perm(16)[:8] {
			n.kill(i)
		}
		count, loads = n.settle(10 * time.Second)
		check("with half of the relays", 8, loads, count)
		for i, x := range n.relays {
			if n.routers[x.Name] == nil {
				n.up(i)
			}
		}
		count, loads = n.settle(4 * time.Minute)
		check("with all relays again", 16, loads, count)
	}
}

// While nothing fails no record is lost, whoever sends to whom, and records arrive in order.
func TestNothingLost(t *testing.T) {
	for seed := range uint64(10) {
		n := newNet(t, seed, sixteen()[:4])
		for i := range 12 {
			n.add(fmt.Sprint("g", i), "z0", "region0")
		}
		n.run(5 * time.Second)
		n.play(seed, 400, true, func() {})
	}
}

// While gateways lose their streams and relays are killed: no record arrives twice or after a later one, and a
// gateway that may have missed one is notified.
func TestMoves(t *testing.T) {
	for seed := range uint64(20) {
		n := newNet(t, seed, sixteen()[:4])
		for i := range 12 {
			n.add(fmt.Sprint("g", i), "z0", "region0")
		}
		n.run(5 * time.Second)
		n.play(seed, 1500, false, func() {
			switch n.rng.IntN(40) {
			case 0:
				i := n.rng.IntN(4)
				if n.routers[n.relays[i].Name] != nil {
					n.kill(i)
				} else {
					n.up(i)
				}
			case 1, 2, 3:
				g := n.rng.IntN(12)
				for _, epoch := range sortedKeys(n.conns[n.names[g]]) {
					n.end(n.conns[n.names[g]][epoch], true, true)
				}
			case 4, 5:
				n.clients[n.rng.IntN(12)].move("for a test")
			}
		})
		for i, x := range n.relays {
			if n.routers[x.Name] == nil {
				n.up(i)
			}
		}
		n.run(10 * time.Second)
		if count, _ := n.connected(); count != 12 {
			t.Fatalf("seed %d: %d of 12 have a stream", seed, count)
		}
		n.play(seed, 200, true, func() {}) // nothing is lost again
	}
}

// play has nodes send numbered records and checks what arrives.
func (n *net) play(seed uint64, records int, all bool, fault func()) {
	t := n.t
	t.Helper()
	everybody := slices.Clone(n.names)
	for _, x := range n.relays {
		everybody = append(everybody, x.Name)
	}
	type path struct{ from, at string }
	last, missed, got, want := map[path]uint64{}, map[path]bool{}, 0, 0
	n.moved = func(at string) {
		for _, from := range everybody {
			missed[path{from, at}] = true
		}
	}
	n.received = func(at string, r *Record) {
		no := binary.LittleEndian.Uint64(r.Body)
		k := path{r.From, at}
		if no <= last[k] {
			t.Fatalf("seed %d at %v: %s accepts record %d of %s after record %d", seed, n.now, at, no, r.From, last[k])
		}
		last[k] = no
		got++
	}
	number := uint64(0)
	for range records {
		fault()
		number++
		from, to := everybody[n.rng.IntN(len(everybody))], everybody[n.rng.IntN(len(everybody))]
		if n.rng.IntN(3) == 0 {
			to = Broadcast
		}
		if from == to {
			continue
		}
		s := node.Frame{To: to, Kind: node.KindMessage, Body: binary.LittleEndian.AppendUint64(nil, number)}
		if i := slices.Index(n.names, from); i >= 0 {
			n.clients[i].Send(n.now, s)
		} else if r := n.routers[from]; r != nil {
			r.Send(n.now, s)
		}
		if want++; to == Broadcast {
			want += len(everybody) - 2
		}
		n.step()
	}
	n.run(time.Second)
	n.received, n.moved = nil, nil
	if all && got != want {
		t.Errorf("seed %d: %d of %d records arrived, and nothing has failed", seed, got, want)
	}
}

// A malformed or rejected record affects no other, and reading any bytes does not panic.
func TestRecords(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() Record {
		x := Record{To: []string{"", "*", "g1"}[r.IntN(3)], Kind: node.KindMessage, Body: bytes.Repeat([]byte{byte(r.Uint32())}, r.IntN(300))}
		if r.IntN(2) == 0 {
			x.From, x.ReplicaID, x.Epoch, x.Seq = "g2", r.Uint64(), r.Uint64(), r.Uint64()>>r.IntN(64)
		}
		return x
	}
	for range 500 {
		var list []Record
		var b []byte
		bad := 0
		for range 1 + r.IntN(5) {
			if x := draw(); r.IntN(3) == 0 {
				switch bad++; r.IntN(3) {
				case 0:
					x.Kind = node.KindRaft
				case 1:
					x.To = string(bytes.Repeat([]byte("x"), MaxNameBytes+1))
				case 2:
					b = append(b, 3, byte(node.KindMessage), 200, 1)
					continue
				}
				b = AppendRecord(b, &x)
			} else {
				list, b = append(list, x), AppendRecord(b, &x)
			}
		}
		var read []Record
		if n := ReadRecords(b, func(x *Record) { read = append(read, *x) }); n != bad {
			t.Fatalf("%d of %d malformed records were counted", n, bad)
		}
		if !slices.EqualFunc(list, read, func(x, y Record) bool {
			return x.To == y.To && x.From == y.From && x.ReplicaID == y.ReplicaID && x.Epoch == y.Epoch && x.Seq == y.Seq && bytes.Equal(x.Body, y.Body)
		}) {
			t.Fatalf("%+v was read as %+v", list, read)
		}
		for range 20 {
			c := slices.Clone(b)
			c[r.IntN(len(c))] ^= byte(1 << r.IntN(8))
			ReadRecords(c[:r.IntN(len(c)+1)], func(*Record) {})
		}
	}
}
