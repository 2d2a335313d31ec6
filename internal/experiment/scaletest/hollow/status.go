package hollow

import (
	"strconv"
	"strings"
	"time"
)

// roleLeader is the Role of the leader.
const roleLeader = "leader"

// fleetMetricPrefix begins the names of the metrics of a gateway's fleet part.
const fleetMetricPrefix = "dunemoor_fleet_"

// Status is a gateway's status in its fleet, as it reports it itself.
type Status struct {
	Role     string `json:"role"`
	Leader   string `json:"leader"`
	Session  uint64 `json:"session"`  // 0: it has none
	Sessions int    `json:"sessions"` // open sessions that it knows, its own among them
	Leases   []struct {
		Name   string `json:"name"`
		Holder string `json:"owner"`
	} `json:"duties"`
	// Relay is the gateway's stream to a relay, in a fleet with relays.
	Relay *struct {
		Name    string `json:"name"` // "": it has no stream
		SinceMS int64  `json:"since_ms"`
	} `json:"relay,omitempty"`
	// JoinedUnixNano is when the stream was accepted, in nanoseconds since 1970, computed by the hollow host
	// when it answered.
	JoinedUnixNano int64 `json:"joined,omitempty"`
	// Streams are those that a relay holds.
	Streams *struct {
		Streams int `json:"streams"`
	} `json:"streams,omitempty"`
	// Metrics are the metrics dunemoor_fleet_*, by name without that prefix, where they were asked for.
	Metrics map[string]float64 `json:"counts,omitempty"`
}

// setJoined sets JoinedUnixNano by the age of the stream.
func (s *Status) setJoined(now time.Time) {
	if s.Relay == nil || s.Relay.Name == "" {
		return
	}
	s.JoinedUnixNano = now.UnixNano() - s.Relay.SinceMS*int64(time.Millisecond)
}

// complete reports whether a gateway has a session and a leader, knows a number of open sessions, and knows a
// holder of each lease: one a pool and that of housekeeping.
func (s *Status) complete(sessions, pools int) bool {
	if s.Session == 0 || s.Leader == "" || s.Sessions != sessions {
		return false
	}
	if len(s.Leases) <= pools {
		return false
	}
	for _, lease := range s.Leases {
		if lease.Holder == "" {
			return false
		}
	}
	return true
}

// parseFleetMetrics returns the metrics of a gateway's fleet part from the text format of Prometheus, by name
// without their prefix. Lines that are no such metric are ignored.
func parseFleetMetrics(text string) map[string]float64 {
	values := map[string]float64{}
	for line := range strings.Lines(text) {
		name, number, _ := strings.Cut(strings.TrimSpace(line), " ")
		name, isFleet := strings.CutPrefix(name, fleetMetricPrefix)
		if !isFleet {
			continue
		}
		if value, err := strconv.ParseFloat(number, 64); err == nil {
			values[name] = value
		}
	}
	return values
}
