package relay

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunemoor/internal/cluster/failpoint"
)

const (
	// routeSyncInterval is how often relays send one another the number of their streams and a checksum of
	// their gateways. A relay that has missed an update requests all routes.
	routeSyncInterval = time.Second
	// maxKnownGateways is the number of gateways in a routeTable at which those without a stream are dropped.
	maxKnownGateways = 8192
)

// routeTable holds the known streams of gateways to this relay and to others.
type routeTable struct {
	known map[string]*gatewayRoute
	// changed lists the joins and leaves at this relay that were not sent to the other relays yet.
	changed []route
	// checksum is the checksum of the gateways at this relay.
	checksum   uint64
	lastUpdate uint64 // number of the last update or request
}

// gatewayRoute is a gateway that has or had a stream to any relay.
type gatewayRoute struct {
	incarnations
	relay string // relay that has its stream; "" if there is none
}

// routeUpdate is a message between relays about the sender's streams.
type routeUpdate struct {
	Epoch     uint64  `json:"e"` // epoch of the relay's process
	Seq       uint64  `json:"n"` // increases with each update
	Full      bool    `json:"whole,omitempty"`
	Joined    []route `json:"join,omitempty"`
	Left      []route `json:"left,omitempty"`
	Count     int     `json:"count"`
	Checksum  uint64  `json:"sum"`
	Request   uint64  `json:"ask,omitempty"`  // requests a full update with this number as InReplyTo
	InReplyTo uint64  `json:"echo,omitempty"` // number of the request
}

// route is a gateway's stream.
type route struct {
	Name      string `json:"g"`
	ReplicaID uint64 `json:"r"`
	Epoch     uint64 `json:"e"`
	left      bool
}

func (x *route) incarnation() Incarnation { return Incarnation{x.ReplicaID, x.Epoch} }

// checksum returns the contribution of a route to the checksum of all routes, which is the XOR of all
// contributions.
func (x *route) checksum() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, x.ReplicaID)
	b = binary.LittleEndian.AppendUint64(b, x.Epoch)
	return xxhash.Sum64(append(b, x.Name...))
}

// announce records a join or leave at this relay, which is sent to the other relays.
func (t *routeTable) announce(x route) {
	t.checksum ^= x.checksum()
	t.changed = append(t.changed, x)
}

// nextUpdate returns the number of the next update or request.
func (t *routeTable) nextUpdate() uint64 {
	t.lastUpdate++
	return t.lastUpdate
}

// route returns the entry of a gateway, and adds one if there is none. If the table is full, it first drops all
// gateways without a stream, and with them the epochs by which their old streams are rejected.
func (r *Router) route(name string) *gatewayRoute {
	known := r.routes.known
	g := known[name]
	if g != nil {
		return g
	}
	if len(known) >= maxKnownGateways {
		for _, other := range slices.Sorted(maps.Keys(known)) {
			if known[other].relay == "" {
				delete(known, other)
			}
		}
	}
	g = &gatewayRoute{}
	known[name] = g
	return g
}

// setRoute records that a relay has a gateway's current stream.
func (r *Router) setRoute(name, relay string) {
	g := r.routes.known[name]
	if l := r.links[relay]; l != nil {
		l.checksum ^= g.checksum(name)
	}
	g.relay = relay
}

// clearRoute records that no relay has a gateway's stream. It must be called before the gateway's incarnations
// change, which are part of the checksum.
func (r *Router) clearRoute(name string, g *gatewayRoute) {
	if l := r.links[g.relay]; l != nil {
		l.checksum ^= g.checksum(name)
	}
	g.relay = ""
}

func (g *gatewayRoute) checksum(name string) uint64 {
	x := route{Name: name, ReplicaID: g.current.ReplicaID, Epoch: g.current.Epoch}
	return x.checksum()
}

// learnRoute records that another relay has a gateway's stream, and reports whether it is the latest known
// stream.
func (r *Router) learnRoute(relay, name string, x Incarnation) bool {
	g := r.routes.known[name]
	if g != nil && g.current == x {
		if g.relay == relay {
			return true
		}
		if r.streams[name] != nil {
			return false // this relay has that stream, and an epoch identifies one stream
		}
		r.clearRoute(name, g)
		r.setRoute(name, relay)
		return true
	}
	if g == nil {
		g = r.route(name)
	}
	updated := g.incarnations
	if later, ok := updated.accept(x); !later {
		return ok
	}
	r.clearRoute(name, g)
	g.incarnations = updated
	if s := r.streams[name]; s != nil && !failpoint.Enabled(failpoint.KeepBothStreams) {
		r.closeStream(s, "the gateway has moved to "+relay)
	}
	r.setRoute(name, relay)
	return true
}

// requestRoutes requests all routes of another relay. Until that relay replies, its records and updates are dropped;
// its requests are answered.
func (r *Router) requestRoutes(name string) {
	l := r.links[name]
	l.pendingRequest, l.requestedAt = r.routes.nextUpdate(), r.now
	r.sendRoutes(name, &routeUpdate{Request: l.pendingRequest})
}

// sendRoutes sends an update to another relay.
func (r *Router) sendRoutes(to string, u *routeUpdate) {
	u.Epoch, u.Seq, u.Count, u.Checksum = r.epoch(), r.routes.nextUpdate(), len(r.streams), r.routes.checksum
	b, err := json.Marshal(u)
	if err != nil {
		panic(err) // cannot happen: an update consists of strings, numbers and booleans
	}
	r.links[to].updatedAt = r.now
	r.flush(to)
	r.out.ToRelay = append(r.out.ToRelay, Frame{Name: to, Kind: KindRoutes, Body: b})
}

// sendRouteChanges sends joins and leaves to all other relays.
func (r *Router) sendRouteChanges() {
	if len(r.routes.changed) == 0 {
		return
	}
	var u routeUpdate
	for _, x := range r.routes.changed {
		// A join whose stream has ended in the meantime is sent only as left.
		if s := r.streams[x.Name]; x.left {
			u.Left = append(u.Left, x)
		} else if s != nil && s.incarnation.Epoch == x.Epoch {
			u.Joined = append(u.Joined, x)
		}
	}
	r.routes.changed = nil
	for _, name := range r.linkNames {
		update := u
		r.sendRoutes(name, &update)
	}
}

// allRoutes returns the streams of this relay.
func (r *Router) allRoutes() (list []route) {
	for _, name := range r.streamNames {
		x := r.streams[name].incarnation
		list = append(list, route{Name: name, ReplicaID: x.ReplicaID, Epoch: x.Epoch})
	}
	return list
}

// receiveRoutes handles an update from another relay.
func (r *Router) receiveRoutes(relay string, l *link, u *routeUpdate) {
	update := Incarnation{u.Epoch, u.Seq} // see link.lastUpdate
	if update.ReplicaID < l.lastUpdate.ReplicaID || update.ReplicaID == l.lastUpdate.ReplicaID && update.Epoch <= l.lastUpdate.Epoch {
		return // a later update has arrived already
	}
	l.lastUpdate = update
	if u.Request != 0 { // even while this relay waits for a reply: both may have been paused
		r.sendRoutes(relay, &routeUpdate{Full: true, Joined: r.allRoutes(), InReplyTo: u.Request})
	}
	if l.pendingRequest != 0 && u.InReplyTo != l.pendingRequest {
		return // the update may have been sent before the end of a pause of this process
	}
	l.receivedAt, l.pendingRequest, l.streams = r.now, 0, u.Count
	r.applyRoutes(relay, u)
	if u.Checksum != l.checksum && !u.Full && r.now >= l.requestedAt+routeSyncInterval {
		// An update was missed. In this case, what arrives before the reply is not ignored.
		l.requestedAt = r.now
		r.sendRoutes(relay, &routeUpdate{Request: r.routes.nextUpdate()})
	}
}

// applyRoutes applies the routes of an update.
func (r *Router) applyRoutes(relay string, u *routeUpdate) {
	for i := range u.Left {
		x := &u.Left[i]
		// The stream may have begun and ended between two updates. A relay with an earlier stream of that
		// gateway must close it, because its records are rejected wherever the later stream is known.
		r.learnRoute(relay, x.Name, x.incarnation())
		if g := r.routes.known[x.Name]; g != nil && g.relay == relay && g.current == x.incarnation() {
			r.clearRoute(x.Name, g)
		}
	}
	if u.Full {
		joined := map[string]bool{}
		for _, x := range u.Joined {
			joined[x.Name] = true
		}
		for name, g := range r.routes.known {
			if g.relay == relay && !joined[name] {
				r.clearRoute(name, g)
			}
		}
	}
	for i := range u.Joined {
		r.learnRoute(relay, u.Joined[i].Name, u.Joined[i].incarnation())
	}
}

// RelayUp reports a new connection from another relay's process. It must be called before data of that connection is
// passed in.
func (r *Router) RelayUp(now time.Duration, relay string) {
	r.advance(now)
	l := r.links[relay]
	if l == nil {
		return
	}
	// It may be a new process, whose updates are numbered from the start again.
	l.receivedAt, l.lastUpdate = now, Incarnation{}
	r.sendRoutes(relay, &routeUpdate{Full: true, Joined: r.allRoutes(), Request: r.routes.nextUpdate()})
}

// RelayDown reports that another relay can't be reached.
func (r *Router) RelayDown(now time.Duration, relay string) {
	r.advance(now)
	if l := r.links[relay]; l != nil {
		l.receivedAt, l.batch = 0, nil
	}
}
