package gateway

import (
	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/config"
	"dunemoor/internal/engine"
	"dunemoor/internal/overload"
	"dunemoor/internal/route"
)

// classes holds the classes of an appliance in the order of their indexes in the balancers. The configured classes come
// first, in the order of the file. They are followed by a non-idempotent copy of each configured class that allows
// retries, for requests that must not be retried because of their method.
type classes struct {
	list          []balancer.Class
	names         []string       // names in recordings, by class index
	index         map[string]int // index of each configured class, by name
	nonIdempotent []int          // index of the non-idempotent variant, by index of the configured class
}

// newClasses returns the classes of a configuration file.
func newClasses(a *config.Appliance) *classes {
	c := &classes{index: map[string]int{}, nonIdempotent: make([]int, len(a.Classes))}
	for i, class := range a.Classes {
		c.add(class.Name, class.Class)
		c.index[class.Name] = i
		c.nonIdempotent[i] = i
	}
	for i, class := range a.Classes {
		if class.Idempotency == balancer.NonIdempotent {
			continue
		}
		class.Idempotency = balancer.NonIdempotent
		class.DedupWindow = 0
		c.nonIdempotent[i] = len(c.list)
		c.add(class.Name+" once", class.Class)
	}
	return c
}

// add appends a class, which gets the next index.
func (c *classes) add(name string, class balancer.Class) {
	c.list = append(c.list, class)
	c.names = append(c.names, name)
}

// newRoute converts a configured route to a route of the engine.
func newRoute(name string, r config.Route, c *classes, shedsLoad bool) *engine.Route {
	out := &engine.Route{Name: name, Classes: c.list, ClassNames: c.index, Streams: protocolStreams(), Classify: classifyProtocol}
	if shedsLoad {
		out.FirstRanks, out.DuplicateRanks, _ = overload.Ranks(classRanks(c))
	}
	if r.Class == "" {
		return out
	}
	i := c.index[r.Class]
	out.Plain = &engine.Plain{
		Class:              i,
		NonIdempotentClass: c.nonIdempotent[i],
		Timeout:            r.Timeout,
		RetryableMethods:   r.RetryableMethods,
		MaxTunnels:         r.MaxTunnels,
		RequestHeaders:     r.RequestHeaders,
		ResponseHeaders:    r.ResponseHeaders,
	}
	pace := body.Pace{IdleTimeout: r.IdleTimeout, MinRate: r.MinRate}
	out.Streams = &engine.Streams{
		BufferBytes:        r.BufferBytes,
		MaxBodyBytes:       r.MaxBodyBytes,
		HeaderDeadlineOnly: r.HeaderDeadlineOnly,
		Pace:               pace,
		Upload:             pace,
	}
	out.ForwardsFailures = true
	failures := r.FailureStatuses
	out.Classify = func(resp *engine.Response) balancer.Result {
		return route.ClassifyPlain(resp.Status, notProcessed(resp), failures)
	}
	return out
}
