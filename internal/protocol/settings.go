package protocol

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"dunemoor/balancer"
)

// settings is the part of the settings object that the balancer uses. Unknown keys are ignored, and absent ones are
// zero. The fields have the names that the rest of the code uses, and their tags the names of the platform's
// protocol.
type settings struct {
	Instances       int          `json:"balancers"`
	Rank            int          `json:"rank"`
	Step            microseconds `json:"step"`
	Discovery       string       `json:"discovery"`
	OverQuotaWeight float64      `json:"over_share_worth"`
	Classes         []class      `json:"classes"`
	Tenants         []tenant     `json:"tenants"`
	Capabilities    capabilities `json:"caps"`
	Obligations     obligations  `json:"obligations"`
}

// class is a class of requests, as the platform describes it.
type class struct {
	LatencyObjective microseconds `json:"promise"`
	Deadline         microseconds `json:"hard_limit"`
	PriorityWeight   float64      `json:"importance"`
	Idempotency      string       `json:"effect"`
	DedupScope       string       `json:"group"`
	DedupWindow      microseconds `json:"window"`
}

// tenant is a customer with a quota.
type tenant struct {
	Quota float64 `json:"quota_per_s"` // requests per second
}

// capabilities are the features that a gateway may use.
type capabilities struct {
	Cancel        bool         `json:"cancel"`
	MaxAttempts   int          `json:"max_attempts"`
	MaxRetryAfter microseconds `json:"max_retry_after"`
	RetryAfter    bool         `json:"retry_after"`
}

// obligations are the rules of the platform that a gateway has to follow.
type obligations struct {
	PollTimeout     microseconds `json:"ask_within"`
	SlowStartShare  float64      `json:"cold_from"`
	SlowStartWindow microseconds `json:"warm_after"`
	OverloadFactor  float64      `json:"overload_factor"`
	OverloadWindow  microseconds `json:"fall"`
}

// discoveryByPolling is the value of the key "discovery" with which the balancer polls the endpoint list. With
// "subscribe" changes arrive only after the gateway has requested them, by the action Poll; with "automatic" they are
// pushed.
const discoveryByPolling = "subscribe"

// timeUnit is the unit of all times in the settings object.
const timeUnit = time.Microsecond

// microseconds is a time span in microseconds; it may have a fraction.
type microseconds float64

// duration converts m. A span beyond what a time.Duration holds becomes the longest or the shortest one,
// which balancer.New rejects.
func (m microseconds) duration() time.Duration {
	nanoseconds := float64(m) * float64(timeUnit)
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(max(nanoseconds, math.MinInt64))
}

// idempotencies maps the values of the key "effect".
var idempotencies = map[string]balancer.Idempotency{
	"idempotent":   balancer.Idempotent,
	"deduplicated": balancer.IdempotentWithKey,
	"at_most_once": balancer.NonIdempotent,
}

// dedupScopes maps the values of the key "group".
var dedupScopes = map[string]balancer.DedupScope{
	"":     balancer.ScopeAll,
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

// ParseSettings decodes the settings object, which is in JSON. It rejects malformed JSON and unknown values of
// "effect" and "group"; balancer.New checks the ranges of values.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var in settings
	if err := json.Unmarshal(text, &in); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	out := balancer.Settings{
		Instances:       in.Instances,
		Rank:            in.Rank,
		Step:            in.Step.duration(),
		MaxAttempts:     in.Capabilities.MaxAttempts,
		Cancel:          in.Capabilities.Cancel,
		OverQuotaWeight: in.OverQuotaWeight,
		Poll:            in.Discovery == discoveryByPolling,
		PollTimeout:     in.Obligations.PollTimeout.duration(),
		SlowStartShare:  in.Obligations.SlowStartShare,
		SlowStartWindow: in.Obligations.SlowStartWindow.duration(),
		OverloadFactor:  in.Obligations.OverloadFactor,
		OverloadWindow:  in.Obligations.OverloadWindow.duration(),
	}
	if in.Capabilities.RetryAfter {
		out.MaxRetryAfter = in.Capabilities.MaxRetryAfter.duration()
	}
	for i, c := range in.Classes {
		converted, err := c.convert()
		if err != nil {
			return out, fmt.Errorf("settings: class %d: %w", i, err)
		}
		out.Classes = append(out.Classes, converted)
	}
	for _, t := range in.Tenants {
		out.Tenants = append(out.Tenants, balancer.Tenant{Quota: t.Quota})
	}
	return out, nil
}

func (c *class) convert() (balancer.Class, error) {
	idempotency, ok := idempotencies[c.Idempotency]
	if !ok {
		return balancer.Class{}, fmt.Errorf("unknown effect %q", c.Idempotency)
	}
	scope, ok := dedupScopes[c.DedupScope]
	if !ok {
		return balancer.Class{}, fmt.Errorf("unknown group %q", c.DedupScope)
	}
	return balancer.Class{
		LatencyObjective: c.LatencyObjective.duration(),
		Deadline:         c.Deadline.duration(),
		PriorityWeight:   c.PriorityWeight,
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      c.DedupWindow.duration(),
	}, nil
}
