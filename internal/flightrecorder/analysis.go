package flightrecorder

import (
	"io"
	"slices"
	"strings"
	"time"

	"dunemoor/balancer"
)

// Analysis summarizes a part of a recording: the outcome of the requests, why some were rejected, and the state
// of each host. It is computed by replaying the recording, so that the balancer's state is known at each event.
type Analysis struct {
	Report
	Gateway    string
	Build      string
	ClassNames []string
	From       balancer.Time   // time of the first event in the window
	To         balancer.Time   // time of the last event in the window
	Wall       time.Time       // From on the wall clock, which is read once, at the start of the session
	BucketSize time.Duration   // duration of a bucket in Rates and in the timelines of Hosts
	Hosts      []*HostTimeline // sorted as text by name, or by hexadecimal ID if the recording has no name
	Classes    []ClassCounts
	Rates      []RateBucket
	// TimedOutWaiting is the number of requests that timed out while they waited for a host and the subset had one in
	// state balancer.Ready. WaitReasons distributes it over the states that the hosts had at that time: each request
	// counts 1, divided equally among the ready hosts of the subset.
	TimedOutWaiting int
	WaitReasons     map[string]float64
	Ejections       []Ejection // the first maxEjections
	EjectionCount   int        // all ejections
	// FromViews is set if this build decides differently. The states of Hosts then come from the recorded views, and
	// TimedOutWaiting, WaitReasons, Ejections and EjectionCount are zero or empty.
	FromViews bool
}

// RateBucket counts the requests that arrived in a bucket, and those that were served, rejected or failed in it.
type RateBucket struct{ Requests, Served, Rejected, Failed int }

// rateSeries are the rates that timelines and plots show. The headings are the terms of earlier builds, see
// Analysis.Text.
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
	InTime    int // served within the latency objective, 0 if the class has none; included in Served
	Rejected  int
	Failed    int
	Abandoned int                    // requests whose client disconnected before the response
	Causes    map[balancer.Cause]int // number of Rejected and Failed requests by cause
	latencies []time.Duration        // latencies of the Served requests
}

// Ejection describes the ejection of a host.
type Ejection struct {
	At       balancer.Time
	Host     balancer.HostID
	Cause    balancer.Cause
	Request  balancer.RequestID // request whose attempt caused the ejection, or that of the oldest attempt in flight
	Class    int                // class of Request; -1: no request is known
	Age      time.Duration      // time since Request's attempt was sent
	InFlight int                // attempts in flight at the host
}

// maxEjections is the maximum number of ejections that an Analysis describes.
const maxEjections = 200

// defaultBucketSize is the duration of a bucket if a Window doesn't set it.
const defaultBucketSize = 500 * time.Millisecond

// Window is the part of a recording that is analyzed. From and To are relative to the first event.
type Window struct {
	From   time.Duration
	To     time.Duration // 0: the end of the recording
	Bucket time.Duration // duration of a bucket; 0: defaultBucketSize
}

// Analyze replays a recording and summarizes a part of it. It returns the errors of Replay.
func Analyze(in io.Reader, window Window) (*Analysis, error) {
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
