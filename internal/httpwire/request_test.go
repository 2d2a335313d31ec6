package httpwire

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

const startOfGet = "GET /a HTTP/1.1\r\nHost: a\r\n"

// Each of these header sections is invalid, or is interpreted differently by different implementations, which would
// allow request smuggling.
func TestParseRequestRejectsMalformedHeader(t *testing.T) {
	for text, want := range map[string]error{
		"GET /a HTTP/1.1\r\n\r\n":                                                       ErrHost,
		startOfGet + "Host: b\r\n\r\n":                                                  ErrHost,
		"GET /a HTTP/1.1\r\nHost: a b\r\n\r\n":                                          ErrHost,
		"GET  /a HTTP/1.1\r\nHost: a\r\n\r\n":                                           ErrMalformed,
		"GET /a  HTTP/1.1\r\nHost: a\r\n\r\n":                                           ErrMalformed,
		"GET /a\r\nHost: a\r\n\r\n":                                                     ErrMalformed,
		"GET /a HTTP/1.1 \r\nHost: a\r\n\r\n":                                           ErrMalformed,
		"GET /a http/1.1\r\nHost: a\r\n\r\n":                                            ErrMalformed,
		"GET /a HTTP/2.0\r\nHost: a\r\n\r\n":                                            ErrVersion,
		"PRI * HTTP/2.0\r\n\r\n":                                                        ErrVersion,
		"G(T /a HTTP/1.1\r\nHost: a\r\n\r\n":                                            ErrMalformed,
		"GET a HTTP/1.1\r\nHost: a\r\n\r\n":                                             ErrMalformed,
		"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n":                                          ErrMalformed,
		"GET /a\x7f HTTP/1.1\r\nHost: a\r\n\r\n":                                        ErrMalformed,
		"GET /a\tb HTTP/1.1\r\nHost: a\r\n\r\n":                                         ErrMalformed,
		"GET /a HTTP/1.1\nHost: a\r\n\r\n":                                              ErrMalformed,
		"GET /a HTTP/1.1\r\nHost: a\n\r\n":                                              ErrMalformed,
		"GET /a HTTP/1.1\r\nHost: a\r\n\n":                                              ErrMalformed,
		startOfGet + " X-Folded: a\r\n\r\n":                                             ErrMalformed,
		startOfGet + "X-A: a\r\n folded\r\n\r\n":                                        ErrMalformed,
		startOfGet + "X-A : a\r\n\r\n":                                                  ErrMalformed,
		startOfGet + ": a\r\n\r\n":                                                      ErrMalformed,
		startOfGet + "X-A\r\n\r\n":                                                      ErrMalformed,
		startOfGet + "X-A: a\x00b\r\n\r\n":                                              ErrMalformed,
		startOfGet + "X-A: a\rb\r\n\r\n":                                                ErrMalformed,
		startOfGet + "X-\xc3\xa4: a\r\n\r\n":                                            ErrMalformed,
		startOfGet + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n":                   ErrFraming,
		startOfGet + "Content-Length: 1, 1\r\n\r\n":                                     ErrFraming,
		startOfGet + "Content-Length: +1\r\n\r\n":                                       ErrFraming,
		startOfGet + "Content-Length: -1\r\n\r\n":                                       ErrFraming,
		startOfGet + "Content-Length: 0x1\r\n\r\n":                                      ErrFraming,
		startOfGet + "Content-Length:\r\n\r\n":                                          ErrFraming,
		startOfGet + "Content-Length: 9999999999999999999\r\n\r\n":                      ErrFraming,
		startOfGet + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":          ErrFraming,
		startOfGet + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n": ErrFraming,
		startOfGet + "Transfer-Encoding: gzip, chunked\r\n\r\n":                         ErrTransferEncoding,
		startOfGet + "Transfer-Encoding: \x0bchunked\r\n\r\n":                           ErrMalformed,
		startOfGet + "Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n":    ErrTrailerField,
		startOfGet + "Expect: 200-ok\r\n\r\n":                                           ErrExpectation,
		"GET /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                         ErrFraming,
	} {
		end := HeaderEnd([]byte(text), 0)
		if end != len(text) {
			t.Errorf("header end of %q: got %d, want %d", text, end, len(text))
			continue
		}
		var r Request
		if err := ParseRequest([]byte(text), &r); err != want {
			t.Errorf("%q: got error %v, want %v", text, err, want)
		}
	}
}

func TestParseRequest(t *testing.T) {
	for text, want := range map[string]Request{
		startOfGet + "\r\n": {Method: "GET", Target: "/a", Host: "a", HostHeader: "a", Header: http.Header{}},
		"POST http://b:80/x?y HTTP/1.1\r\nHost: a\r\ncontent-length:  7\t\r\nx-a: 1\r\nX-b:\r\nX-A: 2\r\n\r\n": {
			Method: "POST", Target: "http://b:80/x?y", Host: "b:80", HostHeader: "a", ContentLength: 7,
			Header: http.Header{"Content-Length": {"7"}, "X-A": {"1", "2"}, "X-B": {""}},
		},
		"GET / HTTP/1.0\r\n\r\n": {Method: "GET", Target: "/", Header: http.Header{}, HTTP10: true, Close: true},
		"GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n": {
			Method: "GET", Target: "/", Header: http.Header{"Connection": {"Keep-Alive"}}, HTTP10: true,
		},
		startOfGet + "Transfer-Encoding: Chunked\r\nExpect: 100-Continue\r\nConnection: a, close\r\n\r\n": {
			Method: "GET", Target: "/a", Host: "a", HostHeader: "a", ContentLength: -1, ExpectContinue: true, Close: true,
			Header: http.Header{"Transfer-Encoding": {"Chunked"}, "Expect": {"100-Continue"}, "Connection": {"a, close"}},
		},
		startOfGet + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n": {
			Method: "GET", Target: "/a", Host: "a", HostHeader: "a", Upgrade: "websocket",
			Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {"websocket"}},
		},
		"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n":         {Method: "OPTIONS", Target: "*", Host: "a", HostHeader: "a", Header: http.Header{}},
		"CONNECT b:443 HTTP/1.1\r\nHost: b:443\r\n\r\n": {Method: "CONNECT", Target: "b:443", Host: "b:443", HostHeader: "b:443", Header: http.Header{}},
	} {
		var r Request
		if err := ParseRequest([]byte(text), &r); err != nil || !reflect.DeepEqual(r, want) {
			t.Errorf("%q:\ngot %+v, error %v, want\n%+v", text, r, err, want)
		}
	}
}

// Each header section that ParseRequest accepts is also accepted by net/http, with the same result. The reverse need
// not hold.
func FuzzParseRequest(f *testing.F) {
	for _, seed := range []string{
		startOfGet + "\r\n", startOfGet + "Content-Length: 5\r\n\r\n", startOfGet + "Transfer-Encoding: chunked\r\n\r\n", "GET * HTTP/1.0\r\nHost: \r\n\r\n",
		"GET http://a:1/?b#c HTTP/1.1\r\nHost: x\r\nX-A: \xff\r\nx-a:\tb\r\n\r\n", "CONNECT [::1]:1 HTTP/1.1\r\nHost: x\r\n\r\n",
		startOfGet + "Connection: close, a\r\nConnection: keep-alive\r\nTrailer: X-B\r\n\r\n", "GET //a/%41?%zz HTTP/1.1\r\nHost: [::1]:80\r\n\r\n",
		"POST / HTTP/1.0\r\nConnection: keep-alive\r\nPragma: no-cache\r\nExpect: x\r\n\r\n", "A_! /{} HTTP/1.1\r\nHost: a%41\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		end := HeaderEnd(b, 0)
		if end < 0 {
			return
		}
		var r Request
		if ParseRequest(b[:end], &r) != nil {
			return
		}
		in := bufio.NewReaderSize(bytes.NewReader(b[:end]), 1<<16)
		want, err := http.ReadRequest(in)
		if err != nil {
			t.Fatalf("%q: got no error, but net/http returns %v", b[:end], err)
		}
		if r.Method != want.Method || r.Target != want.RequestURI || r.Host != want.Host || r.Close != want.Close || r.HTTP10 != !want.ProtoAtLeast(1, 1) {
			t.Fatalf("%q: got %+v, net/http returns %+v", b[:end], r, want)
		}
		if chunked := len(want.TransferEncoding) > 0; r.ContentLength != want.ContentLength || chunked != (r.ContentLength < 0) {
			t.Fatalf("%q: got length %d, net/http returns %d, transfer encoding %v", b[:end], r.ContentLength, want.ContentLength, want.TransferEncoding)
		}
		h := maps.Clone(r.Header)
		if len(h["Pragma"]) > 0 && h["Pragma"][0] == "no-cache" && h["Cache-Control"] == nil {
			h["Cache-Control"] = []string{"no-cache"} // net/http adds it
		}
		for _, name := range []string{"Transfer-Encoding", "Trailer", "Connection", "Host"} { // net/http removes some of these
			delete(h, name)
			delete(want.Header, name)
		}
		if !reflect.DeepEqual(h, want.Header) {
			t.Fatalf("%q: got header %q, net/http returns %q", b[:end], h, want.Header)
		}
	})
}

// BenchmarkParseRequest parses the header section of a request in the platform's protocol, with this package and with
// net/http.
func BenchmarkParseRequest(b *testing.B) {
	text := []byte("POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\n" +
		"X-Priority-Class: checkout\r\nX-Tenant-Id: acme\r\nX-Timeout: 0.480\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length: 212\r\n\r\n")
	b.Run("ours", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var r Request
			if HeaderEnd(text, 0) < 0 || ParseRequest(text, &r) != nil {
				b.Fatal("request rejected")
			}
		}
	})
	b.Run("net-http", func(b *testing.B) {
		b.ReportAllocs()
		in := bufio.NewReader(strings.NewReader(""))
		src := bytes.NewReader(nil)
		for b.Loop() {
			src.Reset(text)
			in.Reset(src)
			if _, err := http.ReadRequest(in); err != nil {
				b.Fatal(err)
			}
		}
	})
}
