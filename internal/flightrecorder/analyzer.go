package flightrecorder

import (
	"time"

	"dunemoor/balancer"
)

const (
	// samplesPerBucket is the maximum number of samples of the hosts' state in a bucket. Samples are taken at events.
	samplesPerBucket = 8
	// maxHostsPerEvent is the maximum number of hosts that are inspected after each event, so that no ejection is
	// missed. With more hosts, an ejection that ends between two samples is missed.
	maxHostsPerEvent = 64
	// outsideWindow is the bucket number of times outside the window.
	outsideWindow = -1
	// readyReason is the wait reason of a host for which balancer.HostView.Unavailable returns no reason.
	readyReason = "ready now"
)

// attemptKey identifies an attempt; number counts from 0 within its request.
type attemptKey struct {
	request balancer.RequestID
	number  int
}

// openAttempt is an attempt in flight.
type openAttempt struct {
	host   balancer.HostID
	sentAt balancer.Time
	class  int
}

// openRequest is a request without a final response.
type openRequest struct {
	at       balancer.Time
	class    int
	attempts int
}

// analyzer observes a replay and builds an Analysis.
type analyzer struct {
	*Analysis
	window       Window
	firstEventAt balancer.Time // 0: no event yet
	sessionStart balancer.Time
	settings     *balancer.Settings

	timelines     map[balancer.HostID]*HostTimeline
	hostNames     map[balancer.HostID]string
	openRequests  map[balancer.RequestID]*openRequest
	openAttempts  map[attemptKey]openAttempt
	ejectionsSeen map[balancer.HostID]int          // balancer.HostView.Ejections at the last inspection
	viewBuckets   map[balancer.HostID][]HostBucket // samples of the recorded views
	nextSampleAt  balancer.Time
	views         []balancer.HostView
}

func newAnalyzer(window Window) *analyzer {
	return &analyzer{
		Analysis:      &Analysis{BucketSize: window.Bucket, WaitReasons: map[string]float64{}},
		window:        window,
		timelines:     map[balancer.HostID]*HostTimeline{},
		hostNames:     map[balancer.HostID]string{},
		openRequests:  map[balancer.RequestID]*openRequest{},
		openAttempts:  map[attemptKey]openAttempt{},
		ejectionsSeen: map[balancer.HostID]int{},
		viewBuckets:   map[balancer.HostID][]HostBucket{},
	}
}

// observeItem processes an item other than an event or an action.
func (a *analyzer) observeItem(it *Item) {
	switch it.Kind {
	case ItemSession:
		a.startSession(it.Start)
	case ItemView:
		a.addViews(it)
	case ItemName:
		a.hostNames[it.Host] = it.Text
	case ItemLoss:
		a.discardOpen()
	}
}

func (a *analyzer) startSession(start *SessionStart) {
	a.Gateway = start.Name
	a.Build = start.Build
	a.ClassNames = start.Classes
	a.settings = &start.Settings
	for len(a.Classes) < len(start.Settings.Classes) {
		a.Classes = append(a.Classes, ClassCounts{Causes: map[balancer.Cause]int{}})
	}
	if a.From == 0 {
		a.Wall = start.Wall
		a.sessionStart = start.At
	}
	a.discardOpen()
}

// discardOpen discards the open requests and attempts. After a loss or a restart the recording doesn't contain their
// ends. After a Retune it does, but they are not counted.
func (a *analyzer) discardOpen() {
	clear(a.openRequests)
	clear(a.openAttempts)
}

func (a *analyzer) addViews(it *Item) {
	bucket := a.bucketAt(it.At)
	if a.firstEventAt == 0 || bucket == outsideWindow {
		return
	}
	for i := range it.Views {
		v := &it.Views[i]
		a.viewBuckets[v.Host] = addSample(a.viewBuckets[v.Host], bucket, v, v.Unavailable(it.At))
	}
}

// bucketAt returns the number of the bucket that contains a time, or outsideWindow.
func (a *analyzer) bucketAt(now balancer.Time) int {
	at := now - a.firstEventAt
	if at < a.window.From || (a.window.To > 0 && at >= a.window.To) {
		return outsideWindow
	}
	return int((at - a.window.From) / a.window.Bucket)
}

// observe processes an event and the recorded actions that it resulted in.
func (a *analyzer) observe(b *balancer.Balancer, e *Event, actions []balancer.Action) {
	if a.firstEventAt == 0 {
		a.firstEventAt = e.At
	}
	bucket := a.bucketAt(e.At)
	if bucket != outsideWindow {
		a.extendTo(e.At, bucket)
	}
	ended := a.processEvent(e, bucket)
	timedOutWaiting := 0
	for i := range actions {
		if a.processAction(&actions[i], e.At, bucket) {
			timedOutWaiting++
		}
	}
	if bucket != outsideWindow {
		a.inspectHosts(b, e, bucket, timedOutWaiting, ended)
	}
}

// extendTo extends the analyzed part of the recording to a time.
func (a *analyzer) extendTo(now balancer.Time, bucket int) {
	if a.From == 0 {
		a.From = now
		a.Wall = a.Wall.Add(now - a.sessionStart)
	}
	a.To = now
	for len(a.Rates) <= bucket {
		a.Rates = append(a.Rates, RateBucket{})
	}
}

// processEvent counts an event. It returns the attempt that the event ends, or nil.
func (a *analyzer) processEvent(e *Event, bucket int) *openAttempt {
	switch e.Kind {
	case EventRequest:
		a.openRequests[e.Request.ID] = &openRequest{at: e.At, class: e.Request.Class}
		if bucket != outsideWindow {
			a.Rates[bucket].Requests++
			a.Classes[e.Request.Class].Requests++
		}
	case EventClientGone:
		if class := a.closeRequest(e.Request.ID, bucket); class != nil {
			class.Abandoned++
		}
	case EventAttemptEnded:
		return a.attemptEnded(e, bucket)
	}
	return nil
}

// closeRequest removes an open request. It returns the counts of its class, or nil if the request isn't open or its
// end is outside the window.
func (a *analyzer) closeRequest(id balancer.RequestID, bucket int) *ClassCounts {
	r := a.openRequests[id]
	if r == nil {
		return nil
	}
	delete(a.openRequests, id)
	if bucket == outsideWindow {
		return nil
	}
	return &a.Classes[r.class]
}

func (a *analyzer) attemptEnded(e *Event, bucket int) *openAttempt {
	o := &e.Outcome
	key := attemptKey{o.Request, o.Attempt}
	var ended *openAttempt
	if attempt, ok := a.openAttempts[key]; ok {
		ended = &attempt
		delete(a.openAttempts, key)
		if o.Result == balancer.OK && bucket != outsideWindow {
			a.timeline(attempt.host).Succeeded++
		}
	}
	if o.Result == balancer.OK {
		a.requestServed(o.Request, e.At, bucket)
	}
	return ended
}

func (a *analyzer) requestServed(id balancer.RequestID, now balancer.Time, bucket int) {
	r := a.openRequests[id]
	class := a.closeRequest(id, bucket)
	if class == nil {
		return
	}
	latency := now - r.at
	class.Served++
	if latency <= a.settings.Classes[r.class].LatencyObjective {
		class.InTime++
	}
	class.latencies = append(class.latencies, latency)
	a.Rates[bucket].Served++
}

// processAction counts an action. It reports whether the action ends a request that timed out waiting for a host.
func (a *analyzer) processAction(action *balancer.Action, now balancer.Time, bucket int) (timedOutWaiting bool) {
	switch action.Kind {
	case balancer.Send:
		a.attemptSent(action, now, bucket)
	case balancer.Reject, balancer.Fail:
		a.requestRejected(action, bucket)
		return action.Cause == balancer.CauseQueueTimeout
	}
	return false
}

func (a *analyzer) attemptSent(action *balancer.Action, now balancer.Time, bucket int) {
	if r := a.openRequests[action.Request]; r != nil {
		a.openAttempts[attemptKey{action.Request, r.attempts}] = openAttempt{action.Host, now, r.class}
		r.attempts++
	}
	if bucket != outsideWindow {
		a.timeline(action.Host).Sent++
	}
}

// requestRejected counts a request that was rejected or failed.
func (a *analyzer) requestRejected(action *balancer.Action, bucket int) {
	class := a.closeRequest(action.Request, bucket)
	if class == nil {
		return
	}
	class.Causes[action.Cause]++
	if action.Kind == balancer.Reject {
		class.Rejected++
		a.Rates[bucket].Rejected++
	} else {
		class.Failed++
		a.Rates[bucket].Failed++
	}
}

// timeline returns the timeline of a host, and adds it if there is none.
func (a *analyzer) timeline(id balancer.HostID) *HostTimeline {
	h := a.timelines[id]
	if h == nil {
		h = &HostTimeline{ID: id}
		a.timelines[id] = h
		a.Hosts = append(a.Hosts, h)
	}
	return h
}

// inspectHosts samples the state of the hosts after an event, detects ejections, and adds the wait reasons of requests
// that timed out waiting for a host. ended is the attempt that the event ends, or nil.
func (a *analyzer) inspectHosts(b *balancer.Balancer, e *Event, bucket, timedOutWaiting int, ended *openAttempt) {
	sampleDue := e.At >= a.nextSampleAt
	if !sampleDue && timedOutWaiting == 0 && len(a.timelines) > maxHostsPerEvent {
		return
	}
	a.views = b.Views(a.views[:0])
	reasons := map[string]int{}
	inSubset := 0
	for i := range a.views {
		v := &a.views[i]
		reason := v.Unavailable(e.At)
		if v.State == balancer.Ready && v.InSubset {
			inSubset++
			reasons[reason]++
		}
		if v.Ejections > 0 && a.ejectionsSeen[v.Host] == 0 {
			a.addEjection(v, e, ended)
		}
		a.ejectionsSeen[v.Host] = v.Ejections
		if sampleDue {
			h := a.timeline(v.Host)
			h.Buckets = addSample(h.Buckets, bucket, v, reason)
		}
	}
	if sampleDue {
		a.nextSampleAt = e.At + a.window.Bucket/samplesPerBucket
	}
	if timedOutWaiting > 0 && inSubset > 0 {
		a.addWaitReasons(timedOutWaiting, reasons, inSubset)
	}
}

func (a *analyzer) addWaitReasons(requests int, reasons map[string]int, inSubset int) {
	a.TimedOutWaiting += requests
	for reason, hosts := range reasons {
		if reason == "" {
			reason = readyReason
		}
		a.WaitReasons[reason] += float64(requests) * float64(hosts) / float64(inSubset)
	}
}

// addEjection records an ejection with the request that explains it: the one whose attempt at the host has just ended,
// or otherwise the one with the oldest attempt in flight at the host. An ejection for silence is always explained by the
// oldest attempt in flight.
func (a *analyzer) addEjection(v *balancer.HostView, e *Event, ended *openAttempt) {
	a.EjectionCount++
	if len(a.Ejections) >= maxEjections {
		return
	}
	ejection := Ejection{At: e.At, Host: v.Host, Cause: v.Cause, InFlight: v.InFlight, Class: -1}
	byEndedAttempt := v.Cause != balancer.CauseSilent && ended != nil && ended.host == v.Host
	if byEndedAttempt {
		ejection.Request = e.Outcome.Request
		ejection.Class = ended.class
		ejection.Age = e.At - ended.sentAt
	} else {
		a.setOldestAttempt(&ejection)
	}
	a.Ejections = append(a.Ejections, ejection)
}

func (a *analyzer) setOldestAttempt(ejection *Ejection) {
	for key, attempt := range a.openAttempts {
		age := ejection.At - attempt.sentAt
		isOldest := ejection.Class < 0 || age > ejection.Age
		if attempt.host == ejection.Host && isOldest {
			ejection.Request = key.request
			ejection.Class = attempt.class
			ejection.Age = age
		}
	}
}

// useViews replaces the host states of the replay by those of the recorded views. It is used for recordings of a build
// that decided differently, for which the replayed state is not the state that the gateway had.
func (a *analyzer) useViews() {
	a.FromViews = true
	a.WaitReasons = map[string]float64{}
	a.TimedOutWaiting = 0
	a.Ejections = nil
	a.EjectionCount = 0
	for id, buckets := range a.viewBuckets {
		a.timeline(id).Buckets = buckets
	}
	for _, h := range a.Hosts {
		if a.viewBuckets[h.ID] == nil {
			h.Buckets = nil
		}
	}
}

// quantile returns a quantile of sorted durations, rounded to 10 µs; 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(10 * time.Microsecond)
}
