package fastcgi

import "strconv"

// Names of the variables that can be queried with GET_VALUES (4.1).
const (
	MaxConns  = "FCGI_MAX_CONNS"
	MaxReqs   = "FCGI_MAX_REQS"
	MpxsConns = "FCGI_MPXS_CONNS"
)

// maxValuesBytes limits the body of GET_VALUES and GET_VALUES_RESULT. The three variables need 48 bytes.
const maxValuesBytes = 512

// Values are the variables of an application (4.1). A field is zero if the application has not sent the variable.
type Values struct {
	MaxConns    int  // maximum number of concurrent connections
	MaxRequests int  // maximum number of concurrent requests on all connections; but see appendValues
	Multiplexes bool // the application processes concurrent requests on a connection
}

// parseValues parses the body of a GET_VALUES_RESULT record. It ignores unknown variables and values that are not
// unsigned numbers. The error is ErrBody.
func parseValues(body []byte) (Values, error) {
	var values Values
	for len(body) > 0 {
		name, value, rest, ok := CutPair(body)
		if !ok {
			return Values{}, ErrBody
		}
		body = rest
		number, err := strconv.Atoi(string(value))
		if err != nil || number < 0 {
			continue
		}
		switch string(name) {
		case MaxConns:
			values.MaxConns = number
		case MaxReqs:
			values.MaxRequests = number
		case MpxsConns:
			values.Multiplexes = number == 1
		}
	}
	return values, nil
}

// appendValues appends the variables that are queried in the body of a GET_VALUES record to b, as name-value pairs, and
// returns the extended slice. Unknown variables are omitted (4.1). By the specification FCGI_MAX_REQS is a number for
// all connections, but the value that is returned is MaxRequestsPerConn, the number for one connection. The error is
// ErrBody.
func appendValues(b, query []byte, maxConns string) ([]byte, error) {
	for len(query) > 0 {
		name, _, rest, ok := CutPair(query)
		if !ok {
			return nil, ErrBody
		}
		query = rest
		switch string(name) {
		case MaxConns:
			b = AppendPair(b, MaxConns, maxConns)
		case MaxReqs:
			b = AppendPair(b, MaxReqs, strconv.Itoa(MaxRequestsPerConn))
		case MpxsConns:
			b = AppendPair(b, MpxsConns, "1")
		}
	}
	return b, nil
}
