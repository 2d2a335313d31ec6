// Package protocol reads the settings object that the platform hands to each gateway, and maps the
// field names of its protocol to the terms that the rest of the code uses.
package protocol

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"dunemoor/balancer"
)

// settings is the part of the settings object that the balancer acts on;
// unknown keys are ignored and absent ones are zero.
type settings struct {
	Balancers int
	Rank      int
	Step      micros
	Discovery string
	OverShare float64 `json:"over_share_worth"`
	Classes   []struct {
		Promise    micros
		HardLimit  micros `json:"hard_limit"`
		Importance float64
		Effect     string
		Group      string
		Window     micros
	}
	Tenants []struct {
		Quota float64 `json:"quota_per_s"`
	}
	Caps struct {
		Cancel        bool
		MaxAttempts   int    `json:"max_attempts"`
		MaxRetryAfter micros `json:"max_retry_after"`
		RetryAfter    bool   `json:"retry_after"`
	}
	Obligations struct {
		AskWithin      micros  `json:"ask_within"`
		ColdFrom       float64 `json:"cold_from"`
		WarmAfter      micros  `json:"warm_after"`
		OverloadFactor float64 `json:"overload_factor"`
		Fall           micros
	}
}

// unit is the unit of all times in the settings object.
const unit = time.Microsecond

// micros is a span of time in microseconds, whole or not.
type micros float64

// span is the longest time there is where m is beyond that, for New to refuse.
func (m micros) span() time.Duration {
	if ns := float64(m) * float64(unit); ns < math.MaxInt64 {
		return time.Duration(max(ns, math.MinInt64))
	}
	return math.MaxInt64
}

var effects = map[string]balancer.Idempotency{
	"idempotent": balancer.Idempotent, "deduplicated": balancer.IdempotentWithKey, "at_most_once": balancer.NonIdempotent,
}

var groups = map[string]balancer.DedupScope{
	"": balancer.ScopeAll, "all": balancer.ScopeAll,
	"zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
}

// ParseSettings reads the settings object, in JSON.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var in settings
	var out balancer.Settings
	if err := json.Unmarshal(text, &in); err != nil {
		return out, fmt.Errorf("settings: %w", err)
	}
	out = balancer.Settings{
		Instances: in.Balancers, Rank: in.Rank, Step: in.Step.span(),
		MaxAttempts: in.Caps.MaxAttempts, Cancel: in.Caps.Cancel, OverQuotaWeight: in.OverShare,
		Poll: in.Discovery == "subscribe", PollTimeout: in.Obligations.AskWithin.span(),
		SlowStartShare: in.Obligations.ColdFrom, SlowStartWindow: in.Obligations.WarmAfter.span(),
		OverloadFactor: in.Obligations.OverloadFactor, OverloadWindow: in.Obligations.Fall.span(),
	}
	if in.Caps.RetryAfter {
		out.MaxRetryAfter = in.Caps.MaxRetryAfter.span()
	}
	for i, c := range in.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return out, fmt.Errorf("settings: class %d: unknown effect %q", i, c.Effect)
		}
		group, ok := groups[c.Group]
		if !ok {
			return out, fmt.Errorf("settings: class %d: unknown group %q", i, c.Group)
		}
		out.Classes = append(out.Classes, balancer.Class{
			LatencyObjective: c.Promise.span(), Deadline: c.HardLimit.span(), PriorityWeight: c.Importance,
			Idempotency: effect, DedupScope: group, DedupWindow: c.Window.span(),
		})
	}
	for _, t := range in.Tenants {
		out.Tenants = append(out.Tenants, balancer.Tenant{Quota: t.Quota})
	}
	return out, nil
}
