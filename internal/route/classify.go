package route

import (
	"net/http"
	"slices"

	"dunemoor/balancer"
)

// DefaultFailureStatuses are the statuses of a host that count as failures, where a route sets no others: those by which a
// server says that it, or a server behind it, is not able to respond.
var DefaultFailureStatuses = []int{
	http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
}

// ClassifyProtocol returns what a response means to the balancer, of a host that keeps to the platform's protocol.
// notProcessed says that the host proves that it has not processed the request (X-Not-Processed: 1).
func ClassifyProtocol(status int, notProcessed bool) balancer.Result {
	switch {
	case status == http.StatusOK:
		return balancer.OK
	case notProcessed && isOverload(status):
		return balancer.Full
	}
	return balancer.Failed
}

// ClassifyPlain returns what a response of any HTTP server means to the balancer: all but the failures is for the client,
// whatever its status.
func ClassifyPlain(status int, notProcessed bool, failures []int) balancer.Result {
	switch {
	case notProcessed && isOverload(status):
		return balancer.Full
	case slices.Contains(failures, status):
		return balancer.Failed
	}
	return balancer.OK
}

// isOverload reports whether a status may be of a host that is full.
func isOverload(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}
