package simulator

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of a Config. They keep a run within memory and a duration of a few hours.
const (
	maxLength      = 24 * time.Hour
	maxGateways    = 1000
	maxHosts       = 10_000
	maxRequests    = 50_000_000
	maxTrafficSkew = 10
	maxSteps       = 1000
	maxRetries     = 100
)

// ConfigError describes an invalid value of a Config. Table and Field are the names used in scenario files.
type ConfigError struct {
	Table string // "": the field is at the top level
	Index int    // position among the tables of this name, starting at 0
	Field string
	Text  string
}

func (e *ConfigError) Error() string {
	if e.Table == "" {
		return e.Field + ": " + e.Text
	}
	return fmt.Sprintf("%s %d: %s: %s", e.Table, e.Index+1, e.Field, e.Text)
}

// Validate returns all errors of a Config.
func (c *Config) Validate() []*ConfigError {
	v := validator{config: c}
	v.run()
	v.hosts()
	v.classes()
	v.clients()
	v.durations()
	v.skewAndSpread()
	v.bursts()
	v.faults()
	return v.errors
}

// validator collects the errors of a Config.
type validator struct {
	config *Config
	errors []*ConfigError
}

func (v *validator) errorf(table string, index int, field, format string, args ...any) {
	v.errors = append(v.errors, &ConfigError{table, index, field, fmt.Sprintf(format, args...)})
}

func (v *validator) run() {
	c := v.config
	if c.Length <= 0 || c.Length > maxLength {
		v.errorf("", 0, "length", "%v is not above 0 and at most 24h", c.Length)
	}
	if c.Gateways < 1 || c.Gateways > maxGateways {
		v.errorf("", 0, "gateways", "%d is not between 1 and %d", c.Gateways, maxGateways)
	}
}

func (v *validator) hosts() {
	total := 0
	for i, g := range v.config.Hosts {
		total += g.Count
		v.hostGroup(i, &g)
	}
	if total < 1 || total > maxHosts {
		v.errorf("", 0, "hosts", "the total count %d is not between 1 and %d", total, maxHosts)
	}
}

// hostGroup adds the first error of a group.
func (v *validator) hostGroup(i int, g *HostGroup) {
	congests := g.CongestionStart > 0
	switch {
	case g.Count < 1:
		v.errorf("hosts", i, "count", "%d is less than 1", g.Count)
	case g.Cores < 1:
		v.errorf("hosts", i, "cores", "%d is less than 1", g.Cores)
	case g.Speed < 0:
		v.errorf("hosts", i, "speed", "%v is below 0", g.Speed)
	case g.MaxConcurrent < 0:
		v.errorf("hosts", i, "slots", "%d is below 0", g.MaxConcurrent)
	case g.MaxConnections < 0:
		v.errorf("hosts", i, "conns", "%d is below 0", g.MaxConnections)
	case g.CongestionDelay < 0:
		v.errorf("hosts", i, "crowd_after", "%v is below 0", g.CongestionDelay)
	case g.CellSize < 0:
		v.errorf("hosts", i, "cell", "%d is below 0", g.CellSize)
	case congests && (g.CongestionEnd >= g.CongestionStart || g.CongestionSlowdown < 1):
		v.errorf("hosts", i, "crowd_at", "crowd_end %v must be less than crowd_at %v, and slower %v at least 1", g.CongestionEnd, g.CongestionStart, g.CongestionSlowdown)
	}
}

func (v *validator) classes() {
	c := v.config
	if len(c.Classes) != len(c.Settings.Classes) || len(c.Classes) == 0 {
		v.errorf("", 0, "class", "%d classes have traffic, but %d classes have settings", len(c.Classes), len(c.Settings.Classes))
	}
	requests := 0.0
	for i, t := range c.Classes {
		requests += t.Rate * c.Length.Seconds()
		sameName := func(other Traffic) bool { return other.Name == t.Name }
		switch {
		case t.Rate < 0:
			v.errorf("class", i, "rate", "%v is below 0", t.Rate)
		case t.MeanWork <= 0:
			v.errorf("class", i, "work", "%v is not above 0", t.MeanWork)
		case t.CV < 0:
			v.errorf("class", i, "cv", "%v is below 0", t.CV)
		case t.Distribution != "" && !slices.Contains(Distributions, t.Distribution):
			v.errorf("class", i, "dist", "%q is none of %v", t.Distribution, Distributions)
		case slices.ContainsFunc(c.Classes[:i], sameName):
			v.errorf("class", i, "name", "%q is taken", t.Name)
		}
	}
	if requests > maxRequests {
		v.errorf("", 0, "class", "the total of %.0f requests is more than %d", requests, maxRequests)
	}
}

func (v *validator) clients() {
	c := &v.config.Clients
	if c.MaxRetries < 0 || c.MaxRetries > maxRetries {
		v.errorf("clients", 0, "retries", "%d is not between 0 and %d", c.MaxRetries, maxRetries)
	}
	shares := []struct {
		field string
		value float64
	}{
		{"jitter", c.Jitter},
		{"honour", c.HonorRetryAfter},
		{"early", c.DisconnectEarly},
		{"hasty", c.RetryImmediately},
	}
	for _, s := range shares {
		if !(s.value >= 0 && s.value <= 1) { // written so that NaN is invalid too
			v.errorf("clients", 0, s.field, "%v is not between 0 and 1", s.value)
		}
	}
}

func (v *validator) durations() {
	c := v.config
	durations := []struct {
		table string
		field string
		value time.Duration
	}{
		{"clients", "backoff", c.Clients.Backoff},
		{"clients", "notice", c.Clients.FailoverDelay},
		{"net", "delay", c.Network.Delay},
		{"net", "handshake", c.Network.HandshakeWork},
		{"net", "connect", c.Network.ConnectTimeout},
		{"lists", "delay", c.Endpoints.UpdateDelay},
		{"lists", "silent", c.Endpoints.FailureDelay},
		{"lists", "spread", c.Endpoints.Spread},
		{"lists", "call", c.Endpoints.PollTime},
	}
	for _, d := range durations {
		if d.value < 0 {
			v.errorf(d.table, 0, d.field, "%v is below 0", d.value)
		}
	}
}

func (v *validator) skewAndSpread() {
	c := v.config
	if !(c.TrafficSkew >= 0 && c.TrafficSkew <= maxTrafficSkew) {
		v.errorf("", 0, "skew", "%v is not between 0 and %v", c.TrafficSkew, maxTrafficSkew)
	}
	if !(c.Network.DelaySpread >= 0) {
		v.errorf("net", 0, "spread", "%v is below 0", c.Network.DelaySpread)
	}
}

func (v *validator) bursts() {
	for i, b := range v.config.Bursts {
		ofClass := func(t Traffic) bool { return t.Name == b.Class }
		switch {
		case b.At < 0:
			v.errorf("burst", i, "at", "%v is below 0", b.At)
		case b.Duration <= 0:
			v.errorf("burst", i, "for", "%v is not above 0", b.Duration)
		case !(b.Factor > 0):
			v.errorf("burst", i, "times", "%v is not above 0", b.Factor)
		case b.Class != "" && !slices.ContainsFunc(v.config.Classes, ofClass):
			v.errorf("burst", i, "class", "there is no class %q", b.Class)
		}
	}
}

func (v *validator) faults() {
	for i, f := range v.config.Faults {
		severityIsShare := f.Kind == Errors || f.Kind == LossyResponses
		switch {
		case !slices.Contains(FaultKinds, f.Kind):
			v.errorf("trouble", i, "kind", "%q is none of %v", f.Kind, FaultKinds)
		case f.At < 0:
			v.errorf("trouble", i, "at", "%v is below 0", f.At)
		case f.Duration <= 0:
			v.errorf("trouble", i, "for", "%v is not above 0", f.Duration)
		case !(f.Share > 0 && f.Share <= 1):
			v.errorf("trouble", i, "part", "%v is not above 0 and at most 1", f.Share)
		case f.Kind == Slow && !(f.Severity >= 1):
			v.errorf("trouble", i, "size", "the factor %v of kind slow is not at least 1", f.Severity)
		case f.Steps < 0 || f.Steps > maxSteps:
			v.errorf("trouble", i, "steps", "%d is not between 0 and %d", f.Steps, maxSteps)
		case severityIsShare && !(f.Severity > 0 && f.Severity <= 1):
			v.errorf("trouble", i, "size", "the share %v is not above 0 and at most 1", f.Severity)
		}
	}
}
