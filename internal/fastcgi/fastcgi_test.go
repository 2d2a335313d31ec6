package fastcgi

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// log notes the calls of either machine as text.
type log struct {
	s      *Server
	lines  []string
	bodies map[uint16][]byte
}

func (l *log) add(format string, args ...any) {
	l.lines = append(l.lines, fmt.Sprintf(format, args...))
}

func (l *log) Request(id uint16, params []byte, keep bool, err error) {
	l.add("request %d %q keep=%t %v", id, params, keep, err)
}

func (l *log) body(id uint16, part []byte) {
	if l.bodies == nil {
		l.bodies = map[uint16][]byte{}
	}
	l.bodies[id] = append(l.bodies[id], part...)
}

func (l *log) Body(id uint16, part []byte, end bool) {
	l.body(id, part)
	if end {
		l.add("body %d %q", id, l.bodies[id])
	}
}
func (l *log) Abort(id uint16)                        { l.add("abort %d", id) }
func (l *log) Reply(b []byte)                         { l.add("reply % x", b) }
func (l *log) Stdout(id uint16, p []byte)             { l.body(id, p) }
func (l *log) Stderr(id uint16, p []byte)             {}
func (l *log) EndRequest(id uint16, e EndRequestBody) { l.add("end %d %q %v", id, l.bodies[id], e) }
func (l *log) Values(v Values)                        { l.add("values %+v", v) }
func (l *log) UnsolicitedRecord()                     { l.add("stray") }

// message is a whole request.
func message(id uint16, keep uint8, params, body string) (b []byte) {
	b = AppendBeginRequest(b, id, BeginRequestBody{Responder, keep})
	b = AppendStreamEnd(AppendStream(b, Params, id, []byte(params)), Params, id)
	return AppendStreamEnd(AppendStream(b, Stdin, id, []byte(body)), Stdin, id)
}

// padded is a record with padding, as others write them.
func padded(t Type, id uint16, content string, padding int) []byte {
	b := AppendHead(nil, Head{t, id, len(content), padding})
	return append(append(b, content...), make([]byte, padding)...)
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// However a stream is cut, and whatever the padding, the same comes of it.
func TestAnyCut(t *testing.T) {
	long := strings.Repeat("0123456789", 7_000)
	stream := join(
		padded(GetValues, 0, string(AppendPair(AppendPair(nil, MpxsConns, ""), "OTHER", "")), 5),
		AppendBeginRequest(nil, 1, BeginRequestBody{Responder, KeepConn}), AppendBeginRequest(nil, 2, BeginRequestBody{Responder, 0}),
		padded(Params, 1, "abc", 255), padded(Params, 2, "x", 0), padded(Params, 1, "def", 1), padded(Params, 1, "", 200), padded(Params, 2, "", 7),
		AppendStream(nil, Stdin, 1, []byte(long)), padded(Stdin, 2, "two", 3), padded(Stdin, 2, "", 0), padded(Type(77), 2, "what", 3),
		AppendStreamEnd(nil, Stdin, 1), padded(AbortRequest, 2, "", 0), padded(Type(99), 0, "?", 1),
	)
	want := []string{
		fmt.Sprintf("reply % x", AppendRecord(nil, GetValuesResult, 0, AppendPair(nil, MpxsConns, "1"))),
		`request 1 "abcdef" keep=true <nil>`, `request 2 "x" keep=false <nil>`, `body 2 "two"`, fmt.Sprintf("body 1 %q", long), "abort 2",
		fmt.Sprintf("reply % x", AppendUnknown(nil, 99)),
	}
	for seed := range uint64(25) {
		rng := rand.New(rand.NewPCG(seed, 0))
		most := []int{1, 2, 9, 100, 70_000}[seed%5]
		l := &log{}
		l.s = NewServer(l, 5)
		for rest := stream; len(rest) > 0; {
			n := min(1+rng.IntN(most), len(rest))
			if err := l.s.Feed(rest[:n]); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			rest = rest[n:]
		}
		if !slices.Equal(l.lines, want) {
			t.Fatalf("seed %d: %.300q, want %.300q", seed, l.lines, want)
		}
	}
}

// What is out of order, of a wrong length or in use ends the connection; what concerns nobody is
// passed over; what can't be served is ended with its reason.
func TestServerOrder(t *testing.T) {
	begin := func(id uint16) []byte { return AppendBeginRequest(nil, id, BeginRequestBody{Responder, KeepConn}) }
	end := func(id uint16, s Status) string {
		return fmt.Sprintf("reply % x", AppendEndRequest(nil, id, EndRequestBody{ProtocolStatus: s}))
	}
	var many []byte
	var refused []string
	for id := range uint16(MaxRequestsPerConn + 2) {
		many = append(many, begin(id+1)...)
		if id >= MaxRequestsPerConn {
			refused = append(refused, end(id+1, Overloaded))
		}
	}
	short := padded(BeginRequest, 1, "1234567", 0)
	old := append([]byte(nil), begin(1)...)
	old[0] = 2
	for _, c := range []struct {
		name  string
		in    []byte
		err   error
		lines []string
	}{
		{"another version", old, ErrVersion, nil},
		{"a BEGIN of seven bytes", short, ErrBody, nil},
		{"an id that is in use", join(begin(1), begin(1)), ErrInUse, nil},
		{"an id that is in use by one that came whole", join(message(1, 1, "p", ""), begin(1)), ErrInUse, []string{`request 1 "p" keep=true <nil>`, `body 1 ""`}},
		{"parameters behind their end", join(begin(1), AppendStreamEnd(nil, Params, 1), padded(Params, 1, "x", 0)), ErrOrder, []string{`request 1 "" keep=true <nil>`}},
		{"a body ahead of the parameters' end", join(begin(1), padded(Stdin, 1, "x", 0)), ErrOrder, nil},
		{"a body behind its end", join(message(1, 1, "", "a"), padded(Stdin, 1, "b", 0)), ErrOrder, []string{`request 1 "" keep=true <nil>`, `body 1 "a"`}},
		{"ids that nobody has", join(padded(Params, 7, "x", 1), padded(Stdin, 7, "x", 0), padded(AbortRequest, 7, "", 0), AppendStreamEnd(nil, Stdin, 7)), nil, nil},
		{"another role", AppendBeginRequest(nil, 3, BeginRequestBody{2, 0}), nil, []string{end(3, UnknownRole)}},
		{"too many at once", many, nil, refused},
		{"an abort ahead of the parameters' end", join(begin(4), padded(Params, 4, "x", 0), AppendStreamEnd(nil, AbortRequest, 4), padded(Params, 4, "y", 0), AppendStreamEnd(nil, Params, 4)), nil, []string{end(4, RequestComplete)}},
		{"an abort twice", join(message(4, 1, "", ""), AppendStreamEnd(nil, AbortRequest, 4), AppendStreamEnd(nil, AbortRequest, 4)), nil, []string{`request 4 "" keep=true <nil>`, `body 4 ""`, "abort 4"}},
		{"DATA, which is of another role", join(begin(5), padded(Data, 5, "x", 0)), nil, nil},
		{"a question without end", padded(GetValues, 0, strings.Repeat("x", valuesMost+1), 0), ErrOrder, nil},
		{"a question that is none", padded(GetValues, 0, "\x05x", 0), ErrBody, nil},
		{"a BEGIN for the connection itself", AppendBeginRequest(nil, 0, BeginRequestBody{Responder, 0}), nil, []string{fmt.Sprintf("reply % x", AppendUnknown(nil, BeginRequest))}},
		{"parameters without end", join(begin(6), AppendStream(nil, Params, 6, make([]byte, 3*MaxParamsBytes)), AppendStreamEnd(nil, Params, 6)), nil, []string{`request 6 "" keep=true fastcgi: the parameters are too long`}},
		{"padding and nothing else", bytes.Repeat(padded(Stdin, 9, "", 255), 300), nil, nil},
	} {
		l := &log{}
		l.s = NewServer(l, 5)
		if err := l.s.Feed(c.in); !errors.Is(err, c.err) {
			t.Errorf("%s: %v, want %v", c.name, err, c.err)
		}
		if !slices.Equal(l.lines, c.lines) {
			t.Errorf("%s: %q, want %q", c.name, l.lines, c.lines)
		}
	}
}

// An id is free again once its request has ended, and not before.
func TestIDsComeAgain(t *testing.T) {
	l := &log{}
	l.s = NewServer(l, 5)
	for range 3 {
		if err := l.s.Feed(message(1, 1, "p", "")); err != nil {
			t.Fatal(err)
		}
		l.s.RequestEnded(1)
	}
	if l.s.NumOpen() != 0 || len(l.lines) != 6 {
		t.Errorf("%d open, %q", l.s.NumOpen(), l.lines)
	}
}

// What a responder sends for a request that has ended, or never was, touches no other request,
// and is told; what it can't send ends the connection.
func TestClientOrder(t *testing.T) {
	complete := func(id uint16) []byte { return AppendEndRequest(nil, id, EndRequestBody{AppStatus: 3}) }
	out := func(id uint16, s string) []byte { return padded(Stdout, id, s, 3) }
	done := func(id int, s string) string { return fmt.Sprintf("end %d %q {3 REQUEST_COMPLETE}", id, s) }
	for _, c := range []struct {
		name  string
		in    []byte
		err   error
		lines []string
	}{
		{"two, mixed", join(out(1, "a"), out(2, "x"), out(1, "b"), padded(Stderr, 1, "oh", 0), out(2, "y"), complete(2), out(1, ""), complete(1)), nil, []string{done(2, "xy"), done(1, "ab")}},
		{"output for one that has ended", join(complete(1), out(1, "late"), out(2, "x"), complete(2)), nil, []string{done(1, ""), "stray", done(2, "x")}},
		{"output behind its end", join(out(1, "a"), out(1, ""), out(1, "b"), complete(1)), nil, []string{"stray", done(1, "a")}},
		{"an end for nobody", join(complete(9), complete(1)), nil, []string{"stray", done(1, "")}},
		{"an end of seven bytes", padded(EndRequest, 1, "1234567", 0), ErrBody, nil},
		{"output of the connection itself", out(0, "x"), ErrBody, nil},
		{"what only web servers send", AppendBeginRequest(nil, 1, BeginRequestBody{}), ErrOrder, nil},
		{"a refusal", AppendEndRequest(nil, 1, EndRequestBody{ProtocolStatus: Overloaded}), nil, []string{`end 1 "" {0 OVERLOADED}`}},
		{"what it can", AppendRecord(nil, GetValuesResult, 0, AppendPair(AppendPair(AppendPair(nil, MaxConns, "7"), MaxReqs, "many"), MpxsConns, "1")), nil, []string{"values {Conns:7 Reqs:0 Multiplexes:true}"}},
		{"an unknown type", AppendUnknown(nil, 9), nil, nil},
	} {
		l := &log{}
		in := NewClient(l)
		if a, b := in.OpenRequest(), in.OpenRequest(); a != 1 || b != 2 {
			t.Fatalf("ids %d and %d", a, b)
		}
		if err := in.Feed(c.in); !errors.Is(err, c.err) {
			t.Errorf("%s: %v, want %v", c.name, err, c.err)
		}
		if !slices.Equal(l.lines, c.lines) {
			t.Errorf("%s: %q, want %q", c.name, l.lines, c.lines)
		}
	}
}

// Ids are given out in turn, so that what comes late for one is not taken for the next.
func TestIDsInTurn(t *testing.T) {
	c := NewClient(&log{})
	kept := c.OpenRequest()
	seen := map[uint16]bool{}
	for range 1<<16 - 2 {
		id := c.OpenRequest()
		if id == 0 || id == kept || seen[id] {
			t.Fatalf("id %d was given out", id)
		}
		seen[id] = true
		c.Drop(id)
	}
	if c.Len() != 1 {
		t.Errorf("%d are open", c.Len())
	}
}

func TestPairs(t *testing.T) {
	var b []byte
	sizes := []int{0, 1, 127, 128, 300, 65535, 70000}
	for _, n := range sizes {
		for _, v := range sizes {
			b = AppendPair(b, strings.Repeat("n", n), strings.Repeat("v", v))
		}
	}
	i := 0
	if err := ForEachParam(b, func(name, value []byte) error {
		if len(name) != sizes[i/len(sizes)] || len(value) != sizes[i%len(sizes)] {
			t.Errorf("pair %d: %d and %d", i, len(name), len(value))
		}
		i++
		return nil
	}); err != nil || i != len(sizes)*len(sizes) {
		t.Errorf("%d pairs, %v", i, err)
	}
	for _, bad := range []string{"\x01", "\x80\x00\x00", "\x01\x80\x00\x00", "\x05\x05abc", "\xff\xff\xff\xff\x01a", "\x01\xff\xff\xff\xffa"} {
		if _, _, _, ok := Pair([]byte(bad)); ok {
			t.Errorf("%q is taken for a pair", bad)
		}
	}
}

func TestParseAnswer(t *testing.T) {
	for _, c := range []struct {
		in     string
		status int // 0: ErrHead, -1: not whole
		body   string
	}{
		{"Content-Type: text/plain\r\n\r\nbody", 200, "body"}, {"Content-Type: a\n\nbody", 200, "body"},
		{"Status: 404 Not Found\r\nX: y\r\n\r\n", 404, ""}, {"Status: 204\r\n\r\n", 204, ""},
		{"Location: /there\r\n\r\n", 302, ""}, {"Status: 301 Moved\nLocation: http://a/\n\n", 301, ""},
		{"Content-Type: a\r\n", -1, ""}, {"Content-Type: a\r\n\r", -1, ""}, {"", -1, ""},
		{"\r\nbody", 0, ""}, {"HTTP/1.1 200 OK\r\n\r\n", 0, ""}, {"no colon\r\n\r\n", 0, ""}, {"Na me: x\r\n\r\n", 0, ""},
		{"Status: 99\r\n\r\n", 0, ""}, {"Status: 100 Continue\r\n\r\n", 0, ""}, {"Status: abc\r\n\r\n", 0, ""}, {"Status: 600\r\n\r\n", 0, ""},
		{"Status: 200\r\nStatus: 500\r\n\r\n", 0, ""}, {"X: a\rb\r\n\r\n", 0, ""}, {": x\r\n\r\n", 0, ""},
		{"X: " + strings.Repeat("a", HeadMost), 0, ""}, {"X: " + strings.Repeat("a", HeadMost) + "\r\n\r\n", 0, ""},
	} {
		status, _, n, err := ParseResponseHeader([]byte(c.in))
		switch {
		case c.status == 0 && err != ErrHead, c.status == -1 && (err != nil || n != 0),
			c.status > 0 && (err != nil || status != c.status || c.in[n:] != c.body):
			t.Errorf("%.40q: %d, body at %d, %v", c.in, status, n, err)
		}
	}
}

// Two headers never become one parameter, and none that leads programs astray.
func TestNames(t *testing.T) {
	for header, want := range map[string]string{"X-Request-Id": "HTTP_X_REQUEST_ID", "X_Request_Id": "", "Proxy": "", "proxy": "", "Accept": "HTTP_ACCEPT"} {
		if got := ParamName(header); got != want {
			t.Errorf("%s: %q, want %q", header, got, want)
		}
	}
	for name, want := range map[string]string{"HTTP_X_REQUEST_ID": "X-Request-Id", "HTTP_PROXY": "", "HTTP_PROxY": "", "HTTP_": "", "CONTENT_TYPE": "", "HTTP_A-B": "", "HTTP_A B": ""} {
		if got := HeaderName(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
}

// No bytes whatever make a machine panic, hold more than it may, or act otherwise when cut.
func FuzzMachines(f *testing.F) {
	f.Add(message(1, 1, "\x01\x01ab", "body"), uint8(3))
	f.Add(join(padded(GetValues, 0, "\x0f\x00FCGI_MPXS_CONNS", 1), AppendBeginRequest(nil, 1, BeginRequestBody{2, 0}), message(2, 0, "", "")), uint8(1))
	f.Add(join(padded(Stdout, 1, "Status: 200\r\n\r\n", 5), AppendEndRequest(nil, 1, EndRequestBody{}), padded(Stdout, 1, "x", 0)), uint8(200))
	f.Fuzz(func(t *testing.T, in []byte, cut uint8) {
		feed := func(step int) (lines []string) {
			l, h := &log{}, &log{}
			s, c := NewServer(l, 5), NewClient(h)
			c.OpenRequest()
			c.OpenRequest()
			var errs [2]error
			for rest := in; len(rest) > 0; rest = rest[min(step, len(rest)):] {
				part := rest[:min(step, len(rest))]
				if errs[0] == nil {
					errs[0] = s.Feed(part)
				}
				if errs[1] == nil {
					errs[1] = c.Feed(part)
				}
			}
			if s.NumOpen() > MaxRequestsPerConn || c.Len() > 2 {
				t.Errorf("%d requests are held, %d are out", s.NumOpen(), c.Len())
			}
			return append(append(l.lines, h.lines...), fmt.Sprint(errs))
		}
		if a, b := feed(len(in)+1), feed(int(cut)+1); !slices.Equal(a, b) {
			t.Errorf("whole %q, cut %q", a, b)
		}
		ParseResponseHeader(in)
		ForEachParam(in, func(name, value []byte) error { return nil })
	})
}

// BenchmarkServer takes in requests of 20 parameters and 1 KiB.
func BenchmarkServer(b *testing.B) {
	var params []byte
	for i := range 20 {
		params = AppendPair(params, fmt.Sprintf("HTTP_X_HEADER_%d", i), "a value of the usual length")
	}
	in := message(1, KeepConn, string(params), strings.Repeat("x", 1024))
	var n counting
	n.s = NewServer(&n, 5)
	b.SetBytes(int64(len(in)))
	b.ReportAllocs()
	for b.Loop() {
		if err := n.s.Feed(in); err != nil {
			b.Fatal(err)
		}
	}
}

// counting answers each request at once.
type counting struct {
	s   *Server
	out []byte
}

func (c *counting) Request(uint16, []byte, bool, error) {}
func (c *counting) Body(id uint16, _ []byte, end bool) {
	if end {
		c.out = AppendEndRequest(AppendStreamEnd(c.out[:0], Stdout, id), id, EndRequestBody{})
		c.s.RequestEnded(id)
	}
}
func (c *counting) Abort(uint16) {}
func (c *counting) Reply([]byte) {}
