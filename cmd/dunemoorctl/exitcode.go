package main

import "errors"

// Exit codes of the fleet's commands. Any other error, such as a gateway that can't be reached, has exitError.
const (
	exitError       = 1
	exitRejected    = 2 // the fleet rejected the call and did nothing
	exitUnknown     = 3 // the result is not known; the call can be repeated and has one effect
	exitUnavailable = 4 // status: the gateway has no session, or its fleet no leader
)

// exitCodeError is an error with an exit code of its own.
type exitCodeError struct {
	code int
	text string
}

func (e *exitCodeError) Error() string { return e.text }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var e *exitCodeError
	if errors.As(err, &e) {
		return e.code
	}
	return exitError
}
