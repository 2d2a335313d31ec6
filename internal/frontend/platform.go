package frontend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunemoor/balancer"
)

// platformHeaders are the headers of a request in the platform's protocol. A missing header is "".
type platformHeaders struct {
	id             string
	class          string
	timeout        string // seconds
	tenant         string
	retried        string
	idempotencyKey string
}

// readPlatformHeaders returns the headers of the platform's protocol. It is an error if one of them is repeated.
func readPlatformHeaders(header http.Header) (platformHeaders, error) {
	var h platformHeaders
	for _, field := range [...]struct {
		name  string
		value *string
	}{
		{headerRequestID, &h.id},
		{headerClass, &h.class},
		{headerTimeout, &h.timeout},
		{headerTenant, &h.tenant},
		{headerRetried, &h.retried},
		{headerIdempotencyKey, &h.idempotencyKey},
	} {
		values := header[field.name]
		if len(values) > 1 {
			return h, NewRequestError(http.StatusBadRequest, "%s: is there more than once", field.name)
		}
		if len(values) == 1 {
			*field.value = values[0]
		}
	}
	return h, nil
}

// preparePlatform implements prepare for a request in the platform's protocol. It validates the headers and applies the
// limits. On success the request's id is marked as open.
func (t *Ticket) preparePlatform(m *Message, received time.Time) error {
	if m.HTTP10 {
		return NewRequestError(http.StatusBadRequest, "requests come in HTTP/1.1")
	}
	h, err := readPlatformHeaders(m.Header)
	if err != nil {
		return err
	}
	if !isValidID(h.id) {
		return NewRequestError(http.StatusBadRequest, "%s: missing or malformed", headerRequestID)
	}
	if err := t.setClassAndTenant(h); err != nil {
		return err
	}
	if err := t.checkIdempotency(m, h.idempotencyKey); err != nil {
		return err
	}
	t.Duplicate = h.retried == "1"
	if err := t.applyLimits(m); err != nil {
		return err
	}
	// The gateway sets a separate timeout for each attempt.
	RemoveHopByHopHeaders(t.Header)
	delete(t.Header, headerTimeout)
	seconds, ok := parseSeconds(h.timeout)
	if !ok {
		return NewRequestError(http.StatusBadRequest, "%s: no number of seconds", headerTimeout)
	}
	// The deadline of the class is the upper bound of the client's timeout.
	deadline := t.Route.Classes[t.Class].Deadline
	t.timeout = time.Duration(min(seconds, deadline.Seconds()) * float64(time.Second))
	if !t.admission.startID(h.id, received) {
		return NewRequestError(http.StatusConflict, "%s: in use", headerRequestID)
	}
	t.id = h.id
	return nil
}

// setClassAndTenant sets the class and the tenant from the headers of a request.
func (t *Ticket) setClassAndTenant(h platformHeaders) error {
	class, found := t.Route.ClassNames[h.class]
	if !found {
		return NewRequestError(http.StatusBadRequest, "%s: unknown class", headerClass)
	}
	t.Class = class
	if len(t.Route.Tenants) == 0 {
		return nil
	}
	tenant, found := t.Route.Tenants[h.tenant]
	if !found {
		return NewRequestError(http.StatusBadRequest, "%s: unknown tenant", headerTenant)
	}
	t.Tenant = tenant
	return nil
}

// checkIdempotency checks that the method and the idempotency key match the class. An idempotent request must be a GET
// without a body, and any other request a POST. In a class that is idempotent with a key the key is required, because
// hosts use it to detect the gateway's retries.
func (t *Ticket) checkIdempotency(m *Message, key string) error {
	idempotency := t.Route.Classes[t.Class].Idempotency
	validMethod := m.Method == http.MethodPost
	if idempotency == balancer.Idempotent {
		validMethod = m.Method == http.MethodGet && m.Length == 0
	}
	if !validMethod {
		return NewRequestError(http.StatusBadRequest, "a request of this class has another method")
	}
	if idempotency == balancer.IdempotentWithKey && key == "" {
		return NewRequestError(http.StatusBadRequest, "%s: missing, the class needs one", headerIdempotencyKey)
	}
	return nil
}

// parseSeconds parses a number of seconds in decimal notation, without a sign or an exponent.
func parseSeconds(s string) (seconds float64, ok bool) {
	seconds, err := strconv.ParseFloat(s, 64)
	onlyDigits := strings.Trim(s, "0123456789.") == ""
	return seconds, err == nil && onlyDigits
}
