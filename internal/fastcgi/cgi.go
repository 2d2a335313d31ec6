package fastcgi

import (
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// ErrHead says that what a responder put out is no head of an answer.
var ErrHead = errors.New("fastcgi: the answer has no head")

// HeadMost bounds the head of an answer: many times what there is to say.
const HeadMost = 16 << 10

// ParseResponseHeader reads the head of a CGI answer (RFC 3875, 6.2 and 6.3) off the front of what a
// responder has put out: no Status is 200, or 302 where there is a Location. n is where the body
// begins, 0 where the head is not whole yet.
func ParseResponseHeader(out []byte) (status int, header http.Header, n int, err error) {
	header = http.Header{}
	for rest := out; ; {
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			if len(out) > HeadMost {
				return 0, nil, 0, ErrHead
			}
			return 0, nil, 0, nil
		}
		line := bytes.TrimSuffix(rest[:i], []byte("\r"))
		rest = rest[i+1:]
		if len(line) == 0 {
			n = len(out) - len(rest)
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !token(name) || bytes.ContainsAny(value, "\x00\r") {
			return 0, nil, 0, ErrHead
		}
		key := textproto.CanonicalMIMEHeaderKey(string(name))
		header[key] = append(header[key], string(bytes.Trim(value, " \t")))
	}
	if len(header) == 0 || n > HeadMost {
		return 0, nil, 0, ErrHead
	}
	status = http.StatusOK
	switch s := header["Status"]; {
	case len(s) > 1:
		return 0, nil, 0, ErrHead
	case len(s) == 1:
		code, _, _ := strings.Cut(s[0], " ")
		if status, err = strconv.Atoi(code); err != nil || len(code) != 3 || status < 200 || status > 599 {
			return 0, nil, 0, ErrHead
		}
		delete(header, "Status")
	case len(header["Location"]) == 1:
		status = http.StatusFound
	}
	return status, header, n, nil
}

// ContentLength is the length that a head gives, -1 where it gives none. Two are none, and an error.
func ContentLength(h http.Header) (int64, error) {
	switch v := h["Content-Length"]; len(v) {
	case 0:
		return -1, nil
	case 1:
		n, err := strconv.ParseInt(v[0], 10, 64)
		if err != nil || n < 0 || strings.Trim(v[0], "0123456789") != "" {
			return 0, ErrHead
		}
		return n, nil
	}
	return 0, ErrHead
}

// token says whether a name is one (RFC 9110, 5.6.2).
func token(b []byte) bool {
	for _, c := range b {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return len(b) > 0
}

// ParamName is the name of the parameter that a header goes by, "" for one that must not be one: a
// name with an underscore would be taken for another's with a dash, and HTTP_PROXY is what many
// programs take for the proxy that they are to use (httpoxy, CVE-2016-5385).
func ParamName(header string) string {
	if strings.Contains(header, "_") || strings.EqualFold(header, "Proxy") {
		return ""
	}
	return "HTTP_" + strings.ToUpper(strings.ReplaceAll(header, "-", "_"))
}

// HeaderName is the header that a parameter stands for, "" for none.
func HeaderName(name string) string {
	rest, ok := strings.CutPrefix(name, "HTTP_")
	if !ok || rest == "" || strings.EqualFold(rest, "PROXY") || !token([]byte(rest)) || strings.Contains(rest, "-") {
		return ""
	}
	return textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(rest, "_", "-"))
}
