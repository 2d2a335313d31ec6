package balancer

import "math"

// Weights of samples in moving averages.
const (
	meanSampleWeight     = 0.1       // the last ten samples make up most of a mean
	longTermSampleWeight = 1.0 / 256 // a short overload must not change a typical RTT
	maxSpanSampleWeight  = 0.5       // of one sample in a mean over a span, however long ago the last one is
)

// movingAverage is an exponential moving average with its mean deviation. The first sample sets the mean, and
// the deviation to half of it.
type movingAverage struct {
	mean, dev float64
	seen      bool // there was a sample
	n         int  // samples of addLongTerm
	at        Time // of the last sample of addOverSpan
}

// add adds a sample with meanSampleWeight.
func (m *movingAverage) add(sample float64) { m.blend(sample, meanSampleWeight) }

// addLongTerm adds a sample. All samples have the same weight at first, and then longTermSampleWeight.
func (m *movingAverage) addLongTerm(sample float64) {
	m.n++
	m.blend(sample, max(1/float64(m.n), longTermSampleWeight))
}

// addOverSpan adds a sample, with more weight the longer ago the last one is, so that the average covers a
// span, in seconds, however rare the samples are.
func (m *movingAverage) addOverSpan(sample float64, now Time, span float64) {
	weight := 1 - math.Exp(-(now-m.at).Seconds()/span)
	m.at = now
	m.blend(sample, min(max(weight, meanSampleWeight), maxSpanSampleWeight))
}

// blend adds a sample with a weight between 0 and 1.
func (m *movingAverage) blend(sample, weight float64) {
	if !m.seen {
		m.mean = sample
		m.dev = sample / 2
		m.seen = true
		return
	}
	m.dev += weight * (math.Abs(sample-m.mean) - m.dev)
	m.mean += weight * (sample - m.mean)
}

// decayingRate is an exponentially decaying count of events, as events a second.
type decayingRate struct {
	rate float64 // at the time at
	at   Time

	// The rate is often read several times at an instant, and computed once.
	readAt   Time
	readRate float64
}

// now returns the rate at a time, in events a second. The span of the decay, in seconds, is the same in all
// calls.
func (r *decayingRate) now(now Time, span float64) float64 {
	if now != r.readAt {
		r.readRate = r.rate * math.Exp(-(now-r.at).Seconds()/span)
		r.readAt = now
	}
	return r.readRate
}

// add counts an event.
func (r *decayingRate) add(now Time, span float64) {
	r.rate = r.now(now, span) + 1/span
	r.at = now
	r.readRate = r.rate
}

// decayingShare is a share between 0 and 1 that decays while nothing is added.
type decayingShare struct {
	share float64 // at the time at
	at    Time
}

// now returns the share at a time. The span of the decay is in seconds.
func (s *decayingShare) now(now Time, span float64) float64 {
	return s.share * math.Exp(-(now-s.at).Seconds()/span)
}
