package httpwire

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strings"
)

// HeaderEnd returns the index behind the empty line that ends a header section, or -1 if b does not contain one.
// Bytes before index from have been searched by an earlier call. A line that ends without CR counts as well:
// ParseRequest rejects it, and need not wait for more.
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

// cutLine cuts off the first line of s, which has to end in CRLF and may not contain another CR before it.
func cutLine(s string) (line, rest string, ok bool) {
	i := strings.IndexByte(s, '\n')
	if i < 1 || s[i-1] != '\r' {
		return "", "", false
	}
	return s[:i-1], s[i+1:], true
}

// parseFieldLines parses the field lines of a header or trailer section (RFC 9112, 5), which s contains up to
// and including the empty line. Folded lines are malformed, as no name begins with a space.
func parseFieldLines(s string) (http.Header, error) {
	lines := strings.Count(s, "\n")
	header := make(http.Header, lines)
	values := make([]string, 0, lines) // one allocation for the first values of all fields
	for {
		line, rest, ok := cutLine(s)
		if !ok {
			return nil, ErrMalformed
		}
		if line == "" {
			if rest != "" {
				return nil, ErrMalformed
			}
			return header, nil
		}
		s = rest
		name, value, err := parseFieldLine(line)
		if err != nil {
			return nil, err
		}
		if earlier, repeated := header[name]; repeated {
			header[name] = append(earlier, value)
			continue
		}
		values = append(values, value)
		end := len(values)
		header[name] = values[end-1 : end : end]
	}
}

// parseFieldLine parses a field line without its CRLF, and returns the canonical name and the value.
func parseFieldLine(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !IsToken(name) {
		return "", "", ErrMalformed
	}
	value = strings.Trim(value, " \t")
	for i := range len(value) {
		if isControl(value[i]) {
			return "", "", ErrMalformed
		}
	}
	return textproto.CanonicalMIMEHeaderKey(name), value, nil
}
