package fastcgi

import (
	"strings"
	"testing"
)

func TestParseResponseHeader(t *testing.T) {
	const malformed, incomplete = 0, -1
	for _, test := range []struct {
		input      string
		wantStatus int
		wantBody   string
	}{
		{"Content-Type: text/plain\r\n\r\nbody", 200, "body"},
		{"Content-Type: a\n\nbody", 200, "body"},
		{"Status: 404 Not Found\r\nX: y\r\n\r\n", 404, ""},
		{"Status: 204\r\n\r\n", 204, ""},
		{"Location: /there\r\n\r\n", 302, ""},
		{"Status: 301 Moved\nLocation: http://a/\n\n", 301, ""},
		{"Content-Type: a\r\n", incomplete, ""},
		{"Content-Type: a\r\n\r", incomplete, ""},
		{"", incomplete, ""},
		{"\r\nbody", malformed, ""},
		{"HTTP/1.1 200 OK\r\n\r\n", malformed, ""},
		{"no colon\r\n\r\n", malformed, ""},
		{"Na me: x\r\n\r\n", malformed, ""},
		{"Status: 99\r\n\r\n", malformed, ""},
		{"Status: 100 Continue\r\n\r\n", malformed, ""},
		{"Status: abc\r\n\r\n", malformed, ""},
		{"Status: 600\r\n\r\n", malformed, ""},
		{"Status: 200\r\nStatus: 500\r\n\r\n", malformed, ""},
		{"X: a\rb\r\n\r\n", malformed, ""},
		{": x\r\n\r\n", malformed, ""},
		{"X: " + strings.Repeat("a", MaxResponseHeaderBytes), malformed, ""},
		{"X: " + strings.Repeat("a", MaxResponseHeaderBytes) + "\r\n\r\n", malformed, ""},
	} {
		status, _, bodyStart, err := ParseResponseHeader([]byte(test.input))
		switch test.wantStatus {
		case malformed:
			if err != ErrMalformedResponse {
				t.Errorf("%.40q: got error %v, want %v", test.input, err, ErrMalformedResponse)
			}
		case incomplete:
			if err != nil || bodyStart != 0 {
				t.Errorf("%.40q: got body start %d, error %v, want 0, nil for an incomplete header section", test.input, bodyStart, err)
			}
		default:
			if err != nil || status != test.wantStatus || test.input[bodyStart:] != test.wantBody {
				t.Errorf("%.40q: got status %d, body %q, error %v, want %d, %q", test.input, status, test.input[bodyStart:], err, test.wantStatus, test.wantBody)
			}
		}
	}
}

// No two header fields are converted to the same parameter, and none to a parameter that programs could misinterpret.
func TestParamAndHeaderNames(t *testing.T) {
	for header, want := range map[string]string{
		"X-Request-Id": "HTTP_X_REQUEST_ID", "X_Request_Id": "", "Proxy": "", "proxy": "", "Accept": "HTTP_ACCEPT",
	} {
		if got := ParamName(header); got != want {
			t.Errorf("ParamName(%q): got %q, want %q", header, got, want)
		}
	}
	for param, want := range map[string]string{
		"HTTP_X_REQUEST_ID": "X-Request-Id", "HTTP_PROXY": "", "HTTP_PROxY": "", "HTTP_": "", "CONTENT_TYPE": "", "HTTP_A-B": "", "HTTP_A B": "",
	} {
		if got := HeaderName(param); got != want {
			t.Errorf("HeaderName(%q): got %q, want %q", param, got, want)
		}
	}
}
