// Package httpwire parses and formats HTTP/1.1 messages (RFC 9112). It operates on byte slices and does no I/O. Parsing
// is strict: a message that is known to be interpreted differently by different implementations is an error. This
// prevents request smuggling.
package httpwire

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// Request is the request line and header section of a request.
type Request struct {
	Method     string
	Target     string // the request target, unmodified
	Host       string // the host in the target if it has one, otherwise the value of the Host field (RFC 9112, 3.3)
	HostHeader string // the value of the Host field, which is not contained in Header
	Header     http.Header
	// ContentLength is the length of the body in bytes, -1 if the body is chunked.
	ContentLength int64
	// HTTP10 is set for HTTP/1.0.
	HTTP10 bool
	// Close is set if the connection is to be closed after the response.
	Close bool
	// ExpectContinue is set if the client waits for a 100 (Continue) response before it sends the body.
	ExpectContinue bool
	// Upgrade is the protocol of the client's upgrade request, "" if there is none.
	Upgrade string
}

// LeadingEmptyLine returns the length of the empty line that may precede a request (RFC 9112, 2.2), 0 if there is
// none.
func LeadingEmptyLine(b []byte) int {
	if len(b) >= 2 && b[0] == '\r' && b[1] == '\n' {
		return 2
	}
	return 0
}

// ParseRequest parses a request line and header section into r. b contains both, up to and including the empty line. r
// does not retain b. The error is one of the errors of this package; see StatusForError.
func ParseRequest(b []byte, r *Request) error {
	*r = Request{}
	text := string(b) // a single copy that is shared by all strings of r
	line, fieldLines, ok := cutLine(text)
	if !ok {
		return ErrMalformed
	}
	if err := r.parseRequestLine(line); err != nil {
		return err
	}
	targetHost, err := parseTargetHost(r.Method, r.Target)
	if err != nil {
		return err
	}
	r.Header, err = parseFieldLines(fieldLines)
	if err != nil {
		return err
	}
	if err := r.parseHost(targetHost); err != nil {
		return err
	}
	if err := r.parseFraming(); err != nil {
		return err
	}
	r.parseConnection()
	return r.parseExpectation()
}

// parseRequestLine parses a request line (RFC 9112, 3).
func (r *Request) parseRequestLine(line string) error {
	method, line, ok := strings.Cut(line, " ")
	if !ok || !IsToken(method) {
		return ErrMalformed
	}
	target, version, ok := strings.Cut(line, " ")
	if !ok || target == "" {
		return ErrMalformed
	}
	switch {
	case version == "HTTP/1.1":
	case version == "HTTP/1.0":
		r.HTTP10 = true
	case isHTTPVersion(version):
		return ErrVersion
	default:
		return ErrMalformed
	}
	r.Method = method
	r.Target = target
	return nil
}

// isHTTPVersion reports whether s has the form of an HTTP version (RFC 9112, 2.3).
func isHTTPVersion(s string) bool {
	digits, ok := strings.CutPrefix(s, "HTTP/")
	return ok && len(digits) == 3 && isDigit(digits[0]) && digits[1] == '.' && isDigit(digits[2])
}

// parseTargetHost validates a request target (RFC 9112, 3.2) and returns the host in it, "" for a target in
// origin-form.
func parseTargetHost(method, target string) (string, error) {
	if target[0] == '/' && targetChars.containsAll(target) {
		return "", nil
	}
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c == 0x7f {
			return "", ErrMalformed
		}
	}
	uri := target
	isAuthorityForm := method == http.MethodConnect && target[0] != '/'
	if isAuthorityForm {
		uri = "http://" + target
	}
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return "", ErrMalformed
	}
	return u.Host, nil
}

// parseHost moves the Host field out of the header and sets the host of the request.
func (r *Request) parseHost(targetHost string) error {
	hosts := r.Header["Host"]
	switch len(hosts) {
	case 0:
		if !r.HTTP10 {
			return ErrHost
		}
	case 1:
		if !hostChars.containsAll(hosts[0]) {
			return ErrHost
		}
		r.HostHeader = hosts[0]
		delete(r.Header, "Host")
	default:
		return ErrHost
	}
	r.Host = targetHost
	if targetHost == "" {
		r.Host = r.HostHeader
	}
	return nil
}

// parseFraming sets the length of the body (RFC 9112, 6.3).
func (r *Request) parseFraming() error {
	lengths := r.Header["Content-Length"]
	codings := r.Header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(codings) == 0:
		return nil
	case len(codings) == 1 && !r.HTTP10 && !strings.EqualFold(codings[0], "chunked"):
		return ErrTransferEncoding
	case len(lengths)+len(codings) > 1:
		return ErrFraming
	case len(codings) == 1:
		if r.HTTP10 {
			return ErrFraming
		}
		r.ContentLength = -1
		return checkTrailerNames(r.Header["Trailer"])
	}
	length, err := parseContentLength(lengths[0])
	r.ContentLength = length
	return err
}

// maxContentLengthDigits limits the number of digits of a Content-Length, so that the length fits in an int64.
const maxContentLengthDigits = 18

// parseContentLength parses the value of a Content-Length field. Only digits are allowed (RFC 9110, 8.6).
func parseContentLength(s string) (int64, error) {
	if s == "" || len(s) > maxContentLengthDigits {
		return 0, ErrFraming
	}
	length := int64(0)
	for i := range len(s) {
		if !isDigit(s[i]) {
			return 0, ErrFraming
		}
		length = length*10 + int64(s[i]-'0')
	}
	return length, nil
}

// forbiddenInTrailer are fields that are used for the framing or routing of a message. A trailer section that contains
// one of them is an error, because some recipients might apply it and others not (RFC 9110, 6.5.1). Further fields,
// which are accepted but not forwarded, are listed in package frontend (headersNotInTrailers).
var forbiddenInTrailer = map[string]bool{
	"Transfer-Encoding": true,
	"Content-Length":    true,
	"Trailer":           true,
	"Host":              true,
}

// checkTrailerNames checks the values of the Trailer field, which list the fields of the trailer section.
func checkTrailerNames(values []string) error {
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			if forbiddenInTrailer[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] {
				return ErrTrailerField
			}
		}
	}
	return nil
}

// parseConnection parses the connection options (RFC 9110, 7.6.1) and the Upgrade field (RFC 9110, 7.8).
func (r *Request) parseConnection() {
	keepAlive := false
	upgrade := false
	for _, value := range r.Header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			switch option = strings.TrimSpace(option); {
			case strings.EqualFold(option, "close"):
				r.Close = true
			case strings.EqualFold(option, "keep-alive"):
				keepAlive = true
			case strings.EqualFold(option, "upgrade"):
				upgrade = true
			}
		}
	}
	if r.HTTP10 && !keepAlive {
		r.Close = true
	}
	protocols := r.Header["Upgrade"]
	if upgrade && len(protocols) == 1 && !r.HTTP10 {
		r.Upgrade = protocols[0]
	}
}

// parseExpectation parses the Expect field (RFC 9110, 10.1.1), which is ignored in HTTP/1.0.
func (r *Request) parseExpectation() error {
	expectations := r.Header["Expect"]
	if len(expectations) == 0 || r.HTTP10 {
		return nil
	}
	if len(expectations) > 1 || !strings.EqualFold(expectations[0], "100-continue") {
		return ErrExpectation
	}
	r.ExpectContinue = r.ContentLength != 0
	return nil
}
