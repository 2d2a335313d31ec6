package flightrecorder

import (
	"fmt"

	"dunemoor/balancer"
)

// HostTimeline is the state of a host, bucket by bucket.
type HostTimeline struct {
	ID        balancer.HostID
	Name      string // "": it is not recorded
	Sent      int    // attempts
	Succeeded int    // of Sent
	Buckets   []HostBucket
}

// HostBucket sums up the samples of a host within a bucket.
type HostBucket struct {
	Samples             int
	InFlightSum         float64        // of the attempts in flight
	ConcurrencyLimitSum float64        // of the concurrency limits
	RecentRTTSum        float64        // of balancer.HostView.RecentRTT
	Reasons             map[string]int // samples by balancer.HostView.Unavailable; "": no reason that a view has
}

// The means over the samples; 0 without any.
func (b *HostBucket) meanInFlight() float64 { return b.InFlightSum / float64(max(b.Samples, 1)) }
func (b *HostBucket) meanConcurrencyLimit() float64 {
	return b.ConcurrencyLimitSum / float64(max(b.Samples, 1))
}
func (b *HostBucket) meanRecentRTT() float64 { return b.RecentRTTSum / float64(max(b.Samples, 1)) }

// ejectedReason is balancer.HostView.Unavailable of an ejected host, silentReason what it counts as where the
// host was ejected for silence.
const (
	ejectedReason = "ejected"
	silentReason  = "silent"
)

// addSample adds a sample to its bucket.
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

// label is the name of a host, or its id.
func (h *HostTimeline) label() string {
	if h.Name != "" {
		return h.Name
	}
	return formatHostID(h.ID)
}

func formatHostID(id balancer.HostID) string { return fmt.Sprintf("%x", uint64(id)) }

// stateLetter is the letter of a reason in time lines.
type stateLetter struct {
	reason  string
	letter  byte
	meaning string
}

// stateLetters are the letters of time lines. A bucket shows the first one that holds for a third of its
// samples. The reasons are those of balancer.HostView.Unavailable, which does not know everything that keeps the
// balancer from a host: one whose trial request is in flight, one that is suspected to be silent, and one that is
// excluded for a class have no letter here and count as available.
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
	// letterDivisor: a letter is shown from this part of the samples on.
	letterDivisor = 3
)

// letter is the letter of a bucket.
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
