package balancer

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	invalid := map[string]func(*Settings){
		"instances: 0":       func(s *Settings) { s.Instances = 0 },
		"instances: 1048577": func(s *Settings) { s.Instances = 1<<20 + 1 },
		"rank: 1":            func(s *Settings) { s.Rank = 1 },
		"rank: -1":           func(s *Settings) { s.Rank = -1 },
		"classes":            func(s *Settings) { s.Classes = nil },
		"fall: -1ns":         func(s *Settings) { s.OverloadWindow = -1 },
		"step":               func(s *Settings) { s.Step = 2000 * time.Hour },
		"ask within":         func(s *Settings) { s.PollTimeout = math.MaxInt64 },
		"warm after":         func(s *Settings) { s.SlowStartWindow = -1 },
		"max retry after":    func(s *Settings) { s.MaxRetryAfter = -1 },
		"max attempts":       func(s *Settings) { s.MaxAttempts = -1 },
		"class 0: deadline":  func(s *Settings) { s.Classes[0].Deadline = 0 },
		"class 0: aim":       func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"class 0: window":    func(s *Settings) { s.Classes[0].DedupWindow = -1 },
		"class 1: unknown e": func(s *Settings) { s.Classes[1].Idempotency = 9 },
		"class 1: unknown g": func(s *Settings) { s.Classes[1].DedupScope = 9 },
		"class 2: worth":     func(s *Settings) { s.Classes[2].PriorityWeight = math.NaN() },
		"cold from":          func(s *Settings) { s.SlowStartShare = math.Inf(1) },
		"overload factor":    func(s *Settings) { s.OverloadFactor = 1e300 },
		"over-quota worth":   func(s *Settings) { s.OverQuotaWeight = math.NaN() },
		"tenant 0: quota":    func(s *Settings) { s.Tenants = []Tenant{{Quota: -1}} },
	}
	for want, change := range invalid {
		settings := testSettings()
		change(&settings)
		if b, err := New(settings, 1); b != nil || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that contains %q", err, want)
		}
	}
}

func TestNewFillsInDefaults(t *testing.T) {
	b, err := New(Settings{Instances: 1, Classes: []Class{{Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := b.settings
	if s.MaxAttempts != 3 || s.PollTimeout != 10*time.Second || s.SlowStartShare != 1 || s.OverloadWindow != time.Second ||
		s.Classes[0].LatencyObjective != time.Second || s.Classes[0].PriorityWeight != 1 {
		t.Errorf("settings %+v, want 3 attempts, a poll timeout of 10 s, a slow-start share of 1, an overload window of 1 s,"+
			" and a latency objective of 1 s and a weight of 1 for the class", s)
	}
}
