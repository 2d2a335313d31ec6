package frontend

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Texts of responses that the frontends write for the engine.
const (
	RejectedText = "turned away, trying again is harmless" // no attempt has run
	FailedText   = "failed, it may have been done"         // an attempt may have run
)

// ErrBodyTooSlow is the error of a request whose body does not arrive within the pace that is allowed.
var ErrBodyTooSlow = NewRequestError(http.StatusRequestTimeout, "the body comes too slowly")

// NewBodyTooLongError returns the error of a request whose body is longer than a limit in bytes.
func NewBodyTooLongError(limit int64) error {
	return NewRequestError(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", limit)
}

// RequestError is the error of a request that is invalid, or that can't be accepted for lack of a resource (503). The client
// gets its text, and no counter has it.
type RequestError struct {
	StatusCode int // of the response
	text       string
}

// NewRequestError returns a *RequestError with the status code of the response and its formatted text.
func NewRequestError(statusCode int, format string, args ...any) error {
	return &RequestError{statusCode, fmt.Sprintf(format, args...)}
}

// Error returns the text that the client gets.
func (e *RequestError) Error() string { return e.text }

// RejectedError is the error of a request that the limits reject. It never reaches a host, so the client may retry
// any request, on the same connection.
type RejectedError struct {
	Reason     RejectReason
	RetryAfter time.Duration
	// TooEarly reports that the client came back before the Retry-After of its last response. It gets this response at
	// once, but its connection need not be read for a while.
	TooEarly bool
}

// Error returns the text that the client gets.
func (e *RejectedError) Error() string {
	return "turned away (" + e.Reason.String() + "), trying again is harmless"
}

// StatusCode returns 429 for limits of the client's own, and else 503.
func (e *RejectedError) StatusCode() int {
	switch e.Reason {
	case RejectedByOverload, RejectedByTenantQuota:
		return http.StatusServiceUnavailable
	default:
		return http.StatusTooManyRequests
	}
}

// StatusCode returns the status code of the response for an error of a request.
func StatusCode(err error) int {
	var invalid *RequestError
	var rejected *RejectedError
	switch {
	case errors.As(err, &invalid):
		return invalid.StatusCode
	case errors.As(err, &rejected):
		return rejected.StatusCode()
	default:
		return http.StatusBadRequest
	}
}
