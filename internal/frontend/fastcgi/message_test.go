package fastcgi

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
)

func params(pairs ...string) (b []byte) {
	for i := 0; i < len(pairs); i += 2 {
		b = fastcgi.AppendPair(b, pairs[i], pairs[i+1])
	}
	return b
}

// Parameters become the head that the web server's client sent, as far as they tell it.
func TestMessage(t *testing.T) {
	for _, c := range []struct {
		name   string
		in     []byte
		target string
		host   string
		length int64
		status int // 0: it is right
	}{
		{"by REQUEST_URI", params("REQUEST_METHOD", "GET", "REQUEST_URI", "/a%2Fb?c", "HTTP_HOST", "h:8080", "SCRIPT_NAME", "/other"), "/a%2Fb?c", "h:8080", 0, 0},
		{"by its parts", params("REQUEST_METHOD", "GET", "SCRIPT_NAME", "/a b", "PATH_INFO", "/c?", "QUERY_STRING", "d=1", "SERVER_NAME", "h", "SERVER_PORT", "8080"), "/a%20b/c%3F?d=1", "h:8080", 0, 0},
		{"on the usual port", params("REQUEST_METHOD", "GET", "REQUEST_URI", "/", "SERVER_NAME", "h", "SERVER_PORT", "80"), "/", "h", 0, 0},
		{"a length that is not told", params("REQUEST_METHOD", "POST", "REQUEST_URI", "/"), "/", "", -1, 0},
		{"an empty length", params("REQUEST_METHOD", "POST", "REQUEST_URI", "/", "CONTENT_LENGTH", ""), "/", "", -1, 0},
		{"a length", params("REQUEST_METHOD", "POST", "REQUEST_URI", "/", "CONTENT_LENGTH", "17"), "/", "", 17, 0},
		{"no target", params("REQUEST_METHOD", "GET"), "", "", 0, 400},
		{"no method", params("REQUEST_URI", "/"), "", "", 0, 400},
		{"a method of two words", params("REQUEST_METHOD", "GET /x", "REQUEST_URI", "/"), "", "", 0, 400},
		{"a target with a blank", params("REQUEST_METHOD", "GET", "REQUEST_URI", "/ HTTP/1.1"), "", "", 0, 400},
		{"a length with a sign", params("REQUEST_METHOD", "POST", "REQUEST_URI", "/", "CONTENT_LENGTH", "+1"), "", "", 0, 400},
		{"a name that is none", params("", "x"), "", "", 0, 400},
	} {
		m, _, err := message(c.in)
		var bad *frontend.BadRequest
		switch {
		case c.status != 0 && (!errors.As(err, &bad) || bad.Status != c.status):
			t.Errorf("%s: %v", c.name, err)
		case c.status == 0 && (err != nil || m.Target != c.target || m.Host != c.host || m.Length != c.length):
			t.Errorf("%s: %q at %q, length %d, %v", c.name, m.Target, m.Host, m.Length, err)
		}
	}
}

// Whatever parameters come, what is made of them can stand in a head of HTTP: it guards hosts against
// headers that a value smuggles in.
func FuzzMessage(f *testing.F) {
	f.Add(params("REQUEST_METHOD", "GET", "REQUEST_URI", "/", "HTTP_X", "y\r\nEvil: z"))
	f.Add(params("REQUEST_METHOD", "GET", "SCRIPT_NAME", "/\n", "HTTP_HOST", "a b"))
	f.Add(params("REQUEST_METHOD", "GET", "REQUEST_URI", "/", "HTTP_A_B", "1", "HTTP_a_b", "2", "HTTP_PROXY", "x", "HTTP_TRANSFER_ENCODING", "chunked"))
	f.Fuzz(func(t *testing.T, in []byte) {
		m, _, err := message(in)
		if err != nil {
			return
		}
		if strings.ContainsAny(m.Method+m.Target+m.Host, " \r\n\x00") || m.Method == "" || m.Target == "" {
			t.Errorf("%q %q %q", m.Method, m.Target, m.Host)
		}
		var out strings.Builder
		m.Header.Write(&out)
		if n := strings.Count(out.String(), "\n"); n != len(m.Header) {
			t.Errorf("%d headers on %d lines", len(m.Header), n)
		}
		for _, name := range []string{"Proxy", "Transfer-Encoding", "Connection", "Content-Length", "Host"} {
			if v, there := m.Header[name]; there {
				t.Errorf("%s: %q", name, v)
			}
		}
		for name := range m.Header {
			if http.CanonicalHeaderKey(name) != name {
				t.Errorf("header %q", name)
			}
		}
	})
}
