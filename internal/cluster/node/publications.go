package node

import (
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
)

// publications are what holders of leases send to all gateways, such as endpoint lists. A fence for
// each lease rejects those of former holders, and those that arrive twice or late.
type publications struct {
	node     *Node
	fences   map[string]fence  // by lease
	rejected map[string]uint64 // token of the former holder that was last logged, by lease
}

// fence is the highest token that is known of a lease, and the last sequence number under it.
type fence struct{ token, seq uint64 }

func newPublications(n *Node) *publications {
	return &publications{node: n, fences: map[string]fence{}, rejected: map[string]uint64{}}
}

// raiseFence notes that a lease has been granted under a token.
func (p *publications) raiseFence(name string, token uint64) {
	if token > p.fences[name].token {
		p.fences[name] = fence{token: token}
	}
}

// Publish sends a body to all other gateways that are known, or to one, on behalf of the holder of a
// lease. It is not told who receives it.
func (n *Node) Publish(now time.Duration, to, name string, token, seq uint64, body []byte) {
	n.now = now
	encoded := encodeMessage(&Message{Publication: &Publication{name, token, seq, body}})
	if n.cfg.UsesRelays {
		if to == "" {
			to = Broadcast
		}
		if to != n.cfg.Name {
			n.out.Frames = append(n.out.Frames, Frame{To: to, Kind: KindMessage, Body: encoded})
		}
		return
	}
	for _, peer := range n.cfg.Peers {
		if _, known := n.replica.hellos[peer]; known && (to == "" || to == peer) {
			n.out.Frames = append(n.out.Frames, Frame{To: peer, Kind: KindMessage, Body: encoded})
		}
	}
}

// RequestResync asks the holder of a lease, where another gateway is known to be it, for all that it
// has published.
func (n *Node) RequestResync(now time.Duration, name string, body []byte) {
	n.now = now
	if l := n.view.leases[name]; l.Holder != "" && l.Holder != n.cfg.Name {
		n.send(l.Holder, &Message{ResyncRequest: &ResyncRequest{name, body}})
	}
}

// receiveResyncRequest takes the request of a gateway for what this one has published.
func (p *publications) receiveResyncRequest(from string, r *ResyncRequest) {
	if p.node.view.grants[r.Lease] != nil {
		p.node.out.ResyncRequests = append(p.node.out.ResyncRequests, ResyncCall{from, r.Lease, r.Body})
	}
}

// receive takes a publication, unless a later one or a later token is known.
func (p *publications) receive(from string, pub *Publication) {
	unfenced := failpoint.Enabled(failpoint.SkipPublicationFence)
	if p.node.view.confirmedAt == 0 && !unfenced {
		return // it is not known yet who holds the lease
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

// reject counts the publication of a former holder, and logs it once.
func (p *publications) reject(from string, pub *Publication, f fence) {
	p.node.out.StalePublications++
	if p.rejected[pub.Lease] != pub.Token {
		p.rejected[pub.Lease] = pub.Token
		p.node.logWarn("stale publication rejected", "lease", pub.Lease, "token", pub.Token, "from", from, "current_token", f.token)
	}
}
