package fastcgi

import (
	"net"
	"testing"
)

func TestParams(t *testing.T) {
	var got map[string]string
	r := startResponder(t, emptyValues, func(c net.Conn, id uint16, params map[string]string, _ string) {
		got = params
		c.Write(okRecords(id, "good"))
	})
	_, h := newTestHost(t, r.Addr().String())
	x := newTestRequest("POST", "/a%20b/../../etc/passwd?x=1&y=%32", "four")
	x.Host = "calendar.example.org:8080"
	x.Header.Set("X-Forwarded-For", "10.1.2.3, 192.0.2.7")
	x.Header.Set("X-Forwarded-Proto", "https")
	attempt(h, x)
	for name, want := range map[string]string{
		"REQUEST_METHOD": "POST", "REQUEST_URI": "/a%20b/../../etc/passwd?x=1&y=%32", "QUERY_STRING": "x=1&y=%32",
		"SCRIPT_NAME": "/a b/../../etc/passwd", "SCRIPT_FILENAME": "/srv/www/etc/passwd", "DOCUMENT_ROOT": "/srv/www",
		"CONTENT_LENGTH": "4", "CONTENT_TYPE": "text/plain", "SERVER_NAME": "calendar.example.org", "SERVER_PORT": "8080",
		"HTTP_HOST": "calendar.example.org:8080", "HTTP_COOKIE": "a=1; b=2", "REMOTE_ADDR": "192.0.2.7", "HTTPS": "on",
		"APP_ENV": "test", "GATEWAY_INTERFACE": "CGI/1.1",
	} {
		if got[name] != want {
			t.Errorf("%s: got %q, want %q", name, got[name], want)
		}
	}
	for _, name := range []string{"HTTP_PROXY", "HTTP_BAD_NAME", "HTTP_CONTENT_TYPE"} {
		if value, ok := got[name]; ok {
			t.Errorf("%s: got %q, want none", name, value)
		}
	}
}
