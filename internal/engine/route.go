package engine

import (
	"slices"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/route"
)

// Route is what is done with the requests of a route. It does not change once it is in a Snapshot.
type Route struct {
	Name string
	// Classes are those of its pools, by their number there. ClassNames are the names that requests may ask for,
	// with their numbers.
	Classes    []balancer.Class
	ClassNames map[string]int
	Tenants    map[string]int // nil: requests name no tenant
	// FirstRanks and DuplicateRanks are the ranks of first requests and duplicates of each class when load is
	// shed; nil where none is.
	FirstRanks, DuplicateRanks []int
	// Classify returns what a host's response means to the balancer; balancer.OK ends the request with it.
	Classify func(r *Response) balancer.Result
	// ForwardsFailures has the client get the last response of a host even if it is no success, once the request
	// may have no other attempt.
	ForwardsFailures bool
	// Plain is set for clients that send none of the platform's headers.
	Plain *Plain
	// Streams is how bodies are streamed that are not buffered whole. The gateway sets it on all its routes. Nil: all bodies of
	// requests are buffered whole, up to frontend.MaxBufferedBytes, as on the routes of tests.
	Streams *Streams

	rule    *route.Route     // nil: the only pool gets all requests
	chains  []*failoverChain // in the order of the rule's split
	budget  *route.Budget    // owned by the loop; nil: retries are bounded by the balancer alone
	retries Retries          // that the budget was made of
}

// Plain is what a route assigns to requests that have none of the platform's headers.
type Plain struct {
	Class              int           // number of the class
	NonIdempotentClass int           // number of the same class where nothing may be sent again
	Timeout            time.Duration // from the request's last byte to its response
	RetryableMethods   []string      // methods that may be retried though they are not safe

	MaxTunnels int // connections that may switch to another protocol at once; 0: none
	Tunnels    atomic.Int64

	RequestHeaders, ResponseHeaders HeaderRules
}

// Streams is how bodies are streamed on a route.
type Streams struct {
	BufferBytes      int64     // of a request's body that are kept, so that it can be sent again
	MaxBodyBytes     int64     // of a request's body; 0: any
	HeadDeadlineOnly bool      // the deadline is for the response's first bytes; only the pace bounds the rest
	Pace             body.Pace // of hosts, and of clients that receive a response
	Upload           body.Pace // of clients that send
}

// Retries bounds the retries of a route: a share of its first attempts, and a floor a second.
type Retries struct{ Share, Floor float64 }

// SplitBy returns the header that keeps a client at one pool; "": random.
func (r *Route) SplitBy() string {
	if r.rule == nil {
		return ""
	}
	return r.rule.SplitBy
}

// idempotent reports whether requests of a class may be retried though an attempt may have run.
func (r *Route) idempotent(class int) bool {
	return r.Classes[class].Idempotency == balancer.Idempotent
}

// failoverChain is a pool with those that stand in for it.
type failoverChain struct {
	pools     []*Pool
	minShares []float64    // of usable hosts that each pool needs
	state     *route.Chain // owned by the loop
}

func (c *failoverChain) equal(o *failoverChain) bool {
	return slices.Equal(c.pools, o.pools) && slices.Equal(c.minShares, o.minShares)
}

// chainEntry is the position of a pool in a chain.
type chainEntry struct {
	chain    *failoverChain
	position int
}
