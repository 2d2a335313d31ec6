package scenario

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/config"
	"dunemoor/internal/experiment/simulator"
)

// Parse reads a scenario from the text of a file. The path is used for the scenario's name and in errors. Parse
// returns all errors that it finds.
func Parse(path, data string) (*Scenario, []error) {
	p := parser{text: config.NewText(path, data)}
	var f file
	p.errors = p.text.DecodeAll(&f)
	if f.Seed < 0 {
		p.errorf("", 0, "seed", "%d is below 0", f.Seed)
	}
	s := &Scenario{
		Name:     strings.TrimSuffix(filepath.Base(path), ".toml"),
		About:    f.About,
		Seed:     uint64(max(f.Seed, 0)),
		Config:   p.simulatorConfig(&f),
		Expected: f.Expected.expectations(),
	}
	p.checkExpectations(s)
	for _, e := range s.Config.Validate() {
		p.errorf(e.Table, e.Index, e.Field, "%s", e.Text)
	}
	if len(p.errors) == 0 {
		if _, err := balancer.New(s.Config.Settings, 1); err != nil {
			p.errors = append(p.errors, fmt.Errorf("%s: %w", path, err))
		}
	}
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return s, nil
}

// parser reads a file and collects its errors.
type parser struct {
	text   *config.Text
	errors []error
}

// errorf adds an error with the line of a field in the index-th table of the given name; "" stands for the top level.
func (p *parser) errorf(table string, index int, field, format string, args ...any) {
	name := field
	if table != "" {
		name = table + "." + field
	}
	p.errors = append(p.errors, p.text.Errorf(p.text.Line(table, index, field), name, format, args...))
}

// simulatorConfig converts a file without checking the ranges of its values.
func (p *parser) simulatorConfig(f *file) simulator.Config {
	c := simulator.Config{
		Length:      time.Duration(f.Length),
		Gateways:    f.Gateways,
		TrafficSkew: f.Skew,
		Settings:    f.Balancer.settings(),
		Clients:     f.Clients.clients(),
		Network: simulator.Network{
			Delay:          time.Duration(f.Network.Delay),
			DelaySpread:    f.Network.DelaySpread,
			HandshakeWork:  time.Duration(f.Network.HandshakeWork),
			ConnectTimeout: time.Duration(f.Network.ConnectTimeout),
		},
		Endpoints: simulator.EndpointLists{
			UpdateDelay:  time.Duration(f.Lists.UpdateDelay),
			FailureDelay: time.Duration(f.Lists.FailureDelay),
			Spread:       time.Duration(f.Lists.Spread),
			PollTime:     time.Duration(f.Lists.PollTime),
		},
	}
	for _, h := range f.Hosts {
		c.Hosts = append(c.Hosts, h.group())
	}
	for i := range f.Classes {
		class := &f.Classes[i]
		c.Settings.Classes = append(c.Settings.Classes, p.class(i, class))
		c.Classes = append(c.Classes, class.traffic())
	}
	for _, b := range f.Bursts {
		c.Bursts = append(c.Bursts, simulator.Burst{
			At:       time.Duration(b.At),
			Duration: time.Duration(b.Duration),
			Factor:   b.Factor,
			Class:    b.Class,
		})
	}
	for _, t := range f.Faults {
		c.Faults = append(c.Faults, t.fault())
	}
	return c
}

// class converts the balancer settings of a class. For an unknown value of effect or group it adds an error and uses
// the first one.
func (p *parser) class(index int, t *classTable) balancer.Class {
	idempotency := slices.Index(idempotencyNames, t.Idempotency)
	if idempotency < 0 {
		p.errorf("class", index, "effect", "%q is none of %s", t.Idempotency, strings.Join(idempotencyNames, ", "))
	}
	scope := slices.Index(dedupScopeNames, t.DedupScope)
	if scope < 0 && t.DedupScope != "" {
		p.errorf("class", index, "group", "%q is none of %s", t.DedupScope, strings.Join(dedupScopeNames, ", "))
	}
	return balancer.Class{
		LatencyObjective: time.Duration(t.LatencyObjective),
		Deadline:         time.Duration(t.Deadline),
		PriorityWeight:   t.PriorityWeight,
		Idempotency:      balancer.Idempotency(max(idempotency, 0)),
		DedupScope:       balancer.DedupScope(max(scope, 0)),
		DedupWindow:      time.Duration(t.DedupWindow),
	}
}

func (p *parser) checkExpectations(s *Scenario) {
	shares := []struct {
		field string
		value float64
	}{
		{"in_time", s.Expected.InTimeShare},
		{"end_in_time", s.Expected.EndInTimeShare},
		{"worth", s.Expected.WeightedInTimeShare},
		{"class", s.Expected.ClassInTimeShare},
	}
	for _, share := range shares {
		if !(share.value >= 0 && share.value <= 1) { // written so that NaN is invalid too
			p.errorf("expect", 0, share.field, "%v is not between 0 and 1", share.value)
		}
	}
	if s.Expected.EndFrom < 0 || s.Expected.EndFrom > s.Config.Length {
		p.errorf("expect", 0, "end_from", "%v is not within the run", s.Expected.EndFrom)
	}
}

func (t *balancerTable) settings() balancer.Settings {
	return balancer.Settings{
		Instances:       1,
		MaxAttempts:     t.MaxAttempts,
		Cancel:          true,
		MaxRetryAfter:   time.Duration(t.MaxRetryAfter),
		SlowStartShare:  t.SlowStartShare,
		SlowStartWindow: time.Duration(t.SlowStartWindow),
		OverloadFactor:  t.OverloadFactor,
		OverloadWindow:  time.Duration(t.OverloadWindow),
	}
}

func (t *hostTable) group() simulator.HostGroup {
	return simulator.HostGroup{
		Count:              t.Count,
		Cores:              t.Cores,
		Speed:              t.Speed,
		MaxConcurrent:      t.MaxConcurrent,
		MaxQueued:          t.MaxQueued,
		MaxConnections:     t.MaxConnections,
		Zone:               t.Zone,
		CellSize:           t.CellSize,
		CongestionStart:    t.CongestionStart,
		CongestionEnd:      t.CongestionEnd,
		CongestionSlowdown: t.CongestionSlowdown,
		CongestionDelay:    time.Duration(t.CongestionDelay),
	}
}

func (t *classTable) traffic() simulator.Traffic {
	return simulator.Traffic{
		Name:         t.Name,
		Rate:         t.Rate,
		MeanWork:     time.Duration(t.MeanWork),
		Distribution: simulator.Distribution(t.Distribution),
		CV:           t.CV,
	}
}

func (t *clientsTable) clients() simulator.Clients {
	return simulator.Clients{
		MaxRetries:       t.MaxRetries,
		Backoff:          time.Duration(t.Backoff),
		Jitter:           t.Jitter,
		HonorRetryAfter:  t.HonorRetryAfter,
		FailoverDelay:    time.Duration(t.FailoverDelay),
		DisconnectEarly:  t.DisconnectEarly,
		RetryImmediately: t.RetryImmediately,
	}
}

func (t *faultTable) fault() simulator.Fault {
	return simulator.Fault{
		Kind:     simulator.FaultKind(t.Kind),
		At:       time.Duration(t.At),
		Duration: time.Duration(t.Duration),
		Share:    t.Share,
		Severity: t.Severity,
		Steps:    t.Steps,
	}
}

func (t *expectedTable) expectations() Expectations {
	return Expectations{
		InTimeShare:         t.InTimeShare,
		EndFrom:             time.Duration(t.EndFrom),
		EndInTimeShare:      t.EndInTimeShare,
		WeightedInTimeShare: t.WeightedInTimeShare,
		ClassInTimeShare:    t.ClassInTimeShare,
		PerSecond:           t.Budget,
	}
}
