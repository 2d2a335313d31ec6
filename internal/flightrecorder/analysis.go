package flightrecorder

import (
	"io"
	"slices"
	"strings"
	"time"

	"dunemoor/balancer"
)

// Analysis summarizes a part of a recording: the outcome of the requests, why some were rejected, and the state
// of each host. It is made by a replay, so that the balancer's state is known at each event.
type Analysis struct {
	Report
	Gateway    string
	Build      string
	ClassNames []string
	From       balancer.Time   // of the first event in the window
	To         balancer.Time   // of the last event in the window
	Wall       time.Time       // of From, by the wall clock as it was at the start of the session
	BucketSize time.Duration   // of Rates and of the hosts' buckets
	Hosts      []*HostTimeline // in the order of their names, or IDs where they have none
	Classes    []ClassCounts
	Rates      []RateBucket
	// TimedOutWaiting is the number of requests that waited for a host in vain. WaitReasons distributes it by
	// the state of the hosts meanwhile: each request counts 1, in equal parts for each host of the subset.
	TimedOutWaiting int
	WaitReasons     map[string]float64
	Ejections       []Ejection // the first maxEjections
	EjectionCount   int
	FromViews       bool // hosts are as the recorded views have them, as this build decides otherwise
}

// RateBucket counts the requests that came, and the responses, in a bucket.
type RateBucket struct{ Requests, Served, Rejected, Failed int }

// rateSeries are the rates that time lines and plots show; the headings are words of earlier builds, see Analysis.Text.
var rateSeries = []struct {
	heading string
	color   string
	count   func(RateBucket) int
}{
	{"asked", requestsColor, func(r RateBucket) int { return r.Requests }},
	{"served", servedColor, func(r RateBucket) int { return r.Served }},
	{"refused", rejectedColor, func(r RateBucket) int { return r.Rejected }},
	{"failed", failedColor, func(r RateBucket) int { return r.Failed }},
}

// ClassCounts is the outcome of the requests of a class.
type ClassCounts struct {
	Requests  int
	Served    int
	InTime    int // of Served, within the latency objective
	Rejected  int
	Failed    int
	Abandoned int                    // the client left
	Causes    map[balancer.Cause]int // of Rejected and Failed
	latencies []time.Duration        // of Served
}

// Ejection is a host that was ejected.
type Ejection struct {
	At       balancer.Time
	Host     balancer.HostID
	Cause    balancer.Cause
	Request  balancer.RequestID // whose end was the cause, or the oldest in flight at the host
	Class    int                // of Request; -1: there was none
	Age      time.Duration      // of Request's attempt
	InFlight int                // attempts in flight at the host
}

// maxEjections is the number of ejections that an Analysis describes.
const maxEjections = 200

// defaultBucketSize is the size of a bucket where a Window doesn't set it.
const defaultBucketSize = 500 * time.Millisecond

// Window is the part of a recording that is analyzed. Times count from the first event.
type Window struct {
	From   time.Duration
	To     time.Duration // 0: the end
	Bucket time.Duration // 0: 500 ms
}

// Analyse replays a recording and summarizes a part of it. The errors are those of Replay.
func Analyse(in io.Reader, window Window) (*Analysis, error) {
	if window.Bucket <= 0 {
		window.Bucket = defaultBucketSize
	}
	a := newAnalyzer(window)
	report, err := Replay(NewReader(in), a.observe, a.observeItem)
	if err != nil {
		return nil, err
	}
	a.Report = *report
	if a.Divergence != nil {
		a.useViews()
	}
	for _, h := range a.Hosts {
		h.Name = a.hostNames[h.ID]
	}
	slices.SortFunc(a.Hosts, func(x, y *HostTimeline) int { return strings.Compare(x.label(), y.label()) })
	return a.Analysis, nil
}
