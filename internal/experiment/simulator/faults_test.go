package simulator

import (
	"testing"
	"time"

	"dunemoor/balancer"
)

// Faults that affect the whole fleet are simulated: the rules hold, most requests are served in time, and the counts
// per second show the effect.
func TestFleetWideFaultsShowInTheCounts(t *testing.T) {
	second := time.Second
	for _, tt := range []struct {
		name        string
		set         func(c *Config)
		minInTime   float64
		showsEffect func(s *Summary) bool
	}{
		{"half of the hosts replaced while all gateways restart", func(c *Config) {
			c.Faults = []Fault{{Kind: ReplaceHosts, At: 4 * second, Duration: 6 * second, Share: 0.5, Steps: 3}, {Kind: GatewayRestart, At: 5 * second, Duration: 6 * second, Share: 1, Steps: 6}}
		}, 0.95, func(s *Summary) bool {
			return len(s.Load) == 18 && maxOfSeconds(s, func(x Second) int { return x.WarmingAttempts }) > 50
		}},
		{"a third of the hosts partitioned, with silence or resets", func(c *Config) {
			c.Faults = []Fault{{Kind: Partition, At: 5 * second, Duration: 6 * second, Share: 0.33}}
		}, 0.9, func(s *Summary) bool {
			return maxOfSeconds(s, func(x Second) int { return x.UnavailableAttempts }) > 10
		}},
		{"responses lost while clients disconnect early and retry immediately", func(c *Config) {
			c.Clients.DisconnectEarly, c.Clients.RetryImmediately = 0.2, 0.2
			c.Faults = []Fault{{Kind: LossyResponses, At: 5 * second, Duration: 6 * second, Share: 1, Severity: 0.1}}
		}, 0.9, func(s *Summary) bool { return s.Classes[0].Abandoned+s.Classes[1].Failed > 0 }},
		{"discovery polled and down for a while", func(c *Config) {
			c.Endpoints.PollTime = 5 * time.Millisecond
			c.Faults = []Fault{{Kind: DiscoveryDown, At: 5 * second, Duration: 3 * second, Share: 1}, {Kind: ReplaceHosts, At: 6 * second, Duration: second, Share: 0.2}}
		}, 0.95, func(s *Summary) bool {
			n := maxOfSeconds(s, func(x Second) int { return x.Polls })
			return n >= 3 && n <= 6 && len(s.Load) > 12 // each gateway polls again, with a pause between polls
		}},
	} {
		c := smallFleet(31)
		tt.set(&c)
		s := run(t, c)
		checkRules(t, c, s)
		if s.InTimeShare() < tt.minInTime || !tt.showsEffect(s) {
			t.Errorf("%s: got %.4f in time, effect shown: %v; want at least %.4f and an effect: %+v", tt.name, s.InTimeShare(), tt.showsEffect(s), tt.minInTime, s.Seconds)
		}
	}
}

// maxOfSeconds returns the highest count of a second.
func maxOfSeconds(s *Summary, count func(Second) int) int {
	highest := 0
	for _, second := range s.Seconds {
		highest = max(highest, count(second))
	}
	return highest
}

// A gateway that stops at the end of its draining period must have responded to all requests.
func TestPlannedStopWithOpenRequestViolatesRuleLost(t *testing.T) {
	s := &simulation{config: smallFleet(1), summary: &Summary{Classes: make([]ClassSummary, 3)}, now: 9 * time.Second}
	s.config.Settings.Instances = 1
	g := &gateway{running: true, drainingSince: 5 * time.Second, openRequests: map[balancer.RequestID]*request{}}
	s.gateways = []*gateway{g}
	g.openRequests[3] = &request{id: 3, gateway: g, retries: 99}
	s.gatewayDrained(g)
	if s.summary.Violations[RuleLost] != 1 || !g.running || g.drainingSince != 0 || g.incarnation != 1 {
		t.Errorf("got violations %v, gateway %+v; want one of RuleLost, and a gateway that has restarted", s.summary.Violations, g)
	}
}
