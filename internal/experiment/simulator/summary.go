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
	Attempts           int              `json:"attempts"` // attempts of all gateways
	Events             int              `json:"events"`
	ConnectionsPerHost float64          `json:"conns"`         // mean number of connections opened per host
	MaxToMeanLoad      float64          `json:"worst_of_mean"` // work per core of the busiest host, as a multiple of the mean
	Load               []float64        `json:"load"`          // work done per core and second, by host
	Violations         [ruleCount]int   `json:"broken"`        // number of violations, by Rule
	ViolationDetails   []string         `json:"why"`           // descriptions of the first maxViolationDetails violations
	Gateways           []GatewaySummary `json:"gateways"`
}

// ClassSummary is the outcome of a class. Each first request is counted once in InTime, Late, Rejected, Failed or
// Abandoned, by the outcome of the last of its retries.
type ClassSummary struct {
	Name           string  `json:"name"`
	PriorityWeight float64 `json:"worth"`
	FirstRequests  int     `json:"asked"`
	InTime         int     `json:"in_time"` // within the latency objective, counted from the first request
	Late           int     `json:"late"`
	Rejected       int     `json:"refused"`
	Failed         int     `json:"failed"`
	Abandoned      int     `json:"left"`  // no response: the gateway crashed or refused the connection, or the client disconnected
	Requests       int     `json:"tries"` // including retries
	// Causes counts the rejected and failed requests by balancer.Cause.
	Causes [causeCount]int `json:"why"`

	// Latency is the time from the first request to the response, in microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
}

// causeCount is the number of values of balancer.Cause.
const causeCount = int(balancer.CauseLowerPriority) + 1

// maxLatency is the longest latency that ClassSummary.Latency records.
const maxLatency = time.Hour

// Second is the outcome of the first requests sent in a second, and counts of the events in that second.
type Second struct {
	FirstRequests int `json:"asked"`
	InTime        int `json:"in_time"` // those of FirstRequests with a response within the latency objective

	// Events of the whole fleet in this second.
	Rejected            int     `json:"refused"`
	Handshakes          int     `json:"handshakes"`
	WarmingAttempts     int     `json:"cold_sends"` // attempts at hosts that are warming up
	UnavailableAttempts int     `json:"dead_sends"` // attempts at hosts that are down, hang or are unreachable
	Polls               int     `json:"list_calls"`
	IdleShare           float64 `json:"idle"` // unused share of the capacity of reachable hosts
}

// GatewaySummary is the outcome of a gateway.
type GatewaySummary struct {
	Requests int `json:"tries"`
	Rejected int `json:"refused"`
}

// InTimeShare returns the share of the first requests that got their response within the latency objective.
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

// currentSecond returns the counts of the current second. Counts after the last second of the Summary are discarded.
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

// finishSummary computes the figures that are known only at the end of the run.
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
