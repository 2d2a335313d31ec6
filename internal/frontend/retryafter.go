package frontend

import (
	"math"
	"strconv"
	"time"
)

// FullRetryAfter is the Retry-After of a request that a frontend answers with 503 by itself, as there is no memory for
// its body, too many tunnels are open, or the gateway is starting. Most requests end within it, and release what they
// hold. There are three others, each with its own rule: overload.RetryAfter (retryafter.go) for a RejectedError, the
// balancer's for a request that it rejects, and the engine's for a rejected request with a streamed body.
const FullRetryAfter = 100 * time.Millisecond

// FormatRetryAfter returns the value of a Retry-After header: in decimals for clients of the platform's protocol, and
// else rounded up to whole seconds (RFC 9110, 10.2.3).
func FormatRetryAfter(after time.Duration, wholeSeconds bool) string {
	seconds := after.Seconds()
	if wholeSeconds {
		seconds = math.Ceil(seconds)
	}
	return strconv.FormatFloat(seconds, 'f', -1, 64)
}
