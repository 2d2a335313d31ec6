package fakes

// leaseAtNode identifies the requests for a lease at a node.
type leaseAtNode struct {
	node  string
	lease string
}

// LeaseRequests is the counts of requests that gateways sent as holders of a lease.
type LeaseRequests struct {
	Stale         uint64 // requests of an earlier holder: their token is lower than one seen before
	StaleAccepted uint64 // stale requests that the node accepted
	HighestToken  uint64
}

// RecordLeaseRequest records a request that a node received for a lease, with its fencing token. It returns true if the
// token is that of an earlier holder; the node must then reject the request if it checks tokens.
func (l *Ledger) RecordLeaseRequest(node, lease string, token uint64, checksTokens bool) (stale bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := leaseAtNode{node, lease}
	r := l.leaseRequests[key]
	if r == nil {
		r = &LeaseRequests{}
		l.leaseRequests[key] = r
	}
	stale = token < r.HighestToken
	if stale {
		r.Stale++
		if !checksTokens {
			r.StaleAccepted++
		}
	}
	r.HighestToken = max(r.HighestToken, token)
	return stale
}

// LeaseRequests returns the counts of the requests for a lease, summed over all nodes.
func (l *Ledger) LeaseRequests(lease string) LeaseRequests {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum LeaseRequests
	for key, r := range l.leaseRequests {
		if key.lease != lease {
			continue
		}
		sum.Stale += r.Stale
		sum.StaleAccepted += r.StaleAccepted
		sum.HighestToken = max(sum.HighestToken, r.HighestToken)
	}
	return sum
}
