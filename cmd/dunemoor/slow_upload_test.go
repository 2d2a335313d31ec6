package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// maxLateness is how long after its timeout a request may get its response. Later, the request is lost.
const maxLateness = 500 * time.Millisecond

// slowReader reads at a constant rate.
type slowReader struct {
	io.Reader
	bytesPerSecond int
}

func (r slowReader) Read(p []byte) (int, error) {
	const pause = 10 * time.Millisecond
	time.Sleep(pause)
	part := int(pause.Seconds() * float64(r.bytesPerSecond))
	return r.Reader.Read(p[:min(len(p), part)])
}

// A request whose host reads its body slowly has its final response in time, counted from when its client has written the
// last byte, and not from when the gateway has read that.
func TestSlowlyReadRequestIsAnsweredInTime(t *testing.T) {
	for _, framing := range []bodyFraming{framedByLength, framedByChunks} {
		for _, class := range testClasses[1:] {
			t.Run(fmt.Sprintf("%s %s", framing, class.name), func(t *testing.T) {
				t.Parallel()
				addr := startScriptedHost(t, func(c net.Conn) {
					io.Copy(io.Discard, slowReader{c, 4 << 20})
				})
				p := start(t, configWithClasses(addr, addr), freeAddress(t))
				p.waitReady(t)
				late, status, err := sendLongRequest(p.address(), class, framing, 6<<20)
				if err != nil || status < 500 || late > maxLateness {
					t.Errorf("got status %d %v after the timeout, error %v, want a failure at most %v after it", status, late, err, maxLateness)
				}
			})
		}
	}
}

// sendLongRequest sends a request with a long body as fast as possible. late is the time from its timeout until its response
// has arrived.
func sendLongRequest(address string, class testClass, framing bodyFraming, length int) (late time.Duration, status int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitTimeout))
	written := make(chan time.Time, 1)
	go func() {
		io.WriteString(c, class.requestHeader(fmt.Sprintf("long-%d", lastID.Add(1)))+framing.header(length)+"\r\n")
		c.Write(framing.encode(make([]byte, length), 16<<10))
		written <- time.Now()
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	io.Copy(io.Discard, response.Body)
	at := time.Now()
	return at.Sub((<-written).Add(class.timeout)), response.StatusCode, nil
}
