package httpwire

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strings"
)

// HeaderEnd returns the index after the empty line that ends a header section, or -1 if b does not contain such a line.
// The bytes before index from have already been searched by an earlier call. Lines that end in LF without CR are also
// recognized, so that ParseRequest can reject them without waiting for more input.
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

// CountFields returns the number of field lines of a header section that includes the first line of its message and the empty
// line.
func CountFields(section []byte) int { return bytes.Count(section, []byte{'\n'}) - 2 }

// cutLine splits s after its first line, which must end in CRLF. line does not contain the CRLF. The callers reject
// lines that contain another CR.
func cutLine(s string) (line, rest string, ok bool) {
	i := strings.IndexByte(s, '\n')
	if i < 1 || s[i-1] != '\r' {
		return "", "", false
	}
	return s[:i-1], s[i+1:], true
}

// parseFieldLines parses the field lines of a header or trailer section (RFC 9112, 5). s contains the section up to and
// including the empty line. Folded lines are rejected as malformed, because no field name starts with a space.
func parseFieldLines(s string) (http.Header, error) {
	lines := strings.Count(s, "\n")
	header := make(http.Header, lines)
	values := make([]string, 0, lines) // a single allocation for the first values of all fields
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
