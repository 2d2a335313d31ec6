package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunemoor/internal/experiment/scenario"
)

// settingFunc parses a value and sets it in a scenario.
type settingFunc func(s *scenario.Scenario, value string) error

// settings are the settings of a scenario that can be changed on the command line. Settings of hosts change the first
// group of hosts.
var settings = map[string]settingFunc{
	"gateways":    parsed(strconv.Atoi, func(s *scenario.Scenario, n int) { s.Config.Gateways = n }),
	"hosts":       parsed(strconv.Atoi, func(s *scenario.Scenario, n int) { s.Config.Hosts[0].Count = n }),
	"conns":       parsed(strconv.Atoi, func(s *scenario.Scenario, n int) { s.Config.Hosts[0].MaxConnections = n }),
	"attempts":    parsed(strconv.Atoi, func(s *scenario.Scenario, n int) { s.Config.Settings.MaxAttempts = n }),
	"retries":     parsed(strconv.Atoi, func(s *scenario.Scenario, n int) { s.Config.Clients.MaxRetries = n }),
	"load":        parsed(parseFloat, multiplyLoad),
	"jitter":      parsed(parseFloat, func(s *scenario.Scenario, x float64) { s.Config.Clients.Jitter = x }),
	"honour":      parsed(parseFloat, func(s *scenario.Scenario, x float64) { s.Config.Clients.HonorRetryAfter = x }),
	"part":        parsed(parseFloat, setFaultShares),
	"length":      parsed(time.ParseDuration, func(s *scenario.Scenario, d time.Duration) { s.Config.Length = d }),
	"backoff":     parsed(time.ParseDuration, func(s *scenario.Scenario, d time.Duration) { s.Config.Clients.Backoff = d }),
	"notice":      parsed(time.ParseDuration, func(s *scenario.Scenario, d time.Duration) { s.Config.Clients.FailoverDelay = d }),
	"silent":      parsed(time.ParseDuration, func(s *scenario.Scenario, d time.Duration) { s.Config.Endpoints.FailureDelay = d }),
	"retry_after": parsed(time.ParseDuration, func(s *scenario.Scenario, d time.Duration) { s.Config.Settings.MaxRetryAfter = d }),
}

// parsed returns a settingFunc that parses a value with parse and sets it with set.
func parsed[T any](parse func(string) (T, error), set func(*scenario.Scenario, T)) settingFunc {
	return func(s *scenario.Scenario, value string) error {
		x, err := parse(value)
		if err != nil {
			return err
		}
		set(s, x)
		return nil
	}
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

func multiplyLoad(s *scenario.Scenario, factor float64) {
	for i := range s.Config.Classes {
		s.Config.Classes[i].Rate *= factor
	}
}

func setFaultShares(s *scenario.Scenario, share float64) {
	for i := range s.Config.Faults {
		s.Config.Faults[i].Share = share
	}
}

// settingNames returns the names of all settings, for messages.
func settingNames() string { return strings.Join(slices.Sorted(maps.Keys(settings)), ", ") }

// changeSettings applies KEY=VALUE pairs to a scenario, and validates the result.
func changeSettings(s *scenario.Scenario, pairs []string) error {
	for _, pair := range pairs {
		key, value, _ := strings.Cut(pair, "=")
		set := settings[key]
		if set == nil {
			return fmt.Errorf("%q is not one of %s", key, settingNames())
		}
		if err := set(s, value); err != nil {
			return fmt.Errorf("%s: %q: %w", key, value, err)
		}
	}
	var errs []error
	for _, err := range s.Config.Validate() {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
