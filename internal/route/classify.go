package route

import (
	"net/http"
	"slices"

	"dunemoor/balancer"
)

// DefaultFailureStatuses are the response statuses that count as failures if a route does not set others: those by
// which a server reports that it, or a server behind it, is not able to serve the request.
var DefaultFailureStatuses = []int{
	http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
}

// ClassifyProtocol returns the result that a response of a host counts as, if the host implements the platform's
// protocol. notProcessed means that the host guarantees that it has not processed the request (X-Not-Processed: 1).
func ClassifyProtocol(status int, notProcessed bool) balancer.Result {
	switch {
	case status == http.StatusOK:
		return balancer.OK
	case notProcessed && isOverload(status):
		return balancer.Full
	}
	return balancer.Failed
}

// ClassifyPlain returns the result that a response of any HTTP server counts as. All responses but the failures are
// for the client, whatever their status.
func ClassifyPlain(status int, notProcessed bool, failures []int) balancer.Result {
	switch {
	case notProcessed && isOverload(status):
		return balancer.Full
	case slices.Contains(failures, status):
		return balancer.Failed
	}
	return balancer.OK
}

// isOverload reports whether a status is one that a full host may respond with.
func isOverload(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}
