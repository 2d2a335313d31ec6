// Package httpwire reads and writes HTTP/1.1 messages as bytes (RFC 9112). It does no I/O and is
// strict: what readers of HTTP disagree on is an error, whoever may have meant well.
package httpwire

import (
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// Errors of heads, with the status that they are answered with.
var (
	ErrMalformed = errors.New("the head can't be read")                                  // 400
	ErrFraming   = errors.New("the body is framed in more than one way, or in none")     // 400
	ErrHost      = errors.New("one Host header is needed")                               // 400
	ErrEncoding  = errors.New("chunked is the one transfer encoding that is known")      // 501
	ErrVersion   = errors.New("HTTP/1.1 is spoken here")                                 // 505
	ErrExpect    = errors.New("nothing but 100-continue can be expected")                // 417
	ErrTrailer   = errors.New("what frames a message can't stand behind its body")       // 400
	ErrChunk     = errors.New("a chunk can't be read")                                   // 400
	ErrLong      = errors.New("there is more around the chunks than they could require") // 400
)

// StatusForError is the status that goes with an error of this package.
func StatusForError(err error) int {
	switch err {
	case ErrEncoding:
		return http.StatusNotImplemented
	case ErrVersion:
		return http.StatusHTTPVersionNotSupported
	case ErrExpect:
		return http.StatusExpectationFailed
	}
	return http.StatusBadRequest
}

// Request is the head of a request.
type Request struct {
	Method     string
	Target     string // as it came
	Host       string // what the target names, or else the Host header (RFC 9112, 3.3)
	HostHeader string // the Host header
	Header     http.Header
	// ContentLength of the body, -1 where it comes in chunks.
	ContentLength  int64
	HTTP10         bool // HTTP/1.0
	Close          bool // the client wants the connection to end behind the answer
	ExpectContinue bool // it waits to be asked for the body, for a while
	// Upgrade is the protocol that it asks to go over to.
	Upgrade string
}

// HeaderEnd is the index behind the empty line that ends a head, -1 where that is yet to come.
// What is before from has been looked at. A line that ends without CR counts too: Parse will
// refuse it, and need not wait for more.
func HeaderEnd(b []byte, from int) int {
	for i := max(0, from-3); ; {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return -1
		}
		i += n + 1
		if i < len(b) && b[i] == '\n' {
			return i + 1
		}
		if i+1 < len(b) && b[i] == '\r' && b[i+1] == '\n' {
			return i + 2
		}
	}
}

// LeadingEmptyLine is the length of the empty line that may stand before a request (RFC 9112, 2.2).
func LeadingEmptyLine(b []byte) int {
	if len(b) >= 2 && b[0] == '\r' && b[1] == '\n' {
		return 2
	}
	return 0
}

// ParseRequest reads a head, which b holds whole, up to its empty line. What it returns keeps nothing
// of b.
func ParseRequest(b []byte, r *Request) error {
	*r = Request{}
	text := string(b) // one copy that all the parts share
	line, rest, ok := cutLine(text)
	if !ok {
		return ErrMalformed
	}
	method, line, ok := strings.Cut(line, " ")
	if !ok || !Token(method) {
		return ErrMalformed
	}
	target, version, ok := strings.Cut(line, " ")
	if !ok || target == "" {
		return ErrMalformed
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		r.HTTP10 = true
	default:
		if len(version) == 8 && strings.HasPrefix(version, "HTTP/") && digit(version[5]) && version[6] == '.' && digit(version[7]) {
			return ErrVersion
		}
		return ErrMalformed
	}
	r.Method, r.Target = method, target
	named, err := authority(method, target)
	if err != nil {
		return err
	}
	h, err := fields(rest)
	if err != nil {
		return err
	}
	r.Header = h
	hosts := h["Host"]
	if len(hosts) > 1 || len(hosts) == 0 && !r.HTTP10 || len(hosts) == 1 && !hostName(hosts[0]) {
		return ErrHost
	}
	if len(hosts) == 1 {
		r.HostHeader = hosts[0]
		delete(h, "Host")
	}
	if r.Host = named; named == "" {
		r.Host = r.HostHeader
	}
	if err := r.frame(); err != nil {
		return err
	}
	return r.connection()
}

// frame reads how long the body is (RFC 9112, 6.3).
func (r *Request) frame() error {
	lengths, encodings := r.Header["Content-Length"], r.Header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(encodings) == 0:
	case len(encodings) == 1 && !r.HTTP10 && !strings.EqualFold(encodings[0], "chunked"):
		return ErrEncoding
	case len(lengths)+len(encodings) > 1 || len(encodings) > 0 && r.HTTP10:
		return ErrFraming
	case len(encodings) == 1:
		r.ContentLength = -1
		for _, v := range r.Header["Trailer"] {
			for name := range strings.SplitSeq(v, ",") {
				if framing[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] {
					return ErrTrailer
				}
			}
		}
	default:
		n := int64(0)
		text := lengths[0]
		if text == "" || len(text) > maxDigits {
			return ErrFraming
		}
		for i := range len(text) {
			if !digit(text[i]) {
				return ErrFraming
			}
			n = n*10 + int64(text[i]-'0')
		}
		r.ContentLength = n
	}
	return nil
}

// maxDigits of a length: no more fit an int64, and a petabyte does.
const maxDigits = 18

// framing are the fields that may not stand in a trailer, as they frame the message.
var framing = map[string]bool{"Transfer-Encoding": true, "Content-Length": true, "Trailer": true, "Host": true}

// connection reads what the client asks of the connection (RFC 9110, 7.6.1, 7.8 and 10.1.1).
func (r *Request) connection() error {
	keep, upgrade := false, false
	for _, v := range r.Header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			switch name = strings.TrimSpace(name); {
			case strings.EqualFold(name, "close"):
				r.Close = true
			case strings.EqualFold(name, "keep-alive"):
				keep = true
			case strings.EqualFold(name, "upgrade"):
				upgrade = true
			}
		}
	}
	if r.HTTP10 && !keep {
		r.Close = true
	}
	if v := r.Header["Upgrade"]; upgrade && len(v) == 1 && !r.HTTP10 {
		r.Upgrade = v[0]
	}
	if v := r.Header["Expect"]; len(v) > 0 && !r.HTTP10 { // HTTP/1.0 knows nothing of it
		if len(v) > 1 || !strings.EqualFold(v[0], "100-continue") {
			return ErrExpect
		}
		r.ExpectContinue = r.ContentLength != 0
	}
	return nil
}

// authority checks a target, and is the host that it names: "" for origin-form.
func authority(method, target string) (string, error) {
	if target[0] == '/' && plainTarget(target) {
		return "", nil
	}
	form := target
	if method == http.MethodConnect && target[0] != '/' {
		form = "http://" + target // authority-form
	}
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c == 0x7f {
			return "", ErrMalformed
		}
	}
	u, err := url.ParseRequestURI(form)
	if err != nil {
		return "", ErrMalformed
	}
	return u.Host, nil
}

// plainTarget says whether a target has nothing in it but what RFC 3986 lets stand there
// unescaped, so that it needs no further look.
func plainTarget(s string) bool {
	for i := range len(s) {
		if !inTarget[s[i]] {
			return false
		}
	}
	return true
}

var inTarget, inToken, inHost = set("/?-._~!$&'()*+,;=:@"), set("!#$%&'*+-.^_`|~"), set("-._~!$&'()*+,;=:[]%")

// set is letters, digits and what else is named.
func set(others string) (s [256]bool) {
	for c := range 256 {
		s[c] = 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte(others, byte(c)) >= 0 && c < 0x80
	}
	return s
}

func digit(c byte) bool { return '0' <= c && c <= '9' }

// Token says whether s is one (RFC 9110, 5.6.2).
func Token(s string) bool {
	for i := range len(s) {
		if !inToken[s[i]] {
			return false
		}
	}
	return s != ""
}

func hostName(s string) bool {
	for i := range len(s) {
		if !inHost[s[i]] {
			return false
		}
	}
	return true
}

// cutLine takes the first line off. It has to end in CRLF and may hold no other CR.
func cutLine(s string) (line, rest string, ok bool) {
	i := strings.IndexByte(s, '\n')
	if i < 1 || s[i-1] != '\r' {
		return "", "", false
	}
	return s[:i-1], s[i+1:], true
}

// fields reads the lines of a head or trailer up to the empty one.
func fields(s string) (http.Header, error) {
	n := strings.Count(s, "\n")
	h := make(http.Header, n)
	values := make([]string, 0, n) // one allocation for all that are there once
	for {
		line, rest, ok := cutLine(s)
		if !ok {
			return nil, ErrMalformed
		}
		if line == "" {
			if rest != "" {
				return nil, ErrMalformed
			}
			return h, nil
		}
		s = rest
		name, value, ok := strings.Cut(line, ":")
		if !ok || !Token(name) { // nor does a line go on with the next: a name begins with no space
			return nil, ErrMalformed
		}
		value = strings.Trim(value, " \t")
		for i := range len(value) {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return nil, ErrMalformed
			}
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		if old, there := h[name]; there {
			h[name] = append(old, value)
			continue
		}
		values = append(values, value)
		h[name] = values[len(values)-1 : len(values) : len(values)]
	}
}
