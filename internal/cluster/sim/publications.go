package sim

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/node"
)

// publication identifies a publication of a lease holder.
type publication struct{ token, sequence uint64 }

// next returns the publication that follows p if the holder of the token publishes it.
func (p publication) next(token uint64) publication {
	if p.token != token {
		return publication{token, 1}
	}
	return publication{token, p.sequence + 1}
}

// olderThan reports whether p precedes o.
func (p publication) olderThan(o publication) bool {
	return p.token < o.token || p.token == o.token && p.sequence < o.sequence
}

// publicationBody is the body of all publications.
var publicationBody = []byte("news")

const (
	// resyncRetryDelay is the time after which a gateway that has moved to another relay requests publications
	// again, as the first request may have been lost.
	resyncRetryDelay = time.Second
	// maxPublicationDelay is the longest time that a gateway may lack a publication: from the publication, or from
	// the time at which the gateway has a stream again.
	maxPublicationDelay = 3 * time.Second
)

// receivePublication records a publication that the node has accepted, and checks its token.
func (n *Node) receivePublication(p *node.Publication) {
	n.world.checkToken("publications at "+n.name, p.Lease, p.Token, n.highestTokens)
	if n.world.Relays > 0 {
		n.latestPublications[p.Lease] = publication{p.Token, p.Seq}
		n.receivedCounts[p.Lease]++
	}
}

// publish sends a publication to all nodes, as the holder of the lease.
func (n *Node) publish(name string, p publication) {
	n.world.published[name] = p
	n.latestPublications[name] = p
	n.node.Publish(n.clock(), "", name, p.token, p.sequence, publicationBody)
}

// publishNext sends the next publication of the holder of a lease. It returns the holder, or nil if there is none.
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

// republish sends the latest publication again to the node that requested it, if this node still holds the lease.
func (n *Node) republish(r node.ReceivedResync) {
	if p := n.latestPublications[r.Lease]; p.token != 0 && n.heldToken(r.Lease) == p.token {
		n.node.Publish(n.clock(), r.From, r.Lease, p.token, p.sequence, publicationBody)
	}
}

// requestResync requests the publications that a gateway may have missed while it had no stream, and repeats the
// request once.
func (n *Node) requestResync() {
	incarnation := n.incarnation
	n.requestResyncOnce()
	n.world.afterFunc(resyncRetryDelay, func() { n.deliverTo(incarnation, n.requestResyncOnce) })
}

func (n *Node) requestResyncOnce() {
	// Publications of the gateway itself may have been lost as well, so they are sent again.
	for _, name := range slices.Sorted(maps.Keys(n.latestPublications)) {
		if p := n.latestPublications[name]; n.heldToken(name) == p.token {
			n.node.Publish(n.clock(), "", name, p.token, p.sequence, publicationBody)
		}
	}
	for i := range n.world.Leases {
		n.node.RequestResync(n.clock(), leaseName(i), nil)
	}
}

// checkLatestPublication checks that all gateways have received the latest publication under a lease.
func (w *World) checkLatestPublication(name string) error {
	last := w.published[name]
	for _, n := range w.gateways() {
		if !n.up || n.heldToken(name) != 0 {
			continue
		}
		if latest := n.latestPublications[name]; latest.olderThan(last) {
			return w.errorf("%s has publication %d of %s with token %d, %v after publication %d with token %d", n.name, latest.sequence, name, latest.token, maxPublicationDelay, last.sequence, last.token)
		}
	}
	return nil
}
