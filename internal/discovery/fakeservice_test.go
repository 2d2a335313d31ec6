package discovery_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"sync"
	"syscall"
	"time"

	"dunemoor/internal/discovery"
)

// Lists and the header section of a response, as the discovery service sends them.
const (
	fullList                = `{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"ready"},{"id":"s-2","addr":"127.0.0.1:2","state":"ready"}]}`
	changes                 = `{"version":2,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"draining"}]}`
	fullListWithoutDraining = `{"version":2,"full":true,"servers":[{"id":"s-2","addr":"127.0.0.1:2","state":"ready"}]}`
	responseHeader          = "HTTP/1.1 200 OK\r\n\r\n"
)

// callDuration is the time that a service shared by all gateways takes to process a call.
const callDuration = 2 * time.Millisecond

// fakeService is a scripted discovery service in memory and virtual time. Calls between downAt and upAt
// fail. From upAt on the service is reachable again and has a change of the list.
type fakeService struct {
	startedAt     time.Time
	downAt, upAt  time.Duration // times since startedAt
	failure       callFailure
	silentWatches bool          // whether open watches fall silent at downAt instead of ending
	omitsDraining bool          // whether the response after upAt is the full list without draining hosts
	serial        chan struct{} // if set, serializes calls: it holds an item for callDuration while a call is processed
	served        sync.WaitGroup

	mu               sync.Mutex
	calls            []time.Duration // times of the calls since startedAt
	failFirstCall    bool            // whether only the first call fails
	unreachableUntil time.Duration   // time since startedAt before which all calls fail
}

// callTimes returns the time of each call since startedAt.
func (s *fakeService) callTimes() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// call records a call and reports whether it fails.
func (s *fakeService) call() (fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.startedAt)
	s.calls = append(s.calls, now)
	return now < s.unreachableUntil || s.failFirstCall && len(s.calls) == 1 || now >= s.downAt && now < s.upAt
}

func (s *fakeService) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	fails := s.call()
	if fails && s.failure.dial != nil {
		return nil, s.failure.dial(ctx)
	}
	ours, theirs := net.Pipe()
	s.served.Go(func() {
		defer theirs.Close()
		r, err := http.ReadRequest(bufio.NewReader(theirs))
		switch {
		case err != nil:
		case fails && s.failure.call != nil:
			s.failure.call(theirs)
		default:
			s.watch(theirs, r.FormValue("index"))
		}
	})
	return ours, nil
}

// watch serves a watch until the service goes down.
func (s *fakeService) watch(c net.Conn, index string) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	out := httputil.NewChunkedWriter(c)
	line := func(text string) bool {
		_, err := io.WriteString(out, text+"\n")
		return err == nil
	}
	if s.serial != nil {
		s.serial <- struct{}{}
		time.Sleep(callDuration)
		<-s.serial
	}
	recovered := time.Since(s.startedAt) >= s.upAt
	switch {
	case recovered && s.omitsDraining:
		line(fullListWithoutDraining)
	case recovered && index == "0":
		line(fullList)
		line(changes)
	case recovered:
		line(changes)
	case index == "0":
		line(fullList)
	}
	for tick := time.NewTicker(discovery.HeartbeatInterval); ; {
		outage := time.NewTimer(s.downAt - time.Since(s.startedAt))
		if recovered {
			outage.Stop()
		}
		select {
		case <-tick.C:
			if !line("") {
				return
			}
		case <-outage.C:
			if s.silentWatches {
				io.Copy(io.Discard, c)
			}
			return
		}
	}
}

// callFailure is a way in which calls fail: while connecting, or after the request has arrived.
type callFailure struct {
	dial         func(ctx context.Context) error
	call         func(c net.Conn)
	hangs        bool // the failure is detected only by a timeout
	olderVersion bool // the service sends a list of an older version
}

// hangsAfter returns a failure that sends the text and then nothing more.
func hangsAfter(text string) callFailure {
	return callFailure{hangs: true, call: func(c net.Conn) {
		io.WriteString(c, text)
		io.Copy(io.Discard, c)
	}}
}

// closesAfter returns a failure that sends the text and closes the connection.
func closesAfter(text string) callFailure {
	return callFailure{call: func(c net.Conn) { io.WriteString(c, text) }}
}

// callFailures has all kinds of failures of a call that are tested.
var callFailures = []struct {
	name string
	callFailure
}{
	{"refused", callFailure{dial: func(context.Context) error { return syscall.ECONNREFUSED }}},
	{"no descriptor", callFailure{dial: func(context.Context) error { return syscall.EMFILE }}},
	{"hangs while connecting", callFailure{hangs: true, dial: func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, discovery.DialTimeout)
		defer cancel()
		<-ctx.Done()
		return ctx.Err()
	}}},
	{"reset", closesAfter("")},
	{"503", closesAfter("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")},
	{"503 whose body hangs", hangsAfter("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\n")},
	{"hangs before the response", hangsAfter("")},
	{"hangs in the header section", hangsAfter("HTTP/1.1 200 OK\r\nTransfer-")},
	{"hangs after the header section", hangsAfter(responseHeader)},
	{"hangs in a list", hangsAfter(responseHeader + changes[:40])},
	{"trickling", callFailure{hangs: true, call: func(c net.Conn) {
		io.WriteString(c, responseHeader)
		for i := 0; ; i++ {
			if _, err := io.WriteString(c, " {\"version\":"[min(i, 11):min(i, 11)+1]); err != nil {
				return
			}
			time.Sleep(discovery.HeartbeatInterval / 4)
		}
	}}},
	{"closed after the header section", closesAfter(responseHeader)},
	{"closed after a heartbeat", closesAfter(responseHeader + "\n")},
	{"closed in a list", closesAfter(responseHeader + changes[:40])},
	{"malformed list", hangsAfter(responseHeader + "no list\n")},
	{"older version", callFailure{
		olderVersion: true, hangs: true,
		call: hangsAfter(responseHeader + `{"version":0,"full":false,"servers":[]}` + "\n").call,
	}},
}
