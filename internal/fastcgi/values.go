package fastcgi

import "strconv"

// Names of the variables that GET_VALUES asks for (4.1).
const (
	MaxConns  = "FCGI_MAX_CONNS"
	MaxReqs   = "FCGI_MAX_REQS"
	MpxsConns = "FCGI_MPXS_CONNS"
)

// maxValuesBytes limits the body of GET_VALUES and GET_VALUES_RESULT. The three variables take 48 bytes.
const maxValuesBytes = 512

// Values are the variables of an application (4.1). A field is zero if the application did not send it.
type Values struct {
	MaxConns    int  // connections that it accepts at once
	MaxRequests int  // requests that it processes at once, over all connections; but see appendValues
	Multiplexes bool // it processes several requests at once on a connection
}

// parseValues parses the body of a GET_VALUES_RESULT record. It ignores variables that it does not know and
// values that are not numbers. The error is ErrBody.
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

// appendValues appends the variables that the body of a GET_VALUES record asks for to b, as name-value pairs,
// and returns the extended slice. Variables that it does not know are left out (4.1). FCGI_MAX_REQS, by the specification
// a number over all connections, is answered with that of one, MaxRequestsPerConn. The error is ErrBody.
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
