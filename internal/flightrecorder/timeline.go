package flightrecorder

import (
	"fmt"

	"dunemoor/balancer"
)

// HostTimeline is the state of a host over time, in buckets.
type HostTimeline struct {
	ID        balancer.HostID
	Name      string // empty if the recording has no name
	Sent      int    // attempts sent to the host
	Succeeded int    // attempts that succeeded
	Buckets   []HostBucket
}

// HostBucket is the sum of the samples of a host in a bucket.
type HostBucket struct {
	Samples             int            // number of samples
	InFlightSum         float64        // sum of the attempts in flight
	ConcurrencyLimitSum float64        // sum of the concurrency limits
	RecentRTTSum        float64        // sum of balancer.HostView.RecentRTT
	Reasons             map[string]int // samples by balancer.HostView.Unavailable, "" if that has no reason
}

// The mean methods return means over the samples, or 0 if there are none.

func (b *HostBucket) meanInFlight() float64 { return b.InFlightSum / float64(max(b.Samples, 1)) }
func (b *HostBucket) meanConcurrencyLimit() float64 {
	return b.ConcurrencyLimitSum / float64(max(b.Samples, 1))
}
func (b *HostBucket) meanRecentRTT() float64 { return b.RecentRTTSum / float64(max(b.Samples, 1)) }

// ejectedReason is the result of balancer.HostView.Unavailable for an ejected host. silentReason replaces it if the
// host was ejected for silence.
const (
	ejectedReason = "ejected"
	silentReason  = "silent"
)

// addSample adds a sample to a bucket and returns the buckets, which it extends if needed.
func addSample(buckets []HostBucket, bucket int, v *balancer.HostView, reason string) []HostBucket {
	for len(buckets) <= bucket {
		buckets = append(buckets, HostBucket{})
	}
	b := &buckets[bucket]
	if b.Reasons == nil {
		b.Reasons = map[string]int{}
	}
	b.Samples++
	b.InFlightSum += float64(v.InFlight)
	b.ConcurrencyLimitSum += v.ConcurrencyLimit
	b.RecentRTTSum += v.RecentRTT
	if reason == ejectedReason && v.Cause == balancer.CauseSilent {
		reason = silentReason
	}
	b.Reasons[reason]++
	return buckets
}

// label returns the name of a host, or its ID if the name is unknown.
func (h *HostTimeline) label() string {
	if h.Name != "" {
		return h.Name
	}
	return formatHostID(h.ID)
}

func formatHostID(id balancer.HostID) string { return fmt.Sprintf("%x", uint64(id)) }

// stateLetter is the letter that stands for a reason in timelines.
type stateLetter struct {
	reason  string
	letter  byte
	meaning string
}

// stateLetters are the letters of timelines. A bucket shows the first one that applies to a third of its samples.
// The reasons are those of balancer.HostView.Unavailable, which doesn't cover all reasons for which the balancer
// doesn't choose a host: a host with a trial request in flight, a host suspected to be silent, and a host excluded
// for a class have no letter and count as available.
var stateLetters = []stateLetter{
	{"gone", ' ', "gone"},
	{"draining", 'd', "draining"},
	{ejectedReason, 'X', "ejected, connections fail"},
	{silentReason, 'S', "ejected as silent"},
	{"cold", 'c', "cold, waiting its turn"},
	{"resting", 'r', "resting, its limit is below one"},
	{"overdue", 'o', "its oldest attempt is overdue"},
	{"full", 'f', "at its limit"},
	{"not drawn", '-', "not drawn from"},
}

const (
	noSamplesLetter = ' '
	availableLetter = '.'
	// letterDivisor: a letter is shown if it applies to at least 1/letterDivisor of the samples.
	letterDivisor = 3
)

// letter returns the letter that stands for a bucket.
func (b *HostBucket) letter() byte {
	if b.Samples == 0 {
		return noSamplesLetter
	}
	for _, l := range stateLetters {
		if letterDivisor*b.Reasons[l.reason] >= b.Samples {
			return l.letter
		}
	}
	return availableLetter
}
