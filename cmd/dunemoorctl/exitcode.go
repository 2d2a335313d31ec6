package main

import "errors"

// Exit codes of the fleet commands. exitError is for all errors without a code of their own, such as a gateway that can't
// be reached.
const (
	exitError       = 1
	exitRejected    = 2 // the gateway or its fleet rejected the call, and nothing was done
	exitUnknown     = 3 // the result is not known; the call is idempotent and can be repeated
	exitUnavailable = 4 // fleet status: the gateway has no session, or its fleet has no leader
)

// exitCodeError is an error with an exit code of its own.
type exitCodeError struct {
	code int
	text string
}

func (e *exitCodeError) Error() string { return e.text }

// exitCode returns the exit code for an error, exitError if the error has none of its own.
func exitCode(err error) int {
	var e *exitCodeError
	if errors.As(err, &e) {
		return e.code
	}
	return exitError
}
