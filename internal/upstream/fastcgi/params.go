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

// spareRecordBytes is enough for the records of most requests without a body.
const spareRecordBytes = 1024

// encodeRequest returns the records of a request: BEGIN_REQUEST, its parameters and the buffered part of its body.
// paramsEnd is the index of the first byte after the parameters.
func (t *Transport) encodeRequest(id uint16, x *engine.Request) (records []byte, paramsEnd int) {
	buffered := x.Body.Bytes()
	records = make([]byte, 0, spareRecordBytes+len(buffered))
	records = fastcgi.AppendBeginRequest(records, id, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: fastcgi.KeepConn})
	records = fastcgi.AppendStream(records, fastcgi.Params, id, t.encodeParams(x))
	records = fastcgi.AppendStreamEnd(records, fastcgi.Params, id)
	paramsEnd = len(records)
	return fastcgi.AppendStream(records, fastcgi.Stdin, id, buffered), paramsEnd
}

// paramsEncoder encodes the parameters of a request. Parameters that are configured for the pool replace others of the
// same name.
type paramsEncoder struct {
	encoded    []byte
	configured map[string]string
}

func (e *paramsEncoder) add(name, value string) {
	if _, replaced := e.configured[name]; !replaced {
		e.encoded = fastcgi.AppendPair(e.encoded, name, value)
	}
}

// encodeParams returns the parameters of a request (RFC 3875, 4.1).
func (t *Transport) encodeParams(x *engine.Request) []byte {
	e := &paramsEncoder{configured: t.params}
	e.addServer(x)
	e.addScript(x, t.documentRoot)
	e.addContent(x)
	e.addClient(x)
	e.addHeader(x)
	for name, value := range t.params {
		e.encoded = fastcgi.AppendPair(e.encoded, name, value)
	}
	return e.encoded
}

// addServer adds the parameters that describe the gateway.
func (e *paramsEncoder) addServer(x *engine.Request) {
	host, port, err := net.SplitHostPort(x.Host)
	if err != nil {
		host = x.Host
		port = "80"
	}
	e.add("GATEWAY_INTERFACE", "CGI/1.1")
	e.add("SERVER_PROTOCOL", "HTTP/1.1")
	e.add("SERVER_SOFTWARE", "dunemoor")
	e.add("SERVER_NAME", host)
	e.add("SERVER_PORT", port)
}

// addScript adds the request line, and the path of the script's file below the document root.
func (e *paramsEncoder) addScript(x *engine.Request, documentRoot string) {
	target, query, _ := strings.Cut(x.Target, "?")
	script := target
	if unescaped, err := url.PathUnescape(target); err == nil {
		script = unescaped
	}
	e.add("REQUEST_METHOD", x.Method)
	e.add("REQUEST_URI", x.Target)
	e.add("SCRIPT_NAME", script)
	e.add("QUERY_STRING", query)
	if documentRoot != "" {
		e.add("DOCUMENT_ROOT", documentRoot)
		// The script is cleaned as an absolute path, so that it can't escape from the document root.
		e.add("SCRIPT_FILENAME", strings.TrimSuffix(documentRoot, "/")+path.Clean("/"+script))
	}
}

// addContent adds the length and type of the body.
func (e *paramsEncoder) addContent(x *engine.Request) {
	if length := x.Body.Len(); length > 0 {
		e.add("CONTENT_LENGTH", strconv.FormatInt(length, 10))
	}
	if values := x.Header["Content-Type"]; len(values) == 1 {
		e.add("CONTENT_TYPE", values[0])
	}
}

// addClient adds the address of the client, which is the last one of X-Forwarded-For, and whether the client uses TLS.
func (e *paramsEncoder) addClient(x *engine.Request) {
	if values := x.Header["X-Forwarded-For"]; len(values) == 1 {
		lastComma := strings.LastIndexByte(values[0], ',') // -1 if there is only one address
		e.add("REMOTE_ADDR", strings.TrimSpace(values[0][lastComma+1:]))
	}
	if values := x.Header["X-Forwarded-Proto"]; len(values) == 1 && values[0] == "https" {
		e.add("HTTPS", "on")
	}
}

// addHeader adds the header fields.
func (e *paramsEncoder) addHeader(x *engine.Request) {
	e.add("HTTP_HOST", x.Host)
	e.add("HTTP_X_TIMEOUT", strconv.FormatFloat(x.Remaining().Seconds(), 'f', 3, 64))
	for name, values := range x.Header {
		if name == "Content-Type" || name == "X-Timeout" || name == "Host" {
			continue
		}
		separator := ", "
		if name == "Cookie" {
			separator = "; " // RFC 6265, 5.4
		}
		if param := fastcgi.ParamName(name); param != "" {
			e.add(param, strings.Join(values, separator))
		}
	}
}
