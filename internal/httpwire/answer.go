package httpwire

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ResponseHasNoBody says whether an answer has no body, whatever its headers say (RFC 9112, 6.3).
func ResponseHasNoBody(method string, status int) bool {
	return method == http.MethodHead || status < 200 || status == http.StatusNoContent || status == http.StatusNotModified
}

// AppendStatusLine begins the head of an answer.
func AppendStatusLine(b []byte, old bool, status int) []byte {
	if old {
		b = append(b, "HTTP/1.0 "...)
	} else {
		b = append(b, "HTTP/1.1 "...)
	}
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, "\r\n"...)
}

// AppendHeader writes headers, the values of each in their order. What would end a line early
// becomes a space, and what is no name is left out: it guards against answers split in two.
func AppendHeader(b []byte, h http.Header) []byte {
	for name, values := range h {
		if !Token(name) {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			if strings.IndexByte(v, '\n') >= 0 || strings.IndexByte(v, '\r') >= 0 {
				v = strings.NewReplacer("\n", " ", "\r", " ").Replace(v)
			}
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// date is the Date header of a second.
type date struct {
	second int64
	text   string
}

var today atomic.Pointer[date]

// AppendDate writes the Date header (RFC 9110, 6.6.1), which is made once a second.
func AppendDate(b []byte, now time.Time) []byte {
	d := today.Load()
	if s := now.Unix(); d == nil || d.second != s {
		d = &date{s, "Date: " + now.UTC().Format(http.TimeFormat) + "\r\n"}
		today.Store(d)
	}
	return append(b, d.text...)
}
