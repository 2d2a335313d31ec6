package httpwire

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"
)

const get = "GET /a HTTP/1.1\r\nHost: a\r\n"

// Each of these reads in one way to some and in another to others, or in none: each guards against
// a request hidden in another, or against a head that hosts can't read.
func TestRefusedHeads(t *testing.T) {
	for text, want := range map[string]error{
		"GET /a HTTP/1.1\r\n\r\n":                                                ErrHost,
		get + "Host: b\r\n\r\n":                                                  ErrHost,
		"GET /a HTTP/1.1\r\nHost: a b\r\n\r\n":                                   ErrHost,
		"GET  /a HTTP/1.1\r\nHost: a\r\n\r\n":                                    ErrMalformed,
		"GET /a  HTTP/1.1\r\nHost: a\r\n\r\n":                                    ErrMalformed,
		"GET /a\r\nHost: a\r\n\r\n":                                              ErrMalformed,
		"GET /a HTTP/1.1 \r\nHost: a\r\n\r\n":                                    ErrMalformed,
		"GET /a http/1.1\r\nHost: a\r\n\r\n":                                     ErrMalformed,
		"GET /a HTTP/2.0\r\nHost: a\r\n\r\n":                                     ErrVersion,
		"PRI * HTTP/2.0\r\n\r\n":                                                 ErrVersion,
		"G(T /a HTTP/1.1\r\nHost: a\r\n\r\n":                                     ErrMalformed,
		"GET a HTTP/1.1\r\nHost: a\r\n\r\n":                                      ErrMalformed,
		"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n":                                   ErrMalformed,
		"GET /a\x7f HTTP/1.1\r\nHost: a\r\n\r\n":                                 ErrMalformed,
		"GET /a\tb HTTP/1.1\r\nHost: a\r\n\r\n":                                  ErrMalformed,
		"GET /a HTTP/1.1\nHost: a\r\n\r\n":                                       ErrMalformed,
		"GET /a HTTP/1.1\r\nHost: a\n\r\n":                                       ErrMalformed,
		"GET /a HTTP/1.1\r\nHost: a\r\n\n":                                       ErrMalformed,
		get + " X-Folded: a\r\n\r\n":                                             ErrMalformed,
		get + "X-A: a\r\n folded\r\n\r\n":                                        ErrMalformed,
		get + "X-A : a\r\n\r\n":                                                  ErrMalformed,
		get + ": a\r\n\r\n":                                                      ErrMalformed,
		get + "X-A\r\n\r\n":                                                      ErrMalformed,
		get + "X-A: a\x00b\r\n\r\n":                                              ErrMalformed,
		get + "X-A: a\rb\r\n\r\n":                                                ErrMalformed,
		get + "X-\xc3\xa4: a\r\n\r\n":                                            ErrMalformed,
		get + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n":                   ErrFraming,
		get + "Content-Length: 1, 1\r\n\r\n":                                     ErrFraming,
		get + "Content-Length: +1\r\n\r\n":                                       ErrFraming,
		get + "Content-Length: -1\r\n\r\n":                                       ErrFraming,
		get + "Content-Length: 0x1\r\n\r\n":                                      ErrFraming,
		get + "Content-Length:\r\n\r\n":                                          ErrFraming,
		get + "Content-Length: 9999999999999999999\r\n\r\n":                      ErrFraming,
		get + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":          ErrFraming,
		get + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n": ErrFraming,
		get + "Transfer-Encoding: gzip, chunked\r\n\r\n":                         ErrEncoding,
		get + "Transfer-Encoding: \x0bchunked\r\n\r\n":                           ErrMalformed,
		get + "Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n":    ErrTrailer,
		get + "Expect: 200-ok\r\n\r\n":                                           ErrExpect,
		"GET /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                  ErrFraming,
	} {
		end := HeaderEnd([]byte(text), 0)
		if end != len(text) {
			t.Errorf("%q ends at %d", text, end)
			continue
		}
		var r Request
		if err := ParseRequest([]byte(text), &r); err != want {
			t.Errorf("%q: %v, want %v", text, err, want)
		}
	}
}

func TestParse(t *testing.T) {
	for text, want := range map[string]Request{
		get + "\r\n": {Method: "GET", Target: "/a", Host: "a", HostHeader: "a", Header: http.Header{}},
		"POST http://b:80/x?y HTTP/1.1\r\nHost: a\r\ncontent-length:  7\t\r\nx-a: 1\r\nX-b:\r\nX-A: 2\r\n\r\n": {
			Method: "POST", Target: "http://b:80/x?y", Host: "b:80", HostHeader: "a", ContentLength: 7,
			Header: http.Header{"Content-Length": {"7"}, "X-A": {"1", "2"}, "X-B": {""}},
		},
		"GET / HTTP/1.0\r\n\r\n": {Method: "GET", Target: "/", Header: http.Header{}, HTTP10: true, Close: true},
		"GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n": {
			Method: "GET", Target: "/", Header: http.Header{"Connection": {"Keep-Alive"}}, HTTP10: true,
		},
		get + "Transfer-Encoding: Chunked\r\nExpect: 100-Continue\r\nConnection: a, close\r\n\r\n": {
			Method: "GET", Target: "/a", Host: "a", HostHeader: "a", ContentLength: -1, ExpectContinue: true, Close: true,
			Header: http.Header{"Transfer-Encoding": {"Chunked"}, "Expect": {"100-Continue"}, "Connection": {"a, close"}},
		},
		get + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n": {
			Method: "GET", Target: "/a", Host: "a", HostHeader: "a", Upgrade: "websocket",
			Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {"websocket"}},
		},
		"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n":         {Method: "OPTIONS", Target: "*", Host: "a", HostHeader: "a", Header: http.Header{}},
		"CONNECT b:443 HTTP/1.1\r\nHost: b:443\r\n\r\n": {Method: "CONNECT", Target: "b:443", Host: "b:443", HostHeader: "b:443", Header: http.Header{}},
	} {
		var r Request
		if err := ParseRequest([]byte(text), &r); err != nil || !reflect.DeepEqual(r, want) {
			t.Errorf("%q:\n%+v, %v, want\n%+v", text, r, err, want)
		}
	}
}

// A head's end is found whatever the pieces that it comes in.
func TestHeadEnd(t *testing.T) {
	for _, text := range []string{get + "\r\n", "GET / HTTP/1.1\nHost: a\n\n", get + "\n"} {
		for cut := range text {
			looked := 0
			if HeaderEnd([]byte(text[:cut]), 0) < 0 {
				looked = cut
			} else {
				t.Errorf("%q ends at %d", text, cut)
			}
			if end := HeaderEnd([]byte(text+"more"), looked); end != len(text) {
				t.Errorf("%q, looked at up to %d: ends at %d", text, cut, end)
			}
		}
	}
}

// What is taken here net/http takes too, and understands alike: it guards against a reading of
// our own. What only net/http takes is refused.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		get + "\r\n", get + "Content-Length: 5\r\n\r\n", get + "Transfer-Encoding: chunked\r\n\r\n", "GET * HTTP/1.0\r\nHost: \r\n\r\n",
		"GET http://a:1/?b#c HTTP/1.1\r\nHost: x\r\nX-A: \xff\r\nx-a:\tb\r\n\r\n", "CONNECT [::1]:1 HTTP/1.1\r\nHost: x\r\n\r\n",
		get + "Connection: close, a\r\nConnection: keep-alive\r\nTrailer: X-B\r\n\r\n", "GET //a/%41?%zz HTTP/1.1\r\nHost: [::1]:80\r\n\r\n",
		"POST / HTTP/1.0\r\nConnection: keep-alive\r\nPragma: no-cache\r\nExpect: x\r\n\r\n", "A_! /{} HTTP/1.1\r\nHost: a%41\r\n\r\n",
	} {
		f.Add([]byte(s))
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
			t.Fatalf("%q: net/http refuses it: %v", b[:end], err)
		}
		if r.Method != want.Method || r.Target != want.RequestURI || r.Host != want.Host || r.Close != want.Close || r.HTTP10 != !want.ProtoAtLeast(1, 1) {
			t.Fatalf("%q: %+v, net/http has %+v", b[:end], r, want)
		}
		if chunked := len(want.TransferEncoding) > 0; r.ContentLength != want.ContentLength || chunked != (r.ContentLength < 0) {
			t.Fatalf("%q: length %d, net/http has %d, %v", b[:end], r.ContentLength, want.ContentLength, want.TransferEncoding)
		}
		h := maps.Clone(r.Header)
		if len(h["Pragma"]) > 0 && h["Pragma"][0] == "no-cache" && h["Cache-Control"] == nil {
			h["Cache-Control"] = []string{"no-cache"} // it adds that
		}
		for _, name := range []string{"Transfer-Encoding", "Trailer", "Connection", "Host"} { // it takes some of these out
			delete(h, name)
			delete(want.Header, name)
		}
		if !reflect.DeepEqual(h, want.Header) {
			t.Fatalf("%q: %q, net/http has %q", b[:end], h, want.Header)
		}
	})
}

// Whatever a host puts into a header, an answer stays one answer.
func TestAppendFields(t *testing.T) {
	got := string(AppendHeader(nil, http.Header{"X-A": {"a\r\nX-B: b\nc"}, "X C": {"d"}, "": {"e"}, "X\r\nD": {"f"}}))
	if want := "X-A: a  X-B: b c\r\n"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	got = string(AppendHeader(nil, http.Header{"Set-Cookie": {"a", "b"}}))
	if want := "Set-Cookie: a\r\nSet-Cookie: b\r\n"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

func TestAppendDate(t *testing.T) {
	at := time.Date(2026, 12, 1, 23, 59, 59, 999, time.FixedZone("x", 3600))
	for range 2 { // made, and made already
		if got := string(AppendDate(nil, at)); got != "Date: Tue, 01 Dec 2026 22:59:59 GMT\r\n" {
			t.Error(got)
		}
	}
	if got := string(AppendDate(nil, at.Add(time.Second))); got != "Date: Tue, 01 Dec 2026 23:00:00 GMT\r\n" {
		t.Error(got)
	}
}

// BenchmarkParse reads the head of a request in the platform's form, beside net/http.
func BenchmarkParse(b *testing.B) {
	text := []byte("POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\n" +
		"X-Priority-Class: checkout\r\nX-Tenant-Id: acme\r\nX-Timeout: 0.480\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length: 212\r\n\r\n")
	b.Run("ours", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var r Request
			if HeaderEnd(text, 0) < 0 || ParseRequest(text, &r) != nil {
				b.Fatal("refused")
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
