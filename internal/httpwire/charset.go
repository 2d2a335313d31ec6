package httpwire

import "strings"

// charset is a set of ASCII characters. It is indexed by byte.
type charset [256]bool

var (
	// targetChars are the characters that a request target may contain unescaped (RFC 3986, 3.3 and 3.4).
	targetChars = newCharset("/?-._~!$&'()*+,;=:@")
	// tokenChars are the characters of a token (RFC 9110, 5.6.2).
	tokenChars = newCharset("!#$%&'*+-.^_`|~")
	// hostChars are the characters of a host with its port (RFC 3986, 3.2.2).
	hostChars = newCharset("-._~!$&'()*+,;=:[]%")
)

// newCharset returns the set of ASCII letters, digits and the characters in others.
func newCharset(others string) charset {
	var set charset
	for c := range len(set) {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		isOther := c < 0x80 && strings.IndexByte(others, byte(c)) >= 0
		set[c] = isLetter || isDigit(byte(c)) || isOther
	}
	return set
}

// containsAll reports whether all bytes of s are in the set.
func (set *charset) containsAll(s string) bool {
	for i := range len(s) {
		if !set[s[i]] {
			return false
		}
	}
	return true
}

// IsToken reports whether s is a token (RFC 9110, 5.6.2). Field names and methods must be tokens.
func IsToken(s string) bool { return s != "" && tokenChars.containsAll(s) }

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isControl reports whether c is a control character other than a tab. Field values and chunk extensions may
// not contain one.
func isControl(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }
