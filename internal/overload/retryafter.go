package overload

import (
	"math"
	"time"
)

const (
	// backoffLevels is how often Retry-After doubles from where nothing is shed to where everything is.
	backoffLevels = 4
	// maxBackoffLevel bounds the doubling.
	maxBackoffLevel = 16
	// A Retry-After is spread from minSpread to maxSpread of its value.
	minSpread, maxSpread = 0.5, 1.5
)

// BackoffLevel returns the level that RetryAfter takes, from 0 to backoffLevels.
func (c *Controller) BackoffLevel() float64 { return backoffLevels * c.Shed() }

// RetryAfter returns when a client whose request was rejected may come back: a base that doubles with each level, up to a
// limit, spread by the client. So a client is given the same each time, and clients that were rejected together come back
// spread over as long as they were told to wait.
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
