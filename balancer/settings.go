package balancer

import (
	"errors"
	"fmt"
	"time"
)

// Upper bounds of settings. A larger value is a mistake, and could overflow.
const (
	maxTime  = 1000 * time.Hour
	maxCount = 1 << 20 // instances and attempts
	maxFloat = 1e12    // shares, factors, weights and quotas
	// maxPollTimeout is the upper bound of PollTimeout, from which the backoff of polls derives: an
	// instance must receive a change of the list within 6 s after it is available, whatever poll timeout is
	// configured.
	maxPollTimeout = 10 * time.Second
)

// Default values of settings.
const (
	defaultMaxAttempts    = 3
	defaultPollTimeout    = 10 * time.Second
	defaultSlowStartShare = 1 // full capacity, that is, no slow start
	defaultOverloadFactor = 2
	defaultOverloadWindow = time.Second
	defaultPriorityWeight = 1
)

// check validates settings and sets defaults. An error names the field as recordings do.
func check(settings *Settings) error {
	if err := checkCounts(settings); err != nil {
		return err
	}
	if err := checkDurations(settings); err != nil {
		return err
	}
	if err := checkFloats(settings); err != nil {
		return err
	}
	if err := checkClasses(settings); err != nil {
		return err
	}
	for i, tenant := range settings.Tenants {
		quota := tenant.Quota
		if !isValidFloat(quota) {
			return fmt.Errorf("settings: tenant %d: quota: %v is not between 0 and %v", i, quota, maxFloat)
		}
	}
	setDefaults(settings)
	return nil
}

func setDefaults(settings *Settings) {
	orDefault(&settings.MaxAttempts, defaultMaxAttempts)
	orDefault(&settings.PollTimeout, defaultPollTimeout)
	settings.PollTimeout = min(settings.PollTimeout, maxPollTimeout)
	orDefault(&settings.SlowStartShare, defaultSlowStartShare)
	settings.SlowStartShare = min(settings.SlowStartShare, 1)
	orDefault(&settings.OverloadFactor, defaultOverloadFactor)
	orDefault(&settings.OverloadWindow, defaultOverloadWindow)
}

func checkCounts(settings *Settings) error {
	attempts := settings.MaxAttempts
	switch {
	case settings.Instances < 1 || settings.Instances > maxCount:
		return fmt.Errorf("settings: instances: %d is not between 1 and %d", settings.Instances, maxCount)
	case settings.Rank < 0 || settings.Rank >= settings.Instances:
		return fmt.Errorf("settings: rank: %d is not among %d instances", settings.Rank, settings.Instances)
	case len(settings.Classes) == 0:
		return errors.New("settings: classes: there are none")
	case attempts < 0 || attempts > maxCount:
		return fmt.Errorf("settings: max attempts: %d is not between 0 and %d", attempts, maxCount)
	}
	return nil
}

// namedValue is a setting with its name in recordings.
type namedValue[T float64 | time.Duration] struct {
	name  string
	value T
}

func checkDurations(settings *Settings) error {
	for _, field := range []namedValue[time.Duration]{
		{"step", settings.Step},
		{"max retry after", settings.MaxRetryAfter},
		{"ask within", settings.PollTimeout},
		{"warm after", settings.SlowStartWindow},
		{"fall", settings.OverloadWindow},
	} {
		if field.value < 0 || field.value > maxTime {
			return fmt.Errorf("settings: %s: %v is not between 0 and %v", field.name, field.value, maxTime)
		}
	}
	return nil
}

func checkFloats(settings *Settings) error {
	for _, field := range []namedValue[float64]{
		{"cold from", settings.SlowStartShare},
		{"overload factor", settings.OverloadFactor},
		{"over-quota worth", settings.OverQuotaWeight},
	} {
		if !isValidFloat(field.value) {
			return fmt.Errorf("settings: %s: %v is not between 0 and %v", field.name, field.value, maxFloat)
		}
	}
	return nil
}

// checkClasses validates the classes and sets defaults in a copy of them.
func checkClasses(settings *Settings) error {
	settings.Classes = append([]Class(nil), settings.Classes...)
	allRetired := true
	for i := range settings.Classes {
		class := &settings.Classes[i]
		if err := checkClass(class); err != nil {
			return fmt.Errorf("settings: class %d: %w", i, err)
		}
		if class.LatencyObjective == 0 || class.LatencyObjective > class.Deadline {
			class.LatencyObjective = class.Deadline
		}
		orDefault(&class.PriorityWeight, defaultPriorityWeight)
		if !class.Retired {
			allRetired = false
		}
	}
	if allRetired {
		return errors.New("settings: classes: all classes are retired")
	}
	return nil
}

func checkClass(class *Class) error {
	switch {
	case class.LatencyObjective < 0 || class.LatencyObjective > maxTime:
		return fmt.Errorf("aim: %v is not between 0 and %v", class.LatencyObjective, maxTime)
	case class.Deadline <= 0 || class.Deadline > maxTime:
		return fmt.Errorf("deadline: %v is not above 0 and up to %v", class.Deadline, maxTime)
	case class.DedupWindow < 0 || class.DedupWindow > maxTime:
		return fmt.Errorf("window: %v is not between 0 and %v", class.DedupWindow, maxTime)
	case class.Idempotency > NonIdempotent:
		return fmt.Errorf("unknown effect %d", class.Idempotency)
	case class.DedupScope > ScopeCell:
		return fmt.Errorf("unknown group %d", class.DedupScope)
	case !isValidFloat(class.PriorityWeight):
		return fmt.Errorf("worth: %v is not between 0 and %v", class.PriorityWeight, maxFloat)
	}
	return nil
}

// isValidFloat reports whether a share, factor, weight or quota is in range. NaN is not.
func isValidFloat(value float64) bool { return value >= 0 && value <= maxFloat }

// orDefault sets a value to the default if it is zero.
func orDefault[T int | float64 | Time](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}
