package main

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/fastcgi"
)

const (
	// cgiCrowdConns and cgiCrowdRequests are how many connections a crowd of web servers has, and how many requests on each.
	cgiCrowdConns    = 60
	cgiCrowdRequests = fastcgi.MaxRequestsPerConn
)

// cgiUpload encodes a request with a long body, of which only the first bytes are sent.
func cgiUpload(requestID uint16, id int64, sent int) []byte {
	params := fastcgi.AppendPair(nil, "REQUEST_METHOD", "POST")
	params = fastcgi.AppendPair(params, "REQUEST_URI", "/api/1")
	params = fastcgi.AppendPair(params, "HTTP_HOST", "a")
	params = fastcgi.AppendPair(params, "HTTP_X_REQUEST_ID", fmt.Sprintf("crowd-%d", id))
	params = fastcgi.AppendPair(params, "HTTP_X_PRIORITY_CLASS", "report")
	params = fastcgi.AppendPair(params, "HTTP_IDEMPOTENCY_KEY", fmt.Sprintf("key-%d", id))
	params = fastcgi.AppendPair(params, "HTTP_X_TIMEOUT", "1.5")
	params = fastcgi.AppendPair(params, "CONTENT_LENGTH", "8000000")
	b := fastcgi.AppendBeginRequest(nil, requestID, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: fastcgi.KeepConn})
	b = fastcgi.AppendStreamEnd(fastcgi.AppendStream(b, fastcgi.Params, requestID, params), fastcgi.Params, requestID)
	return fastcgi.AppendStream(b, fastcgi.Stdin, requestID, make([]byte, sent))
}

// The gateway stays within its memory limit while web servers send as many uploads at once as their connections carry, to hosts
// that read slowly, and stop within them.
func TestCrowdOfFastCGIUploadsStaysWithinMemoryLimit(t *testing.T) {
	path := buildProgram(t)
	for _, sent := range []int{60 << 10, 200 << 10} {
		t.Run(fmt.Sprintf("%d bytes", sent), func(t *testing.T) {
			host := startScriptedHost(t, func(c net.Conn) { time.Sleep(waitTimeout) })
			p, cgi := startBuiltAppliance(t, path, host)
			var senders sync.WaitGroup
			end := time.Now().Add(crowdTime)
			for range cgiCrowdConns {
				c, err := net.Dial("tcp", cgi)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				senders.Go(func() {
					c.SetDeadline(end)
					for id := range uint16(cgiCrowdRequests) {
						c.Write(cgiUpload(id+1, lastID.Add(1), sent))
					}
				})
			}
			most := 0
			for time.Now().Before(end) {
				most = max(most, memoryMiB(p.Process.Pid))
				time.Sleep(10 * time.Millisecond)
			}
			senders.Wait()
			t.Logf("%d MiB at most", most)
			if most == 0 || most > floodMemoryMiB {
				t.Errorf("got %d MiB, want at most %d", most, floodMemoryMiB)
			}
		})
	}
}
