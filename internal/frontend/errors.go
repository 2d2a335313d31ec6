package frontend

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Bodies of the responses that the frontends write when the engine rejects or fails a request.
const (
	RejectedText = "turned away, trying again is harmless" // no attempt was processed by a host
	FailedText   = "failed, it may have been done"         // a host may have processed an attempt
)

// ErrBodyTooSlow is the error of a request whose body arrives more slowly than the limits allow.
var ErrBodyTooSlow = NewRequestError(http.StatusRequestTimeout, "the body comes too slowly")

// NewBodyTooLongError returns the error of a request whose body is longer than a limit in bytes.
func NewBodyTooLongError(limit int64) error {
	return NewRequestError(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", limit)
}

// RequestError is the error of a request that is invalid, or that cannot be accepted because a resource is exhausted
// (503). Its text is sent to the client. Request errors are not counted in any metric.
type RequestError struct {
	StatusCode int // status code of the response
	text       string
}

// NewRequestError returns a *RequestError with a status code and a formatted text for the response.
func NewRequestError(statusCode int, format string, args ...any) error {
	return &RequestError{statusCode, fmt.Sprintf(format, args...)}
}

// Error returns the text that is sent to the client.
func (e *RequestError) Error() string { return e.text }

// RejectedError is the error of a request that the limits reject. Such a request is never sent to a host, so the client
// may retry it, whatever its method or class, on the same connection.
type RejectedError struct {
	Reason     RejectReason
	RetryAfter time.Duration
	// TooEarly is set if the client sent the request before the Retry-After of its last response had elapsed. The
	// response is sent immediately, but the frontend may delay reading the next request from the connection.
	TooEarly bool
}

// Error returns the text that is sent to the client.
func (e *RejectedError) Error() string {
	return "turned away (" + e.Reason.String() + "), trying again is harmless"
}

// StatusCode returns 429 if the client exceeded one of its own limits, and 503 otherwise.
func (e *RejectedError) StatusCode() int {
	switch e.Reason {
	case RejectedByOverload, RejectedByTenantQuota:
		return http.StatusServiceUnavailable
	default:
		return http.StatusTooManyRequests
	}
}

// StatusCode returns the status code of the response to a request that failed with the given error.
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
