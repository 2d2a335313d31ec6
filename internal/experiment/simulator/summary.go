package simulator

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunemoor/balancer"
)

// Summary is the outcome of a run.
type Summary struct {
	Classes            []ClassSummary   `json:"classes"`
	Seconds            []Second         `json:"seconds"`
	Attempts           int              `json:"attempts"` // of gateways
	Events             int              `json:"events"`
	ConnectionsPerHost float64          `json:"conns"`         // opened, on average
	MaxToMeanLoad      float64          `json:"worst_of_mean"` // work of the busiest host, as a multiple of the mean
	Load               []float64        `json:"load"`          // work done per core and second, by host
	Violations         [ruleCount]int   `json:"broken"`        // by Rule
	ViolationDetails   []string         `json:"why"`           // of the first maxViolationDetails
	Gateways           []GatewaySummary `json:"gateways"`
}

// ClassSummary is the outcome of a class. Each first request is counted once in InTime, Late, Rejected,
// Failed or Abandoned, by how the last of its retries ended.
type ClassSummary struct {
	Name           string  `json:"name"`
	PriorityWeight float64 `json:"worth"`
	FirstRequests  int     `json:"asked"`
	InTime         int     `json:"in_time"` // within the latency objective, counted from the first request
	Late           int     `json:"late"`
	Rejected       int     `json:"refused"`
	Failed         int     `json:"failed"`
	Abandoned      int     `json:"left"`  // without a response: the gateway died, or the client left
	Requests       int     `json:"tries"` // with retries
	// Causes counts the requests that gateways rejected or failed, by balancer.Cause.
	Causes [causeCount]int `json:"why"`

	// Latency is the time from the first request to the response, in microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
}

// causeCount is the number of causes that balancer.Cause has.
const causeCount = int(balancer.CauseLowerPriority) + 1

// maxLatency is the longest time that ClassSummary.Latency records.
const maxLatency = time.Hour

// Second is the outcome of the first requests of a second, and what happened in it.
type Second struct {
	FirstRequests int `json:"asked"`
	InTime        int `json:"in_time"` // of FirstRequests

	// Over the whole fleet.
	Rejected            int     `json:"refused"`
	Handshakes          int     `json:"handshakes"`
	WarmingAttempts     int     `json:"cold_sends"` // attempts at hosts that are warming up
	UnavailableAttempts int     `json:"dead_sends"` // attempts at hosts that are down, hang or can't be reached
	Polls               int     `json:"list_calls"`
	IdleShare           float64 `json:"idle"` // share of the capacity of reachable hosts that was not used
}

// GatewaySummary is the outcome of a gateway.
type GatewaySummary struct {
	Requests int `json:"tries"`
	Rejected int `json:"refused"`
}

// InTimeShare is the share of the first requests that had their response within the latency objective.
func (s *Summary) InTimeShare() float64 {
	requests := 0
	inTime := 0
	for _, c := range s.Classes {
		requests += c.FirstRequests
		inTime += c.InTime
	}
	if requests == 0 {
		return 1
	}
	return float64(inTime) / float64(requests)
}

// WeightedInTimeShare is InTimeShare with each request counted by the priority weight of its class.
func (s *Summary) WeightedInTimeShare() float64 {
	requests := 0.0
	inTime := 0.0
	for _, c := range s.Classes {
		requests += c.PriorityWeight * float64(c.FirstRequests)
		inTime += c.PriorityWeight * float64(c.InTime)
	}
	if requests == 0 {
		return 1
	}
	return inTime / requests
}

// newClassSummary returns the empty summary of a class.
func newClassSummary(t Traffic, class balancer.Class) ClassSummary {
	const significantDigits = 3
	return ClassSummary{
		Name:           t.Name,
		PriorityWeight: cmp.Or(class.PriorityWeight, 1),
		Latency:        hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
}

// currentSecond returns the counts of this second. Counts after the last one are not part of the Summary.
func (s *simulation) currentSecond() *Second {
	if i := int(s.now.Seconds()); i < len(s.summary.Seconds) {
		return &s.summary.Seconds[i]
	}
	return &s.afterRun
}

// countIdleCapacity sets the IdleShare of the second that has just ended.
func (s *simulation) countIdleCapacity() {
	workDone := 0.0
	capacity := 0.0
	for _, h := range s.hosts {
		s.advance(h)
		workDone += h.workDone
		reachable := h.running && !h.silent && !h.hung && !h.partitioned
		if reachable {
			capacity += s.coreSpeed(h) * float64(h.Cores)
		}
	}
	if capacity > 0 {
		second := &s.summary.Seconds[int(s.now.Seconds())-1]
		second.IdleShare = max(0, 1-(workDone-s.workDoneBefore)/capacity)
	}
	s.workDoneBefore = workDone
}

// finishSummary computes what is known only at the end.
func (s *simulation) finishSummary() {
	total := 0.0
	highest := 0.0
	for _, h := range s.hosts {
		s.advance(h)
		workPerCore := h.workDone / float64(h.Cores)
		s.summary.Load = append(s.summary.Load, workPerCore/s.config.Length.Seconds())
		total += workPerCore
		highest = max(highest, workPerCore)
	}
	if total > 0 {
		mean := total / float64(len(s.hosts))
		s.summary.MaxToMeanLoad = highest / mean
	}
	s.summary.ConnectionsPerHost /= float64(len(s.hosts))
}
