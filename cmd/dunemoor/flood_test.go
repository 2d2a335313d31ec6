package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/fastcgi"
)

const (
	// floodTime is how long a client sends as fast as it can.
	floodTime = 2 * time.Second
	// floodMemoryMiB is the memory limit of the gateway under test.
	floodMemoryMiB = 64
	// floodNeighbors is how many other clients send requests meanwhile, one after the other.
	floodNeighbors = 8
)

// floodConfig returns the configuration of an appliance with an HTTP and a FastCGI listener, on routes of the platform's
// protocol.
func floodConfig(webAddress, cgiAddress, hostAddress string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"depot\"\n[limits]\nmemory_mb = %d\nsockets = 1024\ncores = 1\n", floodMemoryMiB)
	fmt.Fprintf(&b, "[[listener]]\nname = \"web\"\naddress = %q\n", webAddress)
	fmt.Fprintf(&b, "[[listener]]\nname = \"cgi\"\nprotocol = \"fastcgi\"\naddress = %q\n", cgiAddress)
	for _, c := range testClasses {
		effect := map[string]string{"idempotent": "safe", "at_most_once": "unsafe", "deduplicated": "keyed"}[c.effect]
		fmt.Fprintf(&b, "[[class]]\nname = %q\neffect = %q\naim = \"500ms\"\ndeadline = %q\n", c.name, effect, c.timeout)
		if effect == "keyed" {
			b.WriteString("group = \"all\"\nwindow = \"2500ms\"\n")
		}
	}
	fmt.Fprintf(&b, "[[pool]]\nname = \"p\"\nmembers = [{ id = \"s-0\", address = %q }]\n[[route]]\nname = \"r\"\npool = \"p\"\n", hostAddress)
	return b.String()
}

// startBuiltAppliance runs a program that buildProgram has built with floodConfig, and returns its FastCGI address.
func startBuiltAppliance(t testing.TB, path, host string) (p *program, cgi string) {
	t.Helper()
	web, cgi := freeAddress(t), freeAddress(t)
	file := filepath.Join(t.TempDir(), "appliance.toml")
	writeFile(t, file, floodConfig(web, cgi, host))
	p = newProgram(file, web, "-appliance", file)
	p.Path, p.Args[0] = path, path
	p.url = "http://" + web
	p.run(t)
	p.waitReady(t)
	return p, cgi
}

// flood is what one client sends at full speed on one connection until the connection is closed. id returns a new name.
type flood struct {
	isFastCGI bool
	reads     bool                   // whether the client reads what it is sent
	pause     time.Duration          // pause after each part
	part      func(id uint64) []byte // what is written next
}

// cgiLookup encodes a lookup as FastCGI records.
func cgiLookup(requestID uint16, id uint64) []byte {
	params := fastcgi.AppendPair(nil, "REQUEST_METHOD", "GET")
	params = fastcgi.AppendPair(params, "REQUEST_URI", "/api/1")
	params = fastcgi.AppendPair(params, "HTTP_HOST", "a")
	params = fastcgi.AppendPair(params, "HTTP_X_REQUEST_ID", fmt.Sprintf("flood-%d", id))
	params = fastcgi.AppendPair(params, "HTTP_X_PRIORITY_CLASS", "lookup")
	params = fastcgi.AppendPair(params, "HTTP_X_TIMEOUT", "1.5")
	b := fastcgi.AppendBeginRequest(nil, requestID, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: fastcgi.KeepConn})
	b = fastcgi.AppendStreamEnd(fastcgi.AppendStream(b, fastcgi.Params, requestID, params), fastcgi.Params, requestID)
	return fastcgi.AppendStreamEnd(b, fastcgi.Stdin, requestID)
}

// cgiWithoutParams encodes a request without parameters, which is invalid.
func cgiWithoutParams(id uint64) []byte {
	requestID := nextRequestID(id)
	b := fastcgi.AppendBeginRequest(nil, requestID, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: fastcgi.KeepConn})
	b = fastcgi.AppendStreamEnd(b, fastcgi.Params, requestID)
	return fastcgi.AppendStreamEnd(b, fastcgi.Stdin, requestID)
}

// nextRequestID returns the FastCGI request ID for the number of a request; 0 is not one.
func nextRequestID(n uint64) uint16 { return uint16(n%60000 + 1) }

// floods are what a client may send at full speed.
var floods = map[string]flood{
	"HTTP lookups": {reads: true, part: func(id uint64) []byte {
		return []byte(testClasses[0].requestHeader(fmt.Sprintf("flood-%d", id)) + "\r\n")
	}},
	"HTTP lookups, responses unread": {part: func(id uint64) []byte {
		return []byte(testClasses[0].requestHeader(fmt.Sprintf("flood-%d", id)) + "\r\n")
	}},
	"HTTP requests of unknown classes": {reads: true, part: func(id uint64) []byte {
		class := testClass{fmt.Sprintf("class-%d", id), "", http.MethodGet, time.Second}
		return []byte(class.requestHeader(fmt.Sprintf("flood-%d", id)) + "\r\n")
	}},
	"HTTP health checks": {reads: true, part: func(id uint64) []byte {
		return fmt.Appendf(nil, "GET /_health?%d HTTP/1.1\r\nHost: a\r\n\r\n", id)
	}},
	"HTTP empty lines": {reads: true, part: func(uint64) []byte { return []byte("\r\n\r\n") }},
	"FastCGI lookups": {isFastCGI: true, reads: true, part: func(id uint64) []byte {
		return cgiLookup(nextRequestID(id), id)
	}},
	"FastCGI lookups, responses unread": {isFastCGI: true, part: func(id uint64) []byte {
		return cgiLookup(nextRequestID(id), id)
	}},
	"FastCGI requests with invalid parameters":                {isFastCGI: true, reads: true, part: cgiWithoutParams},
	"FastCGI requests with invalid parameters, unread":        {isFastCGI: true, part: cgiWithoutParams},
	"FastCGI requests with invalid parameters, unread, paced": {isFastCGI: true, pause: 20 * time.Microsecond, part: cgiWithoutParams},
	"FastCGI requests without parameters": {isFastCGI: true, reads: true, part: func(id uint64) []byte {
		return fastcgi.AppendBeginRequest(nil, nextRequestID(id), fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: fastcgi.KeepConn})
	}},
	"FastCGI requests that are aborted": {isFastCGI: true, reads: true, part: func(id uint64) []byte {
		b := cgiLookup(nextRequestID(id), id)
		return fastcgi.AppendStreamEnd(b, fastcgi.AbortRequest, nextRequestID(id))
	}},
	"FastCGI values under new names": {isFastCGI: true, reads: true, part: func(id uint64) []byte {
		return fastcgi.AppendRecord(nil, fastcgi.GetValues, 0, fastcgi.AppendPair(nil, fmt.Sprintf("NAME_%d", id), ""))
	}},
	"FastCGI unknown records": {isFastCGI: true, reads: true, part: func(id uint64) []byte {
		return fastcgi.AppendRecord(nil, fastcgi.Type(100), 0, nil)
	}},
}

// run sends the flood for floodTime, on a new connection whenever the gateway closes one.
func (f flood) run(address string) (parts, conns uint64) {
	end := time.Now().Add(floodTime)
	id := uint64(0)
	for ; time.Now().Before(end); conns++ {
		c, err := dialWithSmallBuffer(address)
		if err != nil {
			return id, conns
		}
		c.SetDeadline(end)
		if f.reads {
			go io.Copy(io.Discard, c)
		}
		out := bufio.NewWriterSize(c, 16<<10)
		for err == nil {
			id++
			_, err = out.Write(f.part(id))
			if f.pause > 0 && err == nil {
				err = out.Flush()
				time.Sleep(f.pause)
			}
		}
		c.Close()
	}
	return id, conns
}

// While one client sends at full speed on one connection, the others have their responses in time and the gateway stays
// within its memory limit.
func TestFloodOnOneConnectionDelaysNoOthers(t *testing.T) {
	path := buildProgram(t)
	for name, f := range floods {
		t.Run(name, func(t *testing.T) {
			host := startScriptedHost(t, serveShortResponses)
			p, cgi := startBuiltAppliance(t, path, host)
			var clients sync.WaitGroup
			stop := make(chan struct{})
			for range floodNeighbors {
				clients.Go(func() { sendUntilClosed(t, p.address(), stop) })
			}
			flooded := make(chan struct{})
			go func() {
				address := p.address()
				if f.isFastCGI {
					address = cgi
				}
				parts, conns := f.run(address)
				t.Logf("%d parts on %d connections", parts, conns)
				close(flooded)
			}()
			most := 0
			for isFlooding := true; isFlooding; {
				select {
				case <-flooded:
					isFlooding = false
				case <-time.After(10 * time.Millisecond):
					most = max(most, memoryMiB(p.Process.Pid))
				}
			}
			close(stop)
			clients.Wait()
			t.Logf("%d MiB at most", most)
			if most == 0 || most > floodMemoryMiB {
				t.Errorf("got %d MiB, want at most %d", most, floodMemoryMiB)
			}
		})
	}
}

// serveShortResponses responds to each request of a connection at once.
func serveShortResponses(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
	}
}

// sendUntilClosed sends requests, one after the other, and reports those that have no response in time.
func sendUntilClosed(t *testing.T, address string, stop <-chan struct{}) {
	for {
		for _, class := range testClasses {
			select {
			case <-stop:
				return
			default:
			}
			start := time.Now()
			status, _, err := sendShortRequest(address, class)
			if late := time.Since(start) - class.timeout; err != nil || late > maxLateness {
				t.Errorf("%s: got status %d, error %v, %v after its timeout, want a response at most %v after it", class.name, status, err, late, maxLateness)
			}
		}
	}
}
