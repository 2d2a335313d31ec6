package scenario

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"

	"dunemoor/internal/config"
	"dunemoor/internal/experiment/simulator"
)

// Format returns the text of a scenario file from which Parse reads the same scenario.
func (s *Scenario) Format() (string, error) {
	f := newFile(s)
	var out strings.Builder
	encoder := toml.NewEncoder(&out)
	encoder.Indent = ""
	if err := encoder.Encode(f); err != nil {
		return "", fmt.Errorf("encode scenario: %w", err)
	}
	return out.String(), nil
}

// newFile converts a scenario to the structure of a file.
func newFile(s *Scenario) file {
	c := &s.Config
	f := file{
		About:    s.About,
		Seed:     int64(s.Seed),
		Length:   config.Duration(c.Length),
		Gateways: c.Gateways,
		Skew:     c.TrafficSkew,
		Balancer: balancerTable{
			MaxAttempts:     c.Settings.MaxAttempts,
			MaxRetryAfter:   config.Duration(c.Settings.MaxRetryAfter),
			SlowStartShare:  c.Settings.SlowStartShare,
			SlowStartWindow: config.Duration(c.Settings.SlowStartWindow),
			OverloadFactor:  c.Settings.OverloadFactor,
			OverloadWindow:  config.Duration(c.Settings.OverloadWindow),
		},
		Clients: newClientsTable(&c.Clients),
		Network: networkTable{
			Delay:          config.Duration(c.Network.Delay),
			DelaySpread:    c.Network.DelaySpread,
			HandshakeWork:  config.Duration(c.Network.HandshakeWork),
			ConnectTimeout: config.Duration(c.Network.ConnectTimeout),
		},
		Lists: listsTable{
			UpdateDelay:  config.Duration(c.Endpoints.UpdateDelay),
			FailureDelay: config.Duration(c.Endpoints.FailureDelay),
			Spread:       config.Duration(c.Endpoints.Spread),
			PollTime:     config.Duration(c.Endpoints.PollTime),
		},
		Expected: newExpectedTable(&s.Expected),
	}
	for i := range c.Hosts {
		f.Hosts = append(f.Hosts, newHostTable(&c.Hosts[i]))
	}
	for i := range c.Classes {
		f.Classes = append(f.Classes, newClassTable(c, i))
	}
	for _, b := range c.Bursts {
		f.Bursts = append(f.Bursts, burstTable{
			At:       config.Duration(b.At),
			Duration: config.Duration(b.Duration),
			Factor:   b.Factor,
			Class:    b.Class,
		})
	}
	for i := range c.Faults {
		f.Faults = append(f.Faults, newFaultTable(&c.Faults[i]))
	}
	return f
}

func newHostTable(g *simulator.HostGroup) hostTable {
	return hostTable{
		Count:              g.Count,
		Cores:              g.Cores,
		Speed:              g.Speed,
		MaxConcurrent:      g.MaxConcurrent,
		MaxQueued:          g.MaxQueued,
		MaxConnections:     g.MaxConnections,
		Zone:               g.Zone,
		CongestionStart:    g.CongestionStart,
		CongestionEnd:      g.CongestionEnd,
		CongestionSlowdown: g.CongestionSlowdown,
		CongestionDelay:    config.Duration(g.CongestionDelay),
		CellSize:           g.CellSize,
	}
}

// newClassTable converts the balancer settings and the traffic of a class.
func newClassTable(c *simulator.Config, index int) classTable {
	rules := &c.Settings.Classes[index]
	traffic := &c.Classes[index]
	return classTable{
		Name:             traffic.Name,
		Idempotency:      idempotencyNames[rules.Idempotency],
		DedupScope:       dedupScopeNames[rules.DedupScope],
		DedupWindow:      config.Duration(rules.DedupWindow),
		Rate:             traffic.Rate,
		MeanWork:         config.Duration(traffic.MeanWork),
		Distribution:     string(traffic.Distribution),
		CV:               traffic.CV,
		LatencyObjective: config.Duration(rules.LatencyObjective),
		Deadline:         config.Duration(rules.Deadline),
		PriorityWeight:   rules.PriorityWeight,
	}
}

func newClientsTable(c *simulator.Clients) clientsTable {
	return clientsTable{
		MaxRetries:       c.MaxRetries,
		Backoff:          config.Duration(c.Backoff),
		Jitter:           c.Jitter,
		HonorRetryAfter:  c.HonorRetryAfter,
		FailoverDelay:    config.Duration(c.FailoverDelay),
		DisconnectEarly:  c.DisconnectEarly,
		RetryImmediately: c.RetryImmediately,
	}
}

func newFaultTable(f *simulator.Fault) faultTable {
	return faultTable{
		Kind:     string(f.Kind),
		At:       config.Duration(f.At),
		Duration: config.Duration(f.Duration),
		Share:    f.Share,
		Severity: f.Severity,
		Steps:    f.Steps,
	}
}

func newExpectedTable(e *Expectations) expectedTable {
	return expectedTable{
		InTimeShare:         e.InTimeShare,
		EndFrom:             config.Duration(e.EndFrom),
		EndInTimeShare:      e.EndInTimeShare,
		WeightedInTimeShare: e.WeightedInTimeShare,
		ClassInTimeShare:    e.ClassInTimeShare,
		Budget:              e.PerSecond,
	}
}
