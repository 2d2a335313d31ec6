package balancer

import "math"

// Weights of a sample in the moving averages.
const (
	meanSampleWeight     = 0.1       // the last ten samples make up most of the mean
	longTermSampleWeight = 1.0 / 256 // low, so that a short overload does not change a typical RTT
	maxSpanSampleWeight  = 0.5       // upper bound in addOverSpan, however long ago the last sample was added
)

// movingAverage is an exponential moving average with its mean deviation. The first sample sets the mean to
// the sample and the deviation to half of it.
type movingAverage struct {
	mean, dev float64
	seen      bool // a sample has been added
	n         int  // number of samples added by addLongTerm
	at        Time // time of the last sample added by addOverSpan
}

// add adds a sample with meanSampleWeight.
func (m *movingAverage) add(sample float64) { m.blend(sample, meanSampleWeight) }

// addLongTerm adds a sample. The first samples are weighted equally; later ones have longTermSampleWeight.
func (m *movingAverage) addLongTerm(sample float64) {
	m.n++
	m.blend(sample, max(1/float64(m.n), longTermSampleWeight))
}

// addOverSpan adds a sample with a weight that grows with the time since the last one. The average then
// covers about span seconds, however rare the samples are.
func (m *movingAverage) addOverSpan(sample float64, now Time, span float64) {
	weight := 1 - exp(-(now-m.at).Seconds()/span)
	m.at = now
	m.blend(sample, min(max(weight, meanSampleWeight), maxSpanSampleWeight))
}

// blend adds a sample with the given weight between 0 and 1.
func (m *movingAverage) blend(sample, weight float64) {
	if !m.seen {
		m.mean = sample
		m.dev = sample / 2
		m.seen = true
		return
	}
	m.dev += float64(weight * (math.Abs(sample-m.mean) - m.dev))
	m.mean += float64(weight * (sample - m.mean))
}

// decayingRate is an exponentially decaying event rate, in events per second.
type decayingRate struct {
	rate float64 // value at the time at
	at   Time

	// The value of the last call of now is cached, because the rate is often read several times at the same
	// instant.
	readAt   Time
	readRate float64
}

// now returns the rate at the given time, in events per second. span is the time constant of the decay in
// seconds and must be the same in all calls.
func (r *decayingRate) now(now Time, span float64) float64 {
	if now != r.readAt {
		r.readRate = r.rate * exp(-(now-r.at).Seconds()/span)
		r.readAt = now
	}
	return r.readRate
}

// add counts an event at the given time.
func (r *decayingRate) add(now Time, span float64) {
	r.rate = r.now(now, span) + 1/span
	r.at = now
	r.readRate = r.rate
}

// decayingShare is a share between 0 and 1 that decays exponentially between updates.
type decayingShare struct {
	share float64 // value at the time at
	at    Time
}

// now returns the share at the given time. span is the time constant of the decay in seconds.
func (s *decayingShare) now(now Time, span float64) float64 {
	return s.share * exp(-(now-s.at).Seconds()/span)
}
