package node

import (
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
)

// publications receives the data that holders of leases send to all gateways, such as endpoint lists. A
// fence for each lease rejects publications of former holders, duplicates and those that arrive out of
// order.
type publications struct {
	node     *Node
	fences   map[string]fence  // by lease
	rejected map[string]uint64 // by lease: token of the last former holder that was logged
}

// fence is the highest known token of a lease, and the last sequence number received under it.
type fence struct{ token, seq uint64 }

func newPublications(n *Node) *publications {
	return &publications{node: n, fences: map[string]fence{}, rejected: map[string]uint64{}}
}

// raiseFence records that a lease has been granted with a token.
func (p *publications) raiseFence(name string, token uint64) {
	if token > p.fences[name].token {
		p.fences[name] = fence{token: token}
	}
}

// Publish sends a body on behalf of the holder of a lease to the named receiver, or to all other gateways if
// receiver is empty. A body for this gateway itself is not sent. In a full mesh only peers that have sent a
// hello are reached. Delivery is not acknowledged.
func (n *Node) Publish(now time.Duration, receiver, name string, token, seq uint64, body []byte) {
	n.now = now
	encoded := encodeMessage(&Message{Publication: &Publication{name, token, seq, body}})
	if n.cfg.UsesRelays {
		if receiver == "" {
			receiver = Broadcast
		}
		if receiver != n.cfg.Name {
			n.out.Frames = append(n.out.Frames, Frame{To: receiver, Kind: KindMessage, Body: encoded})
		}
		return
	}
	for _, peer := range n.cfg.Peers {
		if _, known := n.replica.hellos[peer]; known && (receiver == "" || receiver == peer) {
			n.out.Frames = append(n.out.Frames, Frame{To: peer, Kind: KindMessage, Body: encoded})
		}
	}
}

// RequestResync requests all data that the holder of a lease has published. It does nothing if no other
// gateway is known to hold the lease.
func (n *Node) RequestResync(now time.Duration, name string, body []byte) {
	n.now = now
	if l := n.view.leases[name]; l.Holder != "" && l.Holder != n.cfg.Name {
		n.send(l.Holder, &Message{ResyncRequest: &ResyncRequest{name, body}})
	}
}

// receiveResyncRequest handles another gateway's request for the data that this gateway has published.
func (p *publications) receiveResyncRequest(from string, r *ResyncRequest) {
	if p.node.view.grants[r.Lease] != nil {
		p.node.out.ResyncRequests = append(p.node.out.ResyncRequests, ReceivedResync{from, r.Lease, r.Body})
	}
}

// receive accepts a publication, unless it is stale or a duplicate.
func (p *publications) receive(from string, pub *Publication) {
	unfenced := failpoint.Enabled(failpoint.SkipPublicationFence)
	if p.node.view.confirmedAt == 0 && !unfenced {
		return // the current tokens are not known yet
	}
	f := p.fences[pub.Lease]
	if pub.Token < f.token && !unfenced {
		p.reject(from, pub, f)
		return
	}
	if pub.Token == f.token && pub.Seq <= f.seq && !unfenced {
		return
	}
	if len(p.fences) >= lease.MaxLeases && f.token == 0 {
		return
	}
	p.fences[pub.Lease] = fence{pub.Token, pub.Seq}
	p.node.out.Publications = append(p.node.out.Publications, *pub)
}

// reject counts a publication of a former holder, and logs it once for each token.
func (p *publications) reject(from string, pub *Publication, f fence) {
	p.node.out.StalePublications++
	if p.rejected[pub.Lease] != pub.Token {
		p.rejected[pub.Lease] = pub.Token
		p.node.logWarn("stale publication rejected", "lease", pub.Lease, "token", pub.Token, "from", from, "current_token", f.token)
	}
}
