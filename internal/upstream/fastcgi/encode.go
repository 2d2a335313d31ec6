package fastcgi

import (
	"net"
	"net/url"
	"path"
	"strconv"
	"strings"

	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
)

// encode is the records of a request: BEGIN_REQUEST, its parameters and the part of its body that
// is held. told is how many bytes there are up to the end of the parameters.
func (t *Transport) encode(id uint16, x *engine.Request) (out []byte, told int) {
	held := x.Body.Bytes()
	out = make([]byte, 0, 1024+len(held))
	out = fastcgi.AppendBeginRequest(out, id, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: fastcgi.KeepConn})
	out = fastcgi.AppendStream(out, fastcgi.Params, id, t.params(x))
	out = fastcgi.AppendStreamEnd(out, fastcgi.Params, id)
	told = len(out)
	return fastcgi.AppendStream(out, fastcgi.Stdin, id, held), told
}

// params are the variables of a request (RFC 3875, 4.1). What the pool sets goes before ours.
func (t *Transport) params(x *engine.Request) (b []byte) {
	add := func(name, value string) {
		if _, own := t.o.Params[name]; !own {
			b = fastcgi.AppendPair(b, name, value)
		}
	}
	target, query, _ := strings.Cut(x.Target, "?")
	script := target
	if plain, err := url.PathUnescape(target); err == nil {
		script = plain
	}
	host, port, err := net.SplitHostPort(x.Host)
	if err != nil {
		host, port = x.Host, "80"
	}
	add("GATEWAY_INTERFACE", "CGI/1.1")
	add("SERVER_PROTOCOL", "HTTP/1.1")
	add("SERVER_SOFTWARE", "dunemoor")
	add("SERVER_NAME", host)
	add("SERVER_PORT", port)
	add("REQUEST_METHOD", x.Method)
	add("REQUEST_URI", x.Target)
	add("SCRIPT_NAME", script)
	add("QUERY_STRING", query)
	if t.o.DocumentRoot != "" {
		add("DOCUMENT_ROOT", t.o.DocumentRoot)
		// Cleaned as from the root, so that no path leads out of it.
		add("SCRIPT_FILENAME", strings.TrimSuffix(t.o.DocumentRoot, "/")+path.Clean("/"+script))
	}
	if n := x.Body.Len(); n > 0 {
		add("CONTENT_LENGTH", strconv.FormatInt(n, 10))
	}
	if v := x.Header["Content-Type"]; len(v) == 1 {
		add("CONTENT_TYPE", v[0])
	}
	if v := x.Header["X-Forwarded-For"]; len(v) == 1 {
		last := v[0]
		if i := strings.LastIndexByte(last, ','); i >= 0 {
			last = last[i+1:]
		}
		add("REMOTE_ADDR", strings.TrimSpace(last))
	}
	if v := x.Header["X-Forwarded-Proto"]; len(v) == 1 && v[0] == "https" {
		add("HTTPS", "on")
	}
	add("HTTP_HOST", x.Host)
	add("HTTP_X_TIMEOUT", strconv.FormatFloat(x.Left().Seconds(), 'f', 3, 64))
	for name, v := range x.Header {
		if name == "Content-Type" || name == "X-Timeout" || name == "Host" {
			continue
		}
		sep := ", "
		if name == "Cookie" {
			sep = "; " // RFC 6265, 5.4
		}
		if key := fastcgi.ParamName(name); key != "" {
			add(key, strings.Join(v, sep))
		}
	}
	for name, value := range t.o.Params {
		b = fastcgi.AppendPair(b, name, value)
	}
	return b
}
