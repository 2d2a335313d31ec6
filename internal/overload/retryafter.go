package overload

import (
	"math"
	"time"
)

const (
	// backoffLevels is how often Retry-After is doubled when everything is shed, relative to when nothing is.
	backoffLevels = 4
	// maxBackoffLevel bounds the exponent of the doubling.
	maxBackoffLevel = 16
	// A Retry-After is multiplied by a factor from minSpread to maxSpread, which depends on the client.
	minSpread, maxSpread = 0.5, 1.5
)

// BackoffLevel returns the level that RetryAfter takes, from 0 to backoffLevels.
func (c *Controller) BackoffLevel() float64 { return backoffLevels * c.Shed() }

// RetryAfter returns the time after which a client whose request was rejected may retry: a base that doubles with
// each level, up to a limit, multiplied by a factor that depends on the client. So a client gets the same value each
// time, and clients that were rejected together return spread over a time as long as the mean value.
func RetryAfter(level float64, base, limit time.Duration, client uint64) time.Duration {
	d := float64(base) * math.Exp2(min(level, maxBackoffLevel))
	d = min(d, float64(limit)/maxSpread)
	return time.Duration(d * (minSpread + float64(mixBits(client)>>11)/(1<<53)))
}

// mixBits spreads the bits of z (the finalizer of splitmix64).
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
