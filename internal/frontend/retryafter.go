package frontend

import (
	"math"
	"strconv"
	"time"
)

// UnavailableRetryAfter is the Retry-After of a 503 response that a frontend generates because there is no memory for the
// body, too many tunnels are open, or the gateway is starting. Most open requests end within this time and release
// their resources. Three other cases have their own rules: overload.RetryAfter (retryafter.go) for a RejectedError, the
// balancer for a request that it rejects, and the engine for a rejected request with a streamed body.
const UnavailableRetryAfter = 100 * time.Millisecond

// FormatRetryAfter returns the value of a Retry-After header in seconds. With wholeSeconds it is rounded up to an
// integer (RFC 9110, 10.2.3); clients of the platform's protocol accept decimal fractions.
func FormatRetryAfter(after time.Duration, wholeSeconds bool) string {
	seconds := after.Seconds()
	if wholeSeconds {
		seconds = math.Ceil(seconds)
	}
	return strconv.FormatFloat(seconds, 'f', -1, 64)
}
