package engine

import (
	"slices"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/route"
)

// Route defines how the requests of a route are handled. It does not change once it is in a Snapshot.
type Route struct {
	Name string
	// Classes are the classes of the route's pools, indexed by number. ClassNames has the names that requests may use
	// for a class, with the numbers.
	Classes    []balancer.Class
	ClassNames map[string]int
	Tenants    map[string]int // numbers of the tenants by name; nil: requests name no tenant
	// FirstRanks and DuplicateRanks are the ranks in load shedding of the first requests and of the duplicates of
	// each class; nil if no load is shed.
	FirstRanks, DuplicateRanks []int
	// Classify returns the result that a host's response counts as; with balancer.OK it becomes the final response.
	Classify func(r *Response) balancer.Result
	// ForwardsFailures means that the client gets the last response of a host, even if it is not a success, when the
	// request may have no other attempt.
	ForwardsFailures bool
	// Plain is set for clients that send none of the platform's headers.
	Plain *Plain
	// Streams configures the streaming of bodies that are not buffered as a whole. The gateway sets it on all its
	// routes. Nil, as on the routes of tests: request bodies are buffered as a whole, up to
	// frontend.MaxBufferedBytes.
	Streams *Streams

	rule    *route.Route     // nil: the only pool gets all requests
	chains  []*failoverChain // chains of the pools, in the order of the rule's split
	budget  *route.Budget    // owned by the loop; nil: retries are bounded by the balancer alone
	retries Retries          // parameters of the budget
}

// Plain is what a route assigns to requests that have none of the platform's headers.
type Plain struct {
	Class              int           // number of the class
	NonIdempotentClass int           // number of the non-idempotent variant of the class
	Timeout            time.Duration // time limit from the request's last byte to its response
	RetryableMethods   []string      // methods that may be retried although they are not safe

	MaxTunnels int          // maximum number of connections that are switched to another protocol at once; 0: none
	Tunnels    atomic.Int64 // connections that are switched to another protocol now

	RequestHeaders, ResponseHeaders HeaderRules
}

// Streams configures the streaming of bodies on a route.
type Streams struct {
	BufferBytes        int64     // bytes of a request's body that are buffered, so that it can be sent again
	MaxBodyBytes       int64     // maximum size of a request's body; 0: unlimited
	HeaderDeadlineOnly bool      // the deadline applies to the response's header section; only the pace bounds the rest
	Pace               body.Pace // pace required of hosts, and of clients that receive a response
	Upload             body.Pace // pace required of clients that send a body
}

// Retries bounds the retries of a route: Share is in retries for each first attempt, and Floor in additional retries
// a second.
type Retries struct{ Share, Floor float64 }

// SplitBy returns the name of the header whose value assigns a client to a pool of the split, or "" if pools are
// chosen at random.
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

// failoverChain is a pool with its fallback pools.
type failoverChain struct {
	pools     []*Pool
	minShares []float64    // minimum share of usable hosts, for each pool
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
