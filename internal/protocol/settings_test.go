package protocol

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// A time beyond the range of time.Duration must not wrap into a valid one.
func TestParseSettingsSaturatesTimesOutOfRange(t *testing.T) {
	for _, us := range []string{"1e30", "-1e30"} {
		settings, err := ParseSettings([]byte(`{"balancers": 1, "step": ` + us + `,
			"classes": [{"effect": "idempotent", "hard_limit": 1000}]}`))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := balancer.New(settings, 1); err == nil || !strings.Contains(err.Error(), "step") {
			t.Errorf("step %s: got error %v, want one that names the step", us, err)
		}
	}
}

func TestParseSettings(t *testing.T) {
	got, err := ParseSettings([]byte(`{"balancers": 4, "rank": 2, "step": 2000, "discovery": "subscribe",
		"over_share_worth": 0.05, "unknown": {"key": [1]},
		"caps": {"cancel": true, "dial_timeout": 150000, "max_attempts": 3, "max_retry_after": 600000,
			"may_duplicate": true, "retry_after": true},
		"classes": [{"effect": "deduplicated", "group": "cell", "hard_limit": 1200000, "importance": 2.0,
			"late_worth": 0.25, "promise": 300000, "window": 5000000}, {"effect": "at_most_once", "hard_limit": 1}],
		"obligations": {"ask_within": 10000000, "cold_from": 0.31, "fall": 1000000, "overload_factor": 2.5,
			"warm_after": 8900000},
		"tenants": [{"name": "a", "quota_per_s": 104.0}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := balancer.Settings{
		Instances: 4, Rank: 2, Step: 2 * time.Millisecond, Poll: true, PollTimeout: 10 * time.Second,
		OverQuotaWeight: 0.05, Cancel: true,
		MaxAttempts: 3, MaxRetryAfter: 600 * time.Millisecond,
		SlowStartShare: 0.31, OverloadWindow: time.Second, OverloadFactor: 2.5, SlowStartWindow: 8900 * time.Millisecond,
		Tenants: []balancer.Tenant{{Quota: 104}},
		Classes: []balancer.Class{
			{LatencyObjective: 300 * time.Millisecond, Deadline: 1200 * time.Millisecond, PriorityWeight: 2,
				Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.ScopeCell, DedupWindow: 5 * time.Second},
			{Deadline: time.Microsecond, Idempotency: balancer.NonIdempotent},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("\ngot  %+v\nwant %+v", got, want)
	}
}

func TestParseSettingsRejectsInvalidSettings(t *testing.T) {
	for text, want := range map[string]string{
		`{"classes": [{"effect": "sometimes"}]}`:                   `unknown effect "sometimes"`,
		`{"classes": [{"effect": "idempotent", "group": "moon"}]}`: `unknown group "moon"`,
		`[]`: "settings", `{`: "settings",
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one with %q", text, err, want)
		}
	}
}
