package balancer

import (
	"errors"
	"fmt"
	"time"
)

// Limits of settings. What exceeds them is a mistake, and would overflow.
const (
	maxTime   = 1000 * time.Hour
	maxCount  = 1 << 20
	maxFigure = 1e12
	// maxPollTimeout bounds PollTimeout, from which the backoff of polls follows: a change counts as known 6 s
	// after it could be learnt, however long a poll the settings allow.
	maxPollTimeout = 10 * time.Second
)

// check returns an error that names the field for invalid settings, and sets defaults.
func check(set *Settings) error {
	switch {
	case set.Instances < 1 || set.Instances > maxCount:
		return fmt.Errorf("settings: instances: %d is not between 1 and %d", set.Instances, maxCount)
	case set.Rank < 0 || set.Rank >= set.Instances:
		return fmt.Errorf("settings: rank: %d is not among %d instances", set.Rank, set.Instances)
	case len(set.Classes) == 0:
		return errors.New("settings: classes: there are none")
	case set.MaxAttempts < 0 || set.MaxAttempts > maxCount:
		return fmt.Errorf("settings: max attempts: %d is not between 0 and %d", set.MaxAttempts, maxCount)
	}
	for _, f := range []struct {
		name string
		d    time.Duration
	}{
		{"step", set.Step}, {"max retry after", set.MaxRetryAfter}, {"ask within", set.PollTimeout},
		{"warm after", set.SlowStartWindow}, {"fall", set.OverloadWindow},
	} {
		if f.d < 0 || f.d > maxTime {
			return fmt.Errorf("settings: %s: %v is not between 0 and %v", f.name, f.d, maxTime)
		}
	}
	for _, f := range []struct {
		name string
		x    float64
	}{
		{"cold from", set.SlowStartShare}, {"overload factor", set.OverloadFactor},
		{"over-quota worth", set.OverQuotaWeight},
	} {
		if !isFigure(f.x) {
			return fmt.Errorf("settings: %s: %v is not between 0 and %v", f.name, f.x, maxFigure)
		}
	}
	if err := checkClasses(set); err != nil {
		return err
	}
	for i, t := range set.Tenants {
		if !isFigure(t.Quota) {
			return fmt.Errorf("settings: tenant %d: quota: %v is not between 0 and %v", i, t.Quota, maxFigure)
		}
	}
	orDefault(&set.MaxAttempts, 3)
	orDefault(&set.PollTimeout, 10e9)
	set.PollTimeout = min(set.PollTimeout, maxPollTimeout)
	orDefault(&set.SlowStartShare, 1)
	orDefault(&set.OverloadFactor, 2)
	orDefault(&set.OverloadWindow, 1e9)
	set.SlowStartShare = min(set.SlowStartShare, 1)
	return nil
}

// checkClasses checks the classes, of which it makes a copy to set defaults in.
func checkClasses(set *Settings) error {
	set.Classes = append([]Class(nil), set.Classes...)
	live := false
	for i := range set.Classes {
		c := &set.Classes[i]
		if err := checkClass(i, c); err != nil {
			return err
		}
		if c.LatencyObjective == 0 || c.LatencyObjective > c.Deadline {
			c.LatencyObjective = c.Deadline
		}
		orDefault(&c.PriorityWeight, 1)
		live = live || !c.Retired
	}
	if !live {
		return errors.New("settings: classes: all are retired")
	}
	return nil
}

func checkClass(i int, c *Class) error {
	switch {
	case c.LatencyObjective < 0 || c.LatencyObjective > maxTime:
		return fmt.Errorf("settings: class %d: aim: %v is not between 0 and %v", i, c.LatencyObjective, maxTime)
	case c.Deadline <= 0 || c.Deadline > maxTime:
		return fmt.Errorf("settings: class %d: deadline: %v is not above 0 and up to %v", i, c.Deadline, maxTime)
	case c.DedupWindow < 0 || c.DedupWindow > maxTime:
		return fmt.Errorf("settings: class %d: window: %v is not between 0 and %v", i, c.DedupWindow, maxTime)
	case c.Idempotency > NonIdempotent:
		return fmt.Errorf("settings: class %d: unknown effect %d", i, c.Idempotency)
	case c.DedupScope > ScopeCell:
		return fmt.Errorf("settings: class %d: unknown group %d", i, c.DedupScope)
	case !isFigure(c.PriorityWeight):
		return fmt.Errorf("settings: class %d: worth: %v is not between 0 and %v", i, c.PriorityWeight, maxFigure)
	}
	return nil
}

// isFigure reports whether x is in range, which NaN is not.
func isFigure(x float64) bool { return x >= 0 && x <= maxFigure }

// orDefault sets *v where it is zero.
func orDefault[T int | float64 | Time](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}
