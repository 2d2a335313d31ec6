package route

import (
	"slices"

	"dunemoor/balancer"
)

// DefaultFailures are the statuses of a host's answer that tell the module of a failure, where
// a route says nothing else: those by which a server says that it, or what it asks, can't.
var DefaultFailures = []int{429, 500, 502, 503, 504}

// Protocol is what an answer of a host that keeps to our protocol tells the module. unseen
// says that the host proves to have turned the request away unseen (X-Not-Processed: 1).
func Protocol(status int, unseen bool) balancer.Result {
	switch {
	case status == 200:
		return balancer.OK
	case unseen && (status == 503 || status == 504):
		return balancer.Full
	}
	return balancer.Failed
}

// Plain is what an answer of any HTTP server tells the module: all but the failures is an
// answer for the client, whatever its status.
func Plain(status int, unseen bool, failures []int) balancer.Result {
	switch {
	case unseen && (status == 503 || status == 504):
		return balancer.Full
	case slices.Contains(failures, status):
		return balancer.Failed
	}
	return balancer.OK
}
