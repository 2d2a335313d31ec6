package httpwire

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ResponseHasNoBody reports whether a response has no body because of the request method or the status, regardless of
// its header section (RFC 9112, 6.3).
func ResponseHasNoBody(method string, status int) bool {
	switch {
	case method == http.MethodHead, status < http.StatusOK:
		return true
	case status == http.StatusNoContent, status == http.StatusNotModified:
		return true
	}
	return false
}

// ParseResponseLength parses the value of a response's Content-Length field (RFC 9110, 8.6), in bytes. ok is false if
// the value is not an unsigned decimal number or does not fit in an int64.
func ParseResponseLength(value string) (length int64, ok bool) {
	length, err := strconv.ParseInt(value, 10, 64)
	onlyDigits := strings.Trim(value, "0123456789") == ""
	return length, err == nil && onlyDigits
}

// AppendStatusLine appends a status line to b and returns the extended slice. The version is HTTP/1.0 if http10 is
// set and HTTP/1.1 otherwise.
func AppendStatusLine(b []byte, http10 bool, status int) []byte {
	version := "HTTP/1.1 "
	if http10 {
		version = "HTTP/1.0 "
	}
	b = append(b, version...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, "\r\n"...)
}

// AppendHeader appends the field lines of a header to b, without the empty line that ends the section, and returns the
// extended slice. The values of a field keep their order. To prevent response splitting, line breaks in values are
// replaced with spaces, and fields with an invalid name are omitted.
func AppendHeader(b []byte, header http.Header) []byte {
	for name, values := range header {
		if !IsToken(name) {
			continue
		}
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			if hasLineBreak(value) {
				value = lineBreaksToSpaces.Replace(value)
			}
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

func hasLineBreak(s string) bool {
	return strings.IndexByte(s, '\n') >= 0 || strings.IndexByte(s, '\r') >= 0
}

var lineBreaksToSpaces = strings.NewReplacer("\n", " ", "\r", " ")

// dateLine is the Date field line for a particular second.
type dateLine struct {
	unixSecond int64
	text       string
}

// lastDateLine caches the line that AppendDate has formatted last.
var lastDateLine atomic.Pointer[dateLine]

// AppendDate appends the Date field line (RFC 9110, 6.6.1) to b and returns the extended slice.
func AppendDate(b []byte, now time.Time) []byte {
	second := now.Unix()
	line := lastDateLine.Load()
	if line == nil || line.unixSecond != second {
		line = &dateLine{unixSecond: second, text: "Date: " + now.UTC().Format(http.TimeFormat) + "\r\n"}
		lastDateLine.Store(line)
	}
	return append(b, line.text...)
}
