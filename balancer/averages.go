package balancer

import "math"

// movingAverage is an exponential moving average with its mean deviation. The first sample sets it.
type movingAverage struct {
	mean, dev float64
	seen      bool
	n         int // samples of addLong
	at        Time
}

// add adds a sample with meanWeight.
func (m *movingAverage) add(x float64) { m.blend(x, meanWeight) }

// addLong adds a sample. All have the same weight at first, and then longTermWeight.
func (m *movingAverage) addLong(x float64) {
	m.n++
	m.blend(x, max(1/float64(m.n), longTermWeight))
}

// addAt adds a sample with more weight the longer ago the last one is, so that the average has a span
// however rare the samples are.
func (m *movingAverage) addAt(x float64, now Time, span float64) {
	w := 1 - math.Exp(-(now-m.at).Seconds()/span)
	m.at = now
	m.blend(x, min(max(w, meanWeight), maxRecentWeight))
}

func (m *movingAverage) blend(x, w float64) {
	if !m.seen {
		m.mean, m.dev, m.seen = x, x/2, true
		return
	}
	m.dev += w * (math.Abs(x-m.mean) - m.dev)
	m.mean += w * (x - m.mean)
}

// decayingRate is a decaying count of events, a second.
type decayingRate struct {
	rate float64
	at   Time

	seenAt Time // when it was last read
	seen   float64
}

// now returns the rate at a time. The span is always the same. The rate is often read several times at an
// instant, and computed once.
func (r *decayingRate) now(now Time, span float64) float64 {
	if now != r.seenAt {
		r.seen, r.seenAt = r.rate*math.Exp(-(now-r.at).Seconds()/span), now
	}
	return r.seen
}

func (r *decayingRate) add(now Time, span float64) {
	r.rate, r.at = r.now(now, span)+1/span, now
	r.seen = r.rate
}

// decayingShare is a share that decays while nothing is added.
type decayingShare struct {
	share float64
	at    Time
}

func (f *decayingShare) now(now Time, span float64) float64 {
	return f.share * math.Exp(-(now-f.at).Seconds()/span)
}

// tokenBucket limits a tenant's requests to its quota.
type tokenBucket struct {
	tokens, rate float64
	at           Time
}

// takeToken takes a token for one request. It reports false where the tenant is over its quota.
func (t *tokenBucket) takeToken(now Time) bool {
	if t.rate <= 0 {
		return true
	}
	t.tokens = min(t.tokens+(now-t.at).Seconds()*t.rate, max(1, t.rate*quotaBurst))
	t.at = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
