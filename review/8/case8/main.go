// Command case8 lets a host hang in the middle of an upload, and sends other requests over the same FastCGI connection.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	kit "dunemoor/review/kit2"
)

const (
	// timeout is the time that the route of the short requests gives them, and grace how much later an answer still counts.
	timeout = 2 * time.Second
	grace   = 500*time.Millisecond + 50*time.Millisecond
	// hang is how long the host hangs: 5.5 to 24 s by the brief.
	hang = 15 * time.Second
	// sound is how many hosts do not hang; one hangs.
	sound = 5
	// size is the length of the upload, which comes in parts.
	size = 12 << 20
	part = 32 << 10
)

func main() { kit.Main(play) }

func play(c *kit.Case) (kit.Verdict, error) {
	running := c.NewHosts(5 * time.Millisecond)
	quick := ""
	for i := range sound {
		name := fmt.Sprintf("address-%d", i+1)
		addr, err := running.Start(name)
		if err != nil {
			return kit.NotRun, err
		}
		quick += fmt.Sprintf("{ id = %q, address = %q }, ", name, addr)
	}
	store := &store{c: c}
	if err := store.start(); err != nil {
		return kit.NotRun, err
	}
	web, cgi := c.Address(), c.Address()
	path, err := c.Write("depot-1.toml", fmt.Sprintf(file, web, cgi, quick, store.addr))
	if err != nil {
		return kit.NotRun, err
	}
	if _, err := c.Start("depot-1", path); err != nil {
		return kit.NotRun, err
	}
	if err := c.Await("the gateway serves", func() bool { return kit.Health(web) == http.StatusOK }); err != nil {
		return kit.NotRun, err
	}
	w, err := kit.DialFastCGI(cgi)
	if err != nil {
		return kit.NotRun, err
	}
	defer w.Close()
	return send(c, w, store)
}

const file = `
name = "depot-1"
[[listener]]
name = "web"
address = %q
[[listener]]
name = "cgi"
address = %q
protocol = "fastcgi"
trusted = ["127.0.0.0/8"]
[[class]]
name = "lookup"
effect = "safe"
deadline = "4s"
[[pool]]
name = "address"
members = [%s]
[[pool]]
name = "photos"
members = [{ id = "photos-1", address = %q }]
[[route]]
name = "address"
path = "/address"
pool = "address"
class = "lookup"
methods = ["GET"]
timeout = "2s"
[[route]]
name = "photos"
path = "/photos"
pool = "photos"
class = "lookup"
methods = ["POST"]
timeout = "4s"
max_body = "50MiB"
`

// send sends the upload part by part, and after each part a short request, until one has no answer in time.
func send(c *kit.Case, w *kit.WebServer, s *store) (kit.Verdict, error) {
	upload, err := w.Begin("photo", "POST", "/photos", size)
	if err != nil {
		return kit.NotRun, err
	}
	content := make([]byte, part)
	late, answered := 0, 0
	for sent := 0; sent < size; sent += part {
		if sent == 2<<20 && c.Trouble {
			s.hang()
		}
		if err := w.Send(upload, content); err != nil {
			return kit.NotRun, err
		}
		time.Sleep(10 * time.Millisecond)
		x, err := w.Get(fmt.Sprintf("short-%d", sent/part), "/address")
		if err != nil {
			return kit.NotRun, err
		}
		select {
		case <-x.Done:
		case <-time.After(40 * time.Second):
		}
		written, ended, status, err := w.State(x)
		c.Logf("%s: written %v, ended %v later, status %d, %v; %d bytes of the upload sent before", x.Name, c.At(written), ended.Sub(written), status, err, sent+part)
		if status != 0 && ended.Sub(written) <= timeout+grace {
			answered++
			continue
		}
		late++
		break
	}
	c.Logf("RESULT: short requests answered in time: %d; unanswered %v after their last byte: %d", answered, timeout+grace, late)
	if late > 0 {
		return kit.Broken, nil
	}
	return kit.Held, nil
}

// store is the host of the uploads.
type store struct {
	c     *kit.Case
	addr  string
	until atomic.Int64 // Unix time in nanoseconds until which the host reads nothing
}

func (s *store) start() error {
	s.addr = s.c.Address()
	ln, err := s.c.Listen(s.addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return nil
}

func (s *store) hang() {
	s.until.Store(time.Now().Add(hang).UnixNano())
	s.c.Logf("the host of the uploads hangs for %v", hang)
}

func (s *store) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(reader{conn, s})
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		s.c.Logf("run %s at photos-1: %d bytes, %v", r.Header.Get("X-Request-Id"), n, err)
		if err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// reader reads nothing while the host hangs.
type reader struct {
	net.Conn
	s *store
}

func (r reader) Read(b []byte) (int, error) {
	time.Sleep(time.Until(time.Unix(0, r.s.until.Load())))
	return r.Conn.Read(b)
}
