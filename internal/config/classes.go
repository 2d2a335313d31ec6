package config

import (
	"slices"
	"time"

	"dunemoor/balancer"
)

const (
	maxClasses = 64
	// maxTimeout is the maximum of all deadlines and windows.
	maxTimeout = time.Hour
)

// idempotencies are the values of the key "effect" of a class.
var idempotencies = map[string]balancer.Idempotency{"safe": balancer.Idempotent, "keyed": balancer.IdempotentWithKey, "unsafe": balancer.NonIdempotent}

// dedupScopes are the values of the key "group" of a class.
var dedupScopes = map[string]balancer.DedupScope{
	"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
}

// readClasses reads the request classes.
func (c *checker) readClasses(a *Appliance, f *applianceFile) {
	if len(f.Class) == 0 {
		c.addErrorf("", 0, "class", "is missing: at least one [[class]] is required")
	}
	if len(f.Class) > maxClasses {
		c.addErrorf("class", maxClasses, "", "more than %d classes", maxClasses)
	}
	for i, x := range f.Class {
		c.checkName("class", i, x.Name)
		k := c.readClass(i, &x)
		first := slices.IndexFunc(a.Classes, func(o Class) bool { return o.Name == x.Name })
		switch {
		case x.Name == "":
			c.addErrorf("class", i, "name", "is missing")
		case first >= 0:
			c.addErrorf("class", i, "name", "%q is taken (line %d)", x.Name, c.Line("class", first, "name"))
		}
		c.checkClassTimes(i, &k)
		c.checkRange("class", i, "worth", k.PriorityWeight, 0, 1e6)
		a.Classes = append(a.Classes, k)
	}
}

func (c *checker) readClass(i int, x *classFile) Class {
	idempotency, ok := idempotencies[x.Effect]
	if !ok {
		c.addErrorf("class", i, "effect", "%q is not one of safe, keyed, unsafe", x.Effect)
	}
	dedupScope, ok := dedupScopes[x.Group]
	if !ok {
		c.addErrorf("class", i, "group", "%q is not one of all, zone, cell", x.Group)
	}
	return Class{Name: x.Name, Class: balancer.Class{
		LatencyObjective: time.Duration(x.Aim),
		Deadline:         time.Duration(x.Deadline),
		PriorityWeight:   x.Worth,
		Idempotency:      idempotency,
		DedupScope:       dedupScope,
		DedupWindow:      time.Duration(x.Window),
	}}
}

// checkClassTimes checks the deadline, the latency objective and the deduplication window of a class.
func (c *checker) checkClassTimes(i int, k *Class) {
	if k.Deadline <= 0 || k.Deadline > maxTimeout {
		c.addErrorf("class", i, "deadline", "%v is not greater than 0 and at most %v", k.Deadline, maxTimeout)
	}
	if k.LatencyObjective < 0 || k.Deadline > 0 && k.LatencyObjective > k.Deadline {
		c.addErrorf("class", i, "aim", "%v is not between 0 and the deadline", k.LatencyObjective)
	}
	if k.DedupWindow < 0 || k.DedupWindow > maxTimeout {
		c.addErrorf("class", i, "window", "%v is not between 0 and %v", k.DedupWindow, maxTimeout)
	}
	if k.Idempotency == balancer.IdempotentWithKey && k.DedupWindow == 0 {
		c.addErrorf("class", i, "window", "is missing: set how long hosts deduplicate requests with the same idempotency key")
	}
}
