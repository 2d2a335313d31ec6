package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dunemoor-review/kit"
)

const (
	bookingHosts = 4
	bookings     = 24
	bookingBytes = 100 << 10
	// bookingPause is the time between the last record of a body and the record that ends it.
	bookingPause = 150 * time.Millisecond
	bookingWork  = 30 * time.Millisecond // how long a booking takes at a host
	bookingWait  = 3 * time.Second
	resetEvery   = 4 // one booking of so many is reset under way
)

func init() { cases["booking"] = bookingCase }

// bookingRun is the state of the case: the ledger of the hosts.
type bookingRun struct {
	*kit.Env
	mu   sync.Mutex
	ran  map[string]int  // how often a booking has run, by its path
	done map[string]bool // requests that have run, by their id
}

// host returns the handler of a host. It runs a booking once its last byte has come. If the trouble is played, the
// connection of the first run of some bookings is reset after that, in place of the answer.
func (b *bookingRun) host(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-ID")
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			b.Record.Logf("host %s: %s for %s is incomplete after %d bytes, not run", name, id, r.URL.Path, n)
			return
		}
		time.Sleep(bookingWork)
		b.mu.Lock()
		b.ran[r.URL.Path]++
		b.done[id] = true
		run := b.ran[r.URL.Path]
		b.mu.Unlock()
		b.Record.Logf("host %s: %s has run %s (%d bytes), run %d of this booking", name, id, r.URL.Path, n, run)
		var number int
		fmt.Sscanf(r.URL.Path, "/api/booking-%d", &number)
		if b.Trouble && run == 1 && number%resetEvery == 0 {
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
				b.Record.Logf("host %s: connection of %s is reset", name, id)
				return
			}
		}
		io.WriteString(w, kit.HostAnswer(id, name))
	}
}

// file is the gateway's file: a FastCGI listener for a web server, and a route for requests of the platform's protocol.
func (b *bookingRun) file(fastCGI, listen string, addrs []string) string {
	var s strings.Builder
	fmt.Fprintf(&s, `name = "depot"
[[listener]]
name = "web"
address = %q
[[listener]]
name = "webserver"
protocol = "fastcgi"
address = %q
[[class]]
name = "uplift-book"
effect = "unsafe"
aim = "500ms"
deadline = "1s"
worth = 5
[[pool]]
name = "calendar"
members = [
`, listen, fastCGI)
	for i, addr := range addrs {
		fmt.Fprintf(&s, "  { id = \"s-%02d\", address = %q },\n", i, addr)
	}
	s.WriteString("]\n[[route]]\nname = \"all\"\npool = \"calendar\"\n")
	return s.String()
}

// client sends a booking, and once more if it was refused: a refusal says that trying again is harmless.
func (b *bookingRun) client(addr string, number int) (refusedAfterRun bool) {
	path := fmt.Sprintf("/api/booking-%02d", number)
	for try := 1; try <= 2; try++ {
		q := &kit.Request{ID: kit.NewID(), Class: "uplift-book", Timeout: 900 * time.Millisecond, Body: bytes.Repeat([]byte("sofa"), bookingBytes/4)}
		o := kit.SendFastCGI(addr, path, q, bookingPause, bookingWait)
		b.mu.Lock()
		ran := b.done[q.ID]
		b.mu.Unlock()
		b.Record.Logf("client: %s, try %d as %s: %s; it has run: %t", path, try, q.ID, o.String(), ran)
		if o.Status != http.StatusServiceUnavailable && o.Status != http.StatusTooManyRequests {
			return refusedAfterRun
		}
		refusedAfterRun = refusedAfterRun || ran
		time.Sleep(100 * time.Millisecond)
	}
	return refusedAfterRun
}

// bookingCase: connections are reset under bookings that have run, whose web server ends the body a little later.
func bookingCase(e *kit.Env) (int, error) {
	b := &bookingRun{Env: e, ran: map[string]int{}, done: map[string]bool{}}
	var addrs []string
	for i := range bookingHosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		addrs = append(addrs, ln.Addr().String())
		go http.Serve(ln, b.host(fmt.Sprintf("s-%02d", i)))
	}
	fastCGI, listen := kit.FreeAddress(), kit.FreeAddress()
	g, err := e.StartAppliance("depot", listen, b.file(fastCGI, listen, addrs))
	if err != nil {
		return 0, err
	}
	defer g.Stop()
	refused := 0
	for i := range bookings {
		if b.client(fastCGI, i) {
			refused++
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	twice, never := 0, bookings-len(b.ran)
	for _, n := range b.ran {
		if n > 1 {
			twice++
		}
	}
	return e.Record.Verdict(refused+twice > 0, "%d of %d bookings were refused though they had run, %d ran twice, %d never ran", refused, bookings, twice, never), nil
}
