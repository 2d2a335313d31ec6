package sim

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/node"
)

// publication identifies what a lease holder has published.
type publication struct{ token, sequence uint64 }

// next returns the publication that follows, of the holder with a token.
func (p publication) next(token uint64) publication {
	if p.token != token {
		return publication{token, 1}
	}
	return publication{token, p.sequence + 1}
}

// olderThan reports whether a publication came before another.
func (p publication) olderThan(o publication) bool {
	return p.token < o.token || p.token == o.token && p.sequence < o.sequence
}

// publicationBody is the body of all publications.
var publicationBody = []byte("news")

const (
	// resyncRetryDelay is when a gateway that has moved requests publications again: the first request may
	// have been lost.
	resyncRetryDelay = time.Second
	// maxPublicationDelay is how long after a publication, or after its return, a gateway may lack it.
	maxPublicationDelay = 3 * time.Second
)

// receivePublication handles a publication that was accepted.
func (n *Node) receivePublication(p *node.Publication) {
	n.world.checkFence("publications at "+n.name, p.Lease, p.Token, n.fence)
	if n.world.Relays > 0 {
		n.known[p.Lease] = publication{p.Token, p.Seq}
		n.knownCount[p.Lease]++
	}
}

// publish publishes to all nodes, as the holder.
func (n *Node) publish(name string, p publication) {
	n.world.published[name] = p
	n.known[name] = p
	n.node.Publish(n.clock(), "", name, p.token, p.sequence, publicationBody)
}

// publishNext has the holder of a lease publish. It returns the holder, or nil where there is none now.
func (w *World) publishNext(name string) *Node {
	for _, n := range w.Nodes {
		if !n.up || n.paused {
			continue
		}
		if token := n.heldToken(name); token != 0 {
			n.publish(name, w.published[name].next(token))
			n.processOutput()
			return n
		}
	}
	return nil
}

// republish publishes to one node again what was published to all.
func (n *Node) republish(r node.ResyncCall) {
	if p := n.known[r.Lease]; p.token != 0 && n.heldToken(r.Lease) == p.token {
		n.node.Publish(n.clock(), r.From, r.Lease, p.token, p.sequence, publicationBody)
	}
}

// requestResync requests publications that a gateway may have missed while it had no stream.
func (n *Node) requestResync() {
	incarnation := n.incarnation
	n.requestResyncOnce()
	n.world.after(resyncRetryDelay, func() { n.deliverTo(incarnation, n.requestResyncOnce) })
}

func (n *Node) requestResyncOnce() {
	// What the gateway itself has published may be lost as well.
	for _, name := range slices.Sorted(maps.Keys(n.known)) {
		if p := n.known[name]; n.heldToken(name) == p.token {
			n.node.Publish(n.clock(), "", name, p.token, p.sequence, publicationBody)
		}
	}
	for i := range n.world.Leases {
		n.node.RequestResync(n.clock(), leaseName(i), nil)
	}
}

// checkKnown checks that all gateways know the last publication under a lease.
func (w *World) checkKnown(name string) error {
	last := w.published[name]
	for _, n := range w.gateways() {
		if !n.up || n.heldToken(name) != 0 {
			continue
		}
		if known := n.known[name]; known.olderThan(last) {
			return w.failed("%s knows publication %d of %s with token %d, %v after publication %d with token %d", n.name, known.sequence, name, known.token, maxPublicationDelay, last.sequence, last.token)
		}
	}
	return nil
}
