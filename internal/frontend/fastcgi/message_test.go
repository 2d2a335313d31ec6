package fastcgi

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
)

// encodeParams encodes parameters that are given as alternating names and values.
func encodeParams(pairs ...string) (b []byte) {
	for i := 0; i < len(pairs); i += 2 {
		b = fastcgi.AppendPair(b, pairs[i], pairs[i+1])
	}
	return b
}

func TestReadMessage(t *testing.T) {
	for _, tt := range []struct {
		name   string
		params []byte
		target string
		host   string
		length int64
		status int // status code of the expected error; 0 means no error
	}{
		{"target from REQUEST_URI", encodeParams("REQUEST_METHOD", "GET", "REQUEST_URI", "/a%2Fb?c", "HTTP_HOST", "h:8080", "SCRIPT_NAME", "/other"), "/a%2Fb?c", "h:8080", 0, 0},
		{"target from SCRIPT_NAME, PATH_INFO and QUERY_STRING", encodeParams("REQUEST_METHOD", "GET", "SCRIPT_NAME", "/a b", "PATH_INFO", "/c?", "QUERY_STRING", "d=1", "SERVER_NAME", "h", "SERVER_PORT", "8080"), "/a%20b/c%3F?d=1", "h:8080", 0, 0},
		{"default port", encodeParams("REQUEST_METHOD", "GET", "REQUEST_URI", "/", "SERVER_NAME", "h", "SERVER_PORT", "80"), "/", "h", 0, 0},
		{"unknown length", encodeParams("REQUEST_METHOD", "POST", "REQUEST_URI", "/"), "/", "", -1, 0},
		{"empty length", encodeParams("REQUEST_METHOD", "POST", "REQUEST_URI", "/", "CONTENT_LENGTH", ""), "/", "", -1, 0},
		{"length", encodeParams("REQUEST_METHOD", "POST", "REQUEST_URI", "/", "CONTENT_LENGTH", "17"), "/", "", 17, 0},
		{"no target", encodeParams("REQUEST_METHOD", "GET"), "", "", 0, 400},
		{"no method", encodeParams("REQUEST_URI", "/"), "", "", 0, 400},
		{"method with a space", encodeParams("REQUEST_METHOD", "GET /x", "REQUEST_URI", "/"), "", "", 0, 400},
		{"target with a space", encodeParams("REQUEST_METHOD", "GET", "REQUEST_URI", "/ HTTP/1.1"), "", "", 0, 400},
		{"length with a sign", encodeParams("REQUEST_METHOD", "POST", "REQUEST_URI", "/", "CONTENT_LENGTH", "+1"), "", "", 0, 400},
		{"empty name", encodeParams("", "x"), "", "", 0, 400},
	} {
		m, _, err := readMessage(tt.params, frontend.DefaultMaxHeaders)
		var requestErr *frontend.RequestError
		if tt.status != 0 {
			if !errors.As(err, &requestErr) || requestErr.StatusCode != tt.status {
				t.Errorf("%s: got error %v, want status %d", tt.name, err, tt.status)
			}
			continue
		}
		if err != nil || m.Target != tt.target || m.Host != tt.host || m.Length != tt.length {
			t.Errorf("%s: got target %q, host %q, length %d, error %v, want %q, %q, %d, nil",
				tt.name, m.Target, m.Host, m.Length, err, tt.target, tt.host, tt.length)
		}
	}
}

// For any parameters, the message can be written as an HTTP header section, and no value injects a header.
func FuzzReadMessage(f *testing.F) {
	f.Add(encodeParams("REQUEST_METHOD", "GET", "REQUEST_URI", "/", "HTTP_X", "y\r\nEvil: z"))
	f.Add(encodeParams("REQUEST_METHOD", "GET", "SCRIPT_NAME", "/\n", "HTTP_HOST", "a b"))
	f.Add(encodeParams("REQUEST_METHOD", "GET", "REQUEST_URI", "/", "HTTP_A_B", "1", "HTTP_a_b", "2", "HTTP_PROXY", "x", "HTTP_TRANSFER_ENCODING", "chunked"))
	f.Fuzz(func(t *testing.T, params []byte) {
		m, _, err := readMessage(params, frontend.DefaultMaxHeaders)
		if err != nil {
			return
		}
		if strings.ContainsAny(m.Method+m.Target+m.Host, " \r\n\x00") || m.Method == "" || m.Target == "" {
			t.Errorf("got method %q, target %q, host %q, want valid ones", m.Method, m.Target, m.Host)
		}
		var out strings.Builder
		m.Header.Write(&out)
		if n := strings.Count(out.String(), "\n"); n != len(m.Header) {
			t.Errorf("got %d lines for %d headers", n, len(m.Header))
		}
		for _, name := range []string{"Proxy", "Transfer-Encoding", "Connection", "Content-Length", "Host"} {
			if values, found := m.Header[name]; found {
				t.Errorf("header %s: got %q, want none", name, values)
			}
		}
		for name := range m.Header {
			if http.CanonicalHeaderKey(name) != name {
				t.Errorf("header %q is not in canonical form", name)
			}
		}
	})
}
