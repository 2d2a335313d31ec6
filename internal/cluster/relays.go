package cluster

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/peer"
	"dunemoor/internal/cluster/relay"
)

// Relay is a control machine that carries the words of a fleet's gateways.
type Relay struct{ Name, Address, Zone, Region string }

// streamID is a stream: a relay has those of many gateways, a gateway has no name in its own.
type streamID struct {
	name  string
	epoch uint64
}

// relayed is what a Fleet with relays has beside: a Router at a relay, a Client at a gateway. It is
// of the loop.
type relayed struct {
	addrs  map[string]string // of relays
	router *relay.Router
	client *relay.Client

	ids     map[*peer.Stream]*stream // of those that were taken, or dialled
	streams map[streamID]*peer.Stream
	greeted map[string]int // connections from other relays
}

// stream is what is known of one; joined, at a gateway, that its relay has taken it.
type stream struct {
	streamID
	joined bool
}

// relays makes the part of relays on the disk that is open; what there was of before is ended.
func (f *Fleet) relays(now time.Duration, h *node.Hello) {
	if len(f.cfg.Relays) == 0 {
		return
	}
	r := &relayed{
		addrs: map[string]string{}, ids: map[*peer.Stream]*stream{}, streams: map[streamID]*peer.Stream{},
		greeted: map[string]int{},
	}
	if was := f.relayed; was != nil {
		for s := range was.ids {
			s.Close()
		}
		r.greeted = was.greeted // they end one by one, see Again
	}
	var list []relay.Relay
	for _, x := range f.cfg.Relays {
		list = append(list, relay.Relay{Name: x.Name, Zone: x.Zone, Region: x.Region})
		r.addrs[x.Name] = x.Address
	}
	cfg := relay.Config{Name: f.cfg.Name, Zone: f.cfg.Zone, Region: f.cfg.Region, Replica: h.ReplicaID, Boots: h.Boots, Seed: random()}
	if r.addrs[f.cfg.Name] != "" {
		r.router = relay.NewRouter(now, cfg, list)
	} else {
		r.client = relay.NewClient(now, cfg, list)
	}
	f.relayed = r
}

// judgeStream says why the other side of a stream is not talked with; "": it is.
func (f *Fleet) judgeStream(h *node.Hello) string {
	own := f.hello.Load()
	switch {
	case h.Fleet != own.Fleet:
		return fmt.Sprintf("it is of fleet %q, this is %q", h.Fleet, own.Fleet)
	case h.Format != node.FormatVersion:
		return fmt.Sprintf("it speaks format %d, this build %d", h.Format, node.FormatVersion)
	case h.Name == own.Name:
		return fmt.Sprintf("it has our own name, %s", h.Name)
	case f.isRelay(own.Name) && f.isRelay(h.Name):
		return fmt.Sprintf("%s is a relay by this one's file, and no gateway", h.Name)
	case h.ClusterID != 0 && own.ClusterID != 0 && h.ClusterID != own.ClusterID:
		return "its fleet has the same id and was formed another time"
	case h.ReplicaID == own.ReplicaID:
		return fmt.Sprintf("it has a disk with the identity of that of %s: one of the two is a copy", own.Name)
	}
	return ""
}

// isRelay says whether a name is that of a relay.
func (f *Fleet) isRelay(name string) bool {
	for _, r := range f.cfg.Relays {
		if r.Name == name {
			return true
		}
	}
	return false
}

// Frame is of peer.Streams.
func (h *handler) Frame(s *peer.Stream, kind node.Kind, body []byte) {
	f := (*Fleet)(h)
	f.post(func() { f.relayed.frame(f, s, kind, body) })
}

// Ended is of peer.Streams.
func (h *handler) Ended(s *peer.Stream, why error) {
	f := (*Fleet)(h)
	f.post(func() { f.relayed.ended(s) })
}

// Linked is of peer.Linker.
func (h *handler) Linked(to string) {
	f := (*Fleet)(h)
	if len(f.cfg.Relays) > 0 {
		f.post(func() {
			if f.relayed.greeted[to] > 0 { // what it was told before did not go out
				f.relayed.router.Up(leaseholder.Now(), to)
			}
		})
	}
}

// Parted is of peer.Linker.
func (h *handler) Parted(from string) {
	f := (*Fleet)(h)
	if len(f.cfg.Relays) > 0 {
		f.post(func() {
			if f.relayed.greeted[from]--; f.relayed.greeted[from] == 0 {
				f.relayed.router.Down(leaseholder.Now(), from)
			}
		})
	}
}

// frame takes a frame of a stream.
func (r *relayed) frame(f *Fleet, s *peer.Stream, kind node.Kind, body []byte) {
	now := leaseholder.Now()
	x := r.ids[s]
	switch {
	case r.router != nil && x == nil:
		r.join(f, now, s, kind, body)
	case r.router != nil:
		r.router.FromStream(now, x.name, x.epoch, kind, body)
	case x == nil: // it was closed
	case x.joined:
		r.client.Heard(now, x.epoch, kind, body)
	default:
		var a relay.Answer
		if kind != relay.KindAnswer || json.Unmarshal(body, &a) != nil {
			f.carrier.Counts.Garbled.Add(1)
			s.Close() // its end is told
			return
		}
		if x.joined = a.Taken; !a.Taken {
			r.forget(s, x)
			s.Close()
		}
		r.client.Joined(now, x.epoch, a)
	}
}

// join answers a gateway that wants its stream taken. Who it is was said in the handshake, which the
// key is for: what the frame says besides must be the same.
func (r *relayed) join(f *Fleet, now time.Duration, s *peer.Stream, kind node.Kind, body []byte) {
	var j relay.Join
	if kind != relay.KindJoin || json.Unmarshal(body, &j) != nil || j.Name != s.Name || j.Replica != s.Replica {
		f.carrier.Counts.Garbled.Add(1)
		slog.Warn("a stream of the fleet dropped, it does not begin with its gateway's join", "gateway", s.Name)
		s.Close()
		return
	}
	a := r.router.Join(now, j)
	s.Send(relay.KindAnswer, asJSON(a))
	if !a.Taken {
		s.Finish()
		return
	}
	r.keep(s, streamID{j.Name, j.Epoch})
}

// ended takes note that a stream has.
func (r *relayed) ended(s *peer.Stream) {
	x := r.ids[s]
	if x == nil {
		return
	}
	r.forget(s, x)
	if r.router != nil {
		r.router.Left(leaseholder.Now(), x.name, x.epoch)
	} else {
		r.client.Ended(leaseholder.Now(), x.epoch)
	}
}

func (r *relayed) keep(s *peer.Stream, id streamID) {
	r.ids[s], r.streams[id] = &stream{streamID: id}, s
}

func (r *relayed) forget(s *peer.Stream, x *stream) {
	delete(r.ids, s)
	if r.streams[x.streamID] == s {
		delete(r.streams, x.streamID)
	}
}

// send takes what our member sends.
func (r *relayed) send(f *Fleet, now time.Duration, s *node.Frame) {
	switch {
	case s.Kind != node.KindMessage:
		f.carrier.Send(s)
	case r.router != nil:
		r.router.Send(now, *s)
	default:
		r.client.Send(now, *s)
	}
}

func (r *relayed) tick(now time.Duration) {
	if r.router != nil {
		r.router.Tick(now)
	} else {
		r.client.Tick(now)
	}
}

// step carries out what Router or Client want done, and says whether the member got something.
func (r *relayed) step(f *Fleet) (again bool) {
	now := leaseholder.Now()
	if r.router != nil {
		o := r.router.Drain()
		for _, x := range o.ToStream {
			if s := r.streams[streamID{x.Name, x.Epoch}]; s != nil {
				s.Send(x.Kind, x.Body)
			}
		}
		for _, x := range o.ToRelay {
			f.carrier.Send(&node.Frame{To: x.Name, Kind: x.Kind, Body: x.Body})
		}
		f.receiveAll(now, o.ToMember)
		for _, x := range o.Cut {
			if s := r.streams[streamID{x.Name, x.Epoch}]; s != nil {
				slog.Info("a gateway's stream is cut", "gateway", x.Name, "epoch", x.Epoch, "why", x.Why)
				r.forget(s, r.ids[s])
				s.Close()
			}
		}
		return len(o.ToMember) > 0
	}
	o := r.client.Drain()
	for _, x := range o.Dial {
		r.keep(f.carrier.Dial(x.Relay, r.addrs[x.Relay], relay.KindJoin, asJSON(x.Join)), streamID{epoch: x.Join.Epoch})
	}
	for _, x := range o.ToStream {
		if s := r.streams[streamID{epoch: x.Epoch}]; s != nil {
			s.Send(x.Kind, x.Body)
		}
	}
	f.receiveAll(now, o.ToMember)
	for _, epoch := range o.Close {
		if s := r.streams[streamID{epoch: epoch}]; s != nil {
			r.forget(s, r.ids[s])
			s.Finish()
		}
	}
	f.log(o.Lines)
	if o.Moved {
		f.member.Reconnected(now)
	}
	if o.Older {
		f.member.DiskOutdated(now, "a relay knows a later stream of it")
	}
	return len(o.ToMember) > 0 || o.Moved || o.Older
}

// receiveAll gives records to the member.
func (f *Fleet) receiveAll(now time.Duration, list []relay.Record) {
	for i := range list {
		f.receive(now, list[i].From, list[i].Kind, list[i].Body)
	}
}

func asJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings and numbers
	}
	return b
}

// RelayStatus is how a gateway stands with its relay.
type RelayStatus struct {
	Name    string            `json:"name"` // "": it has none now
	SinceMS int64             `json:"since_ms"`
	Epoch   uint64            `json:"epoch"`
	First   string            `json:"first"` // the one that it would have
	Moves   uint64            `json:"moves"` // streams that were taken since the start
	Ends    map[string]uint64 `json:"ends"`  // of streams and tries, by cause
}

// StreamsStatus is what a relay has to do.
type StreamsStatus struct {
	Streams int            `json:"streams"`
	Bound   int            `json:"bound"`  // streams that it takes now
	Routes  int            `json:"routes"` // gateways known at all relays
	Relays  map[string]int `json:"relays"` // streams of each relay that is up
	// Counted since the start: streams taken, refused and cut, words that were not passed on as they
	// came late or twice, and such that could not be read.
	Joins   uint64 `json:"joins"`
	Refused uint64 `json:"refused"`
	Cuts    uint64 `json:"cuts"`
	Dropped uint64 `json:"dropped"`
	Bad     uint64 `json:"bad"`
}

func (r *relayed) status(now time.Duration, s *Status) {
	if r.router != nil {
		x := r.router.Status()
		s.Streams = &StreamsStatus{x.Streams, x.Bound, x.Routes, x.Relays, x.Joins, x.Refused, x.Cuts, x.Dropped, x.Bad}
		return
	}
	x := r.client.Status()
	s.Relay = &RelayStatus{Name: x.Relay, Epoch: x.Epoch, First: x.First, Moves: x.Moves, Ends: x.Ends}
	if x.Relay != "" {
		s.Relay.SinceMS = (now - x.Since).Milliseconds()
	}
}
