package gateway

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

// fastCGIListener is the configuration of a FastCGI listener for web servers.
const fastCGIListener = "\n[[listener]]\nname = \"cgi\"\naddress = \"127.0.0.2:0\"\nprotocol = \"fastcgi\"\ntrusted = [\"127.0.0.0/8\"]\n"

// fastCGIAddr returns the address of the FastCGI listener.
func (a *testAppliance) fastCGIAddr() string {
	return a.appliance.listeners[fastCGIKeyPrefix+"127.0.0.2:0"].Addr().String()
}

// endedOutput replaces the output of a request that has ended, so that later records of it are detected.
const endedOutput = "ended"

// fastCGIClient is the connection of a web server. Tests write the records themselves.
type fastCGIClient struct {
	*testing.T
	net.Conn
	scan  fastcgi.Scanner
	rest  []byte            // bytes received but not scanned yet
	out   map[uint16]string // STDOUT by request ID
	ended map[uint16][]fastcgi.EndRequestBody
	reply []byte // content of management records
}

// readUntilEnd reads records until an END_REQUEST of the request or the end of the connection. It returns
// the output of the request, and whether it has got an END_REQUEST.
func (w *fastCGIClient) readUntilEnd(id uint16) (string, bool) {
	w.Helper()
	endsBefore := len(w.ended[id])
	b := make([]byte, 4096)
	var fixed []byte
	for len(w.ended[id]) == endsBefore {
		ev, part, rest, err := w.scan.Next(w.rest)
		if err != nil {
			w.Fatal(err)
		}
		w.rest = rest
		h := w.scan.Header()
		switch ev {
		case fastcgi.NeedMore:
			n, err := w.Read(b)
			if err != nil {
				return w.out[id], false
			}
			w.rest = append(w.rest, b[:n]...)
		case fastcgi.RecordStart:
			fixed = nil
			if h.ID != 0 && len(w.ended[h.ID]) > 0 && h.Type != fastcgi.EndRequest && w.out[h.ID] == endedOutput {
				w.Errorf("record %v of request %d after its end, want none", h.Type, h.ID)
			}
		case fastcgi.RecordContent:
			fixed = append(fixed, part...)
			if h.Type == fastcgi.Stdout {
				w.out[h.ID] += string(part)
			}
		case fastcgi.RecordEnd:
			if h.Type == fastcgi.EndRequest {
				e, err := fastcgi.ParseEndRequest(fixed)
				if err != nil {
					w.Fatal(err)
				}
				w.ended[h.ID] = append(w.ended[h.ID], e)
			}
			if h.ID == 0 {
				w.reply = append(w.reply, fixed...)
			}
		}
	}
	return w.out[id], true
}

// send sends a request and returns its status and body.
func (w *fastCGIClient) send(id uint16, params []byte, stdin string) (int, string) {
	w.Helper()
	w.out[id] = ""
	w.Write(fastCGIRequest(id, fastcgi.KeepConn, params, stdin, true))
	text, ok := w.readUntilEnd(id)
	if !ok {
		return 0, text
	}
	status, _, n, err := fastcgi.ParseResponseHeader([]byte(text))
	if err != nil || n == 0 {
		w.Errorf("response %q: error %v, want a header section", text, err)
		return 0, text
	}
	return status, text[n:]
}

func dialFastCGI(t *testing.T, addr string) *fastCGIClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	return &fastCGIClient{T: t, Conn: c, out: map[uint16]string{}, ended: map[uint16][]fastcgi.EndRequestBody{}}
}

// fastCGIParams encodes the parameters of a request. more has names and values of further parameters.
func fastCGIParams(method, target string, more ...string) []byte {
	b := fastcgi.AppendPair(nil, "REQUEST_METHOD", method)
	b = fastcgi.AppendPair(b, "REQUEST_URI", target)
	if !slices.Contains(more, "HTTP_HOST") {
		b = fastcgi.AppendPair(b, "HTTP_HOST", "a")
	}
	for i := 0; i < len(more); i += 2 {
		b = fastcgi.AppendPair(b, more[i], more[i+1])
	}
	return b
}

// fastCGIRequest encodes the records of a request. If end is not set, its STDIN stays open.
func fastCGIRequest(id uint16, flags uint8, params []byte, stdin string, end bool) []byte {
	b := fastcgi.AppendBeginRequest(nil, id, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: flags})
	b = fastcgi.AppendStreamEnd(fastcgi.AppendStream(b, fastcgi.Params, id, params), fastcgi.Params, id)
	b = fastcgi.AppendStream(b, fastcgi.Stdin, id, []byte(stdin))
	if end {
		b = fastcgi.AppendStreamEnd(b, fastcgi.Stdin, id)
	}
	return b
}

// manyHeaderParams returns the parameters of n headers.
func manyHeaderParams(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("HTTP_H%d", i), "x")
	}
	return list
}

// fastCGIPoolConfig returns the configuration of a pool of FastCGI responders.
func fastCGIPoolConfig(name, options string, nodes ...string) string {
	return strings.Replace(poolConfig(name, "", nodes...), "[[pool]]\n", "[[pool]]\nprotocol = \"fastcgi\"\n"+options, 1)
}
