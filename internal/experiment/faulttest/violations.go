package faulttest

import (
	"fmt"
	"maps"
	"slices"
)

// FindViolations returns the violations of invariants in a history: a fencing token with two holders, a lease whose token
// does not increase with a grant, or a fleet that is bootstrapped twice.
func FindViolations(events []Event) []string {
	c := violationChecker{holders: map[uint64]string{}, grants: map[uint64]Event{}}
	for _, e := range events {
		c.addEvent(e)
	}
	c.checkTokensGrow()
	return c.violations
}

// violationChecker collects the grants of a history and its violations, for FindViolations.
type violationChecker struct {
	holders      map[uint64]string // lease and holder, by token
	grants       map[uint64]Event  // transfers to a new holder, by index of their entry in the replicated log
	bootstrapped bool
	violations   []string
}

func (c *violationChecker) addf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *violationChecker) addEvent(e Event) {
	switch e.Kind {
	case Bootstrapped:
		if c.bootstrapped {
			c.addf("the fleet was bootstrapped again by %s at %v", e.Gateway, e.At)
		}
		c.bootstrapped = true
	case LeaseAcquired:
		c.addHolder(e.Token, e.Lease+" "+e.Gateway)
	case LeaseTransferred:
		if e.To != "" {
			c.grants[e.Index] = e
			c.addHolder(e.Token, e.Lease+" "+e.To)
		}
	}
}

func (c *violationChecker) addHolder(token uint64, holder string) {
	if before, ok := c.holders[token]; ok && before != holder {
		c.addf("token %d was granted to %s and to %s", token, before, holder)
	}
	c.holders[token] = holder
}

func (c *violationChecker) checkTokensGrow() {
	last := map[string]uint64{} // tokens of the last grants, by lease
	for _, index := range slices.Sorted(maps.Keys(c.grants)) {
		e := c.grants[index]
		if e.Token <= last[e.Lease] {
			c.addf("%s was granted under token %d after %d", e.Lease, e.Token, last[e.Lease])
		}
		last[e.Lease] = e.Token
	}
}
