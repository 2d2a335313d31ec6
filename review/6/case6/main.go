// Command case6 restarts a gateway while a web server sends requests side by side over its FastCGI connections.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	kit "dunemoor/review/kit2"
)

const (
	// killAfter is the time from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s.
	killAfter = 3700 * time.Millisecond
	// conns is how many connections the web server has. Over each come pages one after the other, of parts that are
	// requested side by side; pause is the time between two pages.
	conns = 60
	parts = 3
	pause = 100 * time.Millisecond
	// restarts is how often the gateway is restarted, and load how long the web server has sent requests before.
	restarts = 5
	load     = 1500 * time.Millisecond
)

func main() { kit.Main(play) }

func play(c *kit.Case) (kit.Verdict, error) {
	running := c.NewHosts(20 * time.Millisecond)
	running.Fill(8 << 10)
	members := ""
	for _, name := range []string{"s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8"} {
		addr, err := running.Start(name)
		if err != nil {
			return kit.NotRun, err
		}
		members += fmt.Sprintf("{ id = %q, address = %q }, ", name, addr)
	}
	web, cgi := c.Address(), c.Address()
	path, err := c.Write("depot-1.toml", fmt.Sprintf(file, web, cgi, members))
	if err != nil {
		return kit.NotRun, err
	}
	s := &server{c: c, running: running}
	lost := 0
	for range restarts {
		n, err := s.restart(path, web, cgi)
		if err != nil {
			return kit.NotRun, err
		}
		lost += n
	}
	c.Logf("RESULT: requests answered: %d; unanswered: %d; crossed a close: %d", s.answered, lost, s.crossed)
	if lost > 0 {
		return kit.Broken, nil
	}
	return kit.Held, nil
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
aim = "1500ms"
deadline = "4s"
[[class]]
name = "book"
effect = "unsafe"
aim = "500ms"
deadline = "1s"
[[pool]]
name = "calendar"
members = [%s]
[[route]]
name = "calendar"
pool = "calendar"
class = "book"
timeout = "1s"
`

// server is the web server.
type server struct {
	c                 *kit.Case
	running           *kit.Hosts
	answered, crossed int
	stop              atomic.Bool
	clients           sync.WaitGroup

	mu       sync.Mutex
	requests []request
}

// restart starts the gateway, sends requests over new connections, ends the gateway as the platform does, and returns how many
// requests were lost. Without the trouble the web server rests before the gateway ends.
func (s *server) restart(path, web, cgi string) (lost int, err error) {
	g, err := s.c.Start("depot-1", path)
	if err != nil {
		return 0, err
	}
	if err := s.c.Await("the gateway serves", func() bool { return kit.Health(web) == http.StatusOK }); err != nil {
		return 0, err
	}
	s.stop.Store(false)
	s.requests = nil
	for k := range conns {
		w, err := kit.DialFastCGI(cgi)
		if err != nil {
			return 0, err
		}
		defer w.Close()
		s.clients.Go(func() { s.serve(k, w) })
	}
	time.Sleep(load)
	if !s.c.Trouble {
		s.stop.Store(true)
		s.clients.Wait()
	}
	g.Signal(syscall.SIGTERM)
	if !g.Wait(killAfter) {
		g.Signal(syscall.SIGKILL)
	}
	killed := time.Now()
	s.stop.Store(true)
	s.clients.Wait()
	return s.judge(killed), nil
}

// request is what the web server saw of a request.
type request struct {
	name           string
	written, ended time.Time
	status         int
}

// serve requests one page after the other over a connection, until the connection ends.
func (s *server) serve(k int, w *kit.WebServer) {
	for n := 0; !s.stop.Load() && w.Failed() == nil; n++ {
		var page sync.WaitGroup
		for part := range parts {
			page.Go(func() { s.exchange(w, fmt.Sprintf("conn%d-page%d-%d-%d", k, n, part, s.c.Since())) })
		}
		page.Wait()
		time.Sleep(pause)
	}
}

func (s *server) exchange(w *kit.WebServer, name string) {
	x, err := w.Get(name, "/days")
	if err != nil {
		return
	}
	select {
	case <-x.Done:
	case <-time.After(5 * time.Second):
	}
	written, ended, status, err := w.State(x)
	s.c.Logf("%s: written %v, ended %v later, status %d, %v", name, s.c.At(written), ended.Sub(written), status, err)
	s.mu.Lock()
	s.requests = append(s.requests, request{name, written, ended, status})
	s.mu.Unlock()
}

// judge counts the requests without an answer: those that a host has run, and those that SIGKILL found. One whose connection
// ended before and that no host has run may have crossed the close, and is left out.
func (s *server) judge(killed time.Time) (lost int) {
	run := map[string]bool{}
	for _, a := range s.running.Arrivals() {
		run[a.ID] = true
	}
	for _, x := range s.requests {
		atKill := x.written.Before(killed) && !x.ended.Before(killed)
		switch {
		case x.status != 0:
			s.answered++
		case run[x.name] || atKill:
			lost++
			s.c.Logf("lost: %s, written %v, ended without an answer %v later; run by a host: %v, at SIGKILL: %v", x.name, s.c.At(x.written), x.ended.Sub(x.written), run[x.name], atKill)
		default:
			s.crossed++
		}
	}
	return lost
}
