package hollow

import (
	"strconv"
	"strings"
	"time"
)

// roleLeader is the value of Status.Role of the leader.
const roleLeader = "leader"

// fleetMetricPrefix is the prefix of the names of metrics of a gateway's fleet part.
const fleetMetricPrefix = "dunemoor_fleet_"

// Status is a gateway's own report of its status in the fleet.
type Status struct {
	Role     string `json:"role"`
	Leader   string `json:"leader"`
	Session  uint64 `json:"session"`  // id of the gateway's session; 0: it has none
	Sessions int    `json:"sessions"` // number of open sessions in its state, including its own
	Leases   []struct {
		Name   string `json:"name"`
		Holder string `json:"owner"`
	} `json:"duties"`
	// Relay is the gateway's stream to a relay, in a fleet with relays.
	Relay *struct {
		Name    string `json:"name"` // name of the relay; "": it has no stream
		SinceMS int64  `json:"since_ms"`
	} `json:"relay,omitempty"`
	// JoinedUnixNano is the time at which the stream was accepted, in nanoseconds since 1970. The hollow host
	// computes it when it replies.
	JoinedUnixNano int64 `json:"joined,omitempty"`
	// Streams describes the streams that a relay holds.
	Streams *struct {
		Streams int `json:"streams"`
	} `json:"streams,omitempty"`
	// Metrics are the values of the metrics dunemoor_fleet_*, by name without that prefix, if they were requested.
	Metrics map[string]float64 `json:"counts,omitempty"`
}

// setJoined computes JoinedUnixNano from the age of the stream.
func (s *Status) setJoined(now time.Time) {
	if s.Relay == nil || s.Relay.Name == "" {
		return
	}
	s.JoinedUnixNano = now.UnixNano() - s.Relay.SinceMS*int64(time.Millisecond)
}

// complete reports whether a gateway has a session and a leader, the given number of open sessions in its state, and
// a holder of each lease: one lease per pool, and the housekeeping lease.
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

// parseFleetMetrics parses the metrics of a gateway's fleet part from the Prometheus text format, by name without
// their prefix. Other lines are ignored.
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
