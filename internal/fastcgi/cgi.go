package fastcgi

import (
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"dunemoor/internal/httpwire"
)

// ErrMalformedResponse reports that the output of an application is not a valid CGI response.
var ErrMalformedResponse = errors.New("fastcgi: malformed response")

// MaxResponseHeaderBytes limits the length of the header section of a response.
const MaxResponseHeaderBytes = 16 << 10

// MaxResponseFields limits the number of different fields in the header section of a response.
const MaxResponseFields = 100

// ParseResponseHeader parses the header section of a CGI response (RFC 3875, 6.2 and 6.3) at the start of an
// application's output. bodyStart is the index of the body in output, 0 if the header section is incomplete. Without a
// Status field, the status is 302 if there is a Location field and 200 otherwise. The error is ErrMalformedResponse.
func ParseResponseHeader(output []byte) (status int, header http.Header, bodyStart int, err error) {
	header = http.Header{}
	rest := output
	for {
		line, next, ok := bytes.Cut(rest, []byte("\n"))
		if !ok {
			if len(output) > MaxResponseHeaderBytes {
				return 0, nil, 0, ErrMalformedResponse
			}
			return 0, nil, 0, nil
		}
		rest = next
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			break
		}
		if err := addResponseField(header, line); err != nil {
			return 0, nil, 0, err
		}
	}
	bodyStart = len(output) - len(rest)
	if len(header) == 0 || bodyStart > MaxResponseHeaderBytes {
		return 0, nil, 0, ErrMalformedResponse
	}
	status, err = takeStatus(header)
	if err != nil {
		return 0, nil, 0, err
	}
	return status, header, bodyStart, nil
}

// addResponseField parses a field line and adds the field to a header.
func addResponseField(header http.Header, line []byte) error {
	rawName, value, ok := bytes.Cut(line, []byte(":"))
	name := string(rawName)
	if !ok || !httpwire.IsToken(name) || bytes.ContainsAny(value, "\x00\r") {
		return ErrMalformedResponse
	}
	key := textproto.CanonicalMIMEHeaderKey(name)
	if len(header) >= MaxResponseFields && header[key] == nil {
		return ErrMalformedResponse
	}
	header[key] = append(header[key], string(bytes.Trim(value, " \t")))
	return nil
}

// takeStatus removes the Status field (RFC 3875, 6.3.3) from a header and returns the status code of the response.
func takeStatus(header http.Header) (int, error) {
	values := header["Status"]
	switch len(values) {
	case 0:
		if len(header["Location"]) == 1 {
			return http.StatusFound, nil
		}
		return http.StatusOK, nil
	case 1:
		code, _, _ := strings.Cut(values[0], " ")
		status, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || status < 200 || status > 599 {
			return 0, ErrMalformedResponse
		}
		delete(header, "Status")
		return status, nil
	}
	return 0, ErrMalformedResponse
}

// ContentLength returns the length of a response's body in bytes, -1 if the header has no Content-Length. The error is
// ErrMalformedResponse if the field is repeated or invalid.
func ContentLength(header http.Header) (int64, error) {
	lengths := header["Content-Length"]
	if len(lengths) == 0 {
		return -1, nil
	}
	length, ok := httpwire.ParseResponseLength(lengths[0])
	if len(lengths) > 1 || !ok {
		return 0, ErrMalformedResponse
	}
	return length, nil
}

// ParamName returns the name of the parameter for a header field (RFC 3875, 4.1.18), "" if the field must not be
// converted to a parameter. Names with an underscore are not converted, as they could be confused with names with a
// dash. Neither is Proxy, because many programs use HTTP_PROXY as the address of their outgoing proxy (httpoxy,
// CVE-2016-5385).
func ParamName(header string) string {
	if strings.Contains(header, "_") || strings.EqualFold(header, "Proxy") {
		return ""
	}
	return "HTTP_" + strings.ToUpper(strings.ReplaceAll(header, "-", "_"))
}

// HeaderName returns the name of the header field for a parameter, "" if the parameter does not represent a header
// field or must not be converted to one.
func HeaderName(param string) string {
	field, ok := strings.CutPrefix(param, "HTTP_")
	if !ok || strings.EqualFold(field, "PROXY") || strings.Contains(field, "-") || !httpwire.IsToken(field) {
		return ""
	}
	return textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(field, "_", "-"))
}
